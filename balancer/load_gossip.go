package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// loadGossipMaxAge is the age from which a load is not passed on; it fits the byte of an age.
	loadGossipMaxAge = 4 * time.Second
	// peerMessageDelay is the time that a message takes between nodes, at most as a rule.
	peerMessageDelay = 10 * time.Millisecond
	// loadGossipDecay is the time constant with which a reported load loses its meaning.
	loadGossipDecay = 3 * time.Second
	// maxLoadEntries bounds the loads in one message: a few messages cover all endpoints.
	maxLoadEntries = 12
)

// receiveLoads takes in what another node knows of endpoints, where it is newer than what is known here.
func (b *Balancer) receiveLoads(loads []peerLoad) {
	for i := range loads {
		load := &loads[i]
		endpoint := b.endpoints.subsetByHash[load.endpointHash]
		at := b.now - load.age - peerMessageDelay
		// Within the precision of ages a load may be what is known already.
		if endpoint == nil || at <= endpoint.loadReportedAt+ageUnit+peerMessageDelay ||
			b.now-at > loadGossipMaxAge {
			continue
		}
		endpoint.recordPeerLoad(load, at)
		if load.status == peerLoadRefusesConnections && b.now >= endpoint.ejectedUntil {
			b.eject(endpoint)
		}
	}
}

// recordPeerLoad takes in what another node learned of the endpoint.
func (s *endpoint) recordPeerLoad(load *peerLoad, at time.Duration) {
	if load.status == peerLoadRefusesConnections {
		s.loadReportedAt, s.refusesConnections = at, true
		return
	}
	s.recordLoad(load.load, at)
	s.lastResponseFailed = load.status == peerLoadFailed
	s.errorRate += errorSmoothing * (oneIf(s.lastResponseFailed) - s.errorRate)
}

// peerLoad is what this node tells others of the endpoint.
func (s *endpoint) peerLoad(now time.Duration) peerLoad {
	load := peerLoad{endpointHash: s.shortHash, load: s.reportedLoad, age: now - s.loadReportedAt}
	switch {
	case s.refusesConnections:
		load.status = peerLoadRefusesConnections
	case s.lastResponseFailed:
		load.status = peerLoadFailed
	}
	return load
}

// appendFreshestLoads appends the loads to tell another node.
func (b *Balancer) appendFreshestLoads(loads []peerLoad, node int) []peerLoad {
	var buffer [maxLoadEntries]*endpoint
	for _, endpoint := range b.freshestLoads(&buffer, node) {
		loads = append(loads, endpoint.peerLoad(b.now))
	}
	return loads
}

// freshestLoads returns the endpoints with the newest loads that are in the other node's subset too, as many
// as fit into a message, the newest first.
func (b *Balancer) freshestLoads(buffer *[maxLoadEntries]*endpoint, node int) []*endpoint {
	freshest := buffer[:0]
	for i := range b.endpoints.shared {
		shared := &b.endpoints.shared[i]
		if rank(shared.rendezvousKey, node) <= shared.lastSubsetRank && shared.acceptsRequests() &&
			shared.loadReportedAt > 0 && b.now-shared.loadReportedAt < loadGossipMaxAge {
			freshest = insertBounded(freshest, shared.endpoint, maxLoadEntries, compareReportTimes)
		}
	}
	return freshest
}

func compareReportTimes(a, b *endpoint) int {
	return cmp.Or(cmp.Compare(b.loadReportedAt, a.loadReportedAt), cmp.Compare(a.ID, b.ID))
}

// expectedOtherLoad is the number of requests that the endpoint is expected to have in flight besides this
// node's own: what was reported of it, the less the older that is.
func (b *Balancer) expectedOtherLoad(s *endpoint) float64 {
	switch {
	case !b.ownsQuotas():
		return 0 // In a small fleet a node's own attempts tell it more, and sooner.
	case s.reportedLoad < 0:
		return 0 // It is new: no node has had a response from it.
	}
	age := b.now - s.loadReportedAt
	mean := b.endpoints.meanLoad
	return mean + (s.otherNodesLoad-mean)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}

// sharedEndpoint is an endpoint of the subset with what tells whether it is in another node's subset.
type sharedEndpoint struct {
	rendezvousKey, lastSubsetRank uint64
	*endpoint
}

// indexSubset notes the hashes by which load gossip names the endpoints of the subset, and which nodes share
// them, after the subset has changed.
func (b *Balancer) indexSubset() {
	if !b.endpoints.subsetDirty {
		return
	}
	b.endpoints.subsetDirty = false
	clear(b.endpoints.subsetByHash)
	b.endpoints.shared = b.endpoints.shared[:0]
	for _, s := range b.endpoints.tracked {
		if s.inSubset {
			b.indexByHash(s)
			b.recordSharers(s)
		}
	}
}

// indexByHash enters an endpoint of the subset by its hash. Two that share one are found by neither.
func (b *Balancer) indexByHash(s *endpoint) {
	if _, shared := b.endpoints.subsetByHash[s.shortHash]; shared {
		b.endpoints.subsetByHash[s.shortHash] = nil
		return
	}
	b.endpoints.subsetByHash[s.shortHash] = s
}

// recordSharers notes which nodes' subsets hold an endpoint of this node's.
func (b *Balancer) recordSharers(s *endpoint) {
	if first := int(b.endpoints.subsetsPerEndpoint + fraction(s.rendezvousKey)); first != s.subsetsWithIt &&
		b.ownsQuotas() {
		s.subsetsWithIt, s.lastSubsetRank = first, lastRank(s.rendezvousKey, b.settings.NodeCount, first)
	}
	b.endpoints.shared = append(b.endpoints.shared, sharedEndpoint{s.rendezvousKey, s.lastSubsetRank, s})
}
