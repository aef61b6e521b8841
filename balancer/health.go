package balancer

import (
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

// recordOutcome keeps a server's health.
func (g *Balancer) recordOutcome(r *request, s *endpoint, o Outcome) {
	if g.settings.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		g.recordLoadReport(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, Overloaded, ErrorResponse:
		g.recordResponse(s)
		if o.ConnectedAt > 0 {
			s.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		g.recordNoResponse(s, g.now-o.Elapsed)
		if o.Elapsed >= slowConnect {
			g.ejectUnresponsive(s, g.now-o.Elapsed)
		}
	}
	switch o.Result {
	case OK:
		bad = 0
		s.lastProgress, s.consecutiveEjections = g.now, 0
		g.responses++
		g.recordLatency(r.class, s, o.Elapsed)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if g.warmUpFraction(s) >= 1 && s.acceptsRequests() && s.inSubset {
			g.warmWorkDone += g.learnedWork(r.class)
		}
	case NotSent, Cancelled:
		return
	case Overloaded:
		s.lastProgress = g.now
		g.overload.sampleOccupancy(1)
		s.ejectedUntil = max(s.ejectedUntil, g.now+controlInterval)
		return
	case TimedOut:
		g.overload.sampleOccupancy(1)
		s.latencyRatio += latencySmoothing * (o.Elapsed.Seconds()/math.Max(g.latencies[r.class].mean,
			1e-3) - s.latencyRatio)
		bad = 0.5
	case ErrorResponse:
		s.lastProgress, s.lastResponseFailed, s.loadReportedAt = g.now, true, g.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.suspectRestart(g.now)
		s.refusesConnections, s.loadReportedAt = true, g.now
		if g.settings.HealthChecks && g.settings.LoadReports != NoLoadReports && s.confirmingSince == 0 &&
			s.acceptsRequests() {
			s.confirmingSince, s.lastHealthCheck = g.now, g.now
			g.actions.HealthCheck(s.ID)
		}
	}
	s.errorRate += errorSmoothing * (bad - s.errorRate)
	if (s.errorRate > ejectionErrorRate || o.Result == ConnectFailed) && g.now >= s.ejectedUntil {
		g.eject(s)
		g.log("ejected server %s after result %d, strike %d", s.ID, o.Result, s.consecutiveEjections)
	}
}

// recordLoadReport takes in a load report.
func (g *Balancer) recordLoadReport(s *endpoint, l *LoadReport) {
	if l == nil {
		return
	}
	if l.Queued >= 0 {
		s.reportedQueue = l.Queued
	}
	if l.InFlight >= 0 {
		s.recordLoad(l.InFlight, g.now)
	}
	if l.Utilization >= 0 {
		s.utilizationReportedAt = g.now
		g.overload.sampleOccupancy(math.Min(l.Utilization, 1))
	}
}

// recordResponse takes in an answer of any kind.
func (g *Balancer) recordResponse(s *endpoint) {
	if s.ejectedAsUnresponsive {
		s.ejectedAsUnresponsive, s.ejectedUntil = false, 0
	}
	if s.unreachable {
		s.unreachable, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		g.log("server %s answers again", s.ID)
	}
	s.lastResponse = g.now
}

// recordNoResponse takes in that something sent to the server at a time came to nothing. If all else sent
// since did as
// well, the machine has died, vanished or is cut off, long before the list says so. It gets no request until
// it is heard again: probes find that out, where an ejection's end would risk a request, or several at once,
// each time. It covers lost halls, single machines and cut links; it harms where servers answer nothing at
// all for as long as a probe waits and then go on: for a round of probes the others carry their load.
func (g *Balancer) recordNoResponse(s *endpoint, sent time.Duration) {
	if !g.settings.HealthChecks || g.settings.LoadReports == NoLoadReports || s.lastResponse >= sent ||
		s.unreachable {
		return
	}
	s.unreachable = true
	g.log("server %s is silent: out until it answers a probe", s.ID)
}

// unresponsive tells whether the server is known to answer nothing: it was silent to probes or, in a large
// fleet, no gateway has told of an answer since this one's attempts there have been out for several times
// the mean. One gateway's silence may be chance, but a server that lives answers some gateway many times a
// second.
func (g *Balancer) unresponsive(s *endpoint) bool {
	switch {
	case s.unreachable:
		return true
	case !g.ownsQuotas():
		return false
	case s.ejectedAsUnresponsive && g.now < s.ejectedUntil:
		return true
	case s.inFlight == 0:
		return false
	}
	aim := recentAttemptFraction * g.longestLatencyObjective().Seconds()
	wait := math.Min(math.Max(unresponsiveAfterMeans*g.meanLatency(), aim/4), aim)
	return (g.now - max(s.lastProgress, s.loadReportedAt)).Seconds() > wait
}

func (g *Balancer) eject(s *endpoint) {
	s.ejectedUntil = g.now + min(baseEjection<<min(s.consecutiveEjections, 10), maxEjection)
	s.consecutiveEjections++
	s.errorRate = ejectionErrorRate / 2
}

// ejectUnresponsive takes in that an attempt came to nothing at a server of which no gateway has told since
// it was
// sent. To try such a server costs a request; news ends that sooner than a try would.
func (g *Balancer) ejectUnresponsive(s *endpoint, sent time.Duration) {
	if g.ownsQuotas() && max(s.lastResponse, s.loadReportedAt) <= sent {
		s.ejectedAsUnresponsive, s.ejectedUntil = true, max(s.ejectedUntil, g.now+unresponsiveEjection)
	}
}

// deprioritized tells whether the server is kept for when no other is left. An ejection ends too soon for a
// fleet
// that
// hears of the same server's errors from all its gateways: there it stays aside while its answers are bad.
func (g *Balancer) deprioritized(s *endpoint) bool {
	return g.now < s.ejectedUntil || s.errorRate > ejectionErrorRate && g.ownsQuotas() || g.unresponsive(s)
}

// HealthChecked brings the result of a probe.
func (g *Balancer) HealthChecked(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	g.now, g.actions = now, out
	s := g.trackedByID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		g.recordLoadReport(s, l)
		fallthrough
	case Overloaded, ErrorResponse:
		g.recordResponse(s)
		if s.confirmingSince > 0 {
			s.confirmUpSince(s.confirmingSince)
		}
	case ConnectFailed:
		s.suspectRestart(g.now)
		fallthrough
	case TimedOut:
		g.recordNoResponse(s, s.lastHealthCheck)
	}
	s.confirmingSince = 0
}

// sendHealthCheck probes the server least lately probed. A gateway probes at most half as often as it sends.
func (g *Balancer) sendHealthCheck() {
	g.healthCheckTokens = math.Min(g.healthCheckTokens+g.overload.pooledMeans[poolSent]/2, 1)
	if !g.settings.HealthChecks || g.settings.LoadReports == NoLoadReports || len(g.tracked) == 0 ||
		g.healthCheckTokens < 1 {
		return
	}
	g.healthCheckTokens = 0
	var next *endpoint
	for _, s := range g.tracked {
		if s.acceptsRequests() && (next == nil || s.lastHealthCheck < next.lastHealthCheck) {
			next = s
		}
	}
	if next != nil {
		next.lastHealthCheck = g.now
		g.actions.HealthCheck(next.ID)
	}
}
