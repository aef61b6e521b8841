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
type fsm struct {
	mu           sync.Mutex
	state        *State
	restoreCount uint64                 // the states that came whole so far
	onChange     func(Command, Outcome) // told of each change, under the mutex

	published       atomic.Pointer[publishedVersion] // read by every watch at each change: by a lock they would wait for one another
	publishedSignal chan struct{}                    // there is news for herald

	encodeMu   sync.Mutex  // held while the whole list is encoded, by the first that wants it; taken before mu
	cachedList encodedList // the latest that was encoded
}

// wholeList is the whole list at a generation, as a watch writes it.
type encodedList struct {
	generation   uint64
	restoreCount uint64 // of the machine that it was read in
	chunk        []byte // nil: there is none
}

// line is the list as one line of JSON.
func (w encodedList) json() []byte {
	from := bytes.Index(w.chunk, crlf) + len(crlf)
	return w.chunk[from : len(w.chunk)-len(crlf)]
}

// chunkEnd ends the length and the content of a chunk.
var crlf = []byte("\r\n")

// wholeShare is the share of the whole list's bytes that the changes since may come to before it
// is encoded anew for watches: until then they are told an earlier one and the changes.
const maxCachedListLag = 1.0 / 8

// mostAtOnce bounds the changes that a watch takes at once, and so what it holds of its own.
const maxChangesPerRead = 256

// edition is what watches read at a generation. It is not changed once it is there.
type publishedVersion struct {
	generation uint64
	changes    []encodedChange // the changes that are kept, oldest first
	updated    chan struct{}   // closed when watches are to read again
}

// line is one generation as a watch writes it: a chunk of HTTP/1.1, whose content is one line.
type encodedChange struct {
	generation      uint64
	chunk           []byte
	cumulativeBytes uint64 // bytes of this and all chunks before it
}

// chunk frames a line for a watch.
func httpChunk(text []byte) []byte {
	return slices.Concat(fmt.Appendf(nil, "%x", len(text)), crlf, text, crlf)
}

// message is one message of the platform's discovery.
type message = discovery.Message

func newFSM(taken func(Command, Outcome)) *fsm {
	m := &fsm{state: NewState(0), onChange: taken, publishedSignal: make(chan struct{}, 1)}
	m.published.Store(&publishedVersion{updated: make(chan struct{})})
	return m
}

// Apply implements raft.FSM. A command that can't be read is an error of the one that wrote it:
// all replicas skip it alike.
func (m *fsm) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return Outcome{Code: Invalid, Message: fmt.Sprintf("command: %v", err)}
	}
	if c.Kind == Expire && c.Term != l.Term {
		// Another led since these were found to have run out, and may have taken their renewals.
		return Outcome{Code: StaleIncarnation, Message: "leases of another leadership"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.state.Apply(c)
	if o.Code != Done {
		return o
	}
	if c.Kind == Load {
		m.publishRestored()
	} else {
		m.publish()
	}
	m.onChange(c, o)
	return o
}

// publish encodes the latest change. Called under the mutex.
func (m *fsm) publish() {
	lines := m.published.Load().changes
	if len(lines) == maxChanges {
		lines = lines[1:]
	}
	// Editions share one array: what is added lies beyond what the earlier ones see.
	m.storeVersion(appendEncoded(lines, m.state.changes[len(m.state.changes)-1]))
}

// appendLine encodes a change behind those before it.
func appendEncoded(lines []encodedChange, c Change) []encodedChange {
	l := encodeChange(c)
	l.cumulativeBytes = uint64(len(l.chunk))
	if n := len(lines); n > 0 {
		l.cumulativeBytes += lines[n-1].cumulativeBytes
	}
	return append(lines, l)
}

func encodeChange(c Change) encodedChange {
	text, err := json.Marshal(message{Generation: c.Generation, Instances: c.Entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err)) // checked when it was registered
	}
	return encodedChange{generation: c.Generation, chunk: httpChunk(append(text, '\n'))}
}

// begin encodes all changes of a state that came whole. Called under the mutex.
func (m *fsm) publishRestored() {
	m.restoreCount++
	var lines []encodedChange
	for _, c := range m.state.changes {
		lines = appendEncoded(lines, c)
	}
	m.storeVersion(lines)
}

// edit makes the next edition. Called under the mutex.
func (m *fsm) storeVersion(lines []encodedChange) {
	m.published.Store(&publishedVersion{m.state.Generation(), lines, m.published.Load().updated})
	select {
	case m.publishedSignal <- struct{}{}:
	default:
	}
}

// herald wakes the watches until ctx ends: at once for a change after a pause, and once in a
// while where one follows another, so that those go to each watch together.
func (m *fsm) runNotifier(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.publishedSignal:
		}
		m.mu.Lock()
		e := *m.published.Load()
		more := e.updated
		e.updated = make(chan struct{})
		m.published.Store(&e)
		m.mu.Unlock()
		close(more)
		select {
		case <-ctx.Done():
			return
		case <-time.After(notifyInterval):
		}
	}
}

// list is the whole list as it stands.
func (m *fsm) currentList() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(w encodedList, st *State) bool { return w.generation == st.Generation() })
}

// listForWatch is the whole list as a watch may begin with it: an earlier one, where the changes
// since are kept and few.
func (m *fsm) listForWatch() encodedList {
	m.encodeMu.Lock()
	defer m.encodeMu.Unlock()
	return m.encodeList(func(w encodedList, _ *State) bool {
		since, ok := m.published.Load().changesSince(w.generation)
		if !ok {
			return false
		}
		var behind uint64
		if n := len(since); n > 0 {
			behind = since[n-1].cumulativeBytes - since[0].cumulativeBytes + uint64(len(since[0].chunk))
		}
		return float64(behind) <= maxCachedListLag*float64(len(w.chunk))
	})
}

// encodeWhole returns the list that was encoded last if it will do, or encodes it anew. Only the
// copy of the entries holds changes up. Called with encoding held.
func (m *fsm) encodeList(willDo func(encodedList, *State) bool) encodedList {
	m.mu.Lock()
	if m.cachedList.chunk != nil && m.cachedList.restoreCount == m.restoreCount && willDo(m.cachedList, m.state) {
		m.mu.Unlock()
		return m.cachedList
	}
	generation, life, entries := m.state.Generation(), m.restoreCount, m.state.entries()
	m.mu.Unlock()
	sortEntries(entries)
	text, err := json.Marshal(message{Generation: generation, Reset: true, Instances: entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err))
	}
	m.cachedList = encodedList{generation, life, httpChunk(append(text, '\n'))}
	return m.cachedList
}

// after returns the changes after a generation, oldest first; ok is false where they are not
// known, or the generation is not of this list.
func (e *publishedVersion) changesSince(from uint64) (since []encodedChange, ok bool) {
	switch {
	case from == e.generation:
		return nil, true
	case from == 0 || from > e.generation || from>>epochBits != e.generation>>epochBits || len(e.changes) == 0 || from < e.changes[0].generation-1:
		return nil, false
	}
	return e.changes[from-(e.changes[0].generation-1):], true
}

// alreadyMore is the sign for a watch that has more to read at once.
var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// reading is what a watch gets that holds a generation.
type watchRead struct {
	chunks      [][]byte      // to be written, in order; their bytes are shared, not to be changed
	generation  uint64        // the generation after them
	readerAhead bool          // the reader is ahead of this replica
	updated     chan struct{} // closed when there is more
}

// since is what has changed after a generation, up to mostAtOnce changes of it, or the whole list
// where that is not known. A reader that is ahead gets nothing.
func (m *fsm) readSince(from uint64) watchRead {
	e := m.published.Load()
	switch {
	case from == e.generation && from != 0:
		return watchRead{generation: from, updated: e.updated}
	case from > e.generation:
		return watchRead{generation: e.generation, updated: e.updated, readerAhead: true}
	}
	lines, ok := e.changesSince(from)
	if !ok || from == 0 {
		whole := m.listForWatch()
		r := watchRead{chunks: [][]byte{whole.chunk}, generation: whole.generation, updated: e.updated} // more is older: a change in between is read next
		if whole.generation < e.generation {
			r.updated = closedChannel
		}
		return r
	}
	r := watchRead{generation: e.generation, updated: e.updated}
	if len(lines) > maxChangesPerRead {
		lines = lines[:maxChangesPerRead]
		r.generation, r.updated = lines[maxChangesPerRead-1].generation, closedChannel
	}
	r.chunks = make([][]byte, 0, len(lines))
	for _, l := range lines {
		r.chunks = append(r.chunks, l.chunk)
	}
	return r
}

func (m *fsm) generation() uint64 { return m.published.Load().generation }

// read runs f on the state.
func (m *fsm) withState(f func(*State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// Snapshot implements raft.FSM. It copies the state; Persist writes it down while the list
// goes on.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fsmSnapshot(m.state.snapshot()), nil
}

// Restore implements raft.FSM.
func (m *fsm) Restore(in io.ReadCloser) error {
	defer in.Close()
	var s State
	if err := json.NewDecoder(in).Decode(&s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = &s
	m.publishRestored()
	return nil
}

// snapshot is a state that is to be written down.
type fsmSnapshot stateSnapshot

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	text, err := stateSnapshot(s).encode()
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
func (s fsmSnapshot) Release() {}
