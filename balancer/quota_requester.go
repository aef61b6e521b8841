package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// quotaRequestTimeout is the time after which a request is decided without the owner's answer.
	quotaRequestTimeout = 100 * time.Millisecond
	// quotaRequestRepeatAfter is the time after which an unanswered quota request is repeated once.
	quotaRequestRepeatAfter = 40 * time.Millisecond
	// unansweredDecisionRetention is the time for which a late answer is still used to correct the owner's
	// tokens.
	unansweredDecisionRetention = time.Second
	// minReconciliationUnits is the smallest change of the sum of corrections that is sent in a separate
	// message.
	minReconciliationUnits = 2.0
	// maxCorrectionSum is the largest sum of corrections of one incarnation of a bucket. It must fit into
	// a message, see [maxWireUnits].
	maxCorrectionSum = 5e5
	// maxUnansweredQuotaRequests is the number of consecutive unanswered quota requests after which this
	// node no longer waits for answers.
	maxUnansweredQuotaRequests = 3
)

// quotaRequestState is the state of the quota request that belongs to a client's request.
type quotaRequestState uint8

const (
	quotaNotRequested    quotaRequestState = iota // no quota request sent; this node decides
	quotaRequested                                // sent once; repeated if no answer arrives
	quotaRequestedOnce                            // sent once; not repeated
	quotaRequestRepeated                          // sent twice; not repeated again
	quotaGranted                                  // granted from the owner's tokens and hard limit
	quotaRejected                                 // rejected by the owner
	quotaUnanswered                               // not answered in time; decided by this node
)

// awaitsGrant reports whether the request is waiting for the owner's answer.
func (s quotaRequestState) awaitsGrant() bool {
	return s == quotaRequested || s == quotaRequestedOnce || s == quotaRequestRepeated
}

func (s quotaRequestState) grantedByOwner() bool { return s == quotaGranted }

// quotaRequester tracks which owners answer this node's quota requests, and the requests that were decided
// without an answer.
type quotaRequester struct {
	unanswered []int // unanswered quota requests since the owner's last answer, by owner
	// consecutiveUnanswered counts the unanswered quota requests since the last message from any peer.
	consecutiveUnanswered int
	decisions             map[uint64]unansweredDecision // by request number
}

func newQuotaRequester(nodeCount int) quotaRequester {
	return quotaRequester{unanswered: make([]int, nodeCount), decisions: map[uint64]unansweredDecision{}}
}

// unansweredDecision is a request that was decided without the owner's answer. It is stored in case the
// answer arrives late.
type unansweredDecision struct {
	quota         *quotaBucket
	quotaOwner    int
	units         float64
	sent          bool          // whether the request was sent to an endpoint
	reportedUnits float64       // correction already included in the sum for the owner
	decidedAt     time.Duration // when the request was decided
}

// correction returns the correction that the owner must add to its tokens if it granted the quota
// request, or if it did not.
func (a *unansweredDecision) correction(granted bool) float64 {
	switch {
	case granted && !a.sent:
		return a.units
	case !granted && a.sent:
		return -a.units
	}
	return 0
}

// expectedCorrection returns the expected correction. It assumes that either the quota request or the answer
// was lost, and that both are equally likely. grantedFraction is the probability of a grant if the owner
// received the request.
func (a *unansweredDecision) expectedCorrection(grantedFraction float64) float64 {
	return (a.correction(true)*grantedFraction + a.correction(false)*(2-grantedFraction)) / 2
}

// recordMessage records that a message was received from any peer.
func (q *quotaRequester) recordMessage() { q.consecutiveUnanswered = 0 }

// recordAnswer records that an owner answered a quota request, whether it granted the units or not.
func (q *quotaRequester) recordAnswer(owner int) { q.unanswered[owner] = 0 }

func (q *quotaRequester) recordUnanswered(owner int) {
	q.unanswered[owner]++
	q.consecutiveUnanswered++
}

// isolated reports whether the last quota requests went unanswered and no peer has sent any message since.
func (q *quotaRequester) isolated() bool {
	return q.consecutiveUnanswered >= maxUnansweredQuotaRequests
}

// waitsFor reports whether a request should wait for the owner's answer.
func (q *quotaRequester) waitsFor(owner int) bool {
	return !q.isolated() && q.unanswered[owner] < maxUnansweredQuotaRequests
}

// mayRepeat reports whether a quota request to the owner may be repeated. The owner must have answered the
// last one, and this node's inbox must not be under pressure, because repeated messages add to the pressure.
func (q *quotaRequester) mayRepeat(owner int, inboxPressure bool) bool {
	return q.unanswered[owner] == 0 && !inboxPressure
}

// recordDecision stores a request that was decided without the owner's answer.
func (q *quotaRequester) recordDecision(number uint64, decision unansweredDecision) {
	q.decisions[number] = decision
}

// takeDecision removes and returns a request that was decided without the answer of this owner.
func (q *quotaRequester) takeDecision(number uint64, owner int) (unansweredDecision, bool) {
	decision, ok := q.decisions[number]
	if !ok || decision.quotaOwner != owner {
		return unansweredDecision{}, false
	}
	delete(q.decisions, number)
	return decision, true
}

// expire deletes the requests that are older than [unansweredDecisionRetention].
func (q *quotaRequester) expire(now time.Duration) {
	for number, decision := range q.decisions {
		if now-decision.decidedAt > unansweredDecisionRetention {
			delete(q.decisions, number)
		}
	}
}

// requesterState is the requester's state of one owned quota.
type requesterState struct {
	incarnation   uint64        // distinguishes the sums of successive buckets of the tenant
	correctionSum float64       // sum of corrections since the start of the incarnation, in units
	reportedSum   float64       // sum of corrections in the last report to the owner
	rejectedUnits float64       // units rejected without a quota request since the last quota request
	rejectedUntil time.Duration // until then no quota request is sent
}

// rejects reports whether the owner's last rejection still applies, and for how long.
func (s *requesterState) rejects(now time.Duration) (remaining time.Duration, rejected bool) {
	return s.rejectedUntil - now, now < s.rejectedUntil
}

func (s *requesterState) rejectUntil(until time.Duration) { s.rejectedUntil = until }

// recordRejected counts units that were rejected without a quota request.
func (s *requesterState) recordRejected(units float64) { s.rejectedUnits += units }

// takeRejected returns the units that were rejected without a quota request and resets their count.
func (s *requesterState) takeRejected() (units float64) {
	units, s.rejectedUnits = s.rejectedUnits, 0
	return units
}

// addCorrection adds to the sum of units that the owner must add to its tokens.
func (s *requesterState) addCorrection(units float64) { s.correctionSum += units }

// renewIncarnation starts a new incarnation if the sum of corrections has become too large for a message.
func (s *requesterState) renewIncarnation(random *rand.Rand) {
	if math.Abs(s.correctionSum) > maxCorrectionSum {
		s.correctionSum, s.reportedSum, s.incarnation = 0, 0, random.Uint64N(maxIncarnation)
	}
}

// unreported returns the change of the sum since the last report.
func (s *requesterState) unreported() float64 { return s.correctionSum - s.reportedSum }

// report returns the sum of corrections, rounded to whole units, and marks it as reported.
func (s *requesterState) report() reconciliation {
	s.reportedSum = math.Round(s.correctionSum)
	return reconciliation{s.incarnation, s.reportedSum}
}

// newQuotaRequest returns a quota request. It marks the corrections and local rejections that it contains as
// reported.
func (q *quotaBucket) newQuotaRequest(number uint64, units float64) quotaRequest {
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

// requestQuota sends a quota request to the owner, for the first or second time. If no answer is expected,
// it decides the request immediately.
func (b *Balancer) requestQuota(r *request) {
	r.quota.requester.renewIncarnation(b.rng)
	message := r.quota.newQuotaRequest(r.number, r.Units)
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

// quotaRequestTimedOut repeats an unanswered quota request once. After the second timeout it decides without
// the owner. One more message costs less than a decision by probability.
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

// decideWithoutOwner admits a request with the probability of a grant, according to the owner's last known
// report. It handles lost messages, network partitions, and owners that are down, stalled or flooded with
// messages. While the probability changes without a report reaching this node, it admits too many or too few
// requests.
//
// The owner accounts for the admitted units when a reconciliation reports them. During a partition it
// estimates them itself (see [quotaBucket.refill]).
func (b *Balancer) decideWithoutOwner(r *request) {
	r.quotaState = quotaUnanswered
	b.quotaRequester.recordUnanswered(r.quotaOwner)
	grantedFraction := b.overQuota.grantedFraction(r.quota.tenant)
	b.admit(r, b.rng.Float64() < grantedFraction, quotaRequestTimeout)
	decision := unansweredDecision{
		quota: r.quota, quotaOwner: r.quotaOwner, units: r.Units, sent: len(r.attempts) > 0, decidedAt: b.now,
	}
	if !b.isolated() {
		decision.reportedUnits = decision.expectedCorrection(grantedFraction)
		r.quota.requester.addCorrection(decision.reportedUnits)
		b.sendReconciliation(r.quota, r.quotaOwner)
	}
	b.quotaRequester.recordDecision(r.number, decision)
}

// isolated reports whether this node's last quota requests went unanswered and no peer has sent it any
// message since.
func (b *Balancer) isolated() bool { return b.quotaRequester.isolated() }

// receiveQuotaGrant admits or rejects the request that an owner has answered. An answer for which no request
// is waiting only updates the corrections.
func (b *Balancer) receiveQuotaGrant(from int, grant *quotaGrant) {
	b.quotaRequester.recordAnswer(from)
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

// receiveLateGrant replaces the estimated correction of a request that was decided without the owner. The
// late answer shows whether the owner deducted the units.
func (b *Balancer) receiveLateGrant(from int, grant *quotaGrant) {
	if decision, ok := b.quotaRequester.takeDecision(grant.number, from); ok {
		units := decision.correction(grant.granted) - decision.reportedUnits
		decision.quota.requester.addCorrection(units)
	}
}

// releaseQuota returns unused units to the quota. For a plan with a concurrency limit it also releases the
// lease.
func (b *Balancer) releaseQuota(r *request, units float64) {
	limited := r.quota.plan.MaxConcurrent > 0
	unanswered := r.quotaState == quotaUnanswered
	if unanswered {
		units = 0 // It is unknown whether the owner granted them. Only the lease is certainly unused.
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
		b.actions.SendPeer(r.quotaOwner, message) // If both are lost, the lease counts until it expires.
	}
}

// reconcileUnits corrects the quota by the units that a request did not use. Negative units are units that
// it used beyond the estimate. An owner receives the correction with the tenant's next quota request,
// because a message for each response would increase the number of messages by half. A separate message is
// sent only if the quota can grant just a fraction of the demand and the correction is large.
func (b *Balancer) reconcileUnits(r *request, units float64) {
	b.refill(r.quota)
	if !r.quota.owned || r.quotaOwner == b.settings.NodeIndex {
		b.releaseQuota(r, units)
		return
	}
	r.quota.requester.addCorrection(units)
	b.sendReconciliation(r.quota, r.quotaOwner)
}

// sendReconciliation reports the sum of corrections to the owner if the quota can grant only a fraction of
// the tenant's demand, the unreported change is at least [minReconciliationUnits], and this node is not
// isolated.
func (b *Balancer) sendReconciliation(bucket *quotaBucket, owner int) {
	if b.overQuota.grantedFraction(bucket.tenant) < 1 &&
		math.Abs(bucket.requester.unreported()) >= minReconciliationUnits && !b.isolated() {
		b.actions.SendPeer(owner, encodeReconciliationMessage(bucket.tenant, bucket.requester.report()))
	}
}

// acquire deducts units from a bucket's tokens and queues the bucket for gossip.
func (b *Balancer) acquire(bucket *quotaBucket, units float64) {
	bucket.acquire(units)
	b.markUnreported(bucket)
}
