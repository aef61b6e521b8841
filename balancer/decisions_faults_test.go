package balancer_test

import (
	"time"

	"opalhook/balancer"
)

// What a balancer must take without harm: events of nothing that it knows, bad requests, messages that are malformed,
// late or from nobody, and restarts of the balancers themselves.

// disturb lets one odd thing happen, and the next one after it.
func (w *world) disturb() {
	if w.ending {
		return
	}
	n := w.anyNode()
	switch w.random.IntN(12) {
	case 0:
		n.timer(w.random.Uint64N(1 << 26))
	case 1:
		w.unknownOutcome(n)
	case 2:
		n.probed("unknown", balancer.OK, nil)
	case 3:
		n.begins("unknown", 0)
		n.gone("unknown")
	case 4:
		w.badRequest(n)
	case 5:
		if w.chance(0.06) {
			n.restart()
		}
	default:
		n.peer(w.malformedMessage())
	}
	w.after(w.upTo(60*time.Millisecond), w.disturb)
}

// unknownOutcome brings an outcome of a request or an attempt that there is not.
func (w *world) unknownOutcome(n *node) {
	o := balancer.Outcome{ID: "unknown", Result: balancer.OK}
	if q := n.requests[w.anyRequest()]; q != nil && len(q.attempts) > 0 {
		o.ID, o.Attempt = q.ID, w.random.IntN(4)*10-10
		n.begins(q.ID, o.Attempt-1)
	}
	n.outcome(o)
}

// anyRequest draws the name of a request of late.
func (w *world) anyRequest() string {
	return requestID(max(w.requests-w.random.IntN(40), 1))
}

// badRequest brings a request that can't be, or one that is there already.
func (w *world) badRequest(n *node) {
	w.requests++
	q := balancer.Request{ID: requestID(w.requests), Class: "safe", Plan: "rate", Tenant: 1, Timeout: time.Second, Units: -1}
	switch w.random.IntN(6) {
	case 0:
		q.Class = "unknown"
	case 1:
		q.Plan = "unknown"
	case 2:
		q.Timeout = 0
	case 3:
		q.Plan, q.EntryNodes = "open", 1000
	case 4:
		q.ID = w.anyRequest()
		if old := n.requests[q.ID]; old == nil || old.incarnation != n.incarnation {
			return // it would be new to this balancer
		}
		n.request(q)
		return
	}
	w.try(n, q, 0, 3)
}

// malformedMessage returns a message that was sent before, as it was or malformed, with a sender of its own.
func (w *world) malformedMessage() (from int, message []byte) {
	from = w.nodes[0].number + w.random.IntN(len(w.nodes)+2) - 1
	message = append(message, w.overheard[w.random.IntN(len(w.overheard))]...)
	if w.chance(0.05) || len(message) == 0 {
		return from, nil
	}
	at := w.random.IntN(len(message))
	switch w.random.IntN(6) {
	case 0:
		message[at] ^= 1 << w.random.IntN(8)
	case 1:
		message = message[:at]
	case 2:
		message = append(message, byte(w.random.IntN(256)))
	case 3:
		message[0] = byte(w.random.IntN(6))
	case 4:
		message[at] = byte(w.random.IntN(256))
	}
	return from, message
}
