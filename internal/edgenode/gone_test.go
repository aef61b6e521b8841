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
)

// wantServed waits until a test's app server is through with a connection: what came on it has been taken down.
func wantServed(t *testing.T, c net.Conn) {
	t.Helper()
	nodetest.Eventually(t, "the app server is through with its connection", func() bool {
		raw, err := c.(*net.TCPConn).SyscallConn()
		return err != nil || raw.Control(func(uintptr) {}) != nil
	})
}

// leaveAtTheWrite has a node make a connection to a server, on which the next attempt there will go, and runs
// leave in the moment in which that attempt's first byte would go out.
func leaveAtTheWrite(t *testing.T, n *Node, server string, leave func()) {
	t.Helper()
	c, err := n.upstream.acquire(t.Context(), server, nil)
	if err != nil {
		t.Error(err)
		return
	}
	c.raw = between{RawConn: c.raw, write: leave}
	n.upstream.release(c)
	n.upstream.rest(server)
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
					old := first.Endpoint("a")
					old.State = balancer.Draining
					n.updateEndpoints(endpointlist.List{Endpoints: []endpointlist.Endpoint{old, second.Endpoint("b")}}, balancer.UpdateDelta)
					leaveAtTheWrite(t, n, "b", leave)
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
