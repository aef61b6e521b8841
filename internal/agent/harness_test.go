package agent

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// waitTimeout bounds every wait; none is expected to come near it.
const waitTimeout = 60 * time.Second

// fastRules are rules for tests: the same order of steps in less time.
func fastRules() Rules {
	r := DefaultRules()
	r.SilenceTimeout, r.DialTimeout = 2*time.Second, 2*time.Second
	r.InitialBackoff, r.MaxBackoff, r.StartWindow = 10*time.Millisecond, 50*time.Millisecond, 0
	r.CallsPerSecond, r.RemovalDelay = 200, 10*time.Millisecond
	return r
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, name string, rules Rules, replicas ...string) *Agent {
	t.Helper()
	a, err := Start(t.Context(), Config{
		Replicas: replicas,
		Listen:   "127.0.0.1:0",
		Name:     name,
		Rules:    rules,
		Seed:     1,
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := a.Close(); err != nil {
			t.Errorf("closing the agent: %v", err)
		}
	})
	return a
}

// startReplica runs a replica that answers calls by a script, and counts them. It returns its address.
func startReplica(t *testing.T, calls *atomic.Int64, script func(w http.ResponseWriter, r *http.Request)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		script(w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// write sends text at once. A client that has closed its call is no fault.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// line is a message as a replica writes it.
func line(m discovery.Message) string {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(text) + "\n"
}

// serveList answers with a list and, on a watch, with heartbeats after it.
func serveList(m discovery.Message) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		write(w, line(m))
		for r.URL.Query().Get("watch") != "" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(100 * time.Millisecond):
				write(w, "\n")
			}
		}
	}
}

// watchAsNode returns the messages of a watch as an edge node opens it that holds a generation. An agent that has nothing
// to send does not answer it yet.
func watchAsNode(t *testing.T, a *Agent, from uint64) <-chan discovery.Message {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, discovery.WatchURL(a.Addr(), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan discovery.Message, 16)
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
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var m discovery.Message
			if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &m) == nil {
				received <- m
			}
		}
	}()
	return received
}

func nextMessage(t *testing.T, received <-chan discovery.Message) discovery.Message {
	t.Helper()
	select {
	case m, ok := <-received:
		if !ok {
			t.Fatal("the watch ended")
		}
		return m
	case <-time.After(waitTimeout):
		t.Fatal("no message")
	}
	return discovery.Message{}
}
