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

// A server may drop idle connections earlier than the settings say. The client notices that only when it
// writes a request that may then have run, so it must shorten the idle limit after the first such reset. A
// reset while the server executes a request, or on a connection that was idle only briefly, must not shorten
// the limit.
func TestStaleResetShortensTheIdleLimit(t *testing.T) {
	for name, c := range map[string]struct {
		idleFor, delay time.Duration
		shortens       bool
	}{
		"stale":        {10 * minIdleLimit, 0, true},
		"just used":    {reuseDelay, 0, false},
		"executing":    {10 * minIdleLimit, 2 * staleResetWindow, false},
		"briefly idle": {minIdleLimit / 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := nodetest.NewAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return nodetest.Respond(nodetest.OKResponse)(conn, r, body)
				}
				time.Sleep(c.delay) // the server executes the request
				nodetest.ResetOnClose(conn)
				return false
			})
			pool := newTestPool(s.Endpoint("a"))
			b := pool.backends["a"]
			okRequest := &Message{Method: "GET", Target: "/check", ID: "fine"}
			ctx, cancel := context.WithTimeout(context.Background(), nodetest.WaitTimeout)
			defer cancel()
			idleAfterExchange := func(d time.Duration) {
				pool.Exchange(ctx, "a", okRequest, WriteLimits{})
				b.idle[0].idleSince = time.Now().Add(-d)
			}
			idleAfterExchange(c.idleFor)
			_, result := exchange(t, pool, "a")
			wantResult(t, result, balancer.Reset)
			if got := b.idleLimit != 0; got != c.shortens {
				t.Fatalf("idle limit %v, shortened: %v, want %v", b.idleLimit, got, c.shortens)
			}
			idleAfterExchange(c.idleFor)
			old := b.idle[0]
			pool.Exchange(ctx, "a", okRequest, WriteLimits{})
			if reused := b.idle[0] == old; reused == c.shortens {
				t.Errorf("connection reused: %v, want %v", reused, !c.shortens)
			}
			b.idleLimitSetAt = time.Now().Add(-12 * idleLimitDoublingPeriod)
			if limit := pool.idleLimitFor(b); limit != pool.maxIdle {
				t.Errorf("idle limit %v after 12 doublings, want %v", limit, pool.maxIdle)
			}
		})
	}
}

// The most recently used connection is used next, so that the others expire when the load is low.
func TestPoolIsLIFO(t *testing.T) {
	hold := make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		<-hold
		return nodetest.Respond(nodetest.OKResponse)(c, nil, nil)
	})
	pool := newTestPool(s.Endpoint("a"))
	done := make(chan balancer.Result, 2)
	for range 2 {
		go func() {
			_, result := pool.Exchange(context.Background(), "a", &getRequest, WriteLimits{})
			done <- result
		}()
	}
	nodetest.Eventually(t, "two requests at the server", func() bool { return len(s.Requests()) == 2 })
	close(hold)
	wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
	wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
	idle := pool.backends["a"].idle
	if len(idle) != 2 {
		t.Fatalf("%d idle connections after two concurrent requests, want 2", len(idle))
	}
	older, last := idle[0], idle[1]
	pool.ageIdle()
	exchange(t, pool, "a")
	if idle = pool.backends["a"].idle; len(idle) != 2 || idle[0] != older || idle[1] != last {
		t.Error("the request did not use the most recently used connection")
	}
}

// Guards against a request on an idle connection that the server has closed. It would end with a reset,
// after which a request with an idempotency key may not be freely retried.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(s.Endpoint("a"))
	exchange(t, pool, "a")
	_ = (<-s.Conns).Close()
	c := pool.backends["a"].idle[0]
	nodetest.Eventually(t, "close seen by the client", func() bool { return !c.isIdle() })
	pool.ageIdle()
	_, result := exchange(t, pool, "a")
	wantResult(t, result, balancer.OK)
	if pool.open != 1 {
		t.Errorf("%d connections open, want 1", pool.open)
	}
}

// A connection that has been idle for almost as long as servers allow is closed, both when a request would
// use it and by ReapIdle.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(s.Endpoint("a"))
	exchange(t, pool, "a")
	pool.backends["a"].idle[0].idleSince = time.Now().Add(-pool.maxIdle)
	exchange(t, pool, "a")
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	pool.backends["a"].idle[0].idleSince = time.Now().Add(-pool.maxIdle)
	pool.maxIdle = 50 * time.Millisecond // sets the interval of ReapIdle
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.ReapIdle(ctx)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.open != 0 {
		t.Errorf("%d connections open, want 0", pool.open)
	}
}

// Guards against waiting for a crashed machine, which does not answer a connection attempt at all: dialing
// has a timeout of its own, after which the request has not run.
func TestDialTimeout(t *testing.T) {
	pool := New(settings.Transport{ConnIdle: time.Minute, ConnectTimeout: 50 * time.Millisecond}, 100)
	pool.update([]endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "a"}, Addr: nodetest.UnresponsiveAddr(t)}}, true)
	ctx, cancel := context.WithTimeout(context.Background(), nodetest.WaitTimeout)
	defer cancel()
	_, result := pool.Exchange(ctx, "a", &getRequest, WriteLimits{})
	wantResult(t, result, balancer.ConnectFailed)
	if ctx.Err() != nil || pool.open != 0 {
		t.Errorf("context error %v, %d connections open; want nil, 0", ctx.Err(), pool.open)
	}
}

// After a timeout on one connection, the other connections to that server are not used again. If its machine
// has crashed they are silent too, and each would make one more request time out.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Trace-Id") == "silent" {
			select {}
		}
		return nodetest.Respond(nodetest.OKResponse)(c, r, body)
	})
	pool := newTestPool(s.Endpoint("a"))
	c, err := pool.acquire(context.Background(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	exchange(t, pool, "a")
	pool.release(c)
	ctx, results := nodetest.NewManualContext(), make(chan balancer.Result, 1)
	go func() {
		_, result := pool.Exchange(ctx, "a", &Message{Method: "GET", Target: "/check", ID: "silent"}, WriteLimits{})
		results <- result
	}()
	nodetest.Eventually(t, "request at the server", func() bool { return len(s.Requests()) == 2 })
	ctx.End(context.DeadlineExceeded)
	wantResult(t, nodetest.Await(t, "a result", results), balancer.TimedOut)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
	nodetest.WantClosed(t, nodetest.Await(t, "a second connection", s.Conns))
	if pool.open != 0 {
		t.Errorf("%d connections open, want 0", pool.open)
	}
}

// If a server moves, restarts, drains or is removed, all connections to it are closed: the idle ones, and
// the busy ones after their exchange.
func TestListUpdateClosesConnections(t *testing.T) {
	for name, change := range map[string]func(endpointlist.Endpoint) ([]endpointlist.Endpoint, bool){
		"moved": func(entry endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			entry.Addr = netip.MustParseAddrPort("127.0.0.1:1")
			return []endpointlist.Endpoint{entry}, false
		},
		"restarted": func(entry endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			entry.StartedAt = time.Hour
			return []endpointlist.Endpoint{entry}, false
		},
		"draining": func(entry endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			entry.State = balancer.Draining
			return []endpointlist.Endpoint{entry}, false
		},
		"removed": func(entry endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) {
			entry.State = balancer.Removed
			return []endpointlist.Endpoint{entry}, false
		},
		"not listed": func(endpointlist.Endpoint) ([]endpointlist.Endpoint, bool) { return nil, true },
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			first := true
			s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				if !first {
					<-hold
				}
				first = false
				return nodetest.Respond(nodetest.OKResponse)(c, nil, nil)
			})
			pool := newTestPool(s.Endpoint("a"))
			exchange(t, pool, "a") // leaves one idle connection
			done := make(chan balancer.Result)
			go func() {
				_, result := pool.Exchange(context.Background(), "a", &getRequest, WriteLimits{})
				done <- result
			}()
			nodetest.Eventually(t, "second request at the server", func() bool { return len(s.Requests()) == 2 })
			closeAll(pool.update(change(s.Endpoint("a"))))
			close(hold)
			wantResult(t, nodetest.Await(t, "a result", done), balancer.OK)
			nodetest.WantClosed(t, nodetest.Await(t, "a connection", s.Conns))
			if pool.open != 0 {
				t.Errorf("%d connections open, want 0", pool.open)
			}
		})
	}
}

// Guards against a request to a server that began to drain while the connection to it was being opened.
func TestDrainDuringDial(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(s.Endpoint("a"))
	b := pool.backends["a"]
	draining := s.Endpoint("a")
	draining.State = balancer.Draining
	pool.update([]endpointlist.Endpoint{draining}, false)
	pool.open++
	if _, err := pool.dial(context.Background(), b); !errors.Is(err, errNotUp) {
		t.Errorf("error %v, want %v", err, errNotUp)
	}
	_, result := exchange(t, pool, "a")
	wantResult(t, result, balancer.ConnectFailed)
	if len(s.Requests()) != 0 || pool.open != 0 {
		t.Errorf("requests %q, %d connections open; want none", s.Requests(), pool.open)
	}
}

// At the connection limit an idle connection is evicted. If none is idle, the attempt is not sent, and its
// result does not count against the server.
func TestConnectionLimit(t *testing.T) {
	a, b := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse)),
		nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	pool := newTestPool(a.Endpoint("a"), b.Endpoint("b"))
	pool.maxOpen = 1
	exchange(t, pool, "a")
	_, result := exchange(t, pool, "b")
	wantResult(t, result, balancer.OK)
	nodetest.WantClosed(t, nodetest.Await(t, "a connection", a.Conns))
	busy, err := pool.acquire(context.Background(), "b", nil)
	if err != nil {
		t.Fatal(err)
	}
	_, result = exchange(t, pool, "a")
	wantResult(t, result, balancer.NotSent)
	pool.release(busy)
	if pool.open != 1 {
		t.Errorf("%d connections open, want 1", pool.open)
	}
}
