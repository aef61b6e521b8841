package balancer

import "time"

// endpointSet holds the endpoint list, this node's subset of it, and what is known of the endpoints in use.
type endpointSet struct {
	warmUp warmUpCurve
	list   *endpointList
	sizing subsetSizing
	index  subsetIndex

	tracked       []*endpoint // those of the subset, and others while they are in use
	trackedByID   map[string]*endpoint
	hasUnlisted   bool         // a tracked endpoint is no longer listed
	subsetWeights weightCounts // of the subset's endpoints that accept requests
	meanLoad      float64      // requests of other nodes at an endpoint, mean over those that report
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

// EndpointsUpdated brings the endpoint list or changes of it.
func (b *Balancer) EndpointsUpdated(now time.Duration, kind UpdateKind, entries []Endpoint, out Actions) {
	b.now, b.actions = now, out
	if kind == UpdateFailed {
		b.schedulePoll()
		return
	}
	b.endpoints.apply(now, kind, entries)
}

// schedulePoll sets the timer for another request for the list, after a time that spreads those of the nodes.
func (b *Balancer) schedulePoll() {
	if b.settings.PollEndpoints {
		b.actions.SetTimer(timerPollEndpoints, time.Second+time.Duration(b.rng.Int64N(int64(time.Second))))
	}
}

// apply takes in a list or changes of it.
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

// beginSnapshot begins a snapshot: endpoints that it doesn't name are gone.
func (s *endpointSet) beginSnapshot(length int) {
	if s.list.stale() || s.list.length() == 0 {
		s.list = newEndpointList(length)
	}
	s.list.beginSnapshot()
	for _, e := range s.tracked {
		e.listed = false
	}
}

// endSnapshot ends a snapshot.
func (s *endpointSet) endSnapshot() {
	s.list.endSnapshot()
	s.hasUnlisted = true
	for _, e := range s.tracked {
		s.countInSubset(e)
	}
}

// applyEntry takes in one entry.
func (s *endpointSet) applyEntry(now time.Duration, entry *Endpoint) {
	slot, listed := s.list.find(entry.ID)
	switch {
	case listed && !s.list.isTracked(slot) && s.list.confirm(slot, entry):
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

// listEndpoint enters an endpoint into the list, at its slot if it was listed before.
func (s *endpointSet) listEndpoint(now time.Duration, slot slotIndex, listedBefore bool, entry Endpoint) {
	if !listedBefore {
		slot = s.list.add(entry.ID)
		s.list.setEntersAt(slot, s.sizing.entryThreshold(entry.ID))
		s.list.setTracked(slot, s.trackedByID[entry.ID] != nil)
	}
	s.list.update(slot, entry)
	s.updateMembership(now, slot, listedBefore)
	s.updateReserve(now, slot)
}

// resizeSubset has the subset follow the length of the list.
func (s *endpointSet) resizeSubset(now time.Duration, listLength int) {
	change := s.sizing.follow(listLength)
	if change == subsetStays {
		return
	}
	s.index.invalidate()
	if change == subsetBeyondRanks {
		s.list.resetEntersAt(s.sizing.entryThreshold)
	}
	for _, slot := range s.list.subsetCandidates {
		s.updateMembership(now, slot, true)
	}
}

// updateMembership has a listed endpoint enter the subset or leave it, where the number of subsets asks for
// that.
func (s *endpointSet) updateMembership(now time.Duration, slot slotIndex, listedBefore bool) {
	member := !s.list.isFree(slot) && s.sizing.contains(s.list.entersAt(slot))
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

// updateReserve adds an endpoint to the reserve or takes it out.
func (s *endpointSet) updateReserve(now time.Duration, slot slotIndex) {
	s.list.updateReserve(slot, now, s.warmUp.duration)
}

// moveWarmedUpToReserve adds the endpoints to the reserve that have become warm.
func (s *endpointSet) moveWarmedUpToReserve(now time.Duration) {
	s.list.moveWarmedUpToReserve(now, s.warmUp.duration)
}

// enableSubset has the subset hold a part of the list only, as in a large fleet.
func (s *endpointSet) enableSubset() { s.sizing.enable() }

// subsetsPerEndpoint returns the number of nodes whose subsets hold each endpoint.
func (s *endpointSet) subsetsPerEndpoint() float64 { return s.sizing.subsetsPerEndpoint }

// subsetSize returns the number of endpoints in a subset, on average and at least one.
func (s *endpointSet) subsetSize() int { return s.sizing.size(s.list.length()) }
