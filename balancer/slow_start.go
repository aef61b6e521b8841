package balancer

import "math"

const (
	// share of the fall-over budget that is used: work varies
	slowStartBudgetFraction = 0.7
)

// slowStartAllows keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a
// warm
// one is seen to carry, which all together can't exceed the whole.
func (g *Balancer) slowStartAllows(s *endpoint) bool {
	g.accrueSlowStartTokens(s)
	return s.slowStartTokens < 0 || s.inSubset && s.slowStartTokens >= 1
}

// accrueSlowStartTokens counts the requests that may be sent to a cold server; a warm one has no such bound.
// It starts by
// chance: hundreds of gateways with less than one request a window to send must not all send it at once.
func (g *Balancer) accrueSlowStartTokens(s *endpoint) {
	w := g.warmUpFraction(s)
	if w >= 1 {
		s.slowStartTokens = -1
		return
	}
	work := 0.0
	for c := range g.settings.Classes {
		work = math.Max(work, g.workOf(c))
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	rate := slowStartBudgetFraction * g.settings.OverloadFactor * w * g.weight(s) *
		math.Max(g.warmWorkRate, 1/math.Ceil(g.subsetsPerEndpoint)) / work
	if s.slowStartTokens < 0 {
		s.slowStartTokens = g.rng.Float64()
	} else {
		most := math.Max(1, rate*g.settings.OverloadWindow.Seconds()/2)
		s.slowStartTokens = math.Min(s.slowStartTokens+rate*(g.now-s.slowStartAccruedAt).Seconds(), most)
	}
	s.slowStartAccruedAt = g.now
}

// warmUpFraction is the least share of its capacity that a server can have by now.
func (g *Balancer) warmUpFraction(s *endpoint) float64 {
	boot := max(s.StartedAt, s.suspectedRestart)
	age := g.now - boot
	if boot == 0 || age >= g.settings.SlowStartDuration || g.settings.SlowStartDuration == 0 {
		return 1
	}
	initial := g.settings.SlowStartInitialFraction
	share := initial + (1-initial)*math.Max(age.Seconds(), 0)/g.settings.SlowStartDuration.Seconds()
	return math.Max(share, 0.01)
}
