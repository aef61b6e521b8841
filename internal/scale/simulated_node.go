package scale

import (
	"log/slog"
	"strconv"
	"time"

	"opalhook/balancer"
)

// simulatedNode is an edge node without sockets: a real balancer, and this type as its host.
type simulatedNode struct {
	fleet         *fleet
	number        int
	balancer      *balancer.Balancer
	classes       []balancer.Class
	inbox         inbox
	open          map[string]*openRequest
	usedEndpoints map[string]bool // servers that were sent to
	counts        counts
	tick          uint64 // token of the node's regular timer: the first that it asked for
	ticking       bool
	watch         *stopwatch // times the node's calls; nil: they are not timed
}

// openRequest is a request that a node has, until its answer and its last attempt's end.
type openRequest struct {
	id           string
	tenant       *tenant
	units        float64 // as guessed
	used         float64 // as the answer says
	deadline     time.Duration
	inQuota      bool // the quota had its units when it was sent
	finalAnswers int
	inFlight     int
	attempts     []openAttempt
}

type openAttempt struct {
	server string
	sent   time.Duration
	done   bool
}

// requestArrives is a new request of a client of a tenant.
func (n *simulatedNode) requestArrives(t *tenant) {
	f := n.fleet
	class := &n.classes[0]
	if f.rng.Float64() < nonIdempotentFraction {
		class = &n.classes[1]
	}
	f.nextID++
	q := &openRequest{
		id: strconv.Itoa(f.nextID), tenant: t, units: drawUnits(f.rng), deadline: f.clock.now + class.Deadline,
	}
	q.used = max(1, min(q.units+float64(f.rng.IntN(3)-1), maxUnits))
	n.open[q.id] = q
	n.counts.requests++
	try := balancer.Request{
		ID: q.id, Class: class.Name, Plan: t.plan.Name, Tenant: t.key, Timeout: class.Deadline,
		Units: q.units, EntryNodes: f.entryNodes, FirstEntryNode: t.firstEntryNode,
	}
	n.call(callRequest, func() { n.balancer.RequestArrived(f.clock.now, try, n) })
	n.forgetIfDone(q)
}

// forgetIfDone forgets a request that has its answer and no attempt out.
func (n *simulatedNode) forgetIfDone(q *openRequest) {
	if q.finalAnswers > 0 && q.inFlight == 0 {
		delete(n.open, q.id)
	}
}

// call makes one call of the node and times it where that is wanted.
func (n *simulatedNode) call(kind callKind, event func()) {
	if n.watch == nil {
		event()
		return
	}
	asked, sent := n.counts.quotaRequests, n.counts.attempts
	began := time.Now()
	event()
	took := time.Since(began)
	switch {
	case kind == callRequest && n.counts.attempts > sent:
		kind = callRequestAdmitted
	case kind == callRequest && n.counts.quotaRequests > asked:
		kind = callRequestForwardedToOwner
	case kind == callQuotaRejected && n.counts.attempts > sent:
		kind = callQuotaGranted
	}
	n.watch.add(kind, took)
}

// SendAttempt implements [balancer.Actions]: the server answers after a time that is drawn. The send itself takes
// none, so that it is always on its way in time.
func (n *simulatedNode) SendAttempt(id, serverID string, timeout, _ time.Duration) {
	q := n.open[id]
	if q == nil {
		return
	}
	f := n.fleet
	n.counts.attempts++
	n.usedEndpoints[serverID] = true
	if len(q.attempts) == 0 {
		n.chargeQuota(q)
	}
	number := len(q.attempts)
	q.attempts = append(q.attempts, openAttempt{server: serverID, sent: f.clock.now})
	q.inFlight++
	left := q.deadline - f.clock.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	result, took := n.drawResult()
	if took > left {
		result, took = balancer.TimedOut, left
	}
	f.clock.after(took, func() { n.finishAttempt(q, number, result) })
}

// chargeQuota checks a request that is first sent on against the true state of its quota.
func (n *simulatedNode) chargeQuota(q *openRequest) {
	n.counts.admittedUnits += q.units
	if q.inQuota = q.tenant.refill(n.fleet.clock.now) >= q.units; q.inQuota {
		q.tenant.tokens -= q.units
		return
	}
	n.counts.overQuotaUnits += q.units
}

// drawResult draws what a server makes of an attempt.
func (n *simulatedNode) drawResult() (balancer.Result, time.Duration) {
	rng := n.fleet.rng
	took := minServiceTime + time.Duration(rng.ExpFloat64()*float64(meanExtraServiceTime))
	switch x := rng.Float64(); {
	case x < overloadedFraction:
		return balancer.Overloaded, minServiceTime / 2
	case x < overloadedFraction+errorFraction:
		return balancer.ErrorResponse, took
	}
	return balancer.OK, took
}

// finishAttempt is the end of an attempt.
func (n *simulatedNode) finishAttempt(q *openRequest, number int, result balancer.Result) {
	a := &q.attempts[number]
	if a.done {
		return
	}
	a.done = true
	q.inFlight--
	f := n.fleet
	o := balancer.Outcome{ID: q.id, Attempt: number, Result: result, EndpointID: a.server, Elapsed: f.clock.now - a.sent}
	if result == balancer.OK && q.finalAnswers == 0 {
		q.finalAnswers++
		n.counts.served++
		if q.inQuota {
			q.tenant.tokens += q.units - q.used
		}
		o.Units = q.used
	}
	o.Answered = q.finalAnswers > 0
	if result == balancer.OK || result == balancer.Overloaded || result == balancer.ErrorResponse {
		o.LoadReport = &balancer.LoadReport{InFlight: float64(f.rng.IntN(maxReportedInFlight)), Queued: -1, Utilization: -1}
	}
	n.call(callOutcome, func() { n.balancer.AttemptFinished(f.clock.now, o, n) })
	n.forgetIfDone(q)
}

// final counts a final answer of the node's own.
func (n *simulatedNode) final(id string, count *int) {
	q := n.open[id]
	if q == nil || q.finalAnswers > 0 {
		n.counts.duplicateAnswers++
		return
	}
	q.finalAnswers++
	*count++
	n.forgetIfDone(q)
}

// Reject implements [balancer.Actions].
func (n *simulatedNode) Reject(id string, _ time.Duration) {
	if q := n.open[id]; q != nil && len(q.attempts) == 0 {
		if level := q.tenant.refill(n.fleet.clock.now); level >= max(q.units, q.tenant.plan.Burst/2) {
			n.counts.rejectedInQuota++
		}
	}
	n.final(id, &n.counts.rejected)
}

// Fail implements [balancer.Actions].
func (n *simulatedNode) Fail(id string) { n.final(id, &n.counts.failed) }

// CancelAttempt implements [balancer.Actions]: the attempt ends at once, after this call.
func (n *simulatedNode) CancelAttempt(id string, attempt int) {
	if q := n.open[id]; q != nil && attempt < len(q.attempts) {
		n.fleet.clock.after(0, func() { n.finishAttempt(q, attempt, balancer.Cancelled) })
	}
}

// SetTimer implements [balancer.Actions].
func (n *simulatedNode) SetTimer(token uint64, after time.Duration) {
	if !n.ticking {
		n.tick, n.ticking = token, true
	}
	n.fleet.clock.after(after, func() {
		kind := callTimer
		if token == n.tick {
			kind = callTick
		}
		n.call(kind, func() { n.balancer.TimerFired(n.fleet.clock.now, token, n) })
	})
}

// HealthCheck implements [balancer.Actions]; the settings allow none.
func (n *simulatedNode) HealthCheck(string) {}

// SendPeer implements [balancer.Actions]: the message crosses a link.
func (n *simulatedNode) SendPeer(peer int, message []byte) {
	if peer != balancer.AllPeers {
		n.send(peer, message)
		return
	}
	for number := range n.fleet.nodeCount {
		if number != n.number {
			n.send(number, message)
		}
	}
}

func (n *simulatedNode) send(peer int, message []byte) {
	n.counts.bytes += len(message)
	n.counts.longestMessage = max(n.counts.longestMessage, len(message))
	switch kindOf(message) {
	case messageQuotaRequest:
		n.counts.quotaRequests++
	case messageQuotaGrant:
		n.counts.quotaGrants++
	default:
		n.counts.otherMessages++
	}
	to := n.fleet.nodes[peer]
	delay, arrives := n.fleet.link.send()
	if to == nil || !arrives {
		return
	}
	kept := append([]byte(nil), message...)
	n.fleet.clock.after(delay, func() { to.receive(n.number, kept) })
}

// receive takes a message in, if the inbox has room.
func (n *simulatedNode) receive(from int, message []byte) {
	n.counts.arrived++
	if !n.inbox.accept(n.fleet.clock.now) {
		n.counts.discarded++
		return
	}
	n.counts.receivedBytes += len(message)
	kind := callMessage
	switch kindOf(message) {
	case messageQuotaRequest:
		kind = callQuotaRequest
	case messageQuotaGrant:
		kind = callQuotaRejected
	}
	n.call(kind, func() { n.balancer.PeerMessage(n.fleet.clock.now, from, message, n) })
}

// updateEndpoints brings the list of servers or changes of it.
func (n *simulatedNode) updateEndpoints(kind callKind, form balancer.UpdateKind, entries []balancer.Endpoint) {
	n.call(kind, func() { n.balancer.EndpointsUpdated(n.fleet.clock.now, form, entries, n) })
}

// WatchEndpoints implements [balancer.Actions]; lists come unasked.
func (n *simulatedNode) WatchEndpoints(bool) {}

// Log implements [balancer.Actions].
func (n *simulatedNode) Log(slog.Level, string, ...slog.Attr) {}
