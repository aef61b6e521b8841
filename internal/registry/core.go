// Package registry is the list service: which app servers there are, replicated, durable and
// versioned, told to watches as the platform's discovery protocol has it.
//
// # Rooms
//
// The core is pure. [State] is the state machine behind the replicated log: commands in, an
// [Outcome] out, no clock, no socket, no map order in what it yields. [Leases] is what the
// leader alone keeps: who renewed when, by the leader's own monotonic clock, and which entries
// have run out; what it decides goes through the log as a command like any other.
//
// # Versions
//
// Every command that changes something is one generation. A generation names one state, for
// ever: it is the epoch times 2^32 plus the changes since the epoch's start. A state that was
// restored from a backup begins a new epoch, so that it can't name by an old number what it
// never was. Generations stay below 2^53 and so are exact in any JSON reader.
//
// # Incarnations
//
// An entry belongs to one incarnation of its instance, a number that grows with each start of
// it. What an older incarnation says late never touches a newer one: a removed entry leaves a
// tombstone with its incarnation behind. Every command may be sent again when its answer was
// lost: done twice, it is done once.
package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"opalhook/internal/discovery"
)

// Lifecycles of an entry.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Entry is an app server in the form of the platform's protocol.
type Entry = discovery.Entry

// Bounds on what an entry may hold.
const (
	maxIDLength    = 128
	maxNameLength  = 64
	maxWeight      = 1e6
	maxCell        = 1 << 30
	maxStartedAtMs = 1 << 52
	MaxLease       = 24 * time.Hour
	MinLease       = time.Second
)

// MostEntries bounds the memory of a replica, its snapshots and the whole list that a watch may
// be told, against clients that register without end.
const MaxEntries = 1 << 18

// Kinds of commands.
const (
	Register = "register"
	Drain    = "drain"
	Remove   = "remove"
	Expire   = "expire"
	Load     = "load" // the first command of a list that was restored from a backup
)

// Command is one change to the list.
type Command struct {
	Kind        string        `json:"kind"`
	Entry       Entry         `json:"entry,omitzero"`        // of register
	ID          string        `json:"id,omitempty"`          // of drain and remove
	Incarnation uint64        `json:"incarnation,omitempty"` // 0 with drain and remove: whichever is there
	Lease       time.Duration `json:"lease,omitempty"`       // of register; 0: the entry stays until it is removed
	Expired     []InstanceRef `json:"expired,omitempty"`     // of expire
	Term        uint64        `json:"term,omitempty"`        // of expire: the leadership that found them run out
	Snapshot    *State        `json:"image,omitempty"`       // of load
}

// Owner is an incarnation of an instance.
type InstanceRef struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Code says how a command came out.
type Code string

// Codes of outcomes.
const (
	Done                 Code = "done"     // the list has changed
	Unchanged            Code = "same"     // the list already was so
	StaleIncarnation     Code = "stale"    // a newer incarnation is there or was
	NotFound             Code = "missing"  // no such instance
	AddressConflict      Code = "taken"    // the address belongs to another instance
	RegistrationConflict Code = "conflict" // the same incarnation was registered otherwise
	Invalid              Code = "invalid"  // the command can't be
	ListFull             Code = "too-many" // the list is full
	Unavailable          Code = "later"    // not done: the service can't now
	OutcomeUnknown       Code = "unknown"  // it may have been done, or may be yet
)

// Outcome is the result of a command.
type Outcome struct {
	Code       Code   `json:"code"`
	Generation uint64 `json:"generation"` // of the list after it
	Message    string `json:"message,omitempty"`
}

// record is an entry with its owner.
type record struct {
	Entry       Entry         `json:"entry"`
	Incarnation uint64        `json:"incarnation"`
	Lease       time.Duration `json:"lease"`
	Changed     uint64        `json:"changed"` // generation of its last change
}

// tombstone remembers the incarnation of an entry that is gone.
type tombstone struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Change is one generation: the entries that it changed.
type Change struct {
	Generation uint64  `json:"generation"`
	Entries    []Entry `json:"entries"`
}

// Bounds on what a state remembers of the past, against a list that changes without end. A zone
// of 13,333 instances may be lost within a second, one change for each: a watch must find them
// all, or each watch is sent the whole list. So must one that has just taken minutes over it.
const (
	maxTombstones = 1 << 16
	maxChanges    = 1 << 15
)

// State is the replicated list. It is not safe for concurrent use.
type State struct {
	epoch          uint64
	changeCount    uint64 // changes in the epoch
	records        map[string]*record
	instanceByAddr map[string]string // address to the instance that has it
	tombstones     map[string]uint64 // incarnation of removed entries
	tombstoneOrder []tombstone       // oldest first
	changes        []Change          // the latest, oldest first
}

// epochBits is where the epoch begins in a generation.
const epochBits = discovery.EpochBits

// MostEpoch keeps generations below 2^53.
const MaxEpoch = 1<<21 - 1

// NewState returns an empty list in an epoch.
func NewState(epoch uint64) *State {
	return &State{epoch: epoch, records: map[string]*record{}, instanceByAddr: map[string]string{}, tombstones: map[string]uint64{}}
}

// Generation is the version of the list. Only an empty list in epoch 0 has version 0.
func (s *State) Generation() uint64 { return s.epoch<<epochBits | s.changeCount }

// Epoch is the life that the state is in.
func (s *State) Epoch() uint64 { return s.epoch }

// Len is the number of entries.
func (s *State) Len() int { return len(s.records) }

// Apply carries out a command. It is deterministic: two states that were the same are the same
// after it.
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

// load takes a restored state over, where nothing has been written yet.
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

func (s *State) outcome(code Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Generation: s.Generation(), Message: fmt.Sprintf(format, args...)}
}

// commit makes entries the next generation.
func (s *State) commit(entries ...Entry) Outcome {
	s.changeCount++
	g := s.Generation()
	for _, e := range entries {
		if r := s.records[e.InstanceID]; r != nil {
			r.Changed = g
		}
	}
	if len(s.changes) == maxChanges {
		s.changes = s.changes[1:] // append moves them, once for as many changes as are kept
	}
	s.changes = append(s.changes, Change{g, entries})
	return Outcome{Code: Done, Generation: g}
}

func (s *State) register(c Command) Outcome {
	e := c.Entry
	if err := CheckRegister(c); err != nil {
		return s.outcome(Invalid, "%v", err)
	}
	if at := s.tombstones[e.InstanceID]; c.Incarnation <= at {
		return s.outcome(StaleIncarnation, "%s: incarnation %d is gone since; a larger one than %d is wanted", e.InstanceID, c.Incarnation, at)
	}
	r := s.records[e.InstanceID]
	if r != nil && c.Incarnation < r.Incarnation {
		return s.outcome(StaleIncarnation, "%s: incarnation %d is registered", e.InstanceID, r.Incarnation)
	}
	if r != nil && c.Incarnation == r.Incarnation {
		was := r.Entry
		was.Lifecycle = e.Lifecycle // a drain since then stays
		if was == e && r.Lease == c.Lease {
			return s.outcome(Unchanged, "")
		}
		return s.outcome(RegistrationConflict, "%s: incarnation %d is registered otherwise; register changes under a larger one", e.InstanceID, c.Incarnation)
	}
	if other, taken := s.instanceByAddr[e.HostPort]; taken && other != e.InstanceID {
		return s.outcome(AddressConflict, "hostPort: %s belongs to %s", e.HostPort, other)
	}
	if r == nil && len(s.records) >= MaxEntries {
		return s.outcome(ListFull, "the list holds %d entries, the most there can be", MaxEntries)
	}
	if r != nil {
		delete(s.instanceByAddr, r.Entry.HostPort)
	}
	s.records[e.InstanceID] = &record{Entry: e, Incarnation: c.Incarnation, Lease: c.Lease}
	s.instanceByAddr[e.HostPort] = e.InstanceID
	return s.commit(e)
}

// owned finds the record that a command is about; ok is false where the outcome says why not.
func (s *State) findRecord(c Command) (r *record, o Outcome, ok bool) {
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
	r, o, ok := s.findRecord(c)
	if !ok {
		return o
	}
	if r.Entry.Lifecycle == Draining {
		return s.outcome(Unchanged, "")
	}
	r.Entry.Lifecycle = Draining
	return s.commit(r.Entry)
}

func (s *State) remove(c Command) Outcome {
	r, o, ok := s.findRecord(c)
	if !ok {
		return o
	}
	return s.commit(s.removeRecord(r))
}

// bury takes a record out of the list and returns the entry that tells of it.
func (s *State) removeRecord(r *record) Entry {
	e := r.Entry
	delete(s.records, e.InstanceID)
	delete(s.instanceByAddr, e.HostPort)
	s.tombstones[e.InstanceID] = r.Incarnation
	s.tombstoneOrder = append(s.tombstoneOrder, tombstone{e.InstanceID, r.Incarnation})
	for len(s.tombstoneOrder) > maxTombstones {
		if old := s.tombstoneOrder[0]; s.tombstones[old.ID] == old.Incarnation {
			delete(s.tombstones, old.ID)
		}
		s.tombstoneOrder = s.tombstoneOrder[1:]
	}
	e.Lifecycle = Removed
	return e
}

// expire removes the entries that have run out, all in one generation. One that has a newer
// incarnation since, or no lease, stays.
func (s *State) expire(c Command) Outcome {
	var out []Entry
	for _, x := range c.Expired {
		if r := s.records[x.ID]; r != nil && r.Incarnation == x.Incarnation && r.Lease > 0 {
			out = append(out, s.removeRecord(r))
		}
	}
	if len(out) == 0 {
		return s.outcome(Unchanged, "")
	}
	return s.commit(out...)
}

// CheckRegister returns an error that names the field that can't be.
func CheckRegister(c Command) error {
	e := c.Entry
	word := func(field, v string, most int, empty bool) error {
		if v == "" && !empty {
			return fmt.Errorf("%s: is empty", field)
		}
		if len(v) > most {
			return fmt.Errorf("%s: %d bytes, %d are the most", field, len(v), most)
		}
		for _, b := range []byte(v) {
			if b <= ' ' || b > '~' || b == '"' || b == '\\' || b == '/' || b == '?' || b == '#' || b == '%' {
				return fmt.Errorf("%s: holds the byte %q; letters, digits and plain signs are wanted", field, b)
			}
		}
		return nil
	}
	if err := errors.Join(word("instanceId", e.InstanceID, maxIDLength, false), word("zone", e.Zone, maxNameLength, true), word("machineType", e.MachineType, maxNameLength, true)); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(e.HostPort); err != nil {
		return fmt.Errorf("hostPort: %q is no address with a port, such as 127.0.0.1:8080", truncate(e.HostPort))
	}
	switch {
	case e.Lifecycle != Up:
		return fmt.Errorf("lifecycle: %q; an instance registers as up", truncate(e.Lifecycle))
	case !(e.Weight >= 0 && e.Weight <= maxWeight):
		return fmt.Errorf("weight: %v is not from 0 to %v", e.Weight, maxWeight)
	case e.Cell < 0 || e.Cell > maxCell:
		return fmt.Errorf("cell: %d is not from 0 to %d", e.Cell, maxCell)
	case e.StartedAtMs < 0 || e.StartedAtMs > maxStartedAtMs:
		return fmt.Errorf("startedAtMs: %d is no Unix time in milliseconds", e.StartedAtMs)
	case c.Incarnation == 0 || c.Incarnation > math.MaxInt64:
		return fmt.Errorf("incarnation: %d; a number from 1 that grows with each start is wanted", c.Incarnation)
	case c.Lease != 0 && (c.Lease < MinLease || c.Lease > MaxLease):
		return fmt.Errorf("leaseMs: %v is neither 0 nor from %v to %v", c.Lease, MinLease, MaxLease)
	}
	return nil
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}

// List is the whole list, sorted by instance.
func (s *State) List() []Entry {
	out := s.entries()
	sortEntries(out)
	return out
}

// entries is the whole list in no order.
func (s *State) entries() []Entry {
	out := make([]Entry, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, r.Entry)
	}
	return out
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.InstanceID, b.InstanceID) })
}

// Since returns the changes after a generation, oldest first; ok is false where they are not
// known, or the generation is not of this list: then the whole list is wanted.
func (s *State) ChangesSince(generation uint64) (out []Change, ok bool) {
	now := s.Generation()
	if generation == now {
		return nil, true
	}
	if generation > now || generation>>epochBits != s.epoch {
		return nil, false
	}
	first := now - uint64(len(s.changes)) // the generation before the oldest change that is kept
	if generation < first {
		return nil, false
	}
	return s.changes[generation-first:], true
}

// Leased lists the entries that have a lease, sorted by instance.
func (s *State) Leases() []Lease {
	var out []Lease
	for _, r := range s.records {
		if r.Lease > 0 {
			out = append(out, Lease{InstanceRef{r.Entry.InstanceID, r.Incarnation}, r.Lease})
		}
	}
	slices.SortFunc(out, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// LeaseCount is the number of entries that have a lease.
func (s *State) LeaseCount() (n int) {
	for _, r := range s.records {
		n += b2i(r.Lease > 0)
	}
	return n
}

// Holds tells whether this incarnation is registered with a lease, and for how long it lasts.
func (s *State) LeaseTerm(o InstanceRef) (term time.Duration, code Code) {
	r := s.records[o.ID]
	switch {
	case r == nil && o.Incarnation <= s.tombstones[o.ID]:
		return 0, StaleIncarnation
	case r == nil || o.Incarnation > r.Incarnation:
		return 0, NotFound
	case o.Incarnation < r.Incarnation:
		return 0, StaleIncarnation
	}
	return r.Lease, Done
}

// Find returns the registration of an instance as it stands; ok is false where there is none.
func (s *State) Find(id string) (reg Registration, ok bool) {
	r := s.records[id]
	if r == nil {
		return Registration{}, false
	}
	return Registration{r.Entry, r.Incarnation, r.Lease.Milliseconds()}, true
}

// image is a state as a snapshot keeps it.
type stateSnapshot struct {
	Format     int         `json:"format"`
	Epoch      uint64      `json:"epoch"`
	Count      uint64      `json:"count"`
	Records    []record    `json:"records"`
	Tombstones []tombstone `json:"gone"`
	Changes    []Change    `json:"changes"`
}

// imageFormat is the version of the form; a reader refuses others.
const snapshotFormat = 1

// image copies the state, so that it can be written down while the state goes on. The entries of
// a change are shared: nothing alters them.
func (s *State) snapshot() stateSnapshot {
	im := stateSnapshot{Format: snapshotFormat, Epoch: s.epoch, Count: s.changeCount, Tombstones: slices.Clone(s.tombstoneOrder), Changes: slices.Clone(s.changes)}
	im.Records = make([]record, 0, len(s.records))
	for _, r := range s.records {
		im.Records = append(im.Records, *r)
	}
	return im
}

// encode writes the image in a form that depends on nothing but what it holds.
func (im stateSnapshot) encode() ([]byte, error) {
	slices.SortFunc(im.Records, func(a, b record) int { return cmp.Compare(a.Entry.InstanceID, b.Entry.InstanceID) })
	return json.Marshal(im)
}

// MarshalJSON writes the state in a form that depends on nothing but what it holds.
func (s *State) MarshalJSON() ([]byte, error) { return s.snapshot().encode() }

// UnmarshalJSON takes the state that MarshalJSON wrote; an error names what can't be.
func (s *State) UnmarshalJSON(text []byte) error {
	var im stateSnapshot
	if err := json.Unmarshal(text, &im); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	switch {
	case im.Format != snapshotFormat:
		return fmt.Errorf("state: format %d; this release reads %d", im.Format, snapshotFormat)
	case im.Epoch > MaxEpoch || im.Count >= 1<<epochBits:
		return fmt.Errorf("state: epoch %d or count %d is out of range", im.Epoch, im.Count)
	}
	n := NewState(im.Epoch)
	n.changeCount, n.tombstoneOrder, n.changes = im.Count, im.Tombstones, im.Changes
	for i := range im.Records {
		r := im.Records[i]
		if n.records[r.Entry.InstanceID] != nil || n.instanceByAddr[r.Entry.HostPort] != "" {
			return fmt.Errorf("state: records[%d]: %s or its address stands twice", i, r.Entry.InstanceID)
		}
		n.records[r.Entry.InstanceID], n.instanceByAddr[r.Entry.HostPort] = &r, r.Entry.InstanceID
	}
	for _, t := range im.Tombstones {
		n.tombstones[t.ID] = max(n.tombstones[t.ID], t.Incarnation)
	}
	*s = *n
	return nil
}

// Restored is the state in a new epoch, for a list that begins again from a backup. The epoch
// must be larger than any that the list has ever been in.
func (s *State) RestoredInEpoch(epoch uint64) (*State, error) {
	if epoch <= s.epoch || epoch > MaxEpoch {
		return nil, fmt.Errorf("epoch: %d is not above the backup's %d and up to %d", epoch, s.epoch, MaxEpoch)
	}
	text, err := s.MarshalJSON()
	if err != nil {
		return nil, err
	}
	var n State
	if err := n.UnmarshalJSON(text); err != nil {
		return nil, err
	}
	n.epoch, n.changeCount, n.changes = epoch, 1, nil // 1: the restore itself is a change
	return &n, nil
}
