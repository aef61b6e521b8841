package balancer

import "math"

const (
	errorCostFactor      = 8    // additional cost factor of an error rate of 1
	crossZoneFactor      = 1.1  // cost factor of another zone where crossing has a price
	failedEndpointFactor = 4    // cost factor of an endpoint at which this request has failed
	minLatencyRatio      = 0.1  // in costs, so that load counts also where responses are fast
	minCostMean          = 1e-3 // seconds; mean latency that silence is held against, at least

	// Costs of the tiers of endpoints, each above all costs of the tiers before.
	notSampledCost    = 1e3 // of the subset, but not sampled by its size
	outsideSubsetCost = 1e5
	deprioritizedCost = 1e6

	minSamples = 2 // endpoints of the subset that a selection compares, at least
)

// selection is the state of the choice of an endpoint for an attempt: the power of random choices. Nodes
// that all took the best of all endpoints would crowd it, so each compares a few sampled at random.
type selection struct {
	request       *request
	criteria      healthCriteria
	samples       int // endpoints of the subset still to compare
	best          *endpoint
	bestCost      float64
	deprioritized bool // best is
	outsideSubset int  // endpoints in service outside the subset
}

// done reports whether enough endpoints were compared. Where the best is deprioritized all are.
func (s *selection) done() bool { return s.best != nil && s.samples == 0 && !s.deprioritized }

// offer compares an endpoint with the best so far.
func (s *selection) offer(e *endpoint, cost float64, deprioritized bool) {
	for i := range s.request.attempts {
		if a := &s.request.attempts[i]; a.endpoint == e && a.result != OK {
			cost *= failedEndpointFactor
		}
	}
	if cost < s.bestCost {
		s.best, s.bestCost, s.deprioritized = e, cost, deprioritized
	}
}

// needsReserve reports whether the subset has no endpoint in service for the request. As many of the
// reserve stand in for the subset as that has endpoints.
func (s *selection) needsReserve(subsetSize int) bool {
	subsetServes := s.best != nil && s.best.inSubset && !s.deprioritized
	return !subsetServes && s.outsideSubset < subsetSize
}

// selectEndpoint returns the endpoint with the lowest expected delay that a further attempt of the request
// may go to, or nil.
func (b *Balancer) selectEndpoint(r *request) *endpoint {
	tracked := len(b.endpoints.tracked)
	s := selection{
		request:  r,
		criteria: b.healthCriteria(),
		samples:  max(tracked/b.settings.NodeCount+1, minSamples),
		bestCost: math.Inf(1),
	}
	for i := range tracked {
		if s.done() {
			break
		}
		if e := b.endpoints.sample(i, b.rng); b.maySelect(r, e) {
			cost, deprioritized := b.tierCost(&s, e)
			s.offer(e, b.cost(e)+cost, deprioritized)
		}
	}
	if !s.needsReserve(b.endpoints.subsetSize()) {
		return s.best
	}
	if e := b.sampleReserve(r); e != nil && (s.best == nil || b.cost(e)+outsideSubsetCost <= s.bestCost) {
		return e
	}
	return s.best
}

// maySelect reports whether a further attempt of the request may go to the endpoint. A retry at an
// unreachable one would only cost the client time.
func (b *Balancer) maySelect(r *request, e *endpoint) bool {
	return e.acceptsRequests() && b.mayAttempt(r, e) && b.slowStartAllows(e) &&
		(!e.health.unreachable || len(r.attempts) == 0)
}

// tierCost returns the additional cost of an endpoint's tier. Those of the subset that are sampled by their
// size use up the samples; ones out of service don't, or those in service would be chosen blindly.
func (b *Balancer) tierCost(s *selection, e *endpoint) (cost float64, deprioritized bool) {
	switch {
	case e.deprioritized(b.now, s.criteria):
		return deprioritizedCost, true
	case !e.inSubset:
		s.outsideSubset++
		return outsideSubsetCost, false
	case b.rng.Float64()*b.endpoints.subsetWeights.largest > b.relativeCapacity(e):
		return notSampledCost, false
	}
	s.samples = max(s.samples-1, 0)
	return 0, false
}

// cost returns the expected delay of a request at the endpoint, as a multiple of the usual latency.
func (b *Balancer) cost(e *endpoint) float64 {
	ratio := e.latencyRatio
	if e.inFlight > 0 {
		// Silence with attempts in flight counts as latency: it covers pauses, dead machines and cut links
		// alike.
		ratio = math.Max(ratio, (b.now-e.lastProgress).Seconds()/math.Max(b.latency.mean(), minCostMean))
	}
	load := float64(e.inFlight) + math.Max(e.load.queued, 0) + b.expectedOtherLoad(e)
	cost := math.Max(ratio, minLatencyRatio) * (1 + load) * (1 + errorCostFactor*e.health.errorRate)
	cost /= b.warmUpFraction(e)
	if e.Zone != b.settings.Zone && b.settings.CrossZonePrice > 0 {
		cost *= crossZoneFactor
	}
	return cost
}

// sampleReserve returns an endpoint of the reserve that the request may go to, or nil.
func (b *Balancer) sampleReserve(r *request) *endpoint {
	b.endpoints.moveWarmedUpToReserve(b.now)
	candidates := b.reserveFor(r)
	if len(candidates) == 0 {
		return nil
	}
	slot := b.endpoints.list.sampleByWeight(candidates, b.rng)
	if !b.mayAttempt(r, &endpoint{Endpoint: b.endpoints.list.endpointAt(slot)}) {
		return nil
	}
	return b.endpoints.trackFromReserve(b.now, slot)
}

// reserveFor returns the part of the reserve that the request may go to: one with an idempotency key that
// may have run stays where its repeats are dropped.
func (b *Balancer) reserveFor(r *request) pool {
	class := &b.settings.Classes[r.class]
	candidates := b.endpoints.list.reserve.all
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.neverRan || class.Idempotency != IdempotentWithKey:
		case class.DedupScope == DedupZone:
			candidates = b.endpoints.list.reserveInZone(a.zone)
		case class.DedupScope == DedupCell:
			candidates = b.endpoints.list.reserveInCell(a.cell)
		}
	}
	return candidates
}
