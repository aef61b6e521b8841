package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// fsm is the Raft state machine. It holds the state and the encoded data for readers: each change is encoded
// once for all watches, and the full list once for many watches. The published version is atomic, since all
// watches read it at each change and would contend for a lock.
type fsm struct {
	mu           sync.Mutex
	state        *State
	restoreCount uint64                 // number of times that a snapshot or a backup replaced the state
	onChange     func(Command, Outcome) // called for each command that changed the list, with mu held

	published       atomic.Pointer[publishedVersion]
	publishedSignal chan struct{} // wakes the notifier

	encodeMu   sync.Mutex  // held while the full list is encoded; acquired before mu
	cachedList encodedList // most recently encoded list
}

// newFSM returns a state machine with an empty list in epoch 0. onChange is called for each command that
// changed the list, with the FSM's mutex held.
func newFSM(onChange func(Command, Outcome)) *fsm {
	m := &fsm{state: NewState(0), onChange: onChange, publishedSignal: make(chan struct{}, 1)}
	m.published.Store(&publishedVersion{updated: make(chan struct{})})
	return m
}

// Apply implements raft.FSM; it returns an [Outcome]. A log entry that cannot be decoded is skipped, on every
// replica alike.
func (m *fsm) Apply(entry *raft.Log) any {
	var c Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return Outcome{Code: Invalid, Message: fmt.Sprintf("command: %v", err)}
	}
	if c.Kind == Expire && c.Term != entry.Term {
		// Another leader was elected after these leases were found to have expired, and may have accepted
		// renewals.
		return Outcome{Code: StaleIncarnation, Message: fmt.Sprintf("term: got %d, must be %d, the term of the log entry", c.Term, entry.Term)}
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

// Snapshot implements raft.FSM. It copies the state, so that Persist can encode it while the list changes.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fsmSnapshot(m.state.snapshot()), nil
}

// Restore implements raft.FSM.
func (m *fsm) Restore(in io.ReadCloser) error {
	defer func() { _ = in.Close() }() // closing a file that was only read loses no data
	var restored State
	if err := json.NewDecoder(in).Decode(&restored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = &restored
	m.publishRestored()
	return nil
}

// withState calls f with the mutex held. f may read the state until it returns.
func (m *fsm) withState(f func(*State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// generation returns the latest generation that watches can read.
func (m *fsm) generation() uint64 { return m.published.Load().generation }

// fsmSnapshot is a copy of the state, to be written as a snapshot.
type fsmSnapshot stateSnapshot

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	text, err := stateSnapshot(s).encode()
	if err == nil {
		_, err = sink.Write(text)
	}
	if err != nil {
		_ = sink.Cancel() // the earlier error is returned
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s fsmSnapshot) Release() {}
