package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slowStartBudgetFraction is the part of the load under which a cold endpoint falls over that is used,
	// as the work of requests varies.
	slowStartBudgetFraction = 0.7
	// minWarmUpFraction keeps costs finite for an endpoint that has no capacity at its start.
	minWarmUpFraction = 0.01
)

// warmUpCurve is the lowest capacity that a started endpoint can have, as the settings give it: it grows
// evenly from a fraction at the start to all of it. In the zero value endpoints are warm at once.
type warmUpCurve struct {
	initialFraction float64
	duration        time.Duration
}

func newWarmUpCurve(settings *Settings) warmUpCurve {
	return warmUpCurve{settings.SlowStartInitialFraction, settings.SlowStartDuration}
}

// fraction returns the lowest fraction of its capacity that an endpoint can have by now. A start of 0 is long
// ago.
func (c warmUpCurve) fraction(startedAt, now time.Duration) float64 {
	age := now - startedAt
	if startedAt == 0 || age >= c.duration || c.duration == 0 {
		return 1
	}
	fraction := c.initialFraction +
		(1-c.initialFraction)*math.Max(age.Seconds(), 0)/c.duration.Seconds()
	return math.Max(fraction, minWarmUpFraction)
}

// slowStart bounds what is sent to cold endpoints: this node sends its part of the overload factor times
// the work that a warm endpoint is seen to do, so that all nodes together can't send more than the whole.
type slowStart struct {
	curve          warmUpCurve
	overloadFactor float64
	overloadWindow time.Duration

	warmWorkDone float64 // work that warm endpoints have done since the last control interval, seconds
	warmWorkRate float64 // for this node, per second and unit of weight of a warm endpoint, averaged
}

func newSlowStart(settings *Settings) slowStart {
	return slowStart{
		curve:          newWarmUpCurve(settings),
		overloadFactor: settings.OverloadFactor,
		overloadWindow: settings.OverloadWindow,
	}
}

// warmUpFraction returns the lowest fraction of its capacity that the endpoint can have by now.
func (s *slowStart) warmUpFraction(e *endpoint, now time.Duration) float64 {
	return s.curve.fraction(e.lastStart(), now)
}

// accrue adds to the requests that a cold endpoint may be sent, each taken to be the longest; a warm one
// has no bound. Nodes is the number of nodes that share the endpoint.
func (s *slowStart) accrue(e *endpoint, now time.Duration, nodes float64, latency *latencyTracker,
	rng *rand.Rand,
) {
	fraction := s.warmUpFraction(e, now)
	if fraction >= 1 {
		e.slowStart.reset()
		return
	}
	// An endpoint does at least a second's work a second, which counts where no warm one is seen.
	rate := slowStartBudgetFraction * s.overloadFactor * fraction * e.weight() *
		math.Max(s.warmWorkRate, 1/math.Ceil(nodes)) / latency.longestWork()
	e.slowStart.accrue(now, rate, math.Max(1, rate*s.overloadWindow.Seconds()/2), rng)
}

// recordWork adds the work of a request that a warm endpoint has answered, in seconds.
func (s *slowStart) recordWork(work float64) { s.warmWorkDone += work }

// closeInterval adds the work of a control interval to the average; weight is that of the warm endpoints
// that did it. Where there is none, the average stays.
func (s *slowStart) closeInterval(weight float64) {
	if weight > 0 {
		s.warmWorkRate += meanSmoothing * (s.warmWorkDone/weight/controlInterval.Seconds() - s.warmWorkRate)
	}
	s.warmWorkDone = 0
}

// warmedUp in place of the tokens means that the endpoint is warm, or that its budget has not begun.
const warmedUp = -1

// slowStartBudget is the number of requests that this node may send to an endpoint while that is cold.
type slowStartBudget struct {
	tokens    float64 // requests; below 0: no bound, see [warmedUp]
	accruedAt time.Duration
}

// accrue adds tokens at a rate per second, up to a limit. A budget begins at a random level: hundreds of
// nodes that may each send less than one request in the overload window must not all send it at once.
func (b *slowStartBudget) accrue(now time.Duration, rate, limit float64, rng *rand.Rand) {
	if b.tokens < 0 {
		b.tokens = rng.Float64()
	} else {
		b.tokens = math.Min(b.tokens+rate*(now-b.accruedAt).Seconds(), limit)
	}
	b.accruedAt = now
}

// allows reports whether a request may be sent. A cold endpoint is left to the nodes whose subsets hold it.
func (b *slowStartBudget) allows(inSubset bool) bool {
	return !b.bounded() || inSubset && b.tokens >= 1
}

// bounded reports whether the endpoint is cold, as far as the budget is up to date.
func (b *slowStartBudget) bounded() bool { return b.tokens >= 0 }

// withdraw takes the token of a request that is sent to a cold endpoint.
func (b *slowStartBudget) withdraw() { b.tokens = math.Max(b.tokens-1, 0) }

// startEmpty begins without tokens, at an endpoint whose whole budget other nodes have shared so far.
func (b *slowStartBudget) startEmpty(now time.Duration) { b.tokens, b.accruedAt = 0, now }

// reset removes the bound: the endpoint is warm, or starts anew.
func (b *slowStartBudget) reset() { b.tokens = warmedUp }

// slowStartAllows reports whether a request may be sent to the endpoint, with its budget brought up to date.
func (b *Balancer) slowStartAllows(e *endpoint) bool {
	b.accrueSlowStart(e)
	return e.slowStart.allows(e.inSubset)
}

// accrueSlowStart brings an endpoint's slow-start budget up to date.
func (b *Balancer) accrueSlowStart(e *endpoint) {
	b.slowStart.accrue(e, b.now, b.endpoints.subsetsPerEndpoint(), &b.latency, b.rng)
}

// warmUpFraction returns the lowest fraction of its capacity that the endpoint can have by now.
func (b *Balancer) warmUpFraction(e *endpoint) float64 { return b.slowStart.warmUpFraction(e, b.now) }
