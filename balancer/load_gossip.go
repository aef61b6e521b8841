package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// news older than that is not told; ages are told in a byte
	loadGossipMaxAge = 4 * time.Second
	peerMessageDelay = 10 * time.Millisecond // that a message takes, at most as a rule
	// time constant with which a load told loses its meaning
	loadGossipDecay = 3 * time.Second
	// servers told of in a message: a few messages go round them all
	maxLoadEntries      = 12
	maxOverQuotaEntries = 5 // customers told of in a message
)

// receiveLoadGossip takes in what another gateway knows of servers, where it is newer.
func (g *Balancer) receiveLoadGossip(b []byte) {
	for ; len(b) >= loadEntryBytes; b = b[loadEntryBytes:] {
		s := g.endpoints.index.byHash[binary.BigEndian.Uint16(b)]
		at := g.now - time.Duration(b[3])*ageUnit - peerMessageDelay
		if s == nil || at <= s.load.reportedAt+ageUnit+peerMessageDelay || g.now-at > loadGossipMaxAge {
			continue // within the precision of ages it may be what is known already
		}
		if b[2] != loadRefusesConnections {
			s.recordGossipedLoad(float64(b[2]&^loadErrorBit), b[2]&loadErrorBit != 0, at)
		} else {
			s.recordGossipedRefusal(g.now, at)
		}
	}
}

// receiveOverQuota takes in news of customers, where it is newer.
func (g *Balancer) receiveOverQuota(b []byte) {
	for ; len(b) >= loadEntryBytes; b = b[loadEntryBytes:] {
		key, at := binary.BigEndian.Uint16(b), g.now-time.Duration(b[3])*ageUnit-peerMessageDelay
		if was, known := g.quotas.overQuotaTenants[key]; !known || at > was.at+ageUnit+peerMessageDelay {
			g.quotas.overQuotaTenants[key] = overQuotaTenant{float64(b[2]) / math.MaxUint8, at}
		}
	}
}

// freshestLoads returns the servers last told of that another gateway's subset holds too, at most n, newest
// first.
func (g *Balancer) freshestLoads(n, node int) []*endpoint {
	var news []*endpoint
	for i := range g.endpoints.index.shared {
		s := &g.endpoints.index.shared[i]
		if s.sharedWith(node) && s.acceptsRequests() && s.load.reportedAt > 0 &&
			g.now-s.load.reportedAt < loadGossipMaxAge {
			news = append(news, s.endpoint)
		}
	}
	slices.SortFunc(news, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(b.load.reportedAt, a.load.reportedAt), cmp.Compare(a.ID, b.ID))
	})
	return news[:min(n, len(news))]
}

// expectedOtherLoad is the number of requests that the server is expected to hold besides this gateway's own:
// what
// was told of it, the less the older that is.
func (b *Balancer) expectedOtherLoad(s *endpoint) float64 {
	switch {
	case !b.ownsQuotas():
		return 0 // its own attempts tell a gateway of a small fleet more, and sooner
	case s.load.requests < 0:
		return 0 // nobody has had an answer from it: it has just come
	}
	age := b.now - s.load.reportedAt
	mean := b.endpoints.meanLoad
	return mean + (s.load.otherNodes-mean)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}
