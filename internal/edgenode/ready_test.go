package edgenode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/follower"
	"opalhook/internal/edgenode/nodetest"
)

// readyWithin is the time within which nine of ten restarted nodes must be ready.
const readyWithin = 10 * time.Second

// dialDiscovery returns a dial function for a discovery that answers each call with a text after a time.
func dialDiscovery(after time.Duration, text string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			time.Sleep(after)
			_, _ = io.WriteString(server, text)
		}()
		return client, nil
	}
}

// A restarted node is ready in time whatever discovery does, even if it is reloaded continuously. The test
// runs on the clock of [synctest].
func TestRestartedNodesBecomeReadyInTime(t *testing.T) {
	const nodes, hour = 20, time.Hour
	list := nodetest.ListJSON(8, true)
	response := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for name, dial := range map[string]func(ctx context.Context, network, addr string) (net.Conn, error){
		"answers at once":  dialDiscovery(0, response(list)),
		"answers late":     dialDiscovery(700*time.Millisecond, response(list)),
		"answers too late": dialDiscovery(hour, response(list)),
		"refuses connections": func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		},
		"does not respond": func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(follower.CallTimeout)
			return nil, errors.New("no answer")
		},
		"closes connections":   dialDiscovery(0, ""),
		"rejects calls":        dialDiscovery(0, "HTTP/1.1 503 Full\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"),
		"sends malformed data": dialDiscovery(0, response("\x00\x01")),
		"truncates the list":   dialDiscovery(0, response(list)[:40]),
	} {
		for _, mode := range []string{"push", "subscribe"} {
			for _, reloads := range []bool{false, true} {
				cfg, err := parseConfig([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
					"settings":{"instances":300,"registryMode":"`+mode+`","lanes":[{"name":"c","idempotency":"retryable"}]}}`),
					func(string) string { return "" })
				if err != nil {
					t.Fatal(err)
				}
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(2 * hour) // longer than the slowest answer takes
					late := 0
					for i := range nodes {
						if took := timeToListen(t, cfg, uint64(i), dial, reloads); took > readyWithin {
							late++
						}
					}
					if late > nodes/10 {
						t.Errorf("discovery %s, mode %s, reloads %v: %d of %d nodes not ready within %v", name, mode, reloads, late, nodes, readyWithin)
					}
				})
			}
		}
	}
}

// timeToListen returns how long a new process waits before it opens its listener.
func timeToListen(t *testing.T, cfg *Config, seed uint64, dial func(ctx context.Context, network, addr string) (net.Conn, error), reloads bool) time.Duration {
	ctx, stop := context.WithTimeout(t.Context(), 6*readyWithin) // limit for a node that never becomes ready
	client := follower.NewClient(cfg.Discovery, follower.New(follower.Config{
		Pushed: !cfg.Settings.PollEndpoints, FleetSize: cfg.Settings.NodeCount,
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}), func(endpointlist.List) {}, slog.New(slog.DiscardHandler))
	client.DialContext = dial
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	reload := make(chan os.Signal, 1)
	if reloads {
		go func() {
			for ctx.Err() == nil {
				select {
				case reload <- syscall.SIGHUP:
				default:
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	port := uint16(2)
	cfg.reload = func() (*Config, error) {
		port++
		moved := *cfg
		moved.Discovery = netip.AddrPortFrom(cfg.Discovery.Addr(), port)
		return &moved, nil
	}
	p := &process{ctx: ctx, cfg: cfg, log: slog.New(slog.DiscardHandler), discovery: client, discoveryAddr: cfg.Discovery, reload: reload}
	began := time.Now()
	p.waitForList(ctx)
	return time.Since(began)
}
