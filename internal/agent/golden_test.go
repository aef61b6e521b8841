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

// scriptedReplica is a replica on a bare listener: it hands on the bytes of each request, with HOST in place of its address,
// and answers a watch with the lines that a test gives it.
type scriptedReplica struct {
	addr     string
	requests chan string
	lines    chan string // of the watch that is open; "" ends it
}

func startScriptedReplica(t *testing.T) *scriptedReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedReplica{ln.Addr().String(), make(chan string, 100), make(chan string)}
	var connections sync.WaitGroup
	t.Cleanup(connections.Wait)
	t.Cleanup(func() { _ = ln.Close() }) // it ends the accepting
	connections.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { s.serve(t, c) })
		}
	})
	return s
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
		_, _ = io.WriteString(c, head+line(snapshotOf(20, 2))) // the agent may be gone
		return
	}
	_, _ = io.WriteString(c, head)                      // the agent may be gone
	heartbeat := time.NewTicker(100 * time.Millisecond) // well under the silence after which a watch is left
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

// watchLines returns the lines of a watch as an edge node opens it that holds a generation, without heartbeats.
func watchLines(t *testing.T, a *Agent, from uint64) <-chan string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, discovery.WatchURL(a.Addr(), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 16)
	t.Cleanup(func() {
		for range received { // until the watch has ended with the test's context
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

// An agent calls replicas with the recorded requests, and sends nodes the recorded lines.
func TestGoldenAgent(t *testing.T) {
	r := startScriptedReplica(t)
	rules := fastRules()
	rules.SilenceTimeout, rules.DialTimeout = waitTimeout, waitTimeout // the one watch is not left, however busy the machine is
	a := startAgent(t, "m", rules, r.addr)
	requests := nextLine(t, "first request", r.requests)
	first := testEntry(1, discovery.Up)
	first.Zone, first.MachineType, first.Cell, first.Weight, first.StartedAtMs = "a", "std-4c", 3, 0.25, 1700000000123
	r.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | 10, Reset: true, Instances: []discovery.Entry{testEntry(3, discovery.Draining), first, testEntry(2, discovery.Up)}})
	node := watchLines(t, a, 0)
	told := nextLine(t, "whole list", node)
	first.Lifecycle = discovery.Draining
	for i, entries := range [][]discovery.Entry{{first, testEntry(0, discovery.Up)}, {testEntry(3, discovery.Removed)}, {}, {testEntry(9, discovery.Up), testEntry(2, discovery.Removed)}} {
		r.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | uint64(11+i), Instances: entries})
		if len(entries) > 0 {
			told += nextLine(t, "change", node)
		}
	}
	told += nextLine(t, "first of the changes", watchLines(t, a, 7<<discovery.EpochBits|10))
	told += nextLine(t, "whole list for a node of another epoch", watchLines(t, a, 6<<discovery.EpochBits|99))
	golden.Check(t, "golden/told.txt", []byte(told))
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
	r.lines <- ""
	requests += nextLine(t, "request after the watch's end", r.requests)
	if m, err := a.replicas.fetch(t.Context(), r.addr); err != nil || m.Generation != 20 || !m.Reset || len(m.Instances) != 2 || m.Instances[1] != testEntry(1, discovery.Up) {
		t.Errorf("asked for the list: %+v, error %v", m, err)
	}
	golden.Check(t, "golden/requests.txt", []byte(requests+nextLine(t, "request of the list", r.requests)))
}

// An agent's status is written as recorded.
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
