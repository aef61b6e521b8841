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

// standIn names the variable that makes the test binary a node: a plain proxy that is
// correct, or wrong in the one way that its value names.
const standIn = "OPALHOOK_LAB_STAND_IN"

func TestMain(m *testing.M) {
	if how := os.Getenv(standIn); how != "" {
		if err := newStandIn(how).run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// proxy is the stand-in: it sends each request to one server after another, once.
type proxy struct {
	how  string
	cfg  nodeConfig
	mu   sync.Mutex
	list map[string]Entry
	next atomic.Int64
	last atomic.Value // body of the answer before
}

func newStandIn(how string) *proxy { return &proxy{how: how, list: map[string]Entry{}} }

func (p *proxy) run() error {
	if p.how == "dies" {
		return errors.New("the stand-in can't be configured")
	}
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &p.cfg); err != nil {
		return err
	}
	p.take(p.cfg.Known)
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
			if p.how != "stays" {
				os.Exit(0)
			}
		}
	}()
	return srv.Serve(ln)
}

func (p *proxy) watch() {
	for ; ; time.Sleep(10 * ms) {
		resp, err := http.Get("http://" + p.cfg.Discovery + "/registry/instances?watch=1&from=0")
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var m listMessage
			if json.Unmarshal(lines.Bytes(), &m) == nil {
				p.take(m)
			}
		}
		_ = resp.Body.Close()
	}
}

func (p *proxy) take(m listMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range m.Instances {
		if e.Lifecycle != lifecycleUp && p.how != "ignores drains" {
			delete(p.list, e.InstanceID)
			continue
		}
		p.list[e.InstanceID] = e
	}
}

// pick chooses the next server, or a cold one only for the one that crowds it.
func (p *proxy) pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := sortedKeys(p.list)
	for _, id := range ids {
		if p.how == "crowds cold servers" && p.list[id].StartedAtMs > 0 {
			return p.list[id].HostPort
		}
		if p.how == "ignores drains" && p.list[id].Lifecycle == lifecycleDraining {
			return p.list[id].HostPort
		}
	}
	return p.list[ids[int(p.next.Add(1))%len(ids)]].HostPort
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Trace-Id")
	switch {
	case p.how == "loses" && strings.HasSuffix(id, "5"): // also when it comes again: the node may have closed a connection at rest
		panic(http.ErrAbortHandler)
	case p.how == "answers late":
		time.Sleep(3 * time.Second)
	case p.how == "changes requests":
		id = "made-up"
	}
	status, answer, err := p.send(r, id, string(body))
	if p.how == "sends twice" || err != nil && p.how == "tries again" {
		status, answer, err = p.send(r, id, string(body))
	}
	if p.how == "calls it harmless" && r.Method == "POST" {
		status = 503
	}
	if err != nil {
		status = 502
	}
	if before, ok := p.last.Swap(answer).(string); ok && p.how == "swaps answers" && before != "" {
		answer = before
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // a client that is gone is the load's matter
}

func (p *proxy) send(r *http.Request, id, body string) (int, string, error) {
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

// small is a scenario that ends soon.
func small(name string) *Scenario {
	s := defaults()
	s.Name, s.Duration = name, Duration(2*time.Second)
	s.Fleet.Nodes, s.Fleet.Servers, s.Load.Rate, s.Load.WorkMS = 2, 4, 60, 10
	s.Fleet.ListDelay = 0
	s.Load.LatencyObjective, s.Load.Deadline, s.Load.OverQuotaTenants = Duration(500*ms), Duration(2*time.Second), 0
	return &s
}

func play(t *testing.T, s *Scenario, how string) (*Result, error) {
	t.Helper()
	return Run(t.Context(), s, Options{Seed: 3, Binary: os.Args[0], Env: []string{standIn + "=" + how}, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
}

// The checker catches a node that breaks a rule, each of them, and nothing in one that keeps
// them.
func TestCheckerFindsEachViolation(t *testing.T) {
	change := func(f func(s *Scenario)) func(*Scenario) { return f }
	drains := change(func(s *Scenario) {
		s.Duration = Duration(4 * time.Second)
		s.Faults = []Fault{{At: Duration(100 * ms), Kind: "drain", Count: 1}}
	})
	for _, c := range []struct {
		how, rule string
		change    func(*Scenario)
	}{
		{"correct", "", drains},
		{"loses", RuleLost, nil},
		{"answers late", RuleLost, nil},
		{"sends twice", RuleTwice, nil},
		{"tries again", RuleTwice, func(s *Scenario) {
			s.Faults = []Fault{{Kind: "reset", Share: 1, Size: 0.3}}
		}},
		{"calls it harmless", RuleTwice, nil},
		{"ignores drains", RuleDrain, drains},
		{"crowds cold servers", RuleCold, func(s *Scenario) {
			s.Duration, s.Load.WorkMS, s.Load.Rate = Duration(4*time.Second), 100, 150
			s.Faults = []Fault{{At: Duration(200 * ms), Kind: "replace", Count: 1}}
		}},
		{"correct", RuleCeiling, func(s *Scenario) { // it knows of no quota
			s.Duration, s.Load.Rate = Duration(12*time.Second), 30 // longer than a busy machine's slack
			s.Load.Bursts = []Burst{{Times: 20}}
		}},
		{"swaps answers", RuleOwn, nil},
		{"changes requests", RuleForeign, nil},
	} {
		t.Run(c.how+" "+c.rule, func(t *testing.T) {
			t.Parallel()
			s := small(c.how)
			if c.change != nil {
				c.change(s)
			}
			r, err := play(t, s, c.how)
			if err != nil {
				t.Fatal(err)
			}
			if c.rule == "" && len(r.Broken) > 0 || c.rule != "" && r.Broken[c.rule] == 0 {
				t.Errorf("broken rules %v, want %q; %v", r.Broken, c.rule, r.Violations)
			}
			if r.OK() != (c.rule == "") {
				t.Errorf("the run passed: %v", r.OK())
			}
		})
	}
}

// A child that dies before it is ready is told with its log; one that ignores SIGTERM is ended
// all the same.
func TestUnrulyChildren(t *testing.T) {
	if _, err := play(t, small("dies"), "dies"); err == nil || !strings.Contains(err.Error(), "can't be configured") {
		t.Errorf("error %v does not show the log", err)
	}
	p, err := startChild(t, "stays")
	if err != nil {
		t.Fatal(err)
	}
	p.stop(50 * ms)
	if p.crashed() {
		t.Error("a child that was told to end counts as crashed")
	}
}

// startChild starts the stand-in as a lone process that is ready.
func startChild(t *testing.T, how string) (*process, error) {
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
	p, err := startProcess(st, dir, "child", os.Args[0], nodeNiceness, []string{standIn + "=" + how, "PROXY_CONFIG=" + cfg})
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
			return nil, fmt.Errorf("ended: %w", p.err)
		case <-time.After(5 * ms):
		}
	}
}

// An interrupt ends the run at once, with no process left.
func TestInterruptLeavesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := small("interrupted")
	s.Duration = Duration(time.Hour)
	s.Load.Rate = 5
	pids := make(chan []int, 1)
	live := func(Progress) {
		select {
		case pids <- children(t):
			cancel()
		default:
		}
	}
	_, err := Run(ctx, s, Options{
		Seed: 3, Binary: os.Args[0], Env: []string{standIn + "=correct"}, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler), Live: live,
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	started := <-pids
	if len(started) < 2 {
		t.Fatalf("processes %v, want two nodes", started)
	}
	for _, pid := range started {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("process %d is left", pid)
		}
	}
}

// children lists this process's children.
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
