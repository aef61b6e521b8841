package balancer

import "time"

// requestTable holds the requests that have no final answer yet or have attempts in flight.
type requestTable struct {
	byID       map[string]*request
	byNumber   map[uint64]*request
	lastNumber uint64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, byNumber: map[uint64]*request{}}
}

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
func (b *Balancer) AttemptFinished(now time.Duration, o Outcome, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result, a.neverRan = true, o.Result, resultNeverRan(o.Result)
	s := a.endpoint
	s.inFlight--
	b.concurrency.inFlight--
	r.inFlight--
	r.quota.inFlight--
	b.markUnreported(r.quota)
	b.recordOutcome(r, s, o)
	if o.Result == OK && b.settings.PostPaid && o.Units > 0 && r.inQuota && !r.reconciled {
		r.reconciled = true
		b.reconcileUnits(r, r.Units-o.Units)
	}
	if o.Answered || o.Result == OK {
		b.finishRequest(r)
	}
	if r.answered {
		b.finishRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !b.retry(r) {
		b.giveUp(r)
	}
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (b *Balancer) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	b.now, b.actions = now, out
	if r := b.requests.byID[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.responseStarted = true
		r.attempts[n].endpoint.lastProgress = now
	}
}

// ClientGone tells that a request is over without an answer of the gateway.
func (b *Balancer) ClientGone(now time.Duration, id string, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[id]
	if r == nil || r.answered {
		return
	}
	b.finishRequest(r)
	if !r.responseStarted {
		b.cancelAttempts(r)
	}
}

// giveUp gives the final answer: a refusal where that promise holds.
func (b *Balancer) giveUp(r *request) {
	if r.answered {
		return
	}
	if b.mayReject(r) {
		b.reject(r.ID, assessmentIntervals*controlInterval)
	} else {
		b.actions.Fail(r.ID)
	}
	b.finishRequest(r)
	b.cancelAttempts(r)
}

// reject refuses a request of which nothing was sent.
func (b *Balancer) reject(id string, wait time.Duration) {
	if !b.settings.RetryAfter {
		wait = 0
	}
	b.actions.Reject(id, min(wait, b.settings.MaxRetryAfter))
}

// finishRequest marks the request answered; it is kept until its attempts have ended.
func (b *Balancer) finishRequest(r *request) {
	r.answered = true
	delete(b.requests.byNumber, r.number)
	if r.inFlight == 0 {
		delete(b.requests.byID, r.ID)
		if len(r.attempts) > 0 && b.settings.Plans[r.quota.plan].MaxConcurrent > 0 && r.quota.owned {
			b.releaseQuota(r, 0)
		}
	}
}

// cancelAttempts asks to stop waiting for the attempts that are still out.
func (b *Balancer) cancelAttempts(r *request) {
	for i := range r.attempts {
		if b.settings.Cancellation && !r.attempts[i].done {
			b.actions.CancelAttempt(r.ID, i)
		}
	}
}
