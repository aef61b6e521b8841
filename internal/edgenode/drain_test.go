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

// A planned restart: not ready, but whatever still comes is answered, on connections
// that then close; what is out is finished; then the process ends.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.HasPrefix(r.RequestURI, "/book") {
			<-hold
		}
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	cfg := testConfig(s.Endpoint("a"))
	cfg.drainPeriod = 4 * time.Second
	n := run(t, cfg)
	idle, held := nodetest.Dial(t, n.addr), nodetest.Dial(t, n.addr)
	if a := idle.Ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 200 || a.Close {
		t.Errorf("before: %+v", a)
	}
	held.Send(request("book", "t1"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	n.stop()
	nodetest.Eventually(t, "draining", func() bool { return strings.Contains(n.logs.String(), "draining") })
	if a := idle.Ask(request("check", "t2")); a.Status != 200 || !a.Close {
		t.Errorf("on a kept connection: %+v", a)
	}
	if a := nodetest.Dial(t, n.addr).Ask(request("check", "t3")); a.Status != 200 || !a.Close {
		t.Errorf("on a new connection: %+v", a)
	}
	if a := nodetest.Dial(t, n.addr).Ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 503 {
		t.Errorf("readiness: %+v", a)
	}
	nodetest.Eventually(t, "listener closed", func() bool {
		c, err := net.Dial("tcp", n.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(hold)
	if a := held.Receive(); a.Status != 200 || !a.Close {
		t.Errorf("taken before: %+v", a)
	}
	select {
	case err := <-n.done:
		if n.done <- nil; err != nil { // for the clean-up
			t.Error(err)
		}
	case <-time.After(nodetest.Patience):
		t.Error("the node does not end")
	}
}

// A request whose head is on its way as the listener closes is taken and answered; a connection on which
// nothing comes is closed.
func TestRequestThatComesAsTheDrainEndsIsAnswered(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	kept, quiet := nodetest.Dial(t, n.addr), nodetest.Dial(t, n.addr)
	kept.Ask(request("check", "t1"))
	quiet.Ask(request("check", "t2"))
	text := request("check", "t3")
	kept.Send(text[:20])
	n.stop()
	if _, err := quiet.Reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection at the drain's end: %v", err)
	}
	kept.Send(text[20:])
	if a := kept.Receive(); a.Status != http.StatusOK || !a.Close {
		t.Errorf("answer %+v", a)
	}
}

// Connections that stand in the listener's queue when it is to close are taken and answered.
func TestQueueIsEmptiedBeforeTheListenerCloses(t *testing.T) {
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
	nodetest.Eventually(t, "the listener is told", func() bool { return ln.closingSince.Load() != nil })
	serveClients(t, f, ln) // nobody accepted until now
	for i, c := range clients {
		if a := c.Receive(); a.Status != http.StatusOK {
			t.Errorf("client %d: %+v", i, a)
		}
	}
	nodetest.Await(t, "the listener's close", closed)
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// The drain may have closed all before the library sees that its listener is closed: that is no failure.
func TestDrainOvertakesTheListener(t *testing.T) {
	f := idleFrontend(t, testConfig())
	ln := newClientListener(nodetest.Listen(t), f.conns)
	f.draining.Store(true)
	_ = f.server.Close()
	if err := f.serve(ln); err != nil {
		t.Errorf("error %v", err)
	}
}

// Requests that come as the drain ends are due before the process may be killed, whatever wait they ask for.
func TestLateRequestOfADrainIsDue(t *testing.T) {
	f, addr := serveHooked(t, testConfig(nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)).Endpoint("a")), func(*frontend, *clientConn) {})
	past := time.Now()
	f.answerBy.Store(&past)
	if a := nodetest.Dial(t, addr).Ask(request("check", "t1")); a.Status != http.StatusTooManyRequests {
		t.Errorf("answer %+v, want a rejection at once", a)
	}
}
