package scale

import (
	"log/slog"
	"strconv"
	"time"

	"opalhook/balancer"
)

// simulatedNode is an edge node without sockets. It hosts a real balancer and implements [balancer.Actions].
type simulatedNode struct {
	fleet            *fleet
	number           int // index in the fleet
	balancer         *balancer.Balancer
	classes          []balancer.Class
	inbox            inbox
	open             map[string]*openRequest // by request ID
	usedEndpoints    map[string]bool         // IDs of the servers that received attempts
	counts           counts
	periodicTimer    uint64     // token of the periodic timer: the first timer that the balancer sets
	hasPeriodicTimer bool       // periodicTimer is set
	stopwatch        *stopwatch // times the calls into the balancer; nil: they are not timed
}

// openRequest is a request that has no final response yet, or has attempts in flight.
type openRequest struct {
	id             string
	tenant         *tenant
	units          float64 // estimated units of the request
	used           float64 // actual units, which the response reports
	deadline       time.Duration
	inQuota        bool // the tenant's quota covered the request when it was first sent
	finalResponses int
	inFlight       int // attempts in flight
	attempts       []openAttempt
}

// openAttempt is an attempt of an open request.
type openAttempt struct {
	server string // endpoint ID
	sentAt time.Duration
	done   bool
}

// receiveRequest simulates the arrival of a request of a tenant, with a random class and number of units.
func (n *simulatedNode) receiveRequest(t *tenant) {
	f := n.fleet
	class := &n.classes[0]
	if f.rng.Float64() < nonIdempotentFraction {
		class = &n.classes[1]
	}
	f.requestCount++
	q := &openRequest{
		id: strconv.Itoa(f.requestCount), tenant: t, units: sampleUnits(f.rng), deadline: f.clock.now + class.Deadline,
	}
	q.used = max(1, min(q.units+float64(f.rng.IntN(3)-1), maxUnits))
	n.open[q.id] = q
	n.counts.requests++
	request := balancer.Request{
		ID: q.id, Class: class.Name, Plan: t.plan.Name, Tenant: t.key, Timeout: class.Deadline,
		Units: q.units, EntryNodes: f.entryNodes, FirstEntryNode: t.firstEntryNode,
	}
	n.call(callRequestRejected, func() { n.balancer.RequestArrived(f.clock.now, request, n) })
	n.removeIfDone(q)
}

// removeIfDone removes a request that has a final response and no attempts in flight.
func (n *simulatedNode) removeIfDone(q *openRequest) {
	if q.finalResponses > 0 && q.inFlight == 0 {
		delete(n.open, q.id)
	}
}

// call makes a call into the balancer. If the node has a stopwatch, it records the duration, and adjusts the
// kind of the call to the actions that the balancer took.
func (n *simulatedNode) call(kind callKind, event func()) {
	if n.stopwatch == nil {
		event()
		return
	}
	quotaRequestsBefore, attemptsBefore := n.counts.quotaRequests, n.counts.attempts
	start := time.Now()
	event()
	elapsed := time.Since(start)
	switch {
	case kind == callRequestRejected && n.counts.attempts > attemptsBefore:
		kind = callRequestAdmitted
	case kind == callRequestRejected && n.counts.quotaRequests > quotaRequestsBefore:
		kind = callRequestAwaitingQuota
	case kind == callQuotaRejected && n.counts.attempts > attemptsBefore:
		kind = callQuotaGranted
	}
	n.stopwatch.add(kind, elapsed)
}

// SendAttempt implements [balancer.Actions]. The server responds after a random service time. Sending takes
// no time, so the time limit for sending the request is ignored.
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
	q.attempts = append(q.attempts, openAttempt{server: serverID, sentAt: f.clock.now})
	q.inFlight++
	left := q.deadline - f.clock.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	result, elapsed := n.sampleResult()
	if elapsed > left {
		result, elapsed = balancer.TimedOut, left
	}
	f.clock.after(elapsed, func() { n.finishAttempt(q, number, result) })
}

// chargeQuota deducts the units of a request from the exact state of its tenant's quota when the request is
// first sent to a server. If the quota does not cover the units, they count as over quota instead.
func (n *simulatedNode) chargeQuota(q *openRequest) {
	n.counts.admittedUnits += q.units
	if q.inQuota = q.tenant.refill(n.fleet.clock.now) >= q.units; q.inQuota {
		q.tenant.tokens -= q.units
		return
	}
	n.counts.overQuotaUnits += q.units
}

// sampleResult returns a random result of an attempt and its service time.
func (n *simulatedNode) sampleResult() (balancer.Result, time.Duration) {
	rng := n.fleet.rng
	serviceTime := minServiceTime + time.Duration(rng.ExpFloat64()*float64(meanExtraServiceTime))
	switch x := rng.Float64(); {
	case x < overloadedFraction:
		return balancer.Overloaded, minServiceTime / 2
	case x < overloadedFraction+errorFraction:
		return balancer.ErrorResponse, serviceTime
	}
	return balancer.OK, serviceTime
}

// finishAttempt ends an attempt and reports its outcome to the balancer. It does nothing if the attempt has
// ended already.
func (n *simulatedNode) finishAttempt(q *openRequest, number int, result balancer.Result) {
	a := &q.attempts[number]
	if a.done {
		return
	}
	a.done = true
	q.inFlight--
	f := n.fleet
	o := balancer.Outcome{ID: q.id, Attempt: number, Result: result, EndpointID: a.server, Elapsed: f.clock.now - a.sentAt}
	if result == balancer.OK && q.finalResponses == 0 {
		q.finalResponses++
		n.counts.served++
		if q.inQuota {
			q.tenant.tokens += q.units - q.used
		}
		o.Units = q.used
	}
	o.Answered = q.finalResponses > 0
	if result == balancer.OK || result == balancer.Overloaded || result == balancer.ErrorResponse {
		o.LoadReport = &balancer.LoadReport{InFlight: float64(f.rng.IntN(maxReportedInFlight)), Queued: -1, Utilization: -1}
	}
	n.call(callAttemptFinished, func() { n.balancer.AttemptFinished(f.clock.now, o, n) })
	n.removeIfDone(q)
}

// countFinal counts a final response that the node itself generates. A second one for the same request counts
// as a duplicate.
func (n *simulatedNode) countFinal(id string, count *int) {
	q := n.open[id]
	if q == nil || q.finalResponses > 0 {
		n.counts.duplicateResponses++
		return
	}
	q.finalResponses++
	*count++
	n.removeIfDone(q)
}

// Reject implements [balancer.Actions]. It counts the rejection in rejectedInQuota, too, if the request was
// never sent to a server, the quota covers it, and at least half of the tenant's burst is unused.
func (n *simulatedNode) Reject(id string, _ time.Duration) {
	if q := n.open[id]; q != nil && len(q.attempts) == 0 {
		if tokens := q.tenant.refill(n.fleet.clock.now); tokens >= max(q.units, q.tenant.plan.Burst/2) {
			n.counts.rejectedInQuota++
		}
	}
	n.countFinal(id, &n.counts.rejected)
}

// Fail implements [balancer.Actions].
func (n *simulatedNode) Fail(id string) { n.countFinal(id, &n.counts.failed) }

// CancelAttempt implements [balancer.Actions]. The attempt ends at the current time, but after this call has
// returned.
func (n *simulatedNode) CancelAttempt(id string, attempt int) {
	if q := n.open[id]; q != nil && attempt < len(q.attempts) {
		n.fleet.clock.after(0, func() { n.finishAttempt(q, attempt, balancer.Cancelled) })
	}
}

// SetTimer implements [balancer.Actions]. The first token is that of the periodic timer.
func (n *simulatedNode) SetTimer(token uint64, after time.Duration) {
	if !n.hasPeriodicTimer {
		n.periodicTimer, n.hasPeriodicTimer = token, true
	}
	n.fleet.clock.after(after, func() {
		kind := callTimer
		if token == n.periodicTimer {
			kind = callTick
		}
		n.call(kind, func() { n.balancer.TimerFired(n.fleet.clock.now, token, n) })
	})
}

// HealthCheck implements [balancer.Actions]. It does nothing: the settings permit no health checks.
func (n *simulatedNode) HealthCheck(string) {}

// SendPeer implements [balancer.Actions]. It sends the message to one peer or to all.
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

// send counts a message and delivers a copy after the delay of the link, unless the message is lost or the
// peer is not simulated.
func (n *simulatedNode) send(peer int, message []byte) {
	n.counts.sentBytes += len(message)
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
	delay, arrives := n.fleet.link.sampleDelivery()
	if to == nil || !arrives {
		return
	}
	copied := append([]byte(nil), message...)
	n.fleet.clock.after(delay, func() { to.receive(n.number, copied) })
}

// receive passes a message to the balancer if the inbox accepts it.
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

// updateEndpoints delivers the endpoint list, or changes to it, to the balancer.
func (n *simulatedNode) updateEndpoints(kind callKind, updateKind balancer.UpdateKind, entries []balancer.Endpoint) {
	n.call(kind, func() { n.balancer.EndpointsUpdated(n.fleet.clock.now, updateKind, entries, n) })
}

// WatchEndpoints implements [balancer.Actions]. It does nothing: lists are delivered without a watch.
func (n *simulatedNode) WatchEndpoints(bool) {}

// Log implements [balancer.Actions]. It discards the message.
func (n *simulatedNode) Log(slog.Level, string, ...slog.Attr) {}
