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

// awaitServerDone waits until a test's app server has closed its end of a connection. It has recorded all
// requests on the connection by then.
func awaitServerDone(t *testing.T, c net.Conn) {
	t.Helper()
	nodetest.Eventually(t, "app server done with its connection", func() bool {
		raw, err := c.(*net.TCPConn).SyscallConn()
		return err != nil || raw.Control(func(uintptr) {}) != nil
	})
}

// hookWrites makes a node call hook before each write to an app server. It affects only connections that the
// node opens after this call.
func hookWrites(n *Node, hook func()) {
	dial := n.upstream.DialContext
	n.upstream.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return nodetest.HookedConn{TCPConn: c.(*net.TCPConn), Hook: nodetest.HookedRawConn{BeforeWrite: hook}}, nil
	}
}

// Guards against attempts that begin after their client has disconnected. It covers the first attempt and a
// retry. The balancer starts a retry when the previous attempt fails, and the connection of the retry may
// open only after the client has disconnected.
func TestNoAttemptAfterClientDisconnect(t *testing.T) {
	for _, class := range []string{"check", "book"} {
		for _, retry := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, retry: %v", class, retry), func(t *testing.T) {
				// If set, the first app server calls it and fails the attempt.
				var onFailure atomic.Pointer[func()]
				first := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
					if hook := onFailure.Load(); hook != nil {
						(*hook)()
						return false
					}
					return nodetest.Respond(nodetest.OKResponse)(c, r, body)
				})
				second := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
				f, addr := serveHooked(t, testConfig(first.Endpoint("a")), func(*frontend, *clientConn) {})
				n := nodeOf(f)
				for i := range 20 { // first attempts earn the budget for retries
					nodetest.Dial(t, addr).Do(request("check", fmt.Sprint("t", i)))
				}
				c := nodetest.Dial(t, addr)
				closed, noticed := make(chan struct{}), make(chan struct{})
				disconnect := func() {
					_ = c.Close()
					close(closed)
					<-noticed
				}
				useSecondOnly := func() {
					hookWrites(n, disconnect)
					drained := first.Endpoint("a")
					drained.State = balancer.Draining
					n.updateEndpoints(endpointlist.List{Endpoints: []endpointlist.Endpoint{drained, second.Endpoint("b")}}, balancer.UpdateDelta)
				}
				if retry {
					onFailure.Store(&useSecondOnly)
				} else {
					useSecondOnly()
				}
				before := len(first.Requests())
				c.Send(request(class, "gone"))
				nodetest.Await(t, "client disconnected", closed)
				nodetest.Eventually(t, "node has noticed the disconnect", func() bool {
					n.mu.Lock()
					defer n.mu.Unlock()
					return n.inflight["gone"].answered
				})
				close(noticed)
				nodetest.Eventually(t, "request ended", func() bool {
					n.mu.Lock()
					defer n.mu.Unlock()
					return len(n.inflight) == 0
				})
				awaitServerDone(t, nodetest.Await(t, "connection to the second app server", second.Conns))
				if got := second.Requests(); len(got) != 0 {
					t.Errorf("requests sent after the client disconnected: %q", got)
				}
				if got := len(first.Requests()) - before; retry != (got == 1) {
					t.Errorf("%d attempts at the first app server, want 1 only for a retry", got)
				}
			})
		}
	}
}
