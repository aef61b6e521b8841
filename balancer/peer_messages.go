package balancer

import "time"

// inboxPressureFraction is the fraction of a node's message capacity above which its inbox is under
// pressure.
const inboxPressureFraction = 0.7

// peerInbox measures the rate of messages received from peers.
type peerInbox struct {
	received    float64       // messages received in the current control interval
	rate        float64       // smoothed rate, in messages per second
	lastMessage time.Duration // when the last message was received
	capacity    float64       // messages per second that the node can receive
}

func (i *peerInbox) record(now time.Duration) {
	i.received++
	i.lastMessage = now
}

// closeInterval updates the rate at the end of a control interval.
func (i *peerInbox) closeInterval() {
	i.rate += rateSmoothing * (i.received/controlInterval.Seconds() - i.rate)
	i.received = 0
}

// underPressure reports whether the message rate is close to the node's capacity or above it.
func (i *peerInbox) underPressure() bool { return i.rate > inboxPressureFraction*i.capacity }

// PeerMessage handles a message from another node. It ignores empty messages and messages whose sender is
// unknown or this node. A malformed message only counts as received; no part of it is applied.
func (b *Balancer) PeerMessage(now time.Duration, from int, message []byte, out Actions) {
	b.now, b.actions = now, out
	if from < 0 || from >= b.settings.NodeCount || from == b.settings.NodeIndex || len(message) == 0 {
		return
	}
	b.inbox.record(now)
	b.quotaRequester.recordMessage()
	if message[0] == kindGossip {
		b.receiveGossip(from, message)
	} else {
		b.receiveQuotaMessage(from, message)
	}
}

// receiveQuotaMessage handles the messages between requesters and owners. It ignores unknown kinds.
func (b *Balancer) receiveQuotaMessage(from int, message []byte) {
	switch message[0] {
	case kindQuotaRequest:
		if request, ok := b.codec.decodeQuotaRequest(message, &b.piggyback); ok {
			b.receivePiggyback()
			b.answerQuotaRequest(from, &request)
		}
	case kindQuotaGrant:
		if grant, ok := decodeQuotaGrant(message, &b.piggyback); ok {
			b.receivePiggyback()
			b.receiveQuotaGrant(from, &grant)
		}
	case kindQuotaRelease:
		if release, ok := decodeQuotaRelease(message); ok {
			b.receiveQuotaRelease(from, release)
		}
	case kindReconciliation:
		if tenant, sum, ok := decodeReconciliationMessage(message); ok {
			b.receiveReconciliation(from, tenant, sum)
		}
	}
}

// receivePiggyback applies the gossip that the last quota request or grant contained.
func (b *Balancer) receivePiggyback() {
	b.overload.mixIntoPool(peerPoolSmoothing, &b.piggyback.pooled)
	b.overQuota.merge(b.now, b.piggyback.overQuota)
	b.receiveLoads(b.piggyback.loads)
}

// piggybackFor returns the gossip to append to a message to a peer. The result is valid until the next call
// and until the next message is received.
func (b *Balancer) piggybackFor(peer int) *piggyback {
	b.piggyback.pooled = b.overload.pooled
	b.piggyback.overQuota = b.overQuota.appendNewest(b.piggyback.overQuota[:0], b.now)
	b.piggyback.loads = b.appendFreshestLoads(b.piggyback.loads[:0], peer)
	return &b.piggyback
}
