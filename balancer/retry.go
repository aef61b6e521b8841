package balancer

import (
	"math"
	"time"
)

const (
	// slowAttemptDeviations is how many mean deviations over the mean latency make an attempt slow.
	slowAttemptDeviations = 10
	// slowAttemptDivisor is the fraction 1/n of the latency objective before which no attempt is slow.
	slowAttemptDivisor = 4
)

// Limits of a [retryBudget].
const (
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 20
)

// retryBudget bounds retries to a fraction of the first attempts, so that retries cannot multiply the
// load of endpoints that are already failing. The zero value is an empty budget.
type retryBudget struct {
	tokens float64
}

// deposit credits the budget for one first attempt.
func (r *retryBudget) deposit() {
	r.tokens = math.Min(r.tokens+retryTokensPerRequest, maxRetryTokens)
}

// empty reports whether there is no token for a retry.
func (r *retryBudget) empty() bool { return r.tokens < 1 }

// withdraw takes the token of a retry.
func (r *retryBudget) withdraw() { r.tokens-- }

// mayAttempt reports whether the request may be sent to the endpoint: an attempt that may have run allows
// another one only where the endpoint drops a repeat.
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

// hasAttemptLeft reports whether the request has had less than the maximum of attempts.
func (b *Balancer) hasAttemptLeft(r *request) bool {
	return b.settings.MaxAttempts == 0 || len(r.attempts) < b.settings.MaxAttempts
}

// dedups reports whether an endpoint knows the keys of requests that an earlier attempt has brought.
func (c *Class) dedups(earlier *attempt, to *endpoint) bool {
	switch c.DedupScope {
	case DedupZone:
		return earlier.zone == to.Zone
	case DedupCell:
		return earlier.cell == to.Cell
	}
	return true
}

// retryDeadline is until when a request with a key may be sent again, since an attempt may have run; 0 if
// none has.
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

// mayReject reports whether what a rejection promises holds: that the request did not run, or may be
// repeated anywhere.
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

// attemptTimeout returns the timeout of the next attempt. Where a slow attempt can be followed by another
// one, it sets the timer of a hedged attempt or, without hedging, ends the attempt early.
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

// hedge starts a second attempt beside one that is slow.
func (b *Balancer) hedge(r *request) {
	if !r.awaitsResponse() || r.inFlight != 1 || b.overload.overloaded() {
		return
	}
	// The second attempt counts as in flight: it must not push the tenant's next request over the limit.
	limited := r.quota.plan.MaxConcurrent > 0
	if limited && r.quota.concurrencyHeadroom(b.now, b.gossip.interval) <= r.quota.entryNodes.count {
		return
	}
	b.retry(r)
}

// retry starts a further attempt if one is allowed, affordable and can be answered in time. It reports
// whether it did.
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
