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
func (b *Balancer) EndpointsUpdated(now time.Duration, form UpdateKind, entries []Endpoint, out Actions) {
	b.now, b.actions = now, out
	if form == UpdateFailed {
		if b.settings.PollEndpoints {
			b.actions.SetTimer(timerPollEndpoints,
				time.Second+time.Duration(b.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != UpdateDelta {
		b.beginSnapshot(len(entries))
	}
	if len(b.endpoints.list.slotByID) == 0 {
		b.resizeSubset(len(entries))
	}
	for i := range entries {
		b.applyEntry(&entries[i])
	}
	if form != UpdateDelta {
		b.endSnapshot()
	}
	b.resizeSubset(len(b.endpoints.list.slotByID))
	b.dropUnlisted()
	b.indexSubset()
}

// beginSnapshot begins a whole list: servers that it does not name are gone.
func (b *Balancer) beginSnapshot(length int) {
	if b.endpoints.list.stale() || len(b.endpoints.list.slotByID) == 0 {
		b.endpoints.list = newEndpointList(length)
	}
	b.endpoints.list.beginSnapshot()
	for _, s := range b.endpoints.tracked {
		s.listed = false
	}
}

// endSnapshot ends a whole list.
func (b *Balancer) endSnapshot() {
	b.endpoints.list.endSnapshot()
	b.endpoints.hasUnlisted = true
	for _, s := range b.endpoints.tracked {
		b.countInSubset(s)
	}
}

// applyEntry takes in one entry of a list.
func (b *Balancer) applyEntry(e *Endpoint) {
	at, listed := b.endpoints.list.find(e.ID)
	switch {
	case listed && !b.endpoints.list.entries[at].tracked && b.endpoints.list.confirm(at, e):
		return
	case e.State != Removed:
		b.listEndpoint(at, listed, *e)
	case listed:
		b.endpoints.list.remove(at)
	}
	if s := b.endpoints.trackedByID[e.ID]; s != nil {
		b.updateTracked(s, *e)
	}
}

// listEndpoint enters what the list says of a server, at its slot if it was listed before.
func (b *Balancer) listEndpoint(at slotIndex, before bool, e Endpoint) {
	if !before {
		at = b.endpoints.list.add(e.ID)
		b.endpoints.list.setEntersAt(at, b.entersAt(e.ID))
		b.endpoints.list.entries[at].tracked = b.endpoints.trackedByID[e.ID] != nil
	}
	b.endpoints.list.update(at, e)
	b.updateMembership(at, before)
	b.updateReserve(at)
}

// subsetsPerEndpointFor is in how many subsets a server is, for a list of a length. Connections cost work,
// and a
// server takes few: gateways that share it are few enough to keep theirs, and to meet it often. By the root,
// a server more takes half as many members from others as it brings; subsets of one size would lose as many.
func (b *Balancer) subsetsPerEndpointFor(length float64) float64 {
	all := float64(b.settings.NodeCount)
	if !b.ownsQuotas() {
		return all
	}
	ratio := all / max(length, 1)
	return min(max(referenceSubsetSize*math.Sqrt(subsetReferenceRatio*ratio), minSubsetSize*ratio,
		minSubsetSize), all)
}

// subsetSize is how many servers a subset has, on average and at least one.
func (b *Balancer) subsetSize() int {
	listed := float64(len(b.endpoints.list.slotByID))
	return max(int(b.endpoints.subsetsPerEndpoint*listed)/b.settings.NodeCount, 1)
}

// entersAt is the number of subsets for each server from which on one is in this gateway's. Servers enter one
// by one as that number grows, each at a fraction of its own, or one server more might change all subsets.
func (b *Balancer) entersAt(id string) float64 {
	if !b.ownsQuotas() {
		return 0
	}
	key := endpointKey(id)
	before := position(key, b.settings.NodeIndex, b.settings.NodeCount, b.endpoints.rankedNodes)
	if before >= b.endpoints.rankedNodes && b.endpoints.rankedNodes < b.settings.NodeCount {
		return never
	}
	return float64(before+1) - fraction(key)
}

// resizeSubset has the subset follow the length of the list.
func (b *Balancer) resizeSubset(length int) {
	n := math.Max(float64(length), 1)
	if b.endpoints.smoothedListLength == 0 {
		b.endpoints.smoothedListLength = n
	}
	b.endpoints.smoothedListLength = min(max(b.endpoints.smoothedListLength, n/listLengthSlack),
		n*listLengthSlack)
	per := b.subsetsPerEndpointFor(b.endpoints.smoothedListLength)
	if per == b.endpoints.subsetsPerEndpoint {
		return
	}
	b.endpoints.subsetsPerEndpoint, b.endpoints.subsetDirty = per, true
	if per+1 > float64(b.endpoints.rankedNodes) {
		b.endpoints.rankedNodes = min(int(rankedNodesFactor*per)+1, b.settings.NodeCount)
		b.endpoints.list.resetEntersAt(b.entersAt)
	}
	for _, at := range b.endpoints.list.subsetCandidates {
		b.updateMembership(at, true)
	}
}

// updateMembership has the subset hold a listed server, or no longer. It may have been listed before.
func (b *Balancer) updateMembership(at slotIndex, before bool) {
	e := &b.endpoints.list.entries[at]
	member := EndpointState(e.state) != Removed && e.entersAt <= b.endpoints.subsetsPerEndpoint
	s := b.trackedAt(at)
	if s == nil && !member || s != nil && s.inSubset == member {
		return
	}
	if s == nil {
		s = b.track(at)
	}
	s.inSubset, b.endpoints.subsetDirty = member, true
	b.countInSubset(s)
	if member && before {
		// Rule 4: others have shared what a cold server may be sent so far.
		s.slowStartTokens, s.slowStartAccruedAt = 0, b.now
	}
	b.updateReserve(at)
}

// updateReserve puts a server into the reserve or takes it out: what waits there is unknown, takes work and
// is warm.
func (b *Balancer) updateReserve(at slotIndex) {
	e := &b.endpoints.list.entries[at]
	waits := EndpointState(e.state) == Up && !e.tracked
	warmAt := e.startedAt + b.settings.SlowStartDuration
	switch {
	case !waits:
		b.endpoints.list.removeFromReserve(at)
	case e.startedAt != 0 && warmAt > b.now:
		b.endpoints.list.removeFromReserve(at)
		b.endpoints.list.queueWarmUp(at, warmAt)
	default:
		b.endpoints.list.addToReserve(at)
	}
}

// moveWarmedUpToReserve puts the servers into the reserve that have become warm.
func (b *Balancer) moveWarmedUpToReserve() {
	for at, ok := b.endpoints.list.nextWarmedUp(b.now); ok; at, ok = b.endpoints.list.nextWarmedUp(b.now) {
		b.updateReserve(at)
	}
}
