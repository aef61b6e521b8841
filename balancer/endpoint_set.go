package balancer

import "time"

// endpointSet holds the endpoint list, this node's subset of it, and the state of the tracked endpoints.
type endpointSet struct {
	warmUp warmUpCurve
	list   *endpointList
	sizing subsetSizing
	index  subsetIndex

	tracked       []*endpoint // endpoints of the subset, and others while they are in use
	trackedByID   map[string]*endpoint
	hasUnlisted   bool         // tracked may contain endpoints that are not listed any more
	subsetWeights weightCounts // weights of the subset's endpoints that accept requests
	meanLoad      float64      // mean number of other nodes' requests at an endpoint with a known load
}

func newEndpointSet(settings *Settings) endpointSet {
	return endpointSet{
		warmUp:      newWarmUpCurve(settings),
		list:        newEndpointList(0),
		sizing:      subsetSizing{nodeIndex: settings.NodeIndex, nodeCount: settings.NodeCount},
		index:       newSubsetIndex(),
		trackedByID: map[string]*endpoint{},
	}
}

// EndpointsUpdated handles an update of the endpoint list, or a failure to receive one ([UpdateFailed]).
func (b *Balancer) EndpointsUpdated(now time.Duration, kind UpdateKind, entries []Endpoint, out Actions) {
	b.now, b.actions = now, out
	if kind == UpdateFailed {
		b.schedulePoll()
		return
	}
	b.endpoints.apply(now, kind, entries)
}

// schedulePoll sets the timer after which the list is requested again: a random time between one and two
// seconds, so that the nodes do not all request it at the same time.
func (b *Balancer) schedulePoll() {
	if b.settings.PollEndpoints {
		b.actions.SetTimer(timerPollEndpoints, time.Second+time.Duration(b.rng.Int64N(int64(time.Second))))
	}
}

// apply applies a snapshot of the list or a delta to it.
func (s *endpointSet) apply(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind != UpdateDelta {
		s.beginSnapshot(len(entries))
	}
	if s.list.length() == 0 {
		s.resizeSubset(now, len(entries))
	}
	for i := range entries {
		s.applyEntry(now, &entries[i])
	}
	if kind != UpdateDelta {
		s.endSnapshot()
	}
	s.resizeSubset(now, s.list.length())
	s.dropUnlisted(now)
	s.index.rebuild(s.tracked, &s.sizing)
}

// beginSnapshot starts a snapshot. Endpoints that it does not contain are no longer listed after
// [endpointSet.endSnapshot].
func (s *endpointSet) beginSnapshot(length int) {
	if s.list.oversized() || s.list.length() == 0 {
		s.list = newEndpointList(length)
	}
	s.list.beginSnapshot()
	for _, e := range s.tracked {
		e.listed = false
	}
}

// endSnapshot removes the endpoints that the snapshot did not contain.
func (s *endpointSet) endSnapshot() {
	s.list.endSnapshot()
	s.hasUnlisted = true
	for _, e := range s.tracked {
		s.countInSubset(e)
	}
}

// applyEntry applies one entry of an update.
func (s *endpointSet) applyEntry(now time.Duration, entry *Endpoint) {
	slot, listed := s.list.find(entry.ID)
	switch {
	case listed && !s.list.isTracked(slot) && s.list.confirmUnchanged(slot, entry):
		return
	case entry.State != Removed:
		s.listEndpoint(now, slot, listed, *entry)
	case listed:
		s.list.remove(slot)
	}
	if e := s.trackedByID[entry.ID]; e != nil {
		s.updateTracked(e, *entry)
	}
}

// listEndpoint adds an endpoint to the list, or updates its entry at the given slot if it was listed before.
func (s *endpointSet) listEndpoint(now time.Duration, slot slotIndex, listedBefore bool, entry Endpoint) {
	if !listedBefore {
		slot = s.list.add(entry.ID)
		s.list.setMembershipThreshold(slot, s.sizing.membershipThreshold(entry.ID))
		s.list.setTracked(slot, s.trackedByID[entry.ID] != nil)
	}
	s.list.update(slot, entry)
	s.updateMembership(now, slot, listedBefore)
	s.updateReserve(now, slot)
}

// resizeSubset adapts the subset to the length of the list.
func (s *endpointSet) resizeSubset(now time.Duration, listLength int) {
	change := s.sizing.resize(listLength)
	if change == subsetUnchanged {
		return
	}
	s.index.invalidate()
	if change == subsetThresholdsOutdated {
		s.list.recomputeMembershipThresholds(s.sizing.membershipThreshold)
	}
	for _, slot := range s.list.subsetCandidates {
		s.updateMembership(now, slot, true)
	}
}

// updateMembership adds a listed endpoint to the subset or removes it, if its membership has changed. An
// endpoint that was listed before it enters the subset begins without slow-start tokens.
func (s *endpointSet) updateMembership(now time.Duration, slot slotIndex, listedBefore bool) {
	member := !s.list.isFree(slot) && s.sizing.contains(s.list.membershipThreshold(slot))
	e := s.trackedAt(slot)
	if e == nil && !member || e != nil && e.inSubset == member {
		return
	}
	if e == nil {
		e = s.track(slot)
	}
	e.inSubset = member
	s.index.invalidate()
	s.countInSubset(e)
	if member && listedBefore {
		e.slowStart.startEmpty(now)
	}
	s.updateReserve(now, slot)
}

// updateReserve adds an endpoint to the reserve or removes it, as its state requires.
func (s *endpointSet) updateReserve(now time.Duration, slot slotIndex) {
	s.list.updateReserve(slot, now, s.warmUp.duration)
}

// addWarmToReserve adds the endpoints that have become warm to the reserve.
func (s *endpointSet) addWarmToReserve(now time.Duration) {
	s.list.addWarmToReserve(now, s.warmUp.duration)
}

// enableSubset limits the subset to a part of the list. It is called in a large fleet.
func (s *endpointSet) enableSubset() { s.sizing.enable() }

// subsetsPerEndpoint returns the mean number of nodes whose subsets contain an endpoint.
func (s *endpointSet) subsetsPerEndpoint() float64 { return s.sizing.subsetsPerEndpoint }

// subsetSize returns the mean number of endpoints in a subset, at least 1.
func (s *endpointSet) subsetSize() int { return s.sizing.size(s.list.length()) }
