package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

// An attempt whose own time ends before it is written says nothing of its server.
func TestOwnDeadlineSaysNothingOfTheServer(t *testing.T) {
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
// when the drain is applied, stays here: on a kept connection as on a new one.
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
			t.Errorf("kept %v: %d requests came in after it", kept, n)
		}
		u.Close()
	}
}
