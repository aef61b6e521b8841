package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"opalhook/internal/golden"
)

// goldenTerm is the Raft term in the recorded expire command.
const goldenTerm = 2

// goldenCommand is a recorded command: the name in its golden file, and the code of its outcome.
type goldenCommand struct {
	name    string
	command Command
	code    Code
}

// goldenCommands returns commands of each kind. In this order, each of them changes the list, except the last
// one.
func goldenCommands(t *testing.T) []goldenCommand {
	t.Helper()
	earlier := NewState(0)
	old := Entry{ID: "s-old", Addr: "127.0.0.1:9000", Zone: "a", MachineType: "std-4c", Cell: 2, Lifecycle: Up, Weight: 1.5, StartedAtMs: 1700000000123}
	earlier.Apply(Command{Kind: Register, Entry: old, Incarnation: 3})
	earlier.Apply(Command{Kind: Register, Entry: entry("s-back", 9009), Incarnation: 1})
	earlier.Apply(Command{Kind: Remove, ID: "s-back"})
	restored, err := earlier.RestoredInEpoch(7)
	if err != nil {
		t.Fatal(err)
	}
	leased := Entry{ID: "s-leased", Addr: "[::1]:9001", Zone: "b", MachineType: "std-8c", Cell: 1 << 30, Lifecycle: Up, Weight: 1e6, StartedAtMs: 1 << 52}
	return []goldenCommand{
		{"load", Command{Kind: Load, Snapshot: restored}, Done},
		{"register", Command{Kind: Register, Entry: entry("s-plain", 9002), Incarnation: 1}, Done},
		{"register-leased", Command{Kind: Register, Entry: leased, Incarnation: 1<<63 - 1, Lease: MaxLease}, Done},
		{"register-unweighted", Command{Kind: Register, Entry: Entry{ID: "s-bare", Addr: "127.0.0.1:9003", Lifecycle: Up}, Incarnation: 2, Lease: MinLease * 5000}, Done},
		{"drain", Command{Kind: Drain, ID: "s-old", Incarnation: 3}, Done},
		{"drain-any", Command{Kind: Drain, ID: "s-plain"}, Done},
		{"remove", Command{Kind: Remove, ID: "s-plain", Incarnation: 1}, Done},
		{"expire", Command{Kind: Expire, Expired: []InstanceRef{{"s-bare", 2}, {"s-gone", 1}}, Term: goldenTerm}, Done},
		{"remove-any", Command{Kind: Remove, ID: "s-none"}, NotFound},
	}
}

// recordingStore is a log store that records the commands written to it.
type recordingStore struct {
	raft.LogStore
	mu       sync.Mutex
	commands [][]byte
}

func (l *recordingStore) StoreLogs(logs []*raft.Log) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range logs {
		if entry.Type == raft.LogCommand {
			l.commands = append(l.commands, bytes.Clone(entry.Data))
		}
	}
	return l.LogStore.StoreLogs(logs)
}

// latest returns the most recent command, or nil.
func (l *recordingStore) latest() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.commands) == 0 {
		return nil
	}
	return l.commands[len(l.commands)-1]
}

// goldenReplica starts a replica, executes the golden commands and compares the log entries with the golden
// files.
func goldenReplica(t *testing.T) *Server {
	t.Helper()
	log := &recordingStore{}
	s := startReplica(t, t.TempDir(), "", func(c *Config) {
		c.WrapStores = func(logs raft.LogStore, stable raft.StableStore) (raft.LogStore, raft.StableStore) {
			log.LogStore = logs
			return log, stable
		}
	})
	waitFor(t, "the replica leads", func() bool { return s.raft.State() == raft.Leader })
	for _, g := range goldenCommands(t) {
		if _, err := s.commit(g.command); err != nil {
			t.Fatalf("%s: %v", g.name, err)
		}
		golden.Check(t, "golden/command-"+g.name+".json", log.latest())
		if g.command.Kind == Expire { // again with the current term, which may differ from the recorded one
			g.command.Term = s.raft.CurrentTerm()
			if _, err := s.commit(g.command); err != nil {
				t.Fatalf("%s: %v", g.name, err)
			}
		}
	}
	return s
}

// Log entries, snapshots, backups, lists and watches match the golden files.
func TestGoldenWrites(t *testing.T) {
	s := goldenReplica(t)
	if err := s.Snapshot(); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(s.cfg.Dir, "snapshots", "*", "state.bin"))
	if err != nil || len(files) != 1 {
		t.Fatalf("snapshots %v, error %v", files, err)
	}
	snapshot, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/snapshot.json", snapshot)
	var backup bytes.Buffer
	client := Client{Replicas: []string{s.Addr()}}
	if err := client.Backup(t.Context(), &backup); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/backup.json", backup.Bytes())
	_, list := call(t, "GET", "http://"+s.Addr()+"/registry/instances", "")
	golden.Check(t, "golden/list.json", []byte(list))
	golden.Check(t, "golden/watch-whole.txt", watchBytes(t, s.Addr(), 0, 1))
	golden.Check(t, "golden/watch-changes.txt", watchBytes(t, s.Addr(), 7<<epochBits|1, 7))
	golden.Check(t, "golden/watch-beat.txt", s.heartbeatChunk)
}

// watchBytes returns the header of a watch's response and its first chunks, except those with an empty line.
func watchBytes(t *testing.T, addr string, from uint64, chunks int) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "GET /registry/instances?watch=1&from=%d HTTP/1.1\r\nHost: registry\r\n\r\n", from)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	var got []byte
	for !bytes.HasSuffix(got, []byte("\r\n\r\n")) {
		line, err := in.ReadBytes('\n')
		if err != nil {
			t.Fatalf("after %q: %v", got, err)
		}
		got = append(got, line...)
	}
	for chunks > 0 {
		size, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("after %q: %v", got, err)
		}
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 20)
		if err != nil {
			t.Fatal(err)
		}
		content := make([]byte, n+2)
		if _, err := io.ReadFull(in, content); err != nil {
			t.Fatal(err)
		}
		if n > 1 {
			got, chunks = append(append(got, size...), content...), chunks-1
		}
	}
	return got
}

// Recorded log entries are decoded to the golden commands and lead to the recorded state.
func TestGoldenLogIsRead(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	for _, g := range goldenCommands(t) {
		data := golden.Read(t, "golden/command-"+g.name+".json")
		var c Command
		if err := json.Unmarshal(data, &c); err != nil {
			t.Fatalf("%s: %v", g.name, err)
		}
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, g.name, again, data)
		if o := m.Apply(&raft.Log{Term: goldenTerm, Data: data}).(Outcome); o.Code != g.code {
			t.Errorf("%s: %s %s, want %s", g.name, o.Code, o.Message, g.code)
		}
	}
	golden.Compare(t, "state", persisted(t, m), golden.Read(t, "golden/snapshot.json"))
}

// persisted returns the bytes of a snapshot.
func persisted(t *testing.T, m *fsm) []byte {
	t.Helper()
	taken, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var written memorySink
	if err := taken.Persist(&written); err != nil {
		t.Fatal(err)
	}
	return written.Bytes()
}

// Recorded snapshots and backups are decoded to the state that they were taken of.
func TestGoldenStateIsRead(t *testing.T) {
	for _, name := range []string{"golden/snapshot.json", "golden/backup.json"} {
		text := golden.Read(t, name)
		m := newFSM(func(Command, Outcome) {})
		if err := m.Restore(io.NopCloser(bytes.NewReader(text))); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		golden.Compare(t, name, persisted(t, m), text)
		golden.Compare(t, name+" as a list", m.currentList().json(), golden.Read(t, "golden/list.json"))
		checkGoldenState(t, name, m.state)
	}
}

// checkGoldenState compares the part of the state that is not in the list: incarnations, leases, tombstones,
// addresses and changes.
func checkGoldenState(t *testing.T, name string, s *State) {
	t.Helper()
	if s.Epoch() != 7 || s.Generation() != 7<<epochBits|8 || s.Len() != 2 {
		t.Errorf("%s: epoch %d, generation %d, %d entries; want 7, %d and 2", name, s.Epoch(), s.Generation(), s.Len(), 7<<epochBits|8)
	}
	if leases := s.Leases(); len(leases) != 1 || leases[0] != (Lease{InstanceRef{"s-leased", 1<<63 - 1}, MaxLease}) {
		t.Errorf("%s: leases %v, want only that of s-leased", name, leases)
	}
	if changes, ok := s.ChangesSince(7<<epochBits | 1); !ok || len(changes) != 7 {
		t.Errorf("%s: %d changes, ok %t; want 7, true", name, len(changes), ok)
	}
	for _, c := range []struct {
		id          string
		port        int
		incarnation uint64
		want        Code
	}{
		{"s-back", 9010, 1, StaleIncarnation},
		{"s-plain", 9010, 1, StaleIncarnation},
		{"s-bare", 9010, 2, StaleIncarnation},
		{"s-old", 9010, 2, StaleIncarnation},
		{"s-old", 9010, 3, RegistrationConflict},
		{"s-new", 9000, 1, AddressConflict},
		{"s-plain", 9010, 2, Done},
	} {
		if o := s.Apply(Command{Kind: Register, Entry: entry(c.id, c.port), Incarnation: c.incarnation}); o.Code != c.want {
			t.Errorf("%s: registration of %s, incarnation %d: %s, want %s", name, c.id, c.incarnation, o.Code, c.want)
		}
	}
}

// A data folder that is prepared from a recorded backup matches the golden file.
func TestGoldenRestore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	if _, err := Restore(dir, bytes.NewReader(golden.Read(t, "golden/backup.json")), 9); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "restore.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "golden/restore.json", text)
}

// The responses of the HTTP API match the golden file.
func TestGoldenResponses(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	var transcript bytes.Buffer
	for _, c := range []struct{ method, path, body string }{
		{"GET", "", ""},
		{"POST", "", registration("s-a", 1, 5, time.Hour)},
		{"POST", "", registration("s-a", 1, 5, time.Hour)},
		{"POST", "", registration("s-a", 1, 4, 0)},
		{"POST", "", registration("s-a", 2, 5, 0)},
		{"POST", "", registration("s-b", 1, 1, 0)},
		{"POST", "", `{"instanceId":"s-c","hostPort":"127.0.0.1:3","weight":2.5,"incarnation":1}`},
		{"POST", "", `{"instanceId":"s-d","hostPort":"nowhere","incarnation":1}`},
		{"GET", "/s-a", ""},
		{"GET", "/s-none", ""},
		{"POST", "/s-a/renew?incarnation=5", ""},
		{"POST", "/s-a/renew?incarnation=6", ""},
		{"POST", "/s-a/renew", ""},
		{"POST", "/s-a/drain?incarnation=5", ""},
		{"DELETE", "/s-c", ""},
		{"DELETE", "/s-c", ""},
		{"DELETE", "/s-c?incarnation=1", ""},
		{"GET", "", ""},
		{"GET", "?watch=1&from=x", ""},
	} {
		status, text := call(t, c.method, "http://"+s.Addr()+"/registry/instances"+c.path, c.body)
		fmt.Fprintf(&transcript, "> %s %s %s\n%d %s", c.method, c.path, c.body, status, text)
	}
	golden.Check(t, "golden/answers.txt", transcript.Bytes())
}

// A status, a join request and outcomes with every code except NotLeader and Failed match the golden files
// and are decoded to the same values.
func TestGoldenStatus(t *testing.T) {
	status := Status{
		Replica: "r0123456789ab@127.0.0.1:8500", State: "follower", Leader: "127.0.0.2:8500", Epoch: 7, Generation: 7<<epochBits | 8, Entries: 3,
		Leases: 2, Watches: 4, ExpirySuspended: true, AppliedIndex: 17, SecondsSinceLeaderContact: 0.25, Replicas: []Replica{{ID: "rba9876543210@127.0.0.2:8500", Raft: "127.0.0.2:8501#rba9876543210", Leader: true}},
	}
	checkJSON(t, "golden/status.json", status)
	checkJSON(t, "golden/join.json", Replica{ID: status.Replica, Raft: "127.0.0.1:8501#r0123456789ab"})
	var outcomes []Outcome
	for _, code := range []Code{Done, Unchanged, StaleIncarnation, NotFound, AddressConflict, RegistrationConflict, Invalid, ListFull, Unavailable, OutcomeUnknown} {
		outcomes = append(outcomes, Outcome{Code: code, Generation: 1<<53 - 1, Message: "why"})
	}
	checkJSON(t, "golden/outcomes.json", append(outcomes, Outcome{Code: Done}))
}

// checkJSON compares the encoding of a value with a golden file. It also decodes the file and compares the
// encoding of the result.
func checkJSON[T any](t *testing.T, name string, v T) {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(golden.Check(t, name, text), &decoded); err != nil {
		t.Fatal(err)
	}
	if text, err = json.Marshal(decoded); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, name+" read and written", text, golden.Read(t, name))
}
