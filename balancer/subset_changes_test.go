package balancer

import (
	"math"
	"testing"
)

// changedEntries counts the endpoints that subsets have gained and lost.
func changedEntries(before, after []map[string]bool) (n float64) {
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

// endpointChanges counts, for endpoints that are added or removed one after another, the places in subsets
// that have to change in each step and those that do.
type endpointChanges struct {
	needed, changed []float64
	settled         int     // steps in which the number of subsets for each endpoint stays
	overTwice       int     // steps that change more than twice what has to
	worst           float64 // did / must
}

// apply brings a change of one endpoint to all nodes of a fleet.
func (c *endpointChanges) apply(t *testing.T, balancers []*Balancer, e Endpoint) {
	t.Helper()
	before, number := subsetIDsOfAll(balancers), balancers[0].endpoints.sizing.subsetsPerEndpoint
	for _, b := range balancers {
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, &hostRecorder{})
	}
	after := subsetIDsOfAll(balancers)
	own := 0.0
	for n := range balancers {
		own += oneIf(before[n][e.ID] != after[n][e.ID])
	}
	all := changedEntries(before, after)
	if balancers[0].endpoints.sizing.subsetsPerEndpoint == number {
		if c.settled++; all != own {
			t.Errorf("%s: %v places changed where %v have to and the number of subsets stays", e.ID, all, own)
		}
	}
	if all > 2*own {
		c.overTwice++
	}
	c.worst = math.Max(c.worst, all/own)
	c.needed, c.changed = append(c.needed, own), append(c.changed, all)
}

// One endpoint more or less changes few subsets: those that are to hold it and, where the length has
// changed so far that the number of subsets follows it, half as many others. By chance more than as many
// others change in one step of fifty. Subsets of a constant size fail this.
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
		t.Logf("%d nodes, %d endpoints: places that have to change: %v; that changed: %v; "+
			"%d steps, in %d the number of subsets stays, "+
			"in %d more than twice what has to, worst %.2f times",
			c.nodes, c.endpoints, needed, changed, steps, changes.settled, changes.overTwice, changes.worst)
		if needed.min < 3 || changed.mean > 1.4*needed.mean || changed.max > 3*needed.max ||
			changes.overTwice > steps/50 || changes.settled < steps/4 {
			t.Errorf("%d nodes, %d endpoints: %v places changed where %v have to; "+
				"over twice in %d of %d steps; the number of subsets stays in %d",
				c.nodes, c.endpoints, changed, needed, changes.overTwice, steps, changes.settled)
		}
	}
}

// One node more takes each of its endpoints over from another node, and changes at most as much besides.
func TestNodeAddedChangesFewSubsets(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints int }{{300, 200}, {60, 400}} {
		list := testEndpoints(c.endpoints)
		before := append(subsetIDsOfAll(newFleet(t, c.nodes, list)), nil)
		after := subsetIDsOfAll(newFleet(t, c.nodes+1, list))
		must, did := 2*float64(len(after[c.nodes])), changedEntries(before, after)
		if must == 0 || did > 2*must {
			t.Errorf("%d nodes, %d endpoints: %v places changed where %v have to", c.nodes, c.endpoints,
				did, must)
		}
		t.Logf("%d nodes, %d endpoints: %v places changed where %v have to", c.nodes, c.endpoints, did, must)
	}
}
