package balancer

import (
	"log/slog"
	"math"
	"time"
)

const (
	// share of a new outcome in a server's error average
	errorSmoothing = 0.2
	// error average that ejects: about three failures in a row
	ejectionErrorRate = 0.35
	baseEjection      = 500 * time.Millisecond // first ejection; doubles up to ejectMost
	maxEjection       = 8 * time.Second
	// time constant for forgetting what was learned of a server
	observationDecay = 5 * time.Second
	// mean latencies of silence after which a server counts as mute
	unresponsiveAfterMeans = 3.0
	// for which one that let an attempt come to nothing is left
	unresponsiveEjection = 4 * time.Second
	slowConnect          = 100 * time.Millisecond // a connection refused at once is no silence
)

// healthChecker paces health checks.
type healthChecker struct {
	checkTokens float64 // health checks earned by attempts
}

// recordOutcome keeps a server's health.
func (b *Balancer) recordOutcome(r *request, s *endpoint, o Outcome) {
	if b.settings.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		b.recordLoadReport(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, Overloaded, ErrorResponse:
		b.recordResponse(s)
		if o.ConnectedAt > 0 {
			s.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		b.recordNoResponse(s, b.now-o.Elapsed)
		if o.Elapsed >= slowConnect {
			b.ejectUnresponsive(s, b.now-o.Elapsed)
		}
	}
	switch o.Result {
	case OK:
		bad = 0
		s.lastProgress, s.consecutiveEjections = b.now, 0
		b.concurrency.responses++
		b.recordLatency(r.class, s, o.Elapsed)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if b.warmUpFraction(s) >= 1 && s.acceptsRequests() && s.inSubset {
			b.slowStart.warmWorkDone += b.learnedWork(r.class)
		}
	case NotSent, Cancelled:
		return
	case Overloaded:
		s.lastProgress = b.now
		b.overload.sampleOccupancy(1)
		s.ejectedUntil = max(s.ejectedUntil, b.now+controlInterval)
		return
	case TimedOut:
		b.overload.sampleOccupancy(1)
		s.latencyRatio += latencySmoothing * (o.Elapsed.Seconds()/math.Max(b.latency.classes[r.class].mean,
			1e-3) - s.latencyRatio)
		bad = 0.5
	case ErrorResponse:
		s.lastProgress, s.lastResponseFailed, s.loadReportedAt = b.now, true, b.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.suspectRestart(b.now)
		s.refusesConnections, s.loadReportedAt = true, b.now
		if b.settings.HealthChecks && b.settings.LoadReports != NoLoadReports && s.confirmingSince == 0 &&
			s.acceptsRequests() {
			s.confirmingSince, s.lastHealthCheck = b.now, b.now
			b.actions.HealthCheck(s.ID)
		}
	}
	s.errorRate += errorSmoothing * (bad - s.errorRate)
	if (s.errorRate > ejectionErrorRate || o.Result == ConnectFailed) && b.now >= s.ejectedUntil {
		b.eject(s)
		b.logInfo("endpoint ejected", slog.String("endpoint", s.ID), slog.Any("result", o.Result),
			slog.Int("consecutive_ejections", s.consecutiveEjections))
	}
}

// recordLoadReport takes in a load report.
func (b *Balancer) recordLoadReport(s *endpoint, l *LoadReport) {
	if l == nil {
		return
	}
	if l.Queued >= 0 {
		s.reportedQueue = l.Queued
	}
	if l.InFlight >= 0 {
		s.recordLoad(l.InFlight, b.now)
	}
	if l.Utilization >= 0 {
		s.utilizationReportedAt = b.now
		b.overload.sampleOccupancy(math.Min(l.Utilization, 1))
	}
}

// recordResponse takes in an answer of any kind.
func (b *Balancer) recordResponse(s *endpoint) {
	if s.ejectedAsUnresponsive {
		s.ejectedAsUnresponsive, s.ejectedUntil = false, 0
	}
	if s.unreachable {
		s.unreachable, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		b.logInfo("endpoint responds again", slog.String("endpoint", s.ID))
	}
	s.lastResponse = b.now
}

// recordNoResponse takes in that something sent to the server at a time came to nothing. If all else sent
// since did as
// well, the machine has died, vanished or is cut off, long before the list says so. It gets no request until
// it is heard again: probes find that out, where an ejection's end would risk a request, or several at once,
// each time. It covers lost halls, single machines and cut links; it harms where servers answer nothing at
// all for as long as a probe waits and then go on: for a round of probes the others carry their load.
func (b *Balancer) recordNoResponse(s *endpoint, sent time.Duration) {
	if !b.settings.HealthChecks || b.settings.LoadReports == NoLoadReports || s.lastResponse >= sent ||
		s.unreachable {
		return
	}
	s.unreachable = true
	b.logInfo("endpoint unreachable until a health check succeeds", slog.String("endpoint", s.ID))
}

// unresponsive tells whether the server is known to answer nothing: it was silent to probes or, in a large
// fleet, no gateway has told of an answer since this one's attempts there have been out for several times
// the mean. One gateway's silence may be chance, but a server that lives answers some gateway many times a
// second.
func (b *Balancer) unresponsive(s *endpoint) bool {
	switch {
	case s.unreachable:
		return true
	case !b.ownsQuotas():
		return false
	case s.ejectedAsUnresponsive && b.now < s.ejectedUntil:
		return true
	case s.inFlight == 0:
		return false
	}
	aim := recentAttemptFraction * b.longestLatencyObjective().Seconds()
	wait := math.Min(math.Max(unresponsiveAfterMeans*b.meanLatency(), aim/4), aim)
	return (b.now - max(s.lastProgress, s.loadReportedAt)).Seconds() > wait
}

func (b *Balancer) eject(s *endpoint) {
	s.ejectedUntil = b.now + min(baseEjection<<min(s.consecutiveEjections, 10), maxEjection)
	s.consecutiveEjections++
	s.errorRate = ejectionErrorRate / 2
}

// ejectUnresponsive takes in that an attempt came to nothing at a server of which no gateway has told since
// it was
// sent. To try such a server costs a request; news ends that sooner than a try would.
func (b *Balancer) ejectUnresponsive(s *endpoint, sent time.Duration) {
	if b.ownsQuotas() && max(s.lastResponse, s.loadReportedAt) <= sent {
		s.ejectedAsUnresponsive, s.ejectedUntil = true, max(s.ejectedUntil, b.now+unresponsiveEjection)
	}
}

// deprioritized tells whether the server is kept for when no other is left. An ejection ends too soon for a
// fleet
// that
// hears of the same server's errors from all its gateways: there it stays aside while its answers are bad.
func (b *Balancer) deprioritized(s *endpoint) bool {
	return b.now < s.ejectedUntil || s.errorRate > ejectionErrorRate && b.ownsQuotas() || b.unresponsive(s)
}

// HealthChecked brings the result of a probe.
func (b *Balancer) HealthChecked(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	b.now, b.actions = now, out
	s := b.endpoints.trackedByID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		b.recordLoadReport(s, l)
		fallthrough
	case Overloaded, ErrorResponse:
		b.recordResponse(s)
		if s.confirmingSince > 0 {
			s.confirmUpSince(s.confirmingSince)
		}
	case ConnectFailed:
		s.suspectRestart(b.now)
		fallthrough
	case TimedOut:
		b.recordNoResponse(s, s.lastHealthCheck)
	}
	s.confirmingSince = 0
}

// sendHealthCheck probes the server least lately probed. A gateway probes at most half as often as it sends.
func (b *Balancer) sendHealthCheck() {
	b.health.checkTokens = math.Min(b.health.checkTokens+b.overload.pooled[poolSent]/2, 1)
	if !b.settings.HealthChecks || b.settings.LoadReports == NoLoadReports || len(b.endpoints.tracked) == 0 ||
		b.health.checkTokens < 1 {
		return
	}
	b.health.checkTokens = 0
	var next *endpoint
	for _, s := range b.endpoints.tracked {
		if s.acceptsRequests() && (next == nil || s.lastHealthCheck < next.lastHealthCheck) {
			next = s
		}
	}
	if next != nil {
		next.lastHealthCheck = b.now
		b.actions.HealthCheck(next.ID)
	}
}
