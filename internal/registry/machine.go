package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"opalhook/internal/discovery"
)

// machine is the state behind the replicated log, with what readers of it need: each change
// encoded once for all watches, the whole list encoded once for each generation.
type machine struct {
	mu    sync.Mutex
	state *State
	life  uint64                 // the states that came whole so far
	taken func(Command, Outcome) // told of each change, under the mutex

	latest  atomic.Pointer[edition] // read by every watch at each change: by a lock they would wait for one another
	changed chan struct{}           // there is news for herald

	encoding sync.Mutex // held while the whole list is encoded, by the first that wants it; taken before mu
	whole    wholeList  // the latest that was encoded
}

// wholeList is the whole list at a generation, as a watch writes it.
type wholeList struct {
	generation uint64
	life       uint64 // of the machine that it was read in
	chunk      []byte // nil: there is none
}

// line is the list as one line of JSON.
func (w wholeList) line() []byte {
	from := bytes.Index(w.chunk, chunkEnd) + len(chunkEnd)
	return w.chunk[from : len(w.chunk)-len(chunkEnd)]
}

// chunkEnd ends the length and the content of a chunk.
var chunkEnd = []byte("\r\n")

// wholeShare is the share of the whole list's bytes that the changes since may come to before it
// is encoded anew for watches: until then they are told an earlier one and the changes.
const wholeShare = 1.0 / 8

// mostAtOnce bounds the changes that a watch takes at once, and so what it holds of its own.
const mostAtOnce = 256

// edition is what watches read at a generation. It is not changed once it is there.
type edition struct {
	generation uint64
	lines      []line        // the changes that are kept, oldest first
	more       chan struct{} // closed when watches are to read again
}

// line is one generation as a watch writes it: a chunk of HTTP/1.1, whose content is one line.
type line struct {
	generation uint64
	chunk      []byte
	through    uint64 // bytes of this and all chunks before it
}

// chunk frames a line for a watch.
func chunk(text []byte) []byte {
	return slices.Concat(fmt.Appendf(nil, "%x", len(text)), chunkEnd, text, chunkEnd)
}

// message is one message of the platform's discovery.
type message = discovery.Message

func newMachine(taken func(Command, Outcome)) *machine {
	m := &machine{state: NewState(0), taken: taken, changed: make(chan struct{}, 1)}
	m.latest.Store(&edition{more: make(chan struct{})})
	return m
}

// Apply implements raft.FSM. A command that can't be read is an error of the one that wrote it:
// all replicas skip it alike.
func (m *machine) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return Outcome{Code: Invalid, Message: fmt.Sprintf("command: %v", err)}
	}
	if c.Kind == Expire && c.Term != l.Term {
		// Another led since these were found to have run out, and may have taken their renewals.
		return Outcome{Code: Stale, Message: "leases of another leadership"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.state.Apply(c)
	if o.Code != Done {
		return o
	}
	if c.Kind == Load {
		m.begin()
	} else {
		m.publish()
	}
	m.taken(c, o)
	return o
}

// publish encodes the latest change. Called under the mutex.
func (m *machine) publish() {
	lines := m.latest.Load().lines
	if len(lines) == changesKept {
		lines = lines[1:]
	}
	// Editions share one array: what is added lies beyond what the earlier ones see.
	m.edit(appendLine(lines, m.state.changes[len(m.state.changes)-1]))
}

// appendLine encodes a change behind those before it.
func appendLine(lines []line, c Change) []line {
	l := encodeLine(c)
	l.through = uint64(len(l.chunk))
	if n := len(lines); n > 0 {
		l.through += lines[n-1].through
	}
	return append(lines, l)
}

func encodeLine(c Change) line {
	text, err := json.Marshal(message{Generation: c.Generation, Instances: c.Entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err)) // checked when it was registered
	}
	return line{generation: c.Generation, chunk: chunk(append(text, '\n'))}
}

// begin encodes all changes of a state that came whole. Called under the mutex.
func (m *machine) begin() {
	m.life++
	var lines []line
	for _, c := range m.state.changes {
		lines = appendLine(lines, c)
	}
	m.edit(lines)
}

// edit makes the next edition. Called under the mutex.
func (m *machine) edit(lines []line) {
	m.latest.Store(&edition{m.state.Generation(), lines, m.latest.Load().more})
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// herald wakes the watches until ctx ends: at once for a change after a pause, and once in a
// while where one follows another, so that those go to each watch together.
func (m *machine) herald(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		}
		m.mu.Lock()
		e := *m.latest.Load()
		more := e.more
		e.more = make(chan struct{})
		m.latest.Store(&e)
		m.mu.Unlock()
		close(more)
		select {
		case <-ctx.Done():
			return
		case <-time.After(gatherFor):
		}
	}
}

// list is the whole list as it stands.
func (m *machine) list() wholeList {
	m.encoding.Lock()
	defer m.encoding.Unlock()
	return m.encodeWhole(func(w wholeList, st *State) bool { return w.generation == st.Generation() })
}

// listForWatch is the whole list as a watch may begin with it: an earlier one, where the changes
// since are kept and few.
func (m *machine) listForWatch() wholeList {
	m.encoding.Lock()
	defer m.encoding.Unlock()
	return m.encodeWhole(func(w wholeList, _ *State) bool {
		since, ok := m.latest.Load().after(w.generation)
		if !ok {
			return false
		}
		var behind uint64
		if n := len(since); n > 0 {
			behind = since[n-1].through - since[0].through + uint64(len(since[0].chunk))
		}
		return float64(behind) <= wholeShare*float64(len(w.chunk))
	})
}

// encodeWhole returns the list that was encoded last if it will do, or encodes it anew. Only the
// copy of the entries holds changes up. Called with encoding held.
func (m *machine) encodeWhole(willDo func(wholeList, *State) bool) wholeList {
	m.mu.Lock()
	if m.whole.chunk != nil && m.whole.life == m.life && willDo(m.whole, m.state) {
		m.mu.Unlock()
		return m.whole
	}
	generation, life, entries := m.state.Generation(), m.life, m.state.entries()
	m.mu.Unlock()
	sortEntries(entries)
	text, err := json.Marshal(message{Generation: generation, Reset: true, Instances: entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err))
	}
	m.whole = wholeList{generation, life, chunk(append(text, '\n'))}
	return m.whole
}

// after returns the changes after a generation, oldest first; ok is false where they are not
// known, or the generation is not of this list.
func (e *edition) after(from uint64) (since []line, ok bool) {
	switch {
	case from == e.generation:
		return nil, true
	case from == 0 || from > e.generation || from>>epochBits != e.generation>>epochBits || len(e.lines) == 0 || from < e.lines[0].generation-1:
		return nil, false
	}
	return e.lines[from-(e.lines[0].generation-1):], true
}

// alreadyMore is the sign for a watch that has more to read at once.
var alreadyMore = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// reading is what a watch gets that holds a generation.
type reading struct {
	chunks [][]byte      // to be written, in order; their bytes are shared, not to be changed
	at     uint64        // the generation after them
	ahead  bool          // the reader is ahead of this replica
	more   chan struct{} // closed when there is more
}

// since is what has changed after a generation, up to mostAtOnce changes of it, or the whole list
// where that is not known. A reader that is ahead gets nothing.
func (m *machine) since(from uint64) reading {
	e := m.latest.Load()
	switch {
	case from == e.generation && from != 0:
		return reading{at: from, more: e.more}
	case from > e.generation:
		return reading{at: e.generation, more: e.more, ahead: true}
	}
	lines, ok := e.after(from)
	if !ok || from == 0 {
		whole := m.listForWatch()
		r := reading{chunks: [][]byte{whole.chunk}, at: whole.generation, more: e.more} // more is older: a change in between is read next
		if whole.generation < e.generation {
			r.more = alreadyMore
		}
		return r
	}
	r := reading{at: e.generation, more: e.more}
	if len(lines) > mostAtOnce {
		lines = lines[:mostAtOnce]
		r.at, r.more = lines[mostAtOnce-1].generation, alreadyMore
	}
	r.chunks = make([][]byte, 0, len(lines))
	for _, l := range lines {
		r.chunks = append(r.chunks, l.chunk)
	}
	return r
}

func (m *machine) generation() uint64 { return m.latest.Load().generation }

// read runs f on the state.
func (m *machine) read(f func(*State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// Snapshot implements raft.FSM. It copies the state; Persist writes it down while the list
// goes on.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return snapshot(m.state.image()), nil
}

// Restore implements raft.FSM.
func (m *machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	var s State
	if err := json.NewDecoder(in).Decode(&s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = &s
	m.begin()
	return nil
}

// snapshot is a state that is to be written down.
type snapshot image

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	text, err := image(s).encode()
	if err == nil {
		_, err = sink.Write(text)
	}
	if err != nil {
		sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s snapshot) Release() {}
