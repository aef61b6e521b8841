package balancer

import (
	"math"
	"time"
)

const (
	// parts of an aim after which a throttled client should try again
	retryAfterDivisor = 4
	// parts of an aim in a step of the wait that fresh tries have
	initialTimeoutSteps = 20
	// times that a step down is smaller: the longest tenth counts
	initialTimeoutDecayFactor = 10
)

// RequestArrived is a new try of a client: it is sent on or refused at once.
func (b *Balancer) RequestArrived(now time.Duration, q Request, out Actions) {
	b.now, b.actions = now, out
	if b.requests.byID[q.ID] != nil {
		return
	}
	ci, okClass := b.classIndex[q.Class]
	pi, okPlan := b.planIndex[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		b.actions.Reject(q.ID, 0)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.EntryNodes = min(max(q.EntryNodes, 1), b.settings.NodeCount)
	st := b.quotaFor(q.Tenant, pi, q.EntryNodes, q.FirstEntryNode)
	b.requests.lastNumber++
	r := &request{Request: q, number: b.requests.lastNumber, class: ci, quota: st,
		deadline: now + q.Timeout - 2*b.settings.Tick}
	late, l := b.arrivesTooLate(ci, q.Timeout), &b.latency.classes[ci]
	tooShort := l.samples >= minBaselineSamples && q.Timeout.Seconds() < l.mean
	if b.exceedsConcurrencyLimit(ci) || late && b.overload.occupancy >= overloadedOccupancy || tooShort {
		b.reject(q.ID, b.settings.Classes[ci].LatencyObjective/retryAfterDivisor)
		return
	}
	pays := b.settings.Plans[pi].OverQuotaValue > 0
	if st.owned && now < st.rejectedUntil && !pays {
		st.locallyRejectedUnits += q.Units
		b.reject(q.ID, st.rejectedUntil-now)
		return
	}
	b.requests.byID[q.ID], b.requests.byNumber[r.number] = r, r
	b.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	if r.quotaOwner = b.ownerFor(st); st.owned && r.quotaOwner != b.settings.NodeIndex {
		if now < st.rejectedUntil { // beyond the quota, and may go on so
			st.locallyRejectedUnits += q.Units
			b.admit(r, false, st.rejectedUntil-now)
			return
		}
		b.requestQuota(r)
		return
	}
	st.recordDemand(now, q.Units)
	in, wait := b.checkQuota(st, q.Units)
	if in = in && !(late && now < st.congestedUntil); in {
		st.recordGrant(now, q.Units)
		b.acquire(st, q.Units)
	}
	b.admit(r, in, wait)
}

// arrivesTooLate tells whether a try is known to come too late for its aim. Each try of a class begins with
// the same
// wait, of which a later try of the same client has less left. Where its answer would be worth little, it
// gives way to those that can still be answered in time. Clients that give each try a wait of its own
// look younger than they are: those are not held back.
func (b *Balancer) arrivesTooLate(class int, grace time.Duration) bool {
	c, l := &b.settings.Classes[class], &b.latency.classes[class]
	if l.initialTimeout == 0 {
		l.initialTimeout = grace
	}
	// A high quantile, not the most: single clients must not make all others look late.
	if step := c.LatencyObjective / initialTimeoutSteps; grace > l.initialTimeout {
		l.initialTimeout += min(step, grace-l.initialTimeout)
	} else {
		l.initialTimeout -= min(step/initialTimeoutDecayFactor, l.initialTimeout-grace)
	}
	return (l.initialTimeout-grace).Seconds()+l.mean > c.LatencyObjective.Seconds()
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (b *Balancer) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.quota, &b.settings.Plans[r.quota.plan], r.class
	r.inQuota = in
	var s *endpoint
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !(p.OverQuotaValue > p.OverQuotaCost && b.overload.occupancy < underloadedOccupancy &&
		b.overload.admittedFraction >= 1) {
	} else if !r.grantedByOwner && st.hardLimitTokens < r.Units && p.HardLimitRate > 0 {
		wait = refillTime(r.Units-st.hardLimitTokens, p.HardLimitRate*st.hardLimitRateFraction)
	} else if wait, b.overload.throttleAccumulator =
		b.settings.Classes[ci].LatencyObjective/retryAfterDivisor,
		b.overload.throttleAccumulator+b.overload.admittedFraction; b.overload.throttleAccumulator >= 1 {
		b.overload.throttleAccumulator--
		wait = assessmentIntervals * controlInterval
		s = b.selectEndpoint(r)
	}
	if s == nil {
		b.releaseQuota(r, r.Units)
		b.reject(r.ID, wait)
		b.finishRequest(r)
		return
	}
	if p.HardLimitRate > 0 && !r.grantedByOwner {
		st.hardLimitTokens -= r.Units
	}
	st.startedSinceGossip++
	b.overload.sentCounts[b.overload.intervalIndex()]++
	b.retries.tokens = math.Min(b.retries.tokens+retryTokensPerRequest, maxRetryTokens)
	b.startAttempt(r, s)
}
