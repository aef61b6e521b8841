package edgenode

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"opalhook/balancer"
)

// actions carries out what the balancer asks for; it is [balancer.Actions]. All methods are called under the
// node's mutex.
type actions Node

// SendAttempt starts an attempt, bounded by its timeout and by the client's deadline.
func (a *actions) SendAttempt(id, endpointID string, timeout, by time.Duration) {
	n := (*Node)(a)
	request := n.inflight[id]
	if request == nil || request.answered {
		n.logDeferred(slog.LevelError, "attempt for a request that is not in flight", "request", id,
			"endpoint", endpointID)
		return
	}
	deadline := request.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(deadline) {
		deadline = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, deadline)
	at := &attempt{number: len(request.attempts), endpointID: endpointID, sentAt: n.now(), cancel: cancel}
	at.limits.Backend = n.upstream.Lookup(endpointID)
	if by != 0 {
		at.limits.CompleteBefore = n.startedAt.Add(by - time.Duration(n.startedAt.UnixNano()))
	}
	request.attempts = append(request.attempts, at)
	request.attemptsOut++
	n.background.Go(func() { n.runAttempt(ctx, request, at) })
}

// Reject answers a request by a rejection.
func (a *actions) Reject(id string, retryAfter time.Duration) {
	if request := a.inflight[id]; request != nil {
		(*Node)(a).finishRequest(request, clientResponse{kind: responseRejected, retryAfter: retryAfter})
	}
}

// Fail answers a request by a failure.
func (a *actions) Fail(id string) {
	if request := a.inflight[id]; request != nil {
		(*Node)(a).finishRequest(request, clientResponse{kind: responseFailed})
	}
}

// CancelAttempt gives up one attempt of a request.
func (a *actions) CancelAttempt(id string, number int) {
	if request := a.inflight[id]; request != nil && number >= 0 && number < len(request.attempts) {
		a.upstream.Cancel(request.attempts[number].cancel)
	}
}

// SetTimer calls the balancer's timer. One that fires after the node has closed does nothing.
func (a *actions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.TimerFired(now, token, out) })
	})
}

// HealthCheck starts a health check.
func (a *actions) HealthCheck(endpointID string) {
	n := (*Node)(a)
	n.background.Go(func() { n.runHealthCheck(endpointID) })
}

// SendPeer sends a message, which the balancer may overwrite after the call.
func (a *actions) SendPeer(peer int, message []byte) {
	n := (*Node)(a)
	message = bytes.Clone(message)
	if n.peers != nil {
		n.deferred = append(n.deferred, func() { n.peers.sendMessage(peer, message, n.log) })
	}
}

// WatchEndpoints has nothing to do: the list is always watched.
func (a *actions) WatchEndpoints(bool) {}

// Log logs once the mutex is released.
func (a *actions) Log(level slog.Level, message string, attributes ...slog.Attr) {
	n := (*Node)(a)
	n.deferred = append(n.deferred, func() { n.log.LogAttrs(n.ctx, level, message, attributes...) })
}
