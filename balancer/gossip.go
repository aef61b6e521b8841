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

// gossipState is the state of the exchange of messages with the other nodes.
type gossipState struct {
	epoch                 uint64 // of this process: tells its sequence numbers from those before a restart
	peers                 []peerState
	interval              time.Duration
	unreported            []*quotaBucket // buckets with something to report
	consecutiveUnanswered int            // quota requests without a grant since the last message
	lastMessage           time.Duration  // when that came
	messages              float64        // received since the last control interval
	messageRate           float64        // received per second, averaged
}

// closeInterval ends a control interval.
func (s *gossipState) closeInterval() {
	s.messageRate += rateSmoothing * (s.messages/controlInterval.Seconds() - s.messageRate)
	s.messages = 0
}

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
func (b *Balancer) PeerMessage(now time.Duration, from int, message []byte, out Actions) {
	b.now, b.actions = now, out
	if from < 0 || from >= len(b.gossip.peers) || from == b.settings.NodeIndex || len(message) == 0 {
		return
	}
	b.gossip.messages++
	b.gossip.consecutiveUnanswered, b.gossip.lastMessage = 0, now
	if message[0] != kindGossip {
		b.receiveQuotaMessage(from, message)
		return
	}
	b.receiveGossip(from, message)
}

// receiveGossip takes in a tell, by its number and that of the sender's process.
func (b *Balancer) receiveGossip(from int, message []byte) {
	epoch, seq, cur, prev, ok := b.decodeGossip(message)
	p := &b.gossip.peers[from]
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
		b.applyGossipEntries(from, prev)
	}
	p.receivedSequence = seq
	b.applyGossipEntries(from, cur)
}

func (b *Balancer) applyGossipEntries(from int, es []gossipEntry) {
	for _, e := range es {
		if st := b.quotas.buckets[e.tenant]; st != nil && st.plan != e.plan {
			continue
		}
		st := b.quotaFor(e.tenant, e.plan, e.entryNodes, e.firstEntryNode)
		if b.settings.Plans[e.plan].Rate > 0 {
			st.tokens = math.Max(st.tokens-e.units, -b.settings.Plans[e.plan].Burst)
		}
		if b.settings.Plans[e.plan].MaxConcurrent > 0 {
			if st.peerInFlight == nil {
				st.peerInFlight = make([]peerInFlight, b.settings.NodeCount)
			}
			st.peerInFlight[from] = peerInFlight{e.inFlight, b.now}
		}
	}
}

// gossip tells each peer of the stores whose sets it is in, and returns the most messages that one was sent.
func (b *Balancer) sendGossip() (most int) {
	for i := range b.gossip.peers {
		if i != b.settings.NodeIndex {
			most = max(most, b.gossipTo(i, func(st *quotaBucket) bool {
				return b.isEntryNode(i,
					st.firstEntryNode, st.entryNodes)
			}))
		}
	}
	kept := b.gossip.unreported[:0]
	for _, st := range b.gossip.unreported {
		st.unreportedUnits -= math.Round(st.unreportedUnits)
		st.acquiredSinceGossip, st.startedSinceGossip = 0, 0
		if st.idleReports++; st.inFlight > 0 {
			st.idleReports = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.dirty = b.settings.Plans[st.plan].MaxConcurrent > 0 && st.idleReports < 3; st.dirty {
			kept = append(kept, st)
		}
	}
	b.gossip.unreported = kept
	return most
}

// gossipTo packs the stores to tell that about chooses, in as many messages as it takes, and returns their
// number.
func (b *Balancer) gossipTo(peer int, about func(*quotaBucket) bool) (sent int) {
	p, n := &b.gossip.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.previousEntryCount > 0 {
			p.sentSequence++
			b.actions.SendPeer(peer, encodeGossip(b.gossip.epoch, p.sentSequence, n, body,
				p.previousEntryCount,
				p.previousEntries))
			p.previousEntries, p.previousEntryCount, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range b.gossip.unreported {
		if about(st) {
			n++
			if body = b.appendEntry(body, st); len(body) > maxNewEntryBytes-maxEntryBytes {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}

func (b *Balancer) markUnreported(st *quotaBucket) {
	if !st.dirty && !st.owned && b.settings.Gossip && b.settings.NodeCount > 1 {
		st.dirty = true
		b.gossip.unreported = append(b.gossip.unreported, st)
	}
}

// ownsQuotas tells whether the fleet is so large that tells to all of it come too late to go by.
func (b *Balancer) ownsQuotas() bool {
	return b.settings.Gossip && b.gossip.interval > assessmentIntervals*controlInterval
}

// receiveQuotaMessage takes an ask of a member, the answer of a holder, or what a member gives back.
func (b *Balancer) receiveQuotaMessage(from int, message []byte) {
	m, ok := b.decodeQuotaMessage(message)
	if !ok {
		return
	}
	if m.kind == kindQuotaRequest || m.kind == kindQuotaGrant {
		b.overload.mixIntoPool(peerPoolSmoothing, &m.pooledMeans)
		b.receiveOverQuota(m.overQuota)
		b.receiveLoadGossip(m.loadGossip)
	}
	switch m.kind {
	case kindQuotaRequest:
		b.answerQuotaRequest(from, m)
	case kindQuotaGrant:
		b.receiveQuotaGrant(from, m)
	case kindReconciliation:
		if st := b.quotas.buckets[m.tenant]; st != nil && st.owned &&
			b.isEntryNode(from, st.firstEntryNode, st.entryNodes) {
			b.refill(st)
			st.tokens = st.clampTokens(st.tokens+st.reconcile(from, m), b.settings.Plans[st.plan].Burst)
		}
	case kindQuotaRelease:
		if st := b.quotas.buckets[m.tenant]; st != nil && st.owned {
			b.refill(st)
			st.tokens = math.Min(st.tokens+m.units, b.settings.Plans[st.plan].Burst/st.ownerCount)
			st.dropConcurrencyLeases(func(l concurrencyLease) bool {
				return l.from == from &&
					l.number == m.number
			})
		}
	}
}
