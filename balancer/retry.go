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

// resultNeverRan tells which results prove that the attempt did not run.
func resultNeverRan(r Result) bool { return r == Overloaded || r == ConnectFailed || r == NotSent }

// mayAttempt is rule 2 for a further attempt of the request at the server.
func (g *Balancer) mayAttempt(r *request, s *endpoint) bool {
	if r.answered || r.responseStarted || r.inFlight > 0 && !g.settings.Hedging ||
		g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts {
		return false
	}
	c := &g.settings.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || g.now > g.retryDeadline(r) ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// retryDeadline is until when a request of which an attempt may have run may be sent again, 0 if none has.
func (g *Balancer) retryDeadline(r *request) time.Duration {
	for i := range r.attempts {
		if c := &g.settings.Classes[r.class]; c.Idempotency == IdempotentWithKey && !r.attempts[i].neverRan {
			return r.attempts[i].sentAt + c.DedupWindow - 2*g.settings.Tick
		}
	}
	return 0
}

// mayReject is rule 2 for a refusal, which promises that trying again is harmless.
func (g *Balancer) mayReject(r *request) bool {
	c := &g.settings.Classes[r.class]
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

func (g *Balancer) startAttempt(r *request, s *endpoint) {
	c := &g.settings.Classes[r.class]
	l := &g.latencies[r.class]
	timeout := max(r.deadline-g.now, g.settings.Tick)
	more := g.settings.MaxAttempts == 0 || len(r.attempts)+1 < g.settings.MaxAttempts
	if c.Idempotency != NonIdempotent && more && l.samples >= minBaselineSamples &&
		g.overload.occupancy < overloadedOccupancy {
		slow := max(time.Duration((l.mean+slowAttemptDeviations*l.deviation)*float64(time.Second)),
			c.LatencyObjective/4)
		if g.settings.Hedging {
			g.actions.SetTimer(r.number<<timerBits|timerHedge, slow)
		} else if slow < timeout/2 && slow < c.LatencyObjective {
			timeout = slow
		}
	}
	if s.inFlight == 0 {
		s.lastProgress = g.now
	}
	s.inFlight++
	g.inFlight++
	r.inFlight++
	r.quota.inFlight++
	g.markUnreported(r.quota)
	if g.warmUpFraction(s) < 1 {
		s.slowStartTokens = math.Max(s.slowStartTokens-1, 0)
	}
	by := g.retryDeadline(r)
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: g.now, zone: s.Zone, cell: s.Cell})
	g.actions.SendAttempt(r.ID, s.ID, timeout, by)
}

// retry sends a further attempt if one is legal, affordable and of use.
func (g *Balancer) retry(r *request) bool {
	if g.retryTokens < 1 || g.now+time.Duration(g.latencies[r.class].mean*float64(time.Second)) > r.deadline {
		return false
	}
	s := g.selectEndpoint(r)
	if s != nil {
		g.retryTokens--
		g.startAttempt(r, s)
	}
	return s != nil
}
