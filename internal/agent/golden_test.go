package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"opalhook/internal/discovery"
	"opalhook/internal/golden"
)

// scripted is a replica on a bare listener: it hands on the bytes of each request, with HOST in place of its address,
// and answers a watch with the lines that a test gives it.
type scripted struct {
	addr     string
	requests chan string
	lines    chan string // of the watch that is open; "" ends it
}

func startScripted(t *testing.T) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{ln.Addr().String(), make(chan string, 100), make(chan string)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(t, c)
		}
	}()
	return s
}

func (s *scripted) serve(t *testing.T, c net.Conn) {
	defer c.Close()
	var text string
	for in := bufio.NewReader(c); !strings.HasSuffix(text, "\r\n\r\n"); {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text += line
	}
	s.requests <- strings.ReplaceAll(text, s.addr, "HOST")
	io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	if !strings.Contains(text, "watch=1") {
		io.WriteString(c, line(whole(20, 2)))
		return
	}
	beat := time.NewTicker(100 * time.Millisecond) // well under the silence after which a watch is left
	defer beat.Stop()
	for {
		next := "\n"
		select {
		case <-t.Context().Done():
			return
		case next = <-s.lines:
		case <-beat.C:
		}
		if next == "" {
			return
		}
		if _, err := io.WriteString(c, next); err != nil {
			return
		}
	}
}

// rawNode returns the bytes of the lines that an agent tells on a watch, but for empty ones.
func rawNode(t *testing.T, a *Agent, from uint64) <-chan string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", a.Addr(), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan string, 16)
	go func() {
		defer close(heard)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		for in := bufio.NewReader(resp.Body); ; {
			text, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if text != "\n" {
				heard <- text
			}
		}
	}()
	return heard
}

func nextOf(t *testing.T, what string, from <-chan string) string {
	t.Helper()
	select {
	case text, ok := <-from:
		if !ok {
			t.Fatalf("%s: the watch ended", what)
		}
		return text
	case <-time.After(patience):
		t.Fatalf("%s: nothing comes", what)
	}
	return ""
}

// An agent asks replicas with the recorded requests, and hands what it hears on to its nodes in the recorded lines.
func TestGoldenAgent(t *testing.T) {
	r := startScripted(t)
	rules := quick()
	rules.SilenceTimeout, rules.DialTimeout = patience, patience // the one watch is not left, however busy the machine is
	a, err := Start(t.Context(), Config{Replicas: []string{r.addr}, Listen: "127.0.0.1:0", Name: "m", Rules: rules, Seed: 1, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	requests := nextOf(t, "first request", r.requests)
	first := server(1, discovery.Up)
	first.Zone, first.MachineType, first.Cell, first.Weight, first.StartedAtMs = "a", "std-4c", 3, 0.25, 1700000000123
	r.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | 10, Reset: true, Instances: []discovery.Entry{server(3, discovery.Draining), first, server(2, discovery.Up)}})
	node := rawNode(t, a, 0)
	told := nextOf(t, "whole list", node)
	first.Lifecycle = discovery.Draining
	for i, entries := range [][]discovery.Entry{{first, server(0, discovery.Up)}, {server(3, discovery.Removed)}, {}, {server(9, discovery.Up), server(2, discovery.Removed)}} {
		r.lines <- line(discovery.Message{Generation: 7<<discovery.EpochBits | uint64(11+i), Instances: entries})
		if len(entries) > 0 {
			told += nextOf(t, "change", node)
		}
	}
	told += nextOf(t, "first of the changes", rawNode(t, a, 7<<discovery.EpochBits|10))
	told += nextOf(t, "whole list for a node of another epoch", rawNode(t, a, 6<<discovery.EpochBits|99))
	golden.Check(t, "golden/told.txt", []byte(told))
	resp, err := http.Get("http://" + a.Addr() + "/registry/instances")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	list, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/list.txt", list)
	r.lines <- ""
	requests += nextOf(t, "request after the watch's end", r.requests)
	if m, err := a.replicas.fetch(t.Context(), r.addr); err != nil || m.Generation != 20 || !m.Reset || len(m.Instances) != 2 || m.Instances[1] != server(1, discovery.Up) {
		t.Errorf("asked for the list: %+v, error %v", m, err)
	}
	golden.Check(t, "golden/requests.txt", []byte(requests+nextOf(t, "request of the list", r.requests)))
}

// What an agent says of itself is written as recorded.
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
