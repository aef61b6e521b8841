package balancer

import (
	"log/slog"
	"math"
	"time"
)

const (
	timeoutError   = 0.5                    // a timeout as a part of an error: the endpoint may only be slow
	slowConnect    = 100 * time.Millisecond // connections that fail sooner were refused: no silence
	minTimeoutMean = 1e-3                   // seconds; least mean latency that timeouts are held against

	// unresponsiveAfterMeans is the silence of an endpoint with attempts in flight after which it counts as
	// unresponsive, in mean latencies. It is at most the time for which an attempt counts as recent, and at
	// least that divided by minSilenceDivisor.
	unresponsiveAfterMeans = 3.0
	minSilenceDivisor      = 4
)

// recordOutcome learns from the end of an attempt at an endpoint.
func (b *Balancer) recordOutcome(r *request, e *endpoint, o Outcome) {
	if b.settings.LoadReports == LoadReportsInResponses { // elsewhere a response has none to give
		b.recordLoadReport(e, o.LoadReport)
	}
	b.recordResponsiveness(e, o)
	switch o.Result {
	case OK:
		b.recordSuccess(r.class, e, o.Elapsed)
	case Overloaded:
		b.recordOverloaded(e)
		return
	case TimedOut:
		b.recordTimeout(r.class, e, o.Elapsed)
	case ErrorResponse:
		e.recordProgress(b.now)
		e.load.recordError(b.now)
	case ConnectFailed:
		b.recordConnectFailed(e)
	case NotSent, Cancelled:
		return
	}
	b.recordError(e, o.Result)
}

// recordResponsiveness records whether the endpoint has responded.
func (b *Balancer) recordResponsiveness(e *endpoint, o Outcome) {
	switch o.Result {
	case OK, Overloaded, ErrorResponse:
		b.recordResponse(e)
		if o.ConnectedAt > 0 {
			e.restarts.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		sentAt := b.now - o.Elapsed
		b.recordNoResponse(e, sentAt)
		if o.Elapsed >= slowConnect {
			b.ejectUnresponsive(e, sentAt)
		}
	}
}

// recordSuccess records an OK.
func (b *Balancer) recordSuccess(class int, e *endpoint, elapsed time.Duration) {
	e.recordProgress(b.now)
	e.health.recordSuccess()
	b.concurrency.recordResponse()
	b.recordLatency(class, e, elapsed)
	// Only endpoints that count in the mean and only work that is known: responses of draining endpoints,
	// or a guess that proves too high, would inflate what cold ones may be sent.
	if b.warmUpFraction(e) >= 1 && e.acceptsRequests() && e.inSubset {
		b.slowStart.recordWork(b.latency.learnedWork(class))
	}
}

// recordOverloaded records a rejection by an endpoint that had no capacity left: it gets none for a short
// time.
func (b *Balancer) recordOverloaded(e *endpoint) {
	e.recordProgress(b.now)
	b.overload.sampleOccupancy(1)
	e.health.ejectFor(b.now, controlInterval)
}

// recordTimeout records an attempt that was given up; its latency is at least the time that it had.
func (b *Balancer) recordTimeout(class int, e *endpoint, elapsed time.Duration) {
	b.overload.sampleOccupancy(1)
	e.recordLatencyRatio(elapsed.Seconds() / math.Max(b.latency.classMean(class), minTimeoutMean))
}

// recordConnectFailed records that no connection came up. The process may have restarted and be cold, long
// before the list says so; the same holds for one that comes back after a cut. A connection that breaks is
// no sign: where they break one by one all endpoints would count as cold, and a process that dies refuses
// new connections as well. Single connections fail at processes that live too, so a health check is sent at
// once: its response, or one on an older connection, withdraws the suspicion, as no process could have
// started in between.
func (b *Balancer) recordConnectFailed(e *endpoint) {
	e.restarts.suspect(b.now)
	e.load.recordRefusal(b.now)
	if b.health.enabled && e.acceptsRequests() && e.restarts.startConfirming(b.now) {
		e.health.recordCheck(b.now)
		b.actions.HealthCheck(e.ID)
	}
}

// recordError adds a result to the error rate, which may eject the endpoint; a failed connection does at
// once.
func (b *Balancer) recordError(e *endpoint, result Result) {
	e.health.recordError(errorAmount(result))
	if !e.health.ejected(b.now) &&
		(e.health.errorRate > ejectionErrorRate || result == ConnectFailed) {
		e.health.eject(b.now)
		b.logInfo("endpoint ejected", slog.String("endpoint", e.ID), slog.Any("result", result),
			slog.Int("consecutive_ejections", e.health.consecutiveEjections))
	}
}

// errorAmount returns a result as a part of an error.
func errorAmount(result Result) float64 {
	switch result {
	case OK:
		return 0
	case TimedOut:
		return timeoutError
	}
	return 1
}

// recordLoadReport takes in a load report, nil where none came.
func (b *Balancer) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil {
		return
	}
	e.recordLoadReport(report, b.now)
	if report.Utilization >= 0 {
		b.overload.sampleOccupancy(math.Min(report.Utilization, 1))
	}
}

// recordResponse records a response of any kind.
func (b *Balancer) recordResponse(e *endpoint) {
	if e.health.recordResponse(b.now) {
		b.logInfo("endpoint responds again", slog.String("endpoint", e.ID))
	}
}

// recordNoResponse records that something sent at a time came to nothing. Without health checks, an
// endpoint that is held unreachable could not show that it responds again.
func (b *Balancer) recordNoResponse(e *endpoint, sentAt time.Duration) {
	if b.health.enabled && e.health.recordNoResponse(sentAt) {
		b.logInfo("endpoint unreachable until a health check succeeds",
			slog.String("endpoint", e.ID))
	}
}

// ejectUnresponsive ejects an endpoint at which an attempt came to nothing, unless a node has reported it
// since that was sent. To try such an endpoint costs a request, and load gossip ends the ejection sooner
// than a try would.
func (b *Balancer) ejectUnresponsive(e *endpoint, sentAt time.Duration) {
	if b.ownsQuotas() && max(e.health.lastResponse, e.load.reportedAt) <= sentAt {
		e.health.ejectAsUnresponsive(b.now)
	}
}

// HealthChecked brings the result of a health check.
func (b *Balancer) HealthChecked(now time.Duration, id string, res Result, report *LoadReport, out Actions) {
	b.now, b.actions = now, out
	e := b.endpoints.trackedByID[id]
	if e == nil {
		return
	}
	switch res {
	case OK:
		b.recordLoadReport(e, report)
		b.recordCheckResponse(e)
	case Overloaded, ErrorResponse:
		b.recordCheckResponse(e)
	case ConnectFailed:
		e.restarts.suspect(b.now)
		b.recordNoResponse(e, e.health.lastCheck)
	case TimedOut:
		b.recordNoResponse(e, e.health.lastCheck)
	}
	e.restarts.stopConfirming()
}

// recordCheckResponse records a response to a health check.
func (b *Balancer) recordCheckResponse(e *endpoint) {
	b.recordResponse(e)
	e.restarts.confirm()
}

// sendHealthCheck sends a health check if one is due.
func (b *Balancer) sendHealthCheck() {
	if e := b.health.next(b.now, b.endpoints.tracked, b.overload.pooled[poolSent]); e != nil {
		b.actions.HealthCheck(e.ID)
	}
}

// healthCriteria returns what endpoints are judged by now.
func (b *Balancer) healthCriteria() healthCriteria {
	if !b.ownsQuotas() {
		return healthCriteria{}
	}
	longest := recentAttemptFraction * b.latency.longestObjective.Seconds()
	silence := math.Max(unresponsiveAfterMeans*b.latency.mean(), longest/minSilenceDivisor)
	return healthCriteria{largeFleet: true, maxSilence: math.Min(silence, longest)}
}

// deprioritized reports whether the endpoint gets requests only where no other is left.
func (b *Balancer) deprioritized(e *endpoint) bool { return e.deprioritized(b.now, b.healthCriteria()) }
