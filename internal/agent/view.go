package agent

import (
	"cmp"
	"maps"
	"slices"

	"opalhook/internal/discovery"
)

// view is the list at a generation. The zero value means that no list has been received. Views are not
// modified after their creation.
type view struct {
	generation uint64
	entries    map[string]discovery.Entry // by instance ID; none has the lifecycle [discovery.Removed]
}

// upCount returns the number of endpoints that accept requests.
func (v view) upCount() (n int) {
	for _, e := range v.entries {
		if e.Lifecycle == discovery.Up {
			n++
		}
	}
	return n
}

// apply returns a new view with the changes or the complete list of a message.
func (v view) apply(m discovery.Message) view {
	next := view{generation: m.Generation, entries: map[string]discovery.Entry{}}
	if !m.Snapshot {
		maps.Copy(next.entries, v.entries)
	}
	for _, e := range m.Entries {
		if e.Lifecycle == discovery.Removed {
			delete(next.entries, e.ID)
		} else {
			next.entries[e.ID] = e
		}
	}
	return next
}

// snapshot returns the view as a message with the complete list, sorted by instance ID.
func (v view) snapshot() discovery.Message {
	m := discovery.Message{
		Generation: v.generation,
		Snapshot:   true,
		Entries:    slices.Collect(maps.Values(v.entries)),
	}
	sortEntries(m.Entries)
	return m
}

// deltaFrom returns the message of changes from an older view of the same epoch to v, sorted by instance ID.
func (v view) deltaFrom(old view) discovery.Message {
	m := discovery.Message{Generation: v.generation, Entries: []discovery.Entry{}}
	for id, e := range v.entries {
		if was, ok := old.entries[id]; !ok || was != e {
			m.Entries = append(m.Entries, e)
		}
	}
	for id, e := range old.entries {
		if _, ok := v.entries[id]; !ok {
			e.Lifecycle = discovery.Removed
			m.Entries = append(m.Entries, e)
		}
	}
	sortEntries(m.Entries)
	return m
}

func sortEntries(entries []discovery.Entry) {
	slices.SortFunc(entries, func(a, b discovery.Entry) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
