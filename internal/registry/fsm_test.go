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

// An expiry that one leader found must not be applied in a later term, since the next leader may have
// accepted a renewal of the lease.
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
		t.Errorf("an expiry of term 2 in term 3: code %s, generation %d; want stale and 1", code, m.generation())
	}
	if late.Term = 3; apply(3, late) != Done || m.generation() != 2 {
		t.Errorf("an expiry of the current term is not applied: generation %d, want 2", m.generation())
	}
}

// When the largest zone is lost at once, the history must retain all of its changes and tombstones.
func TestLostZoneStaysInHistory(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, maxZoneEntries+1)
	m.publishRestored()
	before := m.generation()
	for n := range maxZoneEntries {
		text, err := json.Marshal(Command{Kind: Remove, ID: numberedEntry(n).ID, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		if o := m.Apply(&raft.Log{Index: uint64(n) + 1, Data: text}).(Outcome); o.Code != Done {
			t.Fatalf("removal: %+v", o)
		}
	}
	reads := 0
	for at := before; m.generation() != at; reads++ {
		at = checkRead(t, m, at)
	}
	if want := (maxZoneEntries + maxChangesPerRead - 1) / maxChangesPerRead; reads != want {
		t.Errorf("%d reads, want %d", reads, want)
	}
	for _, n := range []int{0, maxZoneEntries - 1} {
		if o := m.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != StaleIncarnation {
			t.Errorf("registration of the removed incarnation of instance %d: %+v, want stale", n, o)
		}
	}
}

// checkRead reads like a watch at a generation. It checks that the result is the next changes, and returns
// the generation after them.
func checkRead(t *testing.T, m *fsm, at uint64) uint64 {
	t.Helper()
	read := m.readSince(at)
	if len(read.chunks) == 0 || len(read.chunks) > maxChangesPerRead || read.generation != at+uint64(len(read.chunks)) {
		t.Fatalf("read from %d returns %d chunks up to %d", at, len(read.chunks), read.generation)
	}
	for i, chunk := range read.chunks {
		if want := fmt.Sprintf(`{"generation":%d,"reset":false,`, at+1+uint64(i)); !bytes.Contains(chunk, []byte(want)) {
			t.Fatalf("chunk %d of the read from %d is %.80s, want %s", i, at, chunk, want)
		}
	}
	if read.generation != m.generation() && !isClosed(read.updated) {
		t.Fatalf("a watch at generation %d waits, though the current one is %d", read.generation, m.generation())
	}
	return read.generation
}

// isClosed reports whether a watch with this signal reads again immediately.
func isClosed(updated chan struct{}) bool {
	select {
	case <-updated:
		return true
	default:
		return false
	}
}

// A watch may begin with the cached list and the changes since then, but a reader of the list always gets the
// current one. The list is encoded again when the changes amount to a fraction of its size.
func TestEncodedListIsShared(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, 400)
	m.publishRestored()
	change := func(n int, incarnation uint64) {
		if o := m.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: incarnation}); o.Code != Done {
			t.Fatalf("registration: %+v", o)
		}
		m.publish()
	}
	first := m.readSince(0)
	change(0, 2)
	second := m.readSince(0)
	if &first.chunks[0][0] != &second.chunks[0][0] || second.generation != first.generation {
		t.Errorf("the list at generation %d was encoded again at %d after one change", first.generation, second.generation)
	}
	if !isClosed(second.updated) {
		t.Error("a watch that begins with the cached list waits instead of reading the changes")
	}
	if rest := m.readSince(second.generation); rest.generation != m.generation() || len(rest.chunks) != 1 {
		t.Errorf("after the cached list, a watch gets %d changes up to %d; want 1 up to %d", len(rest.chunks), rest.generation, m.generation())
	}
	var list message
	if err := json.Unmarshal(m.currentList().json(), &list); err != nil || list.Generation != m.generation() || len(list.Entries) != 400 || !list.Snapshot {
		t.Errorf("a reader gets generation %d, want %d, with %d entries, want 400: %v", list.Generation, m.generation(), len(list.Entries), err)
	}
	start, changes := m.readSince(0).generation, 0
	for ; m.readSince(0).generation == start; changes++ {
		change(1, uint64(changes)+2)
	}
	if changes < 400/16 || changes > 400/4 {
		t.Errorf("a list of 400 entries was encoded again after %d changes, want %d to %d",
			changes, 400/16, 400/4)
	}
}

// After a restore, readers must get the restored list, even if the list before it has the same generation.
func TestEncodedListIsNotSharedAcrossRestore(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, 400)
	m.publishRestored()
	for n := range 50 {
		m.state.Apply(Command{Kind: Drain, ID: numberedEntry(n).ID})
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
	var list message
	if err := json.Unmarshal(m.currentList().json(), &list); err != nil || len(list.Entries) != other.state.Len() {
		t.Errorf("after a restore, a reader gets %d entries, want %d: %v", len(list.Entries), other.state.Len(), err)
	}
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) Close() error  { return nil }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) ID() string    { return "sink" }

// A snapshot contains the state at the time it was taken, even if the state changes before the snapshot is
// written.
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
		m.state.Apply(Command{Kind: Drain, ID: numberedEntry(n).ID})
		m.state.Apply(Command{Kind: Remove, ID: numberedEntry(n + 20).ID})
	}
	var written memorySink
	if err := taken.Persist(&written); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), want) {
		t.Errorf("the snapshot differs from the state at the time it was taken: %d bytes, want %d", written.Len(), len(want))
	}
}

// When a replica is lost, its watches continue at another one, which may have begun with a snapshot. From any
// generation, both replicas must send the same bytes.
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
	for _, m := range []*fsm{lost, other} { // changes after the snapshot
		for n := range 10 {
			m.state.Apply(Command{Kind: Remove, ID: numberedEntry(n).ID})
			m.publish()
		}
	}
	for from := uint64(1); from <= lost.generation(); from++ {
		a, b := lost.readSince(from), other.readSince(from)
		if a.generation != b.generation || !slices.EqualFunc(a.chunks, b.chunks, bytes.Equal) {
			t.Fatalf("from %d: %d changes up to %d at the lost replica, %d up to %d at the other", from, len(a.chunks), a.generation, len(b.chunks), b.generation)
		}
	}
}
