package balancer

import (
	"cmp"
	"time"
)

const (
	// loadGossipMaxAge is the age from which a load is not passed on; it fits the byte of an age.
	loadGossipMaxAge = 4 * time.Second
	// peerMessageDelay is the time that a message takes between nodes, at most as a rule.
	peerMessageDelay = 10 * time.Millisecond
	// maxLoadEntries bounds the loads in one message: a few messages cover all endpoints.
	maxLoadEntries = 12
)

// receiveLoads records what another node reports of endpoints, where it is newer than what is known here.
func (b *Balancer) receiveLoads(loads []peerLoad) {
	for i := range loads {
		load := &loads[i]
		endpoint := b.endpoints.index.find(load.endpointHash)
		at := b.now - load.age - peerMessageDelay
		if endpoint == nil || !endpoint.load.olderThan(at) || b.now-at > loadGossipMaxAge {
			continue
		}
		if load.status == peerLoadRefusesConnections {
			endpoint.recordPeerRefusal(b.now, at)
		} else {
			endpoint.recordPeerLoad(load.load, load.status == peerLoadFailed, at)
		}
	}
}

// olderThan reports whether a load of that time is newer than what is known. Within the precision of ages it
// may be the same.
func (l *endpointLoad) olderThan(at time.Duration) bool {
	return at > l.reportedAt+ageUnit+peerMessageDelay
}

// isFresh reports whether the load is passed on to other nodes.
func (l *endpointLoad) isFresh(now time.Duration) bool {
	return l.reportedAt > 0 && now-l.reportedAt < loadGossipMaxAge
}

// peerLoad is what this node reports of the endpoint.
func (s *endpoint) peerLoad(now time.Duration) peerLoad {
	load := peerLoad{endpointHash: s.shortHash, load: s.load.requests, age: now - s.load.reportedAt}
	switch {
	case s.load.refusesConnections:
		load.status = peerLoadRefusesConnections
	case s.load.lastResponseFailed:
		load.status = peerLoadFailed
	}
	return load
}

// appendFreshestLoads appends the loads to report to another node.
func (b *Balancer) appendFreshestLoads(loads []peerLoad, node int) []peerLoad {
	var buffer [maxLoadEntries]*endpoint
	for _, endpoint := range b.endpoints.index.freshest(&buffer, node, b.now) {
		loads = append(loads, endpoint.peerLoad(b.now))
	}
	return loads
}

// freshest returns the endpoints with the newest loads that are in the other node's subset too, as many
// as fit into a message, the newest first.
func (i *subsetIndex) freshest(
	buffer *[maxLoadEntries]*endpoint, node int, now time.Duration,
) []*endpoint {
	freshest := buffer[:0]
	for position := range i.shared {
		shared := &i.shared[position]
		if shared.sharedWith(node) && shared.acceptsRequests() && shared.load.isFresh(now) {
			freshest = insertBounded(freshest, shared.endpoint, maxLoadEntries, compareReportTimes)
		}
	}
	return freshest
}

func compareReportTimes(a, b *endpoint) int {
	return cmp.Or(cmp.Compare(b.load.reportedAt, a.load.reportedAt), cmp.Compare(a.ID, b.ID))
}

// expectedOtherLoad is the number of requests that the endpoint is expected to have in flight besides this
// node's own: what was reported of it, the less the older that is.
func (b *Balancer) expectedOtherLoad(s *endpoint) float64 {
	if !b.ownsQuotas() {
		return 0 // In a small fleet a node's own attempts show more, and sooner.
	}
	return s.load.expectedOtherNodes(b.now, b.endpoints.meanLoad)
}
