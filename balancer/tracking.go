package balancer

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

// dropUnused drops what is known of servers outside the subset that are no longer used.
func (g *Balancer) dropUnused() {
	g.moveWarmedUpToReserve()
	g.retainTracked(g.isInUse)
	g.indexSubset()
}

// isInUse tells whether what is known of a server is still of use.
func (g *Balancer) isInUse(s *endpoint) bool {
	switch {
	case s.inSubset && s.listed, s.inFlight > 0:
		return true
	case !s.listed:
		return false
	}
	return g.now-s.lastProgress <= reserveRetention || g.now < s.ejectedUntil || g.warmUpFraction(s) < 1
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
