package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// The clients of the world, their requests and the attempts that nodes send for these.

// attempt is an attempt that a node has sent.
type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	done     bool
}

// clientRequest is a client's try.
type clientRequest struct {
	balancer.Request
	node        *node
	incarnation int // of the node, when it came
	class       int
	arrived     time.Duration
	tries       int // before this one
	attempts    []*attempt
	closed      bool
	paid        bool // the true units have been told
}

// send lets an endpoint work on the next attempt of a request.
func (w *world) send(q *clientRequest, e *endpoint, timeout, by time.Duration) {
	a := &attempt{endpoint: e, sentAt: w.now}
	number := len(q.attempts)
	q.attempts = append(q.attempts, a)
	e.inFlight++
	usual := time.Duration(20+10*q.class) * time.Millisecond
	got := w.answer(e, usual, timeout)
	if w.chance(0.005) || by > 0 && w.now > by {
		got = answer{balancer.NotSent, 0}
	}
	if decisionClasses()[q.class].Stream && got.result == balancer.OK {
		w.after(got.took/2, func() {
			if !a.done {
				q.node.begins(q.ID, number)
			}
		})
	}
	w.after(got.took, func() { w.end(q, number, got.result) })
}

// end brings the outcome of an attempt.
func (w *world) end(q *clientRequest, number int, result balancer.Result) {
	a := q.attempts[number]
	if a.done {
		return
	}
	a.done = true
	a.endpoint.inFlight--
	o := balancer.Outcome{ID: q.ID, Attempt: number, Result: result, EndpointID: a.endpoint.listed.ID, Elapsed: w.now - a.sentAt}
	if result == balancer.OK && !q.paid {
		q.paid = true
		o.Units = q.Units * 2 * w.random.Float64()
		if w.chance(0.02) {
			o.Units = q.Units * 3
		}
	}
	if result == balancer.OK || result == balancer.ErrorResponse || result == balancer.Overloaded {
		o.LoadReport = w.load(a.endpoint)
		if w.chance(0.3) {
			o.ConnectedAt = w.now - w.upTo(3*time.Second)
		}
	}
	q.closed = q.closed || result == balancer.OK || w.chance(0.02)
	o.Answered = q.closed
	q.node.outcome(o)
}

// cancel ends an attempt soon, unless its answer is there before.
func (w *world) cancel(q *clientRequest, number int) {
	if w.chance(0.9) {
		w.after(w.upTo(5*time.Millisecond), func() { w.end(q, number, balancer.Cancelled) })
	}
}

// answered takes in that a client was refused or failed. It may try again in what is left of its wait.
func (w *world) answered(q *clientRequest, retryAfter time.Duration) {
	if q == nil { // a bad request
		return
	}
	q.closed = true
	wait := retryAfter + w.upTo(100*time.Millisecond)
	again := q.Request
	again.Timeout -= w.now - q.arrived + wait
	if w.ending || again.Timeout <= 0 || q.tries >= 3 || w.chance(0.5) {
		return
	}
	again.ID = fmt.Sprintf("%s+", q.ID)
	w.after(wait, func() { w.try(q.node, again, q.class, q.tries+1) })
}

// tenant is a tenant with its plan and the nodes that it comes in through.
type tenant struct {
	key    uint64
	plan   string
	units  float64
	spread int
	first  int
}

const maxTenants = 60

// newTenants draws tenants. Those of most come in through nodes that run a balancer, so that the owners of
// their quotas do as well.
func newTenants(random *rand.Rand, nodes, first, real int) (tenants []tenant) {
	plans := decisionPlans()
	for i := range maxTenants {
		plan := plans[i%len(plans)]
		c := tenant{key: uint64(i), plan: plan.Name, units: 1, first: first, spread: real}
		if random.IntN(4) == 0 {
			c.key = random.Uint64()
		}
		if plan.Rate > 1000 {
			c.units = 200_000
		}
		switch random.IntN(8) {
		case 0: // one node
			c.spread, c.first = 1, first+random.IntN(real)
		case 1: // some
			c.spread = 1 + random.IntN(real)
		case 2: // all of the fleet
			c.spread, c.first = nodes, 0
		case 3: // round the end of the numbers
			c.spread, c.first = nodes, first+random.IntN(real)
		case 4: // owners that are silent
			c.spread = min(3*real, nodes)
		}
		tenants = append(tenants, c)
	}
	return tenants
}

func requestID(number int) string { return fmt.Sprintf("r%d", number) }

// arrive lets a client come, and the next one after it.
func (w *world) arrive() {
	if w.ending {
		return
	}
	class := w.random.IntN(len(decisionClasses()))
	c := decisionClasses()[class]
	w.requests++
	q := balancer.Request{ID: requestID(w.requests), Class: c.Name, Timeout: c.Deadline}
	// A few tenants are the source of most requests.
	popular := w.random.Float64()
	tenant := w.tenants[int(popular*popular*popular*maxTenants)]
	q.Plan, q.Tenant, q.EntryNodes, q.FirstEntryNode = tenant.plan, tenant.key, tenant.spread, tenant.first
	q.Units = math.Ceil(tenant.units * (0.5 + 2.5*math.Pow(w.random.Float64(), 3)))
	if w.chance(0.05) {
		q.Tenant = w.random.Uint64() // that comes once
	}
	if w.chance(0.2) {
		q.Timeout = w.upTo(c.Deadline) + time.Millisecond
	}
	w.try(w.anyNode(), q, class, 0)
	perSecond := (60 + 20*float64(len(w.nodes))) * w.weather.rush
	w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), w.arrive)
}

// try brings a client's request to a node. The client may leave before it is answered.
func (w *world) try(n *node, request balancer.Request, class, tries int) {
	q := &clientRequest{Request: request, node: n, incarnation: n.incarnation, class: class, arrived: w.now, tries: tries}
	n.requests[request.ID] = q
	n.request(request)
	if w.chance(0.04) {
		w.after(w.upTo(100*time.Millisecond), func() {
			if !q.closed {
				q.closed = true
				n.gone(q.ID)
			}
		})
	}
}
