package edgenode

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// Events that cross: each test holds one side until the other has acted.

// hookedWrites runs a function before the first write on a client's connection, or once the HTTP library has
// ended its look at the client behind it.
type hookedWrites struct {
	*net.TCPConn
	before, behind func()
	written        atomic.Bool
}

func (w *hookedWrites) Write(p []byte) (int, error) {
	if before := w.before; before != nil {
		w.before = nil
		before()
	}
	defer w.written.Store(true)
	return w.TCPConn.Write(p)
}

func (w *hookedWrites) SetReadDeadline(t time.Time) error {
	if behind := w.behind; behind != nil && t.IsZero() && w.written.Load() {
		w.behind = nil
		behind()
	}
	return w.TCPConn.SetReadDeadline(t)
}

// hookedListener is a listener whose connections a test may change before they are served.
type hookedListener struct {
	*clientListener
	change func(*clientConn)
}

func (h hookedListener) Accept() (net.Conn, error) {
	c, err := h.clientListener.Accept()
	if err == nil {
		h.change(c.(*clientConn))
	}
	return c, err
}

// serveHooked serves clients whose connections change may change before they are served.
func serveHooked(t *testing.T, cfg *Config, change func(f *frontend, c *clientConn)) (*frontend, string) {
	t.Helper()
	f := idleFrontend(t, cfg)
	ln := nodetest.Listen(t)
	serveClients(t, f, hookedListener{newClientListener(ln, f.conns), func(c *clientConn) { change(f, c) }})
	return f, ln.Addr().String()
}

// all returns the connections of clients.
func (s *connTable) all() (all []*clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// allRead tells whether all that has come from clients was read.
func (s *connTable) allRead() bool {
	for _, c := range s.all() {
		if c.hasUnread() {
			return false
		}
	}
	return true
}

// count returns how many connections are in a state.
func (s *connTable) count(state connState) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == state {
			n++
		}
	}
	return n
}

// The look that decides on an idle connection's close comes in the moment before its next request is
// read, or in the moment after: both times the request is answered.
func TestRequestCrossesTheClosingOfIdleConnections(t *testing.T) {
	for _, before := range []bool{true, false} {
		s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
		var looks atomic.Bool
		_, addr := serveHooked(t, testConfig(s.Endpoint("a")), func(f *frontend, c *clientConn) {
			look := func() {
				if looks.Load() && (c.hasUnread() || !before) {
					f.conns.closeIdle()
				}
			}
			hook := nodetest.HookedRawConn{RawConn: c.raw, AfterRead: look}
			if before {
				hook = nodetest.HookedRawConn{RawConn: c.raw, BeforeRead: look}
			}
			c.raw = hook
		})
		c := nodetest.Dial(t, addr)
		c.Ask(request("check", "t1"))
		looks.Store(true)
		if a := c.Ask(request("check", "t2")); a.Status != http.StatusOK {
			t.Errorf("looked at before the read %v: %+v", before, a)
		}
	}
}

// What comes on an evicted connection stays unread and has no answer, by which its client can
// tell that it may send it again.
func TestRequestAfterTheCloseStaysUnread(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	unread := make(chan bool, 1)
	var asks atomic.Bool
	_, addr := serveHooked(t, testConfig(s.Endpoint("a")), func(f *frontend, c *clientConn) {
		c.raw = nodetest.HookedRawConn{RawConn: c.raw, BeforeRead: func() {
			if !asks.Load() {
				return
			}
			nodetest.Eventually(t, "the next request has come", c.hasUnread) // or it could come behind the close
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			if c.state != connClosed {
				f.conns.changeState(c, connClosed)
				delete(f.conns.conns, c)
			}
		}, AfterRead: func() {
			if asks.Load() {
				unread <- c.hasUnread()
			}
		}}
	})
	c := nodetest.Dial(t, addr)
	c.Ask(request("check", "t1"))
	asks.Store(true)
	c.Send(request("check", "t2"))
	if !nodetest.Await(t, "the read", unread) {
		t.Error("a request was taken in on an evicted connection")
	}
	if _, err := c.Reader.ReadByte(); err == nil {
		t.Error("something was answered on it")
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests were passed on", n)
	}
}

// A request that becomes whole on a connection that is evicted for another one is answered by nobody:
// an empty 200 is no answer of a server.
func TestRequestOnAnEvictedConnectionIsNotAnswered(t *testing.T) {
	var last atomic.Bool
	f, addr := serveHooked(t, testConfig(), func(f *frontend, c *clientConn) {
		c.raw = nodetest.HookedRawConn{RawConn: c.raw, AfterRead: func() {
			if !last.Load() {
				return
			}
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			f.conns.changeState(c, connClosed)
			delete(f.conns.conns, c)
		}}
	})
	c := nodetest.Dial(t, addr)
	text := request("book", "t1")
	c.Send(text[:len(text)-2])
	nodetest.Eventually(t, "the rest is waited for", func() bool { return f.conns.count(connReading) == 1 && f.conns.allRead() })
	last.Store(true)
	c.Send(text[len(text)-2:])
	if b, err := c.Reader.ReadByte(); err == nil {
		t.Errorf("answered with %q...", b)
	}
}

// While an answer is on its way its connection is not taken for an idle one.
func TestConnectionIsNotIdleWhileItsResponseIsWritten(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	_, addr := serveHooked(t, testConfig(s.Endpoint("a")), func(f *frontend, c *clientConn) {
		c.Conn = &hookedWrites{TCPConn: c.Conn.(*net.TCPConn), before: func() { f.conns.closeIdle() }}
	})
	if a := nodetest.Dial(t, addr).Ask(request("check", "t1")); a.Status != http.StatusOK {
		t.Errorf("answer %+v", a)
	}
}

// The look at the client that goes on under its response does not take the connection for an idle one.
func TestConnectionIsNotIdleWhileItsClientIsWatched(t *testing.T) {
	ln := nodetest.Listen(t)
	client := nodetest.Dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := newConnTable(1)
	c, err := newClientConn(nc, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.closeNow)
	s.add(c)
	looks := make(chan struct{}, 10)
	c.raw = nodetest.HookedRawConn{RawConn: c.raw, AfterTry: func() { looks <- struct{}{} }}
	c.transition(connActive)
	c.transition(connResponding)
	ended := make(chan error, 1)
	go func() {
		var b [1]byte
		_, err := c.Read(b[:])
		ended <- err
	}()
	nodetest.Await(t, "the look", looks)
	if n := s.count(connResponding); n != 1 {
		t.Error("the connection does not count as one whose response is being written")
	}
	_ = client.Close()
	if err := nodetest.Await(t, "the look's end", ended); !errors.Is(err, io.EOF) {
		t.Errorf("error %v", err)
	}
}

// Bytes that come behind a request, too late to be read, don't reset the connection under the response.
func TestUnreadBytesDoNotResetTheResponse(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	var c *nodetest.Client
	f, addr := serveHooked(t, testConfig(s.Endpoint("a")), func(f *frontend, conn *clientConn) {
		conn.Conn = &hookedWrites{TCPConn: conn.Conn.(*net.TCPConn), behind: func() {
			c.Send("bytes that nobody reads")
			nodetest.Eventually(t, "they have come", conn.hasUnread)
		}}
	})
	f.draining.Store(true) // so that the answer is the connection's last
	c = nodetest.Dial(t, addr)
	if a := c.Ask(request("check", "t1")); a.Status != http.StatusOK || !a.Close {
		t.Errorf("answer %+v", a)
	}
	if _, err := c.Reader.ReadByte(); err != io.EOF {
		t.Errorf("after the response: %v, want an orderly end", err)
	}
	nodetest.Eventually(t, "it has left the table", func() bool { return len(f.conns.all()) == 0 })
}

// A client that leaves while its request waits for the first attempt takes it along, however it leaves and
// whatever it has sent behind it.
func TestClientLeavesBeforeTheFirstAttempt(t *testing.T) {
	at := nodetest.Blocked(t)
	var servers []endpointlist.Endpoint
	for i := range 300 { // so many that no request is refused for those that are out
		servers = append(servers, endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: fmt.Sprint("s", i), Weight: 1, MachineType: "k", Zone: "z"}, Addr: at})
	}
	cfg := testConfig(servers...)
	cfg.Transport.ConnectTimeout = time.Hour
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = time.Hour, time.Hour
	}
	cfg.Sockets = 2048
	f, addr := serveHooked(t, cfg, func(*frontend, *clientConn) {})
	open := func() int {
		n := nodeOf(f)
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.inflight)
	}
	ways := map[string]func(*nodetest.Client){
		"closes": func(c *nodetest.Client) { _ = c.Close() },
		"resets": func(c *nodetest.Client) { nodetest.ResetConn(c.Conn) },
		"closes its sending side": func(c *nodetest.Client) {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			if a := c.Receive(); a.Status != http.StatusBadGateway {
				t.Errorf("a client that still reads has %+v, want that it failed", a)
			}
		},
	}
	ask := func(id, behind string) *nodetest.Client {
		c := nodetest.Dial(t, addr)
		c.Send(request("check", id, "X-Expires-In", "3600"))
		nodetest.Eventually(t, "the request waits", func() bool { return open() > 0 && f.conns.count(connReading) == 0 })
		c.Send(behind)
		return c
	}
	for name, leave := range ways {
		for _, behind := range []string{"", "x", request("check", "next")} {
			c := ask("t1", behind)
			nodetest.Eventually(t, "it is read", f.conns.allRead)
			leave(c)
			nodetest.Eventually(t, fmt.Sprintf("a client that has sent %d bytes more and %s is noticed", len(behind), name),
				func() bool { return open() == 0 })
		}
	}
	var burst []*nodetest.Client
	for i := range 300 {
		burst = append(burst, ask(fmt.Sprint("b", i), "more"))
	}
	nodetest.Eventually(t, "all wait", func() bool { return open() == len(burst) && f.conns.allRead() })
	for _, c := range burst {
		_ = c.Close()
	}
	nodetest.Eventually(t, "all are noticed", func() bool { return open() == 0 })
}

// What a client sends behind a request in flight is its next request, up to a bound.
func TestBytesBehindARequest(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	f, addr := serveHooked(t, testConfig(s.Endpoint("a")), func(*frontend, *clientConn) {})
	c, flood := nodetest.Dial(t, addr), nodetest.Dial(t, addr)
	c.Send(request("book", "t1"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	c.Send(request("book", "t2"))
	nodetest.Eventually(t, "what stands behind it is read", f.conns.allRead)
	flood.Send(request("check", "t3"))
	nodetest.Eventually(t, "requests out", func() bool { return len(s.Requests()) == 2 })
	flood.Send(strings.Repeat("x", 2*maxReadAhead))
	if a := flood.Receive(); a.Status != http.StatusBadGateway {
		t.Errorf("answer to a flood %+v", a)
	}
	close(hold)
	for i := range 2 {
		if a := c.Receive(); a.Status != http.StatusOK {
			t.Errorf("request %d: %+v", i, a)
		}
	}
}

// A request that comes a byte at a time is one, wherever it is cut; a body that ends early and one whose
// client goes in its middle are none.
func TestByteAtATime(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(t, n.addr)
	for i, class := range []string{"check", "book"} {
		for _, b := range []byte(request(class, fmt.Sprint("t", i))) {
			c.Send(string(b))
		}
		if a := c.Receive(); a.Status != http.StatusOK {
			t.Errorf("%s: %+v", class, a)
		}
	}
	text := request("book", "gone")
	for i := 1; i < len(text); i += 7 {
		half := nodetest.Dial(t, n.addr)
		half.Send(text[:i])
		_ = half.Close()
	}
	if a := c.Ask(request("check", "last")); a.Status != http.StatusOK {
		t.Errorf("behind those who went: %+v", a)
	}
	if got := len(s.Requests()); got != 3 {
		t.Errorf("%d requests were passed on, want 3", got)
	}
}
