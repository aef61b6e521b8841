package balancer

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// maxQueueingFraction is the longest time that answering the attempts in flight may take, as a fraction
	// of a class's latency objective.
	maxQueueingFraction = 0.3
	// minConcurrencyPerEndpoint is the number of attempts in flight per endpoint, summed over all nodes,
	// that is always allowed.
	minConcurrencyPerEndpoint = 2.0
	// minConcurrencyWhenIsolated is the number of attempts in flight that is always allowed to a node that
	// receives no messages from peers.
	minConcurrencyWhenIsolated = 4.0
	// certainExcessFactor is the multiple of the limit from which an excess cannot be due to chance.
	certainExcessFactor = 3.0
	// recentAttemptFraction is the age below which an attempt counts as recent, as a fraction of its latency
	// objective.
	recentAttemptFraction = 0.5
	// rateSmoothing is the weight of a control interval in averaged rates, which cover about a second.
	rateSmoothing = 0.1
)

// concurrencyLimit bounds the attempts in flight. The overload control measures finished attempts, so it
// reacts late when work piles up. By Little's law, the delay of a new request is the number of attempts in
// flight divided by the responses per second. A request is rejected if that delay is too long for its latency
// objective. The zero value has no attempts and no responses.
type concurrencyLimit struct {
	inFlight     int     // this node's attempts in flight
	responses    float64 // OK responses in the current control interval
	responseRate float64 // OK responses per second, averaged
}

// closeInterval ends a control interval. sinceStart is the time since the node's start.
func (l *concurrencyLimit) closeInterval(sinceStart time.Duration) {
	// Shortly after the start the average covers only the time since then. Otherwise the rate would be too
	// low, and requests of the first second would be rejected.
	weight := math.Max(rateSmoothing, 1/(1+float64(sinceStart)/float64(controlInterval)))
	l.responseRate += weight * (l.responses/controlInterval.Seconds() - l.responseRate)
	l.responses = 0
}

// recordResponse counts an OK response.
func (l *concurrencyLimit) recordResponse() { l.responses++ }

// reachableLoad is the load on the endpoints that respond.
type reachableLoad struct {
	inFlight  float64 // this node's attempts in flight at these endpoints
	endpoints float64 // number of these endpoints; a cold one counts as its warm-up fraction
}

// exceedsConcurrencyLimit reports whether a request of the class is expected to miss its latency objective
// because of the attempts in flight. The limit covers overload, stalls, lost endpoints and retry storms. It
// rejects too many requests where latency is high without queueing.
func (b *Balancer) exceedsConcurrencyLimit(class int) bool {
	delay := b.allowedDelay(class)
	limit := b.concurrency.responseRate * delay
	if limit >= minOwnSamples && float64(b.concurrency.inFlight) < limit {
		return false // the usual case, decided without a pass over the endpoints
	}
	reachable := b.reachable()
	floor := b.concurrencyFloor(reachable)
	if limit >= minOwnSamples || !b.hasQuotaOwners() && b.inbox.rate <= 1 {
		return reachable.inFlight >= math.Max(limit, floor)
	}
	// With few responses, many attempts may be in flight by chance. The pooled means then have to exceed the
	// limit as well. They lag behind, so an excess that cannot be due to chance counts without them.
	pooledRate := b.overload.pooled[poolResponses] / controlInterval.Seconds()
	pooledLimit := math.Max(pooledRate*delay, floor)
	if reachable.inFlight < certainExcessFactor*math.Max(limit, pooledLimit) {
		return reachable.inFlight >= pooledLimit && b.overload.pooled[poolInFlight] >= pooledLimit
	}
	return reachable.inFlight >= math.Max(limit, floor)
}

// allowedDelay returns the longest delay, in seconds, that the attempts in flight may cause for a request of
// the class. The class with the most value per unit of work is allowed twice the delay of a class with almost
// none.
func (b *Balancer) allowedDelay(class int) float64 {
	maxValuePerWork := 0.0
	for i := range b.settings.Classes {
		maxValuePerWork = math.Max(maxValuePerWork, b.settings.Classes[i].PriorityWeight/b.latency.work(i))
	}
	c := &b.settings.Classes[class]
	rank := 1.0
	if maxValuePerWork > 0 {
		rank = (1 + c.PriorityWeight/b.latency.work(class)/maxValuePerWork) / 2
	}
	return maxQueueingFraction * rank * c.LatencyObjective.Seconds()
}

// concurrencyFloor returns the number of attempts in flight that is always allowed.
func (b *Balancer) concurrencyFloor(reachable reachableLoad) float64 {
	floor := minConcurrencyPerEndpoint * reachable.endpoints / float64(b.settings.NodeCount)
	if b.isolated() {
		return math.Max(floor, minConcurrencyWhenIsolated)
	}
	return floor
}

// reachable returns the load on the endpoints that respond.
func (b *Balancer) reachable() reachableLoad {
	unresponsive, endpoints := b.endpoints.reachable(b.now, b.healthCriteria())
	return reachableLoad{inFlight: float64(b.concurrency.inFlight - unresponsive), endpoints: endpoints}
}

// recentAttempts counts the attempts in flight that are younger than a fraction of their latency objective.
// Attempts at unresponsive endpoints are left out: a few such endpoints must not look like overload.
func (b *Balancer) recentAttempts(fraction float64) (recent float64) {
	criteria := b.healthCriteria()
	for _, r := range b.requests.byID {
		objective := b.settings.Classes[r.class].LatencyObjective
		for i := range r.attempts {
			a := &r.attempts[i]
			isRecent := (b.now - a.sentAt).Seconds() < fraction*objective.Seconds()
			recent += oneIf(!a.done && isRecent && !a.endpoint.unresponsive(b.now, criteria))
		}
	}
	return recent
}
