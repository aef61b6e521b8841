package scale

import (
	"log/slog"
	"strconv"
	"time"

	"opalhook/balancer"
)

// node is an edge node without sockets: a real gateway, and this type as its host.
type node struct {
	fleet   *fleet
	number  int
	gateway *balancer.Balancer
	classes []balancer.Class
	inbox   inbox
	open    map[string]*openRequest
	met     map[string]bool // servers that were sent to
	counts  counts
	tick    uint64 // token of the gateway's regular timer: the first that it asked for
	ticking bool
	watch   *stopwatch // times the gateway's calls; nil: they are not timed
}

// openRequest is a request that a gateway has, until its answer and its last attempt's end.
type openRequest struct {
	id       string
	tenant   *tenant
	units    float64 // as guessed
	used     float64 // as the answer says
	due      time.Duration
	inside   bool // the quota had its units when it was sent
	finals   int
	out      int
	attempts []openAttempt
}

type openAttempt struct {
	server string
	sent   time.Duration
	done   bool
}

// request is a new try of a client of a tenant.
func (n *node) request(t *tenant) {
	f := n.fleet
	class := &n.classes[0]
	if f.rng.Float64() < costlyShare {
		class = &n.classes[1]
	}
	f.nextID++
	q := &openRequest{
		id: strconv.Itoa(f.nextID), tenant: t, units: drawUnits(f.rng), due: f.clock.now + class.Deadline,
	}
	q.used = max(1, min(q.units+float64(f.rng.IntN(3)-1), mostUnits))
	n.open[q.id] = q
	n.counts.requests++
	try := balancer.Request{
		ID: q.id, Class: class.Name, Plan: t.plan.Name, Tenant: t.key, Timeout: class.Deadline,
		Units: q.units, EntryNodes: f.spread, FirstEntryNode: t.first,
	}
	n.call(callRequest, func() { n.gateway.RequestArrived(f.clock.now, try, n) })
	n.settle(q)
}

// settle forgets a request that has its answer and no attempt out.
func (n *node) settle(q *openRequest) {
	if q.finals > 0 && q.out == 0 {
		delete(n.open, q.id)
	}
}

// call makes one call of the gateway and times it where that is wanted.
func (n *node) call(kind callKind, event func()) {
	if n.watch == nil {
		event()
		return
	}
	asked, sent := n.counts.asks, n.counts.sends
	began := time.Now()
	event()
	took := time.Since(began)
	switch {
	case kind == callRequest && n.counts.sends > sent:
		kind = callChosen
	case kind == callRequest && n.counts.asks > asked:
		kind = callAsked
	case kind == callAnswer && n.counts.sends > sent:
		kind = callGranted
	}
	n.watch.add(kind, took)
}

// SendAttempt implements [balancer.Actions]: the server answers after a time that is drawn. The send itself takes
// none, so that it is always on its way in time.
func (n *node) SendAttempt(id, serverID string, timeout, _ time.Duration) {
	q := n.open[id]
	if q == nil {
		return
	}
	f := n.fleet
	n.counts.sends++
	n.met[serverID] = true
	if len(q.attempts) == 0 {
		n.admit(q)
	}
	number := len(q.attempts)
	q.attempts = append(q.attempts, openAttempt{server: serverID, sent: f.clock.now})
	q.out++
	left := q.due - f.clock.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	result, took := n.drawResult()
	if took > left {
		result, took = balancer.TimedOut, left
	}
	f.clock.after(took, func() { n.outcome(q, number, result) })
}

// admit holds a request that is first sent on against the true state of its quota.
func (n *node) admit(q *openRequest) {
	n.counts.admittedUnits += q.units
	if q.inside = q.tenant.fill(n.fleet.clock.now) >= q.units; q.inside {
		q.tenant.level -= q.units
		return
	}
	n.counts.beyondUnits += q.units
}

// drawResult draws what a server makes of an attempt.
func (n *node) drawResult() (balancer.Result, time.Duration) {
	rng := n.fleet.rng
	took := serverFastest + time.Duration(rng.ExpFloat64()*float64(serverMore))
	switch x := rng.Float64(); {
	case x < fullShare:
		return balancer.Overloaded, serverFastest / 2
	case x < fullShare+errorShare:
		return balancer.ErrorResponse, took
	}
	return balancer.OK, took
}

// outcome is the end of an attempt.
func (n *node) outcome(q *openRequest, number int, result balancer.Result) {
	a := &q.attempts[number]
	if a.done {
		return
	}
	a.done = true
	q.out--
	f := n.fleet
	o := balancer.Outcome{ID: q.id, Attempt: number, Result: result, EndpointID: a.server, Elapsed: f.clock.now - a.sent}
	if result == balancer.OK && q.finals == 0 {
		q.finals++
		n.counts.served++
		if q.inside {
			q.tenant.level += q.units - q.used
		}
		o.Units = q.used
	}
	o.Answered = q.finals > 0
	if result == balancer.OK || result == balancer.Overloaded || result == balancer.ErrorResponse {
		o.LoadReport = &balancer.LoadReport{InFlight: float64(f.rng.IntN(reportedMost)), Queued: -1, Utilization: -1}
	}
	n.call(callOutcome, func() { n.gateway.AttemptFinished(f.clock.now, o, n) })
	n.settle(q)
}

// final counts a final answer of the gateway's own.
func (n *node) final(id string, count *int) {
	q := n.open[id]
	if q == nil || q.finals > 0 {
		n.counts.finalAgain++
		return
	}
	q.finals++
	*count++
	n.settle(q)
}

// Reject implements [balancer.Actions].
func (n *node) Reject(id string, _ time.Duration) {
	if q := n.open[id]; q != nil && len(q.attempts) == 0 {
		if level := q.tenant.fill(n.fleet.clock.now); level >= max(q.units, q.tenant.plan.Burst/2) {
			n.counts.refusedRoom++
		}
	}
	n.final(id, &n.counts.refused)
}

// Fail implements [balancer.Actions].
func (n *node) Fail(id string) { n.final(id, &n.counts.failed) }

// CancelAttempt implements [balancer.Actions]: the attempt ends at once, after this call.
func (n *node) CancelAttempt(id string, attempt int) {
	if q := n.open[id]; q != nil && attempt < len(q.attempts) {
		n.fleet.clock.after(0, func() { n.outcome(q, attempt, balancer.Cancelled) })
	}
}

// SetTimer implements [balancer.Actions].
func (n *node) SetTimer(token uint64, after time.Duration) {
	if !n.ticking {
		n.tick, n.ticking = token, true
	}
	n.fleet.clock.after(after, func() {
		kind := callTimer
		if token == n.tick {
			kind = callTick
		}
		n.call(kind, func() { n.gateway.TimerFired(n.fleet.clock.now, token, n) })
	})
}

// HealthCheck implements [balancer.Actions]; the settings allow none.
func (n *node) HealthCheck(string) {}

// SendPeer implements [balancer.Actions]: the message crosses a link.
func (n *node) SendPeer(peer int, message []byte) {
	if peer != balancer.AllPeers {
		n.tell(peer, message)
		return
	}
	for number := range n.fleet.instances {
		if number != n.number {
			n.tell(number, message)
		}
	}
}

func (n *node) tell(peer int, message []byte) {
	n.counts.bytes += len(message)
	n.counts.longest = max(n.counts.longest, len(message))
	switch kindOf(message) {
	case messageAsk:
		n.counts.asks++
	case messageAnswer:
		n.counts.answers++
	default:
		n.counts.others++
	}
	to := n.fleet.nodes[peer]
	delay, arrives := n.fleet.link.cross()
	if to == nil || !arrives {
		return
	}
	kept := append([]byte(nil), message...)
	n.fleet.clock.after(delay, func() { to.receive(n.number, kept) })
}

// receive takes a message in, if the inbox has room.
func (n *node) receive(from int, message []byte) {
	n.counts.arrived++
	if !n.inbox.take(n.fleet.clock.now) {
		n.counts.discarded++
		return
	}
	n.counts.heard += len(message)
	kind := callMessage
	switch kindOf(message) {
	case messageAsk:
		kind = callAsk
	case messageAnswer:
		kind = callAnswer
	}
	n.call(kind, func() { n.gateway.PeerMessage(n.fleet.clock.now, from, message, n) })
}

// list brings the list of servers or changes of it.
func (n *node) list(kind callKind, form balancer.UpdateKind, entries []balancer.Endpoint) {
	n.call(kind, func() { n.gateway.EndpointsUpdated(n.fleet.clock.now, form, entries, n) })
}

// WatchEndpoints implements [balancer.Actions]; lists come unasked.
func (n *node) WatchEndpoints(bool) {}

// Log implements [balancer.Actions].
func (n *node) Log(slog.Level, string, ...slog.Attr) {}
