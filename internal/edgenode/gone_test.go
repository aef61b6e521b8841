package edgenode

import (
	"context"
	"fmt"
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
				n := nodeOf(f)
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
