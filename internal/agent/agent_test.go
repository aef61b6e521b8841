package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// The agent changes to a healthy replica after at most three calls to a faulty one, for each kind of fault.
func TestAgentLeavesFaultyReplica(t *testing.T) {
	hold := func(r *http.Request) { <-r.Context().Done() }
	list := line(snapshotOf(10, 3))
	for name, faulty := range map[string]func(w http.ResponseWriter, r *http.Request){
		"garbage":     func(w http.ResponseWriter, r *http.Request) { write(w, "<html>\n"); hold(r) },
		"half a line": func(w http.ResponseWriter, r *http.Request) { write(w, list[:len(list)/2]) },
		"endless line": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, strings.Repeat("x", 1<<20)); err != nil {
					return
				}
			}
		},
		"no response":  func(w http.ResponseWriter, r *http.Request) { hold(r) },
		"headers only": func(w http.ResponseWriter, r *http.Request) { write(w, ""); hold(r) },
		"trickle": func(w http.ResponseWriter, r *http.Request) {
			for i := 0; r.Context().Err() == nil; i++ {
				write(w, " ")
				time.Sleep(20 * time.Millisecond)
			}
		},
		"error": func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"empty entry": func(w http.ResponseWriter, r *http.Request) {
			write(w, `{"generation":9,"reset":true,"instances":[{}]}`+"\n")
			hold(r)
		},
		"no generation": func(w http.ResponseWriter, r *http.Request) { write(w, `{"reset":true,"instances":[]}`+"\n"); hold(r) },
		"changes without a list": func(w http.ResponseWriter, r *http.Request) {
			write(w, line(discovery.Message{Generation: 9}))
			hold(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls, healthyCalls atomic.Int64
			bad := startReplica(t, &calls, faulty)
			healthy := startReplica(t, &healthyCalls, serveList(snapshotOf(10, 3)))
			name := "m"
			for Rank(name, []string{bad, healthy})[0] != bad { // find a name for which the faulty replica is preferred
				name += "m"
			}
			a := startAgent(t, name, fastRules(), bad, healthy)
			if m := nextMessage(t, watchAsNode(t, a, 0)); m.Generation != 10 || len(m.Entries) != 3 || !m.Snapshot {
				t.Errorf("a node receives %+v, want the complete list of the healthy replica", m)
			}
			if n := calls.Load(); n < 1 || n > 3 { // 1, unless the healthy replica answers late on a busy machine
				t.Errorf("%d calls to the faulty replica, want 1 to 3", n)
			}
		})
	}
}

// A restarted agent may have an older list than its nodes. It sends such a node nothing until its own list is
// at least as new, so that the node never returns to an older list. It sends a list of a new epoch completely.
func TestRestartedAgentNeverRollsBackNodes(t *testing.T) {
	var calls atomic.Int64
	changes := make(chan discovery.Message, 1)
	at := startReplica(t, &calls, func(w http.ResponseWriter, r *http.Request) {
		write(w, line(snapshotOf(10, 3)))
		for {
			select {
			case <-r.Context().Done():
				return
			case m := <-changes:
				write(w, line(m))
			case <-time.After(100 * time.Millisecond):
				write(w, "\n")
			}
		}
	})
	a := startAgent(t, "m", fastRules(), at)
	nextMessage(t, watchAsNode(t, a, 0))
	ahead := watchAsNode(t, a, 11)
	changes <- discovery.Message{Generation: 12, Entries: []discovery.Entry{testEntry(1, discovery.Draining)}}
	if m := nextMessage(t, ahead); m.Generation != 12 || !m.Snapshot || len(m.Entries) != 3 {
		t.Errorf("a node at generation 11 receives %+v first, want the complete list of generation 12", m)
	}
	upToDate := watchAsNode(t, a, 12)
	changes <- snapshotOf(1<<discovery.EpochBits|1, 2)
	if m := nextMessage(t, upToDate); m.Generation != 1<<discovery.EpochBits|1 || !m.Snapshot || len(m.Entries) != 2 {
		t.Errorf("after a restore a node receives %+v, want the complete list of the new epoch", m)
	}
}

// While no replica answers, the agent keeps its list and sends it to a new watch immediately.
func TestServiceUnavailable(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(serveList(snapshotOf(10, 3))))
	a := startAgent(t, "m", fastRules(), strings.TrimPrefix(s.URL, "http://"))
	nextMessage(t, watchAsNode(t, a, 0))
	s.CloseClientConnections()
	s.Close()
	for end := time.Now().Add(waitTimeout); a.Status().Watching || a.Status().AgeSeconds < fastRules().SilenceTimeout.Seconds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the agent does not report the outage: status %+v", a.Status())
		}
	}
	if m := nextMessage(t, watchAsNode(t, a, 0)); len(m.Entries) != 3 {
		t.Errorf("during the outage a node receives %+v, want a list of 3 endpoints", m)
	}
	if st := a.Status(); st.Endpoints != 3 || st.Generation != 10 {
		t.Errorf("status %+v, want 3 endpoints at generation 10", st)
	}
}

// BenchmarkList measures the decoding, validation, comparison and acceptance of a complete list.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{200, 5000} {
		text := []byte(line(snapshotOf(10, n)))
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			f := NewFollower(0, "m", []string{"a"}, DefaultRules(), 1)
			f.Tick(time.Second)
			f.WatchOpened(time.Second, f.callID)
			for g := uint64(10); b.Loop(); g++ {
				var m discovery.Message
				if err := json.Unmarshal(text, &m); err != nil {
					b.Fatal(err)
				}
				m.Generation = g
				f.MessageReceived(time.Second, f.callID, m)
				f.TakeActions()
			}
		})
	}
}
