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

// loadPath is the path of the health check of an app server, which reports its load.
const loadPath = "/stats"

// Guards against sending requests to an app server whose machine has failed. Its connections stay open but
// carry no responses, and the list reports the failure late. Once a health check has failed, the app server
// must get no request until it responds again.
func TestUnresponsiveServerGetsNoRequest(t *testing.T) {
	const warmUp, minServed, whileUnresponsive = 300, 100, 30 // numbers of requests
	var unresponsive atomic.Bool
	var served atomic.Int32 // requests of clients that the preferred app server has read
	preferred := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.RequestURI != loadPath {
			served.Add(1)
		}
		return unresponsive.Load() || respondWithQueue(c, r, 0)
	})
	// A queue of this length outweighs any difference in latency, even on a busy machine.
	other := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool { return respondWithQueue(c, r, 10000) })
	cfg := testConfig(preferred.Endpoint("preferred"), other.Endpoint("other"))
	cfg.Settings.HealthChecks, cfg.Settings.LoadReports = true, balancer.LoadReportsInHealthChecks
	r := run(t, cfg)
	c, n := nodetest.Dial(t, r.addr), 0
	sendNext := func() (byPreferred bool) {
		n++
		before := served.Load()
		if a := c.Do(request("check", fmt.Sprint("q", n))); a.Status != http.StatusOK {
			t.Fatalf("request %d: status %d, want 200", n, a.Status)
		}
		return served.Load() > before
	}
	// The preferred app server answers the last request, so that the node knows it as reachable.
	for byPreferred := false; n < warmUp || served.Load() < minServed || !byPreferred; {
		byPreferred = sendNext()
	}
	before, logged := served.Load(), len(r.logs.String())
	unresponsive.Store(true)
	nodetest.Eventually(t, "unresponsive app server found unreachable", func() bool {
		return strings.Contains(r.logs.String()[logged:], `msg="endpoint unreachable until a health check succeeds" node=n0 endpoint=preferred`)
	})
	for range whileUnresponsive {
		sendNext()
	}
	if got := served.Load() - before; got != 0 {
		t.Errorf("%d requests to an unresponsive app server, want 0", got)
	}
	unresponsive.Store(false)
	for end := time.Now().Add(nodetest.WaitTimeout); served.Load() == before; sendNext() {
		if time.Now().After(end) {
			t.Fatal("the app server responds again but gets no request")
		}
	}
}

// respondWithQueue answers a request. The response to a health check reports a queue of the given length.
func respondWithQueue(c net.Conn, r *http.Request, queue int) bool {
	body := "body"
	if r.RequestURI == loadPath {
		body = fmt.Sprintf("TEXT util=0.1, queue=%d", queue)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Guards against treating an app server as restarted because it refuses a new connection, while it still
// responds on an old one. A restarted app server counts as cold and gets only a fraction of the requests.
func TestRefusedConnectionIsNotARestart(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.Header.Get("X-Trace-Id") == "held" {
			close(arrived)
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
	c.Send(request("check", "held")) // on the only connection to the app server
	nodetest.Await(t, "first request at the app server", arrived)
	_ = s.Listener.Close()
	if a := other.Do(request("check", "refused")); a.Status != http.StatusTooManyRequests {
		t.Fatalf("request without a connection: status %d, want 429", a.Status)
	}
	close(release)
	if a := c.Receive(); a.Status != http.StatusOK {
		t.Fatalf("first request: status %d, want 200", a.Status)
	}
	for i := range 20 {
		if a := c.Do(request("check", fmt.Sprint("next", i))); a.Status != http.StatusOK {
			t.Fatalf("request %d after the response on the old connection: status %d, want 200", i, a.Status)
		}
	}
}
