package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// rest makes the idle connections old enough to be used again.
func (u *Pool) rest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.backends {
		for _, c := range b.idle {
			c.idleSince = c.idleSince.Add(-minRest)
		}
	}
}

// quiet tells whether an idle connection is as it was left: open, with nothing to read.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) { quiet = socketQuiet(fd) })
	return err == nil && quiet
}

// A request whose server says something, or ends the connection, between the look at it and the write goes
// out once, on another connection: nothing that came before it is its answer.
func TestIdleConnectionChangesBeforeTheWrite(t *testing.T) {
	for name, change := range map[string]func(net.Conn){
		"half a line":        func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConte") },
		"the answer again":   func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother") },
		"closed":             func(c net.Conn) { _ = c.Close() },
		"reset":              func(c net.Conn) { nodetest.ResetConn(c) },
		"sending side ended": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
		u := testUpstream(s.Endpoint("a"))
		exchange(t, u, "a")
		u.rest()
		c := u.backends["a"].idle[0]
		server := nodetest.Await(t, "a connection", s.Conns)
		c.raw = nodetest.HookedRawConn{RawConn: c.raw, BeforeWrite: func() {
			change(server)
			nodetest.Eventually(t, "it has come", func() bool { return !c.quiet() })
		}}
		rep, res := exchange(t, u, "a")
		if res != balancer.OK || string(rep.Body) != "body" {
			t.Errorf("%s: result %v, body %q", name, res, rep.Body)
		}
		if n := len(s.Requests()); n != 2 || u.open != 1 {
			t.Errorf("%s: %d copies of 2 requests, %d connections counted", name, n, u.open)
		}
	}
}

// A connection is not used again for as long as a second answer may still come on it.
func TestConnectionRestsBeforeItsNextRequest(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	exchange(t, u, "a")
	b := u.backends["a"]
	used := b.idle[0]
	now := used.idleSince
	for _, at := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {minRest - 1, 0}, {minRest, 1}} {
		if n := b.restedCount(now.Add(at.after)); n != at.want {
			t.Errorf("%v after its answer %d connections may be used, want %d", at.after, n, at.want)
		}
	}
}

// What an attempt is held to holds at its first byte: nothing goes out late, nor to a server that has
// become another one.
func TestLimitsHoldAtTheWrite(t *testing.T) {
	past, later := time.Now(), time.Now().Add(time.Hour)
	as := func(change func(*endpointlist.Endpoint)) func(*Pool, endpointlist.Endpoint) {
		return func(u *Pool, in endpointlist.Endpoint) {
			change(&in)
			closeAll(u.update([]endpointlist.Endpoint{in}, false))
		}
	}
	for name, c := range map[string]struct {
		to      WriteLimits
		happens func(*Pool, endpointlist.Endpoint)
		want    error
	}{
		"in time":                   {to: WriteLimits{startBefore: later, CompleteBefore: later}},
		"no bounds":                 {},
		"its time is over":          {to: WriteLimits{startBefore: past}, want: errTooLate},
		"its repeat is too late":    {to: WriteLimits{startBefore: later, CompleteBefore: past}, want: errTooLate},
		"the server restarted":      {happens: as(func(in *endpointlist.Endpoint) { in.StartedAt = time.Hour }), want: errNotUp},
		"it is in another zone":     {happens: as(func(in *endpointlist.Endpoint) { in.Zone = "other" }), want: errNotUp},
		"it is in another cell":     {happens: as(func(in *endpointlist.Endpoint) { in.Cell++ }), want: errNotUp},
		"it is at another address":  {happens: as(func(in *endpointlist.Endpoint) { in.Addr = netip.MustParseAddrPort("127.0.0.1:1") }), want: errNotUp},
		"the list says nothing new": {happens: as(func(*endpointlist.Endpoint) {})},
	} {
		s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
		u := testUpstream(s.Endpoint("a"))
		conn, err := u.acquire(t.Context(), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.happens != nil {
			c.happens(u, s.Endpoint("a"))
		}
		if err := u.writeRequest(t.Context(), conn, &Message{}, c.to, []byte("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		_ = conn.Conn.(*net.TCPConn).CloseWrite()
		nodetest.SetDeadline(t, conn)
		_, _ = io.Copy(io.Discard, conn) // the server ends once it has read all
		if n := len(s.Requests()); (n == 1) != (c.want == nil) {
			t.Errorf("%s: %d requests arrived", name, n)
		}
	}
}

// A retry goes to the server as it was when it was chosen: not to one that has restarted since, or that
// is in another zone by now.
func TestRetryGoesToTheSelectedServer(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	to := WriteLimits{Backend: u.Lookup("a")}
	restarted := s.Endpoint("a")
	restarted.StartedAt = time.Hour
	closeAll(u.update([]endpointlist.Endpoint{restarted}, false))
	_, res := u.Exchange(t.Context(), "a", &get, to)
	wantResult(t, res, balancer.ConnectFailed)
	_, res = u.Exchange(t.Context(), "a", &get, WriteLimits{Backend: u.Lookup("a")})
	wantResult(t, res, balancer.OK)
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests arrived", n)
	}
}

// slowReader is an app server that takes little of a request in at once.
func slowReader(t *testing.T) (in endpointlist.Endpoint, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 10)
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			conns <- c
		}
	}()
	return endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: nodetest.AddrOf(ln)}, conns
}

// long is a request that no socket takes at once.
var long = Message{Method: "POST", Target: "/check", ID: "long", Body: make([]byte, 8<<20)}

// A retry whose last byte would be written too late is given up before it: it never runs.
func TestLongRetryEndsBeforeItsLastByte(t *testing.T) {
	in, conns := slowReader(t)
	u := testUpstream(in)
	conn, err := u.acquire(t.Context(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), nodetest.Patience)
	defer cancel()
	if err := conn.writeRemainder(ctx, WriteLimits{CompleteBefore: time.Now().Add(50 * time.Millisecond)}, long.Body); !errors.Is(err, errTooLate) || ctx.Err() != nil {
		t.Errorf("error %v, want %v; the attempt's own time: %v", err, errTooLate, ctx.Err())
	}
	u.discard(conn)
	c := nodetest.Await(t, "a connection", conns)
	nodetest.SetDeadline(t, c)
	if n, _ := io.Copy(io.Discard, c); n >= int64(len(long.Body)) {
		t.Errorf("%d bytes arrived: all of it", n)
	}
	// What the first byte is too late for does not begin.
	_, res := u.Exchange(ctx, "a", &get, WriteLimits{CompleteBefore: time.Now()})
	wantResult(t, res, balancer.NotSent)
}

// An answer to a request that is not written yet is no answer to it: the attempt ends, and has never run.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	for _, text := range []string{nodetest.OKResponse, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"} {
		in, conns := slowReader(t)
		u := testUpstream(in)
		result := make(chan balancer.Result, 1)
		go func() {
			_, res := u.Exchange(context.Background(), "a", &long, WriteLimits{})
			result <- res
		}()
		c := nodetest.Await(t, "a connection", conns)
		_, _ = io.ReadFull(c, make([]byte, 100))
		_, _ = io.WriteString(c, text)
		wantResult(t, nodetest.Await(t, "a result", result), balancer.ConnectFailed)
	}
}

// A long request that is taken in bit by bit is written whole and answered.
func TestLongRequest(t *testing.T) {
	in, conns := slowReader(t)
	u := testUpstream(in)
	result := make(chan balancer.Result, 1)
	go func() {
		_, res := u.Exchange(context.Background(), "a", &long, WriteLimits{CompleteBefore: time.Now().Add(time.Hour)})
		result <- res
	}()
	c := nodetest.Await(t, "a connection", conns)
	s := nodetest.ServeConn(c, nodetest.Say(nodetest.OKResponse))
	wantResult(t, nodetest.Await(t, "a result", result), balancer.OK)
	u.rest()
	go func() {
		_, res := u.Exchange(context.Background(), "a", &get, WriteLimits{})
		result <- res
	}()
	wantResult(t, nodetest.Await(t, "a result on the same connection", result), balancer.OK)
	if n := len(s.Requests()); n != 2 {
		t.Errorf("%d requests on the connection", n)
	}
}

// An answer without a length is whole where its connection ends in order, and not where it is reset.
func TestResponseWithoutALength(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		reset bool
		want  balancer.Result
	}{
		"orderly end":            {"HTTP/1.1 200 OK\r\n\r\nbody", false, balancer.OK},
		"below HTTP/1.1":         {"HTTP/1.0 200 OK\r\n\r\nbody", false, balancer.OK},
		"reset":                  {"HTTP/1.1 200 OK\r\n\r\nbody", true, balancer.Reset},
		"turned away":            {"HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\n\r\n", false, balancer.Overloaded},
		"turned away, but reset": {"HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\n\r\n", true, balancer.Reset},
		"too long":               {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxResponseBody+1), false, balancer.ErrorResponse},
	} {
		ln := nodetest.Listen(t)
		u := testUpstream(endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: nodetest.AddrOf(ln)})
		type outcome struct {
			Response
			balancer.Result
		}
		done := make(chan outcome, 1)
		go func() {
			rep, res := u.Exchange(context.Background(), "a", &get, WriteLimits{})
			done <- outcome{rep, res}
		}()
		server, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = server.Read(make([]byte, 4096))
		_, _ = io.WriteString(server, c.text)
		if c.reset {
			nodetest.ResetOnClose(server)
		}
		_ = server.Close()
		o := nodetest.Await(t, "a result", done)
		if o.Result != c.want || c.want == balancer.OK && string(o.Body) != "body" {
			t.Errorf("%s: result %v, body %q", name, o.Result, o.Body)
		}
		if len(u.backends["a"].idle) != 0 || u.open != 0 {
			t.Errorf("%s: its connection is kept", name)
		}
	}
}
