package follower

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// Whatever becomes of the list's calls, and wherever a new configuration moves them in the middle of it, a
// drain reaches the connections, where lists are pushed as where they are asked for.
func TestBrokenWatchesStillBringTheDrain(t *testing.T) {
	up := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	draining := up
	draining.State = balancer.Draining
	whole, drain := nodetest.ListJSON(1, true, up), nodetest.ListJSON(2, false, draining)
	indented := strings.NewReplacer("{", "{\n  ", ",", ",\n  ").Replace(drain)
	for name, ill := range map[string]struct {
		text string         // behind the whole list
		then func(net.Conn) // what becomes of the watch
	}{
		"silent":                {"", func(net.Conn) {}},
		"reset":                 {"", nodetest.ResetConn},
		"indented":              {indented + "\n", func(net.Conn) {}},
		"half a line, reset":    {drain[:len(drain)/2], nodetest.ResetConn},
		"half a line, silent":   {drain[:len(drain)/2], func(net.Conn) {}},
		"half an indented line": {indented[:len(indented)/2], nodetest.ResetConn},
		"noise":                 {"<html>\n", func(net.Conn) {}},
	} {
		for _, pushed := range []bool{true, false} {
			for _, moves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/pushed=%v/moves=%v", name, pushed, moves), func(t *testing.T) {
					t.Parallel()
					// The first watch falls ill; whoever asks after it, here or at the next address, has the drain.
					broken := make(chan struct{})
					agent := func(first bool) netip.AddrPort {
						ln := nodetest.Listen(t)
						go func() {
							for n := 0; ; {
								c, err := ln.Accept()
								if err != nil {
									return
								}
								t.Cleanup(func() { _ = c.Close() })
								var head [512]byte
								k, _ := c.Read(head[:])
								_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
								if !strings.Contains(string(head[:k]), "watch=1") {
									if first && !moves || !first {
										select {
										case <-broken:
											_, _ = io.WriteString(c, nodetest.ListJSON(2, true, draining))
										default:
											_, _ = io.WriteString(c, whole)
										}
									}
									_ = c.Close()
									continue
								}
								if n++; first && n == 1 {
									_, _ = io.WriteString(c, whole+"\n"+ill.text)
									close(broken)
									ill.then(c)
								} else if !first || !moves { // this discovery has not heard of it, or it is down
									_, _ = io.WriteString(c, nodetest.ListJSON(2, true, draining)+"\n")
								}
							}
						}()
						return nodetest.AddrOf(ln)
					}
					told := make(chan endpointlist.List, 100)
					r := NewClient(agent(true), New(Config{Pushed: pushed, FleetSize: 1, Rand: rand.New(rand.NewPCG(1, 1))}),
						func(l endpointlist.List) { told <- l }, slog.New(slog.DiscardHandler))
					ctx, end := context.WithCancel(t.Context())
					defer end()
					go r.Run(ctx)
					nodetest.Await(t, "the first watch", broken)
					if moves {
						r.Move(ctx, agent(false))
					}
					for {
						for _, s := range nodetest.Await(t, "the drain", told).Endpoints {
							if s.ID == "a" && s.State == balancer.Draining {
								return
							}
						}
					}
				})
			}
		}
	}
}
