package edgenode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"opalhook/balancer"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/edgenode/upstream"
)

// Guards against HTTP handlers that never return. The handler of a request must return both if its node
// closes while the request is in flight and if the request arrives after the close.
func TestHandlersReturnWhenNodeCloses(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	n, err := newNode(ctx, testConfig(s.Endpoint("a")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.startBalancer()
	f := newFrontend(n)
	handled := make(chan struct{}, 2)
	f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { handled <- struct{}{} }()
		f.ServeHTTP(w, r)
	})
	ln := nodetest.Listen(t)
	serveClients(t, f, newClientListener(ln, f.conns))
	client := nodetest.Dial(t, ln.Addr().String())
	client.Send(request("check", "open"))
	nodetest.Eventually(t, "request at the app server", func() bool { return len(s.Requests()) == 1 })
	stop()
	n.close()
	_ = client.Close()
	nodetest.Await(t, "handler of the request in flight returned", handled)
	if a := nodetest.Dial(t, ln.Addr().String()).Do(request("check", "late")); a.Status != http.StatusBadGateway {
		t.Errorf("request to a closed node: response %+v, want status %d", a, http.StatusBadGateway)
	}
	nodetest.Await(t, "handler of the late request returned", handled)
}

// A request that has its final response must not be sent any more, even if its attempt was not cancelled and
// has a connection.
func TestNothingIsSentAfterTheFinalResponse(t *testing.T) {
	server := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n, err := newNode(t.Context(), testConfig(server.Endpoint("a")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.startBalancer()
	for _, reused := range []bool{false, true} { // whether the attempt finds an idle connection
		request := &inflightRequest{
			id: "t1", message: upstream.Message{Method: "GET", Target: "/late"},
			response: make(chan clientResponse, 1),
		}
		n.mu.Lock()
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.mu.Unlock()
		if _, result := n.upstream.Exchange(t.Context(), "a", &request.message, upstream.WriteLimits{}); result != balancer.NotSent {
			t.Errorf("connection reused %v: result %v, want NotSent", reused, result)
		}
		if _, result := n.upstream.Exchange(t.Context(), "a", &upstream.Message{Method: "GET", Target: "/other"}, upstream.WriteLimits{}); result != balancer.OK {
			t.Errorf("connection reused %v, other request: result %v, want OK", reused, result)
		}
	}
	if got := server.Requests(); len(got) != 2 || got[0] != "GET /other " || got[1] != "GET /other " {
		t.Errorf("app server received %q, want only the other request, twice", got)
	}
	n.close()
}

// A request that the balancer does not answer is failed by the node, with exactly one response.
func TestAbortedRequestIsAnswered(t *testing.T) {
	cfg := testConfig()
	n, request := nodeOf(idleFrontend(t, cfg)), &inflightRequest{id: "t1", response: make(chan clientResponse, 1)}
	n.inflight["t1"] = request
	n.abortRequest(request)
	if a := nodetest.Await(t, "response", request.response); a.kind != responseFailed {
		t.Errorf("response %+v, want a failure", a)
	}
	if len(n.inflight) != 0 {
		t.Error("the request is still in flight")
	}
	if n.abortRequest(request); len(request.response) != 0 {
		t.Error("the request has a second response")
	}
}

// A request whose id is in flight is answered with a conflict, because the balancer could not tell the two
// apart.
func TestIDInUse(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return nodetest.Respond(nodetest.OKResponse)(c, r, body)
	})
	n := run(t, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(t, n.addr)
	c.Send(request("check", "t1"))
	nodetest.Eventually(t, "first request at the app server", func() bool { return len(s.Requests()) == 1 })
	if a := nodetest.Dial(t, n.addr).Do(request("check", "t1")); a.Status != 409 {
		t.Errorf("status %d, want 409", a.Status)
	}
	close(hold)
	if a := c.Receive(); a.Status != 200 {
		t.Errorf("first request: status %d, want 200", a.Status)
	}
}
