package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeConfig is what a case chooses of an edge node's configuration.
type nodeConfig struct {
	nodes    int // number of edge nodes
	memoryMB int
	sockets  int
	probes   bool // the settings allow probes
}

// fleetServers is the number of app servers.
const fleetServers = 4

// fleet is a small deployment: edge nodes, app servers and one agent.
type fleet struct {
	nodes   []*edgeNode
	servers []*appServer
	agent   *agent
}

// edgeNode is a running edge node.
type edgeNode struct {
	name   string
	addr   string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{} // closed once the process has ended
}

// startFleet starts app servers, an agent and edge nodes, and waits until all nodes are ready.
func (t *trial) startFleet(c nodeConfig, behave behavior) (*fleet, error) {
	f := &fleet{}
	for i := range fleetServers {
		s, err := startAppServer(t, fmt.Sprintf("s-%08x", 0x5be2a07c+i), behave)
		if err != nil {
			f.stop()
			return nil, err
		}
		f.servers = append(f.servers, s)
	}
	var err error
	if f.agent, err = startAgent(f.servers); err != nil {
		f.stop()
		return nil, err
	}
	err = t.startNodes(f, c)
	if err == nil && t.ctx.Err() != nil {
		err = t.ctx.Err()
	}
	if err != nil {
		f.stop()
		return nil, err
	}
	context.AfterFunc(t.ctx, f.killNodes)
	return f, nil
}

// startNodes starts the edge nodes of a fleet.
func (t *trial) startNodes(f *fleet, c nodeConfig) error {
	var listen, peers []string
	for range c.nodes + 1 {
		addr, err := freeAddr("tcp")
		if err != nil {
			return err
		}
		peer, err := freeAddr("udp")
		if err != nil {
			return err
		}
		listen, peers = append(listen, addr), append(peers, peer)
	}
	for i := range c.nodes {
		config := map[string]any{
			"name": fmt.Sprintf("n%d", i), "listen": listen[i], "discovery": f.agent.addr,
			"seed":        fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(i)),
			"limits":      map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
			"peer_listen": peers[i], "peers": peers[:c.nodes], "peers_all": peers[c.nodes],
			"known":    json.RawMessage(f.agent.list()),
			"settings": settings(c, i),
		}
		n, err := t.startNode(config)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(t); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts one edge node with the command of the deploy file.
func (t *trial) startNode(config map[string]any) (*edgeNode, error) {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	n := &edgeNode{name: config["name"].(string), addr: config["listen"].(string), exited: make(chan struct{})}
	path := filepath.Join(t.dir, n.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(t.dir, n.name+".log")); err != nil {
		return nil, err
	}
	tmp := filepath.Join(t.dir, n.name+".tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", t.run)
	n.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+n.name, "PROXY_LISTEN="+n.addr,
		"PROXY_DISCOVERY="+config["discovery"].(string), "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	t.record.linef("node %s started, process %d, clients at %s", n.name, n.cmd.Process.Pid, n.addr)
	go func() {
		err := n.cmd.Wait()
		t.record.linef("node %s ended: %v", n.name, err)
		close(n.exited)
	}()
	return n, nil
}

// awaitReady waits until the node accepts requests.
func (n *edgeNode) awaitReady(t *trial) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		resp, err := client.Get("http://" + n.addr + "/health/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if n.ended() || !t.sleep(50*time.Millisecond) {
			break
		}
	}
	log, _ := os.ReadFile(n.log.Name())
	return fmt.Errorf("node %s is not ready: %s", n.name, log)
}

// ended reports whether the process has ended.
func (n *edgeNode) ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// memoryKB returns the memory that belongs to the process of the node alone, its private anonymous pages, in KiB.
func (n *edgeNode) memoryKB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, errors.New("no RssAnon")
}

// killNodes kills the processes of the fleet.
func (f *fleet) killNodes() {
	for _, n := range f.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has ended
	}
}

// stop ends the fleet's processes and listeners.
func (f *fleet) stop() {
	f.killNodes()
	for _, n := range f.nodes {
		<-n.exited
		_ = n.log.Close()
	}
	if f.agent != nil {
		_ = f.agent.server.Close()
	}
	for _, s := range f.servers {
		_ = s.server.Close()
	}
}

// copyLogs writes the nodes' logs to the record.
func (f *fleet) copyLogs(t *trial) {
	for _, n := range f.nodes {
		text, _ := os.ReadFile(n.log.Name())
		for line := range bytes.Lines(text) {
			t.record.linef("log of %s: %s", n.name, bytes.TrimSpace(line))
		}
	}
}

// freeAddr returns a free loopback address.
func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }() // only its port is wanted
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // only its port is wanted
	return l.Addr().String(), nil
}

// settings returns the settings object of a node: the sample of the operators' page, with the choices of the case.
func settings(c nodeConfig, me int) map[string]any {
	lane := func(name, idempotency string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "idempotency": idempotency, "keyScope": "all", "onTime": 1.0, "deadline": 4.0,
			"lateWorth": 0.2, "memorySpan": 5.0, "streamed": false, "worth": worth,
		}
	}
	return map[string]any{
		"instances": c.nodes, "me": me, "zone": "hall-c", "localities": []string{"hall-a", "hall-b", "hall-c"},
		"tick": 0.002, "registryMode": "automatic", "weights": "rough", "flavors": []string{"std-4c"},
		"clients":    map[string]any{"marksRetry": true},
		"domainType": "gate",
		"familyInfo": map[string]any{"inboxPerS": 40.0, "unitsTop": 8, "postPaid": true, "counter": false},
		"feedback":   map[string]any{"how": "answers", "fields": []string{"outstanding"}},
		"lanes":      []any{lane("price-check", "retryable", 3), lane("quote-issue", "fragile", 5)},
		"penalties":  map[string]any{"crossZone": 0.0091, "lateFail": 0.08, "peer": 0.03, "waste": 0.05},
		"policyLimits": map[string]any{
			"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "maxRetryAfter": 0.5, "mostTries": 5,
			"parallelTries": true, "peers": c.nodes > 1, "probes": c.probes, "retryAfter": true,
		},
		"rules": map[string]any{
			"answerSlack": 0.008, "askWithin": 10.0, "coldFrom": 0.27, "drainGrace": 0.5, "fallMultiple": 2.5,
			"overloadFor": 3.0, "rampTime": 16.0,
		},
		"tariffs": []any{map[string]any{
			"name": "grand", "quotaRate": 4000.0, "peakUnits": 8000.0, "worthFactor": 1.8, "overCost": 0.8,
		}},
	}
}

// behavior answers a request at an app server in place of the usual answer. It returns false to leave the answer
// to the app server.
type behavior func(s *appServer, w http.ResponseWriter, r *http.Request) (answered bool)

// appServer is a stand-in for an app server.
type appServer struct {
	id     string
	addr   string
	server *http.Server

	mu   sync.Mutex
	runs map[string]int // number of times that each request ran, by id
}

// startAppServer starts an app server.
func startAppServer(t *trial, id string, behave behavior) (*appServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &appServer{id: id, addr: l.Addr().String(), runs: map[string]int{}}
	s.server = &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if behave != nil && behave(s, w, r) {
				return
			}
			s.answer(t, w, r)
		}),
	}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// answer runs a request and answers it with a body that names it.
func (s *appServer) answer(t *trial, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	t.record.linef("app server %s ran %s", s.id, id)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("Endpoint-Load-Metrics", "TEXT outstanding=1")
	w.Header().Set("X-Settled", "1")
	_, _ = io.WriteString(w, answerTo(id)) // an error means that the node has gone
}

// answerTo returns the body of the answer to a request.
func answerTo(id string) string { return "quote for " + id + "\n" }

// agent is a stand-in for the discovery agent. Its list does not change.
type agent struct {
	addr    string
	server  *http.Server
	servers []*appServer
}

func startAgent(servers []*appServer) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: l.Addr().String(), servers: servers}
	a.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(l) }() // ends with Close
	return a, nil
}

// list returns the whole list of app servers.
func (a *agent) list() []byte {
	var entries []string
	for _, s := range a.servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"hall-c","machineType":"std-4c",`+
			`"cell":3,"lifecycle":"up","weight":1.0,"startedAtMs":0}`, s.id, s.addr))
	}
	return []byte(`{"generation":41,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}")
}

// handle answers with the list. A watch stays open and gets an empty line every 2 s.
func (a *agent) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(append(a.list(), '\n'))
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	out := http.NewResponseController(w)
	for out.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}
