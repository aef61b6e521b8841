package edgenode

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/settings"
)

// testConfig returns the configuration of a fleet of one edge node. Class "check" is idempotent, class "book"
// requires idempotency keys. Plan "wide" has a quota that no test exhausts. Plan "tight" allows one request
// within 10 s.
func testConfig(servers ...endpointlist.Endpoint) *Config {
	return &Config{
		Name: "n0", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: netip.MustParseAddrPort("127.0.0.1:1"),
		Sockets: 256, CachedList: endpointlist.List{Generation: 7, Snapshot: true, Endpoints: servers},
		Transport: settings.Transport{ConnIdle: time.Minute, ConnectTimeout: 5 * time.Second},
		Settings: balancer.Settings{
			NodeCount: 1, Zone: "z", MaxAttempts: 3, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			Tick: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond,
			Classes: []balancer.Class{
				{Name: "check", Idempotency: balancer.Idempotent, LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1},
				{
					Name: "book", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone, DedupWindow: 4 * time.Second,
					LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1,
				},
			},
			Plans: []balancer.Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, WeightFactor: 1}, {Name: "tight", Rate: 0.1, Burst: 1, WeightFactor: 1}},
		},
	}
}

// runningNode is an edge node that runs in the test's process.
type runningNode struct {
	addr   string             // address for clients
	stop   context.CancelFunc // has the effect of SIGTERM
	reload chan os.Signal     // a value has the effect of SIGHUP
	done   chan error         // receives the result of the run
	logs   *nodetest.Buffer
}

// run runs an edge node on a loopback port until the test ends.
func run(t testing.TB, cfg *Config) *runningNode {
	t.Helper()
	return runOnListener(t, cfg, nodetest.Listen(t))
}

// runOnListener runs an edge node on the listener ln until the test ends.
func runOnListener(t testing.TB, cfg *Config, ln *net.TCPListener) *runningNode {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{addr: ln.Addr().String(), stop: stop, done: make(chan error, 1), logs: &nodetest.Buffer{}, reload: make(chan os.Signal, 1)}
	go func() {
		r.done <- runWithListener(ctx, cfg, r.reload, slog.New(slog.NewTextHandler(r.logs, nil)), func() (*net.TCPListener, error) { return ln, nil })
	}()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-r.done:
			if err != nil {
				t.Errorf("run: %v", err)
			}
		case <-time.After(nodetest.WaitTimeout):
			t.Error("the node did not end in time")
		}
	})
	return r
}

// serveClients serves the connections that a listener accepts until the test ends.
func serveClients(t testing.TB, f *frontend, ln net.Listener) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Serve(ln) // always returns an error
	}()
	t.Cleanup(func() {
		_ = f.server.Close()
		<-done
	})
}

// request returns the text of a valid request of a class. replace holds pairs of a header name and its new
// value. The value "" removes the header. The name "" replaces the request line, the name "body" the body.
func request(class, id string, replace ...string) string {
	headers := map[string]string{
		"Host": "app.svc", "X-Trace-Id": id, "X-Qos": class, "X-Contract": "wide",
		"X-Expires-In": "20", "X-Metering": "units=1,spread=1,first=0",
	}
	requestLine, body := "GET /"+class+"/a%2fb?customer=00000000b4d65521&x=%41+ HTTP/1.1", ""
	if class == "book" {
		requestLine, body = strings.Replace(requestLine, "GET", "POST", 1), "slot"
		headers["Idempotency-Key"], headers["Content-Length"] = "key-"+id, "4"
	}
	for i := 0; i < len(replace); i += 2 {
		switch {
		case replace[i] == "":
			requestLine = replace[i+1]
		case replace[i] == "body":
			body = replace[i+1]
		case replace[i+1] == "":
			delete(headers, replace[i])
		default:
			headers[replace[i]] = replace[i+1]
		}
	}
	text := requestLine + "\r\n"
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	return text + "\r\n" + body
}
