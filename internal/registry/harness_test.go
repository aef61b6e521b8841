package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"opalhook/internal/testnet"
	"strings"
	"testing"
	"time"
)

// patience bounds every wait; none is expected to come near it.
const testTimeout = 60 * time.Second

// replica starts one with its state in dir; it ends with the test.
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
	t.Cleanup(func() { s.Close() })
	return s
}

// call sends a request, again while the service has no leader, and returns what came.
func call(t testing.TB, method, url, body string) (int, string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
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

func registration(id string, port, inc int, lease time.Duration) string {
	text, err := json.Marshal(Registration{entry(id, port), uint64(inc), lease.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// watcher follows a watch as an edge node does.
type testWatch struct {
	body  io.Closer
	lines chan message
}

func startWatch(t testing.TB, addr string, from uint64) *testWatch {
	t.Helper()
	var resp *http.Response
	waitFor(t, "a watch", func() bool {
		r, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addr, from))
		if err != nil {
			return false
		}
		if r.StatusCode != http.StatusOK {
			r.Body.Close()
			return false
		}
		resp = r
		return true
	})
	w := &testWatch{resp.Body, make(chan message, 10000)}
	t.Cleanup(func() { resp.Body.Close() })
	go func() {
		defer close(w.lines)
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, 1<<24)
		for lines.Scan() {
			var m message
			if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &m) == nil {
				w.lines <- m
			}
		}
	}()
	return w
}

func (w *testWatch) next(t testing.TB) message {
	t.Helper()
	select {
	case m, ok := <-w.lines:
		if !ok {
			t.Fatal("the watch ended")
		}
		return m
	case <-time.After(testTimeout):
		t.Fatal("nothing comes on the watch")
	}
	return message{}
}

func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func entry(id string, port int) Entry {
	return Entry{InstanceID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", port), Zone: "a", MachineType: "m", Lifecycle: Up, Weight: 1}
}

// The plan of the largest fleet.
const (
	planEntries     = 200_000
	planZoneEntries = planEntries / 15 // instances that may be lost at once
)

// numbered is an instance whose address is its own among the first 500,000.
func numberedEntry(n int) Entry {
	e := entry(fmt.Sprintf("s-%06d", n), 0)
	e.HostPort = fmt.Sprintf("127.%d.%d.1:%d", n/50_000, n/200%250, 1+n%200)
	return e
}

// fill registers instances until there are that many.
func fillList(t testing.TB, s *State, entries int) {
	t.Helper()
	for n := s.Len(); n < entries; n++ {
		if o := s.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != Done {
			t.Fatalf("entry %d: %+v", n, o)
		}
	}
}
