package balancer

import "time"

const (
	errorSmoothing    = 0.2  // weight of a new outcome in an endpoint's error rate
	ejectionErrorRate = 0.35 // error rate above which an endpoint is ejected; two errors in a row exceed it

	baseEjection         = 500 * time.Millisecond // first ejection; each further one lasts twice as long
	maxEjection          = 8 * time.Second        // longest ejection
	maxEjectionDoublings = 10                     // bounds the shift that doubles the duration
	unresponsiveEjection = 4 * time.Second        // ejection after an attempt without a response
)

// endpointHealth tracks whether an endpoint responds and how often it fails. The zero value is a healthy
// endpoint.
type endpointHealth struct {
	errorRate            float64       // moving average of the fraction of failed attempts
	ejectedUntil         time.Duration // end of the ejection, during which the endpoint is deprioritized
	consecutiveEjections int           // number of ejections since the last success or recovery
	// ejectedAsUnresponsive is set when an attempt gets no response, until the endpoint responds or any node
	// reports its load.
	ejectedAsUnresponsive bool
	// unreachable is set when an attempt or a health check got no response, and the endpoint has not
	// responded to anything since that was sent. It is cleared by the next response.
	unreachable  bool
	lastResponse time.Duration // time of the last response of any kind, to an attempt or a health check
	lastCheck    time.Duration // time at which the last health check was sent
}

// ejected reports whether the endpoint is ejected.
func (h *endpointHealth) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// eject ejects the endpoint, for twice as long as the previous consecutive ejection, up to maxEjection. It
// lowers the error rate so that the next error does not eject the endpoint again.
func (h *endpointHealth) eject(now time.Duration) {
	h.ejectedUntil = now + min(baseEjection<<min(h.consecutiveEjections, maxEjectionDoublings), maxEjection)
	h.consecutiveEjections++
	h.errorRate = ejectionErrorRate / 2
}

// ejectFor ejects the endpoint for at least the given duration.
func (h *endpointHealth) ejectFor(now, duration time.Duration) {
	h.ejectedUntil = max(h.ejectedUntil, now+duration)
}

// ejectAsUnresponsive ejects the endpoint for at least unresponsiveEjection, or until it responds or a node
// reports its load.
func (h *endpointHealth) ejectAsUnresponsive(now time.Duration) {
	h.ejectedAsUnresponsive = true
	h.ejectFor(now, unresponsiveEjection)
}

// endUnresponsiveEjection ends an ejection by ejectAsUnresponsive, and with it any other ejection that
// overlaps.
func (h *endpointHealth) endUnresponsiveEjection() {
	if h.ejectedAsUnresponsive {
		h.ejectedAsUnresponsive, h.ejectedUntil = false, 0
	}
}

// recordResponse records a response of any kind, which makes an unreachable endpoint reachable. It reports
// whether the endpoint was unreachable.
func (h *endpointHealth) recordResponse(now time.Duration) (recovered bool) {
	h.endUnresponsiveEjection()
	if recovered = h.unreachable; recovered {
		h.unreachable, h.ejectedUntil, h.consecutiveEjections = false, 0, 0
	}
	h.lastResponse = now
	return recovered
}

// recordNoResponse records that an attempt or a health check sent at the given time got no response. If the
// endpoint has not responded to anything since then, it becomes unreachable: its machine has failed or is
// cut off, and the list will show that only much later. recordNoResponse reports whether the endpoint has
// become unreachable by this call.
//
// Until it responds, an unreachable endpoint gets no retries, and first attempts only if no other endpoint
// is left. Health checks detect its recovery. A timed ejection would risk one or more requests whenever it
// ends. This rule handles lost zones, failed machines and cut links. It does harm if endpoints stall for
// longer than the timeout of a health check and then recover: the others carry their load until the next
// round of health checks.
func (h *endpointHealth) recordNoResponse(sentAt time.Duration) (isNew bool) {
	if h.lastResponse >= sentAt || h.unreachable {
		return false
	}
	h.unreachable = true
	return true
}

// recordError adds an outcome to the error rate: 0 for a success, 1 for an error, or a value in between.
func (h *endpointHealth) recordError(amount float64) {
	h.errorRate += errorSmoothing * (amount - h.errorRate)
}

// decay multiplies the error rate by the retained fraction.
func (h *endpointHealth) decay(retained float64) { h.errorRate *= retained }

// recordSuccess records an OK. The next ejection lasts baseEjection again.
func (h *endpointHealth) recordSuccess() { h.consecutiveEjections = 0 }

// recordCheck records that a health check is being sent.
func (h *endpointHealth) recordCheck(now time.Duration) { h.lastCheck = now }

// reset discards the health of a process that has been replaced.
func (h *endpointHealth) reset() {
	h.errorRate, h.consecutiveEjections, h.ejectedUntil, h.unreachable = 0, 0, 0, false
}

// healthCriteria are the criteria for unresponsive and deprioritized endpoints at one time.
type healthCriteria struct {
	largeFleet bool    // load gossip reports what other nodes observe
	maxSilence float64 // longest time without response or report while attempts are in flight, in seconds
}

// unresponsive reports whether the endpoint is known not to respond. An unreachable endpoint is unresponsive.
// In a large fleet, an endpoint is also unresponsive if it is ejected as unresponsive, or if this node has
// attempts in flight there and neither a response nor another node's report has arrived for maxSilence. A
// missing response to one node may be chance, but a working endpoint answers some node many times a second.
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

// deprioritized reports whether the endpoint gets requests only if no other is left. In a large fleet this
// also applies while its error rate is high: the rate includes the errors that load gossip reports from other
// nodes, and an ejection alone would end too soon.
func (e *endpoint) deprioritized(now time.Duration, criteria healthCriteria) bool {
	return e.health.ejected(now) ||
		e.health.errorRate > ejectionErrorRate && criteria.largeFleet ||
		e.unresponsive(now, criteria)
}

// healthChecker limits the rate of health checks to half the rate of attempts. The zero value sends none.
type healthChecker struct {
	enabled bool
	tokens  float64 // health checks earned by attempts since the last one; sending one spends all
}

func newHealthChecker(settings *Settings) healthChecker {
	return healthChecker{enabled: settings.HealthChecks && settings.LoadReports != NoLoadReports}
}

// next returns the endpoint to check now, which is the one checked least recently, or nil if no check is
// due. It is called once per control interval; attempts is the number of attempts per interval.
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
