package balancer

import (
	"log/slog"
	"math"
	"time"
)

const (
	// timeoutErrorWeight is the weight of a timeout in the error rate. It is less than that of an error, as
	// the endpoint may only be slow.
	timeoutErrorWeight = 0.5
	// slowConnect is the time from which a failed connection counts as unanswered. A connection that fails
	// sooner was refused.
	slowConnect = 100 * time.Millisecond
	// minTimeoutMean is the minimum mean latency, in seconds, that a timeout is compared with.
	minTimeoutMean = 1e-3

	// unresponsiveAfterMeans is the time without a response, in mean latencies, after which an endpoint with
	// attempts in flight counts as unresponsive. The time is at most the age up to which an attempt counts
	// as recent, and at least that age divided by minSilenceDivisor.
	unresponsiveAfterMeans = 3.0
	minSilenceDivisor      = 4
)

// recordOutcome updates the state of an endpoint, and the balancer's averages, at the end of an attempt.
func (b *Balancer) recordOutcome(r *request, e *endpoint, o Outcome) {
	if b.settings.LoadReports == LoadReportsInResponses { // otherwise responses contain no load report
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

// recordResponsiveness records whether the endpoint responded to an attempt.
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

// recordSuccess records an OK response.
func (b *Balancer) recordSuccess(class int, e *endpoint, elapsed time.Duration) {
	e.recordProgress(b.now)
	e.health.recordSuccess()
	b.concurrency.recordResponse()
	b.recordLatency(class, e, elapsed)
	// Counts only the endpoints in [endpointSet.warmWeight] and only work that is known. Responses of
	// draining endpoints, or an estimate that is too high, would inflate the budgets of cold endpoints.
	if b.warmUpFraction(e) >= 1 && e.acceptsRequests() && e.inSubset {
		b.slowStart.recordWork(b.latency.learnedWork(class))
	}
}

// recordOverloaded records that an endpoint rejected a request for lack of capacity. The endpoint is ejected
// for one control interval.
func (b *Balancer) recordOverloaded(e *endpoint) {
	e.recordProgress(b.now)
	b.overload.sampleOccupancy(1)
	e.health.ejectFor(b.now, controlInterval)
}

// recordTimeout records an attempt that timed out. Its elapsed time counts as its latency, which would have
// been at least as long.
func (b *Balancer) recordTimeout(class int, e *endpoint, elapsed time.Duration) {
	b.overload.sampleOccupancy(1)
	e.recordLatencyRatio(elapsed.Seconds() / math.Max(b.latency.classMean(class), minTimeoutMean))
}

// recordConnectFailed records a connection that could not be made. The process may have restarted and be
// cold, long before the list reports that. The same holds for a process that is reachable again after a
// network partition. An established connection that breaks does not count as a sign of a restart: where
// connections break one by one, all endpoints would count as cold, and a crashed process also refuses new
// connections.
//
// Single connections also fail at running processes, so a health check is sent at once. A response to it, or
// a response on a connection older than the failure, shows that the process was not replaced in between and
// withdraws the suspicion.
func (b *Balancer) recordConnectFailed(e *endpoint) {
	e.restarts.suspect(b.now)
	e.load.recordRefusal(b.now)
	if b.health.enabled && e.acceptsRequests() && e.restarts.startConfirming(b.now) {
		e.health.recordCheck(b.now)
		b.actions.HealthCheck(e.ID)
	}
}

// recordError adds a result to the endpoint's error rate. A high rate ejects the endpoint. A failed
// connection ejects it at once.
func (b *Balancer) recordError(e *endpoint, result Result) {
	e.health.recordError(errorWeight(result))
	if !e.health.ejected(b.now) &&
		(e.health.errorRate > ejectionErrorRate || result == ConnectFailed) {
		e.health.eject(b.now)
		b.logInfo("endpoint ejected", slog.String("endpoint", e.ID), slog.Any("result", result),
			slog.Int("consecutive_ejections", e.health.consecutiveEjections))
	}
}

// errorWeight returns the weight of a result in the error rate, from 0 for OK to 1 for an error.
func errorWeight(result Result) float64 {
	switch result {
	case OK:
		return 0
	case TimedOut:
		return timeoutErrorWeight
	}
	return 1
}

// recordLoadReport records a load report. The report is nil if the endpoint sent none.
func (b *Balancer) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil {
		return
	}
	e.recordLoadReport(report, b.now)
	if report.Utilization >= 0 {
		b.overload.sampleOccupancy(math.Min(report.Utilization, 1))
	}
}

// recordResponse records a response with any result, to an attempt or a health check.
func (b *Balancer) recordResponse(e *endpoint) {
	if e.health.recordResponse(b.now) {
		b.logInfo("endpoint responds again", slog.String("endpoint", e.ID))
	}
}

// recordNoResponse records that an attempt or a health check sent at sentAt got no response. Without health
// checks it does nothing: an endpoint marked as unreachable could then not show that it responds again.
func (b *Balancer) recordNoResponse(e *endpoint, sentAt time.Duration) {
	if b.health.enabled && e.health.recordNoResponse(sentAt) {
		b.logInfo("endpoint unreachable until a health check succeeds",
			slog.String("endpoint", e.ID))
	}
}

// ejectUnresponsive ejects an endpoint that did not respond to an attempt sent at sentAt, unless it has
// responded to this node since, or another node has reported its load. It applies to large fleets only.
// Trying the endpoint again would cost a request, and load gossip ends the ejection sooner than a trial
// would.
func (b *Balancer) ejectUnresponsive(e *endpoint, sentAt time.Duration) {
	if b.hasQuotaOwners() && max(e.health.lastResponse, e.load.reportedAt) <= sentAt {
		e.health.ejectAsUnresponsive(b.now)
	}
}

// HealthChecked handles the result of a health check. The report is nil if the endpoint sent none.
func (b *Balancer) HealthChecked(
	now time.Duration, endpointID string, result Result, report *LoadReport, out Actions,
) {
	b.now, b.actions = now, out
	e := b.endpoints.trackedByID[endpointID]
	if e == nil {
		return
	}
	switch result {
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

// healthCriteria returns the present criteria for the health of endpoints.
func (b *Balancer) healthCriteria() healthCriteria {
	if !b.hasQuotaOwners() {
		return healthCriteria{}
	}
	longest := recentAttemptFraction * b.latency.longestObjective.Seconds()
	silence := math.Max(unresponsiveAfterMeans*b.latency.mean(), longest/minSilenceDivisor)
	return healthCriteria{largeFleet: true, maxSilence: math.Min(silence, longest)}
}

// deprioritized reports whether the endpoint gets requests only if no other endpoint is left.
func (b *Balancer) deprioritized(e *endpoint) bool { return e.deprioritized(b.now, b.healthCriteria()) }
