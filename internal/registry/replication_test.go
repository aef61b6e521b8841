package registry

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"
)

// Runs three replicas. A write at a follower reaches the leader, a new leader has every acknowledged write,
// and the watches at the two remaining replicas continue with changes.
func TestReplication(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	first := startReplica(t, dirs[0], "")
	all := []*Server{first, startReplica(t, dirs[1], first.Addr()), startReplica(t, dirs[2], first.Addr())}
	for n := range 10 { // at each replica in turn
		if status, text := call(t, "POST", "http://"+all[n%3].Addr()+"/registry/instances", registration(fmt.Sprint("s-", n), n+1, 1, 0)); status != 200 {
			t.Fatalf("registration: %d %s", status, text)
		}
	}
	followers := []*testWatch{startWatch(t, all[1].Addr(), 0), startWatch(t, all[2].Addr(), 0)}
	for _, w := range followers {
		for got := 0; got < 10; {
			if m := w.next(t); m.Snapshot {
				got = len(m.Entries)
			} else {
				got += len(m.Entries)
			}
		}
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if status, text := call(t, "POST", "http://"+all[1].Addr()+"/registry/instances/s-3/drain", ""); status != 200 {
		t.Fatalf("drain after the leader has closed: %d %s", status, text)
	}
	for _, w := range followers {
		if m := w.next(t); m.Snapshot || m.Generation != 11 || m.Entries[0].ID != "s-3" {
			t.Errorf("a watch gets %+v, want the change to s-3 at generation 11", m)
		}
	}
	// The closed replica is started again and catches up.
	restarted := startReplica(t, dirs[0], "", func(c *Config) { c.Listen, c.Raft = first.Addr(), raftAddr(first) })
	waitFor(t, "the restarted replica has caught up", func() bool { return restarted.fsm.generation() == 11 })
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

// Acknowledged writes survive a restart. A replica does not start at another address, with a damaged log or
// without its log, and the error says why. For a damaged log, it also names the file and the repair.
func TestStateSurvivesRestart(t *testing.T) {
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
	sameAddresses := func(c *Config) { c.Listen, c.Raft = addr, raftAt }
	otherAddress := Config{Dir: dir, Listen: "127.0.0.1:0", Raft: raftAt, Logger: slog.New(slog.DiscardHandler)}
	if _, err := Start(t.Context(), otherAddress); err == nil || !strings.Contains(err.Error(), "belongs to "+addr) {
		t.Errorf("start at another address: error %v, want one with the recorded address", err)
	}
	s = startReplica(t, dir, "", sameAddresses)
	waitFor(t, "the state is restored", func() bool { return s.fsm.generation() == 2 })
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	db := filepath.Join(dir, "raft.db")
	if err := os.WriteFile(db, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := Config{Dir: dir, Listen: addr, Raft: raftAt, Logger: slog.New(slog.DiscardHandler)}
	if _, err := Start(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), db) || !strings.Contains(err.Error(), "--join") {
		t.Errorf("start with a damaged log: error %v, want one with the file and the repair", err)
	}
	if err := os.Remove(db); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), "log is missing") {
		t.Errorf("start without the log: error %v, want one with \"log is missing\"", err)
	}
}

// failingStore is a log store whose writes fail while failing is set: the disk is full, or fsync fails
// although the data was written.
type failingStore struct {
	raft.LogStore
	failing *atomic.Bool
	failure diskFailure
}

type diskFailure string

const (
	diskFull    diskFailure = "full"
	fsyncFailed diskFailure = "fsync"
)

// StoreLogs implements raft.LogStore.
func (f failingStore) StoreLogs(logs []*raft.Log) error {
	switch {
	case !f.failing.Load():
		return f.LogStore.StoreLogs(logs)
	case f.failure == fsyncFailed:
		return errors.Join(errors.New("fsync: input/output error"), f.LogStore.StoreLogs(logs))
	}
	return errors.New("no space left on device")
}

// A write that cannot be made durable must not be acknowledged. When the client repeats it after the failure,
// it takes effect once.
func TestDiskFailure(t *testing.T) {
	for _, failure := range []diskFailure{diskFull, fsyncFailed} {
		t.Run(string(failure), func(t *testing.T) { testDiskFailure(t, failure) })
	}
}

func testDiskFailure(t *testing.T, failure diskFailure) {
	t.Helper()
	var failing atomic.Bool
	s := startReplica(t, t.TempDir(), "", func(c *Config) {
		c.WrapStores = func(l raft.LogStore, st raft.StableStore) (raft.LogStore, raft.StableStore) {
			return failingStore{l, &failing, failure}, st
		}
	})
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	failing.Store(true)
	resp, err := http.Post(base, "application/json", strings.NewReader(registration("s-b", 2, 1, 0)))
	if err != nil {
		t.Fatal(err)
	}
	readBody(t, resp)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("write to a failing store: status %s, Retry-After %q, want 503 with Retry-After", resp.Status, resp.Header.Get("Retry-After"))
	}
	if g := s.fsm.generation(); g != 1 {
		t.Errorf("generation %d after a write that failed, want 1", g)
	}
	failing.Store(false)
	status, text := call(t, "POST", base, registration("s-b", 2, 1, 0))
	if status != http.StatusOK || s.fsm.generation() != 2 {
		t.Errorf("write sent again: %d %s, generation %d; want 200 at generation 2", status, text, s.fsm.generation())
	}
}
