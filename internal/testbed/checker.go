package testbed

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

// Rules that a violation may name.
const (
	RuleLost    = "lost"    // a request taken by a live node gets one final answer, in time
	RuleTwice   = "twice"   // what must never run twice doesn't, and is not called harmless to try again
	RuleDrain   = "drain"   // nothing new goes to a server that drains, after the grace
	RuleCold    = "cold"    // no cold server is overloaded to failure
	RuleCeiling = "ceiling" // all nodes together keep a tenant's ceiling
	RuleOwn     = "own"     // an answer is the one that a server made for this request
	RuleForeign = "foreign" // a server gets only what a client sent
)

// Limits of the rules, as the settings tell the nodes.
const (
	answerSlack  = 8 * time.Millisecond
	drainGrace   = 500 * time.Millisecond
	socketSlack  = 50 * time.Millisecond // by which each time limit is extended on sockets
	ceilingLag   = 150 * time.Millisecond
	knowingShare = 2.0 / 3 // of the work that overloaded a server to failure, from nodes that knew of its start
)

// Violation is one broken rule.
type Violation struct {
	At   time.Duration `json:"at_ns"`
	Rule string        `json:"rule"`
	Node int           `json:"node"`
	ID   string        `json:"id,omitempty"`
	What string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs node %d: %s: %s %s", v.At.Seconds(), v.Node, v.Rule, v.What, v.ID)
}

// maxViolations bounds what is kept word for word; all are counted.
const maxViolations = 100

// clientAttempt is one request of a client: a first one or a repeat, each with an id of its own.
type clientAttempt struct {
	id       string
	arrival  int // number in the schedule
	number   int // 0: the first attempt
	node     int
	method   string
	target   string
	body     string
	sent     time.Duration // its last byte was written
	deadline time.Duration
	accepted bool
	closed   bool
	upstream []upstreamAttempt
}

// upstreamAttempt is what a server knows of one attempt.
type upstreamAttempt struct {
	server    string
	neverRan  bool   // an answer told that it never ran
	response  string // that the server made, "" before it has
	overQuota bool
}

// delivery is what a node was told of a server.
type delivery struct {
	state      lifecycle
	at         time.Duration
	knowsStart bool // it knows of the cold start
}

// checker checks nodes against the rules. It is told by all sides and decides nothing else.
type checker struct {
	mu             sync.Mutex
	scenario       *Scenario
	schedule       *Schedule
	attempts       map[string]*clientAttempt
	quotas         []quota
	delivered      []map[string]delivery // by node
	work           map[string]map[int]float64
	records        []Record
	violations     []Violation
	violationCount map[string]int
	slack          func(node int) time.Duration // what the machine did not give the node or the testbed
	unitsInQuota   float64                      // units sent on inside quotas
	unitsOverQuota float64
	closed         int // requests whose new connection was closed with no answer
}

// closedPerRequests is how many requests may be told by the close of their new connection that there is no room: one
// in so many.
const closedPerRequests = 200

func newChecker(s *Scenario, d *Schedule) *checker {
	r := &checker{
		scenario: s, schedule: d, attempts: map[string]*clientAttempt{}, quotas: make([]quota, len(d.Tenants)), work: map[string]map[int]float64{},
		violationCount: map[string]int{}, slack: func(int) time.Duration { return 0 }, records: make([]Record, len(d.Arrivals)),
	}
	for i := range r.quotas {
		p := s.Plans[d.Tenants[i].Plan]
		r.quotas[i] = quota{tokens: p.Burst, hardLimitTokens: p.HardLimitBurst, offered: p.Burst}
	}
	for range s.Fleet.Nodes {
		r.delivered = append(r.delivered, map[string]delivery{})
	}
	for i, a := range d.Arrivals {
		c := &d.Tenants[a.Tenant]
		p := s.Plans[c.Plan]
		worth := s.Classes[a.Class].PriorityWeight * p.WeightFactor * a.Units
		q := &r.quotas[a.Tenant]
		q.offered = math.Min(q.offered+p.Rate*(a.At-q.offeredAt).Seconds(), p.Burst)
		q.offeredAt = a.At
		rec := Record{Due: a.At, Node: a.Node, Class: a.Class, Plan: c.Plan, Value: worth}
		if q.offered >= a.Units {
			q.offered -= a.Units
			rec.OfferedValue = worth
		} else {
			rec.OfferedValue = worth * p.OverQuotaValue
		}
		r.records[i] = rec
	}
	return r
}

// violate books a broken rule. Called under the mutex.
func (r *checker) violate(at time.Duration, rule string, node int, id, format string, args ...any) {
	r.violationCount[rule]++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{at, rule, node, id, fmt.Sprintf(format, args...)})
	}
}

// attemptStarted books an attempt as its client sets about it.
func (r *checker) attemptStarted(t *clientAttempt, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[t.id] = t
	rec := &r.records[t.arrival]
	rec.Attempts++
	if t.number == 0 {
		rec.Lateness = at - rec.Due
	}
}

// attemptSent books that the last byte of an attempt was written.
func (r *checker) attemptSent(t *clientAttempt, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.sent, t.accepted = at, true
	if t.number == 0 {
		r.records[t.arrival].Sent = at
	}
}

// attemptAnswered judges the final answer of an attempt and books it. It may be late only where the node was kept from answering.
func (r *checker) attemptAnswered(t *clientAttempt, at time.Duration, status int, body string, answerable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.closed {
		r.violate(at, RuleLost, t.node, t.id, "a second final answer")
		return
	}
	t.closed = true
	rec := &r.records[t.arrival]
	if limit := t.deadline + answerSlack + socketSlack + r.slack(t.node); answerable && at > limit {
		r.violate(at, RuleLost, t.node, t.id, "answered %v after its deadline", (at - t.deadline).Round(time.Millisecond))
	}
	switch status {
	case 200:
		own := false
		for _, a := range t.upstream {
			if a.response != "" && a.response == body {
				own = true
				rec.InQuota = !a.overQuota
			}
		}
		if !own {
			r.violate(at, RuleOwn, t.node, t.id, "served %q, which no app server made for it", clip(body))
			rec.Failed++
			return
		}
		rec.Served, rec.Done = true, at
	case 429, 503:
		rec.Rejected++
		if q := r.refill(r.schedule.Arrivals[t.arrival].Tenant, at); q.tokens >= r.scenario.Plans[rec.Plan].Burst/2 {
			rec.RejectedInQuota++
		}
		if r.scenario.Classes[rec.Class].NonIdempotent {
			for _, a := range t.upstream {
				if !a.neverRan {
					r.violate(at, RuleTwice, t.node, t.id, "rejected as harmless to try again, and may have run at %s", a.server)
					break
				}
			}
		}
	default:
		rec.Failed++
	}
	if rec.Done == 0 {
		rec.Done = at
	}
}

// noResponse says why an attempt ended with no response. The zero value is one whose node could not be reached or could
// not answer.
type noResponse struct {
	answerable    bool // the node could answer all the time
	closedNewConn bool // it was the first attempt on its connection, and the node closed that
	why           string
}

// attemptUnanswered books that an attempt ended with no response, which is a violation where the node could give one.
func (r *checker) attemptUnanswered(t *clientAttempt, at time.Duration, end noResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	rec := &r.records[t.arrival]
	rec.Failed++
	if !t.accepted {
		rec.Unreached++
		return
	}
	if !end.answerable {
		return
	}
	if end.closedNewConn && len(t.upstream) == 0 {
		if r.closed++; r.closed*closedPerRequests <= len(r.schedule.Arrivals) {
			return
		}
	}
	r.violate(at, RuleLost, t.node, t.id, "no answer: %s", end.why)
}

// upstreamArrived books an attempt whose last byte has come to a server. It returns the attempt and the
// attempt's number; ok is false for an id that no client sent.
func (r *checker) upstreamArrived(server, id, method, target, body string, at time.Duration) (t *clientAttempt, attempt int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.attempts[id]
	if t == nil {
		r.violate(at, RuleForeign, -1, id, "%s got a request that no client sent", server)
		return nil, 0, false
	}
	if method != t.method || target != t.target || body != t.body {
		r.violate(at, RuleForeign, t.node, id, "%s got it as %s %s", server, method, clip(target))
		return nil, 0, false
	}
	rec := &r.records[t.arrival]
	if r.scenario.Classes[rec.Class].NonIdempotent {
		for _, a := range t.upstream {
			if !a.neverRan {
				r.violate(at, RuleTwice, t.node, id, "sent to %s, and may have run at %s", server, a.server)
				break
			}
		}
	}
	if k := r.delivered[t.node][server]; k.state == lifecycleDraining || k.state == lifecycleRemoved {
		if limit := k.at + drainGrace + socketSlack + r.slack(t.node); at > limit {
			r.violate(at, RuleDrain, t.node, id, "%s was told to be %s %v before", server, k.state, (at - k.at).Round(time.Millisecond))
		}
	}
	beyond := false
	if len(t.upstream) == 0 {
		beyond = r.chargeUnits(t, at)
	} else {
		beyond = t.upstream[0].overQuota
	}
	t.upstream = append(t.upstream, upstreamAttempt{server: server, overQuota: beyond})
	w := r.work[server]
	if w == nil {
		w = map[int]float64{}
		r.work[server] = w
	}
	w[t.node] += r.schedule.Arrivals[t.arrival].Work
	return t, len(t.upstream) - 1, true
}

// upstreamRejected books an answer that tells that the attempt never ran.
func (r *checker) upstreamRejected(t *clientAttempt, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.upstream[attempt].neverRan = true
}

// entryDelivered books that a node's agent has written an entry of the list.
func (r *checker) entryDelivered(node int, server string, state lifecycle, at time.Duration, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.delivered[node][server]; ok && k.state == state && k.knowsStart == started && k.at <= at {
		return // the grace counts from the first time
	}
	r.delivered[node][server] = delivery{state, at, started}
}

// snapshotDelivered books that a node was sent a whole list: what is not in it is gone.
func (r *checker) snapshotDelivered(node int, listed map[string]bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, k := range r.delivered[node] {
		if !listed[server] && k.state != lifecycleRemoved {
			r.delivered[node][server] = delivery{lifecycleRemoved, at, k.knowsStart}
		}
	}
}

// serverOverloaded books that a cold server was overloaded to failure. The rule is broken if most of the work came
// from nodes that knew of its start.
func (r *checker) serverOverloaded(server string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	knew, all := 0.0, 0.0
	for node, w := range r.work[server] {
		all += w
		if r.delivered[node][server].knowsStart {
			knew += w
		}
	}
	if all > 0 && knew/all >= knowingShare {
		r.violate(at, RuleCold, -1, "", "%s fell over, %.0f%% of its work from nodes told of its start", server, 100*knew/all)
	}
}

// openAttempts lists the attempts that were taken and have no answer yet.
func (r *checker) openAttempts() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.attempts {
		if t.accepted && !t.closed {
			n++
		}
	}
	return n
}

// verdict returns what was broken, by rule, and the first violations in order of time.
func (r *checker) verdict() (map[string]int, []Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := map[string]int{}
	for k, n := range r.violationCount {
		broken[k] = n
	}
	v := append([]Violation(nil), r.violations...)
	sort.SliceStable(v, func(a, b int) bool { return v[a].At < v[b].At })
	return broken, v
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}
