package balancer

import "time"

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	zone     string // of the endpoint when the attempt began
	cell     int    // likewise
	done     bool
	neverRan bool   // it is known that the request did not run
	result   Result // once done
}

// request is the state of a client's request until it is answered and its attempts have ended.
type request struct {
	Request
	number   uint64 // in this node's order of arrival
	class    int    // index
	quota    *quotaBucket
	deadline time.Duration // when a final answer is due
	attempts []attempt
	inFlight int // attempts that have not ended

	inQuota         bool
	quotaOwner      int // the node that decides on its quota
	quotaState      quotaRequestState
	reconciled      bool // the units really used are settled
	answered        bool // the client has its final answer, or has gone
	responseStarted bool // a streamed response has begun
}

// awaitsResponse reports whether the client still waits for the beginning of a response.
func (r *request) awaitsResponse() bool { return !r.answered && !r.responseStarted }

// requestTable holds the requests that have no final answer yet or have attempts in flight.
type requestTable struct {
	byID       map[string]*request
	byNumber   map[uint64]*request // those without a final answer
	lastNumber uint64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, byNumber: map[uint64]*request{}}
}

func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.byNumber[r.number] = r
}

// AttemptFinished is the end of an attempt.
func (b *Balancer) AttemptFinished(now time.Duration, o Outcome, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	endpoint := b.endAttempt(r, o)
	b.recordOutcome(r, endpoint, o)
	b.reconcileUsedUnits(r, o)
	if o.Answered || o.Result == OK {
		b.finishRequest(r)
	}
	if r.answered {
		b.finishRequest(r) // its last attempt may have ended now
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !b.retry(r) {
		b.giveUp(r)
	}
}

// endAttempt marks an attempt as done, and returns its endpoint.
func (b *Balancer) endAttempt(r *request, o Outcome) *endpoint {
	a := &r.attempts[o.Attempt]
	a.done = true
	a.result = o.Result
	a.neverRan = o.Result.neverRan()
	a.endpoint.endAttempt()
	b.concurrency.inFlight--
	r.inFlight--
	r.quota.attemptFinished()
	b.markUnreported(r.quota)
	return a.endpoint
}

// reconcileUsedUnits settles the units of a request by what it really used, once.
func (b *Balancer) reconcileUsedUnits(r *request, o Outcome) {
	if o.Result != OK || !b.settings.PostPaid || o.Units <= 0 || !r.inQuota || r.reconciled {
		return
	}
	r.reconciled = true
	b.reconcileUnits(r, r.Units-o.Units)
}

// ResponseStarted reports that a streamed response has begun: the client has it, and no other attempt can
// replace it.
func (b *Balancer) ResponseStarted(now time.Duration, requestID string, attempt int, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[requestID]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.responseStarted = true
	r.attempts[attempt].endpoint.recordProgress(now)
}

// ClientGone reports that the client no longer waits for the request.
func (b *Balancer) ClientGone(now time.Duration, requestID string, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[requestID]
	if r == nil || r.answered {
		return
	}
	b.finishRequest(r)
	if !r.responseStarted {
		b.cancelAttempts(r)
	}
}

// giveUp answers a request that gets no further attempt: with a rejection where what that promises holds.
func (b *Balancer) giveUp(r *request) {
	if b.mayReject(r) {
		b.reject(r.ID, assessmentIntervals*controlInterval)
	} else {
		b.actions.Fail(r.ID)
	}
	b.finishRequest(r)
	b.cancelAttempts(r)
}

// reject answers a request with a rejection.
func (b *Balancer) reject(requestID string, retryAfter time.Duration) {
	if !b.settings.RetryAfter {
		retryAfter = 0
	}
	b.actions.Reject(requestID, min(retryAfter, b.settings.MaxRetryAfter))
}

// finishRequest marks a request as answered. It is kept until its attempts have ended.
func (b *Balancer) finishRequest(r *request) {
	r.answered = true
	delete(b.requests.byNumber, r.number)
	if r.inFlight > 0 {
		return
	}
	delete(b.requests.byID, r.ID)
	if len(r.attempts) > 0 && r.quota.owned && r.quota.plan.MaxConcurrent > 0 {
		b.releaseQuota(r, 0)
	}
}

// cancelAttempts cancels the attempts that are in flight.
func (b *Balancer) cancelAttempts(r *request) {
	if !b.settings.Cancellation {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].done {
			b.actions.CancelAttempt(r.ID, i)
		}
	}
}
