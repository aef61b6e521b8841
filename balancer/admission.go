package balancer

import (
	"math"
	"time"
)

const (
	// retryAfterDivisor determines the retry delay of a request that is shed or throttled: the latency
	// objective of its class divided by retryAfterDivisor.
	retryAfterDivisor = 4
	// initialTimeoutStepDivisor determines the largest increase of a class's initial timeout per request:
	// the latency objective divided by initialTimeoutStepDivisor.
	initialTimeoutStepDivisor = 20
	// initialTimeoutDecayDivisor is the ratio of the largest increase to the largest decrease. With a ratio
	// of 10 the initial timeout follows the longest tenth of the requests' timeouts.
	initialTimeoutDecayDivisor = 10
)

// RequestArrived handles a new request of a client: it forwards or rejects the request, or asks the owner of
// the tenant's quota to decide.
func (b *Balancer) RequestArrived(now time.Duration, arrived Request, out Actions) {
	b.now, b.actions = now, out
	if b.requests.byID[arrived.ID] != nil {
		return
	}
	r := b.newRequest(arrived)
	if r == nil {
		b.actions.Reject(arrived.ID, 0)
		return
	}
	late := b.arrivesTooLate(r.class, arrived.Timeout)
	if b.shouldShed(r, late) {
		b.reject(r.ID, b.settings.Classes[r.class].LatencyObjective/retryAfterDivisor)
		return
	}
	bucket := r.quota
	remaining, rejected := bucket.requester.rejects(now)
	if bucket.owned && rejected && bucket.plan.OverQuotaValue <= 0 {
		bucket.requester.recordRejected(r.Units)
		b.reject(r.ID, remaining)
		return
	}
	b.requests.add(r)
	b.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	r.quotaOwner = b.ownerFor(bucket)
	if bucket.owned && r.quotaOwner != b.settings.NodeIndex {
		if rejected {
			bucket.requester.recordRejected(r.Units)
			b.admit(r, false, remaining)
			return
		}
		b.requestQuota(r)
		return
	}
	b.decideOwnQuota(r, late)
}

// newRequest returns the state of a new request. It returns nil if the class or plan is unknown, or if the
// timeout is not positive.
func (b *Balancer) newRequest(arrived Request) *request {
	class, knownClass := b.classIndex[arrived.Class]
	planIndex, knownPlan := b.planIndex[arrived.Plan]
	if !knownClass || !knownPlan || arrived.Timeout <= 0 {
		return nil
	}
	arrived.Units = math.Max(arrived.Units, 0)
	arrived.EntryNodes = min(max(arrived.EntryNodes, 1), b.settings.NodeCount)
	plan := b.quotas.plan(planIndex)
	nodes := entryNodes{arrived.FirstEntryNode, arrived.EntryNodes}
	b.requests.lastNumber++
	return &request{
		Request:  arrived,
		number:   b.requests.lastNumber,
		class:    class,
		quota:    b.quotaFor(arrived.Tenant, plan, nodes),
		deadline: b.now + arrived.Timeout - 2*b.settings.Tick,
	}
}

// shouldShed reports whether a new request is rejected at once. Such a request is not expected to be answered
// in time, or is late while the endpoints are overloaded.
func (b *Balancer) shouldShed(r *request, late bool) bool {
	if b.exceedsConcurrencyLimit(r.class) || late && b.overload.overloaded() {
		return true
	}
	latency := &b.latency.classes[r.class]
	return latency.samples >= minBaselineSamples && r.Timeout.Seconds() < latency.mean
}

// decideOwnQuota decides on a request whose quota this node checks itself, because the quota is split between
// the entry nodes or owned by this node.
func (b *Balancer) decideOwnQuota(r *request, late bool) {
	bucket := r.quota
	bucket.owner.recordDemand(b.now, r.Units)
	inQuota, retryAfter := bucket.check(b.now, r.Units, b.gossip.interval)
	if late && bucket.congested(b.now) {
		inQuota = false
	}
	if inQuota {
		bucket.owner.recordGrant(b.now, r.Units)
		b.acquire(bucket, r.Units)
	}
	b.admit(r, inQuota, retryAfter)
}

// arrivesTooLate reports whether a new request is expected to miss its latency objective, and updates the
// initial timeout of its class. It assumes that a client's first request has the initial timeout and that a
// retry has the remaining part of it, so the difference is the time that the client has waited. Late
// responses have little value, so late requests are rejected in favor of those that can still be answered in
// time. A retry with a full timeout of its own looks like a first request and is not treated as late.
func (b *Balancer) arrivesTooLate(class int, timeout time.Duration) bool {
	objective := b.settings.Classes[class].LatencyObjective
	latency := &b.latency.classes[class]
	latency.updateInitialTimeout(timeout, objective)
	elapsed := (latency.initialTimeout - timeout).Seconds()
	return elapsed+latency.mean > objective.Seconds()
}

// updateInitialTimeout moves the estimated timeout of a client's first request towards the timeout of a
// request. The estimate follows a high quantile and not the maximum, so that a single client cannot make all
// others look late.
func (l *classLatency) updateInitialTimeout(timeout, objective time.Duration) {
	if l.initialTimeout == 0 {
		l.initialTimeout = timeout
	}
	step := objective / initialTimeoutStepDivisor
	if timeout > l.initialTimeout {
		l.initialTimeout += min(step, timeout-l.initialTimeout)
	} else {
		l.initialTimeout -= min(step/initialTimeoutDecayDivisor, l.initialTimeout-timeout)
	}
}

// admit forwards or rejects a request after the decision on its quota. The units of a request within the
// quota have already been acquired.
func (b *Balancer) admit(r *request, inQuota bool, retryAfter time.Duration) {
	r.inQuota = inQuota
	endpoint, retryAfter := b.endpointIfAdmitted(r, retryAfter)
	if endpoint == nil {
		b.releaseQuota(r, r.Units)
		b.reject(r.ID, retryAfter)
		b.finishRequest(r)
		return
	}
	if !r.quotaState.grantedByOwner() {
		r.quota.hardLimit.acquire(r.quota.plan, r.Units)
	}
	r.quota.requestStarted()
	b.overload.recordSent()
	b.retries.deposit()
	b.startAttempt(r, endpoint)
}

// endpointIfAdmitted returns the endpoint for a request's first attempt. If the request is not admitted, it
// returns nil and the time after which the client may retry. quotaRetryAfter is that time if the quota is
// exceeded.
func (b *Balancer) endpointIfAdmitted(r *request, quotaRetryAfter time.Duration) (*endpoint, time.Duration) {
	plan := r.quota.plan
	if !r.inQuota && !b.servesBeyondQuota(plan) {
		return nil, quotaRetryAfter
	}
	if !r.quotaState.grantedByOwner() && !r.quota.hardLimit.covers(plan, r.Units) {
		return nil, r.quota.hardLimit.timeUntil(plan, r.Units)
	}
	if !b.overload.admit() {
		return nil, b.settings.Classes[r.class].LatencyObjective / retryAfterDivisor
	}
	return b.selectEndpoint(r), assessmentIntervals * controlInterval
}

// servesBeyondQuota reports whether requests beyond the plan's quota are served. Such a response must have
// more value than it costs, and the endpoints must have spare capacity.
func (b *Balancer) servesBeyondQuota(plan *quotaPlan) bool {
	return plan.OverQuotaValue > plan.OverQuotaCost && b.overload.underloaded()
}
