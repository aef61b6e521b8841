package balancer

import (
	"math"
	"time"
)

const (
	// slowAttemptDeviations is the number of mean deviations above the mean latency from which an attempt is
	// slow.
	slowAttemptDeviations = 10
	// slowAttemptDivisor determines the time before which no attempt is slow: the latency objective divided
	// by slowAttemptDivisor.
	slowAttemptDivisor = 4
)

// Parameters of [retryBudget].
const (
	retryTokensPerRequest = 0.2 // retries earned by each first attempt
	maxRetryTokens        = 20  // retries that may be saved up
)

// retryBudget limits retries to a fraction of the first attempts, so that retries cannot multiply the load on
// endpoints that are already failing. The zero value is an empty budget.
type retryBudget struct {
	tokens float64 // retries that may be started now
}

// deposit adds the tokens earned by one first attempt.
func (r *retryBudget) deposit() {
	r.tokens = math.Min(r.tokens+retryTokensPerRequest, maxRetryTokens)
}

// empty reports whether the budget allows no retry.
func (r *retryBudget) empty() bool { return r.tokens < 1 }

// withdraw takes the token for one retry.
func (r *retryBudget) withdraw() { r.tokens-- }

// mayAttempt reports whether the request may be sent to the endpoint. If an earlier attempt may have run, the
// request must be idempotent, or the endpoint must recognize and drop a repeat by its key.
func (b *Balancer) mayAttempt(r *request, to *endpoint) bool {
	if !r.awaitsResponse() || r.inFlight > 0 && !b.settings.Hedging || !b.hasAttemptLeft(r) {
		return false
	}
	class := &b.settings.Classes[r.class]
	if class.Idempotency == Idempotent {
		return true
	}
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if earlier.neverRan {
			continue
		}
		if class.Idempotency == NonIdempotent || b.now > b.retryDeadline(r) || !class.dedups(earlier, to) {
			return false
		}
	}
	return true
}

// hasAttemptLeft reports whether the request has had fewer attempts than the maximum.
func (b *Balancer) hasAttemptLeft(r *request) bool {
	return b.settings.MaxAttempts == 0 || len(r.attempts) < b.settings.MaxAttempts
}

// dedups reports whether an endpoint recognizes the idempotency key of a request after an earlier attempt.
func (c *Class) dedups(earlier *attempt, to *endpoint) bool {
	switch c.DedupScope {
	case DedupZone:
		return earlier.zone == to.Zone
	case DedupCell:
		return earlier.cell == to.Cell
	}
	return true
}

// retryDeadline returns the time until which a request with an idempotency key may be sent again. It returns
// 0 if there is no such limit: the class has no keys, or no attempt of the request can have run.
func (b *Balancer) retryDeadline(r *request) time.Duration {
	class := &b.settings.Classes[r.class]
	if class.Idempotency != IdempotentWithKey {
		return 0
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return r.attempts[i].sentAt + class.DedupWindow - 2*b.settings.Tick
		}
	}
	return 0
}

// mayReject reports whether the promise of [Actions.Reject] holds: the request did not run, or may be
// repeated at any endpoint.
func (b *Balancer) mayReject(r *request) bool {
	class := &b.settings.Classes[r.class]
	switch {
	case class.Idempotency == Idempotent:
		return true
	case class.Idempotency == IdempotentWithKey && class.DedupScope == DedupFleet:
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

// startAttempt sends the request to the endpoint.
func (b *Balancer) startAttempt(r *request, to *endpoint) {
	timeout := b.attemptTimeout(r)
	to.beginAttempt(b.now)
	b.concurrency.inFlight++
	r.inFlight++
	r.quota.attemptStarted()
	b.markUnreported(r.quota)
	if b.warmUpFraction(to) < 1 {
		to.slowStart.withdraw()
	}
	sendBy := b.retryDeadline(r)
	r.attempts = append(r.attempts, attempt{endpoint: to, sentAt: b.now, zone: to.Zone, cell: to.Cell})
	b.actions.SendAttempt(r.ID, to.ID, timeout, sendBy)
}

// attemptTimeout returns the timeout of the next attempt. If another attempt may follow a slow one, it sets
// the timer of a hedged attempt or, without hedging, may return a shorter timeout.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	timeout := max(r.deadline-b.now, b.settings.Tick)
	class := &b.settings.Classes[r.class]
	latency := &b.latency.classes[r.class]
	lastAttempt := b.settings.MaxAttempts != 0 && len(r.attempts)+1 >= b.settings.MaxAttempts
	if class.Idempotency == NonIdempotent || lastAttempt || latency.samples < minBaselineSamples ||
		b.overload.overloaded() {
		return timeout
	}
	slow := time.Duration((latency.mean + slowAttemptDeviations*latency.deviation) * float64(time.Second))
	slow = max(slow, class.LatencyObjective/slowAttemptDivisor)
	if b.settings.Hedging {
		b.actions.SetTimer(r.number<<timerBits|timerHedge, slow)
		return timeout
	}
	if slow < timeout/2 && slow < class.LatencyObjective {
		return slow
	}
	return timeout
}

// hedge starts a hedged attempt while a slow one is in flight.
func (b *Balancer) hedge(r *request) {
	if !r.awaitsResponse() || r.inFlight != 1 || b.overload.overloaded() {
		return
	}
	// The hedged attempt counts as in flight and must not push the tenant's next request over the limit.
	limited := r.quota.plan.MaxConcurrent > 0
	if limited && r.quota.concurrencyHeadroom(b.now, b.gossip.interval) <= r.quota.entryNodes.count {
		return
	}
	b.retry(r)
}

// retry starts a further attempt if the retry budget and the retry rules allow one and if it can be answered
// before the deadline. It reports whether it started one.
func (b *Balancer) retry(r *request) bool {
	meanLatency := time.Duration(b.latency.classes[r.class].mean * float64(time.Second))
	if b.retries.empty() || b.now+meanLatency > r.deadline {
		return false
	}
	endpoint := b.selectEndpoint(r)
	if endpoint == nil {
		return false
	}
	b.retries.withdraw()
	b.startAttempt(r, endpoint)
	return true
}
