package balancer

import "math"

const (
	errorCostFactor      = 8    // additional cost factor of an error rate of 1
	crossZoneFactor      = 1.1  // cost factor of another zone, if cross-zone attempts have a price
	failedEndpointFactor = 4    // cost factor for each failed attempt of the request at the endpoint
	minLatencyRatio      = 0.1  // lower bound in costs, so that load also counts if responses are fast
	minCostMean          = 1e-3 // lower bound of the mean latency in costs, in seconds

	// Additional costs of the tiers of endpoints. Each exceeds all costs within the preceding tiers.
	notSampledCost    = 1e3 // endpoint of the subset that the random sampling skipped
	outsideSubsetCost = 1e5 // endpoint in service outside the subset
	deprioritizedCost = 1e6 // endpoint that is used only if no other is left

	minSamples = 2 // minimum number of endpoints of the subset that a selection compares
)

// selection is the state of one endpoint selection. It uses the power of random choices: if all nodes chose
// the best of all endpoints, they would overload it, so each node compares only a few random ones.
type selection struct {
	request       *request
	criteria      healthCriteria
	samples       int       // number of endpoints of the subset still to compare
	best          *endpoint // endpoint with the lowest cost so far, or nil
	bestCost      float64
	deprioritized bool // whether best is deprioritized
	outsideSubset int  // number of compared endpoints in service outside the subset
}

// done reports whether enough endpoints were compared. As long as the best is deprioritized, the selection
// goes on through all tracked endpoints.
func (s *selection) done() bool { return s.best != nil && s.samples == 0 && !s.deprioritized }

// consider compares an endpoint with the best so far.
func (s *selection) consider(e *endpoint, cost float64, deprioritized bool) {
	for i := range s.request.attempts {
		if a := &s.request.attempts[i]; a.endpoint == e && a.result != OK {
			cost *= failedEndpointFactor
		}
	}
	if cost < s.bestCost {
		s.best, s.bestCost, s.deprioritized = e, cost, deprioritized
	}
}

// needsReserve reports whether to sample the reserve: no endpoint of the subset is in service for the
// request, and fewer endpoints were found in service outside the subset than a subset contains. The
// reserve thus replaces the subset with about as many endpoints.
func (s *selection) needsReserve(subsetSize int) bool {
	subsetServes := s.best != nil && s.best.inSubset && !s.deprioritized
	return !subsetServes && s.outsideSubset < subsetSize
}

// selectEndpoint returns the endpoint for the next attempt of the request: of the endpoints sampled, the one
// with the lowest cost. It returns nil if no endpoint may be used.
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
			s.consider(e, b.cost(e)+cost, deprioritized)
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

// maySelect reports whether the next attempt of the request may go to the endpoint. An unreachable endpoint
// gets no retries, which would only cost the client time.
func (b *Balancer) maySelect(r *request, e *endpoint) bool {
	return e.acceptsRequests() && b.mayAttempt(r, e) && b.slowStartAllows(e) &&
		(!e.health.unreachable || len(r.attempts) == 0)
}

// tierCost returns the additional cost of an endpoint's tier. An endpoint of the subset is sampled with a
// probability proportional to its capacity, and uses up one of the samples if it is. Deprioritized endpoints
// use up none: otherwise the endpoints in service could be chosen without a comparison.
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

// cost returns the expected delay of a request at the endpoint, as a multiple of the mean latency.
func (b *Balancer) cost(e *endpoint) float64 {
	ratio := e.latencyRatio
	if e.inFlight > 0 {
		// The time without progress counts as latency while attempts are in flight. This handles pauses,
		// failed machines and cut links alike.
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

// sampleReserve samples an endpoint of the reserve for the request and starts to track it. It returns nil if
// there is none, or if the request may not be sent to the sampled one.
func (b *Balancer) sampleReserve(r *request) *endpoint {
	b.endpoints.addWarmToReserve(b.now)
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

// reserveFor returns the endpoints of the reserve to which the request may be sent. If an attempt with an
// idempotency key may have run, a repeat must stay in the zone or cell that deduplicates it.
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
