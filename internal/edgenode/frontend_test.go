package edgenode

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"opalhook/internal/edgenode/nodetest"
)

// An app server receives the request's method, target and body byte for byte, with the remaining time in
// X-Expires-In. Hop-by-hop headers are not passed on.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		got <- r
		return nodetest.Respond("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Secret: 1\r\nContent-Length: 4\r\n\r\nbody")(c, r, body)
	})
	n := run(t, testConfig(s.Endpoint("a")))
	a := nodetest.Dial(t, n.addr).Do(request("book", "t1", "Connection", "keep-alive, X-Hop", "X-Hop", "1", "TE", "trailers"))
	if a.Status != 200 || a.Body != "body" || a.Header.Get("Content-Type") != "a/b" {
		t.Errorf("response %+v, want status 200, body %q and Content-Type %q", a, "body", "a/b")
	}
	r := nodetest.Await(t, "request at the app server", got)
	if want := []string{"POST /book/a%2fb?customer=00000000b4d65521&x=%41+ slot"}; fmt.Sprint(s.Requests()) != fmt.Sprint(want) {
		t.Errorf("app server received %q, want %q", s.Requests(), want)
	}
	if r.Header.Get("X-Trace-Id") != "t1" || r.Header.Get("Idempotency-Key") != "key-t1" {
		t.Errorf("app server received the header %v, want id %q and key %q", r.Header, "t1", "key-t1")
	}
	for _, hop := range []string{"Connection", "X-Hop", "TE"} {
		if v := r.Header.Get(hop); v != "" {
			t.Errorf("header %s: %s was passed on", hop, v)
		}
	}
	remaining, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil || remaining <= 0 || remaining >= 20 {
		t.Errorf("X-Expires-In %q, want more than 0 and less than 20", r.Header.Get("X-Expires-In"))
	}
}

// A malformed request is answered with an error that clients do not mistake for a rejection, and is not
// passed on. The connection either closes or remains usable for the next request.
func TestBadRequests(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	cfg := testConfig(s.Endpoint("a"))
	cfg.Settings.NodeCount, cfg.Settings.MaxUnits = 2, 8
	n := run(t, cfg)
	const path = "/check?customer=00000000b4d65521"
	for _, c := range []struct {
		name    string
		class   string
		replace []string
		status  int
	}{
		{"no id", "check", []string{"X-Trace-Id", ""}, 400},
		{"malformed id", "check", []string{"X-Trace-Id", "a b"}, 400},
		{"id too long", "check", []string{"X-Trace-Id", strings.Repeat("a", 65)}, 400},
		{"no class", "check", []string{"X-Qos", ""}, 400},
		{"unknown class", "check", []string{"X-Qos", "novel"}, 400},
		{"class differs from the path", "check", []string{"X-Qos", "book"}, 400},
		{"no plan", "check", []string{"X-Contract", ""}, 400},
		{"unknown plan", "check", []string{"X-Contract", "novel"}, 400},
		{"no deadline", "check", []string{"X-Expires-In", ""}, 400},
		{"malformed deadline", "check", []string{"X-Expires-In", "soon"}, 400},
		{"NaN deadline", "check", []string{"X-Expires-In", "NaN"}, 400},
		{"huge deadline", "check", []string{"X-Expires-In", "1e99"}, 400},
		{"infinite deadline", "check", []string{"X-Expires-In", "inf"}, 400},
		{"hex deadline", "check", []string{"X-Expires-In", "0x1p3"}, 400},
		{"negative deadline", "check", []string{"X-Expires-In", "-1"}, 400},
		{"no metering", "check", []string{"X-Metering", ""}, 400},
		{"incomplete metering", "check", []string{"X-Metering", "units=1,spread=1"}, 400},
		{"units given twice", "check", []string{"X-Metering", "units=1,units=1,spread=1,first=0"}, 400},
		{"malformed metering", "check", []string{"X-Metering", "units=1,spread=one,first=0"}, 400},
		{"zero units", "check", []string{"X-Metering", "units=0,spread=1,first=0"}, 400},
		{"units over the limit", "check", []string{"X-Metering", "units=9,spread=1,first=0"}, 400},
		{"NaN units", "check", []string{"X-Metering", "units=NaN,spread=1,first=0"}, 400},
		{"infinite units", "check", []string{"X-Metering", "units=inf,spread=1,first=0"}, 400},
		{"hex units", "check", []string{"X-Metering", "units=0x1,spread=1,first=0"}, 400},
		{"fractional spread", "check", []string{"X-Metering", "units=1,spread=1.5,first=0"}, 400},
		{"negative first", "check", []string{"X-Metering", "units=1,spread=1,first=-1"}, 400},
		{"entry nodes without this node", "check", []string{"X-Metering", "units=1,spread=1,first=1"}, 400},
		{"negative units", "check", []string{"X-Metering", "units=-1,spread=1,first=0"}, 400},
		{"spread over the number of nodes", "check", []string{"X-Metering", "units=1,spread=3,first=0"}, 400},
		{"first over the largest node index", "check", []string{"X-Metering", "units=1,spread=1,first=2"}, 400},
		{"no customer", "check", []string{"", "GET /check HTTP/1.1"}, 400},
		{"short customer", "check", []string{"", "GET /check?customer=b4d65521 HTTP/1.1"}, 400},
		{"customer too large", "check", []string{"", "GET /check?customer=0000000200000000 HTTP/1.1"}, 400},
		{"two customers", "check", []string{"", "GET " + path + "&customer=00000000b4d65521 HTTP/1.1"}, 400},
		{"absolute URL as target", "check", []string{"", "GET http://app.svc" + path + " HTTP/1.1"}, 400},
		{"no key", "book", []string{"Idempotency-Key", ""}, 400},
		{"body in a class without one", "check", []string{"Content-Length", "4", "body", "slot"}, 400},
		{"Content-Length and Transfer-Encoding", "book", []string{"Transfer-Encoding", "chunked", "body", "0\r\n\r\n" + request("check", "hidden")}, 411},
		{"chunked", "book", []string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "4\r\nslot\r\n0\r\n\r\n"}, 411},
		{"Content-Length and Transfer-Encoding in HTTP/1.0", "book", []string{"", "POST /book?customer=00000000b4d65521 HTTP/1.0", "Transfer-Encoding", "chunked", "body", "0\r\n\r\n"}, 505},
		{"negative length", "book", []string{"Content-Length", "-4"}, 400},
		{"malformed header with an incomplete body", "book", []string{"X-Contract", "novel", "Content-Length", "9"}, 400},
		{"incomplete body", "book", []string{"Content-Length", "9"}, 400},
		{"body of 60 MB", "book", []string{"Content-Length", "60000000"}, 413},
		{"method of another class", "check", []string{"", "POST " + path + " HTTP/1.1", "Content-Length", "4", "body", "slot"}, 405},
	} {
		client := nodetest.Dial(t, n.addr)
		if a := client.Do(request(c.class, "t1", c.replace...)); a.Status != c.status {
			t.Errorf("%s: status %d, want %d, body %s", c.name, a.Status, c.status, a.Body)
		} else if c.status == 405 && a.Header.Get("Allow") != "GET" {
			t.Errorf("%s: Allow %q, want %q", c.name, a.Header.Get("Allow"), "GET")
		} else if len(s.Requests()) != 0 {
			t.Fatalf("%s: %q was passed on", c.name, s.Requests())
		} else if a.Close {
			if _, err := client.Reader.ReadByte(); err != io.EOF {
				t.Errorf("%s: after the last response: %v, want EOF", c.name, err)
			}
		} else if a := client.Do("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 200 {
			t.Errorf("%s: next request on the connection: status %d, want 200", c.name, a.Status)
		}
	}
}

// A header that never ends is answered with an error once it exceeds maxHeaderBytes.
func TestEndlessHeader(t *testing.T) {
	n := run(t, testConfig())
	c := nodetest.Dial(t, n.addr)
	c.Send("GET /check HTTP/1.1\r\n")
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, "X-Pad: pppppppppppppppppppppppp\r\n")
		}
	}()
	if line, err := c.Reader.ReadString('\n'); err != nil || !strings.Contains(line, "431") {
		t.Errorf("status line %q, error %v, want status 431", line, err)
	}
}

func TestBodyLimit(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	largest := strings.Repeat("x", maxBody)
	if a := nodetest.Dial(t, n.addr).Do(request("book", "t1", "Content-Length", strconv.Itoa(maxBody), "body", largest)); a.Status != 200 {
		t.Errorf("largest body: status %d, want 200", a.Status)
	}
	if a := nodetest.Dial(t, n.addr).Do(request("book", "t2", "Content-Length", strconv.Itoa(maxBody+1), "body", largest+"x")); a.Status != 413 || !a.Close {
		t.Errorf("one byte over the limit: status %d, closed %v; want 413, true", a.Status, a.Close)
	}
	if got := len(s.Requests()); got != 1 {
		t.Errorf("%d requests were passed on, want 1", got)
	}
}

// A connection with an incomplete header or body, or on which nothing is sent, is closed after a bounded
// time.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	t.Parallel()
	if headerTimeout+bodyTimeout >= 3*time.Second {
		t.Errorf("header timeout %v, body timeout %v: want a sum under 3 s", headerTimeout, bodyTimeout)
	}
	n := run(t, testConfig())
	text := request("book", "t1")
	var clients []*nodetest.Client
	for _, part := range []string{"", text[:40], text[:len(text)-2]} {
		c := nodetest.Dial(t, n.addr)
		c.Send(part)
		clients = append(clients, c)
	}
	for i, c := range clients {
		if _, err := io.ReadAll(c.Reader); err != nil {
			t.Errorf("incomplete request %d: %v, want the connection closed", i, err)
		}
	}
}

// A request whose X-Expires-In exceeds the deadline of its class is answered by that deadline, so that
// requests cannot pile up.
func TestWaitIsCappedByTheClass(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.Endpoint("a"))
	cfg.Settings.Classes[0].Deadline = 100 * time.Millisecond
	n := run(t, cfg)
	c := nodetest.Dial(t, n.addr)
	nodetest.SetDeadline(t, c)
	if a := c.Do(request("check", "t1", "X-Expires-In", "1000000")); a.Status != 429 && a.Status != 502 {
		t.Errorf("status %d, want 429 or 502", a.Status)
	}
}

// A request over its tenant's quota is rejected, with the time after which the client may retry.
func TestRejection(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(t, n.addr)
	if a := c.Do(request("check", "t1", "X-Contract", "tight")); a.Status != 200 {
		t.Errorf("within the quota: status %d, want 200", a.Status)
	}
	a := c.Do(request("check", "t2", "X-Contract", "tight"))
	wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if a.Status != 429 || err != nil || wait <= 0 || wait > 2 {
		t.Errorf("over the quota: status %d, Retry-After %q; want 429, over 0 and up to 2",
			a.Status, a.Header.Get("Retry-After"))
	}
	if got := len(s.Requests()); got != 1 {
		t.Errorf("%d requests were passed on, want 1", got)
	}
}

// A request to an app server that never responds ends at the client's deadline. It fails instead of being
// rejected, since it has an idempotency key and may have taken effect.
func TestUnresponsiveServer(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := run(t, testConfig(s.Endpoint("a")))
	a := nodetest.Dial(t, n.addr).Do(request("book", "t1", "X-Expires-In", "2"))
	if a.Status != 502 {
		t.Errorf("status %d, want 502", a.Status)
	}
	nodetest.WantClosed(t, nodetest.Await(t, "connection at the app server", s.Conns))
}

// Guards against closing a connection while its request can still be served. WriteTimeout counts from the
// header of the request, so it must exceed the longest deadline of all classes.
func TestWriteTimeoutExceedsTheLongestWait(t *testing.T) {
	for _, deadline := range []time.Duration{time.Second, 20 * time.Second, 10 * time.Minute} {
		cfg := testConfig()
		cfg.Settings.Classes[1].Deadline = deadline
		f := idleFrontend(t, cfg)
		if limit, least := f.server.WriteTimeout, max(deadline, cfg.Settings.Classes[0].Deadline)+cfg.Settings.ResponseSlack+time.Second; limit < least {
			t.Errorf("deadline %v: WriteTimeout %v, want at least %v", deadline, limit, least)
		}
	}
}

// If a client disconnects, its attempt is cancelled and the state of its request is removed.
func TestClientDisconnectEndsRequest(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.Endpoint("a"))
	n := run(t, cfg)
	c := nodetest.Dial(t, n.addr)
	c.Send(request("check", "t1"))
	nodetest.Eventually(t, "request at the app server", func() bool { return len(s.Requests()) == 1 })
	_ = c.Close()
	nodetest.WantClosed(t, nodetest.Await(t, "connection at the app server", s.Conns))
	// Once the state is removed, the id can be used again.
	nodetest.Eventually(t, "second request with the same id accepted", func() bool {
		again := nodetest.Dial(t, n.addr)
		again.Send(request("check", "t1", "X-Expires-In", "0.05"))
		return again.Receive().Status != 409
	})
}

// A reset by an app server reaches the balancer, which retries an idempotent request at the other app server.
func TestResetIsRetriedElsewhere(t *testing.T) {
	var broken atomic.Bool
	var resets atomic.Int32
	bad := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if broken.Load() {
			resets.Add(1)
			return false
		}
		return nodetest.Respond(nodetest.OKResponse)(c, r, body)
	})
	good := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n := run(t, testConfig(bad.Endpoint("a"), good.Endpoint("b")))
	c := nodetest.Dial(t, n.addr)
	i := 0
	sendNext := func() nodetest.Response {
		i++
		return c.Do(request("check", fmt.Sprint("t", i)))
	}
	for range 20 { // first attempts earn the balancer the budget for retries
		sendNext()
	}
	broken.Store(true)
	nodetest.Eventually(t, "request reset by one app server and served by the other", func() bool {
		before := resets.Load()
		return sendNext().Status == 200 && resets.Load() > before
	})
}

// A request is answered even if the balancer or the frontend panics while handling it. A panic in the
// balancer is logged with its stack.
func TestPanicIsAnswered(t *testing.T) {
	f := idleFrontend(t, testConfig())
	logs := &nodetest.Buffer{}
	n := nodeOf(f)
	n.log = slog.New(slog.NewTextHandler(logs, nil))
	n.mu.Lock() // the balancer's timers fire concurrently
	n.balancer = nil
	n.mu.Unlock()
	ln := nodetest.Listen(t)
	serveClients(t, f, newClientListener(ln, f.conns))
	a := nodetest.Dial(t, ln.Addr().String()).Do(request("check", "t1"))
	if a.Status != 502 || !strings.Contains(logs.String(), "balancer.(*Balancer).RequestArrived") {
		t.Errorf("panic in the balancer: status %d, logged %q; want 502 and the stack",
			a.Status, logs.String())
	}
	// A panic in the frontend.
	f.settings = nil
	if a := nodetest.Dial(t, ln.Addr().String()).Do(request("check", "t2")); a.Status != 500 {
		t.Errorf("panic in the frontend: status %d, want 500", a.Status)
	}
}

// nodeOf returns the node of a frontend.
func nodeOf(f *frontend) *Node { return f.handler.(*Node) }

// idleFrontend returns the frontend of a node that does not serve yet. The node has a balancer with the
// cached list, but no discovery client, no peer socket and no listener.
func idleFrontend(t *testing.T, cfg *Config) *frontend {
	t.Helper()
	n, err := newNode(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.startBalancer()
	return newFrontend(n)
}
