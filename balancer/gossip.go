package balancer

import "time"

const (
	// minGossipInterval is the shortest time between two rounds of gossip.
	minGossipInterval = 40 * time.Millisecond
	// gossipIntervalSlack is that time as a multiple of what the peers' limit on messages allows.
	gossipIntervalSlack = 1.3
	// maxNewEntryBytes bounds the new entries of a message. The repeated ones follow if they fit.
	maxNewEntryBytes = 180
)

// gossiper reports the use of split quotas to peers, in rounds, and keeps their
// messages in order.
type gossiper struct {
	enabled    bool
	node       int // this one
	epoch      uint64
	interval   time.Duration // between rounds
	peers      []gossipPeer  // by node
	unreported []*quotaBucket
}

// gossipPeer is the state of the gossip with one peer.
type gossipPeer struct {
	sentSequence     uint64 // of the last message to it
	previous         entryBatch
	received         bool   // a message came from it
	epoch            uint64 // of its process
	previousEpoch    uint64 // of its process before a restart
	receivedSequence uint64 // the highest
}

// newGossiper returns a gossiper whose epoch distinguishes this process from those before a restart.
func newGossiper(settings *Settings, epoch uint64) gossiper {
	return gossiper{
		enabled:  settings.Gossip && settings.NodeCount > 1,
		node:     settings.NodeIndex,
		epoch:    epoch,
		interval: gossipInterval(settings),
		peers:    make([]gossipPeer, settings.NodeCount),
	}
}

// gossipInterval is the time between rounds that keeps peers within their limit on messages.
func gossipInterval(settings *Settings) time.Duration {
	if settings.PeerMessagesPerSecond <= 0 {
		return controlInterval
	}
	seconds := gossipIntervalSlack * float64(settings.NodeCount-1) / settings.PeerMessagesPerSecond
	return max(time.Duration(seconds*float64(time.Second)), settings.Tick, minGossipInterval)
}

// markUnreported has the next round report a bucket. Owned ones are not reported: their owners know.
func (g *gossiper) markUnreported(bucket *quotaBucket) {
	if g.enabled && !bucket.owned && bucket.queueForGossip() {
		g.unreported = append(g.unreported, bucket)
	}
}

// sendRound reports to each peer the buckets of which it is an entry node. It returns the highest number of
// messages that one peer was sent.
func (g *gossiper) sendRound(codec *codec, actions Actions) (maxSent int) {
	for peer := range g.peers {
		if peer != g.node {
			maxSent = max(maxSent, g.sendTo(peer, codec, actions))
		}
	}
	g.closeRound()
	return maxSent
}

// sendTo packs the buckets that concern a peer into as many messages as it takes, and returns their number.
func (g *gossiper) sendTo(peer int, codec *codec, actions Actions) (sent int) {
	var batch entryBatch
	for _, bucket := range g.unreported {
		if !bucket.entryNodes.contains(peer, len(g.peers)) {
			continue
		}
		entry := bucket.gossipEntry()
		if codec.appendEntry(&batch, &entry); len(batch.encoded) > maxNewEntryBytes-maxEntryBytes {
			sent += g.sendBatch(peer, batch, actions)
			batch = entryBatch{}
		}
	}
	if batch.count > 0 || sent == 0 {
		sent += g.sendBatch(peer, batch, actions)
	}
	return sent
}

// sendBatch sends a batch with a repeat of the one before, unless both are empty. It returns the number of
// messages.
func (g *gossiper) sendBatch(peer int, batch entryBatch, actions Actions) int {
	state := &g.peers[peer]
	if batch.count == 0 && state.previous.count == 0 {
		return 0
	}
	state.sentSequence++
	actions.SendPeer(peer, encodeGossip(g.epoch, state.sentSequence, batch, state.previous))
	state.previous = batch
	return 1
}

func (g *gossiper) closeRound() {
	remaining := g.unreported[:0]
	for _, bucket := range g.unreported {
		if bucket.closeGossipRound() {
			remaining = append(remaining, bucket)
		}
	}
	g.unreported = remaining
}

// accept orders a message among those that came from the peer before. It says which of its entries are new.
func (p *gossipPeer) accept(epoch, sequence uint64) (entries, previous bool) {
	if p.received && epoch == p.previousEpoch && epoch != p.epoch {
		return false, false // sent before the peer's restart
	}
	if !p.received || epoch != p.epoch {
		p.previousEpoch, p.epoch, p.receivedSequence, p.received = p.epoch, epoch, 0, true
	}
	if sequence <= p.receivedSequence {
		return false, false
	}
	previous = sequence > p.receivedSequence+1
	p.receivedSequence = sequence
	return true, previous
}

func (b *Balancer) receiveGossip(from int, message []byte) {
	decoded, ok := b.codec.decodeGossip(message)
	if !ok {
		return
	}
	entries, previous := b.gossip.peers[from].accept(decoded.epoch, decoded.sequence)
	if previous {
		b.applyGossipEntries(from, decoded.previous)
	}
	if entries {
		b.applyGossipEntries(from, decoded.entries)
	}
}

func (b *Balancer) applyGossipEntries(from int, entries []gossipEntry) {
	for i := range entries {
		entry := &entries[i]
		plan := b.quotas.plan(entry.plan)
		if known := b.quotas.find(entry.tenant); known != nil && known.plan != plan {
			continue
		}
		bucket := b.quotaFor(entry.tenant, plan, entry.entryNodes)
		bucket.applyPeerUse(b.now, from, b.settings.NodeCount, entry)
	}
}

// sendGossip sends a round of gossip. It returns the highest number of messages that one peer was sent.
func (b *Balancer) sendGossip() (maxSent int) { return b.gossip.sendRound(&b.codec, b.actions) }

func (b *Balancer) markUnreported(bucket *quotaBucket) { b.gossip.markUnreported(bucket) }

// ownsQuotas reports whether quotas have owners: the fleet is so large that gossip to all of it would come
// too late to go by.
func (b *Balancer) ownsQuotas() bool { return b.quotas.haveOwners }
