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
		s := g.endpoints.subsetByHash[binary.BigEndian.Uint16(b)]
		at := g.now - time.Duration(b[3])*ageUnit - peerMessageDelay
		if s == nil || at <= s.loadReportedAt+ageUnit+peerMessageDelay || g.now-at > loadGossipMaxAge {
			continue // within the precision of ages it may be what is known already
		}
		if b[2] != loadRefusesConnections {
			s.recordLoad(float64(b[2]&^loadErrorBit), at)
			s.lastResponseFailed = b[2]&loadErrorBit != 0
			s.errorRate += errorSmoothing * (oneIf(s.lastResponseFailed) - s.errorRate)
		} else if s.loadReportedAt, s.refusesConnections = at, true; g.now >= s.ejectedUntil {
			g.eject(s)
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
	for i := range g.endpoints.shared {
		s := &g.endpoints.shared[i]
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

// expectedOtherLoad is the number of requests that the server is expected to hold besides this gateway's own:
// what
// was told of it, the less the older that is.
func (b *Balancer) expectedOtherLoad(s *endpoint) float64 {
	switch {
	case !b.ownsQuotas():
		return 0 // its own attempts tell a gateway of a small fleet more, and sooner
	case s.reportedLoad < 0:
		return 0 // nobody has had an answer from it: it has just come
	}
	age := b.now - s.loadReportedAt
	mean := b.endpoints.meanLoad
	return mean + (s.otherNodesLoad-mean)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}

// sharedEndpoint is a server of the subset with what tells whether another gateway's subset holds it.
type sharedEndpoint struct {
	rendezvousKey, lastSubsetRank uint64
	*endpoint
}

// recordSharers notes which gateways' subsets hold a server of this one's.
func (b *Balancer) recordSharers(s *endpoint) {
	if first := int(b.endpoints.subsetsPerEndpoint + fraction(s.rendezvousKey)); first != s.subsetsWithIt &&
		b.ownsQuotas() {
		s.subsetsWithIt, s.lastSubsetRank = first, lastRank(s.rendezvousKey, b.settings.NodeCount, first)
	}
	b.endpoints.shared = append(b.endpoints.shared, sharedEndpoint{s.rendezvousKey, s.lastSubsetRank, s})
}

// indexSubset holds by which names news has the servers of the subset, and which gateways share them, after
// the
// subset has changed.
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

// indexByHash enters a server of the subset by its name in news. Two that share one are known by neither.
func (b *Balancer) indexByHash(s *endpoint) {
	if _, shared := b.endpoints.subsetByHash[s.shortHash]; shared {
		b.endpoints.subsetByHash[s.shortHash] = nil
		return
	}
	b.endpoints.subsetByHash[s.shortHash] = s
}
