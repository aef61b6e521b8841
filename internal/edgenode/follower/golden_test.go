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

// followRequests hands the requests on by which a node follows the list, until take has what it wants.
func followRequests(t *testing.T, pushed bool, take func(heard <-chan string)) {
	t.Helper()
	const list = `{"generation":41,"reset":true,"instances":[]}`
	addr, heard := nodetest.RecordRequests(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(list)+1, list))
	r := NewClient(addr, New(Config{Pushed: pushed, FleetSize: 1, PollInterval: defaultPollInterval, Rand: rand.New(rand.NewPCG(1, 1))}), func(endpointlist.List) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	defer func() { stop(); <-done }()
	take(heard)
}

// A node asks discovery for the list with the recorded requests: watches one after the other where it asks a service,
// and first of all a fetch where lists are pushed.
func TestGoldenDiscoveryRequests(t *testing.T) {
	var requests string
	followRequests(t, false, func(heard <-chan string) {
		requests += nodetest.Await(t, "the first watch", heard) + nodetest.Await(t, "the next watch", heard)
	})
	followRequests(t, true, func(heard <-chan string) {
		fetch := nodetest.Await(t, "a request", heard)
		for tries := 0; strings.Contains(fetch, "watch=") && tries < 5; tries++ { // on its way at the same time
			fetch = nodetest.Await(t, "the fetch", heard)
		}
		requests += fetch
	})
	golden.Check(t, "golden/discovery-requests.txt", []byte(requests))
}

// What comes on a call of discovery is read as recorded: beats, whole lists, changes, malformed entries and, at the end of
// a file, what is cut or no message. Of what is no message only the piece at hand is searched for servers that leave.
func TestGoldenDiscoveryMessages(t *testing.T) {
	for _, name := range []string{"stream", "cut", "garbage"} {
		text := golden.Read(t, "golden/"+name+".txt")
		want := readStream(text, len(text))
		golden.Check(t, "golden/"+name+"-read.txt", []byte(want))
		if name != "garbage" {
			golden.Same(t, name+" in small pieces", []byte(readStream(text, 7)), []byte(want))
		}
	}
}

// readStream describes the events of a stream that comes in pieces, but for those that a message has begun.
func readStream(text []byte, piece int) string {
	var described strings.Builder
	var in messageReader
	for len(text) > 0 && !in.done {
		n := min(piece, len(text))
		var end error
		if n == len(text) {
			end = io.EOF
		}
		for _, e := range in.read(text[:n], end) {
			described.WriteString(describeEvent(e))
		}
		text = text[n:]
	}
	return described.String()
}

// describeEvent words an event by the values that the node gets, whatever the names of its fields are.
func describeEvent(e callEvent) string {
	var text string
	switch e.kind {
	case eventPartial:
		return ""
	case eventEmptyLine:
		return "beat\n"
	case eventEnd:
		return fmt.Sprintf("end: %v\n", e.err)
	case eventMalformed:
		text = fmt.Sprintf("malformed %t %t %t\n", errors.Is(e.err, discovery.ErrTruncated), errors.Is(e.err, discovery.ErrNoMessage), errors.Is(e.err, discovery.ErrTooLong))
	case eventMessage:
		text = fmt.Sprintf("list %d whole %t, %d spoilt\n", e.list.Generation, e.list.Snapshot, len(e.entryErrors))
	}
	for _, s := range e.list.Endpoints {
		text += fmt.Sprintf("  %q at %v state %d weight %v kind %q zone %q cell %d boot %v\n", s.ID, s.Addr, int(s.State), s.Weight, s.MachineType, s.Zone, s.Cell, s.StartedAt)
	}
	return text
}
