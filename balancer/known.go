package balancer

// Of which servers more is kept than what the list says. Which these are is decided in subset.go.

// beginSnapshot begins a whole list: servers that it does not name are gone.
func (g *Balancer) beginSnapshot(length int) {
	if g.list.stale() || len(g.list.slotByID) == 0 {
		g.list = newEndpointList(length)
	}
	g.list.beginSnapshot()
	for _, s := range g.tracked {
		s.listed = false
	}
}

// endSnapshot ends a whole list.
func (g *Balancer) endSnapshot() {
	g.list.endSnapshot()
	g.hasUnlisted = true
	for _, s := range g.tracked {
		g.countInSubset(s)
	}
}

// applyEntry takes in one entry of a list.
func (g *Balancer) applyEntry(e *Endpoint) {
	at, listed := g.list.find(e.ID)
	switch {
	case listed && !g.list.entries[at].tracked && g.list.confirm(at, e):
		return
	case e.State != Removed:
		g.listEndpoint(at, listed, *e)
	case listed:
		g.list.remove(at)
	}
	if s := g.trackedByID[e.ID]; s != nil {
		g.updateTracked(s, *e)
	}
}

// listEndpoint enters what the list says of a server, at its slot if it was listed before.
func (g *Balancer) listEndpoint(at slotIndex, before bool, e Endpoint) {
	if !before {
		at = g.list.add(e.ID)
		g.list.setEntersAt(at, g.entersAt(e.ID))
		g.list.entries[at].tracked = g.trackedByID[e.ID] != nil
	}
	g.list.update(at, e)
	g.updateMembership(at, before)
	g.updateReserve(at)
}

// updateTracked takes over what the list says of a server that is known.
func (g *Balancer) updateTracked(s *endpoint, e Endpoint) {
	if s.StartedAt != e.StartedAt {
		// A restarted server is another one: nothing learned of it holds.
		s.errorRate, s.consecutiveEjections, s.ejectedUntil, s.latencyRatio, s.reportedQueue,
			s.slowStartTokens, s.unreachable = 0, 0, 0, 1, -1, -1, false
		s.reportedLoad, s.loadReportedAt, s.refusesConnections, s.lastResponseFailed = -1, 0, false, false
	}
	g.trackMachineType(e.MachineType)
	s.Endpoint, s.listed = e, e.State != Removed
	g.hasUnlisted = g.hasUnlisted || !s.listed
	g.countInSubset(s)
}

// trackedAt returns what is known of a listed server, nil where that is nothing more than what the list says.
func (g *Balancer) trackedAt(at slotIndex) *endpoint {
	if e := &g.list.entries[at]; e.tracked {
		return g.trackedByID[e.id]
	}
	return nil
}

// track begins to keep what is learned of a listed server.
func (g *Balancer) track(at slotIndex) *endpoint {
	e := g.list.endpointAt(at)
	s := &endpoint{Endpoint: e, latencyRatio: 1, reportedQueue: -1, slowStartTokens: -1, reportedLoad: -1,
		listed: true, rendezvousKey: endpointKey(e.ID)}
	s.shortHash = shortEndpointHash(e.ID)
	g.trackedByID[e.ID] = s
	g.list.entries[at].tracked = true
	g.tracked = append(g.tracked, s)
	g.trackMachineType(e.MachineType)
	return s
}

// countInSubset keeps the weights of the subset's servers that take work.
func (g *Balancer) countInSubset(s *endpoint) {
	weight := 0.0
	if s.inSubset && s.acceptsRequests() {
		weight = g.weight(s)
	}
	if weight == s.countedWeight {
		return
	}
	if s.countedWeight > 0 {
		g.subsetWeights.add(s.countedWeight, -1)
	}
	if weight > 0 {
		g.subsetWeights.add(weight, 1)
	}
	s.countedWeight = weight
}

// trackMachineType begins to keep what is learned of a kind of servers.
func (g *Balancer) trackMachineType(kind string) {
	if _, known := g.machineTypeIndex[kind]; !known {
		g.machineTypeIndex[kind] = len(g.machineTypeIndex)
		g.machineTypeLatencies = append(g.machineTypeLatencies, &machineTypeLatency{meanRatio: 1})
	}
}

// updateReserve puts a server into the reserve or takes it out: what waits there is unknown, takes work and
// is warm.
func (g *Balancer) updateReserve(at slotIndex) {
	e := &g.list.entries[at]
	waits := EndpointState(e.state) == Up && !e.tracked
	warmAt := e.startedAt + g.settings.SlowStartDuration
	switch {
	case !waits:
		g.list.removeFromReserve(at)
	case e.startedAt != 0 && warmAt > g.now:
		g.list.removeFromReserve(at)
		g.list.queueWarmUp(at, warmAt)
	default:
		g.list.addToReserve(at)
	}
}

// moveWarmedUpToReserve puts the servers into the reserve that have become warm.
func (g *Balancer) moveWarmedUpToReserve() {
	for at, ok := g.list.nextWarmedUp(g.now); ok; at, ok = g.list.nextWarmedUp(g.now) {
		g.updateReserve(at)
	}
}

// sharedEndpoint is a server of the subset with what tells whether another gateway's subset holds it.
type sharedEndpoint struct {
	rendezvousKey, lastSubsetRank uint64
	*endpoint
}

// recordSharers notes which gateways' subsets hold a server of this one's.
func (g *Balancer) recordSharers(s *endpoint) {
	if first := int(g.subsetsPerEndpoint + fraction(s.rendezvousKey)); first != s.subsetsWithIt &&
		g.ownsQuotas() {
		s.subsetsWithIt, s.lastSubsetRank = first, lastRank(s.rendezvousKey, g.settings.NodeCount, first)
	}
	g.sharedEndpoints = append(g.sharedEndpoints, sharedEndpoint{s.rendezvousKey, s.lastSubsetRank, s})
}

// dropUnused drops what is known of servers outside the subset that are no longer used.
func (g *Balancer) dropUnused() {
	g.moveWarmedUpToReserve()
	g.retainTracked(g.isInUse)
	g.indexSubset()
}

// dropUnlisted drops servers that are no longer listed, unless attempts are out at them.
func (g *Balancer) dropUnlisted() {
	if !g.hasUnlisted {
		return
	}
	g.hasUnlisted = false
	g.retainTracked(func(s *endpoint) bool {
		waits := !s.listed && s.inFlight > 0
		g.hasUnlisted = g.hasUnlisted || waits
		return s.listed || waits
	})
}

// retainTracked drops what is known of all servers but some.
func (g *Balancer) retainTracked(keep func(*endpoint) bool) {
	kept := g.tracked[:0]
	for _, s := range g.tracked {
		if keep(s) {
			kept = append(kept, s)
		} else {
			g.stopTracking(s)
		}
	}
	clear(g.tracked[len(kept):])
	g.tracked = kept
}

// stopTracking drops what is known of a server. One that is listed may wait in the reserve.
func (g *Balancer) stopTracking(s *endpoint) {
	delete(g.trackedByID, s.ID)
	g.subsetDirty = g.subsetDirty || s.inSubset
	if at, listed := g.list.slotByID[s.ID]; listed {
		g.list.entries[at].tracked = false
		g.updateReserve(at)
	}
}

// indexSubset holds by which names news has the servers of the subset, and which gateways share them, after
// the
// subset has changed.
func (g *Balancer) indexSubset() {
	if !g.subsetDirty {
		return
	}
	g.subsetDirty = false
	clear(g.subsetByHash)
	g.sharedEndpoints = g.sharedEndpoints[:0]
	for _, s := range g.tracked {
		if s.inSubset {
			g.indexByHash(s)
			g.recordSharers(s)
		}
	}
}

// indexByHash enters a server of the subset by its name in news. Two that share one are known by neither.
func (g *Balancer) indexByHash(s *endpoint) {
	if _, shared := g.subsetByHash[s.shortHash]; shared {
		g.subsetByHash[s.shortHash] = nil
		return
	}
	g.subsetByHash[s.shortHash] = s
}

// Stats tells how much a gateway holds.
type Stats struct {
	ListedEndpoints  int // servers in the list
	SubsetEndpoints  int // of these, those in the subset
	TrackedEndpoints int // servers of which more is kept than what the list says
	HashCollisions   int // servers of the subset that news can't name, as another has the same short hash
}

// Stats returns how much the gateway holds now.
func (g *Balancer) Stats() Stats {
	st := Stats{ListedEndpoints: len(g.list.slotByID), TrackedEndpoints: len(g.tracked)}
	for _, s := range g.tracked {
		if s.inSubset && s.listed {
			st.SubsetEndpoints++
			st.HashCollisions += int(oneIf(g.subsetByHash[s.shortHash] == nil))
		}
	}
	return st
}
