package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slowStartBudgetFraction is the budget of a cold endpoint, as a fraction of the load that overloads it.
	// The margin covers the variation of the work of requests.
	slowStartBudgetFraction = 0.7
	// minWarmUpFraction bounds the warm-up fraction from below, so that the cost of an endpoint without
	// initial capacity is finite.
	minWarmUpFraction = 0.01
)

// warmUpCurve is the guaranteed capacity of an endpoint after its start. It grows linearly from an initial
// fraction to the full capacity. With the zero value, endpoints are warm at once.
type warmUpCurve struct {
	initialFraction float64       // fraction of the capacity at the start
	duration        time.Duration // time from the start to the full capacity
}

func newWarmUpCurve(settings *Settings) warmUpCurve {
	return warmUpCurve{settings.SlowStartInitialFraction, settings.SlowStartDuration}
}

// fraction returns the guaranteed fraction of the capacity of an endpoint started at the given time; 0 means
// long ago.
func (c warmUpCurve) fraction(startedAt, now time.Duration) float64 {
	age := now - startedAt
	if startedAt == 0 || age >= c.duration || c.duration == 0 {
		return 1
	}
	fraction := c.initialFraction +
		(1-c.initialFraction)*math.Max(age.Seconds(), 0)/c.duration.Seconds()
	return math.Max(fraction, minWarmUpFraction)
}

// slowStart limits the requests sent to cold endpoints. A node measures the work that a warm endpoint does
// for it, and sends a cold one at most the overload factor times as much, scaled by the warm-up fraction.
// The nodes' shares of a warm endpoint's work add up to at most its capacity, so all nodes together stay
// below the load that overloads the cold endpoint.
type slowStart struct {
	curve          warmUpCurve
	overloadFactor float64
	overloadWindow time.Duration

	warmWorkDone float64 // seconds of work by warm endpoints in the current control interval
	warmWorkRate float64 // moving average of that work, per second and unit of weight
}

func newSlowStart(settings *Settings) slowStart {
	return slowStart{
		curve:          newWarmUpCurve(settings),
		overloadFactor: settings.OverloadFactor,
		overloadWindow: settings.OverloadWindow,
	}
}

// warmUpFraction returns the fraction of its capacity that the endpoint is guaranteed to have now.
func (s *slowStart) warmUpFraction(e *endpoint, now time.Duration) float64 {
	return s.curve.fraction(e.lastStart(), now)
}

// accrue brings the budget of an endpoint up to date. It assumes that each request is of the class with the
// most work. A warm endpoint has no bound. nodes is the number of nodes that share the endpoint.
func (s *slowStart) accrue(e *endpoint, now time.Duration, nodes float64, latency *latencyTracker,
	rng *rand.Rand,
) {
	fraction := s.warmUpFraction(e, now)
	if fraction >= 1 {
		e.slowStart.reset()
		return
	}
	// A warm endpoint can do at least one second of work per second and unit of weight. This node's share of
	// that is a lower bound, so that there is a budget before any warm endpoint has been observed.
	rate := slowStartBudgetFraction * s.overloadFactor * fraction * e.weight() *
		math.Max(s.warmWorkRate, 1/math.Ceil(nodes)) / latency.longestWork()
	e.slowStart.accrue(now, rate, math.Max(1, rate*s.overloadWindow.Seconds()/2), rng)
}

// recordWork adds the work, in seconds, of a request that a warm endpoint has answered.
func (s *slowStart) recordWork(work float64) { s.warmWorkDone += work }

// closeInterval adds the work of a control interval to the moving average. weight is the total weight of the
// warm endpoints of the subset; if it is 0, the average stays the same.
func (s *slowStart) closeInterval(weight float64) {
	if weight > 0 {
		s.warmWorkRate += meanSmoothing * (s.warmWorkDone/weight/controlInterval.Seconds() - s.warmWorkRate)
	}
	s.warmWorkDone = 0
}

// unboundedTokens is the value of [slowStartBudget.tokens] of an endpoint that is warm or whose budget has
// not begun yet.
const unboundedTokens = -1

// slowStartBudget is a token bucket of the requests that this node may send to an endpoint while it is cold.
type slowStartBudget struct {
	tokens    float64       // number of requests; below 0: no bound, see [unboundedTokens]
	accruedAt time.Duration // time of the last accrual
}

// accrue adds tokens at the given rate per second, up to the limit. A budget begins with a random fraction
// of a token. Otherwise hundreds of nodes, each allowed less than one request per overload window, would all
// send it at the same time.
func (b *slowStartBudget) accrue(now time.Duration, rate, limit float64, rng *rand.Rand) {
	if b.tokens < 0 {
		b.tokens = rng.Float64()
	} else {
		b.tokens = math.Min(b.tokens+rate*(now-b.accruedAt).Seconds(), limit)
	}
	b.accruedAt = now
}

// allows reports whether a request may be sent. Only nodes whose subsets contain a cold endpoint may use it.
func (b *slowStartBudget) allows(inSubset bool) bool {
	return !b.bounded() || inSubset && b.tokens >= 1
}

// bounded reports whether the endpoint was cold when the budget was last brought up to date.
func (b *slowStartBudget) bounded() bool { return b.tokens >= 0 }

// withdraw takes the token for a request that is sent to a cold endpoint.
func (b *slowStartBudget) withdraw() { b.tokens = math.Max(b.tokens-1, 0) }

// startEmpty begins the budget without tokens. An endpoint that enters this node's subset starts like this,
// because other nodes have shared its whole budget until now.
func (b *slowStartBudget) startEmpty(now time.Duration) { b.tokens, b.accruedAt = 0, now }

// reset removes the bound, for an endpoint that has become warm. For one that was restarted, the next
// accrual begins a new budget.
func (b *slowStartBudget) reset() { b.tokens = unboundedTokens }

// slowStartAllows brings the slow-start budget of the endpoint up to date and reports whether it allows a
// request.
func (b *Balancer) slowStartAllows(e *endpoint) bool {
	b.accrueSlowStart(e)
	return e.slowStart.allows(e.inSubset)
}

// accrueSlowStart brings an endpoint's slow-start budget up to date.
func (b *Balancer) accrueSlowStart(e *endpoint) {
	b.slowStart.accrue(e, b.now, b.endpoints.subsetsPerEndpoint(), &b.latency, b.rng)
}

// warmUpFraction returns the fraction of its capacity that the endpoint is guaranteed to have now.
func (b *Balancer) warmUpFraction(e *endpoint) float64 { return b.slowStart.warmUpFraction(e, b.now) }
