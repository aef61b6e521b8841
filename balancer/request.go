package balancer

import "time"

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	zone     string // zone of the endpoint at the start of the attempt
	cell     int    // cell of the endpoint at the start of the attempt
	done     bool
	neverRan bool   // the result proves that the request did not run
	result   Result // valid when done
}

// request is the state of a client's request. It is kept until the request is answered and its attempts have
// ended.
type request struct {
	Request
	number   uint64 // sequence number at this node
	class    int    // index in the settings
	quota    *quotaBucket
	deadline time.Duration // time by which a final answer is due
	attempts []attempt
	inFlight int // number of attempts that have not ended

	inQuota         bool // the quota admits the request
	quotaOwner      int  // node that decides on the quota
	quotaState      quotaRequestState
	reconciled      bool // the quota has been adjusted to the units actually used
	answered        bool // the client has its final answer or has disconnected
	responseStarted bool // a streamed response has begun
}

// awaitsResponse reports whether the client is still waiting for the start of a response.
func (r *request) awaitsResponse() bool { return !r.answered && !r.responseStarted }

// requestTable holds the requests that have no final answer yet or have attempts in flight.
type requestTable struct {
	byID       map[string]*request
	byNumber   map[uint64]*request // requests without a final answer
	lastNumber uint64              // number of the latest request
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, byNumber: map[uint64]*request{}}
}

func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.byNumber[r.number] = r
}

// AttemptFinished handles the end of an attempt. If the client has no answer yet and no other attempt is in
// flight, the balancer retries or answers the request.
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
		b.finishRequest(r) // removes the request if this was its last attempt
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !b.retry(r) {
		b.rejectOrFail(r)
	}
}

// endAttempt marks an attempt as done and returns its endpoint.
func (b *Balancer) endAttempt(r *request, o Outcome) *endpoint {
	a := &r.attempts[o.Attempt]
	a.done = true
	a.result = o.Result
	a.neverRan = o.Result.NeverRan()
	a.endpoint.endAttempt()
	b.concurrency.inFlight--
	r.inFlight--
	r.quota.attemptFinished()
	b.markUnreported(r.quota)
	return a.endpoint
}

// reconcileUsedUnits adjusts the quota to the units that a request actually used, once per request.
func (b *Balancer) reconcileUsedUnits(r *request, o Outcome) {
	if o.Result != OK || !b.settings.PostPaid || o.Units <= 0 || !r.inQuota || r.reconciled {
		return
	}
	r.reconciled = true
	b.reconcileUnits(r, r.Units-o.Units)
}

// ResponseStarted handles the start of a streamed response. From then on the client receives this response,
// and no other attempt can replace it.
func (b *Balancer) ResponseStarted(now time.Duration, requestID string, attempt int, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byID[requestID]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.responseStarted = true
	r.attempts[attempt].endpoint.recordProgress(now)
}

// ClientDisconnected handles a client that no longer waits for the response. The request's attempts are
// cancelled, unless a streamed response has begun.
func (b *Balancer) ClientDisconnected(now time.Duration, requestID string, out Actions) {
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

// rejectOrFail answers a request that gets no further attempt. It rejects the request if the promise of
// [Actions.Reject] holds, and fails it otherwise.
func (b *Balancer) rejectOrFail(r *request) {
	if b.mayReject(r) {
		b.reject(r.ID, assessmentIntervals*controlInterval)
	} else {
		b.actions.Fail(r.ID)
	}
	b.finishRequest(r)
	b.cancelAttempts(r)
}

// reject answers a request with a rejection. The settings may limit retryAfter, or drop it.
func (b *Balancer) reject(requestID string, retryAfter time.Duration) {
	if !b.settings.RetryAfter {
		retryAfter = 0
	}
	b.actions.Reject(requestID, min(retryAfter, b.settings.MaxRetryAfter))
}

// finishRequest marks a request as answered. The request is kept until its attempts have ended.
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

// cancelAttempts cancels the request's attempts in flight, if the settings allow that.
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
