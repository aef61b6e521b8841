package registry

import (
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// MaxEntries bounds the memory of a replica, its snapshots and the full list that a watch may be sent, against clients
// that register without end.
const MaxEntries = 1 << 18

// Bounds of the history that a state keeps. A zone of 13,333 instances may be lost within a second, one change for
// each: a watch must find all of them, or every watch is sent the full list. So must a watch that has just taken
// minutes to read the full list.
const (
	maxTombstones = 1 << 16
	maxChanges    = 1 << 15
)

// epochBits is the position of the epoch in a generation.
const epochBits = discovery.EpochBits

// MaxEpoch keeps generations below 2^53.
const MaxEpoch = 1<<21 - 1

// record is an entry with its incarnation and lease.
type record struct {
	Entry       Entry         `json:"entry"`
	Incarnation uint64        `json:"incarnation"`
	Lease       time.Duration `json:"lease"`
	Changed     uint64        `json:"changed"` // generation of its last change
}

// tombstone is the incarnation of a removed entry.
type tombstone struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Change is the entries that one generation changed.
type Change struct {
	Generation uint64  `json:"generation"`
	Entries    []Entry `json:"entries"`
}

// State is the replicated list. It is not safe for concurrent use.
type State struct {
	epoch          uint64
	changeCount    uint64 // in this epoch
	records        map[string]*record
	instanceByAddr map[string]string
	tombstones     map[string]uint64 // incarnation of removed entries
	tombstoneOrder []tombstone       // oldest first
	changes        []Change          // the latest ones, oldest first
}

// NewState returns an empty list in an epoch.
func NewState(epoch uint64) *State {
	return &State{
		epoch:          epoch,
		records:        map[string]*record{},
		instanceByAddr: map[string]string{},
		tombstones:     map[string]uint64{},
	}
}

// Apply carries out a command. It is deterministic: equal states are equal after the same command. The outcome's code
// is Done exactly where the generation has grown.
func (s *State) Apply(c Command) Outcome {
	switch c.Kind {
	case Register:
		return s.register(c)
	case Drain:
		return s.drain(c)
	case Remove:
		return s.remove(c)
	case Expire:
		return s.expire(c)
	case Load:
		return s.load(c)
	}
	return s.outcome(Invalid, "kind: %q is none of register, drain, remove, expire, load", c.Kind)
}

func (s *State) outcome(code Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Generation: s.Generation(), Message: fmt.Sprintf(format, args...)}
}

// commit makes the changed entries the next generation.
func (s *State) commit(entries ...Entry) Outcome {
	s.changeCount++
	generation := s.Generation()
	for _, e := range entries {
		if r := s.records[e.InstanceID]; r != nil {
			r.Changed = generation
		}
	}
	if len(s.changes) == maxChanges {
		s.changes = s.changes[1:] // the array moves in append, once in maxChanges changes
	}
	s.changes = append(s.changes, Change{generation, entries})
	return Outcome{Code: Done, Generation: generation}
}

func (s *State) register(c Command) Outcome {
	if refusal := s.refuseRegistration(c); refusal != nil {
		return *refusal
	}
	e := c.Entry
	if earlier := s.records[e.InstanceID]; earlier != nil {
		delete(s.instanceByAddr, earlier.Entry.HostPort)
	}
	s.records[e.InstanceID] = &record{Entry: e, Incarnation: c.Incarnation, Lease: c.Lease}
	s.instanceByAddr[e.HostPort] = e.InstanceID
	return s.commit(e)
}

// refuseRegistration returns the outcome of a registration that changes nothing, nil where it is to be carried out.
func (s *State) refuseRegistration(c Command) *Outcome {
	e := c.Entry
	refusal := func(code Code, format string, args ...any) *Outcome {
		o := s.outcome(code, format, args...)
		return &o
	}
	if err := ValidateRegistration(c); err != nil {
		return refusal(Invalid, "%v", err)
	}
	if removed := s.tombstones[e.InstanceID]; c.Incarnation <= removed {
		return refusal(StaleIncarnation, "%s: incarnation %d is gone since; a larger one than %d is wanted",
			e.InstanceID, c.Incarnation, removed)
	}
	r := s.records[e.InstanceID]
	if r != nil && c.Incarnation < r.Incarnation {
		return refusal(StaleIncarnation, "%s: incarnation %d is registered", e.InstanceID, r.Incarnation)
	}
	if r != nil && c.Incarnation == r.Incarnation {
		if r.registeredBy(c) {
			return refusal(Unchanged, "")
		}
		return refusal(RegistrationConflict, "%s: incarnation %d is registered otherwise; register changes under a larger one",
			e.InstanceID, c.Incarnation)
	}
	if other, used := s.instanceByAddr[e.HostPort]; used && other != e.InstanceID {
		return refusal(AddressConflict, "hostPort: %s belongs to %s", e.HostPort, other)
	}
	if r == nil && len(s.records) >= MaxEntries {
		return refusal(ListFull, "the list holds %d entries, the most there can be", MaxEntries)
	}
	return nil
}

// registeredBy reports whether the command is the one that made the record. The record may have been drained since.
func (r *record) registeredBy(c Command) bool {
	registered := r.Entry
	registered.Lifecycle = c.Entry.Lifecycle
	return registered == c.Entry && r.Lease == c.Lease
}

// findRecord returns the record that a Drain or Remove command is about; where ok is false, the outcome says why there
// is none.
func (s *State) findRecord(c Command) (r *record, refusal Outcome, ok bool) {
	r = s.records[c.ID]
	switch {
	case r == nil && c.Incarnation > 0 && c.Incarnation <= s.tombstones[c.ID]:
		return nil, s.outcome(Unchanged, "%s: gone already", c.ID), false
	case r == nil:
		return nil, s.outcome(NotFound, "%s: no such instance", c.ID), false
	case c.Incarnation > 0 && c.Incarnation < r.Incarnation:
		return nil, s.outcome(StaleIncarnation, "%s: incarnation %d is registered", c.ID, r.Incarnation), false
	case c.Incarnation > r.Incarnation:
		return nil, s.outcome(NotFound, "%s: incarnation %d is not registered", c.ID, c.Incarnation), false
	}
	return r, Outcome{}, true
}

func (s *State) drain(c Command) Outcome {
	r, refusal, ok := s.findRecord(c)
	if !ok {
		return refusal
	}
	if r.Entry.Lifecycle == Draining {
		return s.outcome(Unchanged, "")
	}
	r.Entry.Lifecycle = Draining
	return s.commit(r.Entry)
}

func (s *State) remove(c Command) Outcome {
	r, refusal, ok := s.findRecord(c)
	if !ok {
		return refusal
	}
	return s.commit(s.removeRecord(r))
}

// expire removes the entries whose leases have expired, all in one generation. An entry that has a newer incarnation
// by now, or no lease, stays.
func (s *State) expire(c Command) Outcome {
	var removed []Entry
	for _, ref := range c.Expired {
		if r := s.records[ref.ID]; r != nil && r.Incarnation == ref.Incarnation && r.Lease > 0 {
			removed = append(removed, s.removeRecord(r))
		}
	}
	if len(removed) == 0 {
		return s.outcome(Unchanged, "")
	}
	return s.commit(removed...)
}

// removeRecord takes a record out of the list, leaves a tombstone, and returns the entry that announces the removal.
func (s *State) removeRecord(r *record) Entry {
	e := r.Entry
	delete(s.records, e.InstanceID)
	delete(s.instanceByAddr, e.HostPort)
	s.addTombstone(tombstone{e.InstanceID, r.Incarnation})
	e.Lifecycle = Removed
	return e
}

func (s *State) addTombstone(t tombstone) {
	s.tombstones[t.ID] = t.Incarnation
	s.tombstoneOrder = append(s.tombstoneOrder, t)
	for len(s.tombstoneOrder) > maxTombstones {
		oldest := s.tombstoneOrder[0]
		if s.tombstones[oldest.ID] == oldest.Incarnation {
			delete(s.tombstones, oldest.ID)
		}
		s.tombstoneOrder = s.tombstoneOrder[1:]
	}
}

// load replaces a list to which nothing has been written yet with a restored state.
func (s *State) load(c Command) Outcome {
	switch {
	case c.Snapshot == nil || c.Snapshot.Epoch() == 0:
		return s.outcome(Invalid, "image: is missing or in no epoch of its own")
	case s.Generation() == c.Snapshot.Generation():
		return s.outcome(Unchanged, "")
	case s.Generation() != 0:
		return s.outcome(RegistrationConflict, "the list has been written to: a backup is loaded into a new one")
	}
	text, err := c.Snapshot.MarshalJSON()
	if err != nil {
		return s.outcome(Invalid, "image: %v", err)
	}
	if err := s.UnmarshalJSON(text); err != nil {
		return s.outcome(Invalid, "image: %v", err)
	}
	return Outcome{Code: Done, Generation: s.Generation()}
}
