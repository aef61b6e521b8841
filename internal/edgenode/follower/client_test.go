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

// brokenWatchAgent is a discovery whose first watch breaks: it brings whole and then text, and what then does comes of it.
// Whoever calls after that, here or at the next address, has the drain.
type brokenWatchAgent struct {
	whole, drained string // complete lists
	text           string
	then           func(net.Conn)
	moves          bool          // the node is told to call the next address, as this one has not heard of the drain
	broken         chan struct{} // closed once the watch has broken
}

// serve serves one address: the first, or the next. It returns the address.
func (a *brokenWatchAgent) serve(t *testing.T, first bool) netip.AddrPort {
	t.Helper()
	ln := nodetest.Listen(t)
	go func() {
		watches := 0
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			var head [512]byte
			n, _ := c.Read(head[:])
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			if !strings.Contains(string(head[:n]), "watch=1") {
				a.answerFetch(c, first)
				continue
			}
			watches++
			a.answerWatch(c, first, watches)
		}
	}()
	return nodetest.AddrOf(ln)
}

func (a *brokenWatchAgent) answerFetch(c net.Conn, first bool) {
	if !first || !a.moves {
		select {
		case <-a.broken:
			_, _ = io.WriteString(c, a.drained)
		default:
			_, _ = io.WriteString(c, a.whole)
		}
	}
	_ = c.Close()
}

func (a *brokenWatchAgent) answerWatch(c net.Conn, first bool, watches int) {
	if first && watches == 1 {
		_, _ = io.WriteString(c, a.whole+"\n"+a.text)
		close(a.broken)
		a.then(c)
	} else if !first || !a.moves {
		_, _ = io.WriteString(c, a.drained+"\n")
	}
}

// wantDrain follows the list until it tells the drain.
func (a *brokenWatchAgent) wantDrain(t *testing.T, pushed bool) {
	t.Helper()
	applied := make(chan endpointlist.List, 100)
	client := NewClient(a.serve(t, true), New(Config{Pushed: pushed, FleetSize: 1, Rand: rand.New(rand.NewPCG(1, 1))}),
		func(l endpointlist.List) { applied <- l }, slog.New(slog.DiscardHandler))
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	defer func() {
		end()
		<-done
	}()
	nodetest.Await(t, "the first watch", a.broken)
	if a.moves {
		client.Move(ctx, a.serve(t, false))
	}
	for {
		for _, e := range nodetest.Await(t, "the drain", applied).Endpoints {
			if e.ID == "a" && e.State == balancer.Draining {
				return
			}
		}
	}
}

// Whatever becomes of the list's calls, and wherever a new configuration moves them in the middle of it, a
// drain reaches the connections, where lists are pushed as where they are asked for.
func TestBrokenWatchesStillBringTheDrain(t *testing.T) {
	up := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	draining := up
	draining.State = balancer.Draining
	whole, drain := nodetest.ListJSON(1, true, up), nodetest.ListJSON(2, false, draining)
	indented := strings.NewReplacer("{", "{\n  ", ",", ",\n  ").Replace(drain)
	for name, c := range map[string]struct {
		text string         // after the complete list
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
					a := &brokenWatchAgent{
						whole: whole, drained: nodetest.ListJSON(2, true, draining),
						text: c.text, then: c.then, moves: moves, broken: make(chan struct{}),
					}
					a.wantDrain(t, pushed)
				})
			}
		}
	}
}
