package agent

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"opalhook/internal/discovery"
	"opalhook/internal/golden"
)

// scriptedReplica is a fake replica without an HTTP server, so that a test sees the exact bytes of each
// request. It answers a watch with the lines that the test sends.
type scriptedReplica struct {
	addr     string
	requests chan string // received requests, with HOST in place of addr
	lines    chan string // lines to send on the open watch; "" ends the watch
}

func startScriptedReplica(t *testing.T) *scriptedReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := &scriptedReplica{ln.Addr().String(), make(chan string, 100), make(chan string)}
	var connections sync.WaitGroup
	t.Cleanup(connections.Wait)
	t.Cleanup(func() { _ = ln.Close() }) // ends the loop that accepts connections
	connections.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { replica.serve(t, c) })
		}
	})
	return replica
}

func (s *scriptedReplica) serve(t *testing.T, c net.Conn) {
	defer func() { _ = c.Close() }()
	var text string
	for in := bufio.NewReader(c); !strings.HasSuffix(text, "\r\n\r\n"); {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text += line
	}
	s.requests <- strings.ReplaceAll(text, s.addr, "HOST")
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	if !strings.Contains(text, "watch=1") {
		_, _ = io.WriteString(c, head+line(snapshotOf(20, 2))) // the agent may have disconnected
		return
	}
	_, _ = io.WriteString(c, head)                      // the agent may have disconnected
	heartbeat := time.NewTicker(100 * time.Millisecond) // much shorter than any silence timeout of the tests
	defer heartbeat.Stop()
	for {
		next := "\n"
		select {
		case <-t.Context().Done():
			return
		case next = <-s.lines:
		case <-heartbeat.C:
		}
		if next == "" {
			return
		}
		if _, err := io.WriteString(c, next); err != nil {
			return
		}
	}
}

// watchLines opens a watch at an agent, like an edge node whose list has generation from. It returns the
// received lines without heartbeats.
func watchLines(t *testing.T, a *Agent, from uint64) <-chan string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, discovery.WatchURL(a.Addr(), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 16)
	t.Cleanup(func() {
		for range received { // wait until the test's context has ended the watch
		}
	})
	go func() {
		defer close(received)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for in := bufio.NewReader(resp.Body); ; {
			text, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if text != "\n" {
				received <- text
			}
		}
	}()
	return received
}

func nextLine(t *testing.T, what string, from <-chan string) string {
	t.Helper()
	select {
	case text, ok := <-from:
		if !ok {
			t.Fatalf("%s: the watch ended", what)
		}
		return text
	case <-time.After(waitTimeout):
		t.Fatalf("%s: no line", what)
	}
	return ""
}

// The agent's requests to replicas and the lines that it sends to nodes match the golden files.
func TestGoldenAgent(t *testing.T) {
	replica := startScriptedReplica(t)
	rules := fastRules()
	rules.SilenceTimeout, rules.DialTimeout = waitTimeout, waitTimeout // keep the watch open on a busy machine
	a := startAgent(t, "m", rules, replica.addr)
	requests := nextLine(t, "first request", replica.requests)
	first := testEntry(1, discovery.Up)
	first.Zone, first.MachineType, first.Cell, first.Weight, first.StartedAtMs = "a", "std-4c", 3, 0.25, 1700000000123
	replica.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | 10, Snapshot: true, Entries: []discovery.Entry{testEntry(3, discovery.Draining), first, testEntry(2, discovery.Up)}})
	node := watchLines(t, a, 0)
	sent := nextLine(t, "complete list", node)
	first.Lifecycle = discovery.Draining
	for i, entries := range [][]discovery.Entry{{first, testEntry(0, discovery.Up)}, {testEntry(3, discovery.Removed)}, {}, {testEntry(9, discovery.Up), testEntry(2, discovery.Removed)}} {
		replica.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | uint64(11+i), Entries: entries})
		if len(entries) > 0 {
			sent += nextLine(t, "change", node)
		}
	}
	sent += nextLine(t, "first of the changes", watchLines(t, a, 7<<discovery.EpochBits|10))
	sent += nextLine(t, "complete list for a node of another epoch", watchLines(t, a, 6<<discovery.EpochBits|99))
	golden.Check(t, "golden/told.txt", []byte(sent))
	resp, err := http.Get(discovery.SnapshotURL(a.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	list, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/list.txt", list)
	replica.lines <- ""
	requests += nextLine(t, "request after the end of the watch", replica.requests)
	if m, err := a.replicas.fetch(t.Context(), replica.addr); err != nil || m.Generation != 20 || !m.Snapshot || len(m.Entries) != 2 || m.Entries[1] != testEntry(1, discovery.Up) {
		t.Errorf("fetched list: %+v, error %v; want the complete list of 2 entries at generation 20", m, err)
	}
	golden.Check(t, "golden/requests.txt", []byte(requests+nextLine(t, "request for the list", replica.requests)))
}

// The JSON form of the agent's status matches the golden file and decodes to the same status.
func TestGoldenStatus(t *testing.T) {
	status := Status{Generation: 7<<discovery.EpochBits | 10, Endpoints: 3, Watching: true, AgeSeconds: 0.25, Suspecting: true, ReplicaCalls: 4, NodeWatches: 5, ListsPublished: 6}
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	var read Status
	if err := json.Unmarshal(golden.Check(t, "golden/status.json", text), &read); err != nil || read != status {
		t.Errorf("read as %+v, error %v; want %+v", read, err, status)
	}
}
