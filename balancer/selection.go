package balancer

import "math"

const (
	errorCostFactor = 8 // cost factor of an error average of 1
	// added for a server that is kept for when no other is left
	deprioritizedCost = 1e6
	outsideSubsetCost = 1e5 // for one outside the subset
	notSampledCost    = 1e3 // for one that was not drawn by its size
	// cost factor of a server that this request has tried
	triedEndpointFactor = 4
	// cost factor of another zone where crossing has a price
	crossZoneFactor   = 1.1
	maxReserveSamples = 4 // draws from the reserve for one that is accepted by its weight
)

// selectEndpoint returns the server with the least expected delay that the request may go to, or nil.
func (b *Balancer) selectEndpoint(r *request) *endpoint {
	var best *endpoint
	bestCost, spares := math.Inf(1), 0
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	samples := max(len(b.endpoints.tracked)/b.settings.NodeCount+1, 2)
	for i := range b.endpoints.tracked {
		if best != nil && samples == 0 && !b.deprioritized(best) {
			break
		}
		j := i + b.rng.IntN(len(b.endpoints.tracked)-i)
		b.endpoints.tracked[i], b.endpoints.tracked[j] = b.endpoints.tracked[j], b.endpoints.tracked[i]
		s := b.endpoints.tracked[i]
		if !s.acceptsRequests() || !b.mayAttempt(r, s) || !b.slowStartAllows(s) {
			continue
		}
		cost := b.cost(s)
		switch {
		case s.unreachable && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case b.deprioritized(s):
			// only if no other is left; no look, or those in service would be taken blindly
			cost += deprioritizedCost
		case !s.inSubset:
			cost += outsideSubsetCost // only if none of the subset is in service
			spares++
		case b.rng.Float64()*b.endpoints.subsetWeights.largest > b.relativeCapacity(s):
			cost += notSampledCost // candidates are drawn by their size
		default:
			samples = max(samples-1, 0)
		}
		for _, a := range r.attempts {
			if a.endpoint == s && a.result != OK {
				cost *= triedEndpointFactor
			}
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best != nil && best.inSubset && !b.deprioritized(best) || spares >= b.subsetSize() {
		return best
	}
	// As many of the reserve take the place of the subset as that has servers.
	if s := b.sampleReserve(r); s != nil && (best == nil || b.cost(s)+outsideSubsetCost <= bestCost) {
		best = s
	}
	return best
}

func (b *Balancer) cost(s *endpoint) float64 {
	lat := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (b.now-s.lastProgress).Seconds()/math.Max(b.meanLatency(), 1e-3))
	}
	held := float64(s.inFlight) + math.Max(s.reportedQueue, 0) + b.expectedOtherLoad(s)
	cost := math.Max(lat, 0.1) * (1 + held) * (1 + errorCostFactor*s.errorRate)
	cost /= b.warmUpFraction(s)
	if s.Zone != b.settings.Zone && b.settings.CrossZonePrice > 0 {
		cost *= crossZoneFactor
	}
	return cost
}

// sampleReserve returns a server of the reserve that the request may go to, or nil.
func (b *Balancer) sampleReserve(r *request) *endpoint {
	b.moveWarmedUpToReserve()
	from := b.endpoints.list.reserve
	for i := range r.attempts { // a keyed request that may have run stays where its repeats are dropped
		a, c := &r.attempts[i], &b.settings.Classes[r.class]
		switch {
		case a.neverRan || c.Idempotency != IdempotentWithKey:
		case c.DedupScope == DedupZone:
			from = b.endpoints.list.reserveInZone(a.zone)
		case c.DedupScope == DedupCell:
			from = b.endpoints.list.reserveInCell(a.cell)
		}
	}
	if len(from) == 0 {
		return nil
	}
	at := from[b.rng.IntN(len(from))]
	for n := 1; n < maxReserveSamples &&
		b.rng.Float64()*b.endpoints.list.activeWeights.largest > b.endpoints.list.weight(at); n++ {
		at = from[b.rng.IntN(len(from))]
	}
	if !b.mayAttempt(r, &endpoint{Endpoint: b.endpoints.list.endpointAt(at)}) {
		return nil
	}
	s := b.track(at)
	s.lastProgress = b.now
	b.updateReserve(at)
	return s
}
