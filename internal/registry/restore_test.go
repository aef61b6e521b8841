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

// A backup of one service begins another, in an epoch of its own: a reader of the first gets the full list, and no
// generation is used twice.
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

// A restored list begins an epoch: none of its generations was one of the list before, and no reader of that list can
// continue by changes.
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
		t.Errorf("generation %d after %d", r.Generation(), s.Generation())
	}
	for _, from := range []uint64{0, s.Generation(), s.Generation() + 1, r.Generation() + 1} {
		if _, ok := r.ChangesSince(from); ok {
			t.Errorf("a reader at %d goes on by changes", from)
		}
	}
	if _, err := r.RestoredInEpoch(3); err == nil {
		t.Error("an epoch was used twice")
	}
	if r.Generation() >= 1<<53 || uint64(MaxEpoch)<<epochBits+1<<epochBits-1 >= 1<<53 {
		t.Error("a generation is not exact in every JSON reader")
	}
}
