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
	RuleCold    = "cold"    // no cold server is pushed over
	RuleCeiling = "ceiling" // all nodes together keep a customer's ceiling
	RuleOwn     = "own"     // an answer is the one that a server made for this request
	RuleForeign = "foreign" // a server gets only what a client sent
)

// Limits of the rules, as the settings tell the nodes.
const (
	answerSlack = 8 * time.Millisecond
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond // by which each time limit is extended on sockets
	ceilingLag  = 150 * time.Millisecond
	toldShare   = 2.0 / 3 // of the work that pushed a server over, from nodes told of its start
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

// mostViolations bounds what is kept word for word; all are counted.
const mostViolations = 100

// try is one request of a client: a first one or a repeat, each with an id of its own.
type try struct {
	id       string
	arrival  int // number in the schedule
	number   int // 0: the first try
	node     int
	method   string
	target   string
	body     string
	sent     time.Duration // its last byte was written
	deadline time.Duration
	taken    bool
	closed   bool
	attempts []attemptTruth
}

// attemptTruth is what a server knows of one attempt.
type attemptTruth struct {
	server string
	never  bool   // an answer told that it never ran
	body   string // that the server made, "" before it has
	beyond bool
}

// quota is the truth of one customer's stores.
type quota struct {
	at             time.Duration
	level, ceiling float64
	offered        float64 // of one gateway that saw all first tries
	offeredAt      time.Duration
}

// told is what a node was told of a server.
type told struct {
	state   string
	at      time.Duration
	started bool // it knows of the cold start
}

// referee holds nodes to the rules. It is told by all sides and decides nothing else.
type referee struct {
	mu         sync.Mutex
	s          *Scenario
	d          *Schedule
	tries      map[string]*try
	quotas     []quota
	told       []map[string]told // by node
	work       map[string]map[int]float64
	records    []Record
	violations []Violation
	broken     map[string]int
	slack      func(node int) time.Duration // what the machine did not give the node or the lab
	inside     float64                      // units sent on inside quotas
	beyond     float64
	closed     int // requests whose new connection was closed with no answer
}

// closedMost is how many requests may be told by the close of their new connection that there is no room: one
// in so many.
const closedMost = 200

// Record is the life of one arrival, over all tries of its client.
type Record struct {
	Due      time.Duration
	Sent     time.Duration // of the first try; 0: it could not be
	Done     time.Duration // of the last answer; 0: none came
	Node     int
	Class    int
	Plan     int
	Tries    int
	Refused  int
	Failed   int
	Room     int // of the refused ones, with half of the quota unused
	Served   bool
	InQuota  bool          // the try that was served was inside the quota
	Worth    float64       // inside the quota
	Offered  float64       // what one gateway that saw all would let in
	Unreach  int           // tries that reached no node
	Lateness time.Duration // of the generator: from when it was due to when its client set about it
}

func newReferee(s *Scenario, d *Schedule) *referee {
	r := &referee{
		s: s, d: d, tries: map[string]*try{}, quotas: make([]quota, len(d.Customers)), work: map[string]map[int]float64{},
		broken: map[string]int{}, slack: func(int) time.Duration { return 0 }, records: make([]Record, len(d.Arrivals)),
	}
	for i := range r.quotas {
		p := s.Plans[d.Customers[i].Plan]
		r.quotas[i] = quota{level: p.Burst, ceiling: p.CeilingBurst, offered: p.Burst}
	}
	for range s.Fleet.Nodes {
		r.told = append(r.told, map[string]told{})
	}
	for i, a := range d.Arrivals {
		c := &d.Customers[a.Customer]
		p := s.Plans[c.Plan]
		worth := s.Classes[a.Class].Worth * p.Price * a.Units
		q := &r.quotas[a.Customer]
		q.offered = math.Min(q.offered+p.Rate*(a.At-q.offeredAt).Seconds(), p.Burst)
		q.offeredAt = a.At
		rec := Record{Due: a.At, Node: a.Node, Class: a.Class, Plan: c.Plan, Worth: worth}
		if q.offered >= a.Units {
			q.offered -= a.Units
			rec.Offered = worth
		} else {
			rec.Offered = worth * p.OverWorth
		}
		r.records[i] = rec
	}
	return r
}

// violate books a broken rule. Called under the mutex.
func (r *referee) violate(at time.Duration, rule string, node int, id, format string, args ...any) {
	r.broken[rule]++
	if len(r.violations) < mostViolations {
		r.violations = append(r.violations, Violation{at, rule, node, id, fmt.Sprintf(format, args...)})
	}
}

// ask books a try as its client sets about it.
func (r *referee) ask(t *try, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries[t.id] = t
	rec := &r.records[t.arrival]
	rec.Tries++
	if t.number == 0 {
		rec.Lateness = at - rec.Due
	}
}

// sent books that the last byte of a try was written.
func (r *referee) sent(t *try, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.sent, t.taken = at, true
	if t.number == 0 {
		r.records[t.arrival].Sent = at
	}
}

// answered judges the final answer of a try and books it. It may be late only where the node was kept from answering.
func (r *referee) answered(t *try, at time.Duration, status int, body string, answerable bool) {
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
		for _, a := range t.attempts {
			if a.body != "" && a.body == body {
				own = true
				rec.InQuota = !a.beyond
			}
		}
		if !own {
			r.violate(at, RuleOwn, t.node, t.id, "served %q, which no app server made for it", clip(body))
			rec.Failed++
			return
		}
		rec.Served, rec.Done = true, at
	case 429, 503:
		rec.Refused++
		if q := r.fill(r.d.Arrivals[t.arrival].Customer, at); q.level >= r.s.Plans[rec.Plan].Burst/2 {
			rec.Room++
		}
		if r.s.Classes[rec.Class].Unsafe {
			for _, a := range t.attempts {
				if !a.never {
					r.violate(at, RuleTwice, t.node, t.id, "refused as harmless to try again, and may have run at %s", a.server)
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

// unanswered books that a try ended with no answer though the node could give one, or could not. closed
// tells that it was the first on its connection, and the node closed that.
func (r *referee) unanswered(t *try, at time.Duration, answerable, closed bool, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	rec := &r.records[t.arrival]
	rec.Failed++
	if !t.taken {
		rec.Unreach++
		return
	}
	if answerable && closed && len(t.attempts) == 0 {
		if r.closed++; r.closed*closedMost <= len(r.d.Arrivals) {
			return
		}
	}
	if answerable {
		r.violate(at, RuleLost, t.node, t.id, "no answer: %s", why)
	}
}

// arrived books an attempt whose last byte has come to a server. It returns the try and the
// attempt's number; ok is false for an id that no client sent.
func (r *referee) arrived(server, id, method, target, body string, at time.Duration) (t *try, attempt int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.tries[id]
	if t == nil {
		r.violate(at, RuleForeign, -1, id, "%s got a request that no client sent", server)
		return nil, 0, false
	}
	if method != t.method || target != t.target || body != t.body {
		r.violate(at, RuleForeign, t.node, id, "%s got it as %s %s", server, method, clip(target))
		return nil, 0, false
	}
	rec := &r.records[t.arrival]
	if r.s.Classes[rec.Class].Unsafe {
		for _, a := range t.attempts {
			if !a.never {
				r.violate(at, RuleTwice, t.node, id, "sent to %s, and may have run at %s", server, a.server)
				break
			}
		}
	}
	if k := r.told[t.node][server]; k.state == "draining" || k.state == "removed" {
		if limit := k.at + drainGrace + socketSlack + r.slack(t.node); at > limit {
			r.violate(at, RuleDrain, t.node, id, "%s was told to be %s %v before", server, k.state, (at - k.at).Round(time.Millisecond))
		}
	}
	beyond := false
	if len(t.attempts) == 0 {
		beyond = r.takeUnits(t, at)
	} else {
		beyond = t.attempts[0].beyond
	}
	t.attempts = append(t.attempts, attemptTruth{server: server, beyond: beyond})
	w := r.work[server]
	if w == nil {
		w = map[int]float64{}
		r.work[server] = w
	}
	w[t.node] += r.d.Arrivals[t.arrival].Work
	return t, len(t.attempts) - 1, true
}

// fill brings a customer's stores to a time. Called under the mutex.
func (r *referee) fill(customer int, at time.Duration) *quota {
	q, p := &r.quotas[customer], r.s.Plans[r.d.Customers[customer].Plan]
	if dt := (at - q.at).Seconds(); dt > 0 {
		q.level = math.Min(q.level+p.Rate*dt, p.Burst)
		q.ceiling = math.Min(q.ceiling+p.CeilingRate*dt, p.CeilingBurst)
		q.at = at
	}
	return q
}

// takeUnits takes a try's units from its customer's stores as it is first sent on, and tells
// whether it is beyond the quota. Called under the mutex.
func (r *referee) takeUnits(t *try, at time.Duration) (beyond bool) {
	a := &r.d.Arrivals[t.arrival]
	p := r.s.Plans[r.d.Customers[a.Customer].Plan]
	q := r.fill(a.Customer, at)
	if beyond = q.level < a.Guess; beyond {
		r.beyond += a.Guess
	} else {
		q.level -= a.Guess
		r.inside += a.Guess
	}
	if p.CeilingRate > 0 {
		q.ceiling -= a.Guess
		// Attempts that two nodes sent within the lag may arrive in either order.
		lag := (ceilingLag + r.slack(t.node)).Seconds()
		if slack := p.Slack + p.CeilingRate*lag; q.ceiling < -slack {
			r.violate(at, RuleCeiling, t.node, t.id, "customer %016x is %.0f units below its ceiling's store", r.d.Customers[a.Customer].ID, -q.ceiling)
		}
	}
	return beyond
}

// turnedAway books an answer that tells that the attempt never ran.
func (r *referee) turnedAway(t *try, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.attempts[attempt].never = true
}

// made books the answer that a server made, before its first byte is written, and the
// settlement of its units.
func (r *referee) made(t *try, attempt int, body string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	truth := &t.attempts[attempt]
	truth.body = body
	a := &r.d.Arrivals[t.arrival]
	if !truth.beyond {
		q := r.fill(a.Customer, at)
		q.level = math.Min(q.level+a.Guess-a.Units, r.s.Plans[r.d.Customers[a.Customer].Plan].Burst)
	}
}

// tell books that a node's agent has written an entry of the list.
func (r *referee) tell(node int, server, state string, at time.Duration, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.told[node][server]; ok && k.state == state && k.started == started && k.at <= at {
		return // the grace counts from the first time
	}
	r.told[node][server] = told{state, at, started}
}

// tellMissing books that a node was sent a whole list: what is not in it is gone.
func (r *referee) tellMissing(node int, listed map[string]bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, k := range r.told[node] {
		if !listed[server] && k.state != "removed" {
			r.told[node][server] = told{"removed", at, k.started}
		}
	}
}

// fell books that a cold server was pushed over. The rule is broken if most of the work came
// from nodes that knew of its start.
func (r *referee) fell(server string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	knew, all := 0.0, 0.0
	for node, w := range r.work[server] {
		all += w
		if r.told[node][server].started {
			knew += w
		}
	}
	if all > 0 && knew/all >= toldShare {
		r.violate(at, RuleCold, -1, "", "%s fell over, %.0f%% of its work from nodes told of its start", server, 100*knew/all)
	}
}

// open lists the tries that were taken and have no answer yet.
func (r *referee) open() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tries {
		if t.taken && !t.closed {
			n++
		}
	}
	return n
}

// verdict returns what was broken, by rule, and the first violations in order of time.
func (r *referee) verdict() (map[string]int, []Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := map[string]int{}
	for k, n := range r.broken {
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
