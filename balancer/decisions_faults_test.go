package balancer_test

import (
	"time"

	"opalhook/balancer"
)

// Faults that a balancer must tolerate: events for unknown requests, endpoints and timers, invalid requests,
// messages that are malformed, late or from an unknown node, and restarts of the balancers.

// injectFault injects a random fault at a random node and schedules the next one.
func (sim *simulation) injectFault() {
	if sim.finishing {
		return
	}
	n := sim.randomNode()
	switch sim.random.IntN(12) {
	case 0:
		n.timerFired(sim.random.Uint64N(1 << 26))
	case 1:
		sim.sendUnknownOutcome(n)
	case 2:
		n.healthChecked("unknown", balancer.OK, nil)
	case 3:
		n.responseStarted("unknown", 0)
		n.clientGone("unknown")
	case 4:
		sim.sendInvalidRequest(n)
	case 5:
		if sim.chance(0.06) {
			n.restart()
		}
	default:
		n.peerMessage(sim.malformedMessage())
	}
	sim.after(sim.randomDuration(60*time.Millisecond), sim.injectFault)
}

// sendUnknownOutcome reports an outcome for an unknown request, or for a recent one whose attempt may be
// unknown or done.
func (sim *simulation) sendUnknownOutcome(n *node) {
	o := balancer.Outcome{ID: "unknown", Result: balancer.OK}
	if q := n.requests[sim.recentRequestID()]; q != nil && len(q.attempts) > 0 {
		o.ID, o.Attempt = q.ID, sim.random.IntN(4)*10-10
		n.responseStarted(q.ID, o.Attempt-1)
	}
	n.attemptFinished(o)
}

// recentRequestID returns the ID of a random one of the last 40 requests.
func (sim *simulation) recentRequestID() string {
	return requestID(max(sim.requests-sim.random.IntN(40), 1))
}

// sendInvalidRequest sends an invalid request, or one whose ID is already known to the node.
func (sim *simulation) sendInvalidRequest(n *node) {
	sim.requests++
	q := balancer.Request{
		ID: requestID(sim.requests), Class: "safe", Plan: "rate", Tenant: 1, Timeout: time.Second, Units: -1,
	}
	switch sim.random.IntN(6) {
	case 0:
		q.Class = "unknown"
	case 1:
		q.Plan = "unknown"
	case 2:
		q.Timeout = 0
	case 3:
		q.Plan, q.EntryNodes = "open", 1000
	case 4:
		q.ID = sim.recentRequestID()
		if old := n.requests[q.ID]; old == nil || old.incarnation != n.incarnation {
			return // this balancer does not know the request
		}
		n.requestArrived(q)
		return
	}
	sim.sendRequest(n, q, 0, 3)
}

// malformedMessage returns a recently sent message, unchanged, malformed or empty, and a random sender.
func (sim *simulation) malformedMessage() (from int, message []byte) {
	from = sim.nodes[0].number + sim.random.IntN(len(sim.nodes)+2) - 1
	message = append(message, sim.recentMessages[sim.random.IntN(len(sim.recentMessages))]...)
	if sim.chance(0.05) || len(message) == 0 {
		return from, nil
	}
	at := sim.random.IntN(len(message))
	switch sim.random.IntN(6) {
	case 0:
		message[at] ^= 1 << sim.random.IntN(8)
	case 1:
		message = message[:at]
	case 2:
		message = append(message, byte(sim.random.IntN(256)))
	case 3:
		message[0] = byte(sim.random.IntN(6))
	case 4:
		message[at] = byte(sim.random.IntN(256))
	}
	return from, message
}
