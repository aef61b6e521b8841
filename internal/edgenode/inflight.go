package edgenode

import (
	"context"
	"errors"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/upstream"
)

// inflightRequest is the state of a client's request from its arrival until it is answered and all of its
// attempts have ended. The node's mutex guards answered, attempts, openAttempts and mayHaveRun.
type inflightRequest struct {
	id           string
	repeatable   bool // the request may run more than once
	message      upstream.Message
	deadline     time.Time
	response     chan clientResponse // receives the final response; buffered, so that sending never blocks
	answered     bool                // the final response was sent to the channel
	attempts     []*attempt          // all attempts, by their number
	openAttempts int                 // number of attempts that have not ended
	mayHaveRun   bool                // no proof that none of the attempts that have ended ran
}

// attempt is one attempt of a request in flight.
type attempt struct {
	number     int
	endpointID string
	sentAt     time.Duration // start of the attempt, by the node's clock
	limits     upstream.WriteLimits
	cancel     context.CancelFunc
}

// clientResponse is the final response to a client's request.
type clientResponse struct {
	kind       responseKind
	retryAfter time.Duration     // set if the request was rejected; 0: no Retry-After header
	server     upstream.Response // set if the request was served; the receiver must release it
}

// responseKind is the kind of a final response.
type responseKind int

const (
	responseServed   responseKind = iota // response of an app server
	responseRejected                     // rejection: the client may retry safely
	responseFailed                       // failure: the request may have taken effect
)

// errIDInUse is the error for a request whose id is that of a request in flight, or of one that has ended and must not
// run again.
var errIDInUse = errors.New("request id is in use")

// handleRequest passes a client's request to the balancer and returns the final response. It aborts a request
// whose client disconnects or that is not answered by the deadline. A client that closed only its sending
// side counts as disconnected, but still receives the failure. The only error is errIDInUse.
func (n *Node) handleRequest(ctx context.Context, q balancer.Request, m upstream.Message, deadline time.Time) (clientResponse, error) {
	request := n.startRequest(q, m, deadline)
	if request == nil {
		return clientResponse{}, errIDInUse
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case response := <-request.response:
		return response, nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	n.abortRequest(request)
	return <-request.response, nil
}

// startRequest passes a client's request to the balancer. It returns nil if the id is in use. The final
// response is sent to the channel of the returned request. If the balancer panics or the node is closed,
// startRequest sends a failure itself.
func (n *Node) startRequest(q balancer.Request, m upstream.Message, deadline time.Time) *inflightRequest {
	request := &inflightRequest{
		id: q.ID, repeatable: n.repeatable[q.Class], message: m, deadline: deadline, response: make(chan clientResponse, 1),
	}
	inUse := false
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		inUse = n.inflight[q.ID] != nil || !request.repeatable && n.recent.contains(now, q.ID)
		if inUse {
			return
		}
		n.inflight[q.ID] = request
		n.balancer.RequestArrived(now, q, out)
	})
	if inUse {
		return nil
	}
	if !ok { // the balancer panicked or the node is closed, so nothing else will answer the request
		n.abortRequest(request)
	}
	return request
}

// abortRequest ends a request whose client has disconnected or that was not answered in time. When it
// returns, the request has a final response, even if the node is closed and handles no more events.
func (n *Node) abortRequest(request *inflightRequest) {
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.balancer.ClientDisconnected(now, request.id, out)
	})
	if !ok {
		n.mu.Lock()
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.mu.Unlock()
	}
}

// finishRequest sends the final response of a request. It returns false if one was sent before. The caller
// holds the mutex.
func (n *Node) finishRequest(request *inflightRequest, response clientResponse) bool {
	if request.answered {
		return false
	}
	request.answered = true
	// The message is withdrawn first: an attempt whose connection opens late must not write the request after
	// the response has been sent.
	n.upstream.Withdraw(&request.message)
	request.response <- response
	n.releaseRequest(request)
	return true
}

// releaseRequest removes a request from the requests in flight if it is answered and all of its attempts have
// ended. The caller holds the mutex.
func (n *Node) releaseRequest(request *inflightRequest) {
	if request.answered && request.openAttempts == 0 && n.inflight[request.id] == request {
		delete(n.inflight, request.id)
		if request.mayHaveRun && !request.repeatable {
			n.recent.add(n.now(), request.id)
		}
	}
}

// runAttempt executes one attempt and reports its outcome to the balancer. A successful attempt answers the
// request.
func (n *Node) runAttempt(ctx context.Context, request *inflightRequest, a *attempt) {
	response, result := n.upstream.Exchange(ctx, a.endpointID, &request.message, a.limits)
	a.cancel()
	units := response.SettledUnits(n.cfg.Settings.MaxUnits)
	served := false
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		if result == balancer.OK {
			served = n.finishRequest(request, clientResponse{kind: responseServed, server: response})
		}
		request.openAttempts--
		request.mayHaveRun = request.mayHaveRun || !result.NeverRan()
		n.balancer.AttemptFinished(now, balancer.Outcome{
			ID:          request.id,
			Attempt:     a.number,
			Answered:    request.answered,
			Result:      result,
			EndpointID:  a.endpointID,
			Elapsed:     now - a.sentAt,
			Units:       units,
			LoadReport:  response.LoadReport,
			ConnectedAt: n.connectedAt(response),
		}, out)
		n.releaseRequest(request)
	})
	if !served {
		response.Release()
	}
}

// connectedAt returns the time at which the connection of a response was opened, by the node's clock, or 0 if
// there is no response.
func (n *Node) connectedAt(response upstream.Response) time.Duration {
	if response.ConnectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.startedAt.UnixNano()) + response.ConnectedAt.Sub(n.startedAt)
}

// runHealthCheck requests the load report of an endpoint and passes the result to the balancer.
func (n *Node) runHealthCheck(endpointID string) {
	report, result := n.upstream.CheckHealth(n.ctx, endpointID)
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.balancer.HealthChecked(now, endpointID, result, report, out)
	})
}
