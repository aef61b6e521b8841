package registry

import (
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// MaxEntries is the maximum number of entries. It limits the memory of a replica and the size of snapshots
// and of the full list, even if clients never stop registering new instances.
const MaxEntries = 1 << 18

// Bounds of the history in a state. A zone of 13,333 instances may be lost within one second, with one
// change for each instance. The history must retain all of these changes, even for a watch that has just
// taken minutes to read the full list: a watch that does not find its next change is sent the full list.
const (
	maxTombstones = 1 << 16
	maxChanges    = 1 << 15
)

// epochBits is the number of bits of a generation below its epoch.
const epochBits = discovery.EpochBits

// MaxEpoch is the largest epoch for which generations stay below 2^53.
const MaxEpoch = 1<<21 - 1

// record is an entry with its incarnation and lease.
type record struct {
	Entry       Entry         `json:"entry"`
	Incarnation uint64        `json:"incarnation"`
	Lease       time.Duration `json:"lease"`
	Changed     uint64        `json:"changed"` // generation of the last change to the entry
}

// tombstone records the incarnation of a removed entry.
type tombstone struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Change contains the entries that one generation changed.
type Change struct {
	Generation uint64  `json:"generation"`
	Entries    []Entry `json:"entries"`
}

// State is the replicated list, as a deterministic state machine. It is not safe for concurrent use.
type State struct {
	epoch          uint64
	changeCount    uint64 // number of changes in this epoch
	records        map[string]*record
	instanceByAddr map[string]string // instance ID by host and port
	tombstones     map[string]uint64 // incarnation of removed entries, by instance ID
	tombstoneOrder []tombstone       // tombstones, oldest first
	changes        []Change          // most recent changes, oldest first
}

// NewState returns an empty list in the given epoch.
func NewState(epoch uint64) *State {
	return &State{
		epoch:          epoch,
		records:        map[string]*record{},
		instanceByAddr: map[string]string{},
		tombstones:     map[string]uint64{},
	}
}

// Apply executes a command. It is deterministic: the same command turns equal states into equal states. The
// outcome's code is Done if and only if the generation has grown.
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
	return s.outcome(Invalid, "kind: got %q, must be register, drain, remove, expire or load", c.Kind)
}

func (s *State) outcome(code Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Generation: s.Generation(), Message: fmt.Sprintf(format, args...)}
}

// appendChange records the changed entries as the next generation.
func (s *State) appendChange(entries ...Entry) Outcome {
	s.changeCount++
	generation := s.Generation()
	for _, e := range entries {
		if r := s.records[e.ID]; r != nil {
			r.Changed = generation
		}
	}
	if len(s.changes) == maxChanges {
		s.changes = s.changes[1:] // append reallocates the array about once per maxChanges/4 changes
	}
	s.changes = append(s.changes, Change{generation, entries})
	return Outcome{Code: Done, Generation: generation}
}

func (s *State) register(c Command) Outcome {
	if rejection := s.checkRegistration(c); rejection != nil {
		return *rejection
	}
	e := c.Entry
	if earlier := s.records[e.ID]; earlier != nil {
		delete(s.instanceByAddr, earlier.Entry.Addr)
	}
	s.records[e.ID] = &record{Entry: e, Incarnation: c.Incarnation, Lease: c.Lease}
	s.instanceByAddr[e.Addr] = e.ID
	return s.appendChange(e)
}

// checkRegistration returns the outcome of a registration that changes nothing, or nil if the registration is
// to be executed.
func (s *State) checkRegistration(c Command) *Outcome {
	e := c.Entry
	rejection := func(code Code, format string, args ...any) *Outcome {
		o := s.outcome(code, format, args...)
		return &o
	}
	if err := ValidateRegistration(c); err != nil {
		return rejection(Invalid, "%v", err)
	}
	if removed := s.tombstones[e.ID]; c.Incarnation <= removed {
		return rejection(StaleIncarnation, "%s: got incarnation %d, must be above the removed incarnation %d",
			e.ID, c.Incarnation, removed)
	}
	r := s.records[e.ID]
	if r != nil && c.Incarnation < r.Incarnation {
		return rejection(StaleIncarnation, "%s: incarnation %d is registered", e.ID, r.Incarnation)
	}
	if r != nil && c.Incarnation == r.Incarnation {
		if r.registeredBy(c) {
			return rejection(Unchanged, "")
		}
		return rejection(RegistrationConflict, "%s: incarnation %d is registered otherwise; register changes under a larger one",
			e.ID, c.Incarnation)
	}
	if other, used := s.instanceByAddr[e.Addr]; used && other != e.ID {
		return rejection(AddressConflict, "hostPort: %s belongs to %s", e.Addr, other)
	}
	if r == nil && len(s.records) >= MaxEntries {
		return rejection(ListFull, "the list is full: %d entries is the maximum", MaxEntries)
	}
	return nil
}

// registeredBy reports whether the command created the record. It ignores the lifecycle, since the instance
// may have been drained after the registration.
func (r *record) registeredBy(c Command) bool {
	registered := r.Entry
	registered.Lifecycle = c.Entry.Lifecycle
	return registered == c.Entry && r.Lease == c.Lease
}

// findRecord returns the record that a Drain or Remove command refers to. If ok is false, the rejection is
// the outcome of the command.
func (s *State) findRecord(c Command) (r *record, rejection Outcome, ok bool) {
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
	r, rejection, ok := s.findRecord(c)
	if !ok {
		return rejection
	}
	if r.Entry.Lifecycle == Draining {
		return s.outcome(Unchanged, "")
	}
	r.Entry.Lifecycle = Draining
	return s.appendChange(r.Entry)
}

func (s *State) remove(c Command) Outcome {
	r, rejection, ok := s.findRecord(c)
	if !ok {
		return rejection
	}
	return s.appendChange(s.removeRecord(r))
}

// expire removes the entries whose leases have expired, all in one generation. It keeps an entry that has a
// newer incarnation by now, or no lease.
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
	return s.appendChange(removed...)
}

// removeRecord removes a record from the list, adds a tombstone, and returns the entry that announces the
// removal to readers.
func (s *State) removeRecord(r *record) Entry {
	e := r.Entry
	delete(s.records, e.ID)
	delete(s.instanceByAddr, e.Addr)
	s.addTombstone(tombstone{e.ID, r.Incarnation})
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

// load replaces the state with a restored one, if the list has never been changed.
func (s *State) load(c Command) Outcome {
	switch {
	case c.Snapshot == nil || c.Snapshot.Epoch() == 0:
		return s.outcome(Invalid, "image: must be present and in an epoch above 0")
	case s.Generation() == c.Snapshot.Generation():
		return s.outcome(Unchanged, "")
	case s.Generation() != 0:
		return s.outcome(RegistrationConflict, "generation: got %d, must be 0; a backup can only be loaded into a new list", s.Generation())
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
