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

// testTimeout bounds every wait; none is expected to come near it.
const testTimeout = 60 * time.Second

// startReplica starts a replica with its state in dir; it ends with the test.
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
	t.Cleanup(func() { _ = s.Close() }) // most tests close it themselves
	return s
}

// call sends a request, again while the service has no leader, and returns the response's status and body.
func call(t testing.TB, method, url, body string) (int, string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body) // a body that is cut off fails the test that compares it
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				return resp.StatusCode, string(text)
			}
			if resp.Header.Get("Retry-After") == "" {
				t.Errorf("503 with no advice: %s", text)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s %s: never answered: %v", method, url, err)
		}
	}
}

// registration is the body that registers an instance.
func registration(id string, port, inc int, lease time.Duration) string {
	text, err := json.Marshal(Registration{entry(id, port), uint64(inc), lease.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// testWatch is a watch that is read as an edge node does.
type testWatch struct{ messages chan message }

// startWatch opens a watch; it ends with the test.
func startWatch(t testing.TB, addr string, from uint64) *testWatch {
	t.Helper()
	var resp *http.Response
	waitFor(t, "a watch", func() bool {
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

// read hands on messages until the watch ends.
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

// next returns the next message.
func (w *testWatch) next(t testing.TB) message {
	t.Helper()
	select {
	case m, ok := <-w.messages:
		if !ok {
			t.Fatal("the watch ended")
		}
		return m
	case <-time.After(testTimeout):
		t.Fatal("nothing comes on the watch")
	}
	return message{}
}

// waitFor waits for a condition.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// entry is an app server with a port of its own.
func entry(id string, port int) Entry {
	return Entry{InstanceID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", port), Zone: "a", MachineType: "m", Lifecycle: Up, Weight: 1}
}

// The plan of the largest fleet.
const (
	planEntries     = 200_000
	planZoneEntries = planEntries / 15 // instances that may be lost at once
)

// numberedEntry is an app server whose address is its own among the first 500,000.
func numberedEntry(n int) Entry {
	e := entry(fmt.Sprintf("s-%06d", n), 0)
	e.HostPort = fmt.Sprintf("127.%d.%d.1:%d", n/50_000, n/200%250, 1+n%200)
	return e
}

// fillList registers instances until there are that many.
func fillList(t testing.TB, s *State, entries int) {
	t.Helper()
	for n := s.Len(); n < entries; n++ {
		if o := s.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != Done {
			t.Fatalf("entry %d: %+v", n, o)
		}
	}
}
