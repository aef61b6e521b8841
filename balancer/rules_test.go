package balancer

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The rule checker: seeded random legal sequences drive several gateways, and
// what they do is held against the text of the five rules. Outcomes are drawn
// at random; there is no model of how servers perform.

const ms = time.Millisecond

type attemptRecord struct {
	endpoint string
	at       time.Duration
	done     bool
	neverRan bool
	timeout  time.Duration
	end      time.Duration
}

type requestRecord struct {
	request       Request
	node          int
	incarnation   int // incarnation of the gateway
	arrivedAt     time.Duration
	attempts      []attemptRecord
	answers       int
	nodeRestarted bool
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

type hardLimitBucket struct {
	tokens float64
	at     time.Duration
}

type ruleChecker struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	now          time.Duration
	queue        eventQueue
	sequence     int
	balancers    []*Balancer
	incarnations []int
	requests     map[string]*requestRecord
	endpoints    map[string]Endpoint
	endpointIDs  []string
	drainSeen    []map[string]time.Duration // per gateway: when a server was told not to take work
	startedAt    map[string]time.Duration
	sentTo       map[string][]time.Duration // to each server
	responses    map[string][]time.Duration
	hardLimits   map[uint64]*hardLimitBucket
	loss         float64
	actions      []string
	served       int
}

const endpointRate = 40 // requests a second that a warm server answers; more is turned away as Full

type checkedNode struct {
	checker     *ruleChecker
	index       int
	incarnation int
}

func (w *ruleChecker) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledEvent{w.now + max(d, ms), w.sequence, run})
}

func (w *ruleChecker) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (p checkedNode) record(format string, args ...any) {
	p.checker.actions = append(p.checker.actions, fmt.Sprintf("%v %d ", p.checker.now, p.index)+fmt.Sprintf(format, args...))
}

func (p checkedNode) SendAttempt(id, server string, timeout, by time.Duration) {
	w := p.checker
	p.record("send %s %s %v", id, server, timeout)
	r := w.requests[id]
	if r == nil || r.node != p.index {
		w.fail("send of unknown request %s", id)
		return
	}
	if r.answers > 0 {
		w.fail("rule 1: %s sent after its final answer", id)
	}
	c := w.settings.Classes[0]
	for _, k := range w.settings.Classes {
		if k.Name == r.request.Class {
			c = k
		}
	}
	out := 0
	for _, a := range r.attempts {
		if !a.done {
			out++
		}
		if a.neverRan {
			continue
		}
		was, is := w.endpoints[a.endpoint], w.endpoints[server]
		switch {
		case c.Idempotency == NonIdempotent:
			w.fail("rule 2: unsafe %s sent again", id)
		case c.Idempotency == IdempotentWithKey && w.now-a.at > c.DedupWindow:
			w.fail("rule 2: keyed %s sent again after %v", id, w.now-a.at)
		case c.Idempotency == IdempotentWithKey && c.DedupScope == DedupZone && was.Zone != is.Zone,
			c.Idempotency == IdempotentWithKey && c.DedupScope == DedupCell && was.Cell != is.Cell:
			w.fail("rule 2: keyed %s sent outside its group", id)
		}
	}
	if out > 0 && !w.settings.Hedging {
		w.fail("rule 2: %s has two attempts out", id)
	}
	if at, ok := w.drainSeen[p.index][server]; ok && w.now-at > w.settings.DrainTimeout {
		w.fail("rule 3: send to %s %v after its drain was told", server, w.now-at)
	}
	if len(r.attempts) == 0 {
		w.drawHardLimit(r.request)
	}
	w.checkSlowStart(server)
	n := len(r.attempts)
	end := r.arrivedAt + r.request.Timeout
	took := time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	res := OK
	switch w.rng.IntN(24) {
	case 0:
		res = ErrorResponse
	case 1:
		res, took = Overloaded, ms
	case 2:
		res = Reset
	case 3:
		res, took = ConnectFailed, 50*ms
	case 4:
		took = time.Hour
	}
	if w.overloaded(server) {
		res, took = Overloaded, ms
	}
	limit := end - w.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if took > limit {
		res, took = TimedOut, limit
	}
	r.attempts = append(r.attempts, attemptRecord{endpoint: server, at: w.now})
	w.after(took, func() { w.finish(p, r, n, res) })
}

func (w *ruleChecker) overloaded(server string) bool {
	n := 0
	for _, at := range w.responses[server] {
		if w.now-at < time.Second {
			n++
		}
	}
	return n >= endpointRate
}

func (w *ruleChecker) finish(p checkedNode, r *requestRecord, n int, res Result) {
	a := &r.attempts[n]
	if a.done {
		return
	}
	a.done, a.neverRan, a.end = true, res == Overloaded || res == ConnectFailed || res == NotSent, w.now
	if res == OK {
		w.responses[a.endpoint] = append(w.responses[a.endpoint], w.now)
		if r.answers == 0 {
			r.answers++
			w.served++
		}
	}
	if r.nodeRestarted || w.incarnations[p.index] != p.incarnation {
		return
	}
	o := Outcome{ID: r.request.ID, Attempt: n, Answered: r.answers > 0, Result: res, EndpointID: a.endpoint, Elapsed: w.now - a.at}
	w.balancers[p.index].AttemptFinished(w.now, o, p)
}

// drawHardLimit takes the first send of a try from its customer's ceiling: rule 5.
func (w *ruleChecker) drawHardLimit(q Request) {
	p := w.settings.Plans[0]
	if q.Plan != p.Name {
		return
	}
	s := w.hardLimits[q.Tenant]
	if s == nil {
		s = &hardLimitBucket{p.HardLimitBurst, 0}
		w.hardLimits[q.Tenant] = s
	}
	s.tokens = math.Min(p.HardLimitBurst, s.tokens+p.HardLimitRate*(w.now-s.at).Seconds()) - q.Units
	s.at = w.now
	if s.tokens < -p.HardLimitSlack-1e-6 {
		w.fail("rule 5: ceiling of customer %d at %.2f", q.Tenant, s.tokens)
	}
}

// checkSlowStart counts what all gateways send a cold server in any window: rule 4.
func (w *ruleChecker) checkSlowStart(server string) {
	w.sentTo[server] = append(w.sentTo[server], w.now)
	boot, ok := w.startedAt[server]
	if !ok || w.now-boot >= w.settings.SlowStartDuration {
		return
	}
	age := (w.now - boot).Seconds() / w.settings.SlowStartDuration.Seconds()
	share := w.settings.SlowStartInitialFraction + (1-w.settings.SlowStartInitialFraction)*age
	n := 0.0
	for _, at := range w.sentTo[server] {
		if at >= boot && w.now-at <= w.settings.OverloadWindow {
			n++
		}
	}
	if n > w.settings.OverloadFactor*share*endpointRate*w.settings.OverloadWindow.Seconds() {
		w.fail("rule 4: %v sends in %v to cold %s at %.2f", n, w.settings.OverloadWindow, server, share)
	}
}

func (p checkedNode) answer(id, how string) *requestRecord {
	r := p.checker.requests[id]
	p.record("%s %s", how, id)
	if r == nil || r.node != p.index {
		p.checker.fail("answer to unknown request %s", id)
		return nil
	}
	if r.answers > 0 {
		p.checker.fail("rule 1: second answer to %s", id)
	}
	if p.checker.now > r.arrivedAt+r.request.Timeout+p.checker.settings.ResponseSlack {
		p.checker.fail("rule 1: answer to %s late", id)
	}
	r.answers++
	return r
}

func (p checkedNode) Reject(id string, _ time.Duration) {
	r := p.answer(id, "refuse")
	if r == nil {
		return
	}
	for _, c := range p.checker.settings.Classes {
		if c.Name != r.request.Class || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupFleet {
			continue
		}
		for _, a := range r.attempts {
			if !a.neverRan {
				p.checker.fail("rule 2: %s refused though it may have run", id)
			}
		}
	}
}

func (p checkedNode) Fail(id string) { p.answer(id, "fail") }

func (p checkedNode) CancelAttempt(id string, n int) {
	p.record("cancel %s %d", id, n)
	r := p.checker.requests[id]
	p.checker.after(ms, func() { p.checker.finish(p, r, n, Cancelled) })
}

func (p checkedNode) SetTimer(token uint64, d time.Duration) {
	p.checker.after(d, func() {
		if p.checker.incarnations[p.index] == p.incarnation {
			p.checker.balancers[p.index].TimerFired(p.checker.now, token, p)
		}
	})
}

func (p checkedNode) HealthCheck(string) {}

func (p checkedNode) SendPeer(to int, m []byte) {
	if len(m) > 256 {
		p.checker.fail("message of %d bytes", len(m))
	}
	b := append([]byte(nil), m...)
	p.record("tell %d %x", to, b)
	for k := p.checker.rng.IntN(2); k >= 0; k-- { // some come twice
		if p.checker.rng.Float64() < p.checker.loss {
			continue
		}
		p.checker.after(time.Duration(p.checker.rng.IntN(150))*ms, func() {
			p.checker.balancers[to].PeerMessage(p.checker.now, p.index, b, checkedNode{p.checker, to, p.checker.incarnations[to]})
		})
	}
}

func (p checkedNode) WatchEndpoints(bool)                  {}
func (p checkedNode) Log(slog.Level, string, ...slog.Attr) {}

func (w *ruleChecker) start(i int) {
	w.incarnations[i]++
	for _, r := range w.requests {
		if r.node == i && r.answers == 0 {
			r.nodeRestarted = true
		}
	}
	s := w.settings
	s.NodeIndex = i
	g, err := New(s, w.rng.Uint64())
	if err != nil {
		w.t.Fatal(err)
	}
	w.balancers[i] = g
	p := checkedNode{w, i, w.incarnations[i]}
	g.Start(w.now, p)
	w.updateEndpoints(i, UpdateCached, w.endpointIDs...)
}

func (w *ruleChecker) updateEndpoints(i int, form UpdateKind, ids ...string) {
	var list []Endpoint
	for _, id := range ids {
		s := w.endpoints[id]
		list = append(list, s)
		if s.State == Up {
			delete(w.drainSeen[i], id)
		} else if _, ok := w.drainSeen[i][id]; !ok {
			w.drainSeen[i][id] = w.now
		}
	}
	w.balancers[i].EndpointsUpdated(w.now, form, list, checkedNode{w, i, w.incarnations[i]})
}

// checkRules runs one random sequence on so many gateways and returns the gateways' actions.
func checkRules(t *testing.T, seed uint64, parallel bool, group DedupScope, loss float64, gates int) *ruleChecker {
	w := &ruleChecker{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[string]*requestRecord{}, endpoints: map[string]Endpoint{},
		startedAt: map[string]time.Duration{}, sentTo: map[string][]time.Duration{}, responses: map[string][]time.Duration{},
		hardLimits: map[uint64]*hardLimitBucket{}, loss: loss}
	w.settings = testSettings()
	w.settings.NodeCount, w.settings.Hedging = gates, parallel
	w.settings.Classes[1].DedupScope = group
	w.balancers, w.incarnations = make([]*Balancer, gates), make([]int, gates)
	for i := 0; i < 8; i++ {
		id := fmt.Sprintf("s%d", i)
		w.endpointIDs = append(w.endpointIDs, id)
		w.endpoints[id] = Endpoint{ID: id, MachineType: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for i := range w.balancers {
		w.drainSeen = append(w.drainSeen, map[string]time.Duration{})
		w.start(i)
	}
	const day = 12 * time.Second
	var arrive func()
	arrive = func() {
		if w.now > day {
			return
		}
		w.after(time.Duration(w.rng.ExpFloat64()*float64(5*ms)), arrive)
		q := Request{ID: fmt.Sprintf("r%d", w.sequence), Class: w.settings.Classes[w.rng.IntN(3)].Name, Plan: w.settings.Plans[w.rng.IntN(3)].Name,
			Timeout: time.Duration(300+w.rng.IntN(1700)) * ms, Units: float64(1 + w.rng.IntN(3)), EntryNodes: min(gates, 12)}
		q.Tenant = uint64(w.rng.IntN(4))
		if q.Plan != w.settings.Plans[0].Name {
			q.Tenant += 100 * uint64(1+w.rng.IntN(2))
			if q.Plan == w.settings.Plans[2].Name {
				q.Tenant += 1000
			}
		}
		q.FirstEntryNode = int(q.Tenant*7) % gates
		g := (q.FirstEntryNode + w.rng.IntN(q.EntryNodes)) % gates
		w.requests[q.ID] = &requestRecord{request: q, node: g, incarnation: w.incarnations[g], arrivedAt: w.now}
		w.balancers[g].RequestArrived(w.now, q, checkedNode{w, g, w.incarnations[g]})
	}
	w.after(0, arrive)
	for i := 0; i < 14; i++ {
		w.after(time.Duration(w.rng.Int64N(int64(day))), func() {
			id := w.endpointIDs[w.rng.IntN(len(w.endpointIDs))]
			s := w.endpoints[id]
			switch w.rng.IntN(4) {
			case 0:
				w.start(w.rng.IntN(gates))
				return
			case 1:
				s.State = Draining
			case 2:
				s.State = Removed
			case 3:
				s.State, s.StartedAt = Up, w.now
				w.startedAt[id], w.responses[id] = w.now, nil
			}
			w.endpoints[id] = s
			for g := range w.balancers {
				w.updateEndpoints(g, UpdateDelta, id)
			}
		})
	}
	for w.queue.Len() > 0 && w.now < day+5*time.Second {
		e := heap.Pop(&w.queue).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	for id, r := range w.requests {
		if r.answers != 1 && !r.nodeRestarted {
			w.fail("rule 1: %s has %d final answers", id, r.answers)
		}
	}
	return w
}

func testSettings() Settings {
	return Settings{
		NodeCount: 1, Zone: "a",
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 300 * ms, LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
			{Name: "unsafe", Idempotency: NonIdempotent, DedupWindow: time.Second, LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Name: "hard", Rate: 20, Burst: 20, HardLimitRate: 25, HardLimitBurst: 24, HardLimitSlack: 1, WeightFactor: 1},
			{Name: "rate", Rate: 40, Burst: 40, WeightFactor: 1},
			{Name: "open", MaxConcurrent: 6, WeightFactor: 1},
		},
		ResponseSlack: 10 * ms, DrainTimeout: 200 * ms, SlowStartInitialFraction: 0.2, SlowStartDuration: 8 * time.Second, OverloadFactor: 2,
		OverloadWindow: time.Second, MaxAttempts: 4, Cancellation: true, Gossip: true, RetryAfter: true,
		MaxRetryAfter: 2 * time.Second, PeerMessagesPerSecond: 60, Tick: ms,
	}
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	served, total := 0, 0
	for seed := uint64(1); seed <= 48; seed++ {
		loss := []float64{0, 0.1, 1}[seed%3]
		// Every sixth has hundreds of gateways around the same few servers, where holders are asked.
		gates := 3
		if seed%6 == 0 {
			gates = 300
		}
		if gates > 3 {
			loss = []float64{0, 0.1, 1}[seed/6%3]
		}
		w := checkRules(t, seed, seed%2 == 0, DedupScope(seed%3), loss, gates)
		served, total = served+w.served, total+len(w.requests)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served: the sequences exercise too little", served, total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := checkRules(t, 7, true, DedupCell, 0.1, 3), checkRules(t, 7, true, DedupCell, 0.1, 3)
	if len(a.actions) < 1000 || len(a.actions) != len(b.actions) {
		t.Fatalf("%d and %d actions", len(a.actions), len(b.actions))
	}
	for i := range a.actions {
		if a.actions[i] != b.actions[i] {
			t.Fatalf("action %d: %q and %q", i, a.actions[i], b.actions[i])
		}
	}
}
