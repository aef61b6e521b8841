package edgenode

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"opalhook/balancer"
)

// actions implements [balancer.Actions] for a [Node]. The balancer calls all methods with the node's mutex
// held. A call for a request that is not in flight changes nothing.
type actions Node

// SendAttempt starts an attempt in a goroutine of its own. The attempt ends after timeout, unless that is 0,
// and at the request's deadline at the latest. If sendBy is not 0, the last byte of the request must be
// written before the node's clock reads sendBy. If the request is not in flight or is already answered,
// SendAttempt only logs an error.
func (a *actions) SendAttempt(id, endpointID string, timeout, sendBy time.Duration) {
	n := (*Node)(a)
	request := n.inflight[id]
	if request == nil || request.answered {
		n.logDeferred(slog.LevelError, "attempt for a request that is answered or not in flight",
			"request", id, "endpoint", endpointID)
		return
	}
	deadline := request.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(deadline) {
		deadline = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, deadline)
	at := &attempt{number: len(request.attempts), endpointID: endpointID, sentAt: n.now(), cancel: cancel}
	at.limits.Backend = n.upstream.Lookup(endpointID)
	if sendBy != 0 {
		at.limits.CompleteBefore = n.startedAt.Add(sendBy - time.Duration(n.startedAt.UnixNano()))
	}
	request.attempts = append(request.attempts, at)
	request.openAttempts++
	n.background.Go(func() { n.runAttempt(ctx, request, at) })
}

// Reject answers a request with a rejection. A retryAfter of 0 leaves out the Retry-After header.
func (a *actions) Reject(id string, retryAfter time.Duration) {
	if request := a.inflight[id]; request != nil {
		(*Node)(a).finishRequest(request, clientResponse{kind: responseRejected, retryAfter: retryAfter})
	}
}

// Fail answers a request with a failure.
func (a *actions) Fail(id string) {
	if request := a.inflight[id]; request != nil {
		(*Node)(a).finishRequest(request, clientResponse{kind: responseFailed})
	}
}

// CancelAttempt cancels one attempt of a request. The balancer still receives the attempt's outcome.
func (a *actions) CancelAttempt(id string, number int) {
	if request := a.inflight[id]; request != nil && number >= 0 && number < len(request.attempts) {
		a.upstream.Cancel(request.attempts[number].cancel)
	}
}

// SetTimer starts a timer that passes the token to the balancer's TimerFired. A timer that fires after the
// node has closed has no effect.
func (a *actions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.TimerFired(now, token, out) })
	})
}

// HealthCheck starts a health check of an endpoint in a goroutine of its own.
func (a *actions) HealthCheck(endpointID string) {
	n := (*Node)(a)
	n.background.Go(func() { n.runHealthCheck(endpointID) })
}

// SendPeer sends a message to a peer once the mutex is released. It copies the message, because the balancer
// may overwrite it after the call.
func (a *actions) SendPeer(peer int, message []byte) {
	n := (*Node)(a)
	message = bytes.Clone(message)
	if n.peers != nil {
		n.deferred = append(n.deferred, func() { n.peers.sendMessage(peer, message, n.log) })
	}
}

// WatchEndpoints does nothing: the node watches the endpoint list as long as it runs.
func (a *actions) WatchEndpoints(bool) {}

// Log writes a log record once the mutex is released.
func (a *actions) Log(level slog.Level, message string, attributes ...slog.Attr) {
	n := (*Node)(a)
	n.deferred = append(n.deferred, func() { n.log.LogAttrs(n.ctx, level, message, attributes...) })
}
