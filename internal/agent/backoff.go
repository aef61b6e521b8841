package agent

import (
	"math/rand/v2"
	"time"
)

// randomDuration returns a random duration in [0, limit), or 0 if limit is not positive.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// backoff computes the delays after failed calls.
type backoff struct {
	initial, limit time.Duration // first and longest window
	rng            *rand.Rand

	window   time.Duration // range of the random part of the next delay
	failures int           // number of failed calls since a replica was last healthy
}

func newBackoff(rules Rules, rng *rand.Rand) backoff {
	return backoff{
		initial: rules.InitialBackoff,
		limit:   rules.MaxBackoff,
		rng:     rng,
		window:  rules.InitialBackoff,
	}
}

// fail records a failed call and returns the delay before the next one. The delay is between a quarter and
// one and a quarter windows. With a Retry-After it is between one and two times that duration. The window
// doubles each time the number of failures reaches a multiple of the number of replicas.
func (b *backoff) fail(replicas int, retryAfter time.Duration) time.Duration {
	b.failures++
	wait := b.window/4 + randomDuration(b.rng, b.window)
	if retryAfter > 0 {
		wait = retryAfter + randomDuration(b.rng, retryAfter)
	}
	if b.failures%replicas == 0 {
		b.window = min(2*b.window, b.limit)
	}
	return wait
}

// reset restores the first window. It is called when a replica is healthy.
func (b *backoff) reset() { b.window, b.failures = b.initial, 0 }

// callBudget is a token bucket for the calls of one follower. It bounds the follower's load on the service
// during any kind of failure.
type callBudget struct {
	perSecond, burst float64 // refill rate and capacity, in calls
	tokens           float64
	refilledAt       time.Duration
}

func newCallBudget(now time.Duration, rules Rules) callBudget {
	return callBudget{
		perSecond:  rules.CallsPerSecond,
		burst:      rules.CallBurst,
		tokens:     rules.CallBurst,
		refilledAt: now,
	}
}

// spend refills the bucket and takes the token of one call. It reports whether a token was available.
func (b *callBudget) spend(now time.Duration) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilNext returns the time from the latest refill until the next token is available, plus one millisecond.
func (b *callBudget) untilNext() time.Duration {
	return time.Duration((1-b.tokens)/b.perSecond*float64(time.Second)) + time.Millisecond
}
