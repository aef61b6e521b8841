package balancer

import (
	"math"
	"time"
)

const (
	// servers in a subset, on average, with usualRatio gateways to a server
	referenceSubsetSize = 12
	// subsets of other fleets go with the root of the servers to a gateway
	subsetReferenceRatio = 1.5
	// servers in a subset, on average, and subsets that hold each server
	minSubsetSize = 3
	// factor by which the list may be longer or shorter before subsets follow
	listLengthSlack = 1.25
	// times the subsets of a server for which its entry is worked out ahead
	rankedNodesFactor = 2
	// for which a server of the reserve stays known when it is no longer used
	reserveRetention = 5 * time.Second
)

// EndpointsUpdated brings the list of servers or changes of it.
func (g *Balancer) EndpointsUpdated(now time.Duration, form UpdateKind, entries []Endpoint, out Actions) {
	g.now, g.actions = now, out
	if form == UpdateFailed {
		if g.settings.PollEndpoints {
			g.actions.SetTimer(timerPollEndpoints,
				time.Second+time.Duration(g.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != UpdateDelta {
		g.beginSnapshot(len(entries))
	}
	if len(g.list.slotByID) == 0 {
		g.resizeSubset(len(entries))
	}
	for i := range entries {
		g.applyEntry(&entries[i])
	}
	if form != UpdateDelta {
		g.endSnapshot()
	}
	g.resizeSubset(len(g.list.slotByID))
	g.dropUnlisted()
	g.indexSubset()
}

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

// subsetsPerEndpointFor is in how many subsets a server is, for a list of a length. Connections cost work,
// and a
// server takes few: gateways that share it are few enough to keep theirs, and to meet it often. By the root,
// a server more takes half as many members from others as it brings; subsets of one size would lose as many.
func (g *Balancer) subsetsPerEndpointFor(length float64) float64 {
	all := float64(g.settings.NodeCount)
	if !g.ownsQuotas() {
		return all
	}
	ratio := all / max(length, 1)
	return min(max(referenceSubsetSize*math.Sqrt(subsetReferenceRatio*ratio), minSubsetSize*ratio,
		minSubsetSize), all)
}

// subsetSize is how many servers a subset has, on average and at least one.
func (g *Balancer) subsetSize() int {
	return max(int(g.subsetsPerEndpoint*float64(len(g.list.slotByID)))/g.settings.NodeCount, 1)
}

// entersAt is the number of subsets for each server from which on one is in this gateway's. Servers enter one
// by one as that number grows, each at a fraction of its own, or one server more might change all subsets.
func (g *Balancer) entersAt(id string) float64 {
	if !g.ownsQuotas() {
		return 0
	}
	key := endpointKey(id)
	before := position(key, g.settings.NodeIndex, g.settings.NodeCount, g.rankedNodes)
	if before >= g.rankedNodes && g.rankedNodes < g.settings.NodeCount {
		return never
	}
	return float64(before+1) - fraction(key)
}

// resizeSubset has the subset follow the length of the list.
func (g *Balancer) resizeSubset(length int) {
	n := math.Max(float64(length), 1)
	if g.smoothedListLength == 0 {
		g.smoothedListLength = n
	}
	g.smoothedListLength = min(max(g.smoothedListLength, n/listLengthSlack), n*listLengthSlack)
	per := g.subsetsPerEndpointFor(g.smoothedListLength)
	if per == g.subsetsPerEndpoint {
		return
	}
	g.subsetsPerEndpoint, g.subsetDirty = per, true
	if per+1 > float64(g.rankedNodes) {
		g.rankedNodes = min(int(rankedNodesFactor*per)+1, g.settings.NodeCount)
		g.list.resetEntersAt(g.entersAt)
	}
	for _, at := range g.list.subsetCandidates {
		g.updateMembership(at, true)
	}
}

// updateMembership has the subset hold a listed server, or no longer. It may have been listed before.
func (g *Balancer) updateMembership(at slotIndex, before bool) {
	e := &g.list.entries[at]
	member := EndpointState(e.state) != Removed && e.entersAt <= g.subsetsPerEndpoint
	s := g.trackedAt(at)
	if s == nil && !member || s != nil && s.inSubset == member {
		return
	}
	if s == nil {
		s = g.track(at)
	}
	s.inSubset, g.subsetDirty = member, true
	g.countInSubset(s)
	if member && before {
		// Rule 4: others have shared what a cold server may be sent so far.
		s.slowStartTokens, s.slowStartAccruedAt = 0, g.now
	}
	g.updateReserve(at)
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
