package registry

import (
	"cmp"
	"slices"
	"time"
)

// Generation returns the version of the list. It is 0 only for a new list in epoch 0.
func (s *State) Generation() uint64 { return s.epoch<<epochBits | s.changeCount }

// Epoch returns the current epoch of the list; see the section on versions in the package documentation.
func (s *State) Epoch() uint64 { return s.epoch }

// Len returns the number of entries.
func (s *State) Len() int { return len(s.records) }

// List returns all entries, sorted by instance ID.
func (s *State) List() []Entry {
	entries := s.unsortedEntries()
	sortEntries(entries)
	return entries
}

// unsortedEntries returns all entries in an unspecified order.
func (s *State) unsortedEntries() []Entry {
	entries := make([]Entry, 0, len(s.records))
	for _, r := range s.records {
		entries = append(entries, r.Entry)
	}
	return entries
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// ChangesSince returns the changes after a generation, oldest first. ok is false if some of them are no
// longer retained, or if the generation does not belong to this list; the reader then needs the full list.
// The slice belongs to the state and must not be modified.
func (s *State) ChangesSince(generation uint64) (changes []Change, ok bool) {
	current := s.Generation()
	if generation == current {
		return nil, true
	}
	if generation > current || generation>>epochBits != s.epoch {
		return nil, false
	}
	beforeOldest := current - uint64(len(s.changes)) // generation before the oldest retained change
	if generation < beforeOldest {
		return nil, false
	}
	return s.changes[generation-beforeOldest:], true
}

// retainedChanges returns the most recent changes, up to maxChanges, oldest first. The slice belongs to the
// state and must not be modified.
func (s *State) retainedChanges() []Change { return s.changes }

// latestChange returns the change that made the current generation. There must be at least one change.
func (s *State) latestChange() Change { return s.changes[len(s.changes)-1] }

// Leases returns the leases of all entries that have one, sorted by instance ID.
func (s *State) Leases() []Lease {
	var leases []Lease
	for _, r := range s.records {
		if r.Lease > 0 {
			leases = append(leases, Lease{InstanceRef{r.Entry.ID, r.Incarnation}, r.Lease})
		}
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
	return leases
}

// LeaseCount returns the number of entries that have a lease.
func (s *State) LeaseCount() int {
	count := 0
	for _, r := range s.records {
		if r.Lease > 0 {
			count++
		}
	}
	return count
}

// LeaseTerm returns the term of an incarnation's lease, or 0 for an entry without a lease. The code is Done
// if the incarnation is registered, and otherwise StaleIncarnation or NotFound.
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

// Find returns the registration of an instance with its current lifecycle. ok is false if the instance is not
// registered.
func (s *State) Find(id string) (registration Registration, ok bool) {
	r := s.records[id]
	if r == nil {
		return Registration{}, false
	}
	return Registration{r.Entry, r.Incarnation, r.Lease.Milliseconds()}, true
}
