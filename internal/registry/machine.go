package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// machine is the state behind the replicated log, with what readers of it need: each change
// encoded once for all watches, the whole list encoded once for each generation.
type machine struct {
	mu    sync.Mutex
	state *State
	lines []line // the changes that are kept, oldest first
	whole []byte // the whole list as one line, nil until wanted
	more  chan struct{}
	taken func(Command, Outcome) // told of each change, under the mutex
}

// line is one generation as a watch writes it.
type line struct {
	generation uint64
	text       []byte
}

// message is one message of the platform's discovery.
type message struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

func newMachine(taken func(Command, Outcome)) *machine {
	return &machine{state: NewState(0), more: make(chan struct{}), taken: taken}
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

// publish encodes the latest change and wakes the watches. Called under the mutex.
func (m *machine) publish() {
	c := m.state.changes[len(m.state.changes)-1]
	if len(m.lines) == changesKept {
		m.lines = append(m.lines[:0], m.lines[1:]...)
	}
	m.lines = append(m.lines, encodeLine(c))
	m.wake()
}

func encodeLine(c Change) line {
	text, err := json.Marshal(message{Generation: c.Generation, Instances: c.Entries})
	if err != nil {
		panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err)) // checked when it was registered
	}
	return line{c.Generation, append(text, '\n')}
}

// begin encodes all changes of a state that came whole. Called under the mutex.
func (m *machine) begin() {
	m.lines = nil
	for _, c := range m.state.changes {
		m.lines = append(m.lines, encodeLine(c))
	}
	m.wake()
}

func (m *machine) wake() {
	m.whole = nil
	close(m.more)
	m.more = make(chan struct{})
}

// all is the whole list as one line and its generation.
func (m *machine) all() ([]byte, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.whole == nil {
		text, err := json.Marshal(message{Generation: m.state.Generation(), Reset: true, Instances: m.state.List()})
		if err != nil {
			panic(fmt.Sprintf("registry: an entry that was taken can't be written: %v", err))
		}
		m.whole = append(text, '\n')
	}
	return m.whole, m.state.Generation()
}

// reading is what a watch gets that holds a generation.
type reading struct {
	lines [][]byte      // to be written, in order; shared, not to be changed
	at    uint64        // the generation after them
	ahead bool          // the reader is ahead of this replica
	more  chan struct{} // closed at the next change
}

// since is what has changed after a generation, or the whole list where that is not known. A
// reader that is ahead gets nothing.
func (m *machine) since(from uint64) reading {
	m.mu.Lock()
	now, more := m.state.Generation(), m.more
	r := reading{at: now, more: more}
	switch {
	case from == now && from != 0:
		m.mu.Unlock()
		return r
	case from > now:
		m.mu.Unlock()
		r.ahead = true
		return r
	}
	if n := len(m.lines); from != 0 && n > 0 && from>>epochBits == now>>epochBits && from >= m.lines[0].generation-1 {
		for _, l := range m.lines[from-(m.lines[0].generation-1):] {
			r.lines = append(r.lines, l.text)
		}
		m.mu.Unlock()
		return r
	}
	m.mu.Unlock()
	whole, at := m.all()
	r.lines, r.at = [][]byte{whole}, at // more is older: a change in between is read next
	return r
}

func (m *machine) generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Generation()
}

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
