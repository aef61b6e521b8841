package balancer

import (
	"cmp"
	"time"
)

const (
	// loadGossipMaxAge is the age from which loads and over-quota reports are no longer sent. Received loads
	// that are older are ignored. It must fit into an encoded age, which is one byte in units of [ageUnit].
	loadGossipMaxAge = 4 * time.Second
	// peerMessageDelay is the delay of a message between nodes that is rarely exceeded. It is added to the
	// age of received reports.
	peerMessageDelay = 10 * time.Millisecond
	// maxLoadEntries is the maximum number of loads in one message. A few messages cover the endpoints of
	// a subset.
	maxLoadEntries = 12
)

// receiveLoads records the loads that another node reports, if they are newer than the known ones. It
// ignores hashes that match no endpoint of this node's subset or several.
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

// olderThan reports whether the known load is older than one that was reported at the given time. A
// difference within the precision of encoded ages does not count, because both may be the same report.
func (l *endpointLoad) olderThan(at time.Duration) bool {
	return at > l.reportedAt+ageUnit+peerMessageDelay
}

// isFresh reports whether the load is recent enough to be sent to other nodes.
func (l *endpointLoad) isFresh(now time.Duration) bool {
	return l.reportedAt > 0 && now-l.reportedAt < loadGossipMaxAge
}

// peerLoad returns the load of the endpoint as this node reports it to others.
func (e *endpoint) peerLoad(now time.Duration) peerLoad {
	load := peerLoad{endpointHash: e.shortHash, load: e.load.requests, age: now - e.load.reportedAt}
	switch {
	case e.load.refusesConnections:
		load.status = peerLoadRefusesConnections
	case e.load.lastResponseFailed:
		load.status = peerLoadFailed
	}
	return load
}

// appendFreshestLoads appends the newest loads that are useful to another node, the newest first.
func (b *Balancer) appendFreshestLoads(loads []peerLoad, node int) []peerLoad {
	var buffer [maxLoadEntries]*endpoint
	for _, endpoint := range b.endpoints.index.freshest(&buffer, node, b.now) {
		loads = append(loads, endpoint.peerLoad(b.now))
	}
	return loads
}

// freshest returns the endpoints with the newest loads, at most [maxLoadEntries] and the newest first. The
// endpoints accept requests and are in the subsets of both nodes.
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

// expectedOtherLoad estimates the number of requests that other nodes have in flight at the endpoint. A
// reported load loses weight with its age, in favor of the mean of the known loads. The estimate is 0 in a
// small fleet, and for an endpoint without a reported load.
func (b *Balancer) expectedOtherLoad(e *endpoint) float64 {
	if !b.hasQuotaOwners() {
		return 0 // In a small fleet a node's own attempts give better and earlier information.
	}
	return e.load.expectedOtherRequests(b.now, b.endpoints.meanLoad)
}
