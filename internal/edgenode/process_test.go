package edgenode

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	"opalhook/internal/edgenode/nodetest"
)

// A SIGTERM before the node is ready ends it, without opening the listener.
func TestTerminationBeforeReady(t *testing.T) {
	cfg := testConfig()
	cfg.listWait = nodetest.WaitTimeout
	var called chan struct{}
	cfg.Discovery, called = silentAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- runWithListener(ctx, cfg, nil, slog.New(slog.DiscardHandler), func() (*net.TCPListener, error) {
			return nil, errors.New("the listener was opened")
		})
	}()
	nodetest.Await(t, "call to the agent", called)
	stop()
	if err := nodetest.Await(t, "end of the node", done); err != nil {
		t.Error(err)
	}
}

// silentAgent starts an agent that accepts calls and never answers. called receives a value for each call.
func silentAgent(t *testing.T) (addr netip.AddrPort, called chan struct{}) {
	called = make(chan struct{}, 1000)
	ln := nodetest.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			called <- struct{}{}
			defer func() { _ = c.Close() }()
		}
	}()
	return nodetest.AddrOf(ln), called
}

// A reload takes effect at any time, also before the node is ready and while it drains.
func TestReloadAtAnyTime(t *testing.T) {
	t.Run("before it is ready", func(t *testing.T) {
		s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
		cfg := testConfig()
		cfg.listWait = nodetest.WaitTimeout
		var called chan struct{}
		cfg.Discovery, called = silentAgent(t)
		moved := *cfg
		moved.Discovery = serveDiscovery(t, func() string { return nodetest.ListJSON(8, true, s.Endpoint("a")) },
			func(_ int, _ string, w io.Writer, ctx context.Context) { sendHeartbeats(ctx, w) })
		cfg.reload = func() (*Config, error) { return &moved, nil }
		n := run(t, cfg)
		nodetest.Await(t, "call to the first agent", called)
		n.reload <- syscall.SIGHUP
		if a := nodetest.Dial(t, n.addr).Do(request("check", "t1")); a.Status != http.StatusOK {
			t.Errorf("response %+v, want status 200", a)
		}
	})
	t.Run("while it drains", func(t *testing.T) {
		hold := make(chan struct{})
		s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			<-hold
			return nodetest.Respond(nodetest.OKResponse)(c, r, body)
		})
		cfg := testConfig(s.Endpoint("a"))
		moved := *cfg
		var called chan struct{}
		moved.Discovery, called = silentAgent(t)
		cfg.reload = func() (*Config, error) { return &moved, nil }
		n := run(t, cfg)
		c := nodetest.Dial(t, n.addr)
		c.Send(request("check", "t1"))
		nodetest.Eventually(t, "request at the app server", func() bool { return len(s.Requests()) == 1 })
		n.stop()
		nodetest.Eventually(t, "draining", func() bool { return strings.Contains(n.logs.String(), "draining") })
		n.reload <- syscall.SIGHUP
		nodetest.Await(t, "call to the new agent", called)
		close(hold)
		if a := c.Receive(); a.Status != http.StatusOK {
			t.Errorf("response %+v, want status 200", a)
		}
	})
}

// An agent that accepts calls and never answers does not keep a node from serving with its cached list.
func TestNodeServesDespiteSilentDiscovery(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	cfg := testConfig(s.Endpoint("a"))
	cfg.Discovery, _ = silentAgent(t)
	cfg.listWait = polledListWait
	n := run(t, cfg)
	if a := nodetest.Dial(t, n.addr).Do(request("check", "t1")); a.Status != http.StatusOK {
		t.Errorf("response %+v, want status 200", a)
	}
}

// A node serves requests with its cached list while discovery is down.
func TestNodeServesFromCachedList(t *testing.T) {
	s := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	n := run(t, testConfig(s.Endpoint("a"))) // nothing listens on the address of discovery
	nodetest.Eventually(t, "failure of discovery logged", func() bool { return strings.Contains(n.logs.String(), `msg="discovery watch lost"`) })
	if a := nodetest.Dial(t, n.addr).Do(request("check", "t1")); a.Status != 200 {
		t.Errorf("status %d, want 200", a.Status)
	}
}
