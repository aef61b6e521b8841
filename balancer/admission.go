package balancer

import (
	"math"
	"time"
)

const (
	// retryAfterDivisor is the fraction 1/n of its latency objective after which a throttled client may
	// retry.
	retryAfterDivisor = 4
	// initialTimeoutSteps is the fraction 1/n of the latency objective by which the initial timeout of a
	// class follows the requests' timeouts upwards.
	initialTimeoutSteps = 20
	// initialTimeoutDecayFactor is how much smaller a step downwards is, so that the longest tenth of the
	// timeouts counts.
	initialTimeoutDecayFactor = 10
)

// RequestArrived is a new request of a client. It is forwarded, rejected, or waits for its quota's owner.
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
	if b.hasNoHope(r, late) {
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

// newRequest returns the state of a request that arrives, or nil where its class, plan or timeout cannot be.
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

// hasNoHope reports whether a request cannot be answered in time, or gives way to those that can.
func (b *Balancer) hasNoHope(r *request, late bool) bool {
	if b.exceedsConcurrencyLimit(r.class) || late && b.overload.overloaded() {
		return true
	}
	latency := &b.latency.classes[r.class]
	return latency.samples >= minBaselineSamples && r.Timeout.Seconds() < latency.mean
}

// decideOwnQuota admits a request by a quota that this node keeps itself.
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

// arrivesTooLate reports whether a request is known to miss its latency objective. The first request of a
// client begins with the timeout of its class, and a retry has what is left of that. Where a response
// would be worth little, the retry gives way to requests that can still be answered in time. A client
// that gives each retry a timeout of its own looks as if it had just begun: it is not held back.
func (b *Balancer) arrivesTooLate(class int, timeout time.Duration) bool {
	objective := b.settings.Classes[class].LatencyObjective
	latency := &b.latency.classes[class]
	latency.followInitialTimeout(timeout, objective)
	elapsed := (latency.initialTimeout - timeout).Seconds()
	return elapsed+latency.mean > objective.Seconds()
}

// followInitialTimeout moves the timeout that a client's first request is taken to have. It follows a
// high quantile and not the maximum: a single client must not make all others look late.
func (l *classLatency) followInitialTimeout(timeout, objective time.Duration) {
	if l.initialTimeout == 0 {
		l.initialTimeout = timeout
	}
	step := objective / initialTimeoutSteps
	if timeout > l.initialTimeout {
		l.initialTimeout += min(step, timeout-l.initialTimeout)
	} else {
		l.initialTimeout -= min(step/initialTimeoutDecayFactor, l.initialTimeout-timeout)
	}
}

// admit forwards a request whose quota is decided, or rejects it. The units of one inside its quota have
// been acquired.
func (b *Balancer) admit(r *request, inQuota bool, retryAfter time.Duration) {
	r.inQuota = inQuota
	endpoint, retryAfter := b.admittedTo(r, retryAfter)
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

// admittedTo returns the endpoint for a request's first attempt, or nil and when the client may retry.
// quotaRetryAfter is when its quota lets it retry.
func (b *Balancer) admittedTo(r *request, quotaRetryAfter time.Duration) (*endpoint, time.Duration) {
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

// servesBeyondQuota reports whether requests beyond the quota are served: where that has more value than
// it costs, and the endpoints have capacity to spare.
func (b *Balancer) servesBeyondQuota(plan *quotaPlan) bool {
	return plan.OverQuotaValue > plan.OverQuotaCost && b.overload.underloaded()
}
