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

// testConfig is a tier of one edge node, with an idempotent class, one with keys and a plan
// whose second request within seconds is beyond its quota.
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

// runningNode is a node that runs in this process.
type runningNode struct {
	addr   string
	stop   context.CancelFunc // a planned restart's SIGTERM
	reload chan os.Signal     // takes SIGHUP
	done   chan error
	logs   *nodetest.Buffer
}

func run(t testing.TB, cfg *Config) *runningNode {
	t.Helper()
	return runListening(t, cfg, nodetest.Listen(t))
}

func runListening(t testing.TB, cfg *Config, ln *net.TCPListener) *runningNode {
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
		case <-time.After(nodetest.Patience):
			t.Error("the node does not end")
		}
	})
	return r
}

// serveClients serves the connections that come to a listener until the test ends.
func serveClients(t testing.TB, f *frontend, ln net.Listener) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Serve(ln) // ends with an error always
	}()
	t.Cleanup(func() {
		_ = f.server.Close()
		<-done
	})
}

// request is the text of a valid request, some of whose lines may be replaced: "" as
// the value of a header leaves it out, "" as its name replaces the first line.
func request(class, id string, replace ...string) string {
	lines := map[string]string{
		"Host": "app.svc", "X-Trace-Id": id, "X-Qos": class, "X-Contract": "wide",
		"X-Expires-In": "20", "X-Metering": "units=1,spread=1,first=0",
	}
	first, body := "GET /"+class+"/a%2fb?customer=00000000b4d65521&x=%41+ HTTP/1.1", ""
	if class == "book" {
		first, body = strings.Replace(first, "GET", "POST", 1), "slot"
		lines["Idempotency-Key"], lines["Content-Length"] = "key-"+id, "4"
	}
	for i := 0; i < len(replace); i += 2 {
		switch {
		case replace[i] == "":
			first = replace[i+1]
		case replace[i] == "body":
			body = replace[i+1]
		case replace[i+1] == "":
			delete(lines, replace[i])
		default:
			lines[replace[i]] = replace[i+1]
		}
	}
	text := first + "\r\n"
	for name, val := range lines {
		text += name + ": " + val + "\r\n"
	}
	return text + "\r\n" + body
}
