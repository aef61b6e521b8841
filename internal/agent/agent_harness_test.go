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

// waitTimeout bounds every wait of the tests. It is much longer than any of them should take.
const waitTimeout = 60 * time.Second

// fastRules returns rules with short delays for tests. The order of the follower's steps is the same as with
// the default rules.
func fastRules() Rules {
	r := DefaultRules()
	r.SilenceTimeout, r.DialTimeout = 2*time.Second, 2*time.Second
	r.InitialBackoff, r.MaxBackoff, r.StartWindow = 10*time.Millisecond, 50*time.Millisecond, 0
	r.CallsPerSecond, r.RemovalDelay = 200, 10*time.Millisecond
	return r
}

// startAgent starts an agent that is closed at the end of the test.
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

// startReplica starts a fake replica until the end of the test. It counts the calls and answers them with
// script. It returns the address.
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

// write sends text immediately. It ignores errors, because the client may have closed the connection.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// line returns a message encoded as a replica writes it.
func line(m discovery.Message) string {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(text) + "\n"
}

// serveList returns a handler that answers with a list, followed by heartbeats if the request is a watch.
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

// watchAsNode opens a watch at an agent, like an edge node whose list has generation from, and returns the
// received messages. It does not wait for the response, as the agent sends none before it has a message for
// the node.
func watchAsNode(t *testing.T, a *Agent, from uint64) <-chan discovery.Message {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, discovery.WatchURL(a.Addr(), from), nil)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan discovery.Message, 16)
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
