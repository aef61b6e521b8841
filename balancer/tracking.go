package balancer

import (
	"math"
	"time"
)

// reserveRetention is how long an endpoint of the reserve stays tracked after its last use.
const reserveRetention = 5 * time.Second

// trackedAt returns what is known of a listed endpoint, nil where that is no more than its entry.
func (s *endpointSet) trackedAt(slot slotIndex) *endpoint {
	if entry := &s.list.entries[slot]; entry.tracked {
		return s.trackedByID[entry.id]
	}
	return nil
}

// track begins to keep what is learned of a listed endpoint.
func (s *endpointSet) track(slot slotIndex) *endpoint {
	e := newEndpoint(s.list.endpointAt(slot))
	s.trackedByID[e.ID] = e
	s.list.entries[slot].tracked = true
	s.tracked = append(s.tracked, e)
	return e
}

// trackFromReserve tracks an endpoint of the reserve that is sent to.
func (s *endpointSet) trackFromReserve(now time.Duration, slot slotIndex) *endpoint {
	e := s.track(slot)
	e.lastProgress = now
	s.updateReserve(now, slot)
	return e
}

// updateTracked takes over a new entry of an endpoint that is tracked.
func (s *endpointSet) updateTracked(e *endpoint, entry Endpoint) {
	e.update(entry)
	s.hasUnlisted = s.hasUnlisted || !e.listed
	s.countInSubset(e)
}

// countInSubset keeps the weights of the subset's endpoints that accept requests.
func (s *endpointSet) countInSubset(e *endpoint) {
	weight := 0.0
	if e.inSubset && e.acceptsRequests() {
		weight = e.weight()
	}
	if weight == e.countedWeight {
		return
	}
	if e.countedWeight > 0 {
		s.subsetWeights.add(e.countedWeight, -1)
	}
	if weight > 0 {
		s.subsetWeights.add(weight, 1)
	}
	e.countedWeight = weight
}

// dropUnused stops tracking endpoints outside the subset that are no longer in use.
func (s *endpointSet) dropUnused(now time.Duration) {
	s.moveWarmedUpToReserve(now)
	s.retain(now, func(e *endpoint) bool { return s.isInUse(now, e) })
	s.index.rebuild(s.tracked, &s.sizing)
}

// isInUse reports whether what is known of an endpoint is still of use.
func (s *endpointSet) isInUse(now time.Duration, e *endpoint) bool {
	switch {
	case e.inSubset && e.listed, e.inFlight > 0:
		return true
	case !e.listed:
		return false
	}
	return now-e.lastProgress <= reserveRetention || e.health.ejected(now) ||
		s.warmUp.fraction(e.lastStart(), now) < 1
}

// dropUnlisted stops tracking endpoints that are no longer listed, once no attempt is in flight there.
func (s *endpointSet) dropUnlisted(now time.Duration) {
	if !s.hasUnlisted {
		return
	}
	s.hasUnlisted = false
	s.retain(now, func(e *endpoint) bool {
		s.hasUnlisted = s.hasUnlisted || !e.listed && e.inFlight > 0
		return e.listed || e.inFlight > 0
	})
}

// retain stops tracking all endpoints but some.
func (s *endpointSet) retain(now time.Duration, keep func(*endpoint) bool) {
	retained := s.tracked[:0]
	for _, e := range s.tracked {
		if keep(e) {
			retained = append(retained, e)
		} else {
			s.stopTracking(now, e)
		}
	}
	clear(s.tracked[len(retained):])
	s.tracked = retained
}

// stopTracking forgets what is known of an endpoint. One that is listed may return to the reserve.
func (s *endpointSet) stopTracking(now time.Duration, e *endpoint) {
	delete(s.trackedByID, e.ID)
	s.index.dirty = s.index.dirty || e.inSubset
	if slot, listed := s.list.slotByID[e.ID]; listed {
		s.list.entries[slot].tracked = false
		s.updateReserve(now, slot)
	}
}

// addStats adds what the set holds to the counts.
func (s *endpointSet) addStats(stats *Stats) {
	stats.ListedEndpoints, stats.TrackedEndpoints = s.list.length(), len(s.tracked)
	for _, e := range s.tracked {
		if !e.inSubset || !e.listed {
			continue
		}
		stats.SubsetEndpoints++
		if s.index.byHash[e.shortHash] == nil {
			stats.HashCollisions++
		}
	}
}

// closeEndpointInterval brings slow-start budgets up to date, learns from what the endpoints have done in a
// control interval and lets what is known of idle ones fade.
func (b *Balancer) closeEndpointInterval() {
	var warmWeight, load, reports float64
	keep := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, e := range b.endpoints.tracked {
		b.accrueSlowStart(e) // from the time that it is tracked on, not from its first selection
		if !e.slowStart.bounded() && e.acceptsRequests() && e.inSubset {
			warmWeight += e.weight()
		}
		if e.acceptsRequests() && e.load.known() {
			load, reports = load+e.load.otherNodes, reports+1
		}
		if e.inFlight == 0 {
			e.decay(keep)
		}
	}
	b.endpoints.meanLoad = load / math.Max(reports, 1)
	b.slowStart.closeInterval(warmWeight)
}
