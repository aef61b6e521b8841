package balancer

import (
	"math"
	"time"
)

const (
	// over which a store is spent where its holder is not heard
	isolatedSpendPeriod = 5 * time.Second
	maxAnsweredRequests = 8 // asks that a holder knows when they come again
	// share of an inbox from which members that ask in vain pause
	inboxPressureFraction = 0.7
	// share of wants granted under which a customer is told of
	overQuotaThreshold = 0.95
	overQuotaRetention = 10 * time.Second // for which that is believed
)

// requesterIncarnation is what a member has settled in one life of its store.
type requesterIncarnation struct {
	incarnation     uint64
	reconciledUnits float64
}

// answeredRequest is an ask that was answered.
type answeredRequest struct {
	from    int
	number  uint64
	granted bool
	wait    time.Duration
}

// concurrencyLease is a place under an open cap that a holder gave to a gateway.
type concurrencyLease struct {
	from      int
	number    uint64
	expiresAt time.Duration
}

// overQuotaTenant is what was told of a customer who wants more than can be granted.
type overQuotaTenant struct {
	grantedFraction float64
	at              time.Duration
}

// answerQuotaRequest answers a member's ask out of this holder's store.
func (b *Balancer) answerQuotaRequest(from int, m quotaMessage) {
	if !b.isEntryNode(from, m.firstEntryNode, m.entryNodes) ||
		!b.isEntryNode(b.settings.NodeIndex, m.firstEntryNode, m.entryNodes) {
		return
	}
	st := b.quotaFor(m.tenant, m.plan, m.entryNodes, m.firstEntryNode)
	if st.plan != m.plan || !st.owned {
		return
	}
	p := &b.settings.Plans[m.plan]
	st.tokens = st.clampTokens(st.tokens+st.reconcile(from, m), p.Burst)
	if done := st.previousAnswer(from, m.number); done != nil {
		b.actions.SendPeer(from, b.encodeQuotaGrant(from, m.number, done.granted, done.wait,
			st.grantedFraction))
		return // the answer was lost
	}
	st.recordDemand(b.now, m.units+m.locallyRejectedUnits)
	in, wait := b.checkQuota(st, m.units)
	if in = in && (p.HardLimitRate <= 0 || st.hardLimitTokens >= m.units); in {
		wait, st.hardLimitTokens = 0, st.hardLimitTokens-m.units
		b.acquire(st, m.units)
		st.recordGrant(b.now, m.units)
		if p.MaxConcurrent > 0 {
			st.leases = append(st.leases, concurrencyLease{
				from, m.number,
				b.now + b.latency.longestObjective(),
			})
		}
	} else if b.gossip.messageRate > inboxPressureFraction*b.settings.PeerMessagesPerSecond {
		// More members ask in vain than the inbox takes: each pauses until it is their turn again.
		wait = max(wait, refillTime(float64(st.entryNodes/st.sharers),
			quotaInboxFraction*b.settings.PeerMessagesPerSecond))
	}
	// A member that hears nothing spends its part of what is there and of what comes within a while.
	room := math.Max(st.tokens, 0)/isolatedSpendPeriod.Seconds() + p.Rate/st.ownerCount
	st.grantedFraction = math.Min(1, room/math.Max(st.demandRate, 1e-9))
	b.recordOverQuota(st.tenant, st.grantedFraction)
	st.rememberAnswer(answeredRequest{from, m.number, in, wait})
	b.actions.SendPeer(from, b.encodeQuotaGrant(from, m.number, in, wait, st.grantedFraction))
}

func (b *Balancer) ownerFor(st *quotaBucket) int {
	return b.ownerOfPart(st, b.settings.NodeIndex%st.sharers)
}

func (b *Balancer) ownerOfPart(st *quotaBucket, part int) int {
	x := (st.tenant + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.firstEntryNode + int((x^x>>32)%uint64(st.entryNodes))) % b.settings.NodeCount
}

func (b *Balancer) partsOwned(st *quotaBucket) (n int) {
	for part := range st.sharers {
		n += int(oneIf(b.ownerOfPart(st, part) == b.settings.NodeIndex))
	}
	return n
}

// isEntryNode tells whether a gateway is one of a customer's.
func (b *Balancer) isEntryNode(i, first, spread int) bool {
	return (i-first+b.settings.NodeCount)%b.settings.NodeCount < spread
}

// reconcile takes in a member's sum and returns what it adds to the store. Sums make up for asks that were
// lost.
func (st *quotaBucket) reconcile(from int, m quotaMessage) (more float64) {
	was, known := st.requesters[from]
	if st.requesters == nil {
		st.requesters = map[int]requesterIncarnation{}
	}
	st.requesters[from] = requesterIncarnation{m.incarnation, m.reconciledUnits}
	switch {
	case !known:
		return 0 // what it settled before is in no store of this holder's
	case was.incarnation != m.incarnation:
		return m.reconciledUnits
	}
	return m.reconciledUnits - was.reconciledUnits
}

// previousAnswer returns the ask if it was answered before, or nil.
func (st *quotaBucket) previousAnswer(from int, num uint64) *answeredRequest {
	for i := range st.answeredRequests {
		if d := &st.answeredRequests[i]; d.from == from && d.number == num {
			return d
		}
	}
	return nil
}

// rememberAnswer keeps an ask that was answered.
func (st *quotaBucket) rememberAnswer(d answeredRequest) {
	if len(st.answeredRequests) == maxAnsweredRequests {
		st.answeredRequests = append(st.answeredRequests[:0], st.answeredRequests[1:]...)
	}
	st.answeredRequests = append(st.answeredRequests, d)
}

// dropConcurrencyLeases removes the leases for which gone holds.
func (st *quotaBucket) dropConcurrencyLeases(gone func(concurrencyLease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// recordOverQuota takes in what can be granted of a customer's wants.
func (b *Balancer) recordOverQuota(key uint64, admitted float64) {
	if _, known := b.quotas.overQuotaTenants[tenantHash(key)]; known || admitted < overQuotaThreshold {
		b.quotas.overQuotaTenants[tenantHash(key)] = overQuotaTenant{admitted, b.now}
	}
}

// grantedFraction is the share of a customer's wants that can be granted, as far as is known: a customer of
// whom
// nobody tells is inside its quota.
func (b *Balancer) grantedFraction(st *quotaBucket) float64 {
	if h, known := b.quotas.overQuotaTenants[tenantHash(st.tenant)]; known {
		return h.grantedFraction
	}
	return 1
}
