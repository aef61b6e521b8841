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
func (g *Balancer) RequestArrived(now time.Duration, q Request, out Actions) {
	g.now, g.actions = now, out
	if g.requests[q.ID] != nil {
		return
	}
	ci, okClass := g.classIndex[q.Class]
	pi, okPlan := g.planIndex[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		g.actions.Reject(q.ID, 0)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.EntryNodes = min(max(q.EntryNodes, 1), g.settings.NodeCount)
	st := g.quotaFor(q.Customer, pi, q.EntryNodes, q.FirstEntryNode)
	g.lastRequestNumber++
	r := &request{Request: q, number: g.lastRequestNumber, class: ci, quota: st,
		deadline: now + q.Timeout - 2*g.settings.Tick}
	late, l := g.arrivesTooLate(ci, q.Timeout), &g.latencies[ci]
	tooShort := l.samples >= minBaselineSamples && q.Timeout.Seconds() < l.mean
	if g.exceedsConcurrencyLimit(ci) || late && g.overload.occupancy >= overloadedOccupancy || tooShort {
		g.reject(q.ID, g.settings.Classes[ci].LatencyObjective/retryAfterDivisor)
		return
	}
	pays := g.settings.Plans[pi].OverQuotaValue > 0
	if st.owned && now < st.rejectedUntil && !pays {
		st.locallyRejectedUnits += q.Units
		g.reject(q.ID, st.rejectedUntil-now)
		return
	}
	g.requests[q.ID], g.requestsByNumber[r.number] = r, r
	g.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	if r.quotaOwner = g.ownerFor(st); st.owned && r.quotaOwner != g.settings.NodeIndex {
		if now < st.rejectedUntil { // beyond the quota, and may go on so
			st.locallyRejectedUnits += q.Units
			g.admit(r, false, st.rejectedUntil-now)
			return
		}
		g.requestQuota(r)
		return
	}
	st.recordDemand(now, q.Units)
	in, wait := g.checkQuota(st, q.Units)
	if in = in && !(late && now < st.congestedUntil); in {
		st.recordGrant(now, q.Units)
		g.acquire(st, q.Units)
	}
	g.admit(r, in, wait)
}

// arrivesTooLate tells whether a try is known to come too late for its aim. Each try of a class begins with
// the same
// wait, of which a later try of the same client has less left. Where its answer would be worth little, it
// gives way to those that can still be answered in time. Clients that give each try a wait of its own
// look younger than they are: those are not held back.
func (g *Balancer) arrivesTooLate(class int, grace time.Duration) bool {
	c, l := &g.settings.Classes[class], &g.latencies[class]
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
func (g *Balancer) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.quota, &g.settings.Plans[r.quota.plan], r.class
	r.inQuota = in
	var s *endpoint
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !(p.OverQuotaValue > p.OverQuotaCost && g.overload.occupancy < underloadedOccupancy &&
		g.overload.admittedFraction >= 1) {
	} else if !r.grantedByOwner && st.hardLimitTokens < r.Units && p.HardLimitRate > 0 {
		wait = refillTime(r.Units-st.hardLimitTokens, p.HardLimitRate*st.hardLimitRateFraction)
	} else if wait, g.overload.throttleAccumulator =
		g.settings.Classes[ci].LatencyObjective/retryAfterDivisor,
		g.overload.throttleAccumulator+g.overload.admittedFraction; g.overload.throttleAccumulator >= 1 {
		g.overload.throttleAccumulator--
		wait = assessmentIntervals * controlInterval
		s = g.selectEndpoint(r)
	}
	if s == nil {
		g.releaseQuota(r, r.Units)
		g.reject(r.ID, wait)
		g.finishRequest(r)
		return
	}
	if p.HardLimitRate > 0 && !r.grantedByOwner {
		st.hardLimitTokens -= r.Units
	}
	st.startedSinceGossip++
	g.overload.sentCounts[g.overload.intervalIndex()]++
	g.retryTokens = math.Min(g.retryTokens+retryTokensPerRequest, maxRetryTokens)
	g.startAttempt(r, s)
}
