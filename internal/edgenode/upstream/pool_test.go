package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/settings"
)

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

// At the limit on descriptors an idle connection is evicted; with none idle the
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
