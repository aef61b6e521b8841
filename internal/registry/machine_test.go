package registry

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"testing"
)

// sink is a snapshot that is being written.
type memorySink struct{ bytes.Buffer }

func (*memorySink) Close() error  { return nil }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) ID() string    { return "sink" }

// A snapshot is of the moment at which it was taken, whatever comes before it is written down.
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

// A watch of a replica that is lost goes on at another one, also at one that began with a snapshot:
// from any generation it is told the same bytes.
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
