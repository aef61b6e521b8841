package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// quotaRequestTimeout is the time after which a grant is taken for lost.
	quotaRequestTimeout = 100 * time.Millisecond
	// quotaRequestRepeatAfter is the time after which a quota request without a grant is sent once more.
	quotaRequestRepeatAfter = 40 * time.Millisecond
	// unansweredAdmissionRetention is the time in which a grant may come for which no request waits.
	unansweredAdmissionRetention = time.Second
	// minReconciliationUnits is the change of the sum of corrections that is worth a message of its own.
	minReconciliationUnits = 2.0
	// maxReconciledUnits bounds the corrections of one incarnation of a bucket, so that a message can hold
	// them.
	maxReconciledUnits = 5e5
	// maxUnansweredQuotaRequests is the number of requests without a grant after which none is waited for.
	maxUnansweredQuotaRequests = 3
)

// quotaRequestState is how far the quota request of a request has come.
type quotaRequestState uint8

const (
	quotaNotRequested    quotaRequestState = iota // this node decides by itself
	quotaRequested                                // to be repeated if no grant comes
	quotaRequestedOnce                            // not to be repeated
	quotaRequestRepeated                          // likewise, after the first was
	quotaGranted                                  // by the owner, out of its part of the hard limit
	quotaRejected                                 // by the owner
	quotaUnanswered                               // decided without the owner, which gave no grant in time
)

// awaitsGrant reports whether the request waits for the owner.
func (s quotaRequestState) awaitsGrant() bool {
	return s == quotaRequested || s == quotaRequestedOnce || s == quotaRequestRepeated
}

func (s quotaRequestState) grantedByOwner() bool { return s == quotaGranted }

// quotaRequester keeps how owners answer this node's quota requests.
type quotaRequester struct {
	unanswered []int // requests since the last grant, by owner
	// consecutiveUnanswered counts requests without a grant since the last message of any peer.
	consecutiveUnanswered int
	admissions            map[uint64]unansweredAdmission // by number of the request
}

func newQuotaRequester(nodeCount int) quotaRequester {
	return quotaRequester{unanswered: make([]int, nodeCount), admissions: map[uint64]unansweredAdmission{}}
}

// unansweredAdmission is a request that was decided without the owner's grant, in case that comes after all.
type unansweredAdmission struct {
	quota         *quotaBucket
	quotaOwner    int
	units         float64
	sent          bool    // to an endpoint, not rejected
	reportedUnits float64 // what was reported to the owner for it
	at            time.Duration
}

// unreconciledUnits is what the owner must add to its tokens for the request, granted or not.
func (a *unansweredAdmission) unreconciledUnits(granted bool) float64 {
	switch {
	case granted && !a.sent:
		return a.units
	case !granted && a.sent:
		return -a.units
	}
	return 0
}

// expectUnits estimates what the owner has to add. Either the quota request was lost or the grant, the one as
// likely as the other: half of what each would change. grantedFraction is the probability of a grant.
func (a *unansweredAdmission) expectUnits(grantedFraction float64) float64 {
	return (a.unreconciledUnits(true)*grantedFraction + a.unreconciledUnits(false)*(2-grantedFraction)) / 2
}

// recordMessage records a message of any peer.
func (q *quotaRequester) recordMessage() { q.consecutiveUnanswered = 0 }

func (q *quotaRequester) recordGrant(owner int) { q.unanswered[owner] = 0 }

func (q *quotaRequester) recordUnanswered(owner int) {
	q.unanswered[owner]++
	q.consecutiveUnanswered++
}

// isolated reports whether quota requests get no grant, whichever node they go to.
func (q *quotaRequester) isolated() bool {
	return q.consecutiveUnanswered >= maxUnansweredQuotaRequests
}

// waitsFor reports whether a request should wait for a grant of the owner.
func (q *quotaRequester) waitsFor(owner int) bool {
	return !q.isolated() && q.unanswered[owner] < maxUnansweredQuotaRequests
}

// mayRepeat reports whether a quota request to the owner may be sent once more: its last one was granted, and
// the inboxes aren't so full that repeats would make it worse.
func (q *quotaRequester) mayRepeat(owner int, inboxPressure bool) bool {
	return q.unanswered[owner] == 0 && !inboxPressure
}

// recordAdmission notes a request that was decided without the owner's grant.
func (q *quotaRequester) recordAdmission(number uint64, admission unansweredAdmission) {
	q.admissions[number] = admission
}

// takeAdmission removes and returns a request that was decided without the owner's grant.
func (q *quotaRequester) takeAdmission(number uint64, owner int) (unansweredAdmission, bool) {
	admission, ok := q.admissions[number]
	if !ok || admission.quotaOwner != owner {
		return unansweredAdmission{}, false
	}
	delete(q.admissions, number)
	return admission, true
}

// expire drops the requests for which a grant comes no more.
func (q *quotaRequester) expire(now time.Duration) {
	for number, admission := range q.admissions {
		if now-admission.at > unansweredAdmissionRetention {
			delete(q.admissions, number)
		}
	}
}

// requesterState is the requester's side of one owned quota.
type requesterState struct {
	incarnation   uint64  // of the bucket: distinguishes its sum from that of one before
	reconciled    float64 // units that the owner must add, since the start of the incarnation
	reported      float64 // the sum in the last report to the owner
	rejectedUnits float64 // rejected without a quota request since the last one
	rejectedUntil time.Duration
}

// rejects reports whether the owner has rejected the tenant's requests for now, and for how long.
func (s *requesterState) rejects(now time.Duration) (remaining time.Duration, rejected bool) {
	return s.rejectedUntil - now, now < s.rejectedUntil
}

func (s *requesterState) rejectUntil(until time.Duration) { s.rejectedUntil = until }

// recordRejected counts units that were rejected without a quota request.
func (s *requesterState) recordRejected(units float64) { s.rejectedUnits += units }

// takeRejected returns the units rejected without a quota request and starts anew.
func (s *requesterState) takeRejected() (units float64) {
	units, s.rejectedUnits = s.rejectedUnits, 0
	return units
}

// correct adds units that the owner must add to its tokens.
func (s *requesterState) correct(units float64) { s.reconciled += units }

// renew starts a new incarnation where the sum has grown too large for a message.
func (s *requesterState) renew(random *rand.Rand) {
	if math.Abs(s.reconciled) > maxReconciledUnits {
		s.reconciled, s.reported, s.incarnation = 0, 0, random.Uint64N(maxIncarnation)
	}
}

// unreported is the change of the sum since the last report.
func (s *requesterState) unreported() float64 { return s.reconciled - s.reported }

// report returns the sum in whole units and counts it as reported.
func (s *requesterState) report() reconciliation {
	s.reported = math.Round(s.reconciled)
	return reconciliation{s.incarnation, s.reported}
}

// quotaRequest returns the message that asks an owner for units of the quota. It counts what it carries as
// reported.
func (q *quotaBucket) quotaRequest(number uint64, units float64) quotaRequest {
	return quotaRequest{
		number:               number,
		tenant:               q.tenant,
		plan:                 q.plan.index,
		entryNodes:           q.entryNodes,
		units:                units,
		reconciliation:       q.requester.report(),
		locallyRejectedUnits: q.requester.takeRejected(),
	}
}

// requestQuota asks the owner for the units of a request, for the first or second time, and decides at once
// where no grant is to be expected.
func (b *Balancer) requestQuota(r *request) {
	r.quota.requester.renew(b.rng)
	message := r.quota.quotaRequest(r.number, r.Units)
	b.actions.SendPeer(r.quotaOwner, b.codec.encodeQuotaRequest(&message, b.piggybackFor(r.quotaOwner)))
	switch {
	case !b.quotaRequester.waitsFor(r.quotaOwner):
		b.decideWithoutOwner(r)
	case r.quotaState == quotaRequestRepeated:
		b.awaitGrant(r, quotaRequestTimeout-quotaRequestRepeatAfter)
	case b.quotaRequester.mayRepeat(r.quotaOwner, b.inbox.underPressure()):
		r.quotaState = quotaRequested
		b.awaitGrant(r, quotaRequestRepeatAfter)
	default:
		r.quotaState = quotaRequestedOnce
		b.awaitGrant(r, quotaRequestTimeout)
	}
}

func (b *Balancer) awaitGrant(r *request, timeout time.Duration) {
	b.actions.SetTimer(r.number<<timerBits|timerQuotaRequest, timeout)
}

// quotaRequestTimedOut repeats a quota request that got no grant, once, and then decides without the
// owner. One more message costs less than a decision by probability.
func (b *Balancer) quotaRequestTimedOut(r *request) {
	switch {
	case r.answered || !r.quotaState.awaitsGrant():
	case r.quotaState == quotaRequested:
		r.quotaState = quotaRequestRepeated
		b.requestQuota(r)
	default:
		b.decideWithoutOwner(r)
	}
}

// decideWithoutOwner admits a request with the probability of a grant, as far as the owner has reported it.
// It covers lost messages, owners that are down, stalled or flooded, and network partitions; it does harm
// while that probability changes unreported. The owner counts what is sent later, or by itself (see
// [quotaBucket.refill]).
func (b *Balancer) decideWithoutOwner(r *request) {
	r.quotaState = quotaUnanswered
	b.quotaRequester.recordUnanswered(r.quotaOwner)
	grantedFraction := b.overQuota.grantedFraction(r.quota.tenant)
	b.admit(r, b.rng.Float64() < grantedFraction, quotaRequestTimeout)
	admission := unansweredAdmission{
		quota: r.quota, quotaOwner: r.quotaOwner, units: r.Units, sent: len(r.attempts) > 0, at: b.now,
	}
	if !b.isolated() {
		admission.reportedUnits = admission.expectUnits(grantedFraction)
		r.quota.requester.correct(admission.reportedUnits)
		b.sendReconciliation(r.quota, r.quotaOwner)
	}
	b.quotaRequester.recordAdmission(r.number, admission)
}

// isolated reports whether this node's quota requests come to nothing.
func (b *Balancer) isolated() bool { return b.quotaRequester.isolated() }

// receiveQuotaGrant goes on with the request that an owner has answered.
func (b *Balancer) receiveQuotaGrant(from int, grant *quotaGrant) {
	b.quotaRequester.recordGrant(from)
	r := b.requests.byNumber[grant.number]
	if r == nil || r.answered || r.quotaOwner != from || !r.quotaState.awaitsGrant() {
		b.receiveLateGrant(from, grant)
		return
	}
	b.overQuota.record(b.now, r.quota.tenant, grant.grantedFraction)
	r.quotaState = quotaGranted
	if !grant.granted {
		r.quotaState = quotaRejected
		r.quota.requester.rejectUntil(b.now + grant.retryAfter)
	}
	b.admit(r, grant.granted, grant.retryAfter)
}

// receiveLateGrant corrects for a request that did not wait for the grant: that says what the owner took
// from its tokens.
func (b *Balancer) receiveLateGrant(from int, grant *quotaGrant) {
	if admission, ok := b.quotaRequester.takeAdmission(grant.number, from); ok {
		units := admission.unreconciledUnits(grant.granted) - admission.reportedUnits
		admission.quota.requester.correct(units)
	}
}

// releaseQuota returns units that were not used, and the lease of an attempt in flight.
func (b *Balancer) releaseQuota(r *request, units float64) {
	limited := r.quota.plan.MaxConcurrent > 0
	unanswered := r.quotaState == quotaUnanswered
	if unanswered {
		units = 0 // Whether the owner granted them is not known; only the lease is surely unused.
	}
	if !r.inQuota && !unanswered || units == 0 && !limited {
		return
	}
	if !r.quota.owned || r.quotaOwner == b.settings.NodeIndex {
		b.refill(r.quota)
		b.acquire(r.quota, -units)
		return
	}
	message := encodeQuotaRelease(quotaRelease{r.number, r.quota.tenant, units})
	b.actions.SendPeer(r.quotaOwner, message)
	if limited && units == 0 {
		b.actions.SendPeer(r.quotaOwner, message) // A loss would leave the lease in use until it expires.
	}
}

// reconcileUnits returns the units that a request used less than was estimated. An owner learns that
// with the tenant's next quota request, since a message for each response would fill the inboxes by half as
// much again. It learns it sooner where the quota is nearly used up and the sum is large.
func (b *Balancer) reconcileUnits(r *request, units float64) {
	b.refill(r.quota)
	if !r.quota.owned || r.quotaOwner == b.settings.NodeIndex {
		b.releaseQuota(r, units)
		return
	}
	r.quota.requester.correct(units)
	b.sendReconciliation(r.quota, r.quotaOwner)
}

func (b *Balancer) sendReconciliation(bucket *quotaBucket, owner int) {
	if b.overQuota.grantedFraction(bucket.tenant) < 1 &&
		math.Abs(bucket.requester.unreported()) >= minReconciliationUnits && !b.isolated() {
		b.actions.SendPeer(owner, encodeReconciliation(bucket.tenant, bucket.requester.report()))
	}
}

// acquire takes units of a bucket within the quota.
func (b *Balancer) acquire(bucket *quotaBucket, units float64) {
	bucket.acquire(units)
	b.markUnreported(bucket)
}
