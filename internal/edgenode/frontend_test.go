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

// What goes on to an app server is what the client sent, byte for byte, with the
// wait that is left; what concerns one connection alone does not go on.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		got <- r
		return nodetest.Say("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Secret: 1\r\nContent-Length: 4\r\n\r\nbody")(c, r, body)
	})
	n := run(t, testConfig(s.Endpoint("a")))
	a := nodetest.Dial(t, n.addr).Ask(request("book", "t1", "Connection", "keep-alive, X-Hop", "X-Hop", "1", "TE", "trailers"))
	if a.Status != 200 || a.Body != "body" || a.Header.Get("Content-Type") != "a/b" {
		t.Errorf("answer %+v", a)
	}
	r := nodetest.Await(t, "the request", got)
	if want := []string{"POST /book/a%2fb?customer=00000000b4d65521&x=%41+ slot"}; fmt.Sprint(s.Requests()) != fmt.Sprint(want) {
		t.Errorf("%q arrived, want %q", s.Requests(), want)
	}
	if r.Header.Get("X-Trace-Id") != "t1" || r.Header.Get("Idempotency-Key") != "key-t1" {
		t.Errorf("header %v", r.Header)
	}
	for _, hop := range []string{"Connection", "X-Hop", "TE"} {
		if v := r.Header.Get(hop); v != "" {
			t.Errorf("%s: %s was passed on", hop, v)
		}
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil || left <= 0 || left >= 20 {
		t.Errorf("X-Expires-In %q of 20", r.Header.Get("X-Expires-In"))
	}
}

// A client's mistake is its own: a plain 4xx that no client takes for a rejection,
// nothing sent on, and the connection good for the next request.
func TestBadRequests(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
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
		{"class not that of the path", "check", []string{"X-Qos", "book"}, 400},
		{"no plan", "check", []string{"X-Contract", ""}, 400},
		{"unknown plan", "check", []string{"X-Contract", "novel"}, 400},
		{"no deadline", "check", []string{"X-Expires-In", ""}, 400},
		{"malformed deadline", "check", []string{"X-Expires-In", "soon"}, 400},
		{"NaN deadline", "check", []string{"X-Expires-In", "NaN"}, 400},
		{"endless deadline", "check", []string{"X-Expires-In", "1e99"}, 400},
		{"infinite deadline", "check", []string{"X-Expires-In", "inf"}, 400},
		{"hex deadline", "check", []string{"X-Expires-In", "0x1p3"}, 400},
		{"past deadline", "check", []string{"X-Expires-In", "-1"}, 400},
		{"no metering", "check", []string{"X-Metering", ""}, 400},
		{"metering in part", "check", []string{"X-Metering", "units=1,spread=1"}, 400},
		{"metering twice", "check", []string{"X-Metering", "units=1,units=1,spread=1,first=0"}, 400},
		{"malformed metering", "check", []string{"X-Metering", "units=1,spread=one,first=0"}, 400},
		{"no units", "check", []string{"X-Metering", "units=0,spread=1,first=0"}, 400},
		{"more units than a request has", "check", []string{"X-Metering", "units=9,spread=1,first=0"}, 400},
		{"units no number", "check", []string{"X-Metering", "units=NaN,spread=1,first=0"}, 400},
		{"infinite units", "check", []string{"X-Metering", "units=inf,spread=1,first=0"}, 400},
		{"hex units", "check", []string{"X-Metering", "units=0x1,spread=1,first=0"}, 400},
		{"set in parts", "check", []string{"X-Metering", "units=1,spread=1.5,first=0"}, 400},
		{"negative first", "check", []string{"X-Metering", "units=1,spread=1,first=-1"}, 400},
		{"set without this node", "check", []string{"X-Metering", "units=1,spread=1,first=1"}, 400},
		{"negative units", "check", []string{"X-Metering", "units=-1,spread=1,first=0"}, 400},
		{"spread over all", "check", []string{"X-Metering", "units=1,spread=3,first=0"}, 400},
		{"first over all", "check", []string{"X-Metering", "units=1,spread=1,first=2"}, 400},
		{"no customer", "check", []string{"", "GET /check HTTP/1.1"}, 400},
		{"short customer", "check", []string{"", "GET /check?customer=b4d65521 HTTP/1.1"}, 400},
		{"customer too large", "check", []string{"", "GET /check?customer=0000000200000000 HTTP/1.1"}, 400},
		{"two customers", "check", []string{"", "GET " + path + "&customer=00000000b4d65521 HTTP/1.1"}, 400},
		{"whole address", "check", []string{"", "GET http://app.svc" + path + " HTTP/1.1"}, 400},
		{"no key", "book", []string{"Idempotency-Key", ""}, 400},
		{"body where there is none", "check", []string{"Content-Length", "4", "body", "slot"}, 400},
		{"body that stands behind two lengths", "book", []string{"Transfer-Encoding", "chunked", "body", "0\r\n\r\n" + request("check", "hidden")}, 411},
		{"chunked", "book", []string{"Content-Length", "", "Transfer-Encoding", "chunked", "body", "4\r\nslot\r\n0\r\n\r\n"}, 411},
		{"both lengths below HTTP/1.1", "book", []string{"", "POST /book?customer=00000000b4d65521 HTTP/1.0", "Transfer-Encoding", "chunked", "body", "0\r\n\r\n"}, 505},
		{"negative length", "book", []string{"Content-Length", "-4"}, 400},
		{"bad head with half a body", "book", []string{"X-Contract", "novel", "Content-Length", "9"}, 400},
		{"half a body", "book", []string{"Content-Length", "9"}, 400},
		{"60 MB", "book", []string{"Content-Length", "60000000"}, 413},
		{"method of another class", "check", []string{"", "POST " + path + " HTTP/1.1", "Content-Length", "4", "body", "slot"}, 405},
	} {
		client := nodetest.Dial(t, n.addr)
		if a := client.Ask(request(c.class, "t1", c.replace...)); a.Status != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, a.Status, c.status, a.Body)
		} else if c.status == 405 && a.Header.Get("Allow") != "GET" {
			t.Errorf("%s: Allow %q", c.name, a.Header.Get("Allow"))
		} else if len(s.Requests()) != 0 {
			t.Fatalf("%s: %q was passed on", c.name, s.Requests())
		} else if a.Close {
			if _, err := client.Reader.ReadByte(); err != io.EOF {
				t.Errorf("%s: after the last answer: %v, want EOF", c.name, err)
			}
		} else if a := client.Ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"); a.Status != 200 {
			t.Errorf("%s: next request on the connection: status %d", c.name, a.Status)
		}
	}
}

func TestEndlessHead(t *testing.T) {
	n := run(t, testConfig())
	c := nodetest.Dial(t, n.addr)
	c.Send("GET /check HTTP/1.1\r\n")
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, "X-Pad: pppppppppppppppppppppppp\r\n")
		}
	}()
	if line, err := c.Reader.ReadString('\n'); err != nil || !strings.Contains(line, "431") {
		t.Errorf("%q, %v", line, err)
	}
}

func TestBodyLimit(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	most := strings.Repeat("x", maxBody)
	if a := nodetest.Dial(t, n.addr).Ask(request("book", "t1", "Content-Length", strconv.Itoa(maxBody), "body", most)); a.Status != 200 {
		t.Errorf("largest body: status %d", a.Status)
	}
	if a := nodetest.Dial(t, n.addr).Ask(request("book", "t2", "Content-Length", strconv.Itoa(maxBody+1), "body", most+"x")); a.Status != 413 || !a.Close {
		t.Errorf("one byte more: status %d, closed %v", a.Status, a.Close)
	}
	if got := len(s.Requests()); got != 1 {
		t.Errorf("%d requests were passed on, want 1", got)
	}
}

// A header or body that stops coming, or a connection that says nothing, holds its
// socket for a bounded time.
func TestHalfSentRequestsEnd(t *testing.T) {
	t.Parallel()
	if headerTimeout+bodyTimeout >= 3*time.Second {
		t.Errorf("limits of %v and %v: an error or a close is owed within 3 s", headerTimeout, bodyTimeout)
	}
	n := run(t, testConfig())
	whole := request("book", "t1")
	var clients []*nodetest.Client
	for _, part := range []string{"", whole[:40], whole[:len(whole)-2]} {
		c := nodetest.Dial(t, n.addr)
		c.Send(part)
		clients = append(clients, c)
	}
	for i, c := range clients {
		if _, err := io.ReadAll(c.Reader); err != nil {
			t.Errorf("part %d: %v", i, err)
		}
	}
}

// No client waits for longer than its class allows, so that requests can't pile up.
func TestWaitIsCappedByTheClass(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.Endpoint("a"))
	cfg.Settings.Classes[0].Deadline = 100 * time.Millisecond
	n := run(t, cfg)
	c := nodetest.Dial(t, n.addr)
	nodetest.SetDeadline(t, c)
	if a := c.Ask(request("check", "t1", "X-Expires-In", "1000000")); a.Status != 429 && a.Status != 502 {
		t.Errorf("status %d", a.Status)
	}
}

// Beyond its quota a tenant is rejected at once, with the time to retry after.
func TestRejection(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(t, n.addr)
	if a := c.Ask(request("check", "t1", "X-Contract", "tight")); a.Status != 200 {
		t.Errorf("inside the quota: status %d", a.Status)
	}
	a := c.Ask(request("check", "t2", "X-Contract", "tight"))
	wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if a.Status != 429 || err != nil || wait <= 0 || wait > 2 {
		t.Errorf("beyond it: status %d, Retry-After %q", a.Status, a.Header.Get("Retry-After"))
	}
	if got := len(s.Requests()); got != 1 {
		t.Errorf("%d requests were passed on, want 1", got)
	}
}

// The host bounds every request by its client's deadline, also at a server that is
// silent for ever, and a keyed one that may have run is failed, not rejected.
func TestSilentServer(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := run(t, testConfig(s.Endpoint("a")))
	a := nodetest.Dial(t, n.addr).Ask(request("book", "t1", "X-Expires-In", "2"))
	if a.Status != 502 {
		t.Errorf("status %d, want 502", a.Status)
	}
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
}

// A class may have its clients wait for longer than an answer takes to be written: the connection is not
// closed under a request that can still be served.
func TestWriteTimeoutExceedsTheLongestWait(t *testing.T) {
	for _, deadline := range []time.Duration{time.Second, 20 * time.Second, 10 * time.Minute} {
		cfg := testConfig()
		cfg.Settings.Classes[1].Deadline = deadline
		f := idleFrontend(t, cfg)
		if limit, least := f.server.WriteTimeout, max(deadline, cfg.Settings.Classes[0].Deadline)+cfg.Settings.ResponseSlack+time.Second; limit < least {
			t.Errorf("deadline of %v: connections are closed after %v", deadline, limit)
		}
	}
}

// A client that goes away ends its request: the attempt is given up, its state removed.
func TestClientGone(t *testing.T) {
	s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	cfg := testConfig(s.Endpoint("a"))
	n := run(t, cfg)
	c := nodetest.Dial(t, n.addr)
	c.Send(request("check", "t1"))
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
	_ = c.Close()
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	// The id is free once nothing is held any more.
	nodetest.Eventually(t, "second request taken", func() bool {
		again := nodetest.Dial(t, n.addr)
		again.Send(request("check", "t1", "X-Expires-In", "0.05"))
		return again.Receive().Status != 409
	})
}

// A reset is for the balancer to act on: an idempotent request is retried at the other server.
func TestResetIsRetriedElsewhere(t *testing.T) {
	var broken atomic.Bool
	var resets atomic.Int32
	bad := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if broken.Load() {
			resets.Add(1)
			return false
		}
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	good := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	n := run(t, testConfig(bad.Endpoint("a"), good.Endpoint("b")))
	c := nodetest.Dial(t, n.addr)
	i := 0
	ask := func() nodetest.Response {
		i++
		return c.Ask(request("check", fmt.Sprint("t", i)))
	}
	for range 20 { // the module earns further attempts by first ones
		ask()
	}
	broken.Store(true)
	nodetest.Eventually(t, "a reset and an answer for one request", func() bool {
		before := resets.Load()
		return ask().Status == 200 && resets.Load() > before
	})
}

// A panic of the balancer costs one request, which is answered, and is logged with its stack.
func TestPanicIsAnswered(t *testing.T) {
	f := idleFrontend(t, testConfig())
	logs := &nodetest.Buffer{}
	n := nodeOf(f)
	n.log = slog.New(slog.NewTextHandler(logs, nil))
	n.mu.Lock() // its timers fire meanwhile
	n.balancer = nil
	n.mu.Unlock()
	ln := nodetest.Listen(t)
	serveClients(t, f, newClientListener(ln, f.conns))
	a := nodetest.Dial(t, ln.Addr().String()).Ask(request("check", "t1"))
	if a.Status != 502 || !strings.Contains(logs.String(), "balancer.(*Balancer).RequestArrived") {
		t.Errorf("status %d, logged %q", a.Status, logs.String())
	}
	// One of the host's own.
	f.settings = nil
	if a := nodetest.Dial(t, ln.Addr().String()).Ask(request("check", "t2")); a.Status != 500 {
		t.Errorf("status %d", a.Status)
	}
}

// nodeOf returns the node that a frontend was made for.
func nodeOf(f *frontend) *Node { return f.handler.(*Node) }

// idleFrontend is the client side of a node that has no goroutines of its own.
func idleFrontend(t *testing.T, cfg *Config) *frontend {
	t.Helper()
	n, err := newNode(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.startBalancer()
	return newFrontend(n)
}
