package edgenode

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/edgenode/upstream"
)

// wantServed waits until a test's app server is through with a connection: what came on it has been taken down.
func wantServed(t *testing.T, c net.Conn) {
	t.Helper()
	nodetest.Eventually(t, "the app server is through with its connection", func() bool {
		raw, err := c.(*net.TCPConn).SyscallConn()
		return err != nil || raw.Control(func(uintptr) {}) != nil
	})
}

// leaveAtTheWrite has a node run leave in the moment in which the first byte of an attempt on the next connection that
// it makes would go out.
func leaveAtTheWrite(n *Node, leave func()) {
	dial := n.upstream.DialContext
	n.upstream.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return nodetest.HookedConn{TCPConn: c.(*net.TCPConn), Hook: nodetest.HookedRawConn{BeforeWrite: leave}}, nil
	}
}

// No attempt begins once its client has closed: not the first one, and not a further one either, which is decided
// on when the one before fails and may get its connection when nobody waits any more.
func TestNoAttemptBeginsForAClientThatHasClosed(t *testing.T) {
	for _, class := range []string{"check", "book"} {
		for _, further := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, further attempt: %v", class, further), func(t *testing.T) {
				var fails atomic.Pointer[func()] // runs as the first server fails
				first := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
					if fail := fails.Load(); fail != nil {
						(*fail)()
						return false
					}
					return nodetest.Say(nodetest.OKResponse)(c, r, body)
				})
				second := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
				f, addr := serveHooked(t, testConfig(first.Endpoint("a")), func(*frontend, *clientConn) {})
				n := f.node
				for i := range 20 { // by which further attempts are earned
					nodetest.Dial(t, addr).Ask(request("check", fmt.Sprint("t", i)))
				}
				c := nodetest.Dial(t, addr)
				left, noticed := make(chan struct{}), make(chan struct{})
				leave := func() {
					_ = c.Close()
					close(left)
					<-noticed
				}
				secondOnly := func() {
					leaveAtTheWrite(n, leave)
					old := first.Endpoint("a")
					old.State = balancer.Draining
					n.updateEndpoints(endpointlist.List{Endpoints: []endpointlist.Endpoint{old, second.Endpoint("b")}}, balancer.UpdateDelta)
				}
				if further {
					fails.Store(&secondOnly)
				} else {
					secondOnly()
				}
				before := len(first.Requests())
				c.Send(request(class, "gone"))
				nodetest.Await(t, "the client's leaving", left)
				nodetest.Eventually(t, "the node has noticed", func() bool {
					n.mu.Lock()
					defer n.mu.Unlock()
					return n.inflight["gone"].answered
				})
				close(noticed)
				nodetest.Eventually(t, "the request is over", func() bool {
					n.mu.Lock()
					defer n.mu.Unlock()
					return len(n.inflight) == 0
				})
				wantServed(t, nodetest.Await(t, "the connection to the second server", second.Conns))
				if got := second.Requests(); len(got) != 0 {
					t.Errorf("sent on behind the close: %q", got)
				}
				if got := len(first.Requests()) - before; further != (got == 1) {
					t.Errorf("%d attempts before the close", got)
				}
			})
		}
	}
}

// A request that is open when its node closes, or that comes after, keeps no handler waiting.
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
func TestNothingIsSentBehindTheFinalAnswer(t *testing.T) {
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
