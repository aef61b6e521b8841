package balancer

import "time"

const (
	errorSmoothing    = 0.2  // weight of a new outcome in an endpoint's error rate
	ejectionErrorRate = 0.35 // error rate that ejects: about three failures in a row

	baseEjection         = 500 * time.Millisecond // the first ejection; each in a row lasts twice as long
	maxEjection          = 8 * time.Second
	maxEjectionDoublings = 10
	unresponsiveEjection = 4 * time.Second // of an endpoint that let an attempt come to nothing
)

// endpointHealth is whether an endpoint responds, and how well. The zero value is a healthy endpoint.
type endpointHealth struct {
	errorRate            float64       // fraction of failed attempts, averaged
	ejectedUntil         time.Duration // it gets requests before that only where no other endpoint is left
	consecutiveEjections int
	// ejectedAsUnresponsive says that an attempt came to nothing, and that no node has reported the
	// endpoint since.
	ejectedAsUnresponsive bool
	// unreachable says that all that was sent lately came to nothing: no request until it responds.
	unreachable  bool
	lastResponse time.Duration // of any kind, to an attempt or a health check
	lastCheck    time.Duration // when the last health check was sent
}

// ejected reports whether the endpoint is ejected.
func (h *endpointHealth) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// eject ejects the endpoint, for twice as long as the time before.
func (h *endpointHealth) eject(now time.Duration) {
	h.ejectedUntil = now + min(baseEjection<<min(h.consecutiveEjections, maxEjectionDoublings), maxEjection)
	h.consecutiveEjections++
	h.errorRate = ejectionErrorRate / 2
}

// ejectFor ejects the endpoint for a time at least.
func (h *endpointHealth) ejectFor(now, duration time.Duration) {
	h.ejectedUntil = max(h.ejectedUntil, now+duration)
}

// ejectAsUnresponsive ejects the endpoint until a time has passed or a node reports it.
func (h *endpointHealth) ejectAsUnresponsive(now time.Duration) {
	h.ejectedAsUnresponsive = true
	h.ejectFor(now, unresponsiveEjection)
}

// endUnresponsiveEjection ends such an ejection.
func (h *endpointHealth) endUnresponsiveEjection() {
	if h.ejectedAsUnresponsive {
		h.ejectedAsUnresponsive, h.ejectedUntil = false, 0
	}
}

// recordResponse records a response of any kind. It reports whether the endpoint was unreachable until now.
func (h *endpointHealth) recordResponse(now time.Duration) (recovered bool) {
	h.endUnresponsiveEjection()
	if recovered = h.unreachable; recovered {
		h.unreachable, h.ejectedUntil, h.consecutiveEjections = false, 0, 0
	}
	h.lastResponse = now
	return recovered
}

// recordNoResponse records that something that was sent at a time came to nothing. Where nothing has come
// back since then either, the endpoint is unreachable: the machine has died or is cut off, long before the
// list says so. It reports whether that is new.
//
// An unreachable endpoint gets no request until it responds. Health checks find that out, where the end of
// an ejection would risk a request, or several at once, each time. It covers lost zones, single machines
// and cut links; it harms where endpoints don't respond at all for as long as a health check waits and then
// go on: until the next round of health checks the others carry their load.
func (h *endpointHealth) recordNoResponse(sentAt time.Duration) (isNew bool) {
	if h.lastResponse >= sentAt || h.unreachable {
		return false
	}
	h.unreachable = true
	return true
}

// recordError adds an outcome to the error rate: 0 for a good one, 1 for an error.
func (h *endpointHealth) recordError(amount float64) {
	h.errorRate += errorSmoothing * (amount - h.errorRate)
}

// decay lets the error rate fade; a fraction is retained.
func (h *endpointHealth) decay(retained float64) { h.errorRate *= retained }

// recordSuccess records an OK, after which ejections are short again.
func (h *endpointHealth) recordSuccess() { h.consecutiveEjections = 0 }

// recordCheck records that a health check is sent.
func (h *endpointHealth) recordCheck(now time.Duration) { h.lastCheck = now }

// reset forgets the health of a process that another has replaced.
func (h *endpointHealth) reset() {
	h.errorRate, h.consecutiveEjections, h.ejectedUntil, h.unreachable = 0, 0, 0, false
}

// healthCriteria is what endpoints are judged by at one moment.
type healthCriteria struct {
	largeFleet bool    // load gossip brings what other nodes see
	maxSilence float64 // seconds without a response or report, with attempts in flight
}

// unresponsive reports whether the endpoint is known not to respond: it was silent to health checks or, in
// a large fleet, no node has reported a response since this node's attempts there have been in flight for
// several times the mean. Silence to one node may be chance, but an endpoint that lives answers some node
// many times a second.
func (e *endpoint) unresponsive(now time.Duration, criteria healthCriteria) bool {
	switch {
	case e.health.unreachable:
		return true
	case !criteria.largeFleet:
		return false
	case e.health.ejectedAsUnresponsive && e.health.ejected(now):
		return true
	case e.inFlight == 0:
		return false
	}
	return (now - max(e.lastProgress, e.load.reportedAt)).Seconds() > criteria.maxSilence
}

// deprioritized reports whether the endpoint gets requests only where no other is left. An ejection ends
// too soon for a fleet in which load gossip brings the endpoint's errors from all nodes: there it lasts
// while the error rate is high.
func (e *endpoint) deprioritized(now time.Duration, criteria healthCriteria) bool {
	return e.health.ejected(now) ||
		e.health.errorRate > ejectionErrorRate && criteria.largeFleet ||
		e.unresponsive(now, criteria)
}

// healthChecker paces health checks: a node sends at most half as many as it sends attempts. The zero value
// sends none.
type healthChecker struct {
	enabled bool
	tokens  float64 // health checks earned by attempts since the last one; what is over one is forfeited
}

func newHealthChecker(settings *Settings) healthChecker {
	return healthChecker{enabled: settings.HealthChecks && settings.LoadReports != NoLoadReports}
}

// next returns the endpoint to check now, the one checked least lately, or nil. Attempts is their number in a
// control interval.
func (c *healthChecker) next(now time.Duration, tracked []*endpoint, attempts float64) *endpoint {
	c.tokens += attempts / 2
	if !c.enabled || len(tracked) == 0 || c.tokens < 1 {
		return nil
	}
	c.tokens = 0
	var next *endpoint
	for _, e := range tracked {
		if e.acceptsRequests() && (next == nil || e.health.lastCheck < next.health.lastCheck) {
			next = e
		}
	}
	if next != nil {
		next.health.recordCheck(now)
	}
	return next
}
