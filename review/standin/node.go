package main

import (
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
	"strings"
	"syscall"
	"time"
)

// Limits of an edge node, as the operators' bench gives them on a short day of armor-devis.
const (
	memoryMB = 72
	sockets  = 640
)

// readyTimeout is the longest time that a node may take to be ready.
const readyTimeout = 30 * time.Second

// settings returns the settings of a deployment with three edge nodes, in the form of the page on the wire. Its
// figures are those of the example there.
func settings() map[string]any {
	return map[string]any{
		"clients":    map[string]any{"marksRetry": true},
		"domainType": "gate",
		"familyInfo": map[string]any{
			"callPrice": 0.0, "countLimit": 0.0, "counter": false, "inboxPerS": 40.0, "meter": 0.0,
			"postPaid": true, "unitsTop": 8,
		},
		"feedback":  map[string]any{"fields": []string{"outstanding"}, "how": "answers"},
		"flavors":   []string{"std-4c"},
		"goal":      map[string]any{"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1},
		"instances": 3,
		"lanes": []map[string]any{
			{
				"deadline": 4.0, "idempotency": "retryable", "keyScope": "all", "lateWorth": 0.2,
				"memorySpan": 5.0, "name": "price-check", "onTime": 1.0, "streamed": false, "worth": 3.0,
			},
			{
				"deadline": 4.0, "idempotency": "fragile", "keyScope": "all", "lateWorth": 0.2,
				"memorySpan": 5.0, "name": "quote-issue", "onTime": 1.0, "streamed": false, "worth": 5.0,
			},
		},
		"localities": []string{"hall-a", "hall-b", "hall-c"},
		"me":         0,
		"penalties": map[string]any{
			"connection": 0.0, "crossZone": 0.0091, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0,
			"peer": 0.03, "probe": 0.0, "registryMode": 0.0, "waste": 0.05,
		},
		"policyLimits": map[string]any{
			"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 500000, "maxRetryAfter": 0.5, "mostTries": 5, "openCap": 20000, "parallelTries": true,
			"peers": true, "probes": false, "retryAfter": true, "streamsPerConn": 1,
		},
		"registryMode": "automatic",
		"rules": map[string]any{
			"answerSlack": 0.008, "askWithin": 10.0, "coldFrom": 0.27, "drainGrace": 0.5, "fallMultiple": 2.5,
			"overloadFor": 3.0, "rampTime": 16.0,
		},
		"stage": 0,
		"tariffs": []map[string]any{
			{
				"capSlack": 0.0, "extraWorth": 0.0, "hardBurst": 0.0, "maxOut": 0, "name": "moyen",
				"neverOverRate": 0.0, "overCost": 1.0, "peakUnits": 290.0, "quotaRate": 140.0, "worthFactor": 1.1,
			},
		},
		"tick":    0.002,
		"tiers":   []string{"devis-pool"},
		"weights": "rough",
		"zone":    "hall-a",
	}
}

// node is one edge node, a process of its own.
type node struct {
	name    string
	listen  string
	config  map[string]any
	path    string // of its configuration file
	command *exec.Cmd
	exited  chan error // receives the result of the process
	killed  bool       // by the platform
	log     *record
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// newNodes prepares one edge node for each agent, without starting it. Their settings are those of settings, changed
// by change if that is not nil.
func newNodes(folder string, agents []*agent, change func(map[string]any), log *record) ([]*node, error) {
	var peers []string
	for range agents {
		peer, err := freeAddr("udp")
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	all, err := freeAddr("udp")
	if err != nil {
		return nil, err
	}
	var nodes []*node
	for i, a := range agents {
		listen, err := freeAddr("tcp")
		if err != nil {
			return nil, err
		}
		s := settings()
		s["me"], s["instances"] = i, len(agents)
		s["zone"] = s["localities"].([]string)[i%3]
		if change != nil {
			change(s)
		}
		name := fmt.Sprintf("n%d", i)
		n := &node{name: name, listen: listen, path: filepath.Join(folder, name+".json"), log: log}
		n.config = map[string]any{
			"name": name, "listen": listen, "discovery": a.addr, "seed": fmt.Sprintf("8c1f30d27a5be96%d", i),
			"limits":      map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
			"peer_listen": peers[i], "peers": peers, "peers_all": all, "known": a.list(), "settings": s,
		}
		if err := n.writeConfig(); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// writeConfig replaces the configuration file.
func (n *node) writeConfig() error {
	text, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}

// runCommand returns the command in the deploy file with which operators start an edge node.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if command, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(command, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml: no line run")
}

// start starts the process and waits until it is ready.
func (n *node) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	n.command = exec.Command("/bin/sh", "-c", command)
	n.command.Env = append(os.Environ(), "PROXY_CONFIG="+n.path, "PROXY_NAME="+n.name, "PROXY_LISTEN="+n.listen,
		"PROXY_DISCOVERY="+n.config["discovery"].(string))
	n.command.Stderr = n.log.lines("log of " + n.name)
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan error, 1)
	go func() { n.exited <- n.command.Wait() }()
	return n.awaitReady()
}

// awaitReady waits until the node answers its readiness check with 200.
func (n *node) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/health/ready", nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.log.add("edge node %s is ready at %s", n.name, n.listen)
				return nil
			}
		}
		select {
		case err := <-n.exited:
			return fmt.Errorf("edge node %s ended: %w", n.name, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("edge node %s is not ready", n.name)
}

// running reports whether the process has been started and has not ended.
func (n *node) running() bool { return n.exited != nil && len(n.exited) == 0 }

// stop kills the process, if it runs, and waits for its end.
func (n *node) stop() {
	if n.exited == nil {
		return
	}
	_ = n.command.Process.Kill()
	n.exited <- <-n.exited
}
