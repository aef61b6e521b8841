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

// brokenWatchServer is a discovery server whose first watch fails. The watch sends initial and then
// lastText, and breakWatch is called with its connection. Later calls, at the same address or a second one,
// get a list in which the app server a drains.
type brokenWatchServer struct {
	initial, drained string // complete lists
	lastText         string
	breakWatch       func(net.Conn)
	moves            bool          // the client moves to a second address; the first one lacks the drain
	broken           chan struct{} // closed when the first watch fails
}

// serve serves the first or the second address until the test ends. It returns the address.
func (s *brokenWatchServer) serve(t *testing.T, first bool) netip.AddrPort {
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
				s.answerFetch(c, first)
				continue
			}
			watches++
			s.answerWatch(c, first, watches)
		}
	}()
	return nodetest.AddrOf(ln)
}

func (s *brokenWatchServer) answerFetch(c net.Conn, first bool) {
	if !first || !s.moves {
		select {
		case <-s.broken:
			_, _ = io.WriteString(c, s.drained)
		default:
			_, _ = io.WriteString(c, s.initial)
		}
	}
	_ = c.Close()
}

func (s *brokenWatchServer) answerWatch(c net.Conn, first bool, watches int) {
	if first && watches == 1 {
		_, _ = io.WriteString(c, s.initial+"\n"+s.lastText)
		close(s.broken)
		s.breakWatch(c)
	} else if !first || !s.moves {
		_, _ = io.WriteString(c, s.drained+"\n")
	}
}

// awaitDrain runs a client until it applies the drain. If moves is set, the client moves to the second
// address after the first watch has failed.
func (s *brokenWatchServer) awaitDrain(t *testing.T, pushed bool) {
	t.Helper()
	applied := make(chan endpointlist.List, 100)
	client := NewClient(s.serve(t, true),
		New(Config{Pushed: pushed, FleetSize: 1, Rand: rand.New(rand.NewPCG(1, 1))}),
		func(l endpointlist.List) { applied <- l }, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	nodetest.Await(t, "the first watch", s.broken)
	if s.moves {
		client.SetAddress(ctx, s.serve(t, false))
	}
	for {
		for _, e := range nodetest.Await(t, "the drain", applied).Endpoints {
			if e.ID == "a" && e.State == balancer.Draining {
				return
			}
		}
	}
}

// A drain must be applied although the first watch fails, in any way, and even if a reload changes the
// address of discovery during the failure. This holds for pushed and for polled lists.
func TestDrainIsAppliedAfterBrokenWatch(t *testing.T) {
	up := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a"}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	draining := up
	draining.State = balancer.Draining
	initial, drain := nodetest.ListJSON(1, true, up), nodetest.ListJSON(2, false, draining)
	indented := strings.NewReplacer("{", "{\n  ", ",", ",\n  ").Replace(drain)
	for name, c := range map[string]struct {
		lastText   string // sent on the watch after the complete list
		breakWatch func(net.Conn)
	}{
		"silent":                {"", func(net.Conn) {}},
		"reset":                 {"", nodetest.ResetConn},
		"indented":              {indented + "\n", func(net.Conn) {}},
		"partial line, reset":   {drain[:len(drain)/2], nodetest.ResetConn},
		"partial line, silent":  {drain[:len(drain)/2], func(net.Conn) {}},
		"partial indented line": {indented[:len(indented)/2], nodetest.ResetConn},
		"garbage":               {"<html>\n", func(net.Conn) {}},
	} {
		for _, pushed := range []bool{true, false} {
			for _, moves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/pushed=%v/moves=%v", name, pushed, moves), func(t *testing.T) {
					t.Parallel()
					s := &brokenWatchServer{
						initial: initial, drained: nodetest.ListJSON(2, true, draining),
						lastText: c.lastText, breakWatch: c.breakWatch,
						moves: moves, broken: make(chan struct{}),
					}
					s.awaitDrain(t, pushed)
				})
			}
		}
	}
}
