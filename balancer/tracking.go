package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// observationDecay is the time constant with which the latency ratio and the error rate of an idle endpoint
// decay.
const observationDecay = 5 * time.Second

// reserveRetention is how long an endpoint of the reserve stays tracked after its last use.
const reserveRetention = 5 * time.Second

// trackedAt returns the state of a listed endpoint, or nil if it is not tracked.
func (s *endpointSet) trackedAt(slot slotIndex) *endpoint {
	if s.list.isTracked(slot) {
		return s.trackedByID[s.list.idOf(slot)]
	}
	return nil
}

// track starts to track a listed endpoint.
func (s *endpointSet) track(slot slotIndex) *endpoint {
	e := newEndpoint(s.list.endpointAt(slot))
	s.trackedByID[e.ID] = e
	s.list.setTracked(slot, true)
	s.tracked = append(s.tracked, e)
	return e
}

// trackFromReserve starts to track an endpoint of the reserve that is about to get an attempt.
func (s *endpointSet) trackFromReserve(now time.Duration, slot slotIndex) *endpoint {
	e := s.track(slot)
	e.recordProgress(now)
	s.updateReserve(now, slot)
	return e
}

// updateTracked replaces the list entry of a tracked endpoint.
func (s *endpointSet) updateTracked(e *endpoint, entry Endpoint) {
	e.update(entry)
	s.hasUnlisted = s.hasUnlisted || !e.listed
	s.countInSubset(e)
}

// countInSubset updates subsetWeights after a change of an endpoint.
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

// dropUnused stops tracking the endpoints that are no longer in use, as reported by isInUse.
func (s *endpointSet) dropUnused(now time.Duration) {
	s.addWarmToReserve(now)
	s.retain(now, func(e *endpoint) bool { return s.isInUse(now, e) })
	s.index.rebuild(s.tracked, &s.sizing)
}

// isInUse reports whether an endpoint must stay tracked. An endpoint stays tracked while it has attempts in
// flight. A listed one also stays tracked while it is in the subset, ejected or cold, or if it was used
// within reserveRetention.
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

// dropUnlisted stops tracking the endpoints that are not listed any more and have no attempts in flight.
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

// retain stops tracking all endpoints for which inUse returns false.
func (s *endpointSet) retain(now time.Duration, inUse func(*endpoint) bool) {
	retained := s.tracked[:0]
	for _, e := range s.tracked {
		if inUse(e) {
			retained = append(retained, e)
		} else {
			s.stopTracking(now, e)
		}
	}
	clear(s.tracked[len(retained):])
	s.tracked = retained
}

// stopTracking discards the state of an endpoint. If it is listed, it may return to the reserve.
func (s *endpointSet) stopTracking(now time.Duration, e *endpoint) {
	delete(s.trackedByID, e.ID)
	if e.inSubset {
		s.index.invalidate()
	}
	if slot, listed := s.list.slotOf(e.ID); listed {
		s.list.setTracked(slot, false)
		s.updateReserve(now, slot)
	}
}

// addStats fills the endpoint counts of stats.
func (s *endpointSet) addStats(stats *Stats) {
	stats.ListedEndpoints, stats.TrackedEndpoints = s.list.length(), len(s.tracked)
	for _, e := range s.tracked {
		if !e.inSubset || !e.listed {
			continue
		}
		stats.SubsetEndpoints++
		if s.index.isAmbiguous(e) {
			stats.HashCollisions++
		}
	}
}

// sample swaps a random tracked endpoint at index i or above to index i and returns it. Calls with ascending
// i visit all tracked endpoints in random order.
func (s *endpointSet) sample(i int, rng *rand.Rand) *endpoint {
	sampled := i + rng.IntN(len(s.tracked)-i)
	s.tracked[i], s.tracked[sampled] = s.tracked[sampled], s.tracked[i]
	return s.tracked[i]
}

// warmWeight returns the total weight of the subset's warm endpoints that accept requests.
func (s *endpointSet) warmWeight() (weight float64) {
	for _, e := range s.tracked {
		if !e.slowStart.bounded() && e.acceptsRequests() && e.inSubset {
			weight += e.weight()
		}
	}
	return weight
}

// reachable returns the number of this node's attempts in flight at unresponsive endpoints, and the number
// of listed endpoints that respond, where a cold one counts as its warm-up fraction. The second is
// extrapolated from the subset to the whole list. If no endpoint of the subset responds, all endpoints
// outside it are assumed to respond.
func (s *endpointSet) reachable(now time.Duration, criteria healthCriteria) (
	unresponsive int, responding float64,
) {
	accepting := 0.0
	for _, e := range s.tracked {
		accepts := e.inSubset && e.acceptsRequests()
		accepting += oneIf(accepts)
		if e.unresponsive(now, criteria) {
			unresponsive += e.inFlight
		} else if accepts {
			responding += s.warmUp.fraction(e.lastStart(), now)
		}
	}
	listed := float64(s.list.activeWeights.total)
	if responding == 0 {
		return unresponsive, listed - accepting
	}
	return unresponsive, responding * (listed / accepting)
}

// closeInterval ends a control interval: it recomputes the mean of the known loads and lets the observations
// of idle endpoints decay.
func (s *endpointSet) closeInterval() {
	var load, reports float64
	retained := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, e := range s.tracked {
		if e.acceptsRequests() && e.load.known() {
			load, reports = load+e.load.otherRequests, reports+1
		}
		if e.inFlight == 0 {
			e.decay(retained)
		}
	}
	s.meanLoad = load / math.Max(reports, 1)
}

// closeEndpointInterval does the work on endpoints at the end of a control interval.
func (b *Balancer) closeEndpointInterval() {
	for _, e := range b.endpoints.tracked {
		b.accrueSlowStart(e) // so that tokens accrue from the start of tracking, not from the first selection
	}
	b.slowStart.closeInterval(b.endpoints.warmWeight())
	b.endpoints.closeInterval()
}
