package edgenode

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"opalhook/internal/edgenode/nodetest"
)

// During a drain the node is not ready, but it still answers new requests and closes their connections after
// the response. It finishes the requests in flight, then the process ends.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.RequestURI, "/book") {
			<-hold
		}
		return nodetest.Respond(nodetest.OKResponse)(c, r, body)
	})
	cfg := testConfig(s.Endpoint("a"))
	cfg.drainPeriod = 4 * time.Second
	n := run(t, cfg)
	idle, pending := nodetest.Dial(t, n.addr), nodetest.Dial(t, n.addr)
	if a := idle.Do("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 200 || a.Close {
		t.Errorf("before the drain: response %+v, want status 200 without a close", a)
	}
	pending.Send(request("book", "t1"))
	nodetest.Eventually(t, "request at the app server", func() bool { return len(s.Requests()) == 1 })
	n.stop()
	nodetest.Eventually(t, "draining", func() bool { return strings.Contains(n.logs.String(), "draining") })
	if a := idle.Do(request("check", "t2")); a.Status != 200 || !a.Close {
		t.Errorf("on an old connection: response %+v, want status 200 and a close", a)
	}
	if a := nodetest.Dial(t, n.addr).Do(request("check", "t3")); a.Status != 200 || !a.Close {
		t.Errorf("on a new connection: response %+v, want status 200 and a close", a)
	}
	if a := nodetest.Dial(t, n.addr).Do("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 503 {
		t.Errorf("readiness check: response %+v, want status 503", a)
	}
	nodetest.Eventually(t, "listener closed", func() bool {
		c, err := net.Dial("tcp", n.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(hold)
	if a := pending.Receive(); a.Status != 200 || !a.Close {
		t.Errorf("request from before the drain: response %+v, want status 200 and a close", a)
	}
	select {
	case err := <-n.done:
		if n.done <- nil; err != nil { // the clean-up of the test receives it
			t.Error(err)
		}
	case <-time.After(nodetest.WaitTimeout):
		t.Error("the node did not end in time")
	}
}

// A request whose header arrives partly before and partly after the listener closes is answered. A connection
// that is idle then is closed.
func TestRequestAtTheEndOfADrainIsAnswered(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	sending, idle := nodetest.Dial(t, n.addr), nodetest.Dial(t, n.addr)
	sending.Do(request("check", "t1"))
	idle.Do(request("check", "t2"))
	text := request("check", "t3")
	sending.Send(text[:20])
	n.stop()
	if _, err := idle.Reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection at the end of the drain: %v, want %v", err, io.EOF)
	}
	sending.Send(text[20:])
	if a := sending.Receive(); a.Status != http.StatusOK || !a.Close {
		t.Errorf("response %+v, want status 200 and a close", a)
	}
}

// Connections that are in the listener's accept queue when it is about to close are accepted and answered.
func TestAcceptQueueIsEmptiedBeforeListenerCloses(t *testing.T) {
	f := idleFrontend(t, testConfig())
	f.ready.Store(true)
	ln := newClientListener(nodetest.Listen(t), f.conns)
	var clients []*nodetest.Client
	for range 20 {
		c := nodetest.Dial(t, ln.Addr().String())
		c.Send(readyRequest)
		clients = append(clients, c)
	}
	closed := make(chan struct{})
	go func() { ln.closeWhenQueueEmpty(); close(closed) }()
	nodetest.Eventually(t, "close of the listener requested", func() bool { return ln.closingSince.Load() != nil })
	serveClients(t, f, ln) // accepts the first connection only now
	for i, c := range clients {
		if a := c.Receive(); a.Status != http.StatusOK {
			t.Errorf("client %d: response %+v, want status 200", i, a)
		}
	}
	nodetest.Await(t, "listener closed", closed)
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// serve must not return an error if the drain closes the server before net/http notices that the listener is
// closed.
func TestServeReturnsNilWhenDrainClosesServerFirst(t *testing.T) {
	f := idleFrontend(t, testConfig())
	ln := newClientListener(nodetest.Listen(t), f.conns)
	f.draining.Store(true)
	_ = f.server.Close()
	if err := f.serve(ln); err != nil {
		t.Errorf("serve: %v", err)
	}
}

// Requests that arrive at the end of a drain must be answered before the process may be killed, however long
// their clients would wait.
func TestDrainDeadlineLimitsRequests(t *testing.T) {
	f, addr := serveHooked(t, testConfig(nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse)).Endpoint("a")), func(*frontend, *clientConn) {})
	past := time.Now()
	f.drainDeadline.Store(&past)
	if a := nodetest.Dial(t, addr).Do(request("check", "t1")); a.Status != http.StatusTooManyRequests {
		t.Errorf("response %+v, want a rejection", a)
	}
}
