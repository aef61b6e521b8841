package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/golden"
)

// recordRequests runs a client and passes its requests to collect. It stops the client when collect returns.
func recordRequests(t *testing.T, pushed bool, collect func(requests <-chan string)) {
	t.Helper()
	const list = `{"generation":41,"reset":true,"instances":[]}`
	addr, requests := nodetest.RecordRequests(t,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(list)+1, list))
	client := NewClient(addr, New(Config{
		Pushed: pushed, FleetSize: 1, PollInterval: defaultPollInterval, Rand: rand.New(rand.NewPCG(1, 1)),
	}), func(endpointlist.List) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	defer func() { stop(); <-done }()
	collect(requests)
}

// A client calls discovery with the recorded requests: one watch after the other if the list is polled, and
// a fetch first if it is pushed.
func TestGoldenDiscoveryRequests(t *testing.T) {
	var recorded string
	recordRequests(t, false, func(requests <-chan string) {
		recorded += nodetest.Await(t, "the first watch", requests) +
			nodetest.Await(t, "the next watch", requests)
	})
	recordRequests(t, true, func(requests <-chan string) {
		fetch := nodetest.Await(t, "a request", requests)
		for tries := 0; strings.Contains(fetch, "watch=") && tries < 5; tries++ { // a concurrent watch
			fetch = nodetest.Await(t, "the fetch", requests)
		}
		recorded += fetch
	})
	golden.Check(t, "golden/discovery-requests.txt", []byte(recorded))
}

// A response body of discovery is parsed as recorded: heartbeats, complete lists, changes, malformed entries
// and, at the end of a file, a truncated message or garbage. Garbage is searched for servers that drain or
// are removed only as far as it has been received, so it is not read in small pieces here.
func TestGoldenDiscoveryMessages(t *testing.T) {
	for _, name := range []string{"stream", "cut", "garbage"} {
		text := golden.Read(t, "golden/"+name+".txt")
		want := readStream(text, len(text))
		golden.Check(t, "golden/"+name+"-read.txt", []byte(want))
		if name != "garbage" {
			golden.Compare(t, name+" in small pieces", []byte(readStream(text, 7)), []byte(want))
		}
	}
}

// readStream parses a stream that arrives in pieces and describes its events, without those for partial
// messages.
func readStream(text []byte, pieceSize int) string {
	var described strings.Builder
	var messages messageReader
	for len(text) > 0 && !messages.done {
		n := min(pieceSize, len(text))
		var end error
		if n == len(text) {
			end = io.EOF
		}
		for _, e := range messages.read(text[:n], end) {
			described.WriteString(describeEvent(e))
		}
		text = text[n:]
	}
	return described.String()
}

// describeEvent describes an event by its values. The description does not depend on the names of fields.
func describeEvent(e callEvent) string {
	var text string
	switch e.kind {
	case eventPartial:
		return ""
	case eventHeartbeat:
		return "beat\n"
	case eventEnd:
		return fmt.Sprintf("end: %v\n", e.err)
	case eventMalformed:
		text = fmt.Sprintf("malformed %t %t %t\n", errors.Is(e.err, discovery.ErrTruncated),
			errors.Is(e.err, discovery.ErrNotObject), errors.Is(e.err, discovery.ErrTooLong))
	case eventMessage:
		text = fmt.Sprintf("list %d whole %t, %d spoilt\n", e.list.Generation, e.list.Snapshot, len(e.fieldErrors))
	}
	for _, s := range e.list.Endpoints {
		text += fmt.Sprintf("  %q at %v state %d weight %v kind %q zone %q cell %d boot %v\n",
			s.ID, s.Addr, int(s.State), s.Weight, s.MachineType, s.Zone, s.Cell, s.StartedAt)
	}
	return text
}
