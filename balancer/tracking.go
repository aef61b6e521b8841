package balancer

// endpointSet holds the endpoint list, this node's subset of it, and what was learned of the endpoints in
// use.
type endpointSet struct {
	list               *endpointList
	subsetsPerEndpoint float64 // number of subsets that hold each endpoint
	smoothedListLength float64 // from which that follows
	rankedNodes        int     // places in an endpoint's order of the nodes that are told apart
	hasUnlisted        bool    // a tracked endpoint is no longer listed
	subsetDirty        bool    // the subset differs from what subsetByHash and shared hold

	tracked       []*endpoint // those of the subset, and others while they are used
	trackedByID   map[string]*endpoint
	subsetByHash  map[uint16]*endpoint // nil for a hash that several share
	shared        []sharedEndpoint     // those of the subset, for load gossip
	subsetWeights weightCounts         // of the subset's endpoints that accept requests
	// mean of the other nodes' requests at an endpoint, over those reported
	meanLoad float64
}

func newEndpointSet() endpointSet {
	return endpointSet{
		list:         newEndpointList(0),
		trackedByID:  map[string]*endpoint{},
		subsetByHash: map[uint16]*endpoint{},
	}
}

// trackedAt returns what is known of a listed server, nil where that is nothing more than what the list says.
func (b *Balancer) trackedAt(at slotIndex) *endpoint {
	if e := &b.endpoints.list.entries[at]; e.tracked {
		return b.endpoints.trackedByID[e.id]
	}
	return nil
}

// track begins to keep what is learned of a listed server.
func (b *Balancer) track(at slotIndex) *endpoint {
	e := b.endpoints.list.endpointAt(at)
	s := &endpoint{Endpoint: e, latencyRatio: 1, reportedQueue: -1, slowStartTokens: -1, reportedLoad: -1,
		listed: true, rendezvousKey: endpointKey(e.ID)}
	s.shortHash = shortEndpointHash(e.ID)
	b.endpoints.trackedByID[e.ID] = s
	b.endpoints.list.entries[at].tracked = true
	b.endpoints.tracked = append(b.endpoints.tracked, s)
	b.trackMachineType(e.MachineType)
	return s
}

// updateTracked takes over what the list says of a server that is known.
func (b *Balancer) updateTracked(s *endpoint, e Endpoint) {
	if s.StartedAt != e.StartedAt {
		// A restarted server is another one: nothing learned of it holds.
		s.errorRate, s.consecutiveEjections, s.ejectedUntil, s.latencyRatio, s.reportedQueue,
			s.slowStartTokens, s.unreachable = 0, 0, 0, 1, -1, -1, false
		s.reportedLoad, s.loadReportedAt, s.refusesConnections, s.lastResponseFailed = -1, 0, false, false
	}
	b.trackMachineType(e.MachineType)
	s.Endpoint, s.listed = e, e.State != Removed
	b.endpoints.hasUnlisted = b.endpoints.hasUnlisted || !s.listed
	b.countInSubset(s)
}

// countInSubset keeps the weights of the subset's servers that take work.
func (b *Balancer) countInSubset(s *endpoint) {
	weight := 0.0
	if s.inSubset && s.acceptsRequests() {
		weight = b.weight(s)
	}
	if weight == s.countedWeight {
		return
	}
	if s.countedWeight > 0 {
		b.endpoints.subsetWeights.add(s.countedWeight, -1)
	}
	if weight > 0 {
		b.endpoints.subsetWeights.add(weight, 1)
	}
	s.countedWeight = weight
}

// trackMachineType begins to keep what is learned of a kind of servers.
func (b *Balancer) trackMachineType(kind string) {
	if _, known := b.latency.machineTypeIndex[kind]; !known {
		b.latency.machineTypeIndex[kind] = len(b.latency.machineTypeIndex)
		b.latency.machineTypes = append(b.latency.machineTypes, &machineTypeLatency{meanRatio: 1})
	}
}

// dropUnused drops what is known of servers outside the subset that are no longer used.
func (b *Balancer) dropUnused() {
	b.moveWarmedUpToReserve()
	b.retainTracked(b.isInUse)
	b.indexSubset()
}

// isInUse tells whether what is known of a server is still of use.
func (b *Balancer) isInUse(s *endpoint) bool {
	switch {
	case s.inSubset && s.listed, s.inFlight > 0:
		return true
	case !s.listed:
		return false
	}
	return b.now-s.lastProgress <= reserveRetention || b.now < s.ejectedUntil || b.warmUpFraction(s) < 1
}

// dropUnlisted drops servers that are no longer listed, unless attempts are out at them.
func (b *Balancer) dropUnlisted() {
	if !b.endpoints.hasUnlisted {
		return
	}
	b.endpoints.hasUnlisted = false
	b.retainTracked(func(s *endpoint) bool {
		waits := !s.listed && s.inFlight > 0
		b.endpoints.hasUnlisted = b.endpoints.hasUnlisted || waits
		return s.listed || waits
	})
}

// retainTracked drops what is known of all servers but some.
func (b *Balancer) retainTracked(keep func(*endpoint) bool) {
	kept := b.endpoints.tracked[:0]
	for _, s := range b.endpoints.tracked {
		if keep(s) {
			kept = append(kept, s)
		} else {
			b.stopTracking(s)
		}
	}
	clear(b.endpoints.tracked[len(kept):])
	b.endpoints.tracked = kept
}

// stopTracking drops what is known of a server. One that is listed may wait in the reserve.
func (b *Balancer) stopTracking(s *endpoint) {
	delete(b.endpoints.trackedByID, s.ID)
	b.endpoints.subsetDirty = b.endpoints.subsetDirty || s.inSubset
	if at, listed := b.endpoints.list.slotByID[s.ID]; listed {
		b.endpoints.list.entries[at].tracked = false
		b.updateReserve(at)
	}
}
