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

// A request that is in flight when its node closes, or that comes after, keeps no handler waiting.
func TestHandlersEndWithTheNode(t *testing.T) {
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
	open := nodetest.Dial(t, ln.Addr().String())
	open.Send(request("check", "open"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	stop()
	n.close()
	_ = open.Close()
	nodetest.Await(t, "the end of the handler whose request was open", handled)
	if a := nodetest.Dial(t, ln.Addr().String()).Ask(request("check", "late")); a.Status != http.StatusBadGateway {
		t.Errorf("a request to a closed node has %+v, want that it failed", a)
	}
	nodetest.Await(t, "the end of the handler whose request came after", handled)
}

// A request that has its final answer is not sent any more, also where its attempt has its connection and nobody has
// told it.
func TestNothingIsSentAfterTheFinalResponse(t *testing.T) {
	srv := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n, err := newNode(t.Context(), testConfig(srv.Endpoint("a")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.startBalancer()
	for _, kept := range []bool{false, true} { // of the connection
		request := &inflightRequest{
			id: "t1", message: upstream.Message{Method: "GET", Target: "/late"},
			response: make(chan clientResponse, 1),
		}
		n.mu.Lock()
		n.finishRequest(request, clientResponse{kind: responseFailed})
		n.mu.Unlock()
		if _, result := n.upstream.Exchange(t.Context(), "a", &request.message, upstream.WriteLimits{}); result != balancer.NotSent {
			t.Errorf("kept %v: result %v", kept, result)
		}
		if _, result := n.upstream.Exchange(t.Context(), "a", &upstream.Message{Method: "GET", Target: "/other"}, upstream.WriteLimits{}); result != balancer.OK {
			t.Errorf("kept %v: another request: result %v", kept, result)
		}
	}
	if got := srv.Requests(); len(got) != 2 || got[0] != "GET /other " || got[1] != "GET /other " {
		t.Errorf("sent %q", got)
	}
	n.close()
}

// A request that the balancer does not answer gets its response from the host all the same.
func TestAbortedRequestIsAnswered(t *testing.T) {
	cfg := testConfig()
	n, request := nodeOf(idleFrontend(t, cfg)), &inflightRequest{id: "t1", response: make(chan clientResponse, 1)}
	n.inflight["t1"] = request
	n.abortRequest(request)
	if a := nodetest.Await(t, "an answer", request.response); a.kind != responseFailed {
		t.Errorf("answer %+v", a)
	}
	if len(n.inflight) != 0 {
		t.Error("the request is still in flight")
	}
	if n.abortRequest(request); len(request.response) != 0 {
		t.Error("a second final answer")
	}
}

// Two requests in flight with one id could not be told apart by the balancer.
func TestIDInUse(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	n := run(t, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(t, n.addr)
	c.Send(request("check", "t1"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	if a := nodetest.Dial(t, n.addr).Ask(request("check", "t1")); a.Status != 409 {
		t.Errorf("status %d, want 409", a.Status)
	}
	close(hold)
	if a := c.Receive(); a.Status != 200 {
		t.Errorf("the first: status %d", a.Status)
	}
}
