package balancer

import (
	"math"
	"time"
)

const (
	// an answer to an ask is taken for lost then: two hops' time
	quotaRequestTimeout     = 100 * time.Millisecond
	quotaRequestRepeatAfter = 40 * time.Millisecond // one that has no answer by then is sent once more
	// in which an answer may come for which nobody waits
	unansweredAdmissionRetention = time.Second
	// units that a holder is told of with no ask, where they count
	minReconciliationUnits = 2.0
	maxReconciledUnits     = 5e5 // units that a store settles in one life
	// asks without an answer after which a holder is not waited for
	maxUnansweredQuotaRequests = 3
)

// unansweredAdmission is a request that went without its holder's answer.
type unansweredAdmission struct {
	quota         *quotaBucket
	quotaOwner    int
	units         float64
	sent          bool
	reportedUnits float64 // what its holder was told to add for it
	at            time.Duration
}

// unreconciledUnits is what the holder must add to its store for it, granted by the holder or not.
func (d *unansweredAdmission) unreconciledUnits(granted bool) float64 {
	switch {
	case granted && !d.sent:
		return d.units
	case !granted && d.sent:
		return -d.units
	}
	return 0
}

func (b *Balancer) requestQuota(r *request) {
	if math.Abs(r.quota.reconciledUnits) > maxReconciledUnits {
		r.quota.reconciledUnits, r.quota.reportedReconciliation, r.quota.incarnation = 0, 0,
			b.rng.Uint64N(maxIncarnation) // it must fit
	}
	b.actions.SendPeer(r.quotaOwner, b.encodeQuotaRequest(r))
	r.quota.locallyRejectedUnits = 0
	switch {
	case b.isolated() || b.gossip.peers[r.quotaOwner].unansweredQuotaRequests >= maxUnansweredQuotaRequests:
		b.decideWithoutOwner(r)
	case r.finalQuotaRequest, b.gossip.peers[r.quotaOwner].unansweredQuotaRequests > 0,
		b.gossip.messageRate > inboxPressureFraction*b.settings.PeerMessagesPerSecond:
		// Where inboxes are full, asks that come again would fill them more.
		r.finalQuotaRequest = true
		b.actions.SetTimer(r.number<<timerBits|timerQuotaRequest,
			quotaRequestTimeout-time.Duration(oneIf(r.quotaRequestRepeated))*quotaRequestRepeatAfter)
	default:
		b.actions.SetTimer(r.number<<timerBits|timerQuotaRequest, quotaRequestRepeatAfter)
	}
}

// quotaRequestTimedOut repeats a quota request that got no grant, or decides without the owner.
func (b *Balancer) quotaRequestTimedOut(r *request) {
	switch {
	case r.answered || r.decidedWithoutOwner || len(r.attempts) > 0:
	case r.finalQuotaRequest:
		b.decideWithoutOwner(r)
	default: // a lost message costs less than a request that is admitted by chance
		r.finalQuotaRequest, r.quotaRequestRepeated = true, true
		b.requestQuota(r)
	}
}

// decideWithoutOwner goes by the share of its customer's wants that can be granted, as far as its holder has
// told.
// It covers lost messages, holders that are down, stalled or flooded, and cuts; it harms while that share
// changes unheard. What it sends counts at the holder later, unless the holder counts that itself (fillUp).
func (b *Balancer) decideWithoutOwner(r *request) {
	r.decidedWithoutOwner = true
	b.gossip.peers[r.quotaOwner].unansweredQuotaRequests++
	b.gossip.consecutiveUnanswered++
	share := b.grantedFraction(r.quota)
	b.admit(r, b.rng.Float64() < share, quotaRequestTimeout)
	sent := len(r.attempts) > 0
	d := unansweredAdmission{quota: r.quota, quotaOwner: r.quotaOwner, units: r.Units, sent: sent, at: b.now}
	if !b.isolated() {
		// The ask was lost or its answer, as likely one as the other: half of what either would change.
		d.reportedUnits = (d.unreconciledUnits(true)*share + d.unreconciledUnits(false)*(2-share)) / 2
		r.quota.reconciledUnits += d.reportedUnits
		b.sendReconciliation(r.quota, r.quotaOwner)
	}
	b.quotas.unansweredAdmissions[r.number] = d
}

// isolated tells whether asks come to nothing whomever they go to: then none is waited for.
func (b *Balancer) isolated() bool {
	return b.gossip.consecutiveUnanswered >= maxUnansweredQuotaRequests
}

// receiveQuotaGrant takes in a holder's answer.
func (b *Balancer) receiveQuotaGrant(from int, m quotaMessage) {
	b.gossip.peers[from].unansweredQuotaRequests = 0
	r := b.requests.byNumber[m.number]
	if r == nil || r.answered || r.quotaOwner != from || r.decidedWithoutOwner || len(r.attempts) > 0 {
		b.receiveLateGrant(from, m)
		return
	}
	b.recordOverQuota(r.quota.tenant, m.grantedFraction)
	if !m.granted {
		r.quota.rejectedUntil = b.now + m.retryAfter
	}
	r.grantedByOwner = m.granted
	b.admit(r, m.granted, m.retryAfter)
}

// receiveLateGrant takes in an answer that nobody waited for any more: it says what the holder has taken.
func (b *Balancer) receiveLateGrant(from int, m quotaMessage) {
	d, ok := b.quotas.unansweredAdmissions[m.number]
	if !ok || d.quotaOwner != from {
		return
	}
	delete(b.quotas.unansweredAdmissions, m.number)
	d.quota.reconciledUnits += d.unreconciledUnits(m.granted) - d.reportedUnits
}

// releaseQuota returns units that were not sent, and a place under an open cap.
func (b *Balancer) releaseQuota(r *request, units float64) {
	open := b.settings.Plans[r.quota.plan].MaxConcurrent > 0
	// whether its ask was granted is not known: only the place is surely free
	units *= 1 - oneIf(r.decidedWithoutOwner)
	if !r.inQuota && !r.decidedWithoutOwner || units == 0 && !open {
		return
	}
	if !r.quota.owned || r.quotaOwner == b.settings.NodeIndex {
		b.refill(r.quota)
		b.acquire(r.quota, -units)
		return
	}
	msg := encodeQuotaRelease(r.quota.tenant, r.number, units)
	b.actions.SendPeer(r.quotaOwner, msg)
	if open && units == 0 {
		b.actions.SendPeer(r.quotaOwner, msg) // a lost one would block a place for long
	}
}

// reconcileUnits takes in by how many units a request counted less than was guessed. A holder learns that
// with the
// next ask of its customer, since a message for each answer would fill the inboxes by half as much again, or
// sooner where the quota is nearly used and the sum is large: it would go by a store that is not so.
func (b *Balancer) reconcileUnits(r *request, units float64) {
	b.refill(r.quota)
	if !r.quota.owned || r.quotaOwner == b.settings.NodeIndex {
		b.releaseQuota(r, units)
		return
	}
	r.quota.reconciledUnits += units
	b.sendReconciliation(r.quota, r.quotaOwner)
}

func (b *Balancer) sendReconciliation(st *quotaBucket, holder int) {
	if b.grantedFraction(st) < 1 &&
		math.Abs(st.reconciledUnits-st.reportedReconciliation) >= minReconciliationUnits && !b.isolated() {
		b.actions.SendPeer(holder, b.encodeReconciliation(st))
	}
}
