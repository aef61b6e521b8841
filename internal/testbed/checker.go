package testbed

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

// Rules of the platform that the checker verifies. Each comment states what the rule requires.
const (
	RuleLost           = "lost"    // a request accepted by a live node gets one final response, in time
	RuleDuplicate      = "twice"   // a non-idempotent request runs at most once, never if it is rejected
	RuleDrain          = "drain"   // after the grace period, a draining server gets no new requests
	RuleCold           = "cold"    // nodes that know of a server's slow start do not overload it to failure
	RuleHardLimit      = "ceiling" // all nodes together keep a tenant within its hard limit
	RuleWrongResponse  = "own"     // a served response is one that an app server produced for this request
	RuleForeignRequest = "foreign" // app servers get only requests that a client sent, unchanged
)

// Limits of the rules. The nodes get responseSlack and drainGrace in their settings.
const (
	responseSlack = 8 * time.Millisecond   // time after the deadline in which a response is not late
	drainGrace    = 500 * time.Millisecond // time in which a node may still send to a draining server
	socketSlack   = 50 * time.Millisecond  // extension of each time limit for the latency of sockets
	hardLimitLag  = 150 * time.Millisecond // reordering allowed between attempts of different nodes

	// informedWorkShare is the fraction of a server's work from which an overload to failure violates
	// RuleCold. Only work from nodes that knew of the server's start counts.
	informedWorkShare = 2.0 / 3
)

// Violation is one violation of a rule.
type Violation struct {
	At          time.Duration `json:"at_ns"`
	Rule        string        `json:"rule"`
	Node        int           `json:"node"`         // number of the node; -1: not attributed to a node
	ID          string        `json:"id,omitempty"` // id of the client's attempt; "": none
	Description string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs node %d: %s: %s %s", v.At.Seconds(), v.Node, v.Rule, v.Description, v.ID)
}

// maxViolations is the number of violations that are recorded in full. Later ones are only counted.
const maxViolations = 100

// clientAttempt is one attempt of a client: the first transmission of a request or a retry. Each attempt
// has its own id.
type clientAttempt struct {
	id       string
	arrival  int // index of the arrival in the schedule
	number   int // number of the attempt; 0: the first one
	node     int // number of the node to which the attempt is sent
	method   string
	target   string
	body     string
	sent     time.Duration // time at which the last byte was written
	deadline time.Duration // time until which the client waits
	accepted bool          // the attempt was written completely to the node's connection
	finished bool
	upstream []upstreamAttempt
}

// upstreamAttempt is one transmission of a client's attempt by the node to an app server.
type upstreamAttempt struct {
	server    string // instance id
	neverRan  bool   // the server rejected the attempt without running it
	response  string // body of the server's response; "": no response yet
	overQuota bool   // the attempt exceeded the tenant's quota when it first reached an app server
}

// delivery is the latest information on an app server that a node has, or must have, received.
type delivery struct {
	state      lifecycle
	at         time.Duration // time from which the rules hold the node to this information
	startKnown bool          // the entry contained the server's start time
}

// checker verifies the platform's rules. The clients, the app servers and the discovery agent report
// events to it. Its methods are safe for concurrent use.
type checker struct {
	mu             sync.Mutex
	scenario       *Scenario
	schedule       *Schedule
	attempts       map[string]*clientAttempt
	quotas         []quota
	delivered      []map[string]delivery      // by node, then by instance id
	work           map[string]map[int]float64 // core seconds sent, by instance id, then by node
	records        []Record
	violations     []Violation
	violationCount map[string]int
	slack          func(node int) time.Duration // see environment.slack
	unitsInQuota   float64                      // units sent upstream within quotas
	unitsOverQuota float64                      // units sent upstream beyond quotas
	closedNewConns int                          // attempts whose new connection was closed without a response
}

// requestsPerClosedConn limits how often nodes that have no room for an attempt may close its new connection
// without a response: once per this number of scheduled requests, over all nodes.
const requestsPerClosedConn = 200

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
		tenant := &d.Tenants[a.Tenant]
		p := s.Plans[tenant.Plan]
		value := s.Classes[a.Class].PriorityWeight * p.WeightFactor * a.Units
		q := &r.quotas[a.Tenant]
		q.offered = math.Min(q.offered+p.Rate*(a.At-q.offeredAt).Seconds(), p.Burst)
		q.offeredAt = a.At
		rec := Record{Due: a.At, Node: a.Node, Class: a.Class, Plan: tenant.Plan, Value: value}
		if q.offered >= a.Units {
			q.offered -= a.Units
			rec.OfferedValue = value
		} else {
			rec.OfferedValue = value * p.OverQuotaValue
		}
		r.records[i] = rec
	}
	return r
}

// recordViolation counts a violation of a rule and records it, up to maxViolations. The caller holds r.mu.
func (r *checker) recordViolation(at time.Duration, rule string, node int, id, format string, args ...any) {
	r.violationCount[rule]++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{at, rule, node, id, fmt.Sprintf(format, args...)})
	}
}

// attemptStarted registers an attempt before its client connects. For a first attempt, it also records how
// late the load generator is.
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

// attemptSent records that the last byte of an attempt was written. From then on the node counts as having
// accepted the attempt.
func (r *checker) attemptSent(t *clientAttempt, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.sent, t.accepted = at, true
	if t.number == 0 {
		r.records[t.arrival].Sent = at
	}
}

// attemptAnswered checks and records the final response to an attempt. nodeAvailable reports whether the node
// was able to respond at all times since the attempt was sent. A late response violates RuleLost only in this
// case.
func (r *checker) attemptAnswered(t *clientAttempt, at time.Duration, status int, body string, nodeAvailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.finished {
		r.recordViolation(at, RuleLost, t.node, t.id, "second final response")
		return
	}
	t.finished = true
	rec := &r.records[t.arrival]
	if limit := t.deadline + responseSlack + socketSlack + r.slack(t.node); nodeAvailable && at > limit {
		r.recordViolation(at, RuleLost, t.node, t.id, "response %v after the deadline", (at - t.deadline).Round(time.Millisecond))
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
			r.recordViolation(at, RuleWrongResponse, t.node, t.id, "served %q, which no app server produced for this request", clip(body))
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
					r.recordViolation(at, RuleDuplicate, t.node, t.id, "rejected as safe to retry, but may have run at %s", a.server)
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

// noResponse describes why an attempt ended without a response. The zero value is an attempt whose node could
// not be reached or could not respond.
type noResponse struct {
	nodeAvailable bool   // the node was able to respond at all times since the attempt was sent
	closedNewConn bool   // the node closed the connection, and the attempt was the first on it
	reason        string // error that the client got
}

// attemptUnanswered records that an attempt ended without a response. This violates RuleLost if the node
// accepted the attempt and was able to respond. The node may close a limited number of new connections
// without a response, see requestsPerClosedConn.
func (r *checker) attemptUnanswered(t *clientAttempt, at time.Duration, end noResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.finished {
		return
	}
	t.finished = true
	rec := &r.records[t.arrival]
	rec.Failed++
	if !t.accepted {
		rec.Unreached++
		return
	}
	if !end.nodeAvailable {
		return
	}
	if end.closedNewConn && len(t.upstream) == 0 {
		if r.closedNewConns++; r.closedNewConns*requestsPerClosedConn <= len(r.schedule.Arrivals) {
			return
		}
	}
	r.recordViolation(at, RuleLost, t.node, t.id, "no response: %s", end.reason)
}

// upstreamArrived records that an app server has received an attempt completely. It returns the client's
// attempt and the index of the new entry in its upstream list. ok is false if no client sent a request with
// this id or if the request was changed.
func (r *checker) upstreamArrived(server, id, method, target, body string, at time.Duration) (t *clientAttempt, attempt int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.attempts[id]
	if t == nil {
		r.recordViolation(at, RuleForeignRequest, -1, id, "%s received a request that no client sent", server)
		return nil, 0, false
	}
	if method != t.method || target != t.target || body != t.body {
		r.recordViolation(at, RuleForeignRequest, t.node, id, "%s received a changed request: %s %s", server, method, clip(target))
		return nil, 0, false
	}
	rec := &r.records[t.arrival]
	if r.scenario.Classes[rec.Class].NonIdempotent {
		for _, a := range t.upstream {
			if !a.neverRan {
				r.recordViolation(at, RuleDuplicate, t.node, id, "sent to %s, but may have run at %s", server, a.server)
				break
			}
		}
	}
	if d := r.delivered[t.node][server]; d.state == lifecycleDraining || d.state == lifecycleRemoved {
		if limit := d.at + drainGrace + socketSlack + r.slack(t.node); at > limit {
			r.recordViolation(at, RuleDrain, t.node, id, "%s has been listed as %s for %v", server, d.state, (at - d.at).Round(time.Millisecond))
		}
	}
	overQuota := false
	if len(t.upstream) == 0 {
		overQuota = r.chargeUnits(t, at)
	} else {
		overQuota = t.upstream[0].overQuota
	}
	t.upstream = append(t.upstream, upstreamAttempt{server: server, overQuota: overQuota})
	w := r.work[server]
	if w == nil {
		w = map[int]float64{}
		r.work[server] = w
	}
	w[t.node] += r.schedule.Arrivals[t.arrival].Work
	return t, len(t.upstream) - 1, true
}

// upstreamRejected records that the app server rejected the attempt without running it.
func (r *checker) upstreamRejected(t *clientAttempt, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.upstream[attempt].neverRan = true
}

// entryDelivered records that an entry of the list was delivered to a node, or that it counts as delivered
// from the given time on. startKnown reports whether the entry contains the server's start time.
func (r *checker) entryDelivered(node int, server string, state lifecycle, at time.Duration, startKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.delivered[node][server]; ok && d.state == state && d.startKnown == startKnown && d.at <= at {
		return // the grace period counts from the first delivery
	}
	r.delivered[node][server] = delivery{state, at, startKnown}
}

// snapshotDelivered records that the full list was delivered to a node, or that it counts as delivered from
// the given time on. Servers that are not listed count as removed.
func (r *checker) snapshotDelivered(node int, listed map[string]bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, d := range r.delivered[node] {
		if !listed[server] && d.state != lifecycleRemoved {
			r.delivered[node][server] = delivery{lifecycleRemoved, at, d.startKnown}
		}
	}
}

// serverOverloaded records that a server was overloaded to failure during slow start. This violates RuleCold
// if at least informedWorkShare of its work came from nodes that knew of its start.
func (r *checker) serverOverloaded(server string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	informed, total := 0.0, 0.0
	for node, w := range r.work[server] {
		total += w
		if r.delivered[node][server].startKnown {
			informed += w
		}
	}
	if total > 0 && informed/total >= informedWorkShare {
		r.recordViolation(at, RuleCold, -1, "", "%s was overloaded to failure, %.0f%% of its work from nodes that knew of its start", server, 100*informed/total)
	}
}

// openAttempts returns the number of attempts that a node has accepted and not yet answered.
func (r *checker) openAttempts() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.attempts {
		if t.accepted && !t.finished {
			n++
		}
	}
	return n
}

// violationSummary returns the number of violations by rule, and the recorded violations in order of time.
func (r *checker) violationSummary() (map[string]int, []Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range r.violationCount {
		counts[rule] = n
	}
	v := append([]Violation(nil), r.violations...)
	sort.SliceStable(v, func(a, b int) bool { return v[a].At < v[b].At })
	return counts, v
}

// clip shortens a text to 40 bytes for use in a message.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}
