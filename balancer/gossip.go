package balancer

import (
	"math"
	"time"
)

const (
	minGossipInterval = 40 * time.Millisecond // shortest gap between tells
	// gap between tells as a multiple of what the inbox limit allows
	gossipIntervalSlack = 1.3
	// gaps between tells after which a level told is forgotten
	maxMissedGossipIntervals = 10
)

// maxNewEntryBytes is the bytes of new entries in a tell; the repeat follows if it fits.
const maxNewEntryBytes = 180

// peerState is the state of tells to and from one peer.
type peerState struct {
	sentSequence            uint64
	previousEntries         []byte // entries of the last tell
	previousEntryCount      int
	received                bool
	epoch                   uint64
	previousEpoch           uint64
	receivedSequence        uint64
	unansweredQuotaRequests int // asks since its last answer
}

// PeerMessage brings a message of another gateway. A malformed one is ignored whole.
func (g *Balancer) PeerMessage(now time.Duration, from int, message []byte, out Actions) {
	g.now, g.actions = now, out
	if from < 0 || from >= len(g.peers) || from == g.settings.NodeIndex || len(message) == 0 {
		return
	}
	g.peerMessages++
	g.consecutiveUnanswered, g.lastPeerMessage = 0, now
	if message[0] != kindGossip {
		g.receiveQuotaMessage(from, message)
		return
	}
	g.receiveGossip(from, message)
}

// receiveGossip takes in a tell, by its number and that of the sender's process.
func (g *Balancer) receiveGossip(from int, message []byte) {
	epoch, seq, cur, prev, ok := g.decodeGossip(message)
	p := &g.peers[from]
	if !ok || p.received && epoch == p.previousEpoch && epoch != p.epoch {
		return
	}
	if !p.received || epoch != p.epoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.previousEpoch, p.epoch, p.receivedSequence, p.received = p.epoch, epoch, 0, true
	}
	if seq <= p.receivedSequence {
		return
	}
	if seq > p.receivedSequence+1 {
		g.applyGossipEntries(from, prev)
	}
	p.receivedSequence = seq
	g.applyGossipEntries(from, cur)
}

func (g *Balancer) applyGossipEntries(from int, es []gossipEntry) {
	for _, e := range es {
		if st := g.quotas[e.tenant]; st != nil && st.plan != e.plan {
			continue
		}
		st := g.quotaFor(e.tenant, e.plan, e.entryNodes, e.firstEntryNode)
		if g.settings.Plans[e.plan].Rate > 0 {
			st.tokens = math.Max(st.tokens-e.units, -g.settings.Plans[e.plan].Burst)
		}
		if g.settings.Plans[e.plan].MaxConcurrent > 0 {
			if st.peerInFlight == nil {
				st.peerInFlight = make([]peerInFlight, g.settings.NodeCount)
			}
			st.peerInFlight[from] = peerInFlight{e.inFlight, g.now}
		}
	}
}

// gossip tells each peer of the stores whose sets it is in, and returns the most messages that one was sent.
func (g *Balancer) gossip() (most int) {
	for i := range g.peers {
		if i != g.settings.NodeIndex {
			most = max(most, g.gossipTo(i, func(st *quotaBucket) bool {
				return g.isEntryNode(i,
					st.firstEntryNode, st.entryNodes)
			}))
		}
	}
	kept := g.unreported[:0]
	for _, st := range g.unreported {
		st.unreportedUnits -= math.Round(st.unreportedUnits)
		st.acquiredSinceGossip, st.startedSinceGossip = 0, 0
		if st.idleReports++; st.inFlight > 0 {
			st.idleReports = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.dirty = g.settings.Plans[st.plan].MaxConcurrent > 0 && st.idleReports < 3; st.dirty {
			kept = append(kept, st)
		}
	}
	g.unreported = kept
	return most
}

// gossipTo packs the stores to tell that about chooses, in as many messages as it takes, and returns their
// number.
func (g *Balancer) gossipTo(peer int, about func(*quotaBucket) bool) (sent int) {
	p, n := &g.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.previousEntryCount > 0 {
			p.sentSequence++
			g.actions.SendPeer(peer, encodeGossip(g.epoch, p.sentSequence, n, body, p.previousEntryCount,
				p.previousEntries))
			p.previousEntries, p.previousEntryCount, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range g.unreported {
		if about(st) {
			n++
			if body = g.appendEntry(body, st); len(body) > maxNewEntryBytes-maxEntryBytes {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}

func (g *Balancer) markUnreported(st *quotaBucket) {
	if !st.dirty && !st.owned && g.settings.Gossip && g.settings.NodeCount > 1 {
		st.dirty = true
		g.unreported = append(g.unreported, st)
	}
}

// ownsQuotas tells whether the fleet is so large that tells to all of it come too late to go by.
func (g *Balancer) ownsQuotas() bool {
	return g.settings.Gossip && g.gossipInterval > assessmentIntervals*controlInterval
}

// receiveQuotaMessage takes an ask of a member, the answer of a holder, or what a member gives back.
func (g *Balancer) receiveQuotaMessage(from int, message []byte) {
	m, ok := g.decodeQuotaMessage(message)
	if !ok {
		return
	}
	if m.kind == kindQuotaRequest || m.kind == kindQuotaGrant {
		g.overload.mixIntoPool(peerPoolSmoothing, m.pooledMeans)
		g.receiveOverQuota(m.overQuota)
		g.receiveLoadGossip(m.loadGossip)
	}
	switch m.kind {
	case kindQuotaRequest:
		g.answerQuotaRequest(from, m)
	case kindQuotaGrant:
		g.receiveQuotaGrant(from, m)
	case kindReconciliation:
		if st := g.quotas[m.tenant]; st != nil && st.owned &&
			g.isEntryNode(from, st.firstEntryNode, st.entryNodes) {
			g.refill(st)
			st.tokens = st.clampTokens(st.tokens+st.reconcile(from, m), g.settings.Plans[st.plan].Burst)
		}
	case kindQuotaRelease:
		if st := g.quotas[m.tenant]; st != nil && st.owned {
			g.refill(st)
			st.tokens = math.Min(st.tokens+m.units, g.settings.Plans[st.plan].Burst/st.ownerCount)
			st.dropConcurrencyLeases(func(l concurrencyLease) bool {
				return l.from == from &&
					l.number == m.number
			})
		}
	}
}
