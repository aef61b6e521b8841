package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/settings"
)

func testUpstream(servers ...endpointlist.Endpoint) *Pool {
	u := New(settings.Transport{ConnIdle: time.Minute, ConnectTimeout: 5 * time.Second}, 100)
	u.update(servers, true)
	return u
}

var get = Message{Method: "GET", Target: "/check?customer=1", ID: "t1"}

func exchange(t *testing.T, u *Pool, server string) (Response, balancer.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
	defer cancel()
	return u.Exchange(ctx, server, &get, WriteLimits{})
}

func wantResult(t *testing.T, got, want balancer.Result) {
	t.Helper()
	if got != want {
		t.Errorf("result %d, want %d", got, want)
	}
}

func TestResultsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balancer.Result
		reused     bool
	}{
		{"served", nodetest.OKResponse, balancer.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", balancer.OK, true},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + nodetest.OKResponse, balancer.OK, true},
		{"last on its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", balancer.OK, false},
		{"more than asked for", nodetest.OKResponse + nodetest.OKResponse, balancer.OK, false},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"turned away, 503", "HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"turned away, 504", "HTTP/1.1 504 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"503 that may have run", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"never ran, in other words", "HTTP/1.1 503 F\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"500 that claims it never ran", "HTTP/1.1 500 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"unexpected", "HTTP/1.1 204 N\r\n\r\n", balancer.ErrorResponse, true},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), balancer.ErrorResponse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := nodetest.NewAppServer(t, nodetest.Say(c.text))
			u := testUpstream(s.Endpoint("a"))
			rep, res := exchange(t, u, "a")
			wantResult(t, res, c.want)
			if res == balancer.OK && string(rep.Body) != "body" {
				t.Errorf("body %q", rep.Body)
			}
			if got := len(u.backends["a"].idle) == 1; got != c.reused {
				t.Errorf("kept: %v, want %v", got, c.reused)
			}
		})
	}
}

// The true units that an answer tells are what the quota counts; a figure that can't be is none.
func TestSettledUnits(t *testing.T) {
	for text, want := range map[string]float64{
		"": 0, "X-Settled: 3\r\n": 3, "X-Settled: 8\r\n": 8, "X-Settled: 9\r\n": 0,
		"X-Settled: -1\r\n": 0, "X-Settled: many\r\n": 0, "X-Settled: 1e300\r\n": 0, "X-Settled: NaN\r\n": 0,
	} {
		s := nodetest.NewAppServer(t, nodetest.Say("HTTP/1.1 200 OK\r\n"+text+"Content-Length: 4\r\n\r\nbody"))
		rep, res := exchange(t, testUpstream(s.Endpoint("a")), "a")
		wantResult(t, res, balancer.OK)
		if got := rep.SettledUnits(8); got != want {
			t.Errorf("%q: %v units, want %v", text, got, want)
		}
	}
}

// A break is a reset, whichever part of the answer it cuts: passed on in part, it
// could not be tried elsewhere.
func TestBrokenAnswerIsReset(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(c, text)
			return false
		})
		u := testUpstream(s.Endpoint("a"))
		_, res := exchange(t, u, "a")
		wantResult(t, res, balancer.Reset)
	}
}

// An answer that came and can't be read is an error that may have run, known at once:
// not a reset, which would make a warm server count as restarted and cold, and not a
// time-out, which would count as overload and cost the server its idle connections.
func TestSpoiltAnswers(t *testing.T) {
	const body = "\r\n\r\nbody"
	endless := func(line string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, line)
			}
			return false
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *http.Request, []byte) bool
	}{
		{"noise", nodetest.Say("\x85\x14\xe8 no HTTP\r\n\r\n")},
		{"another protocol", nodetest.Say("ICY 200 OK\r\nContent-Length: 4" + body)},
		{"status no number", nodetest.Say("HTTP/1.1 2x0 OK\r\nContent-Length: 4" + body)},
		{"line without colon", nodetest.Say("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4" + body)},
		{"two lengths", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4" + body)},
		{"negative length", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4" + body)},
		{"bad chunk", nodetest.Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n")},
		{"no length", nodetest.Say("HTTP/1.1 200 OK" + body)},
		{"length too large", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: 5" + body)},
		{"half a head", nodetest.Say("HTTP/1.1 200 OK\r\nContent-")},
		{"endless head", endless("X-Pad: pppppppppppppppppppppppp\r\n")},
		{"endless line", endless("pppppppppppppppppppppppp")},
		{"endless 1xx answers", endless("\r\nHTTP/1.1 103 Early Hints\r\n")},
		{"endless body", endless("Content-Length: 3000000000\r\n\r\n")},
		{"endless chunks", endless("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000))},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := nodetest.NewAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return nodetest.Say(nodetest.OKResponse)(conn, r, body)
				}
				return c.serve(conn, r, body)
			})
			u := testUpstream(s.Endpoint("a"))
			spare, err := u.acquire(context.Background(), "a", nil)
			if err != nil {
				t.Fatal(err)
			}
			_, res := exchange(t, u, "a")
			wantResult(t, res, balancer.ErrorResponse)
			u.release(spare)
			if b := u.backends["a"]; len(b.idle) != 1 || u.open != 1 {
				t.Errorf("%d connections idle, %d counted, want the other one", len(b.idle), u.open)
			}
			ctx, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
			defer cancel()
			if _, res := u.Exchange(ctx, "a", &Message{Method: "GET", Target: "/check", ID: "fine"}, WriteLimits{}); res != balancer.OK {
				t.Errorf("the next request: result %d", res)
			}
		})
	}
}

// Half an answer when the attempt's time ends is an error, not silence.
func TestHalfAnAnswerIsNoSilence(t *testing.T) {
	written := make(chan struct{}, 1)
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		defer func() { written <- struct{}{} }()
		return nodetest.Say("HTTP/1.1 200 OK\r\n")(c, r, body)
	})
	u := testUpstream(s.Endpoint("a"))
	spare, err := u.acquire(context.Background(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	u.release(spare)
	other, err := u.dial(context.Background(), u.backends["a"])
	if err != nil {
		t.Fatal(err)
	}
	u.open++
	u.release(other)
	u.rest()
	ctx, result := nodetest.NewEndingContext(), make(chan balancer.Result, 1)
	go func() {
		_, res := u.Exchange(ctx, "a", &get, WriteLimits{})
		result <- res
	}()
	nodetest.Await(t, "half an answer", written)
	nodetest.Eventually(t, "it is read", func() bool { return nodetest.Drained(t, other.Conn) })
	ctx.End(context.DeadlineExceeded)
	wantResult(t, nodetest.Await(t, "a result", result), balancer.ErrorResponse)
	if len(u.backends["a"].idle) != 1 {
		t.Error("the other idle connection is gone")
	}
}

// A server that gives idle connections up sooner than it tells shows only when one is
// written to, which may have run: from the first on they are kept for less. A reset under
// a request that the server was at, or on a connection just used, teaches nothing.
func TestStaleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		rested, answer time.Duration
		learns         bool
	}{
		"stale":           {10 * minKeepIdle, 0, true},
		"just used":       {minRest, 0, false},
		"at the work":     {10 * minKeepIdle, 2 * staleResetWindow, false},
		"not much rested": {minKeepIdle / 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := nodetest.NewAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return nodetest.Say(nodetest.OKResponse)(conn, r, body)
				}
				time.Sleep(c.answer) // the server at work
				nodetest.ResetOnClose(conn)
				return false
			})
			u := testUpstream(s.Endpoint("a"))
			b := u.backends["a"]
			fine := &Message{Method: "GET", Target: "/check", ID: "fine"}
			ctx, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
			defer cancel()
			rest := func(d time.Duration) {
				u.Exchange(ctx, "a", fine, WriteLimits{})
				b.idle[0].idleSince = time.Now().Add(-d)
			}
			rest(c.rested)
			_, res := exchange(t, u, "a")
			wantResult(t, res, balancer.Reset)
			if got := b.keepIdle != 0; got != c.learns {
				t.Fatalf("kept for %v, learned: %v, want %v", b.keepIdle, got, c.learns)
			}
			rest(c.rested)
			old := b.idle[0]
			u.Exchange(ctx, "a", fine, WriteLimits{})
			if again := b.idle[0] == old; again == c.learns {
				t.Errorf("used again: %v", again)
			}
			b.keepIdleSetAt = time.Now().Add(-12 * keepDoublingPeriod)
			if keep := u.keepIdleFor(b); keep != u.maxIdle {
				t.Errorf("kept for %v long after, want %v", keep, u.maxIdle)
			}
		})
	}
}

// A 1xx answer is no part of the one that counts, which may come as late as it likes.
func TestInterimAnswerThenAPause(t *testing.T) {
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		time.Sleep(responseRestTimeout * 3 / 2) // the server at work
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	u := testUpstream(s.Endpoint("a"))
	_, res := exchange(t, u, "a")
	wantResult(t, res, balancer.OK)
}

// An attempt whose own time ends before it is written says nothing of its server.
func TestOwnTimeEnds(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	_, res := u.Exchange(ctx, "a", &get, WriteLimits{})
	wantResult(t, res, balancer.NotSent)
}

// A kept connection that breaks under a request ends it as a reset. A client that
// resends by itself would make a second copy.
func TestNothingIsResent(t *testing.T) {
	first := true
	s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		if first {
			first = false
			_, _ = io.WriteString(c, nodetest.OKResponse)
			return true
		}
		return false
	})
	u := testUpstream(s.Endpoint("a"))
	_, res := exchange(t, u, "a")
	wantResult(t, res, balancer.OK)
	u.rest()
	_, res = exchange(t, u, "a")
	wantResult(t, res, balancer.Reset)
	if n := len(s.Requests()); n != 2 {
		t.Errorf("%d copies arrived of 2 requests", n)
	}
}

// The connection used last is used next, so that a quiet spell lets the others go.
func TestPoolIsLIFO(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		<-hold
		return nodetest.Say(nodetest.OKResponse)(c, nil, nil)
	})
	u := testUpstream(s.Endpoint("a"))
	done := make(chan balancer.Result, 2)
	for range 2 {
		go func() {
			_, res := u.Exchange(context.Background(), "a", &get, WriteLimits{})
			done <- res
		}()
	}
	nodetest.Eventually(t, "two requests out", func() bool { return len(s.Requests()) == 2 })
	close(hold)
	wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
	wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
	idle := u.backends["a"].idle
	if len(idle) != 2 {
		t.Fatalf("%d idle connections for two requests at once", len(idle))
	}
	older, last := idle[0], idle[1]
	u.rest()
	exchange(t, u, "a")
	if idle = u.backends["a"].idle; len(idle) != 2 || idle[0] != older || idle[1] != last {
		t.Error("another connection was used than the last")
	}
}

// One that the server has closed meanwhile is noticed: a request written to it
// would end as a reset, which a keyed request may not freely repeat.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	exchange(t, u, "a")
	_ = (<-s.Conns).Close()
	c := u.backends["a"].idle[0]
	nodetest.Eventually(t, "close arrived", func() bool { return !c.quiet() })
	u.rest()
	_, res := exchange(t, u, "a")
	wantResult(t, res, balancer.OK)
	if u.open != 1 {
		t.Errorf("%d connections counted, 1 open", u.open)
	}
}

// A connection near the age at which servers close is retired, in use and at rest.
func TestIdleConnectionsRetire(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	exchange(t, u, "a")
	u.backends["a"].idle[0].idleSince = time.Now().Add(-u.maxIdle)
	exchange(t, u, "a")
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	u.backends["a"].idle[0].idleSince = time.Now().Add(-u.maxIdle)
	u.maxIdle = 50 * time.Millisecond // sets the reaper's pace
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go u.ReapIdle(ctx)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open != 0 {
		t.Errorf("%d connections counted, none open", u.open)
	}
}

// A server whose machine is gone says nothing: the dial has a bound of its own, and
// what it ends has never run.
func TestDialIsBounded(t *testing.T) {
	u := New(settings.Transport{ConnIdle: time.Minute, ConnectTimeout: 50 * time.Millisecond}, 100)
	u.update([]endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "a"}, Addr: nodetest.Blocked(t)}}, true)
	ctx, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
	defer cancel()
	_, res := u.Exchange(ctx, "a", &get, WriteLimits{})
	wantResult(t, res, balancer.ConnectFailed)
	if ctx.Err() != nil || u.open != 0 {
		t.Errorf("context %v, %d connections counted", ctx.Err(), u.open)
	}
}

// Giving up closes the connection before the outcome is known, or the next attempt
// would be a second copy.
func TestGivingUpClosesTheConnection(t *testing.T) {
	for want, reason := range map[balancer.Result]error{
		balancer.TimedOut: context.DeadlineExceeded, balancer.Cancelled: context.Canceled,
	} {
		s := nodetest.NewAppServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
		u := testUpstream(s.Endpoint("a"))
		ctx, result := nodetest.NewEndingContext(), make(chan balancer.Result, 1)
		go func() {
			_, res := u.Exchange(ctx, "a", &get, WriteLimits{})
			result <- res
		}()
		nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 1 })
		ctx.End(reason)
		wantResult(t, nodetest.Await(t, "a result", result), want)
		nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
		if u.open != 0 {
			t.Errorf("%d connections counted, none open", u.open)
		}
	}
}

// After silence on one connection the others of that server are not used again: where
// its machine is gone they are silent too, and each would cost a request its time.
func TestSilenceDropsIdleConnections(t *testing.T) {
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "silent" {
			select {}
		}
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	u := testUpstream(s.Endpoint("a"))
	c, err := u.acquire(context.Background(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	exchange(t, u, "a")
	u.release(c)
	ctx, result := nodetest.NewEndingContext(), make(chan balancer.Result, 1)
	go func() {
		_, res := u.Exchange(ctx, "a", &Message{Method: "GET", Target: "/check", ID: "silent"}, WriteLimits{})
		result <- res
	}()
	nodetest.Eventually(t, "request out", func() bool { return len(s.Requests()) == 2 })
	ctx.End(context.DeadlineExceeded)
	wantResult(t, nodetest.Await(t, "a result", result), balancer.TimedOut)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	nodetest.WantClosed(t, nodetest.Await(t, "a second connection", s.Conns))
	if u.open != 0 {
		t.Errorf("%d connections counted, none open", u.open)
	}
}

// A server that moved, restarted, drains or is gone keeps no connection, neither an
// idle one nor one that was busy when the list changed.
func TestListDropsConnections(t *testing.T) {
	for name, change := range map[string]func(endpointlist.Endpoint) ([]endpointlist.Endpoint, bool){
		"moved": func(i endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			i.Addr = netip.MustParseAddrPort("127.0.0.1:1")
			return []endpointlist.Endpoint{i}, false
		},
		"restarted": func(i endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			i.StartedAt = time.Hour
			return []endpointlist.Endpoint{i}, false
		},
		"draining": func(i endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			i.State = balancer.Draining
			return []endpointlist.Endpoint{i}, false
		},
		"removed": func(i endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			i.State = balancer.Removed
			return []endpointlist.Endpoint{i}, false
		},
		"vanished": func(endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) { return nil, true },
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			first := true
			s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				if !first {
					<-hold
				}
				first = false
				return nodetest.Say(nodetest.OKResponse)(c, nil, nil)
			})
			u := testUpstream(s.Endpoint("a"))
			exchange(t, u, "a") // leaves one idle
			done := make(chan balancer.Result)
			go func() {
				_, res := u.Exchange(context.Background(), "a", &get, WriteLimits{})
				done <- res
			}()
			nodetest.Eventually(t, "second request out", func() bool { return len(s.Requests()) == 2 })
			closeAll(u.update(change(s.Endpoint("a"))))
			close(hold)
			wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
			nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
			if u.open != 0 {
				t.Errorf("%d connections counted, none open", u.open)
			}
		})
	}
}

// Nothing new goes to a server that came to drain while the connection was made.
func TestDrainDuringDial(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(s.Endpoint("a"))
	b := u.backends["a"]
	drains := s.Endpoint("a")
	drains.State = balancer.Draining
	u.update([]endpointlist.Endpoint{drains}, false)
	u.open++
	if _, err := u.dial(context.Background(), b); !errors.Is(err, errNotUp) {
		t.Errorf("error %v, want %v", err, errNotUp)
	}
	_, res := exchange(t, u, "a")
	wantResult(t, res, balancer.ConnectFailed)
	if len(s.Requests()) != 0 || u.open != 0 {
		t.Errorf("requests %q, %d connections counted", s.Requests(), u.open)
	}
}

// A message that was withdrawn is not sent any more, also where it has its connection, nor is an attempt that was given
// up, and nobody has told either.
func TestNothingIsSentOfWhatWasWithdrawn(t *testing.T) {
	srv := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(srv.Endpoint("a"))
	c, err := u.acquire(t.Context(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := get
	u.Withdraw(&withdrawn)
	u.release(c)
	if _, result := u.Exchange(t.Context(), "a", &withdrawn, WriteLimits{}); result != balancer.NotSent {
		t.Errorf("result %v", result)
	}
	c, err = u.acquire(t.Context(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, giveUp := context.WithCancel(t.Context())
	u.Cancel(giveUp)
	if err := u.writeRequest(ctx, c, &Message{}, WriteLimits{}, []byte("GET /givenup HTTP/1.1\r\nHost: a\r\n\r\n")); !errors.Is(err, context.Canceled) {
		t.Errorf("an attempt that was given up is written: %v", err)
	}
	u.release(c)
	if _, result := u.Exchange(t.Context(), "a", &Message{Method: "GET", Target: "/other"}, WriteLimits{}); result != balancer.OK {
		t.Errorf("another request: result %v", result)
	}
	if got := srv.Requests(); len(got) != 1 || got[0] != "GET /other " {
		t.Errorf("sent %q", got)
	}
	u.Close()
}

// A request that was decided on and has its connection, but whose first byte has not gone out
// when the news of the drain is applied, stays here: on a kept connection as on a new one.
func TestDrainBeforeTheFirstByte(t *testing.T) {
	srv := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	for _, kept := range []bool{false, true} {
		in := srv.Endpoint("a")
		u := New(settings.Transport{ConnIdle: time.Minute, ConnectTimeout: nodetest.Patience}, 10)
		u.update([]endpointlist.Endpoint{in}, true)
		if kept {
			if _, result := u.Exchange(t.Context(), "a", &Message{Method: "GET", Target: "/first"}, WriteLimits{}); result != balancer.OK {
				t.Fatalf("first request: %v", result)
			}
			u.rest()
		}
		c, err := u.acquire(t.Context(), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		before := len(srv.Requests())
		in.State = balancer.Draining
		closeAll(u.update([]endpointlist.Endpoint{in}, false))
		if err := u.writeRequest(t.Context(), c, &Message{}, WriteLimits{}, []byte("GET /late HTTP/1.1\r\nHost: a\r\n\r\n")); !errors.Is(err, errNotUp) {
			t.Errorf("kept %v: written with error %v", kept, err)
		}
		nodetest.SetDeadline(t, c)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		if n, err := io.Copy(io.Discard, c); n != 0 || err != nil { // the server closes what it has read to its end
			t.Errorf("kept %v: %d bytes came back, error %v", kept, n, err)
		}
		u.discard(c)
		if n := len(srv.Requests()) - before; n != 0 {
			t.Errorf("kept %v: %d requests came in after the news", kept, n)
		}
		u.Close()
	}
}

// At the limit on descriptors an idle connection gives way; with none idle the
// attempt is moot, which is held against no server.
func TestDescriptorsAreBudgeted(t *testing.T) {
	a, b := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	u := testUpstream(a.Endpoint("a"), b.Endpoint("b"))
	u.maxOpen = 1
	exchange(t, u, "a")
	_, res := exchange(t, u, "b")
	wantResult(t, res, balancer.OK)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", a.Conns))
	busy, err := u.acquire(context.Background(), "b", nil)
	if err != nil {
		t.Fatal(err)
	}
	_, res = exchange(t, u, "a")
	wantResult(t, res, balancer.NotSent)
	u.release(busy)
	if u.open != 1 {
		t.Errorf("%d connections counted, 1 open", u.open)
	}
}

func TestLoadReports(t *testing.T) {
	for text, want := range map[string]*balancer.LoadReport{
		"TEXT inflight=7, queue=2, util=0.61":     {InFlight: 7, Queued: 2, Utilization: 0.61},
		"TEXT backlog=2,utilization=0.5,novel=1 ": {InFlight: -1, Queued: 2, Utilization: 0.5},
		"TEXT util=x, queue=3":                    {InFlight: -1, Queued: 3, Utilization: -1},
		"TEXT util=NaN, queue=-1":                 {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1e9, queue=0x1p4":              {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1000000, queue=999999999":      {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1.059, queue=1.674":            {InFlight: -1, Queued: 1.674, Utilization: 1.059},
		"":                                        nil, "JSON {}": nil,
	} {
		got := parseLoadReport(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
