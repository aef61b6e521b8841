package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// A lease that one leadership found to have expired is not expired in another one's term: that leader may have accepted
// a renewal.
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

// The entries that the plan loses at once are forgotten neither as changes nor as tombstones.
func TestLostZoneStaysInHistory(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, planZoneEntries+1)
	m.publishRestored()
	before := m.generation()
	for n := range planZoneEntries {
		text, err := json.Marshal(Command{Kind: Remove, ID: numberedEntry(n).InstanceID, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		if o := m.Apply(&raft.Log{Index: uint64(n) + 1, Data: text}).(Outcome); o.Code != Done {
			t.Fatalf("%+v", o)
		}
	}
	reads := 0
	for at := before; m.generation() != at; reads++ {
		at = checkRead(t, m, at)
	}
	if want := (planZoneEntries + maxChangesPerRead - 1) / maxChangesPerRead; reads != want {
		t.Errorf("read in %d parts, want %d", reads, want)
	}
	for _, n := range []int{0, planZoneEntries - 1} {
		if o := m.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != StaleIncarnation {
			t.Errorf("a late registration of the removed incarnation, instance %d: %+v", n, o)
		}
	}
}

// checkRead reads what a watch at a generation gets, which must be the changes that follow, and returns the generation
// after them.
func checkRead(t *testing.T, m *fsm, at uint64) uint64 {
	t.Helper()
	read := m.readSince(at)
	if len(read.chunks) == 0 || len(read.chunks) > maxChangesPerRead || read.generation != at+uint64(len(read.chunks)) {
		t.Fatalf("from %d: %d chunks up to %d", at, len(read.chunks), read.generation)
	}
	for i, chunk := range read.chunks {
		if want := fmt.Sprintf(`{"generation":%d,"reset":false,`, at+1+uint64(i)); !bytes.Contains(chunk, []byte(want)) {
			t.Fatalf("chunk %d from %d is %.80s", i, at, chunk)
		}
	}
	if read.generation != m.generation() && !isClosed(read.readAgain) {
		t.Fatalf("a watch waits at %d of %d", read.generation, m.generation())
	}
	return read.generation
}

// isClosed reports whether a watch reads on at once.
func isClosed(updated chan struct{}) bool {
	select {
	case <-updated:
		return true
	default:
		return false
	}
}

// A watch may begin with an earlier list and the changes since; a reader of the list gets the current one. The list is
// encoded again when the changes have come to a fraction of it.
func TestEncodedListIsShared(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, 400)
	m.publishRestored()
	change := func(n int, incarnation uint64) {
		if o := m.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: incarnation}); o.Code != Done {
			t.Fatalf("%+v", o)
		}
		m.publish()
	}
	first := m.readSince(0)
	change(0, 2)
	second := m.readSince(0)
	if &first.chunks[0][0] != &second.chunks[0][0] || second.generation != first.generation {
		t.Errorf("the list of %d was encoded anew at %d for one change", first.generation, second.generation)
	}
	if !isClosed(second.readAgain) {
		t.Error("a watch that begins with an earlier list waits for more")
	}
	if rest := m.readSince(second.generation); rest.generation != m.generation() || len(rest.chunks) != 1 {
		t.Errorf("then it gets %d changes up to %d", len(rest.chunks), rest.generation)
	}
	var now message
	if err := json.Unmarshal(m.currentList().json(), &now); err != nil || now.Generation != m.generation() || len(now.Instances) != 400 || !now.Reset {
		t.Errorf("a reader gets generation %d of %d, %d entries: %v", now.Generation, m.generation(), len(now.Instances), err)
	}
	start, changes := m.readSince(0).generation, 0
	for ; m.readSince(0).generation == start; changes++ {
		change(1, uint64(changes)+2)
	}
	if changes < 400/16 || changes > 400/4 {
		t.Errorf("encoded anew after %d changes of 400 entries", changes)
	}
}

// After a restore, readers get the restored list, though the one before has the same generation.
func TestEncodedListIsNotSharedOverRestore(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, 400)
	m.publishRestored()
	for n := range 50 {
		m.state.Apply(Command{Kind: Drain, ID: numberedEntry(n).InstanceID})
		m.publish()
	}
	m.currentList()
	other := newFSM(func(Command, Outcome) {})
	fillList(t, other.state, int(m.generation()))
	text, err := json.Marshal(other.state)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(io.NopCloser(bytes.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	var now message
	if err := json.Unmarshal(m.currentList().json(), &now); err != nil || len(now.Instances) != other.state.Len() {
		t.Errorf("after a restore a reader gets %d entries of %d: %v", len(now.Instances), other.state.Len(), err)
	}
}

// memorySink is a snapshot that is being written.
type memorySink struct{ bytes.Buffer }

func (*memorySink) Close() error  { return nil }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) ID() string    { return "sink" }

// A snapshot has the state at which it was taken, whatever changes before it is written.
func TestSnapshotIsolation(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, 50)
	want, err := json.Marshal(m.state)
	if err != nil {
		t.Fatal(err)
	}
	taken, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for n := range 30 {
		m.state.Apply(Command{Kind: Drain, ID: numberedEntry(n).InstanceID})
		m.state.Apply(Command{Kind: Remove, ID: numberedEntry(n + 20).InstanceID})
	}
	var written memorySink
	if err := taken.Persist(&written); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), want) {
		t.Errorf("%d bytes of another moment, want %d", written.Len(), len(want))
	}
}

// A watch of a replica that is lost continues at another one, also at one that began with a snapshot: from any
// generation it gets the same bytes.
func TestWatchResumesAtAnotherReplica(t *testing.T) {
	lost, other := newFSM(func(Command, Outcome) {}), newFSM(func(Command, Outcome) {})
	for n := range 3 * maxChangesPerRead {
		lost.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1})
		lost.publish()
	}
	taken, err := lost.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var written memorySink
	if err := taken.Persist(&written); err != nil {
		t.Fatal(err)
	}
	if err := other.Restore(io.NopCloser(&written)); err != nil {
		t.Fatal(err)
	}
	for _, m := range []*fsm{lost, other} { // changes that both apply after it
		for n := range 10 {
			m.state.Apply(Command{Kind: Remove, ID: numberedEntry(n).InstanceID})
			m.publish()
		}
	}
	for from := uint64(1); from <= lost.generation(); from++ {
		a, b := lost.readSince(from), other.readSince(from)
		if a.generation != b.generation || !slices.EqualFunc(a.chunks, b.chunks, bytes.Equal) {
			t.Fatalf("from %d: %d changes up to %d at one, %d up to %d at the other", from, len(a.chunks), a.generation, len(b.chunks), b.generation)
		}
	}
}
