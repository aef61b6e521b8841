package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"
)

// The plan of the largest fleet.
const (
	planEntries     = 200_000
	planZoneEntries = planEntries / 15 // instances that may be lost at once
)

// numbered is an instance whose address is its own among the first 500,000.
func numberedEntry(n int) Entry {
	e := entry(fmt.Sprintf("s-%06d", n), 0)
	e.HostPort = fmt.Sprintf("127.%d.%d.1:%d", n/50_000, n/200%250, 1+n%200)
	return e
}

// fill registers instances until there are that many.
func fillList(t testing.TB, s *State, entries int) {
	t.Helper()
	for n := s.Len(); n < entries; n++ {
		if o := s.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != Done {
			t.Fatalf("entry %d: %+v", n, o)
		}
	}
}

// The plan's list is taken, with room above it; one more than the bound is refused with the bound,
// and taken when another has gone.
func TestListCapacity(t *testing.T) {
	if MaxEntries < planEntries*5/4 {
		t.Errorf("the bound is %d entries, the plan's are %d", MaxEntries, planEntries)
	}
	s := NewState(0)
	fillList(t, s, MaxEntries)
	next := Command{Kind: Register, Entry: numberedEntry(MaxEntries), Incarnation: 1}
	before := s.Generation()
	if o := s.Apply(next); o.Code != ListFull || !strings.Contains(o.Message, fmt.Sprint(MaxEntries)) || s.Generation() != before || s.Len() != MaxEntries {
		t.Errorf("one more than the bound: %+v, %d entries", o, s.Len())
	}
	again := numberedEntry(0) // of an instance that is there
	if o := s.Apply(Command{Kind: Register, Entry: again, Incarnation: 2}); o.Code != Done {
		t.Errorf("a new start of one that is there: %+v", o)
	}
	s.Apply(Command{Kind: Remove, ID: again.InstanceID})
	if o := s.Apply(next); o.Code != Done || s.Len() != MaxEntries {
		t.Errorf("after another has gone: %+v, %d entries", o, s.Len())
	}
}

// What the plan loses at once is neither forgotten as a change nor as a tombstone.
func TestLostZoneStaysInHistory(t *testing.T) {
	m := newFSM(func(Command, Outcome) {})
	fillList(t, m.state, planZoneEntries+1)
	m.publishRestored()
	from := m.generation()
	index := uint64(0)
	for n := range planZoneEntries {
		index++
		text, err := json.Marshal(Command{Kind: Remove, ID: numberedEntry(n).InstanceID, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		if o := m.Apply(&raft.Log{Index: index, Data: text}).(Outcome); o.Code != Done {
			t.Fatalf("%+v", o)
		}
	}
	at, readings := from, 0
	for m.generation() != at {
		rd := m.readSince(at)
		if len(rd.chunks) == 0 || len(rd.chunks) > maxChangesPerRead || rd.generation != at+uint64(len(rd.chunks)) {
			t.Fatalf("from %d: %d chunks up to %d", at, len(rd.chunks), rd.generation)
		}
		for i, c := range rd.chunks {
			if want := fmt.Sprintf(`{"generation":%d,"reset":false,`, at+1+uint64(i)); !bytes.Contains(c, []byte(want)) {
				t.Fatalf("chunk %d from %d is %.80s", i, at, c)
			}
		}
		select {
		case <-rd.updated:
		default:
			if rd.generation != m.generation() {
				t.Fatalf("a watch waits at %d of %d", rd.generation, m.generation())
			}
		}
		at, readings = rd.generation, readings+1
	}
	if want := (planZoneEntries + maxChangesPerRead - 1) / maxChangesPerRead; readings != want {
		t.Errorf("read in %d parts, want %d", readings, want)
	}
	for _, n := range []int{0, planZoneEntries - 1} {
		if o := m.state.Apply(Command{Kind: Register, Entry: numberedEntry(n), Incarnation: 1}); o.Code != StaleIncarnation {
			t.Errorf("a late word of the life that ended, instance %d: %+v", n, o)
		}
	}
}

// A watch may begin with an earlier list and the changes since; a reader of the list gets it as
// it stands. The list is encoded anew when the changes have come to a share of it.
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
	select {
	case <-second.updated:
	default:
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
	// A list that came whole is another life: nothing of the one before is told.
	other := newFSM(func(Command, Outcome) {})
	fillList(t, other.state, int(m.generation()))
	text, err := json.Marshal(other.state)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(io.NopCloser(bytes.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(m.currentList().json(), &now); err != nil || len(now.Instances) != other.state.Len() {
		t.Errorf("after a restore a reader gets %d entries of %d: %v", len(now.Instances), other.state.Len(), err)
	}
}

// paced is a connection that notes how much it is given under each deadline.
type pacedConn struct {
	net.Conn
	deadlines int
	under     int // bytes since the last deadline
	most      int
	text      bytes.Buffer
}

func (p *pacedConn) SetWriteDeadline(time.Time) error {
	p.deadlines++
	p.under = 0
	return nil
}

func (p *pacedConn) Write(b []byte) (int, error) {
	p.under += len(b)
	p.most = max(p.most, p.under)
	return p.text.Write(b)
}

// However long a list is, a reader has its time for each piece of it, and gets each byte once.
func TestWriteDeadlinePerPiece(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []byte
		var chunks [][]byte
		for i, size := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 200, maxWriteSize - 1, maxWriteSize, maxWriteSize + 1, 5*maxWriteSize + 7}), 0, 8).Draw(t, "sizes") {
			c := bytes.Repeat([]byte{byte('a' + i)}, size)
			chunks, want = append(chunks, c), append(want, c...)
		}
		var conn pacedConn
		if err := writePaced(&conn, chunks); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(conn.text.Bytes(), want) {
			t.Fatalf("%d bytes of %d, or others", conn.text.Len(), len(want))
		}
		if conn.most > maxWriteSize || conn.deadlines > 1+len(want)/maxWriteSize+len(chunks) {
			t.Fatalf("%d bytes under one deadline, %d deadlines for %d bytes", conn.most, conn.deadlines, len(want))
		}
	})
}
