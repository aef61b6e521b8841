package balancer

import (
	"math"
	"testing"
)

// changedMembers counts the members that subsets have gained and lost.
func changedMembers(before, after []map[string]bool) (n float64) {
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

// serverChanges counts, for servers that are added or removed one after another, the members that have to change
// in each step and those that do.
type serverChanges struct {
	must, did []float64
	settled   int     // steps in which the number of subsets for each server stays
	overTwice int     // steps that change more than twice what has to
	worst     float64 // did / must
}

// apply brings a change of one server to all gateways of a fleet.
func (c *serverChanges) apply(t *testing.T, gates []*Balancer, e Endpoint) {
	t.Helper()
	before, number := subsetsOf(gates), gates[0].endpoints.sizing.subsetsPerEndpoint
	for _, g := range gates {
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, &recorder{})
	}
	after := subsetsOf(gates)
	own := 0.0
	for n := range gates {
		own += oneIf(before[n][e.ID] != after[n][e.ID])
	}
	all := changedMembers(before, after)
	if gates[0].endpoints.sizing.subsetsPerEndpoint == number {
		if c.settled++; all != own {
			t.Errorf("%s: %v members changed where %v must and the number of subsets stays", e.ID, all, own)
		}
	}
	if all > 2*own {
		c.overTwice++
	}
	c.worst = math.Max(c.worst, all/own)
	c.must, c.did = append(c.must, own), append(c.did, all)
}

// One server more or less must change few subsets: those that are to hold it and, where the length has moved so far
// that the number of subsets follows it, half as many others. Chance may make it more than as many in one step of
// fifty. Subsets of a constant size fail this.
func TestServerMoreOrLessChangesFewSubsets(t *testing.T) {
	for _, c := range []struct{ nodes, servers, steps int }{{150, 100, 60}, {60, 300, 100}} {
		list := manyServers(c.servers + c.steps)
		gates := wholeFleet(t, c.nodes, list[:c.servers])
		var changes serverChanges
		for _, e := range list[c.servers:] {
			changes.apply(t, gates, e)
		}
		for _, e := range list[:c.steps+c.servers/2] {
			e.State = Removed
			changes.apply(t, gates, e)
		}
		needed, changed, steps := spreadOf(changes.must), spreadOf(changes.did), len(changes.did)
		t.Logf("%d nodes, %d servers: members that must change: %v; that changed: %v; %d steps, in %d the number of subsets stays, in %d more than twice what must, worst %.2f times",
			c.nodes, c.servers, needed, changed, steps, changes.settled, changes.overTwice, changes.worst)
		if needed.least < 3 || changed.mean > 1.4*needed.mean || changed.most > 3*needed.most ||
			changes.overTwice > steps/50 || changes.settled < steps/4 {
			t.Errorf("%d nodes, %d servers: %v members changed where %v must; over twice in %d of %d steps; the number of subsets stays in %d",
				c.nodes, c.servers, changed, needed, changes.overTwice, steps, changes.settled)
		}
	}
}

// One node more takes each of its servers over from another node, and changes at most as much besides.
func TestNodeMoreChangesFewSubsets(t *testing.T) {
	for _, c := range []struct{ nodes, servers int }{{300, 200}, {60, 400}} {
		list := manyServers(c.servers)
		before := append(subsetsOf(wholeFleet(t, c.nodes, list)), nil)
		after := subsetsOf(wholeFleet(t, c.nodes+1, list))
		must, did := 2*float64(len(after[c.nodes])), changedMembers(before, after)
		if must == 0 || did > 2*must {
			t.Errorf("%d nodes, %d servers: %v members changed where %v must", c.nodes, c.servers, did, must)
		}
		t.Logf("%d nodes, %d servers: %v members changed where %v must", c.nodes, c.servers, did, must)
	}
}
