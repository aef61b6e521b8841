package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// The simulated clients, their requests, and the attempts that the nodes send for them.

// attempt is an attempt that a node sent to an endpoint.
type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	done     bool
}

// clientRequest is a request, which may be the retry of an earlier one by the client.
type clientRequest struct {
	balancer.Request
	node          *node
	incarnation   int // incarnation of the node at the arrival of the request
	class         int // index in decisionClasses
	arrived       time.Duration
	retries       int // number of earlier requests that this one retries
	attempts      []*attempt
	answered      bool // the client has its final answer or has disconnected
	unitsReported bool // the units actually used have been reported
}

// startAttempt starts the next attempt of a request at an endpoint.
func (sim *simulation) startAttempt(q *clientRequest, e *endpoint, timeout, sendBy time.Duration) {
	a := &attempt{endpoint: e, sentAt: sim.now}
	number := len(q.attempts)
	q.attempts = append(q.attempts, a)
	e.inFlight++
	usual := time.Duration(20+10*q.class) * time.Millisecond
	got := sim.randomOutcome(e, usual, timeout)
	if sim.chance(0.005) || sendBy > 0 && sim.now > sendBy {
		got = outcome{balancer.NotSent, 0}
	}
	if decisionClasses()[q.class].Stream && got.result == balancer.OK {
		sim.after(got.elapsed/2, func() {
			if !a.done {
				q.node.responseStarted(q.ID, number)
			}
		})
	}
	sim.after(got.elapsed, func() { sim.endAttempt(q, number, got.result) })
}

// endAttempt reports the outcome of an attempt to its node.
func (sim *simulation) endAttempt(q *clientRequest, number int, result balancer.Result) {
	a := q.attempts[number]
	if a.done {
		return
	}
	a.done = true
	a.endpoint.inFlight--
	o := balancer.Outcome{
		ID: q.ID, Attempt: number, Result: result, EndpointID: a.endpoint.listed.ID,
		Elapsed: sim.now - a.sentAt,
	}
	if result == balancer.OK && !q.unitsReported {
		q.unitsReported = true
		o.Units = q.Units * 2 * sim.random.Float64()
		if sim.chance(0.02) {
			o.Units = q.Units * 3
		}
	}
	if result == balancer.OK || result == balancer.ErrorResponse || result == balancer.Overloaded {
		o.LoadReport = sim.randomLoadReport(a.endpoint)
		if sim.chance(0.3) {
			o.ConnectedAt = sim.now - sim.randomDuration(3*time.Second)
		}
	}
	q.answered = q.answered || result == balancer.OK || sim.chance(0.02)
	o.Answered = q.answered
	q.node.attemptFinished(o)
}

// cancelAttempt ends an attempt as cancelled after a short time, unless it ends by itself before. Some
// cancellations have no effect.
func (sim *simulation) cancelAttempt(q *clientRequest, number int) {
	if sim.chance(0.9) {
		sim.after(sim.randomDuration(5*time.Millisecond), func() {
			sim.endAttempt(q, number, balancer.Cancelled)
		})
	}
}

// requestFailed handles a rejected or failed request. The client may retry it within the rest of its timeout.
func (sim *simulation) requestFailed(q *clientRequest, retryAfter time.Duration) {
	if q == nil { // not a request of sendRequest
		return
	}
	q.answered = true
	wait := retryAfter + sim.randomDuration(100*time.Millisecond)
	retry := q.Request
	retry.Timeout -= sim.now - q.arrived + wait
	if sim.finishing || retry.Timeout <= 0 || q.retries >= 3 || sim.chance(0.5) {
		return
	}
	retry.ID = fmt.Sprintf("%s+", q.ID)
	sim.after(wait, func() { sim.sendRequest(q.node, retry, q.class, q.retries+1) })
}

// tenant is a tenant with its plan and its entry nodes.
type tenant struct {
	id         uint64
	plan       string
	units      float64 // scale of the units of its requests
	entryNodes int     // number of entry nodes
	firstNode  int     // index of the first entry node
}

const maxTenants = 60

// newTenants returns random tenants for a fleet of nodeCount nodes. The nodes from first to first+simulated-1
// run a balancer. They are the entry nodes of most tenants, and so the owners of most quotas run one too.
func newTenants(random *rand.Rand, nodeCount, first, simulated int) (tenants []tenant) {
	plans := decisionPlans()
	for i := range maxTenants {
		plan := plans[i%len(plans)]
		t := tenant{id: uint64(i), plan: plan.Name, units: 1, firstNode: first, entryNodes: simulated}
		if random.IntN(4) == 0 {
			t.id = random.Uint64()
		}
		if plan.Rate > 1000 {
			t.units = 200_000
		}
		switch random.IntN(8) {
		case 0: // one node
			t.entryNodes, t.firstNode = 1, first+random.IntN(simulated)
		case 1: // some of the simulated nodes
			t.entryNodes = 1 + random.IntN(simulated)
		case 2: // the whole fleet
			t.entryNodes, t.firstNode = nodeCount, 0
		case 3: // the whole fleet, with indexes that wrap around
			t.entryNodes, t.firstNode = nodeCount, first+random.IntN(simulated)
		case 4: // also nodes without a balancer, which as owners send no grants
			t.entryNodes = min(3*simulated, nodeCount)
		}
		tenants = append(tenants, t)
	}
	return tenants
}

func requestID(number int) string { return fmt.Sprintf("r%d", number) }

// generateRequest sends a new request of a random tenant and schedules the next one.
func (sim *simulation) generateRequest() {
	if sim.finishing {
		return
	}
	class := sim.random.IntN(len(decisionClasses()))
	c := decisionClasses()[class]
	sim.requests++
	q := balancer.Request{ID: requestID(sim.requests), Class: c.Name, Timeout: c.Deadline}
	// A few tenants send most of the requests.
	rank := sim.random.Float64()
	tenant := sim.tenants[int(rank*rank*rank*maxTenants)]
	q.Plan, q.Tenant, q.EntryNodes, q.FirstEntryNode =
		tenant.plan, tenant.id, tenant.entryNodes, tenant.firstNode
	q.Units = math.Ceil(tenant.units * (0.5 + 2.5*math.Pow(sim.random.Float64(), 3)))
	if sim.chance(0.05) {
		q.Tenant = sim.random.Uint64() // a tenant with a single request
	}
	if sim.chance(0.2) {
		q.Timeout = sim.randomDuration(c.Deadline) + time.Millisecond
	}
	sim.sendRequest(sim.randomNode(), q, class, 0)
	perSecond := (60 + 20*float64(len(sim.nodes))) * sim.conditions.requestFactor
	sim.after(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), sim.generateRequest)
}

// sendRequest sends a client's request to a node. The client may disconnect before it has an answer.
func (sim *simulation) sendRequest(n *node, request balancer.Request, class, retries int) {
	q := &clientRequest{
		Request: request, node: n, incarnation: n.incarnation, class: class, arrived: sim.now,
		retries: retries,
	}
	n.requests[request.ID] = q
	n.requestArrived(request)
	if sim.chance(0.04) {
		sim.after(sim.randomDuration(100*time.Millisecond), func() {
			if !q.answered {
				q.answered = true
				n.clientGone(q.ID)
			}
		})
	}
}
