package edgenode

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/nodetest"
)

// loadPath is where app servers are asked for their load.
const loadPath = "/stats"

// A machine that has vanished leaves its connections open and silent, and the list says so
// late. The probe that finds it must keep clients' requests away until it answers again.
func TestSilentServerGetsNoRequest(t *testing.T) {
	const warmUp, leastMet, whileSilent = 300, 100, 30 // requests
	var gone atomic.Bool
	var met atomic.Int32 // requests of clients that the preferred server has read
	preferred := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.RequestURI != loadPath {
			met.Add(1)
		}
		return gone.Load() || answerWithQueue(c, r, 0)
	})
	// A queue this long outweighs any difference in latency, whatever the machine is busy with.
	other := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool { return answerWithQueue(c, r, 10000) })
	cfg := testConfig(preferred.Endpoint("preferred"), other.Endpoint("other"))
	cfg.Settings.HealthChecks, cfg.Settings.LoadReports = true, balancer.LoadReportsInHealthChecks
	r := run(t, cfg)
	c, n := nodetest.Dial(t, r.addr), 0
	ask := func() (byPreferred bool) {
		n++
		before := met.Load()
		if a := c.Ask(request("check", fmt.Sprint("q", n))); a.Status != http.StatusOK {
			t.Fatalf("request %d: %d", n, a.Status)
		}
		return met.Load() > before
	}
	// The last one has its answer from the preferred server, which is known to live by that.
	for byPreferred := false; n < warmUp || met.Load() < leastMet || !byPreferred; {
		byPreferred = ask()
	}
	before, logged := met.Load(), len(r.logs.String())
	gone.Store(true)
	nodetest.Eventually(t, "a probe finds the silent server", func() bool {
		return strings.Contains(r.logs.String()[logged:], `msg="endpoint unreachable until a health check succeeds" node=n0 endpoint=preferred`)
	})
	for range whileSilent {
		ask()
	}
	if got := met.Load() - before; got != 0 {
		t.Errorf("%d requests went to a silent server", got)
	}
	gone.Store(false)
	for end := time.Now().Add(nodetest.Patience); met.Load() == before; ask() {
		if time.Now().After(end) {
			t.Fatal("the server answers again and gets no request")
		}
	}
}

// answerWithQueue answers a request or, where that is a probe, reports a queue of this length.
func answerWithQueue(c net.Conn, r *http.Request, queue int) bool {
	body := "body"
	if r.RequestURI == loadPath {
		body = fmt.Sprintf("TEXT util=0.1, queue=%d", queue)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// A server that refuses a new connection and goes on answering on an old one has not
// restarted: it must not count as cold, which would keep most requests from it.
func TestRefusedConnectionAtALiveServer(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.Header.Get("X-Trace-Id") == "held" {
			close(held)
			<-release
		}
		_, err := io.WriteString(c, nodetest.OKResponse)
		return err == nil
	})
	cfg := testConfig(s.Endpoint("a"))
	cfg.Settings.SlowStartDuration, cfg.Settings.SlowStartInitialFraction = time.Hour, 0.01
	cfg.Settings.OverloadFactor, cfg.Settings.OverloadWindow = 2, time.Second
	r := run(t, cfg)
	c, other := nodetest.Dial(t, r.addr), nodetest.Dial(t, r.addr)
	c.Send(request("check", "held")) // on the server's one connection
	nodetest.Await(t, "the held request is out", held)
	_ = s.Listener.Close()
	if a := other.Ask(request("check", "refused")); a.Status != http.StatusTooManyRequests {
		t.Fatalf("with no connection to be had: %d", a.Status)
	}
	close(release)
	if a := c.Receive(); a.Status != http.StatusOK {
		t.Fatalf("the request held: %d", a.Status)
	}
	for i := range 20 {
		if a := c.Ask(request("check", fmt.Sprint("next", i))); a.Status != http.StatusOK {
			t.Fatalf("request %d after the old connection's answer: %d", i, a.Status)
		}
	}
}
