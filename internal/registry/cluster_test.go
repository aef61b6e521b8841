package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"opalhook/internal/testbed"
	"opalhook/internal/testnet"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// asReplica names the variable that makes the test binary a replica: its value is the
// configuration.
const replicaEnv = "OPALHOOK_REGISTRY_REPLICA"

func TestMain(m *testing.M) {
	for name, run := range map[string]func(string) error{replicaEnv: runReplica, watchersEnv: runWatchers, encoderEnv: runEncoder} {
		if text := os.Getenv(name); text != "" {
			if name != watchersEnv {
				go func() { // standard input ends with the process that started this one
					io.Copy(io.Discard, os.Stdin)
					os.Exit(1)
				}()
			}
			if err := run(text); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			return
		}
	}
	os.Exit(m.Run())
}

func runReplica(text string) error {
	var cfg Config
	var plain struct {
		Dir, Listen, Raft, Join string
		Via                     map[string]string
		Joins                   float64
	}
	if err := json.Unmarshal([]byte(text), &plain); err != nil {
		return err
	}
	cfg.Dir, cfg.Listen, cfg.Raft, cfg.Join, cfg.DialVia, cfg.WatchOpensPerSecond = plain.Dir, plain.Listen, plain.Raft, plain.Join, plain.Via, plain.Joins
	cfg.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s, err := Start(ctx, cfg)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}

// member is one replica as a process, which may be killed, stopped and started again.
type testReplica struct {
	t            testing.TB
	dir          string
	listen, raft string
	cmd          *exec.Cmd
	log          string
	joins        float64                        // watches that may be opened a second; 0: as the service has it
	env          []string                       // more of it
	via          map[string]string              // to the others, through links
	links        map[*testReplica]*testbed.Link // the same, by the other
}

func newMember(t testing.TB) *testReplica {
	m := &testReplica{t: t, dir: t.TempDir(), listen: testnet.FreeAddr(t), raft: testnet.FreeAddr(t)}
	m.log = filepath.Join(t.TempDir(), "log")
	t.Cleanup(m.kill)
	return m
}

// start starts the process and waits until it answers.
func (m *testReplica) start(join string) {
	m.t.Helper()
	text, err := json.Marshal(map[string]any{"Dir": m.dir, "Listen": m.listen, "Raft": m.raft, "Join": join, "Via": m.via, "Joins": m.joins})
	if err != nil {
		m.t.Fatal(err)
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.t.Fatal(err)
	}
	defer log.Close()
	m.cmd = exec.Command(os.Args[0])
	m.cmd.Env = append(append(os.Environ(), replicaEnv+"="+string(text)), m.env...)
	m.cmd.Stderr = log
	if _, err := m.cmd.StdinPipe(); err != nil { // open for as long as this process lives
		m.t.Fatal(err)
	}
	if err := m.cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + m.listen + "/registry/status"); err == nil {
			resp.Body.Close()
			return
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(m.log)
			m.t.Fatalf("replica never answers: %s", text)
		}
	}
}

// connect puts links between all replicas, each direction apart.
func connect(t testing.TB, all []*testReplica) {
	t.Helper()
	for _, a := range all {
		a.via, a.links = map[string]string{}, map[*testReplica]*testbed.Link{}
		for i, b := range all {
			if a == b {
				continue
			}
			l, err := testbed.NewLink(b.raft, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			a.via[b.raft], a.links[b] = l.Addr(), l
		}
	}
}

// cut cuts what goes from a replica to the others, and what comes from them, or heals both.
func (m *testReplica) cut(all []*testReplica, out, in bool) {
	m.t.Helper()
	for _, b := range all {
		if b == m {
			continue
		}
		// A connection carries its maker's requests one way and the answers the other.
		err := errors.Join(m.links[b].Set(testbed.LinkState{Cut: out}, testbed.LinkState{Cut: in}), b.links[m].Set(testbed.LinkState{Cut: in}, testbed.LinkState{Cut: out}))
		if err != nil {
			m.t.Fatal(err)
		}
	}
}

// kill ends the process at once, whatever it is at.
func (m *testReplica) kill() {
	if m.cmd != nil {
		m.cmd.Process.Kill()
		m.cmd.Wait()
		m.cmd = nil
	}
}

// leads tells whether the replica says that it leads.
func (m *testReplica) leads() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.listen + "/registry/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.State == "leader"
}

// write is one operation of a history.
type operation struct {
	kind string
	id   string
	inc  uint64
}

// ending is how it came out; unknown where the client can't tell whether it was done.
type result struct {
	code       Code
	generation uint64
	unknown    bool
	seen       instanceModel // of a read
}

// service starts replicas with links between them and waits until each knows all.
func startService(t testing.TB, n int) (all []*testReplica) {
	t.Helper()
	for range n {
		all = append(all, newMember(t))
	}
	connect(t, all)
	for i, m := range all {
		if i == 0 {
			m.start("")
		} else {
			m.start(all[0].listen)
		}
	}
	leaderOf(t, all)
	waitFor(t, "every replica knows all", func() bool {
		sts, errs := (&Client{Replicas: addresses(all)}).Status(t.Context())
		known := errors.Join(errs...) == nil
		for _, st := range sts {
			known = known && len(st.Replicas) == n
		}
		return known
	})
	return all
}

func addresses(all []*testReplica) (out []string) {
	for _, m := range all {
		out = append(out, m.listen)
	}
	return out
}

// leaderOf waits for a replica that says that it leads.
func leaderOf(t testing.TB, all []*testReplica) (m *testReplica) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		for _, c := range all {
			if c.leads() {
				m = c
				return true
			}
		}
		return false
	})
	return m
}

// sameLists waits until all replicas hold one list.
func sameLists(t testing.TB, all []*testReplica) {
	t.Helper()
	waitFor(t, "all replicas hold one list", func() bool {
		texts := map[string]bool{}
		for _, m := range all {
			resp, err := http.Get("http://" + m.listen + "/registry/instances")
			if err != nil {
				return false
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				return false
			}
			texts[string(text)] = true
		}
		return len(texts) == 1
	})
}

// life1 is what the list knows of one instance, as the page of its writes promises.
type instanceModel struct {
	here, drained bool
	inc, gone     uint64
}

// readKind is an operation that reads one instance at the leader.
const showKind = "read"

// promised is the sequential specification of the writes of one instance. It is written apart
// from the state machine.
func applyModel(s instanceModel, w operation) (instanceModel, Code) {
	if w.kind == Register {
		switch {
		case w.inc <= s.gone || s.here && w.inc < s.inc:
			return s, StaleIncarnation
		case s.here && w.inc == s.inc:
			return s, Unchanged
		}
		return instanceModel{here: true, inc: w.inc, gone: s.gone}, Done
	}
	switch {
	case !s.here && w.inc <= s.gone:
		return s, Unchanged
	case !s.here || w.inc > s.inc:
		return s, NotFound
	case w.inc < s.inc:
		return s, StaleIncarnation
	case w.kind == Drain && s.drained:
		return s, Unchanged
	case w.kind == Drain:
		s.drained = true
		return s, Done
	}
	return instanceModel{gone: s.inc}, Done
}

var linearizabilityModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			id := o.Input.(operation).id
			by[id] = append(by[id], o)
		}
		var out [][]porcupine.Operation
		for _, part := range by {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return instanceModel{} },
	Step: func(state, input, output any) (bool, any) {
		end := output.(result)
		if now := state.(instanceModel); input.(operation).kind == showKind {
			return end.unknown || end.seen == instanceModel{here: now.here, drained: now.drained, inc: now.inc}, now
		}
		next, code := applyModel(state.(instanceModel), input.(operation))
		return end.unknown || end.code == code, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// history runs clients against the replicas until stop and returns what they saw.
func runClients(t *testing.T, all []*testReplica, stop <-chan struct{}) []porcupine.Operation {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var work sync.WaitGroup
	const never = int64(1 << 62)
	for client := range 6 {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(client), 7))
			hc := &http.Client{Timeout: 4 * time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				w := operation{kind: []string{Register, Register, Drain, Remove, showKind, showKind}[rng.IntN(6)], id: fmt.Sprint("s-", rng.IntN(8)), inc: 1 + rng.Uint64N(1000)/100 + uint64(time.Since(began)/(500*time.Millisecond))}
				op := porcupine.Operation{ClientId: client, Input: w, Call: time.Since(began).Nanoseconds()}
				end := runOperation(hc, all[rng.IntN(len(all))].listen, w)
				op.Output, op.Return = end, time.Since(began).Nanoseconds()
				if end.unknown {
					op.Return = never // it may be done at any time yet
				}
				if end.code != Unavailable && (w.kind != showKind || !end.unknown) {
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
				if end.unknown || end.code == Unavailable {
					time.Sleep(50 * time.Millisecond) // not to flood a service that has no leader
				}
			}
		})
	}
	work.Wait()
	return ops
}

// send carries out one write, once.
func runOperation(hc *http.Client, addr string, w operation) result {
	base := "http://" + addr + "/registry/instances"
	var req *http.Request
	var err error
	switch w.kind {
	case Register:
		var n int
		fmt.Sscanf(w.id, "s-%d", &n)
		req, err = http.NewRequest("POST", base, bytes.NewReader([]byte(registration(w.id, 100+n, int(w.inc), 0))))
	case showKind:
		req, err = http.NewRequest("GET", base+"/"+w.id, nil)
	case Drain:
		req, err = http.NewRequest("POST", fmt.Sprintf("%s/%s/drain?incarnation=%d", base, w.id, w.inc), nil)
	default:
		req, err = http.NewRequest("DELETE", fmt.Sprintf("%s/%s?incarnation=%d", base, w.id, w.inc), nil)
	}
	if err != nil {
		panic(err)
	}
	resp, err := hc.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return result{code: Unavailable}
	}
	if err != nil {
		return result{unknown: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var o Outcome
	if err != nil || json.Unmarshal(text, &o) != nil || o.Code == OutcomeUnknown {
		return result{unknown: true}
	}
	if resp.StatusCode == http.StatusTemporaryRedirect {
		return result{code: Unavailable} // in a circle
	}
	if w.kind == showKind && resp.StatusCode == http.StatusOK {
		var st InstanceStatus
		if err := json.Unmarshal(text, &st); err != nil {
			return result{unknown: true}
		}
		return result{code: Unchanged, seen: instanceModel{here: true, drained: st.Lifecycle == Draining, inc: st.Incarnation}}
	}
	return result{code: o.Code, generation: o.Generation}
}

// judge checks a history: it must be one that the promised order of writes could have given,
// no generation may name two changes, and generations must follow the order of time.
func checkHistory(ops []porcupine.Operation) error {
	res := porcupine.CheckOperationsTimeout(linearizabilityModel, ops, testTimeout)
	if res != porcupine.Ok {
		return fmt.Errorf("the history is not linearizable: %v", res)
	}
	used := map[uint64]operation{}
	for i, a := range ops {
		ea := a.Output.(result)
		if ea.code != Done {
			continue
		}
		if w, twice := used[ea.generation]; twice {
			return fmt.Errorf("generation %d is that of %v and of %v", ea.generation, w, a.Input)
		}
		used[ea.generation] = a.Input.(operation)
		for _, b := range ops[i+1:] {
			if eb := b.Output.(result); eb.code == Done && (a.Return < b.Call && ea.generation >= eb.generation || b.Return < a.Call && eb.generation >= ea.generation) {
				return errors.New("generations do not follow the order of time")
			}
		}
	}
	return nil
}

// Three replicas as processes. Leaders are killed and stopped, and all are killed at once, under
// writes of six clients; every replica ends with the same list.
func TestLinearizableUnderFaults(t *testing.T) {
	all := startService(t, 3)
	leader := func() *testReplica { return leaderOf(t, all) }
	stop, done := make(chan struct{}), make(chan []porcupine.Operation, 1)
	go func() { done <- runClients(t, all, stop) }()
	wrote := func() { // writes go through again
		c := &Client{Replicas: []string{all[0].listen, all[1].listen, all[2].listen}}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if _, err := c.Register(ctx, Registration{entry("s-probe", 99), uint64(time.Now().UnixMicro()), 0}); err != nil {
			t.Errorf("writes never go through again: %v", err)
		}
	}
	for range 2 {
		l := leader()
		l.kill()
		wrote()
		l.start("")
		wrote()
	}
	l := leader()
	if err := l.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	waitFor(t, "another leads", func() bool {
		for _, m := range all {
			if m != l && m.leads() {
				return true
			}
		}
		return false
	})
	if err := l.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
	wrote()
	for _, way := range [][2]bool{{true, true}, {true, false}, {false, true}} { // both ways, mute, deaf
		l := leader()
		l.cut(all, way[0], way[1])
		wrote()
		l.cut(all, false, false)
		wrote()
	}
	for _, m := range all {
		m.kill()
	}
	for _, m := range all {
		m.start("")
	}
	wrote()
	close(stop)
	ops := <-done
	if err := checkHistory(ops); err != nil {
		t.Error(err)
	}
	known := 0
	for _, o := range ops {
		if !o.Output.(result).unknown {
			known++
		}
	}
	if known < 50 {
		t.Errorf("%d writes with a known end of %d: nothing was tested", known, len(ops))
	}
	sameLists(t, all)
}

// A replica whose state is lost is not taken for the one that it was, and comes back as a new
// one; replicas are added and dismissed, the leader too, while clients write.
func TestReplicaReplacement(t *testing.T) {
	all := startService(t, 3)
	wiped := all[0]
	if wiped == leaderOf(t, all) {
		wiped = all[1]
	}
	others := slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == wiped })
	stop, done := make(chan struct{}), make(chan []porcupine.Operation, 1)
	go func() { done <- runClients(t, others, stop) }()
	status := func() Status {
		sts, errs := (&Client{Replicas: []string{leaderOf(t, others).listen}}).Status(t.Context())
		if errs[0] != nil {
			t.Fatal(errs[0])
		}
		return sts[0]
	}
	idOf := func(m *testReplica) string {
		for _, r := range status().Replicas {
			if strings.HasSuffix(r.ID, "@"+m.listen) {
				return r.ID
			}
		}
		return ""
	}
	dismiss := func(id string) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if _, err := (&Client{Replicas: addresses(all)}).RemoveReplica(ctx, id); err != nil {
			t.Errorf("dismissing %s: %v", id, err)
		}
	}
	was := idOf(wiped)
	wiped.kill()
	files, err := os.ReadDir(wiped.dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(wiped.dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	wiped.start("") // as if nothing had been there: a service of its own
	waitFor(t, "the wiped replica leads what it alone is", wiped.leads)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for n := range 20 { // commits of the others, that they offer to the one that was
		if _, err := (&Client{Replicas: addresses(others)}).Register(ctx, Registration{entry(fmt.Sprint("s-x", n), 500+n), 1, 0}); err != nil {
			t.Fatal(err)
		}
	}
	if _, list, err := (&Client{Replicas: []string{wiped.listen}}).List(ctx); err != nil || slices.ContainsFunc(list, func(e Entry) bool { return e.InstanceID == "s-x0" }) {
		t.Errorf("a replica that lost its state is taken for the one that it was: %v", err)
	}
	wiped.kill()
	files, _ = os.ReadDir(wiped.dir)
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(wiped.dir, f.Name())); err != nil {
			t.Fatal(err)
		}
	}
	leader := leaderOf(t, others)
	if body, code := joinAs(t, leader.listen, Replica{ID: "rx@" + wiped.listen, Raft: wiped.raft + addressNameSeparator + "rx"}); code != http.StatusConflict || !strings.Contains(body, "dismiss "+was) {
		t.Errorf("a new replica at the address of one that is not dismissed: %d %s", code, body)
	}
	dismiss(was)
	wiped.start(leader.listen)
	waitFor(t, "the replica is back as a new one", func() bool { id := idOf(wiped); return id != "" && id != was })
	old := leaderOf(t, others)
	oldID := idOf(old)
	dismiss(oldID)
	old.kill()
	rest := slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == old })
	leaderOf(t, rest)
	close(stop)
	if err := checkHistory(<-done); err != nil {
		t.Error(err)
	}
	sameLists(t, rest)
}

// joinAs asks for a place in the service, once.
func joinAs(t *testing.T, addr string, r Replica) (string, int) {
	t.Helper()
	body, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+addr+"/registry/replicas", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), resp.StatusCode
}

// A reader that is ahead of a replica that lags is turned away there, and is served when the
// replica has caught up: it is never shown the past.
func TestReaderAheadOfLaggingReplica(t *testing.T) {
	all := startService(t, 3)
	c := &Client{Replicas: addresses(all)}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	register := func(n int) uint64 {
		o, err := c.Register(ctx, Registration{entry(fmt.Sprint("s-", n), n), 1, 0})
		if err != nil {
			t.Fatal(err)
		}
		return o.Generation
	}
	register(1)
	lags := all[0]
	if lags == leaderOf(t, all) {
		lags = all[1]
	}
	lags.cut(all, true, true)
	c.Replicas = addresses(slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == lags }))
	at := register(2)
	resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", lags.listen, at))
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a reader of %d gets %s %s", at, resp.Status, text)
	}
	lags.cut(all, false, false)
	w := startWatch(t, lags.listen, at)
	next := register(3)
	if m := w.next(t); m.Reset || m.Generation != next {
		t.Errorf("after it has caught up the watch gets %+v, not %d", m, next)
	}
}

// The judge catches histories that a broken state machine gives.
func TestCheckHistoryCatchesBrokenHistories(t *testing.T) {
	run := func(apply func(*State, Command) Outcome) error {
		s := NewState(0)
		rng := rand.New(rand.NewPCG(1, 2))
		var ops []porcupine.Operation
		for i := range int64(400) {
			w := operation{kind: []string{Register, Register, Drain, Remove}[rng.IntN(4)], id: fmt.Sprint("s-", rng.IntN(3)), inc: 1 + rng.Uint64N(6) + uint64(i/80)}
			c := Command{Kind: w.kind, ID: w.id, Incarnation: w.inc}
			if w.kind == Register {
				var n int
				fmt.Sscanf(w.id, "s-%d", &n)
				c.Entry = entry(w.id, 100+n)
			}
			o := apply(s, c)
			ops = append(ops, porcupine.Operation{Input: w, Output: result{code: o.Code, generation: o.Generation}, Call: 10 * i, Return: 10*i + 5})
		}
		return checkHistory(ops)
	}
	if err := run((*State).Apply); err != nil {
		t.Errorf("the right one: %v", err)
	}
	if run(func(s *State, c Command) Outcome {
		if r := s.records[c.Entry.InstanceID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
			r.Incarnation = c.Incarnation
			return s.commit(r.Entry)
		}
		return s.Apply(c)
	}) == nil {
		t.Error("an older incarnation accepted was not caught")
	}
	stale := []porcupine.Operation{
		{Input: operation{Register, "s-1", 1}, Output: result{code: Done, generation: 1}, Call: 0, Return: 5},
		{Input: operation{showKind, "s-1", 0}, Output: result{code: NotFound}, Call: 10, Return: 15},
	}
	if checkHistory(stale) == nil {
		t.Error("a read of the past was not caught")
	}
	if run(func(s *State, c Command) Outcome {
		o := s.Apply(c)
		if o.Code == Done && c.Kind == Drain {
			s.changeCount--
			o.Generation--
		}
		return o
	}) == nil {
		t.Error("a generation used twice was not caught")
	}
}
