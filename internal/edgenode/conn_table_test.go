package edgenode

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// serveWithRoom serves clients with room for so many connections.
func serveWithRoom(t *testing.T, most int, servers ...endpointlist.Endpoint) (*frontend, string) {
	t.Helper()
	f := idleFrontend(t, testConfig(servers...))
	f.conns.max = most
	f.ready.Store(true)
	ln := nodetest.Listen(t)
	serveClients(t, f, newClientListener(ln, f.conns))
	return f, ln.Addr().String()
}

// age makes all connections in a state older and returns their number.
func (s *connTable) age(state connState, by time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == state {
			c.stateSince = c.stateSince.Add(-by)
			n++
		}
	}
	return n
}

const readyRequest = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"

func wantEOF(t *testing.T, what string, c *nodetest.Client) {
	t.Helper()
	var timeout net.Error
	if _, err := c.Reader.ReadByte(); err == nil {
		t.Errorf("%s: something came, want a close", what)
	} else if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s: still open", what)
	}
}

// Clients that connect by hundreds and say nothing keep nobody out, and cost no one a
// connection that is in use.
func TestSilentClientsAreEvicted(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	f, addr := serveWithRoom(t, 8, s.Endpoint("a"))
	kept := nodetest.Dial(t, addr)
	if a := kept.Ask(readyRequest); a.Status != 200 {
		t.Errorf("before: %+v", a)
	}
	var silents []*nodetest.Client
	for i := range 40 {
		silents = append(silents, nodetest.Dial(t, addr))
		if i%10 == 0 {
			if a := nodetest.Dial(t, addr).Ask(request("check", fmt.Sprint("t", i))); a.Status != 200 || a.Close {
				t.Errorf("between %d silent ones: %+v", i, a)
			}
		}
	}
	for i := range 20 {
		wantEOF(t, fmt.Sprint("silent ", i), silents[i])
	}
	if a := kept.Ask(request("check", "kept")); a.Status != 200 {
		t.Errorf("on the connection kept: %+v", a)
	}
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	if n := len(f.conns.conns); n > 8 {
		t.Errorf("%d connections where 8 may be", n)
	}
}

// Where three quarters of the table are in use, answers close their connections; silent
// ones don't fill it, and the count of them follows every ending.
func TestNearlyFullTableClosesAfterResponses(t *testing.T) {
	f, addr := serveWithRoom(t, 4)
	first := nodetest.Dial(t, addr)
	var others []*nodetest.Client
	for range 3 {
		others = append(others, nodetest.Dial(t, addr))
	}
	silents := func(n int) func() bool {
		return func() bool {
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			return f.conns.newConns == n
		}
	}
	nodetest.Eventually(t, "all accepted", silents(4))
	if a := first.Ask(readyRequest); a.Status != 200 || a.Close {
		t.Errorf("among silent ones: %+v", a)
	}
	if a := others[0].Ask(readyRequest); a.Status != 200 || a.Close {
		t.Errorf("with half in use: %+v", a)
	}
	if a := others[1].Ask(readyRequest); a.Status != 200 || !a.Close {
		t.Errorf("with three quarters in use: %+v", a)
	}
	wantEOF(t, "after it", others[1])
	for _, c := range []*nodetest.Client{first, others[0], others[2]} {
		_ = c.Close()
	}
	nodetest.Eventually(t, "all gone", func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		return len(f.conns.conns) == 0
	})
	if !silents(0)() {
		t.Errorf("%d silent connections counted, none open", f.conns.newConns)
	}
}

// Without silent ones the connection that has been idle for longest is evicted, then one
// that does not finish its head; never one whose request is in flight. With only those, the
// newcomer is closed: it may have waited in vain for a place otherwise.
func TestEvictionOrder(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	f, addr := serveWithRoom(t, 100, s.Endpoint("a"), s.Endpoint("b")) // so that nobody is told to close

	busy, half, rested := nodetest.Dial(t, addr), nodetest.Dial(t, addr), nodetest.Dial(t, addr)
	busy.Send(request("check", "t1"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	half.Send("GET /check")
	nodetest.Eventually(t, "head begun", func() bool { return f.conns.age(connReading, readingGrace) == 1 })
	if a := rested.Ask(readyRequest); a.Status != 200 {
		t.Errorf("%+v", a)
	}
	nodetest.Eventually(t, "idle", func() bool { return f.conns.age(connIdle, idleGrace) == 1 })
	f.conns.mu.Lock()
	f.conns.max = 3
	f.conns.mu.Unlock()
	second := nodetest.Dial(t, addr)
	second.Send(request("check", "t2"))
	wantEOF(t, "the idle one", rested)
	third := nodetest.Dial(t, addr)
	third.Send(request("check", "t3"))
	wantEOF(t, "the one with half a head", half)
	nodetest.Eventually(t, "requests out", func() bool { return len(s.Requests()) == 3 })
	wantEOF(t, "a newcomer with all busy", nodetest.Dial(t, addr))
	close(hold)
	for i, c := range []*nodetest.Client{busy, second, third} {
		if a := c.Receive(); a.Status != 200 {
			t.Errorf("request %d: %+v", i, a)
		}
	}
}

// A connection on which a request has come that was not read yet is not taken for a
// silent one: its goroutine may not have had its turn.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	s := newConnTable(2)
	accept := func() (*nodetest.Client, *clientConn) {
		c := nodetest.Dial(t, ln.Addr().String())
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		taken, err := newClientConn(nc, s)
		if err != nil {
			t.Fatal(err)
		}
		return c, taken
	}
	asks, first := accept()
	_, second := accept()
	_, third := accept()
	s.add(first)
	s.add(second)
	asks.Send(readyRequest)
	nodetest.Eventually(t, "request arrived", first.hasUnread)
	if spare := s.add(third); spare != second {
		t.Errorf("the one with a request was evicted, or none: %v", spare)
	}
	// An evicted connection takes nothing in.
	if second.transition(connActive) {
		t.Error("a request was opened on an evicted connection")
	}
	buf := make([]byte, 10)
	if _, err := io.ReadFull(first, buf); err != nil {
		t.Error(err)
	}
}
