package agent

import (
	"math/rand/v2"
	"time"
)

// randomDuration returns a random duration from 0 up to limit, 0 if there is none.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

// backoff decides how long to wait between failed calls.
type backoff struct {
	initial, limit time.Duration // of the window
	rng            *rand.Rand

	window   time.Duration // within which the next call is made
	failures int           // calls that failed since a replica was last healthy
}

func newBackoff(rules Rules, rng *rand.Rand) backoff {
	return backoff{initial: rules.InitialBackoff, limit: rules.MaxBackoff, rng: rng, window: rules.InitialBackoff}
}

// fail counts a failed call and returns the time before the next one. The window doubles once every replica has failed.
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

// reset notes a healthy replica.
func (b *backoff) reset() { b.window, b.failures = b.initial, 0 }

// callBudget is the token bucket of a process's calls. It bounds what one follower costs the service, whatever fails.
type callBudget struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
}

func newCallBudget(now time.Duration, rules Rules) callBudget {
	return callBudget{perSecond: rules.CallsPerSecond, burst: rules.CallBurst, tokens: rules.CallBurst, refilledAt: now}
}

// spend takes the token of one call. It reports whether there was one.
func (b *callBudget) spend(now time.Duration) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilNext returns how long after the latest refill the next token is there.
func (b *callBudget) untilNext() time.Duration {
	return time.Duration((1-b.tokens)/b.perSecond*float64(time.Second)) + time.Millisecond
}
