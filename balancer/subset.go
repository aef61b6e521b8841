package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The subset. Each gateway of a large fleet sends to a subset of the servers, so that its work costs the
// same however long the list is. Subsets come from rendezvous hashing: a server is in those of the first
// gateways in its own order. The others are the reserve, for when none of the subset is in service: one is
// drawn, and is known while it is used. A small fleet's subsets hold all servers.

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
	maxReserveSamples = 4 // draws from the reserve for one that is accepted by its weight
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

// freshestLoads returns the servers last told of that another gateway's subset holds too, at most n, newest
// first.
func (g *Balancer) freshestLoads(n, node int) []*endpoint {
	var news []*endpoint
	for i := range g.sharedEndpoints {
		s := &g.sharedEndpoints[i]
		if rank(s.rendezvousKey, node) <= s.lastSubsetRank && s.acceptsRequests() && s.loadReportedAt > 0 &&
			g.now-s.loadReportedAt < loadGossipMaxAge {
			news = append(news, s.endpoint)
		}
	}
	slices.SortFunc(news, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(b.loadReportedAt, a.loadReportedAt), cmp.Compare(a.ID, b.ID))
	})
	return news[:min(n, len(news))]
}

// sampleReserve returns a server of the reserve that the request may go to, or nil.
func (g *Balancer) sampleReserve(r *request) *endpoint {
	g.moveWarmedUpToReserve()
	from := g.list.reserve
	for i := range r.attempts { // a keyed request that may have run stays where its repeats are dropped
		a, c := &r.attempts[i], &g.settings.Classes[r.class]
		switch {
		case a.neverRan || c.Idempotency != IdempotentWithKey:
		case c.DedupScope == DedupZone:
			from = g.list.reserveInZone(a.zone)
		case c.DedupScope == DedupCell:
			from = g.list.reserveInCell(a.cell)
		}
	}
	if len(from) == 0 {
		return nil
	}
	at := from[g.rng.IntN(len(from))]
	for n := 1; n < maxReserveSamples &&
		g.rng.Float64()*g.list.activeWeights.largest > g.list.weight(at); n++ {
		at = from[g.rng.IntN(len(from))]
	}
	if !g.mayAttempt(r, &endpoint{Endpoint: g.list.endpointAt(at)}) {
		return nil
	}
	s := g.track(at)
	s.lastProgress = g.now
	g.updateReserve(at)
	return s
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
