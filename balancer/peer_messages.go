package balancer

import "time"

// inboxPressureFraction is the fraction of a node's capacity for messages from which on its inbox is under
// pressure.
const inboxPressureFraction = 0.7

// peerInbox measures the messages that come from peers.
type peerInbox struct {
	received    float64 // since the last control interval
	rate        float64 // per second, averaged
	lastMessage time.Duration
	capacity    float64 // messages per second that the node takes in
}

func (i *peerInbox) record(now time.Duration) {
	i.received++
	i.lastMessage = now
}

// closeInterval ends a control interval.
func (i *peerInbox) closeInterval() {
	i.rate += rateSmoothing * (i.received/controlInterval.Seconds() - i.rate)
	i.received = 0
}

// underPressure reports whether so many messages come that they may soon be more than the node takes in.
func (i *peerInbox) underPressure() bool { return i.rate > inboxPressureFraction*i.capacity }

// PeerMessage is the arrival of a message of another node. A malformed one is ignored whole.
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

// receiveQuotaMessage takes a quota request of a requester, the grant of an owner, or what a requester gives
// back.
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

func (b *Balancer) receivePiggyback() {
	b.overload.mixIntoPool(peerPoolSmoothing, &b.piggyback.pooled)
	b.overQuota.receive(b.now, b.piggyback.overQuota)
	b.receiveLoads(b.piggyback.loads)
}

// piggybackFor gathers what goes along with a message to a peer. It is valid until the next message.
func (b *Balancer) piggybackFor(peer int) *piggyback {
	b.piggyback.pooled = b.overload.pooled
	b.piggyback.overQuota = b.overQuota.appendNewest(b.piggyback.overQuota[:0], b.now)
	b.piggyback.loads = b.appendFreshestLoads(b.piggyback.loads[:0], peer)
	return &b.piggyback
}
