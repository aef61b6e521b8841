package balancer

import (
	"bytes"
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// maxDatagram is the longest message that a node may send to a peer, in bytes.
const maxDatagram = 256

// endpointRate is the number of requests a second that a warm endpoint answers. It rejects more as Overloaded.
const endpointRate = 40

// attemptRecord is what the checker knows of an attempt.
type attemptRecord struct {
	endpoint string
	at       time.Duration
	done     bool
	neverRan bool
}

// requestRecord is what the checker knows of a request.
type requestRecord struct {
	request       Request
	node          int
	arrivedAt     time.Duration
	attempts      []attemptRecord
	answers       int  // final answers, of which there must be one
	nodeRestarted bool // before the answer: none can come
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events by time and then by the order in which they were scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// hardLimitBucket is the checker's own bucket of a tenant's hard limit.
type hardLimitBucket struct {
	tokens float64
	at     time.Duration
}

// ruleChecker drives balancers with seeded random sequences of legal events, and checks what they do against the
// platform's five rules. Outcomes are random; there is no model of how endpoints perform.
type ruleChecker struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	now          time.Duration
	queue        eventQueue
	sequence     int
	balancers    []*Balancer
	incarnations []int // of the balancers
	requests     map[string]*requestRecord
	endpoints    map[string]Endpoint
	endpointIDs  []string
	drainSeen    []map[string]time.Duration // by node: when it learned that an endpoint accepts no more requests
	startedAt    map[string]time.Duration
	sentTo       map[string][]time.Duration
	responses    map[string][]time.Duration
	hardLimits   map[uint64]*hardLimitBucket
	loss         float64 // fraction of the messages between nodes
	actions      []string
	served       int
}

// checkedNode is the host of one incarnation of a balancer.
type checkedNode struct {
	*ruleChecker
	index       int
	incarnation int
}

func (c *ruleChecker) node(index int) checkedNode {
	return checkedNode{c, index, c.incarnations[index]}
}

func (c *ruleChecker) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledEvent{c.now + max(delay, ms), c.sequence, run})
}

func (c *ruleChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (n checkedNode) record(format string, args ...any) {
	n.actions = append(n.actions, fmt.Sprintf("%v %d ", n.now, n.index)+fmt.Sprintf(format, args...))
}

func (n checkedNode) SendAttempt(id, endpoint string, timeout, _ time.Duration) {
	n.record("send %s %s %v", id, endpoint, timeout)
	r := n.requests[id]
	if r == nil || r.node != n.index {
		n.fail("attempt of unknown request %s", id)
		return
	}
	if r.answers > 0 {
		n.fail("rule 1: %s sent after its final answer", id)
	}
	n.checkRepeat(r, endpoint)
	if at, seen := n.drainSeen[n.index][endpoint]; seen && n.now-at > n.settings.DrainTimeout {
		n.fail("rule 3: attempt at %s %v after its drain was known", endpoint, n.now-at)
	}
	if len(r.attempts) == 0 {
		n.checkHardLimit(&r.request)
	}
	n.checkSlowStart(endpoint)
	result, elapsed := n.randomOutcome(r, endpoint, timeout)
	attempt := len(r.attempts)
	r.attempts = append(r.attempts, attemptRecord{endpoint: endpoint, at: n.now})
	n.after(elapsed, func() { n.finish(r, attempt, result) })
}

// classOf returns the class of a request.
func (c *ruleChecker) classOf(r *requestRecord) Class {
	for _, class := range c.settings.Classes {
		if class.Name == r.request.Class {
			return class
		}
	}
	return c.settings.Classes[0]
}

// checkRepeat is rule 2 for an attempt: what may have run is repeated only where that is harmless.
func (c *ruleChecker) checkRepeat(r *requestRecord, endpoint string) {
	class, id := c.classOf(r), r.request.ID
	inFlight := 0
	for _, a := range r.attempts {
		if !a.done {
			inFlight++
		}
		if a.neverRan {
			continue
		}
		was, is := c.endpoints[a.endpoint], c.endpoints[endpoint]
		keyed := class.Idempotency == IdempotentWithKey
		switch {
		case class.Idempotency == NonIdempotent:
			c.fail("rule 2: unsafe %s sent again", id)
		case keyed && c.now-a.at > class.DedupWindow:
			c.fail("rule 2: keyed %s sent again after %v", id, c.now-a.at)
		case keyed && class.DedupScope == DedupZone && was.Zone != is.Zone,
			keyed && class.DedupScope == DedupCell && was.Cell != is.Cell:
			c.fail("rule 2: keyed %s sent outside its scope", id)
		}
	}
	if inFlight > 0 && !c.settings.Hedging {
		c.fail("rule 2: %s has two attempts in flight", id)
	}
}

// randomOutcome draws how an attempt ends, and when.
func (c *ruleChecker) randomOutcome(r *requestRecord, endpoint string, timeout time.Duration) (Result, time.Duration) {
	elapsed := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	result := OK
	switch c.rng.IntN(24) {
	case 0:
		result = ErrorResponse
	case 1:
		result, elapsed = Overloaded, ms
	case 2:
		result = Reset
	case 3:
		result, elapsed = ConnectFailed, 50*ms
	case 4:
		elapsed = time.Hour
	}
	if c.overloaded(endpoint) {
		result, elapsed = Overloaded, ms
	}
	limit := r.arrivedAt + r.request.Timeout - c.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if elapsed > limit {
		return TimedOut, limit
	}
	return result, elapsed
}

// overloaded reports whether an endpoint has answered as many requests in the last second as it can.
func (c *ruleChecker) overloaded(endpoint string) bool {
	recent := 0
	for _, at := range c.responses[endpoint] {
		if c.now-at < time.Second {
			recent++
		}
	}
	return recent >= endpointRate
}

// finish ends an attempt.
func (n checkedNode) finish(r *requestRecord, attempt int, result Result) {
	a := &r.attempts[attempt]
	if a.done {
		return
	}
	a.done = true
	a.neverRan = result == Overloaded || result == ConnectFailed || result == NotSent
	if result == OK {
		n.responses[a.endpoint] = append(n.responses[a.endpoint], n.now)
		if r.answers == 0 {
			r.answers++
			n.served++
		}
	}
	if r.nodeRestarted || n.incarnations[n.index] != n.incarnation {
		return
	}
	n.balancers[n.index].AttemptFinished(n.now, Outcome{
		ID: r.request.ID, Attempt: attempt, Answered: r.answers > 0, Result: result, EndpointID: a.endpoint,
		Elapsed: n.now - a.at,
	}, n)
}

// checkHardLimit is rule 5: the first attempt of a request draws its units from its tenant's hard limit.
func (c *ruleChecker) checkHardLimit(request *Request) {
	plan := c.settings.Plans[0]
	if request.Plan != plan.Name {
		return
	}
	bucket := c.hardLimits[request.Tenant]
	if bucket == nil {
		bucket = &hardLimitBucket{plan.HardLimitBurst, 0}
		c.hardLimits[request.Tenant] = bucket
	}
	refilled := bucket.tokens + plan.HardLimitRate*(c.now-bucket.at).Seconds()
	bucket.tokens = math.Min(plan.HardLimitBurst, refilled) - request.Units
	bucket.at = c.now
	if bucket.tokens < -plan.HardLimitSlack-1e-6 {
		c.fail("rule 5: hard limit of tenant %d at %.2f", request.Tenant, bucket.tokens)
	}
}

// checkSlowStart is rule 4: what all nodes together send to a cold endpoint in any window.
func (c *ruleChecker) checkSlowStart(endpoint string) {
	c.sentTo[endpoint] = append(c.sentTo[endpoint], c.now)
	startedAt, started := c.startedAt[endpoint]
	if !started || c.now-startedAt >= c.settings.SlowStartDuration {
		return
	}
	age := (c.now - startedAt).Seconds() / c.settings.SlowStartDuration.Seconds()
	initial := c.settings.SlowStartInitialFraction
	fraction := initial + (1-initial)*age
	sent := 0.0
	for _, at := range c.sentTo[endpoint] {
		if at >= startedAt && c.now-at <= c.settings.OverloadWindow {
			sent++
		}
	}
	if sent > c.settings.OverloadFactor*fraction*endpointRate*c.settings.OverloadWindow.Seconds() {
		c.fail("rule 4: %v attempts in %v at cold %s at %.2f", sent, c.settings.OverloadWindow, endpoint, fraction)
	}
}

// answer is a final answer: rule 1.
func (n checkedNode) answer(id, how string) *requestRecord {
	r := n.requests[id]
	n.record("%s %s", how, id)
	if r == nil || r.node != n.index {
		n.fail("answer to unknown request %s", id)
		return nil
	}
	if r.answers > 0 {
		n.fail("rule 1: second answer to %s", id)
	}
	if n.now > r.arrivedAt+r.request.Timeout+n.settings.ResponseSlack {
		n.fail("rule 1: late answer to %s", id)
	}
	r.answers++
	return r
}

// Reject is rule 2 for a rejection: it promises that a repeat is harmless.
func (n checkedNode) Reject(id string, _ time.Duration) {
	r := n.answer(id, "reject")
	if r == nil {
		return
	}
	class := n.classOf(r)
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupFleet {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			n.fail("rule 2: %s rejected though it may have run", id)
		}
	}
}

func (n checkedNode) Fail(id string) { n.answer(id, "fail") }

func (n checkedNode) CancelAttempt(id string, attempt int) {
	n.record("cancel %s %d", id, attempt)
	r := n.requests[id]
	n.after(ms, func() { n.finish(r, attempt, Cancelled) })
}

func (n checkedNode) SetTimer(token uint64, delay time.Duration) {
	n.after(delay, func() {
		if n.incarnations[n.index] == n.incarnation {
			n.balancers[n.index].TimerFired(n.now, token, n)
		}
	})
}

func (n checkedNode) HealthCheck(string) {}

func (n checkedNode) SendPeer(to int, message []byte) {
	if len(message) > maxDatagram {
		n.fail("message of %d bytes", len(message))
	}
	sent := bytes.Clone(message)
	n.record("peer %d %x", to, sent)
	for copies := n.rng.IntN(2); copies >= 0; copies-- { // some arrive twice
		if n.rng.Float64() < n.loss {
			continue
		}
		n.after(time.Duration(n.rng.IntN(150))*ms, func() {
			n.balancers[to].PeerMessage(n.now, n.index, sent, n.node(to))
		})
	}
}

func (n checkedNode) WatchEndpoints(bool) {}

func (n checkedNode) Log(slog.Level, string, ...slog.Attr) {}
