package balancer

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// maxQueueingFraction is the fraction of a class's latency objective that the attempts in flight may
	// take to be answered.
	maxQueueingFraction = 0.3
	// minConcurrencyPerEndpoint is the number of attempts in flight per endpoint, over all nodes, that is
	// allowed in any case.
	minConcurrencyPerEndpoint = 2.0
	// minConcurrencyWhenIsolated is the number that is allowed to a node that hears from no peer.
	minConcurrencyWhenIsolated = 4.0
	// certainExcessFactor is the factor over the limit that cannot be chance.
	certainExcessFactor = 3.0
	// recentAttemptFraction is the fraction of its latency objective for which an attempt counts as recent.
	recentAttemptFraction = 0.5
	// rateSmoothing is the weight of a control interval in averaged rates: about a second.
	rateSmoothing = 0.1
)

// concurrencyLimit bounds the attempts in flight. The overload control follows what has been answered,
// and so comes late when work piles up. By Little's law, the attempts in flight over the responses per
// second are the delay that a new request meets; where that leaves no hope of its latency objective, it
// is rejected. The zero value has seen nothing.
type concurrencyLimit struct {
	inFlight     int     // attempts in flight
	responses    float64 // OK responses since the last control interval
	responseRate float64 // per second, averaged
}

// closeInterval ends a control interval that lies so long after the node's start.
func (l *concurrencyLimit) closeInterval(sinceStart time.Duration) {
	// After a start the average is over what there is, or the first second's requests would be rejected.
	weight := math.Max(rateSmoothing, 1/(1+float64(sinceStart)/float64(controlInterval)))
	l.responseRate += weight * (l.responses/controlInterval.Seconds() - l.responseRate)
	l.responses = 0
}

// recordResponse counts an OK response.
func (l *concurrencyLimit) recordResponse() { l.responses++ }

// reachableLoad is what is in flight at the endpoints that respond, and how many these are.
type reachableLoad struct {
	inFlight  float64
	endpoints float64 // a cold one counts as the fraction of a warm one that it is
}

// exceedsConcurrencyLimit reports whether a request of the class has no hope of its latency objective, by
// the attempts in flight. That covers overload, stalls, lost endpoints and retry storms alike; it is
// wrong where latency is long by nature and not by waiting.
func (b *Balancer) exceedsConcurrencyLimit(class int) bool {
	delay := b.allowedDelay(class)
	limit := b.concurrency.responseRate * delay
	if limit >= minOwnSamples && float64(b.concurrency.inFlight) < limit {
		return false // the usual case, and cheap to see
	}
	reachable := b.reachable()
	floor := b.concurrencyFloor(reachable)
	if limit >= minOwnSamples || !b.ownsQuotas() && b.inbox.rate <= 1 {
		return reachable.inFlight >= math.Max(limit, floor)
	}
	// With so few responses, many attempts may be in flight by chance: the pooled means have to agree.
	// They come late, so that an excess that cannot be chance does not wait for them.
	pooledRate := b.overload.pooled[poolResponses] / controlInterval.Seconds()
	pooledLimit := math.Max(pooledRate*delay, floor)
	if reachable.inFlight < certainExcessFactor*math.Max(limit, pooledLimit) {
		return reachable.inFlight >= pooledLimit && b.overload.pooled[poolInFlight] >= pooledLimit
	}
	return reachable.inFlight >= math.Max(limit, floor)
}

// allowedDelay is the delay, in seconds, that the attempts in flight may mean for a request of the class.
// The class with the most value for its work is allowed twice that of one with hardly any.
func (b *Balancer) allowedDelay(class int) float64 {
	mostValuable := 0.0
	for i := range b.settings.Classes {
		mostValuable = math.Max(mostValuable, b.settings.Classes[i].PriorityWeight/b.latency.work(i))
	}
	c := &b.settings.Classes[class]
	rank := 1.0
	if mostValuable > 0 {
		rank = (1 + c.PriorityWeight/b.latency.work(class)/mostValuable) / 2
	}
	return maxQueueingFraction * rank * c.LatencyObjective.Seconds()
}

// concurrencyFloor is the number of attempts in flight that is allowed in any case.
func (b *Balancer) concurrencyFloor(reachable reachableLoad) float64 {
	floor := minConcurrencyPerEndpoint * reachable.endpoints / float64(b.settings.NodeCount)
	if b.isolated() {
		return math.Max(floor, minConcurrencyWhenIsolated)
	}
	return floor
}

// reachable is what is in flight at the endpoints that respond.
func (b *Balancer) reachable() reachableLoad {
	unresponsive, endpoints := b.endpoints.reachable(b.now, b.healthCriteria())
	return reachableLoad{inFlight: float64(b.concurrency.inFlight - unresponsive), endpoints: endpoints}
}

// recentAttempts counts the attempts in flight that began less than a fraction of their latency objective
// ago, without those at endpoints known to be unresponsive: attempts at a few of these must not read as
// overload.
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
