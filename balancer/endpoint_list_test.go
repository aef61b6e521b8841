package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// A list that is replaced over and over, or was long once, leaves nothing behind for ever.
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
		if n > 4*(10+staleSlack)+10 {
			t.Errorf("%d %s for a list of ten endpoints", n, what)
		}
	}
	if len(l.slotByID) != 10 || node.Stats().TrackedEndpoints > 10 {
		t.Errorf("%d listed, %+v", len(l.slotByID), node.Stats())
	}
}

// A snapshot removes what it does not name, whatever else it says, and however its endpoints were listed
// before.
func TestSnapshotRemovesWhatItDoesNotName(t *testing.T) {
	a, b, c := Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c"}
	gone := func(e Endpoint) Endpoint {
		e.State = Removed
		return e
	}
	type entries = []Endpoint
	for name, test := range map[string]struct {
		before  []entries // the first is a snapshot, the others are deltas
		list    entries
		removed []string
	}{
		"all named":                    {[]entries{{a, b, c}}, entries{a, b, c}, nil},
		"one missing":                  {[]entries{{a, b, c}}, entries{a, b}, []string{"c"}},
		"one named twice, one missing": {[]entries{{a, b, c}}, entries{a, a, b}, []string{"c"}},
		"a new one for a missing one":  {[]entries{{a, b}}, entries{a, c}, []string{"b"}},
		"named, then removed":          {[]entries{{a, b, c}}, entries{a, b, gone(b)}, []string{"b", "c"}},
		"removed unnamed":              {[]entries{{a, b, c}}, entries{gone(a), b}, []string{"a", "c"}},
		"listed by a delta":            {[]entries{{a}, {b, c}}, entries{a, b}, []string{"c"}},
		"changed to as it was":         {[]entries{{a, b}, {gone(b)}, {b, c}}, entries{a, b}, []string{"c"}},
		"removed by a delta":           {[]entries{{a, b, c}, {gone(c)}}, entries{a}, []string{"b", "c"}},
		"another named twice":          {[]entries{{a}}, entries{b, b}, []string{"a"}},
		"another named, then removed":  {[]entries{{a}}, entries{b, b, gone(b)}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			node, r := newTestBalancer(t, subsetSettings(100), test.before[0]...)
			for _, changes := range test.before[1:] {
				node.EndpointsUpdated(testStart, UpdateDelta, changes, r)
			}
			for round := range 2 { // a snapshot that comes again changes nothing
				node.EndpointsUpdated(testStart, UpdateSnapshot, test.list, r)
				for _, id := range []string{"a", "b", "c"} {
					wanted := !slices.Contains(test.removed, id) && slices.ContainsFunc(test.list,
						func(e Endpoint) bool { return e.ID == id })
					if _, listed := node.endpoints.list.slotByID[id]; listed != wanted {
						t.Errorf("snapshot %d: %s is listed: %v", round+1, id, listed)
					}
				}
			}
		})
	}
}

// A snapshot in the order of the one before is taken in without a look-up of each entry, also behind
// entries that are removed or new.
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
		t.Errorf("%d lookups for the same list", n)
	}
	fewer := slices.Delete(slices.Clone(list), endpoints/2, endpoints/2+3)
	if n := lookups(UpdateSnapshot, fewer); n != 1 {
		t.Errorf("%d lookups for a list with a gap", n)
	}
	more := slices.Insert(slices.Clone(fewer), 7, Endpoint{ID: "new", MachineType: "k", Zone: "a", Weight: 1})
	if n := lookups(UpdateSnapshot, more); n > 4 {
		t.Errorf("%d lookups for a list with an entry more", n)
	}
	if listed := node.Stats().ListedEndpoints; listed != len(more) {
		t.Errorf("%d listed of %d", listed, len(more))
	}
	slices.Reverse(more)
	if n := lookups(UpdateSnapshot, more); n < endpoints/2 || node.Stats().ListedEndpoints != len(more) {
		t.Errorf("%d lookups for a list in another order, %d listed", n, node.Stats().ListedEndpoints)
	}
}

// A free slot is not taken for that of an endpoint without an id.
func TestEndpointWithoutIDIsListed(t *testing.T) {
	list := testEndpoints(4)
	node, r := newTestBalancer(t, subsetSettings(100), list...)
	gone := list[1]
	gone.State = Removed
	node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{list[0], gone}, r)
	node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{list[0], {MachineType: "k", Zone: "a"}}, r)
	if st := node.Stats(); st.ListedEndpoints != 4 || node.endpoints.list.activeWeights.total != 4 {
		t.Errorf("%d listed, %d up, want 4", st.ListedEndpoints, node.endpoints.list.activeWeights.total)
	}
	node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
	if st := node.Stats(); st.ListedEndpoints != 4 || node.endpoints.trackedByID[""] != nil {
		t.Errorf("%d listed, want 4; without an id: %v", st.ListedEndpoints, node.endpoints.trackedByID[""])
	}
}
