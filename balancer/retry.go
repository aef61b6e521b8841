package balancer

import (
	"math"
	"time"
)

const (
	// mean deviations over the mean at which an attempt is slow
	slowAttemptDeviations = 10
	retryTokensPerRequest = 0.2 // further attempts earned by each first one
	maxRetryTokens        = 20  // further attempts that can be saved up
)

// retryBudget bounds retries to a fraction of the first attempts. The zero value is an empty budget.
type retryBudget struct {
	tokens float64
}

// resultNeverRan tells which results prove that the attempt did not run.
func resultNeverRan(r Result) bool { return r == Overloaded || r == ConnectFailed || r == NotSent }

// mayAttempt is rule 2 for a further attempt of the request at the server.
func (b *Balancer) mayAttempt(r *request, s *endpoint) bool {
	if r.answered || r.responseStarted || r.inFlight > 0 && !b.settings.Hedging ||
		b.settings.MaxAttempts > 0 && len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	c := &b.settings.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || b.now > b.retryDeadline(r) ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// retryDeadline is until when a request of which an attempt may have run may be sent again, 0 if none has.
func (b *Balancer) retryDeadline(r *request) time.Duration {
	for i := range r.attempts {
		if c := &b.settings.Classes[r.class]; c.Idempotency == IdempotentWithKey && !r.attempts[i].neverRan {
			return r.attempts[i].sentAt + c.DedupWindow - 2*b.settings.Tick
		}
	}
	return 0
}

// mayReject is rule 2 for a refusal, which promises that trying again is harmless.
func (b *Balancer) mayReject(r *request) bool {
	c := &b.settings.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupFleet {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

func (b *Balancer) startAttempt(r *request, s *endpoint) {
	c := &b.settings.Classes[r.class]
	l := &b.latency.classes[r.class]
	timeout := max(r.deadline-b.now, b.settings.Tick)
	more := b.settings.MaxAttempts == 0 || len(r.attempts)+1 < b.settings.MaxAttempts
	if c.Idempotency != NonIdempotent && more && l.samples >= minBaselineSamples &&
		b.overload.occupancy < overloadedOccupancy {
		slow := max(time.Duration((l.mean+slowAttemptDeviations*l.deviation)*float64(time.Second)),
			c.LatencyObjective/4)
		if b.settings.Hedging {
			b.actions.SetTimer(r.number<<timerBits|timerHedge, slow)
		} else if slow < timeout/2 && slow < c.LatencyObjective {
			timeout = slow
		}
	}
	if s.inFlight == 0 {
		s.lastProgress = b.now
	}
	s.inFlight++
	b.concurrency.inFlight++
	r.inFlight++
	r.quota.inFlight++
	b.markUnreported(r.quota)
	if b.warmUpFraction(s) < 1 {
		s.slowStartTokens = math.Max(s.slowStartTokens-1, 0)
	}
	by := b.retryDeadline(r)
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: b.now, zone: s.Zone, cell: s.Cell})
	b.actions.SendAttempt(r.ID, s.ID, timeout, by)
}

// retry sends a further attempt if one is legal, affordable and of use.
func (b *Balancer) retry(r *request) bool {
	if b.retries.tokens < 1 ||
		b.now+time.Duration(b.latency.classes[r.class].mean*float64(time.Second)) > r.deadline {
		return false
	}
	s := b.selectEndpoint(r)
	if s != nil {
		b.retries.tokens--
		b.startAttempt(r, s)
	}
	return s != nil
}
