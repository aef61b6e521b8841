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

// ageIdle makes the idle connections reusable at once, as if they had been idle for reuseDelay longer.
func (p *Pool) ageIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		for _, c := range b.idle {
			c.idleSince = c.idleSince.Add(-reuseDelay)
		}
	}
}

// isIdle reports whether a connection is open and has no data to read.
func (c *conn) isIdle() bool {
	isIdle := false
	err := c.raw.Control(func(fd uintptr) { isIdle = socketIdle(fd) })
	return err == nil && isIdle
}

// Guards against a request on a stale connection: the server sends unsolicited data or closes the connection
// after a request has acquired it and before the request is written. The request must be sent once, on
// another connection, and the earlier data must not be taken for its response.
func TestIdleConnectionGoesStaleBeforeTheWrite(t *testing.T) {
	for name, change := range map[string]func(net.Conn){
		"partial header":  func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConte") },
		"second response": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother") },
		"closed":          func(c net.Conn) { _ = c.Close() },
		"reset":           func(c net.Conn) { nodetest.ResetConn(c) },
		"half-closed":     func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
		pool := newTestPool(s.Endpoint("a"))
		exchange(t, pool, "a")
		pool.ageIdle()
		c := pool.backends["a"].idle[0]
		server := nodetest.Await(t, "a connection", s.Conns)
		c.raw = nodetest.HookedRawConn{RawConn: c.raw, BeforeWrite: func() {
			change(server)
			nodetest.Eventually(t, "change seen by the client", func() bool { return !c.isIdle() })
		}}
		response, result := exchange(t, pool, "a")
		if result != balancer.OK || string(response.Body) != "body" {
			t.Errorf("%s: result %v, body %q; want %v, %q", name, result, response.Body, balancer.OK, "body")
		}
		if n := len(s.Requests()); n != 2 || pool.open != 1 {
			t.Errorf("%s: server got %d requests, %d connections open; want 2 and 1", name, n, pool.open)
		}
	}
}

// Guards against the reuse of a connection on which an erroneous second response may still arrive.
func TestReuseDelayAfterResponse(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(s.Endpoint("a"))
	exchange(t, pool, "a")
	b := pool.backends["a"]
	used := b.idle[0]
	now := used.idleSince
	for _, at := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {reuseDelay - 1, 0}, {reuseDelay, 1}} {
		if n := b.countReusable(now.Add(at.after)); n != at.want {
			t.Errorf("%v after the response %d connections are reusable, want %d", at.after, n, at.want)
		}
	}
}

// Guards against a request that is written although its time limits have passed, or its server has been
// replaced, since the connection was acquired. The limits are checked at the first byte.
func TestWriteLimitsAreCheckedAtTheWrite(t *testing.T) {
	past, future := time.Now(), time.Now().Add(time.Hour)
	updateEntry := func(change func(*endpointlist.Endpoint)) func(*Pool, endpointlist.Endpoint) {
		return func(pool *Pool, entry endpointlist.Endpoint) {
			change(&entry)
			closeAll(pool.update([]endpointlist.Endpoint{entry}, false))
		}
	}
	for name, c := range map[string]struct {
		limits WriteLimits
		change func(*Pool, endpointlist.Endpoint)
		want   error
	}{
		"before both limits":        {limits: WriteLimits{startBefore: future, CompleteBefore: future}},
		"no limits":                 {},
		"start limit passed":        {limits: WriteLimits{startBefore: past}, want: errTooLate},
		"completion limit passed":   {limits: WriteLimits{startBefore: future, CompleteBefore: past}, want: errTooLate},
		"server restarted":          {change: updateEntry(func(entry *endpointlist.Endpoint) { entry.StartedAt = time.Hour }), want: errNotUp},
		"server in another zone":    {change: updateEntry(func(entry *endpointlist.Endpoint) { entry.Zone = "other" }), want: errNotUp},
		"server in another cell":    {change: updateEntry(func(entry *endpointlist.Endpoint) { entry.Cell++ }), want: errNotUp},
		"server at another address": {change: updateEntry(func(entry *endpointlist.Endpoint) { entry.Addr = netip.MustParseAddrPort("127.0.0.1:1") }), want: errNotUp},
		"entry unchanged":           {change: updateEntry(func(*endpointlist.Endpoint) {})},
	} {
		s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
		pool := newTestPool(s.Endpoint("a"))
		conn, err := pool.acquire(t.Context(), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.change != nil {
			c.change(pool, s.Endpoint("a"))
		}
		if err := pool.writeRequest(t.Context(), conn, &Message{}, c.limits,
			[]byte("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		_ = conn.Conn.(*net.TCPConn).CloseWrite()
		nodetest.SetDeadline(t, conn)
		_, _ = io.Copy(io.Discard, conn) // returns when the server has read everything and closed
		if n := len(s.Requests()); (n == 1) != (c.want == nil) {
			t.Errorf("%s: %d requests arrived, want one only if there is no error", name, n)
		}
	}
}

// Guards against a retry to a server that has restarted, or is in another zone, since the retry was decided
// on: WriteLimits.Backend is no longer current then.
func TestRetryGoesToTheSelectedServer(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(s.Endpoint("a"))
	limits := WriteLimits{Backend: pool.Lookup("a")}
	restarted := s.Endpoint("a")
	restarted.StartedAt = time.Hour
	closeAll(pool.update([]endpointlist.Endpoint{restarted}, false))
	_, result := pool.Exchange(t.Context(), "a", &getRequest, limits)
	wantResult(t, result, balancer.ConnectFailed)
	_, result = pool.Exchange(t.Context(), "a", &getRequest, WriteLimits{Backend: pool.Lookup("a")})
	wantResult(t, result, balancer.OK)
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests arrived, want 1", n)
	}
}

// newSlowServer starts an app server with a small receive buffer. It accepts connections but does not read
// from them, so that a long request blocks in the middle of its write.
func newSlowServer(t *testing.T) (entry endpointlist.Endpoint, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 10)
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
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

// longRequest is larger than the buffers of any socket, so it cannot be written at once.
var longRequest = Message{Method: "POST", Target: "/check", ID: "long", Body: make([]byte, 8<<20)}

// Guards against a retry whose last byte is written after CompleteBefore. The write must stop before the
// last byte, so that the request never runs.
func TestLongRequestStopsAtItsTimeLimit(t *testing.T) {
	entry, conns := newSlowServer(t)
	pool := newTestPool(entry)
	conn, err := pool.acquire(t.Context(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), nodetest.WaitTimeout)
	defer cancel()
	if err := conn.writeRemainder(ctx, WriteLimits{CompleteBefore: time.Now().Add(50 * time.Millisecond)},
		longRequest.Body); !errors.Is(err, errTooLate) || ctx.Err() != nil {
		t.Errorf("error %v, context error %v; want %v, nil", err, ctx.Err(), errTooLate)
	}
	pool.discard(conn)
	c := nodetest.Await(t, "a connection", conns)
	nodetest.SetDeadline(t, c)
	if n, _ := io.Copy(io.Discard, c); n >= int64(len(longRequest.Body)) {
		t.Errorf("%d bytes arrived, want fewer than %d", n, len(longRequest.Body))
	}
	// After the limit no request begins.
	_, result := pool.Exchange(ctx, "a", &getRequest, WriteLimits{CompleteBefore: time.Now()})
	wantResult(t, result, balancer.NotSent)
}

// A response that arrives before the request is completely written cannot belong to it. The attempt must end
// with a result that says the request did not run.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	for _, text := range []string{
		nodetest.OKResponse,
		"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		entry, conns := newSlowServer(t)
		pool := newTestPool(entry)
		results := make(chan balancer.Result, 1)
		go func() {
			_, result := pool.Exchange(context.Background(), "a", &longRequest, WriteLimits{})
			results <- result
		}()
		c := nodetest.Await(t, "a connection", conns)
		_, _ = io.ReadFull(c, make([]byte, 100))
		_, _ = io.WriteString(c, text)
		wantResult(t, nodetest.Await(t, "a result", results), balancer.ConnectFailed)
	}
}

// A request that the server reads in small pieces is written completely, and its connection is reused.
func TestLongRequest(t *testing.T) {
	entry, conns := newSlowServer(t)
	pool := newTestPool(entry)
	results := make(chan balancer.Result, 1)
	go func() {
		_, result := pool.Exchange(context.Background(), "a", &longRequest,
			WriteLimits{CompleteBefore: time.Now().Add(time.Hour)})
		results <- result
	}()
	c := nodetest.Await(t, "a connection", conns)
	s := nodetest.ServeConn(c, nodetest.Respond(nodetest.OKResponse))
	wantResult(t, nodetest.Await(t, "a result", results), balancer.OK)
	pool.ageIdle()
	go func() {
		_, result := pool.Exchange(context.Background(), "a", &getRequest, WriteLimits{})
		results <- result
	}()
	wantResult(t, nodetest.Await(t, "a result on the same connection", results), balancer.OK)
	if n := len(s.Requests()); n != 2 {
		t.Errorf("%d requests on the connection, want 2", n)
	}
}

// A response without a length is complete if its connection is closed, but not if it is reset.
func TestResponseWithoutALength(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		reset bool
		want  balancer.Result
	}{
		"closed":           {"HTTP/1.1 200 OK\r\n\r\nbody", false, balancer.OK},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nbody", false, balancer.OK},
		"reset":            {"HTTP/1.1 200 OK\r\n\r\nbody", true, balancer.Reset},
		"rejection":        {"HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\n\r\n", false, balancer.Overloaded},
		"rejection, reset": {"HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\n\r\n", true, balancer.Reset},
		"too long":         {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxResponseBody+1), false, balancer.ErrorResponse},
	} {
		ln := nodetest.Listen(t)
		pool := newTestPool(endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: nodetest.AddrOf(ln)})
		type outcome struct {
			Response
			balancer.Result
		}
		done := make(chan outcome, 1)
		go func() {
			response, result := pool.Exchange(context.Background(), "a", &getRequest, WriteLimits{})
			done <- outcome{response, result}
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
			t.Errorf("%s: result %v, body %q; want result %v", name, o.Result, o.Body, c.want)
		}
		if len(pool.backends["a"].idle) != 0 || pool.open != 0 {
			t.Errorf("%s: connection is still open or idle", name)
		}
	}
}
