package edgenode

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/golden"
	"opalhook/internal/settings"
)

// recordRequests serves connections of one request each until the test ends. It hands on the bytes of each request,
// with HOST in place of the address, and answers with a text.
func recordRequests(t *testing.T, answer string) (addr netip.AddrPort, heard <-chan string) {
	t.Helper()
	ln := nodetest.Listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	requests := make(chan string, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if text, ok := readRequest(c); ok {
					requests <- strings.ReplaceAll(text, ln.Addr().String(), "HOST")
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return nodetest.AddrOf(ln), requests
}

// readRequest reads a request's bytes: its head and, where its length is told, its body.
func readRequest(c net.Conn) (text string, ok bool) {
	in := bufio.NewReader(c)
	var length int
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			return text, false
		}
		text += line
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return text + string(body), err == nil
}

// followRequests hands the requests on by which a node follows the list, until take has what it wants.
func followRequests(t *testing.T, pushed bool, take func(heard <-chan string)) {
	t.Helper()
	const list = `{"generation":41,"reset":true,"instances":[]}`
	addr, heard := recordRequests(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(list)+1, list))
	r := newDiscoveryClient(addr, Follower{pushed: pushed, fleetSize: 1, pollInterval: defaultPollInterval, rng: rand.New(rand.NewPCG(1, 1))}, func(endpointlist.List) {}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
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

// A node sends a server the recorded bytes: a probe for its load and requests of clients.
func TestGoldenServerRequests(t *testing.T) {
	addr, heard := recordRequests(t, nodetest.OKResponse)
	u := newUpstream(settings.Transport{ConnectTimeout: nodetest.Patience}, 10)
	u.update([]endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "s"}, Addr: addr}}, true)
	ctx, cancel := context.WithTimeout(t.Context(), nodetest.Patience)
	defer cancel()
	left := regexp.MustCompile(`X-Expires-In: \d+\.\d{3}\r\n`)
	var transcript strings.Builder
	for _, m := range []message{
		{method: "GET", target: loadPath},
		{method: "POST", target: "/a%2fb?c=%20d", host: "app.example", id: "rq-1", key: "key-1", contentType: "text/plain", body: []byte("body")},
		{method: "GET", target: "/a?"},
	} {
		rep, result := u.exchange(ctx, "s", &m, writeLimits{})
		if result != balancer.OK || string(rep.body) != "body" {
			t.Errorf("%s: result %d, body %q", m.target, result, rep.body)
		}
		transcript.WriteString(left.ReplaceAllString(nodetest.Await(t, "request of "+m.target, heard), "X-Expires-In: SECONDS\r\n") + "\n")
	}
	golden.Check(t, "golden/server-requests.txt", []byte(transcript.String()))
}

// What comes on a call of discovery is read as recorded: beats, whole lists, changes, spoilt entries and, at the end of
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

// Load reports are read as recorded, from a body and from an answer's header.
func TestGoldenLoadReports(t *testing.T) {
	var described bytes.Buffer
	for line := range strings.Lines(string(golden.Read(t, "golden/load-reports.txt"))) {
		text := strings.TrimSuffix(line, "\n")
		load := parseLoadReport(text)
		if load == nil {
			fmt.Fprintf(&described, "%q: none\n", text)
			continue
		}
		fmt.Fprintf(&described, "%q: in flight %v queue %v util %v\n", text, load.InFlight, load.Queued, load.Utilization)
	}
	golden.Check(t, "golden/load-reports-read.txt", described.Bytes())
	s := nodetest.NewAppServer(t, nodetest.Say("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\nX-Settled: 2.5\r\nContent-Length: 0\r\n\r\n"))
	u := newUpstream(settings.Transport{ConnectTimeout: time.Minute}, 10)
	u.update([]endpointlist.Endpoint{s.Endpoint("s")}, true)
	rep, result := u.exchange(t.Context(), "s", &message{method: "GET", target: loadPath}, writeLimits{})
	if result != balancer.OK || rep.units != 2.5 || rep.loadReport == nil || *rep.loadReport != (balancer.LoadReport{InFlight: 7, Queued: 2, Utilization: 0.61}) {
		t.Errorf("result %d, units %v, load %v", result, rep.units, rep.loadReport)
	}
}
