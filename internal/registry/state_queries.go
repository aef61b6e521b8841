package registry

import (
	"cmp"
	"slices"
	"time"
)

// Generation is the version of the list. Only an empty list in epoch 0 has version 0.
func (s *State) Generation() uint64 { return s.epoch<<epochBits | s.changeCount }

// Epoch is the number of the list's current epoch; see the package's section on versions.
func (s *State) Epoch() uint64 { return s.epoch }

// Len is the number of entries.
func (s *State) Len() int { return len(s.records) }

// List returns all entries, sorted by instance.
func (s *State) List() []Entry {
	entries := s.unsortedEntries()
	sortEntries(entries)
	return entries
}

// unsortedEntries returns all entries in no order.
func (s *State) unsortedEntries() []Entry {
	entries := make([]Entry, 0, len(s.records))
	for _, r := range s.records {
		entries = append(entries, r.Entry)
	}
	return entries
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.InstanceID, b.InstanceID) })
}

// ChangesSince returns the changes after a generation, oldest first. Where ok is false, these are no longer kept, or
// the generation is not one of this list's: the reader needs the full list. The slice is the state's own and not to be
// changed.
func (s *State) ChangesSince(generation uint64) (changes []Change, ok bool) {
	current := s.Generation()
	if generation == current {
		return nil, true
	}
	if generation > current || generation>>epochBits != s.epoch {
		return nil, false
	}
	beforeOldest := current - uint64(len(s.changes)) // the generation before the oldest change that is kept
	if generation < beforeOldest {
		return nil, false
	}
	return s.changes[generation-beforeOldest:], true
}

// keptChanges returns the latest changes, up to maxChanges, oldest first. The slice is the state's own and not to be
// changed.
func (s *State) keptChanges() []Change { return s.changes }

// latestChange returns the change that made the current generation. There must be one.
func (s *State) latestChange() Change { return s.changes[len(s.changes)-1] }

// Leases returns the leases of the list, sorted by instance.
func (s *State) Leases() []Lease {
	var leases []Lease
	for _, r := range s.records {
		if r.Lease > 0 {
			leases = append(leases, Lease{InstanceRef{r.Entry.InstanceID, r.Incarnation}, r.Lease})
		}
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
	return leases
}

// LeaseCount is the number of entries that have a lease.
func (s *State) LeaseCount() int {
	count := 0
	for _, r := range s.records {
		if r.Lease > 0 {
			count++
		}
	}
	return count
}

// LeaseTerm returns the term of an incarnation's lease, 0 for an entry without one. The code is Done, or says why the
// incarnation is not registered: StaleIncarnation or NotFound.
func (s *State) LeaseTerm(ref InstanceRef) (term time.Duration, code Code) {
	r := s.records[ref.ID]
	switch {
	case r == nil && ref.Incarnation <= s.tombstones[ref.ID]:
		return 0, StaleIncarnation
	case r == nil || ref.Incarnation > r.Incarnation:
		return 0, NotFound
	case ref.Incarnation < r.Incarnation:
		return 0, StaleIncarnation
	}
	return r.Lease, Done
}

// Find returns the registration of an instance with its current lifecycle; ok is false where there is none.
func (s *State) Find(id string) (registration Registration, ok bool) {
	r := s.records[id]
	if r == nil {
		return Registration{}, false
	}
	return Registration{r.Entry, r.Incarnation, r.Lease.Milliseconds()}, true
}
