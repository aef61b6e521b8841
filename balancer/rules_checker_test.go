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

// maxDatagram is the maximum size of a message to a peer, in bytes.
const maxDatagram = 256

// endpointRate is the number of requests per second that an endpoint answers. It rejects further
// ones as Overloaded.
const endpointRate = 40

// attemptRecord is the checker's record of an attempt.
type attemptRecord struct {
	endpoint string
	at       time.Duration // time of the start
	done     bool
	neverRan bool // the result proves that the request did not run
}

// requestRecord is the checker's record of a request.
type requestRecord struct {
	request       Request
	node          int
	arrivedAt     time.Duration
	attempts      []attemptRecord
	answers       int  // number of final answers; must be one at the end
	nodeRestarted bool // the node restarted before the answer, so that no answer can come
}

// scheduledEvent is a function that runs at a time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
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

// hardLimitBucket is the checker's bucket for the hard limit of a tenant.
type hardLimitBucket struct {
	tokens float64       // units
	at     time.Duration // time of the last refill
}

// ruleChecker passes random sequences of valid events, drawn from a seed, to balancers and checks the actions
// against five rules:
//
//  1. Each request gets exactly one final answer in time, and no attempt after it.
//  2. A request that may have run is repeated only where that is harmless.
//  3. An endpoint that drains or is removed gets no attempt from a node that received this update longer ago
//     than the drain timeout.
//  4. All nodes together do not overload a cold endpoint.
//  5. All nodes together do not exceed the hard limit of a tenant.
//
// The outcomes of attempts are random and do not model the performance of endpoints.
type ruleChecker struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	now          time.Duration
	queue        eventQueue
	sequence     int
	balancers    []*Balancer
	incarnations []int // by node: number of starts
	requests     map[string]*requestRecord
	endpoints    map[string]Endpoint
	endpointIDs  []string
	drainSeen    []map[string]time.Duration  // by node and endpoint: first update with a state other than Up
	startedAt    map[string]time.Duration    // by endpoint: its last restart
	sentTo       map[string][]time.Duration  // by endpoint: starts of attempts
	responses    map[string][]time.Duration  // by endpoint: ends of attempts with an OK
	hardLimits   map[uint64]*hardLimitBucket // by tenant
	loss         float64                     // fraction of the messages between nodes that is lost
	actions      []string                    // actions of all balancers as text
	served       int                         // number of requests answered with an OK
}

// checkedNode is the host of one incarnation of a balancer.
type checkedNode struct {
	*ruleChecker
	index       int
	incarnation int
}

// node returns the host of the present incarnation of a node.
func (c *ruleChecker) node(index int) checkedNode {
	return checkedNode{c, index, c.incarnations[index]}
}

// after schedules an event after a delay, which is at least a millisecond.
func (c *ruleChecker) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledEvent{c.now + max(delay, ms), c.sequence, run})
}

// fail reports a broken rule.
func (c *ruleChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

// record records an action of the node's balancer.
func (n checkedNode) record(format string, args ...any) {
	n.actions = append(n.actions, fmt.Sprintf("%v %d ", n.now, n.index)+fmt.Sprintf(format, args...))
}

func (n checkedNode) SendAttempt(id, endpoint string, timeout, _ time.Duration) {
	n.record("send %s %s %v", id, endpoint, timeout)
	r := n.requests[id]
	if r == nil || r.node != n.index {
		n.fail("attempt for unknown request %s", id)
		return
	}
	if r.answers > 0 {
		n.fail("rule 1: %s sent after its final answer", id)
	}
	n.checkRepeat(r, endpoint)
	if at, seen := n.drainSeen[n.index][endpoint]; seen && n.now-at > n.settings.DrainTimeout {
		n.fail("rule 3: attempt at %s %v after its drain was known, at most %v allowed", endpoint, n.now-at,
			n.settings.DrainTimeout)
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

// checkRepeat checks rule 2 for an attempt.
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
		earlier, present := c.endpoints[a.endpoint], c.endpoints[endpoint]
		keyed := class.Idempotency == IdempotentWithKey
		switch {
		case class.Idempotency == NonIdempotent:
			c.fail("rule 2: non-idempotent %s sent again", id)
		case keyed && c.now-a.at > class.DedupWindow:
			c.fail("rule 2: keyed %s sent again after %v, at most %v allowed", id, c.now-a.at,
				class.DedupWindow)
		case keyed && class.DedupScope == DedupZone && earlier.Zone != present.Zone,
			keyed && class.DedupScope == DedupCell && earlier.Cell != present.Cell:
			c.fail("rule 2: keyed %s sent again outside its deduplication scope", id)
		}
	}
	if inFlight > 0 && !c.settings.Hedging {
		c.fail("rule 2: %s has two attempts in flight without hedging", id)
	}
}

// randomOutcome returns a random result of an attempt and the time after which the attempt ends.
func (c *ruleChecker) randomOutcome(
	r *requestRecord, endpoint string, timeout time.Duration,
) (Result, time.Duration) {
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

// overloaded reports whether an endpoint has reached its rate within the last second.
func (c *ruleChecker) overloaded(endpoint string) bool {
	recent := 0
	for _, at := range c.responses[endpoint] {
		if c.now-at < time.Second {
			recent++
		}
	}
	return recent >= endpointRate
}

// finish ends an attempt and reports its outcome to the balancer, unless the node has restarted since.
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

// checkHardLimit checks rule 5. The first attempt of a request uses units of its tenant's hard limit.
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
		c.fail("rule 5: hard limit of tenant %d at %.2f units, at least %v allowed", request.Tenant,
			bucket.tokens, -plan.HardLimitSlack)
	}
}

// checkSlowStart checks rule 4: the number of attempts that all nodes together send to a cold endpoint within
// the overload window.
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
		c.fail("rule 4: %v attempts within %v at cold endpoint %s, which has %.2f of its capacity", sent,
			c.settings.OverloadWindow, endpoint, fraction)
	}
}

// answer checks rule 1 for a final answer and returns the request, or nil if it is unknown.
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
		n.fail("rule 1: answer to %s %v after its arrival, timeout %v", id, n.now-r.arrivedAt,
			r.request.Timeout)
	}
	r.answers++
	return r
}

// Reject checks rule 2 for a rejection, which promises that a repeat is harmless.
func (n checkedNode) Reject(id string, _ time.Duration) {
	r := n.answer(id, "reject")
	if r == nil {
		return
	}
	class := n.classOf(r)
	if class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupFleet {
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
		n.fail("peer message has %d bytes, at most %d allowed", len(message), maxDatagram)
	}
	sent := bytes.Clone(message)
	n.record("peer %d %x", to, sent)
	for copies := n.rng.IntN(2); copies >= 0; copies-- { // two copies half of the time
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
