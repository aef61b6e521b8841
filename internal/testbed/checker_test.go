package testbed

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"opalhook/internal/testnet"
)

// standInEnv is the environment variable that makes the test binary act as an edge node, a simple proxy. Its
// value selects the proxy's defect: "correct" for none, or one of the defects in
// TestCheckerFindsEachViolation.
const standInEnv = "OPALHOOK_LAB_STAND_IN"

func TestMain(m *testing.M) {
	if defect := os.Getenv(standInEnv); defect != "" {
		if err := newStandIn(defect).run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// standInProxy is a minimal edge node. It sends each request once, to the servers in turn, unless its defect
// makes it behave differently.
type standInProxy struct {
	defect string
	cfg    nodeConfig
	mu     sync.Mutex
	list   map[string]Entry
	next   atomic.Int64
	last   atomic.Value // body of the previous response
}

func newStandIn(defect string) *standInProxy {
	return &standInProxy{defect: defect, list: map[string]Entry{}}
}

func (p *standInProxy) run() error {
	if p.defect == "fails to start" {
		return errors.New("the stand-in can't be configured")
	}
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &p.cfg); err != nil {
		return err
	}
	p.apply(p.cfg.Known)
	go p.watch()
	ln, err := net.Listen("tcp", p.cfg.Listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		for range signals {
			if p.defect != "ignores SIGTERM" {
				os.Exit(0)
			}
		}
	}()
	return srv.Serve(ln)
}

func (p *standInProxy) watch() {
	for ; ; time.Sleep(10 * ms) {
		resp, err := http.Get("http://" + p.cfg.Discovery + "/registry/instances?watch=1&from=0")
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var m listMessage
			if json.Unmarshal(lines.Bytes(), &m) == nil {
				p.apply(m)
			}
		}
		_ = resp.Body.Close()
	}
}

func (p *standInProxy) apply(m listMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range m.Instances {
		if e.Lifecycle != lifecycleUp && p.defect != "ignores drains" {
			delete(p.list, e.InstanceID)
			continue
		}
		p.list[e.InstanceID] = e
	}
}

// pick returns the address of the next server. With the defect "overloads cold servers" it prefers a server
// in slow start, and with "ignores drains" a draining server.
func (p *standInProxy) pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := sortedKeys(p.list)
	for _, id := range ids {
		if p.defect == "overloads cold servers" && p.list[id].StartedAtMs > 0 {
			return p.list[id].HostPort
		}
		if p.defect == "ignores drains" && p.list[id].Lifecycle == lifecycleDraining {
			return p.list[id].HostPort
		}
	}
	return p.list[ids[int(p.next.Add(1))%len(ids)]].HostPort
}

func (p *standInProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Trace-Id")
	switch {
	// The client resends a request if a reused connection is closed, so the stand-in fails every copy.
	case p.defect == "drops requests" && strings.HasSuffix(id, "5"):
		panic(http.ErrAbortHandler)
	case p.defect == "responds late":
		time.Sleep(3 * time.Second)
	case p.defect == "changes requests":
		id = "made-up"
	}
	status, answer, err := p.send(r, id, string(body))
	if p.defect == "sends twice" || err != nil && p.defect == "retries after errors" {
		status, answer, err = p.send(r, id, string(body))
	}
	if p.defect == "rejects after execution" && r.Method == "POST" {
		status = 503
	}
	if err != nil {
		status = 502
	}
	if previous, ok := p.last.Swap(answer).(string); ok && p.defect == "swaps responses" && previous != "" {
		answer = previous
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // fails if the client has disconnected
}

func (p *standInProxy) send(r *http.Request, id, body string) (int, string, error) {
	c, err := net.Dial("tcp", p.pick())
	if err != nil {
		return 502, "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 502, "", err
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Method, r.RequestURI, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 502, "", err
	}
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// shortScenario returns a short scenario with two nodes, four servers and a low rate.
func shortScenario(name string) *Scenario {
	s := defaults()
	s.Name, s.Duration = name, Duration(2*time.Second)
	s.Fleet.Nodes, s.Fleet.Servers, s.Load.Rate, s.Load.WorkMS = 2, 4, 60, 10
	s.Fleet.ListDelay = 0
	s.Load.LatencyObjective, s.Load.Deadline, s.Load.OverQuotaTenants = Duration(500*ms), Duration(2*time.Second), 0
	return &s
}

// runStandIn runs a scenario with stand-ins that have the given defect.
func runStandIn(t *testing.T, s *Scenario, defect string) (*Result, error) {
	t.Helper()
	return Run(t.Context(), s, Options{Seed: 3, Binary: os.Args[0], Env: []string{standInEnv + "=" + defect}, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
}

// For each rule, the checker reports a violation by a node that violates it. It reports no violation by a
// correct node.
func TestCheckerFindsEachViolation(t *testing.T) {
	change := func(f func(s *Scenario)) func(*Scenario) { return f }
	drains := change(func(s *Scenario) {
		s.Duration = Duration(4 * time.Second)
		s.Faults = []Fault{{At: Duration(100 * ms), Kind: "drain", Count: 1}}
	})
	for _, c := range []struct {
		defect, rule string
		change       func(*Scenario)
	}{
		{"correct", "", drains},
		{"drops requests", RuleLost, nil},
		{"responds late", RuleLost, nil},
		{"sends twice", RuleDuplicate, nil},
		{"retries after errors", RuleDuplicate, func(s *Scenario) {
			s.Faults = []Fault{{Kind: "reset", Share: 1, Size: 0.3}}
		}},
		{"rejects after execution", RuleDuplicate, nil},
		{"ignores drains", RuleDrain, drains},
		{"overloads cold servers", RuleCold, func(s *Scenario) {
			s.Duration, s.Load.WorkMS, s.Load.Rate = Duration(4*time.Second), 100, 150
			s.Faults = []Fault{{At: Duration(200 * ms), Kind: "replace", Count: 1}}
		}},
		{"correct", RuleHardLimit, func(s *Scenario) { // the stand-in enforces no quotas
			s.Duration, s.Load.Rate = Duration(12*time.Second), 30 // longer than the slack of a busy machine
			s.Load.Bursts = []Burst{{Factor: 20}}
		}},
		{"swaps responses", RuleWrongResponse, nil},
		{"changes requests", RuleForeignRequest, nil},
	} {
		t.Run(c.defect+" "+c.rule, func(t *testing.T) {
			t.Parallel()
			s := shortScenario(c.defect)
			if c.change != nil {
				c.change(s)
			}
			r, err := runStandIn(t, s, c.defect)
			if err != nil {
				t.Fatal(err)
			}
			if c.rule == "" && len(r.BrokenRules) > 0 || c.rule != "" && r.BrokenRules[c.rule] == 0 {
				t.Errorf("broken rules %v, want %q; %v", r.BrokenRules, c.rule, r.Violations)
			}
			if r.OK() != (c.rule == "") {
				t.Errorf("Result.OK returned %v, want %v", r.OK(), c.rule == "")
			}
		})
	}
}

// If a node's process ends before it is ready, the error contains its log. A process that ignores SIGTERM is
// killed, and does not count as crashed.
func TestProcessThatFailsToStartOrStop(t *testing.T) {
	if _, err := runStandIn(t, shortScenario("fails to start"), "fails to start"); err == nil || !strings.Contains(err.Error(), "can't be configured") {
		t.Errorf("error %v does not show the log", err)
	}
	p, err := startChild(t, "ignores SIGTERM")
	if err != nil {
		t.Fatal(err)
	}
	p.stop(50 * ms)
	if p.crashed() {
		t.Error("a process that was stopped counts as crashed")
	}
}

// startChild starts a stand-in without a run, and waits until it is ready.
func startChild(t *testing.T, defect string) (*process, error) {
	t.Helper()
	dir := t.TempDir()
	addr := testnet.FreeAddr(t)
	cfg := filepath.Join(dir, "c.json")
	text, err := json.Marshal(nodeConfig{Listen: addr, Discovery: "127.0.0.1:1"})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(cfg, text, 0o600); err != nil {
		return nil, err
	}
	st := newStarter()
	t.Cleanup(st.stop)
	p, err := startProcess(st, dir, "child", os.Args[0], nodeNiceness, []string{standInEnv + "=" + defect, "PROXY_CONFIG=" + cfg})
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { p.stop(0) })
	for {
		if resp, err := http.Get("http://" + addr + "/health/ready"); err == nil {
			_ = resp.Body.Close()
			return p, nil
		}
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the stand-in ended before it was ready: %w", p.err)
		case <-time.After(5 * ms):
		}
	}
}

// When its context is canceled, a run ends at once and leaves no process running.
func TestCanceledRunLeavesNoProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := shortScenario("interrupted")
	s.Duration = Duration(time.Hour)
	s.Load.Rate = 5
	pids := make(chan []int, 1)
	onProgress := func(Progress) {
		select {
		case pids <- children(t):
			cancel()
		default:
		}
	}
	_, err := Run(ctx, s, Options{
		Seed: 3, Binary: os.Args[0], Env: []string{standInEnv + "=correct"}, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler), OnProgress: onProgress,
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned the error %v, want context.Canceled", err)
	}
	started := <-pids
	if len(started) < 2 {
		t.Fatalf("started processes %v, want those of two nodes", started)
	}
	for _, pid := range started {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("process %d is still running", pid)
		}
	}
}

// children returns the ids of the child processes of the test.
func children(t *testing.T) (pids []int) {
	paths, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		t.Error(err)
	}
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			continue // the thread has ended
		}
		for _, f := range strings.Fields(string(text)) {
			var pid int
			if _, err := fmt.Sscan(f, &pid); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}
