package balancer

import (
	"math"
	"testing"
)

// changedMemberships returns the number of memberships, pairs of an endpoint and a node's subset, that were
// added or removed. Both arguments hold one subset per node.
func changedMemberships(before, after []map[string]bool) (n float64) {
	for i := range before {
		for id := range before[i] {
			n += oneIf(!after[i][id])
		}
		for id := range after[i] {
			n += oneIf(!before[i][id])
		}
	}
	return n
}

// endpointChanges counts the changed memberships in a sequence of steps, each of which adds or removes one
// endpoint.
type endpointChanges struct {
	needed         []float64 // by step: changed memberships of the endpoint itself
	changed        []float64 // by step: changed memberships of all endpoints
	unchangedSizes int       // number of steps in which the number of subsets per endpoint stays the same
	overTwice      int       // number of steps that change more than twice the needed memberships
	worst          float64   // highest ratio of changed to needed memberships
}

// apply sends a change of one endpoint to all nodes of a fleet.
func (c *endpointChanges) apply(t *testing.T, balancers []*Balancer, e Endpoint) {
	t.Helper()
	before, subsets := subsetIDsOfAll(balancers), balancers[0].endpoints.sizing.subsetsPerEndpoint
	for _, b := range balancers {
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, &hostRecorder{})
	}
	after := subsetIDsOfAll(balancers)
	own := 0.0
	for n := range balancers {
		own += oneIf(before[n][e.ID] != after[n][e.ID])
	}
	all := changedMemberships(before, after)
	if balancers[0].endpoints.sizing.subsetsPerEndpoint == subsets {
		if c.unchangedSizes++; all != own {
			t.Errorf("%s: %v memberships changed, want %v, since subsetsPerEndpoint stays the same", e.ID,
				all, own)
		}
	}
	if all > 2*own {
		c.overTwice++
	}
	c.worst = math.Max(c.worst, all/own)
	c.needed, c.changed = append(c.needed, own), append(c.changed, all)
}

// Guards against subsets that change more than needed when an endpoint is added or removed, since each
// change opens or closes connections. The memberships of the endpoint itself must change. If the number of
// subsets per endpoint is adapted to the new list length, half as many others change on average. In up
// to one of fifty steps, chance may change more other memberships than needed ones. Subsets of constant size
// fail this test.
func TestEndpointAddedOrRemovedChangesFewSubsets(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, steps int }{{150, 100, 60}, {60, 300, 100}} {
		list := testEndpoints(c.endpoints + c.steps)
		balancers := newFleet(t, c.nodes, list[:c.endpoints])
		var changes endpointChanges
		for _, e := range list[c.endpoints:] {
			changes.apply(t, balancers, e)
		}
		for _, e := range list[:c.steps+c.endpoints/2] {
			e.State = Removed
			changes.apply(t, balancers, e)
		}
		needed, changed, steps := spreadOf(changes.needed), spreadOf(changes.changed), len(changes.changed)
		t.Logf("%d nodes, %d endpoints: needed changes of memberships: %v; actual changes: %v; "+
			"%d steps, in %d the number of subsets per endpoint stays the same, "+
			"in %d more than twice the needed changes, at most %.2f times",
			c.nodes, c.endpoints, needed, changed, steps, changes.unchangedSizes, changes.overTwice,
			changes.worst)
		if needed.min < 3 || changed.mean > 1.4*needed.mean || changed.max > 3*needed.max ||
			changes.overTwice > steps/50 || changes.unchangedSizes < steps/4 {
			t.Errorf("%d nodes, %d endpoints: changes of memberships: %v, needed: %v; "+
				"more than twice the needed changes in %d of %d steps; "+
				"the number of subsets per endpoint stays the same in %d; "+
				"want at least 3 needed changes, a mean of at most 1.4 and a maximum of at most 3 times "+
				"the needed one, more than twice the needed changes in at most %d steps, "+
				"and the same number of subsets in at least %d",
				c.nodes, c.endpoints, changed, needed, changes.overTwice, steps, changes.unchangedSizes,
				steps/50, steps/4)
		}
	}
}

// A node that is added takes over each of its endpoints from another node. At most as many other memberships
// may change.
func TestNodeAddedChangesFewSubsets(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints int }{{300, 200}, {60, 400}} {
		list := testEndpoints(c.endpoints)
		before := append(subsetIDsOfAll(newFleet(t, c.nodes, list)), nil)
		after := subsetIDsOfAll(newFleet(t, c.nodes+1, list))
		needed, changed := 2*float64(len(after[c.nodes])), changedMemberships(before, after)
		if needed == 0 || changed > 2*needed {
			t.Errorf("%d nodes, %d endpoints: %v memberships changed, want at most twice the needed %v",
				c.nodes, c.endpoints, changed, needed)
		}
		t.Logf("%d nodes, %d endpoints: %v memberships changed, %v needed", c.nodes, c.endpoints, changed,
			needed)
	}
}
