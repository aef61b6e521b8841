package edgenode

import (
	"context"
	"errors"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/upstream"
)

// inflightRequest is a request of a client until it is answered and its attempts have ended. Its fields are
// guarded by the node's mutex.
type inflightRequest struct {
	id          string
	message     upstream.Message
	deadline    time.Time
	response    chan clientResponse // takes the one final response
	answered    bool
	attempts    []*attempt
	attemptsOut int // attempts that have not ended
}

// attempt is one attempt of a request in flight.
type attempt struct {
	number     int
	endpointID string
	sentAt     time.Duration // by the node's clock
	limits     upstream.WriteLimits
	cancel     context.CancelFunc
}

// clientResponse is a final response.
type clientResponse struct {
	kind       responseKind
	retryAfter time.Duration     // of a rejection
	server     upstream.Response // of a served request
}

type responseKind int

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// errIDInUse means that a request with the same id is in flight.
var errIDInUse = errors.New("request id is in use")

// handleRequest has the balancer decide on a request of a client and returns its final response. A request whose client
// goes, or that is not answered by the deadline, is aborted. A client that has closed only its sending side
// still gets its response.
func (n *Node) handleRequest(ctx context.Context, q balancer.Request, m upstream.Message, deadline time.Time) (clientResponse, error) {
	request := n.startRequest(q, m, deadline)
	if request == nil {
		return clientResponse{}, errIDInUse
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case response := <-request.response:
		return response, nil
	case <-ctx.Done():
	case <-late.C:
	}
	n.abortRequest(request)
	return <-request.response, nil
}

// startRequest starts a request of a client. It returns nil if its id is in use. The final response comes on the
// returned request's channel, also where the balancer gives none in time.
func (n *Node) startRequest(q balancer.Request, m upstream.Message, deadline time.Time) *inflightRequest {
	request := &inflightRequest{id: q.ID, message: m, deadline: deadline, response: make(chan clientResponse, 1)}
	inUse := false
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		if inUse = n.inflight[q.ID] != nil; inUse {
			return
		}
		n.inflight[q.ID] = request
		n.balancer.RequestArrived(now, q, out)
	})
	if inUse {
		return nil
	}
	if !ok { // the balancer panicked or the node is closed: no other response will come
		n.abortRequest(request)
	}
	return request
}

// abortRequest ends a request whose client has gone or that was not answered in time. The request has its response
// then, also where the node is closed and takes no more events.
func (n *Node) abortRequest(request *inflightRequest) {
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.balancer.ClientGone(now, request.id, out)
	})
	if !ok {
		n.mu.Lock()
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.mu.Unlock()
	}
}

// finishRequest gives a request its final response unless it has one. Called under the mutex.
func (n *Node) finishRequest(request *inflightRequest, response clientResponse) {
	if request.answered {
		return
	}
	request.answered = true
	n.upstream.Withdraw(&request.message) // first: an attempt whose connection comes up late must not be sent after it
	request.response <- response
	n.releaseRequest(request)
}

// releaseRequest drops a request once it is answered and has no attempt out. Called under the mutex.
func (n *Node) releaseRequest(request *inflightRequest) {
	if request.answered && request.attemptsOut == 0 && n.inflight[request.id] == request {
		delete(n.inflight, request.id)
	}
}

// runAttempt carries out one attempt and reports its outcome to the balancer.
func (n *Node) runAttempt(ctx context.Context, request *inflightRequest, a *attempt) {
	response, result := n.upstream.Exchange(ctx, a.endpointID, &request.message, a.limits)
	a.cancel()
	units := response.SettledUnits(n.cfg.Settings.MaxUnits)
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		if result == balancer.OK {
			n.finishRequest(request, clientResponse{kind: responseServed, server: response})
		}
		request.attemptsOut--
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
}

// connectedAt is when the connection that a response came on was made, by the node's clock; 0 without a response.
func (n *Node) connectedAt(response upstream.Response) time.Duration {
	if response.ConnectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.startedAt.UnixNano()) + response.ConnectedAt.Sub(n.startedAt)
}

// runHealthCheck asks an endpoint for its load and reports it to the balancer.
func (n *Node) runHealthCheck(endpointID string) {
	report, result := n.upstream.CheckHealth(n.ctx, endpointID)
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.balancer.HealthChecked(now, endpointID, result, report, out)
	})
}
