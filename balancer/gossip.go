package balancer

import "time"

const (
	// minGossipInterval is the shortest interval between two gossip rounds.
	minGossipInterval = 40 * time.Millisecond
	// gossipIntervalSlack is the gossip interval as a multiple of the shortest interval that the peers'
	// limit on received messages allows.
	gossipIntervalSlack = 1.3
	// maxNewEntryBytes bounds the size of the new entries in a message. The entries of the previous message
	// are repeated after them if they fit.
	maxNewEntryBytes = 180
)

// gossiper reports this node's use of split quotas to its peers in rounds. It detects lost, repeated and
// late messages of the peers.
type gossiper struct {
	enabled    bool
	node       int            // index of this node
	epoch      uint64         // identifies this process among those that the node has run
	interval   time.Duration  // time between rounds
	peers      []gossipPeer   // indexed by node
	unreported []*quotaBucket // buckets to report in the next round
}

// gossipPeer is the state of the gossip exchange with one peer.
type gossipPeer struct {
	sentSequence     uint64     // sequence number of the last message sent to the peer
	previous         entryBatch // entries of the last message sent to the peer
	received         bool       // whether any message was received from the peer
	epoch            uint64     // epoch of the peer's current process
	previousEpoch    uint64     // epoch of the peer's process before its last restart
	receivedSequence uint64     // highest sequence number received in the current epoch
}

// newGossiper returns a gossiper. The epoch should differ from those of the node's earlier processes.
func newGossiper(settings *Settings, epoch uint64) gossiper {
	return gossiper{
		enabled:  settings.Gossip && settings.NodeCount > 1,
		node:     settings.NodeIndex,
		epoch:    epoch,
		interval: gossipInterval(settings),
		peers:    make([]gossipPeer, settings.NodeCount),
	}
}

// gossipInterval returns the interval between rounds at which every node stays within its limit on received
// messages, or [controlInterval] if there is no limit.
func gossipInterval(settings *Settings) time.Duration {
	if settings.PeerMessagesPerSecond <= 0 {
		return controlInterval
	}
	seconds := gossipIntervalSlack * float64(settings.NodeCount-1) / settings.PeerMessagesPerSecond
	return max(time.Duration(seconds*float64(time.Second)), settings.Tick, minGossipInterval)
}

// markUnreported queues a bucket for the next round. Owned buckets are not reported, because their owners
// account for each grant.
func (g *gossiper) markUnreported(bucket *quotaBucket) {
	if g.enabled && !bucket.owned && bucket.queueForGossip() {
		g.unreported = append(g.unreported, bucket)
	}
}

// sendRound reports the queued buckets to the peers that are entry nodes of their tenants. It returns the
// largest number of messages sent to a single peer.
func (g *gossiper) sendRound(codec *codec, actions Actions) (maxSent int) {
	for peer := range g.peers {
		if peer != g.node {
			maxSent = max(maxSent, g.sendTo(peer, codec, actions))
		}
	}
	g.closeRound()
	return maxSent
}

// sendTo reports to a peer the queued buckets of the tenants that it is an entry node of. It returns the
// number of messages sent.
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

// sendBatch sends a batch together with the previous batch, unless both are empty. It returns the number of
// messages sent, 0 or 1.
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

// closeRound ends the round. Only the buckets that the next round must report too remain queued.
func (g *gossiper) closeRound() {
	remaining := g.unreported[:0]
	for _, bucket := range g.unreported {
		if bucket.closeGossipRound() {
			remaining = append(remaining, bucket)
		}
	}
	g.unreported = remaining
}

// accept records that a message was received. It reports whether the message's own entries are new, and
// whether the entries repeated from the previous message are new because that message was not received.
func (p *gossipPeer) accept(epoch, sequence uint64) (entriesNew, previousNew bool) {
	if p.received && epoch == p.previousEpoch && epoch != p.epoch {
		return false, false // sent before the peer's restart
	}
	if !p.received || epoch != p.epoch {
		p.previousEpoch, p.epoch, p.receivedSequence, p.received = p.epoch, epoch, 0, true
	}
	if sequence <= p.receivedSequence {
		return false, false
	}
	previousNew = sequence > p.receivedSequence+1
	p.receivedSequence = sequence
	return true, previousNew
}

// receiveGossip applies the new entries of a gossip message. A malformed message is ignored.
func (b *Balancer) receiveGossip(from int, message []byte) {
	decoded, ok := b.codec.decodeGossip(message)
	if !ok {
		return
	}
	entriesNew, previousNew := b.gossip.peers[from].accept(decoded.epoch, decoded.sequence)
	if previousNew {
		b.applyGossipEntries(from, decoded.previous)
	}
	if entriesNew {
		b.applyGossipEntries(from, decoded.entries)
	}
}

// applyGossipEntries applies a peer's entries. It skips tenants whose bucket has a different plan here.
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

// sendGossip sends a gossip round. It returns the largest number of messages sent to a single peer.
func (b *Balancer) sendGossip() (maxSent int) { return b.gossip.sendRound(&b.codec, b.actions) }

func (b *Balancer) markUnreported(bucket *quotaBucket) { b.gossip.markUnreported(bucket) }

// hasQuotaOwners reports whether quotas have owners. They do in a large fleet, where gossip would reach all
// entry nodes too late to limit a tenant.
func (b *Balancer) hasQuotaOwners() bool { return b.quotas.haveOwners }
