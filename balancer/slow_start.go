package balancer

import "math"

const (
	// share of the fall-over budget that is used: work varies
	slowStartBudgetFraction = 0.7
)

// slowStart holds what warm endpoints are seen to carry, from which the budgets of cold ones follow.
type slowStart struct {
	warmWorkDone float64 // work done by warm endpoints since the last control interval
	warmWorkRate float64 // work done per second and unit of weight of a warm endpoint, for this node
}

// closeInterval ends a control interval in which warm endpoints of the subset had this weight together.
func (s *slowStart) closeInterval(warmWeight float64) {
	if warmWeight > 0 {
		rate := s.warmWorkDone / warmWeight / controlInterval.Seconds()
		s.warmWorkRate += meanSmoothing * (rate - s.warmWorkRate)
	}
	s.warmWorkDone = 0
}

// slowStartAllows keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a
// warm
// one is seen to carry, which all together can't exceed the whole.
func (b *Balancer) slowStartAllows(s *endpoint) bool {
	b.accrueSlowStartTokens(s)
	return s.slowStartTokens < 0 || s.inSubset && s.slowStartTokens >= 1
}

// accrueSlowStartTokens counts the requests that may be sent to a cold server; a warm one has no such bound.
// It starts by
// chance: hundreds of gateways with less than one request a window to send must not all send it at once.
func (b *Balancer) accrueSlowStartTokens(s *endpoint) {
	w := b.warmUpFraction(s)
	if w >= 1 {
		s.slowStartTokens = -1
		return
	}
	work := 0.0
	for c := range b.settings.Classes {
		work = math.Max(work, b.workOf(c))
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	rate := slowStartBudgetFraction * b.settings.OverloadFactor * w * b.weight(s) *
		math.Max(b.slowStart.warmWorkRate, 1/math.Ceil(b.endpoints.subsetsPerEndpoint)) / work
	if s.slowStartTokens < 0 {
		s.slowStartTokens = b.rng.Float64()
	} else {
		most := math.Max(1, rate*b.settings.OverloadWindow.Seconds()/2)
		s.slowStartTokens = math.Min(s.slowStartTokens+rate*(b.now-s.slowStartAccruedAt).Seconds(), most)
	}
	s.slowStartAccruedAt = b.now
}

// warmUpFraction is the least share of its capacity that a server can have by now.
func (b *Balancer) warmUpFraction(s *endpoint) float64 {
	boot := max(s.StartedAt, s.suspectedRestart)
	age := b.now - boot
	if boot == 0 || age >= b.settings.SlowStartDuration || b.settings.SlowStartDuration == 0 {
		return 1
	}
	initial := b.settings.SlowStartInitialFraction
	share := initial + (1-initial)*math.Max(age.Seconds(), 0)/b.settings.SlowStartDuration.Seconds()
	return math.Max(share, 0.01)
}
