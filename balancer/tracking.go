package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// observationDecay is the time constant with which what was learned of an idle endpoint fades.
const observationDecay = 5 * time.Second

// reserveRetention is how long an endpoint of the reserve stays tracked after its last use.
const reserveRetention = 5 * time.Second

// trackedAt returns what is known of a listed endpoint, nil where that is no more than its entry.
func (s *endpointSet) trackedAt(slot slotIndex) *endpoint {
	if s.list.isTracked(slot) {
		return s.trackedByID[s.list.idOf(slot)]
	}
	return nil
}

// track begins to keep what is learned of a listed endpoint.
func (s *endpointSet) track(slot slotIndex) *endpoint {
	e := newEndpoint(s.list.endpointAt(slot))
	s.trackedByID[e.ID] = e
	s.list.setTracked(slot, true)
	s.tracked = append(s.tracked, e)
	return e
}

// trackFromReserve tracks an endpoint of the reserve that is sent to.
func (s *endpointSet) trackFromReserve(now time.Duration, slot slotIndex) *endpoint {
	e := s.track(slot)
	e.recordProgress(now)
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

// stopTracking forgets what is known of an endpoint. One that is listed may return to the reserve.
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

// addStats adds what the set holds to the counts.
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

// sample moves a random one of the endpoints from a position on to that position and returns it.
func (s *endpointSet) sample(i int, rng *rand.Rand) *endpoint {
	sampled := i + rng.IntN(len(s.tracked)-i)
	s.tracked[i], s.tracked[sampled] = s.tracked[sampled], s.tracked[i]
	return s.tracked[i]
}

// warmWeight returns the weight of the subset's warm endpoints that accept requests.
func (s *endpointSet) warmWeight() (weight float64) {
	for _, e := range s.tracked {
		if !e.slowStart.bounded() && e.acceptsRequests() && e.inSubset {
			weight += e.weight()
		}
	}
	return weight
}

// reachable returns the attempts in flight at endpoints that are unresponsive, and the number of endpoints
// that respond; a cold one counts as the fraction of a warm one that it is. The subset stands for all that
// are listed, unless nothing in it responds.
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

// closeInterval takes the mean of the loads reported and lets what is known of idle endpoints fade.
func (s *endpointSet) closeInterval() {
	var load, reports float64
	retained := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, e := range s.tracked {
		if e.acceptsRequests() && e.load.known() {
			load, reports = load+e.load.otherNodes, reports+1
		}
		if e.inFlight == 0 {
			e.decay(retained)
		}
	}
	s.meanLoad = load / math.Max(reports, 1)
}

// closeEndpointInterval ends a control interval for the endpoints.
func (b *Balancer) closeEndpointInterval() {
	for _, e := range b.endpoints.tracked {
		b.accrueSlowStart(e) // from the time that it is tracked on, not from its first selection
	}
	b.slowStart.closeInterval(b.endpoints.warmWeight())
	b.endpoints.closeInterval()
}
