package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"mulleinmux/internal/discovery"
)

// machine is the state behind the replicated log, with what readers of it need: each change
// encoded once for all watches, the whole list encoded once for each generation.
type machine struct {
	mu    sync.Mutex
	state *State
	whole []byte                 // the whole list as one line, nil until wanted
	first []byte                 // the same as a chunk, for watches
	taken func(Command, Outcome) // told of each change, under the mutex

	latest  atomic.Pointer[edition] // read by every watch at each change: by a lock they would wait for one another
	changed chan struct{}           // there is news for herald
}

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
}

// chunk frames a line for a watch.
func chunk(text []byte) []byte {
	var b bytes.Buffer
	httputil.NewChunkedWriter(&b).Write(text) // to memory: it can't fail
	return b.Bytes()
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
	m.edit(append(lines, encodeLine(m.state.changes[len(m.state.changes)-1])))
}

func encodeLine(c Change) line {
	text, err := json.Marshal(message{Generation: c.Generation, Instances: c.Entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err)) // checked when it was registered
	}
	return line{c.Generation, chunk(append(text, '\n'))}
}

// begin encodes all changes of a state that came whole. Called under the mutex.
func (m *machine) begin() {
	var lines []line
	for _, c := range m.state.changes {
		lines = append(lines, encodeLine(c))
	}
	m.edit(lines)
}

// edit makes the next edition. Called under the mutex.
func (m *machine) edit(lines []line) {
	m.whole = nil
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

// all is the whole list, as one line and as a chunk, and its generation.
func (m *machine) all() (whole, first []byte, generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.whole == nil {
		text, err := json.Marshal(message{Generation: m.state.Generation(), Reset: true, Instances: m.state.List()})
		if err != nil {
			panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err))
		}
		m.whole = append(text, '\n')
		m.first = chunk(m.whole)
	}
	return m.whole, m.first, m.state.Generation()
}

// reading is what a watch gets that holds a generation.
type reading struct {
	chunks [][]byte      // to be written, in order; their bytes are shared, not to be changed
	at     uint64        // the generation after them
	ahead  bool          // the reader is ahead of this replica
	more   chan struct{} // closed when there is more
}

// since is what has changed after a generation, or the whole list where that is not known. A
// reader that is ahead gets nothing.
func (m *machine) since(from uint64) reading {
	e := m.latest.Load()
	now := e.generation
	r := reading{at: now, more: e.more}
	switch {
	case from == now && from != 0:
		return r
	case from > now:
		r.ahead = true
		return r
	}
	if n := len(e.lines); from != 0 && n > 0 && from>>epochBits == now>>epochBits && from >= e.lines[0].generation-1 {
		for _, l := range e.lines[from-(e.lines[0].generation-1):] {
			r.chunks = append(r.chunks, l.chunk)
		}
		return r
	}
	_, first, at := m.all()
	r.chunks, r.at = [][]byte{first}, at // more is older: a change in between is read next
	return r
}

func (m *machine) generation() uint64 { return m.latest.Load().generation }

// read runs f on the state.
func (m *machine) read(f func(*State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := json.Marshal(m.state)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot(text), nil
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

// snapshot is a state that was written down.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s snapshot) Release() {}
