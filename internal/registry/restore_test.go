package registry

import (
	"fmt"
	"net/http"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A service that begins with a backup of another one is in a new epoch: a reader of the first service gets
// the full list, and no generation is used by both.
func TestBackupAndRestore(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/"
	call(t, "POST", base+"instances", registration("s-a", 1, 7, time.Hour))
	status, backup := call(t, "GET", base+"backup", "")
	if status != http.StatusOK {
		t.Fatalf("backup: %d %s", status, backup)
	}
	call(t, "POST", base+"instances", registration("s-b", 2, 1, 0)) // not in the backup
	old := s.fsm.generation()
	dir := filepath.Join(t.TempDir(), "new")
	if _, err := Restore(dir, strings.NewReader(backup), EpochAt(time.Now())); err != nil {
		t.Fatal(err)
	}
	if _, err := Restore(dir, strings.NewReader(backup), EpochAt(time.Now())); err == nil {
		t.Error("restored into a folder that is not empty")
	}
	restored := startReplica(t, dir, "")
	waitFor(t, "the backup is loaded", func() bool { return restored.fsm.generation() > old })
	if m := startWatch(t, restored.Addr(), old).next(t); !m.Snapshot || m.Generation <= old || len(m.Entries) != 1 || m.Entries[0].ID != "s-a" {
		t.Errorf("a reader of the first service gets %+v, want a full list after generation %d with only s-a", m, old)
	}
	if status, text := call(t, "POST", "http://"+restored.Addr()+"/registry/instances", registration("s-a", 1, 6, 0)); status != http.StatusConflict {
		t.Errorf("registration of an older incarnation after a restore: %d %s, want 409", status, text)
	}
	if _, err := Restore(filepath.Join(t.TempDir(), "x"), strings.NewReader(backup[:len(backup)/2]), 1); err == nil {
		t.Error("a truncated backup was restored")
	}
}

// A restored list begins a new epoch: none of its generations occurred in the list before it, and readers of
// that list cannot continue with changes.
func TestRestoreStartsNewEpoch(t *testing.T) {
	s := NewState(0)
	for n := range 20 {
		s.Apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	r, err := s.RestoredInEpoch(3)
	if err != nil {
		t.Fatal(err)
	}
	if r.Generation() <= s.Generation() || !reflect.DeepEqual(r.List(), s.List()) {
		t.Errorf("generation %d after a restore at %d, or a different list", r.Generation(), s.Generation())
	}
	for _, from := range []uint64{0, s.Generation(), s.Generation() + 1, r.Generation() + 1} {
		if _, ok := r.ChangesSince(from); ok {
			t.Errorf("a reader at generation %d can continue with changes", from)
		}
	}
	if _, err := r.RestoredInEpoch(3); err == nil {
		t.Error("the same epoch was accepted twice")
	}
	if r.Generation() >= 1<<53 || uint64(MaxEpoch)<<epochBits+1<<epochBits-1 >= 1<<53 {
		t.Error("a generation may reach 2^53, above which JSON readers lose precision")
	}
}
