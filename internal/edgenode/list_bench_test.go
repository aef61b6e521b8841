package edgenode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"opalhook/balancer"
	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// BenchmarkList measures the processing of complete lists, from the bytes of a watch to the balancer. A list
// arrives on one line, indented on many lines, or in pieces of 48 bytes.
func BenchmarkList(b *testing.B) {
	for _, size := range []int{60, 350, 1024} {
		var endpoints []endpointlist.Endpoint
		for i := range size {
			endpoints = append(endpoints, endpointlist.Endpoint{
				Endpoint: balancer.Endpoint{ID: fmt.Sprintf("s-%08x", i*7919), Zone: "z", MachineType: "k", Cell: i / 6, Weight: 1},
				Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i / 250), byte(i % 250)}), 8080),
			})
		}
		last := endpoints[size-1].ID
		line := []byte(nodetest.ListJSON(9, true, endpoints...))
		var indented bytes.Buffer
		if err := json.Indent(&indented, line, "", "  "); err != nil {
			b.Fatal(err)
		}
		for _, c := range []struct {
			name  string
			text  []byte
			piece int
		}{{"line", line, len(line)}, {"indented", indented.Bytes(), indented.Len()}, {"pieces", line, 48}} {
			b.Run(fmt.Sprint(c.name, "/", size), func(b *testing.B) {
				n, err := newNode(b.Context(), testConfig(), slog.New(slog.DiscardHandler))
				if err != nil {
					b.Fatal(err)
				}
				n.startBalancer()
				receive := func(text []byte) {
					l, _, err := endpointlist.Parse(text)
					if err != nil {
						b.Fatal(err)
					}
					n.receiveList(l)
				}
				b.ReportAllocs()
				b.SetBytes(int64(len(c.text)))
				for b.Loop() {
					var split discovery.Splitter
					for rest := c.text; len(rest) > 0; rest = rest[min(c.piece, len(rest)):] {
						if err := split.Feed(rest[:min(c.piece, len(rest))], receive, func() {}); err != nil {
							b.Fatal(err)
						}
					}
					if n.upstream.Lookup(last) == nil {
						b.Fatalf("endpoint %s of a list of %d is missing", last, size)
					}
				}
			})
		}
	}
}
