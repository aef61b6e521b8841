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
func (g *Balancer) selectEndpoint(r *request) *endpoint {
	var best *endpoint
	bestCost, spares := math.Inf(1), 0
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	samples := max(len(g.tracked)/g.settings.NodeCount+1, 2)
	for i := range g.tracked {
		if best != nil && samples == 0 && !g.deprioritized(best) {
			break
		}
		j := i + g.rng.IntN(len(g.tracked)-i)
		g.tracked[i], g.tracked[j] = g.tracked[j], g.tracked[i]
		s := g.tracked[i]
		if !s.acceptsRequests() || !g.mayAttempt(r, s) || !g.slowStartAllows(s) {
			continue
		}
		cost := g.cost(s)
		switch {
		case s.unreachable && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case g.deprioritized(s):
			// only if no other is left; no look, or those in service would be taken blindly
			cost += deprioritizedCost
		case !s.inSubset:
			cost += outsideSubsetCost // only if none of the subset is in service
			spares++
		case g.rng.Float64()*g.subsetWeights.largest > g.relativeCapacity(s):
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
	if best != nil && best.inSubset && !g.deprioritized(best) || spares >= g.subsetSize() {
		return best
	}
	// As many of the reserve take the place of the subset as that has servers.
	if s := g.sampleReserve(r); s != nil && (best == nil || g.cost(s)+outsideSubsetCost <= bestCost) {
		best = s
	}
	return best
}

func (g *Balancer) cost(s *endpoint) float64 {
	lat := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (g.now-s.lastProgress).Seconds()/math.Max(g.meanLatency(), 1e-3))
	}
	held := float64(s.inFlight) + math.Max(s.reportedQueue, 0) + g.expectedOtherLoad(s)
	cost := math.Max(lat, 0.1) * (1 + held) * (1 + errorCostFactor*s.errorRate)
	cost /= g.warmUpFraction(s)
	if s.Zone != g.settings.Zone && g.settings.CrossZonePrice > 0 {
		cost *= crossZoneFactor
	}
	return cost
}

// sampleReserve returns a server of the reserve that the request may go to, or nil.
func (g *Balancer) sampleReserve(r *request) *endpoint {
	g.moveWarmedUpToReserve()
	from := g.list.reserve
	for i := range r.attempts { // a keyed request that may have run stays where its repeats are dropped
		a, c := &r.attempts[i], &g.settings.Classes[r.class]
		switch {
		case a.neverRan || c.Idempotency != IdempotentWithKey:
		case c.DedupScope == DedupZone:
			from = g.list.reserveInZone(a.zone)
		case c.DedupScope == DedupCell:
			from = g.list.reserveInCell(a.cell)
		}
	}
	if len(from) == 0 {
		return nil
	}
	at := from[g.rng.IntN(len(from))]
	for n := 1; n < maxReserveSamples &&
		g.rng.Float64()*g.list.activeWeights.largest > g.list.weight(at); n++ {
		at = from[g.rng.IntN(len(from))]
	}
	if !g.mayAttempt(r, &endpoint{Endpoint: g.list.endpointAt(at)}) {
		return nil
	}
	s := g.track(at)
	s.lastProgress = g.now
	g.updateReserve(at)
	return s
}
