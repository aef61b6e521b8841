package balancer

import "time"

type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	zone     string // of the server when it was sent
	cell     int
	done     bool
	neverRan bool // known not to have run
	result   Result
}

type request struct {
	Request
	number               uint64
	class                int
	quota                *quotaBucket
	deadline             time.Duration // final answer due
	attempts             []attempt
	inFlight             int
	inQuota              bool
	decidedWithoutOwner  bool // its ask came to nothing: sent by chance or not at all
	finalQuotaRequest    bool // not to be asked for again
	quotaRequestRepeated bool // asked for twice
	grantedByOwner       bool // by its holder, with its part of the ceiling
	quotaOwner           int  // gateway that was asked for its units, or this one
	reconciled           bool
	answered             bool // finally answered
	responseStarted      bool // its stream has begun
}

// AttemptFinished is the end of an attempt.
func (g *Balancer) AttemptFinished(now time.Duration, o Outcome, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result, a.neverRan = true, o.Result, resultNeverRan(o.Result)
	s := a.endpoint
	s.inFlight--
	g.inFlight--
	r.inFlight--
	r.quota.inFlight--
	g.markUnreported(r.quota)
	g.recordOutcome(r, s, o)
	if o.Result == OK && g.settings.PostPaid && o.Units > 0 && r.inQuota && !r.reconciled {
		r.reconciled = true
		g.reconcileUnits(r, r.Units-o.Units)
	}
	if o.Answered || o.Result == OK {
		g.finishRequest(r)
	}
	if r.answered {
		g.finishRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !g.retry(r) {
		g.giveUp(r)
	}
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (g *Balancer) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	g.now, g.actions = now, out
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.responseStarted = true
		r.attempts[n].endpoint.lastProgress = now
	}
}

// ClientGone tells that a request is over without an answer of the gateway.
func (g *Balancer) ClientGone(now time.Duration, id string, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[id]
	if r == nil || r.answered {
		return
	}
	g.finishRequest(r)
	if !r.responseStarted {
		g.cancelAttempts(r)
	}
}

// giveUp gives the final answer: a refusal where that promise holds.
func (g *Balancer) giveUp(r *request) {
	if r.answered {
		return
	}
	if g.mayReject(r) {
		g.reject(r.ID, assessmentIntervals*controlInterval)
	} else {
		g.actions.Fail(r.ID)
	}
	g.finishRequest(r)
	g.cancelAttempts(r)
}

// reject refuses a request of which nothing was sent.
func (g *Balancer) reject(id string, wait time.Duration) {
	if !g.settings.RetryAfter {
		wait = 0
	}
	g.actions.Reject(id, min(wait, g.settings.MaxRetryAfter))
}

// finishRequest marks the request answered; it is kept until its attempts have ended.
func (g *Balancer) finishRequest(r *request) {
	r.answered = true
	delete(g.requestsByNumber, r.number)
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
		if len(r.attempts) > 0 && g.settings.Plans[r.quota.plan].MaxConcurrent > 0 && r.quota.owned {
			g.releaseQuota(r, 0)
		}
	}
}

// cancelAttempts asks to stop waiting for the attempts that are still out.
func (g *Balancer) cancelAttempts(r *request) {
	for i := range r.attempts {
		if g.settings.Cancellation && !r.attempts[i].done {
			g.actions.CancelAttempt(r.ID, i)
		}
	}
}
