package balancer

import "math"

const (
	// share of a class's aim that attempts out may take to be answered
	maxQueueingFraction = 0.3
	// attempts out per server, over all gateways, that the bound leaves
	minConcurrencyPerEndpoint  = 2.0
	minConcurrencyWhenIsolated = 4.0 // that it leaves a gateway that hears of no other
	certainExcessFactor        = 3.0 // times the bound that can't be out by chance
	recentAttemptFraction      = 0.5 // share of its aim until which an attempt out counts
	// share of a probe in the rate of answers: about a second
	rateSmoothing = 0.1
)

// concurrencyLimit is the state of the bound on attempts in flight.
type concurrencyLimit struct {
	inFlight     int     // attempts in flight
	responses    float64 // since the last control interval
	responseRate float64 // per second, averaged
}

// exceedsConcurrencyLimit is an exception to ARO, whose f follows what has been answered and so comes late
// when work
// piles up. By Little's law the attempts out over the answers per second are the delay that a new
// request meets; where that leaves no hope of its aim, it is refused. It covers overload, stalls,
// lost servers and retry storms alike; it harms where latency is long by nature, not by waiting.
func (b *Balancer) exceedsConcurrencyLimit(class int) bool {
	best := 0.0
	for c := range b.settings.Classes {
		best = math.Max(best, b.settings.Classes[c].PriorityWeight/b.workOf(c))
	}
	c := &b.settings.Classes[class]
	rank := 1.0
	if best > 0 {
		rank = (1 + c.PriorityWeight/b.workOf(class)/best) / 2
	}
	wait := maxQueueingFraction * rank * c.LatencyObjective.Seconds()
	bound := b.concurrency.responseRate * wait
	if bound >= minOwnSamples && float64(b.concurrency.inFlight) < bound {
		return false // as nearly always, and far sooner known
	}
	out, servers := b.reachable()
	floor := minConcurrencyPerEndpoint * servers / float64(b.settings.NodeCount)
	if b.isolated() {
		floor = math.Max(floor, minConcurrencyWhenIsolated)
	}
	if bound < minOwnSamples && (b.ownsQuotas() || b.gossip.messageRate > 1) {
		// Few attempts are out by chance or not: the mean over the gateways it hears from, or over its own
		// last seconds where it hears none, must say so too. That comes late: what can't be chance doesn't
		// wait for it, or a burst would come in whole. A gateway that refuses has few answers of its own.
		least := math.Max(b.overload.pooledMeans[poolResponses]/controlInterval.Seconds()*wait, floor)
		if out < certainExcessFactor*math.Max(bound, least) {
			return out >= least && b.overload.pooledMeans[poolInFlight] >= least
		}
	}
	return out >= math.Max(bound, floor)
}

// reachable counts the attempts out at servers that are held to be alive, and these servers, a cold one as
// the
// part of one that it is. The subset stands for all that are listed, unless nothing in it is alive.
func (b *Balancer) reachable() (out, servers float64) {
	out = float64(b.concurrency.inFlight)
	members := 0.0
	for _, s := range b.endpoints.tracked {
		taking := s.inSubset && s.acceptsRequests()
		members += oneIf(taking)
		if b.unresponsive(s) {
			out -= float64(s.inFlight)
		} else if taking {
			servers += b.warmUpFraction(s)
		}
	}
	if servers == 0 {
		return out, float64(b.endpoints.list.activeWeights.total) - members
	}
	return out, servers * (float64(b.endpoints.list.activeWeights.total) / members)
}

// recentAttempts counts the attempts out that were sent less than a share of their class's aim ago, but for
// those at
// servers known to answer nothing.
func (b *Balancer) recentAttempts(share float64) (n float64) {
	for _, r := range b.requests.byID {
		for i := range r.attempts {
			a := &r.attempts[i]
			n += oneIf(!a.done && !b.unresponsive(a.endpoint) &&
				(b.now-a.sentAt).Seconds() < share*b.settings.Classes[r.class].LatencyObjective.Seconds())
		}
	}
	return n
}
