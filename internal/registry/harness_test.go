package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"opalhook/internal/testnet"
)

// testTimeout limits every wait. A passing test waits far less.
const testTimeout = 60 * time.Second

// startReplica starts a replica with the data folder dir. The replica is closed when the test ends.
func startReplica(t testing.TB, dir, join string, change ...func(*Config)) *Server {
	t.Helper()
	cfg := Config{Dir: dir, Listen: testnet.AnyPort(), Raft: testnet.AnyPort(), Join: join, Logger: slog.New(slog.DiscardHandler)}
	for _, f := range change {
		f(&cfg)
	}
	s, err := Start(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() }) // most tests close the replica themselves
	return s
}

// call sends a request, repeats it while it gets no response or a 503, and returns the status and the body of
// the final response.
func call(t testing.TB, method, url, body string) (int, string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body) // a truncated body fails the test that compares it
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				return resp.StatusCode, string(text)
			}
			if resp.Header.Get("Retry-After") == "" {
				t.Errorf("503 without Retry-After: %s", text)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s %s: no final response within %v: %v", method, url, testTimeout, err)
		}
	}
}

// registration returns the body of a request that registers an instance.
func registration(id string, port, incarnation int, lease time.Duration) string {
	text, err := json.Marshal(Registration{entry(id, port), uint64(incarnation), lease.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// testWatch is an open watch whose messages are read in the background.
type testWatch struct{ messages chan message }

// startWatch opens a watch, which is closed when the test ends.
func startWatch(t testing.TB, addr string, from uint64) *testWatch {
	t.Helper()
	var resp *http.Response
	waitFor(t, "the watch is open", func() bool {
		r, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addr, from))
		if err != nil {
			return false
		}
		if r.StatusCode != http.StatusOK {
			_ = r.Body.Close()
			return false
		}
		resp = r
		return true
	})
	w := &testWatch{make(chan message, 10000)}
	t.Cleanup(func() {
		_ = resp.Body.Close()
		for range w.messages { // until read has returned
			continue
		}
	})
	go w.read(resp.Body)
	return w
}

// read sends the messages of the watch to the channel until the watch ends.
func (w *testWatch) read(body io.Reader) {
	defer close(w.messages)
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<24)
	for lines.Scan() {
		var m message
		if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &m) == nil {
			w.messages <- m
		}
	}
}

// next returns the next message of the watch. It fails the test if the watch ends or times out.
func (w *testWatch) next(t testing.TB) message {
	t.Helper()
	select {
	case m, ok := <-w.messages:
		if !ok {
			t.Fatal("the watch ended")
		}
		return m
	case <-time.After(testTimeout):
		t.Fatal("no message on the watch before the timeout")
	}
	return message{}
}

// waitFor waits until a condition holds. It fails the test after testTimeout.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// entry returns an app server at the given port of 127.0.0.1.
func entry(id string, port int) Entry {
	return Entry{ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", port), Zone: "a", MachineType: "m", Lifecycle: Up, Weight: 1}
}

// Sizes of the largest fleet that the service is designed for.
const (
	maxFleetEntries = 200_000
	maxZoneEntries  = maxFleetEntries / 15 // instances that may be lost at once
)

// numberedEntry returns an app server with a unique address, for n below 500,000.
func numberedEntry(n int) Entry {
	e := entry(fmt.Sprintf("s-%06d", n), 0)
	e.Addr = fmt.Sprintf("127.%d.%d.1:%d", n/50_000, n/200%250, 1+n%200)
	return e
}

// fillList registers instances until the list has the given number of entries.
func fillList(t testing.TB, s *State, entries int) {
	t.Helper()
	for n := s.Len(); n < entries; n++ {
		if o := s.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != Done {
			t.Fatalf("entry %d: %+v", n, o)
		}
	}
}
