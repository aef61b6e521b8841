package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"opalhook/internal/testnet"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
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

// The life of an entry over HTTP, and what a watch and a reader see of it.
func TestInstanceLifecycle(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		code                     Code
	}{
		{"registered", "POST", "", registration("s-a", 1, 5, 0), 200, Done},
		{"sent again", "POST", "", registration("s-a", 1, 5, 0), 200, Unchanged},
		{"older incarnation", "POST", "", registration("s-a", 1, 4, 0), 409, StaleIncarnation},
		{"address of another", "POST", "", registration("s-b", 1, 1, 0), 409, AddressConflict},
		{"renewed", "POST", "/s-a/renew?incarnation=5", "", 200, Done},
		{"renewed by an older one", "POST", "/s-a/renew?incarnation=4", "", 409, StaleIncarnation},
		{"renewed by nobody", "POST", "/s-z/renew?incarnation=1", "", 404, NotFound},
		{"drained", "POST", "/s-a/drain?incarnation=5", "", 200, Done},
		{"drained again", "POST", "/s-a/drain?incarnation=5", "", 200, Unchanged},
		{"removed by an older one", "DELETE", "/s-a?incarnation=4", "", 409, StaleIncarnation},
		{"removed", "DELETE", "/s-a?incarnation=5", "", 200, Done},
		{"removed again", "DELETE", "/s-a?incarnation=5", "", 200, Unchanged},
		{"registered late", "POST", "", registration("s-a", 1, 5, 0), 409, StaleIncarnation},
		{"its next life", "POST", "", registration("s-a", 1, 6, 0), 200, Done},
	} {
		status, text := call(t, c.method, base+c.path, c.body)
		var o Outcome
		if err := json.Unmarshal([]byte(text), &o); err != nil || status != c.status || o.Code != c.code {
			t.Errorf("%s: %d %s", c.name, status, text)
		}
	}
	w := startWatch(t, s.Addr(), 1)
	var seen []string
	for range 3 {
		m := w.next(t)
		seen = append(seen, fmt.Sprintf("%d %v %s", m.Generation, m.Reset, m.Instances[0].Lifecycle))
	}
	if got, want := fmt.Sprint(seen), "[2 false draining 3 false removed 4 false up]"; got != want {
		t.Errorf("the watch tells %s, want %s", got, want)
	}
	if m := startWatch(t, s.Addr(), 0).next(t); !m.Reset || m.Generation != 4 || len(m.Instances) != 1 {
		t.Errorf("a new watch gets %+v", m)
	}
	// A version that this list never had, at its leader: another list's. The whole of this one.
	if m := startWatch(t, s.Addr(), 1<<40).next(t); !m.Reset || m.Generation != 4 {
		t.Errorf("a reader of another list gets %+v", m)
	}
}

// Bad input costs its sender an error and nobody else anything.
func TestInvalidRequests(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "", "{", 400},
		{"POST", "", `{"colour":1}`, 400},
		{"POST", "", registration("s-b", 2, 1, 0) + "{}", 400},
		{"POST", "", `{"instanceId":"` + strings.Repeat("x", 1<<20) + `"}`, 413},
		{"POST", "", `{"instanceId":"s-b","weight":-1}`, 400},
		{"POST", "", strings.Replace(registration("s-b", 2, 1, 0), `"up"`, `"odd"`, 1), 400},
		{"POST", "", strings.Replace(registration("s-b", 2, 1, 0), `"leaseMs":0`, `"leaseMs":9223372036854775807`, 1), 400},
		{"POST", "/s-a/renew?incarnation=-1", "", 400},
		{"POST", "/s-a/renew", "", 400},
		{"DELETE", "/s-a?incarnation=x", "", 400},
		{"GET", "?watch=1&from=-1", "", 400},
		{"PUT", "", "", 405},
		{"GET", "/s-a/b/c", "", 404},
		{"POST", "/" + strings.Repeat("y", 300) + "/renew?incarnation=1", "", 400},
	} {
		if status, text := call(t, c.method, base+c.path, c.body); status != c.status {
			t.Errorf("%s %.60s %.60s: %d %.200s, want %d", c.method, c.path, c.body, status, text, c.status)
		}
	}
	if g := s.fsm.generation(); g != 1 {
		t.Errorf("generation %d", g)
	}
}

// An entry whose lease is not renewed is removed; one that is stays, also with a new leader.
func TestLeasesOverHTTP(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for n := range 5 {
		call(t, "POST", base, registration(fmt.Sprint("s-", n), n+1, 1, time.Hour))
	}
	call(t, "POST", base, registration("s-short", 99, 1, time.Second))
	w := startWatch(t, s.Addr(), 6)
	if m := w.next(t); len(m.Instances) != 1 || m.Instances[0].InstanceID != "s-short" || m.Instances[0].Lifecycle != Removed {
		t.Errorf("%+v", m)
	}
	if status, text := call(t, "POST", base+"/s-short/renew?incarnation=1", ""); status != http.StatusConflict {
		t.Errorf("renewed after its end: %d %s", status, text)
	}
}

// Three replicas: a write at a follower finds the leader, a new leader has all that was
// acknowledged, and watches of every replica go on by changes.
func TestReplication(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	first := startReplica(t, dirs[0], "")
	all := []*Server{first, startReplica(t, dirs[1], first.Addr()), startReplica(t, dirs[2], first.Addr())}
	for n := range 10 { // at each in turn
		if status, text := call(t, "POST", "http://"+all[n%3].Addr()+"/registry/instances", registration(fmt.Sprint("s-", n), n+1, 1, 0)); status != 200 {
			t.Fatalf("%d %s", status, text)
		}
	}
	followers := []*testWatch{startWatch(t, all[1].Addr(), 0), startWatch(t, all[2].Addr(), 0)}
	for _, w := range followers {
		for got := 0; got < 10; {
			if m := w.next(t); m.Reset {
				got = len(m.Instances)
			} else {
				got += len(m.Instances)
			}
		}
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if status, text := call(t, "POST", "http://"+all[1].Addr()+"/registry/instances/s-3/drain", ""); status != 200 {
		t.Fatalf("after the leader's end: %d %s", status, text)
	}
	for _, w := range followers {
		if m := w.next(t); m.Reset || m.Generation != 11 || m.Instances[0].InstanceID != "s-3" {
			t.Errorf("a watch gets %+v", m)
		}
	}
	// The one that was away takes up where the others are.
	back := startReplica(t, dirs[0], "", func(c *Config) { c.Listen, c.Raft = first.Addr(), raftAddr(first) })
	waitFor(t, "the replica that was away has caught up", func() bool { return back.fsm.generation() == 11 })
}

func raftAddr(s *Server) string {
	for _, r := range s.raft.GetConfiguration().Configuration().Servers {
		if string(r.ID) == s.id {
			addr, _, _ := strings.Cut(string(r.Address), addressNameSeparator)
			return addr
		}
	}
	return ""
}

// What was acknowledged is there after a restart, and the file that is damaged is named.
func TestStatePersists(t *testing.T) {
	dir := t.TempDir()
	s := startReplica(t, dir, "")
	call(t, "POST", "http://"+s.Addr()+"/registry/instances", registration("s-a", 1, 1, 0))
	if err := s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	call(t, "POST", "http://"+s.Addr()+"/registry/instances/s-a/drain", "")
	addr, raftAt := s.Addr(), raftAddr(s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	same := func(c *Config) { c.Listen, c.Raft = addr, raftAt }
	elsewhere := Config{Dir: dir, Listen: "127.0.0.1:0", Raft: raftAt, Logger: slog.New(slog.DiscardHandler)}
	if _, err := Start(t.Context(), elsewhere); err == nil || !strings.Contains(err.Error(), "belongs to "+addr) {
		t.Errorf("a replica starts where the others don't know it: %v", err)
	}
	s = startReplica(t, dir, "", same)
	waitFor(t, "the state is back", func() bool { return s.fsm.generation() == 2 })
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	db := filepath.Join(dir, "raft.db")
	if err := os.WriteFile(db, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := Config{Dir: dir, Listen: addr, Raft: raftAt, Logger: slog.New(slog.DiscardHandler)}
	if _, err := Start(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), db) || !strings.Contains(err.Error(), "--join") {
		t.Errorf("error %v names no file or no way out", err)
	}
	if err := os.Remove(db); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), "log is gone") {
		t.Errorf("a replica that lost its log starts as the one it was: %v", err)
	}
}

// failing is a log store whose disk is full from a moment on, or whose fsync fails though the
// log was written.
type failingStore struct {
	raft.LogStore
	full  *atomic.Bool
	fsync bool
}

func (f failingStore) StoreLogs(logs []*raft.Log) error {
	switch {
	case !f.full.Load():
		return f.LogStore.StoreLogs(logs)
	case f.fsync:
		return errors.Join(errors.New("fsync: input/output error"), f.LogStore.StoreLogs(logs))
	}
	return errors.New("no space left on device")
}

// A write that can't be made durable is not acknowledged, and the client is told; once the disk
// is well, sent again, it is done once.
func TestFullDisk(t *testing.T) {
	t.Run("full", func(t *testing.T) { testFailingDisk(t, false) })
	t.Run("fsync", func(t *testing.T) { testFailingDisk(t, true) })
}

func testFailingDisk(t *testing.T, fsync bool) {
	var full atomic.Bool
	s := startReplica(t, t.TempDir(), "", func(c *Config) {
		c.WrapStores = func(l raft.LogStore, st raft.StableStore) (raft.LogStore, raft.StableStore) {
			return failingStore{l, &full, fsync}, st
		}
	})
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	full.Store(true)
	resp, err := http.Post(base, "application/json", strings.NewReader(registration("s-b", 2, 1, 0)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %s", resp.Status)
	}
	if g := s.fsm.generation(); g != 1 {
		t.Errorf("generation %d after a write that was not kept", g)
	}
	full.Store(false)
	status, text := call(t, "POST", base, registration("s-b", 2, 1, 0))
	if status != http.StatusOK || s.fsm.generation() != 2 {
		t.Errorf("sent again: %d %s, generation %d", status, text, s.fsm.generation())
	}
}

// A watch that does not read is dropped and holds no other up; connections that say nothing, or
// say it slowly, are closed and hold up nobody.
func TestSilentAndSlowClients(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for n := range 400 { // more than the buffers between take
		e := entry(fmt.Sprint("s-", n), n+1)
		e.MachineType = strings.Repeat("m", maxNameLength)
		text, err := json.Marshal(Registration{Entry: e, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		call(t, "POST", base, string(text))
	}
	dial := func(says string) net.Conn {
		c, err := (&net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			return errors.Join(rc.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) }), err)
		}}).Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := io.WriteString(c, says); err != nil {
			t.Fatal(err)
		}
		return c
	}
	var mute []net.Conn
	for range 2000 {
		mute = append(mute, dial(""))
	}
	for range 200 {
		mute = append(mute, dial("POST /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"))
	}
	dial("GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the deaf watch is open", func() bool { return s.openWatches.Load() == 1 })
	good := startWatch(t, s.Addr(), 0)
	good.next(t)
	call(t, "POST", base+"/s-1/drain", "")
	if m := good.next(t); m.Generation != 401 {
		t.Errorf("beside the deaf and the mute a watch gets %+v", m)
	}
	waitFor(t, "the watch that does not read is dropped", func() bool { return s.openWatches.Load() == 1 })
	for _, c := range mute {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(c)
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a mute connection stays open: %v", err)
		}
		if len(text) > 0 && !strings.HasPrefix(string(text), "HTTP/1.1 4") {
			t.Fatalf("a mute connection is told %q", text)
		}
	}
}

// What one leadership found to have run out is not expired in another one's time: that may have
// taken a renewal.
func TestExpiryOfEarlierTermRejected(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	apply := func(term uint64, c Command) Code {
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return m.Apply(&raft.Log{Term: term, Data: text}).(Outcome).Code
	}
	apply(2, Command{Kind: Register, Entry: entry("s-a", 1), Incarnation: 1, Lease: time.Minute})
	late := Command{Kind: Expire, Expired: []InstanceRef{{"s-a", 1}}, Term: 2}
	if code := apply(3, late); code != StaleIncarnation || m.generation() != 1 {
		t.Errorf("an expiry of term 2 in term 3: %s, generation %d", code, m.generation())
	}
	if late.Term = 3; apply(3, late) != Done || m.generation() != 2 {
		t.Errorf("an expiry of its own term is not done: generation %d", m.generation())
	}
}

// Watches that come too fast are turned away with advice; one that is open is not starved.
func TestWatchOpensAreRateLimited(t *testing.T) {
	s := startReplica(t, t.TempDir(), "", func(c *Config) { c.WatchOpensPerSecond = 3 })
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	open := startWatch(t, s.Addr(), 0)
	open.next(t)
	turned := 0
	for range 20 {
		resp, err := http.Get(base + "?watch=1&from=0")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
			turned++
		}
	}
	if turned < 10 {
		t.Errorf("%d of 20 turned away at 3 a second", turned)
	}
	call(t, "POST", base+"/s-a/drain", "")
	if m := open.next(t); m.Generation != 2 {
		t.Errorf("the open watch gets %+v", m)
	}
}

// A backup taken of one service begins another, in an epoch of its own: a reader of the first
// gets the whole list, and no generation is used twice.
func TestBackupAndRestore(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/"
	call(t, "POST", base+"instances", registration("s-a", 1, 7, time.Hour))
	status, backup := call(t, "GET", base+"backup", "")
	if status != http.StatusOK {
		t.Fatalf("%d %s", status, backup)
	}
	call(t, "POST", base+"instances", registration("s-b", 2, 1, 0)) // after the backup: lost
	old := s.fsm.generation()
	dir := filepath.Join(t.TempDir(), "new")
	if _, err := Restore(dir, strings.NewReader(backup), EpochAt(time.Now())); err != nil {
		t.Fatal(err)
	}
	if _, err := Restore(dir, strings.NewReader(backup), EpochAt(time.Now())); err == nil {
		t.Error("restored over what is there")
	}
	n := startReplica(t, dir, "")
	waitFor(t, "the backup is loaded", func() bool { return n.fsm.generation() > old })
	if m := startWatch(t, n.Addr(), old).next(t); !m.Reset || m.Generation <= old || len(m.Instances) != 1 || m.Instances[0].InstanceID != "s-a" {
		t.Errorf("a reader of the list before gets %+v", m)
	}
	if status, text := call(t, "POST", "http://"+n.Addr()+"/registry/instances", registration("s-a", 1, 6, 0)); status != http.StatusConflict {
		t.Errorf("an older incarnation after a restore: %d %s", status, text)
	}
	if _, err := Restore(filepath.Join(t.TempDir(), "x"), strings.NewReader(backup[:len(backup)/2]), 1); err == nil {
		t.Error("half a backup was restored")
	}
}
