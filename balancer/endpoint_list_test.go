package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a memory leak: slots and interned values of removed endpoints must be released, both after
// a long list has become short and after every endpoint of a list has been replaced many times.
func TestReplacedListsAreReleased(t *testing.T) {
	node, r := newTestBalancer(t, subsetSettings(100), testEndpoints(20_000)...)
	for n := range 2000 {
		var list []Endpoint
		for i := range 10 {
			id := fmt.Sprintf("s%d-%d", n, i)
			number := n*10 + i
			e := Endpoint{ID: id, MachineType: id, Zone: id, Cell: number, Weight: float64(number + 1)}
			list = append(list, e)
		}
		node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
	}
	l := node.endpoints.list
	for what, n := range map[string]int{
		"slots": len(l.entries), "zones": len(l.zones.values), "machine types": len(l.machineTypes.values),
		"cells": len(l.cells.values), "weights": len(l.weights.values), "pools": len(l.reserve.byZone),
	} {
		if n > 4*(10+oversizeAllowance)+10 {
			t.Errorf("%d %s for a list of 10 endpoints, want at most 4*(10+oversizeAllowance)+10", n, what)
		}
	}
	if len(l.slotByID) != 10 || node.Stats().TrackedEndpoints > 10 {
		t.Errorf("%d listed, want 10, of which at most 10 are tracked: %+v", len(l.slotByID), node.Stats())
	}
}

// A snapshot removes the endpoints that it does not contain. Guards against wrong counts of the endpoints it
// contains, for example if it has duplicates, since the removal is skipped if the count equals the list
// length.
func TestSnapshotRemovesMissingEndpoints(t *testing.T) {
	a, b, c := Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c"}
	removed := func(e Endpoint) Endpoint {
		e.State = Removed
		return e
	}
	type entries = []Endpoint
	for name, test := range map[string]struct {
		before  []entries // the first is a snapshot, the others are deltas
		list    entries
		removed []string
	}{
		"none missing":               {[]entries{{a, b, c}}, entries{a, b, c}, nil},
		"one missing":                {[]entries{{a, b, c}}, entries{a, b}, []string{"c"}},
		"one duplicate, one missing": {[]entries{{a, b, c}}, entries{a, a, b}, []string{"c"}},
		"one new, one missing":       {[]entries{{a, b}}, entries{a, c}, []string{"b"}},
		"up, then removed":           {[]entries{{a, b, c}}, entries{a, b, removed(b)}, []string{"b", "c"}},
		"only removed":               {[]entries{{a, b, c}}, entries{removed(a), b}, []string{"a", "c"}},
		"added by a delta":           {[]entries{{a}, {b, c}}, entries{a, b}, []string{"c"}},
		"removed and added":          {[]entries{{a, b}, {removed(b)}, {b, c}}, entries{a, b}, []string{"c"}},
		"removed by a delta":         {[]entries{{a, b, c}, {removed(c)}}, entries{a}, []string{"b", "c"}},
		"new duplicate":              {[]entries{{a}}, entries{b, b}, []string{"a"}},
		"new duplicate, removed":     {[]entries{{a}}, entries{b, b, removed(b)}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			node, r := newTestBalancer(t, subsetSettings(100), test.before[0]...)
			for _, changes := range test.before[1:] {
				node.EndpointsUpdated(testStart, UpdateDelta, changes, r)
			}
			for round := range 2 { // a repeated snapshot changes nothing
				node.EndpointsUpdated(testStart, UpdateSnapshot, test.list, r)
				for _, id := range []string{"a", "b", "c"} {
					wanted := !slices.Contains(test.removed, id) && slices.ContainsFunc(test.list,
						func(e Endpoint) bool { return e.ID == id })
					if _, listed := node.endpoints.list.slotByID[id]; listed != wanted {
						t.Errorf("snapshot %d: %s is listed: %v, want %v", round+1, id, listed, wanted)
					}
				}
			}
		})
	}
}

// A snapshot in the same order as the previous one is applied without a map lookup for each entry, even if
// some entries are missing or new.
func TestSnapshotInSameOrderNeedsNoLookups(t *testing.T) {
	const endpoints = 20_000
	list := testEndpoints(endpoints)
	node, r := newTestBalancer(t, subsetSettings(1000), list...)
	lookups := func(kind UpdateKind, list []Endpoint) int {
		before := node.endpoints.list.lookups
		node.EndpointsUpdated(testStart, kind, list, r)
		return node.endpoints.list.lookups - before
	}
	if n := lookups(UpdateSnapshot, list); n != 0 {
		t.Errorf("%d lookups for the same list, want none", n)
	}
	fewer := slices.Delete(slices.Clone(list), endpoints/2, endpoints/2+3)
	if n := lookups(UpdateSnapshot, fewer); n != 1 {
		t.Errorf("%d lookups for a list with three entries missing, want 1", n)
	}
	more := slices.Insert(slices.Clone(fewer), 7, Endpoint{ID: "new", MachineType: "k", Zone: "a", Weight: 1})
	if n := lookups(UpdateSnapshot, more); n > 4 {
		t.Errorf("%d lookups for a list with one more entry, want at most 4", n)
	}
	if listed := node.Stats().ListedEndpoints; listed != len(more) {
		t.Errorf("%d endpoints listed, want %d", listed, len(more))
	}
	slices.Reverse(more)
	if n := lookups(UpdateSnapshot, more); n < endpoints/2 || node.Stats().ListedEndpoints != len(more) {
		t.Errorf("reversed list: %d lookups, want at least %d; %d endpoints listed, want %d", n, endpoints/2,
			node.Stats().ListedEndpoints, len(more))
	}
}

// Guards against an endpoint with an empty id being found in a free slot, whose id is empty too.
func TestEndpointWithoutIDIsListed(t *testing.T) {
	list := testEndpoints(4)
	node, r := newTestBalancer(t, subsetSettings(100), list...)
	removed := list[1]
	removed.State = Removed
	node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{list[0], removed}, r)
	node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{list[0], {MachineType: "k", Zone: "a"}}, r)
	if st := node.Stats(); st.ListedEndpoints != 4 || node.endpoints.list.activeWeights.total != 4 {
		t.Errorf("%d listed, %d accepting requests, want 4 each", st.ListedEndpoints,
			node.endpoints.list.activeWeights.total)
	}
	node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
	if st := node.Stats(); st.ListedEndpoints != 4 || node.endpoints.trackedByID[""] != nil {
		t.Errorf("%d listed, want 4; tracked with an empty id: %v, want none", st.ListedEndpoints,
			node.endpoints.trackedByID[""])
	}
}
