package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// checkEvenness counts the subsets that contain each endpoint. It returns an error if the counts differ by
// more than 1, or if an endpoint is in fewer than three subsets. In a fleet of one or two nodes, an endpoint
// must be in all subsets.
func checkEvenness(endpoints, nodes int, holds func(endpoint, node int) bool) (spread, error) {
	counts := make([]float64, endpoints)
	for endpoint := range counts {
		for node := range nodes {
			counts[endpoint] += oneIf(holds(endpoint, node))
		}
	}
	s := spreadOf(counts)
	if s.min < math.Min(3, float64(nodes)) {
		return s, fmt.Errorf("an endpoint is in only %v subsets of %d nodes", s.min, nodes)
	}
	if s.max > s.min+1 {
		return s, fmt.Errorf("subsets per endpoint differ by more than 1: %v", s)
	}
	return s, nil
}

// Guards against endpoints that only one or two nodes use, or many more nodes than others. In fleets of all
// sizes, the numbers of subsets that contain an endpoint differ by at most 1. Subsets of the same mean
// size that each node samples independently fail this test.
func TestEndpointsAreInSubsetsEvenly(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, sample int }{
		{1, 1, 1}, {2, 9, 9}, {25, 3, 3}, {300, 200, 200}, {1024, 1024, 256}, {4100, 200_000, 64},
	} {
		b, _ := newTestBalancer(t, subsetSettings(c.nodes))
		meanSubsets := b.endpoints.sizing.subsetsFor(float64(c.endpoints))
		list := testEndpoints(c.endpoints)
		s, err := checkEvenness(c.sample, c.nodes, func(endpoint, node int) bool {
			key := endpointKey(list[endpoint*(c.endpoints/c.sample)].ID)
			subsets := int(meanSubsets + keyFraction(key))
			return nodePosition(key, node, c.nodes, subsets) < subsets
		})
		if err != nil {
			t.Errorf("%d nodes, %d endpoints: %v", c.nodes, c.endpoints, err)
		}
		t.Logf("%d nodes, %d endpoints: subsets per endpoint: %v", c.nodes, c.endpoints, s)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	const nodes, endpoints, each = 300, 200, 18
	if _, err := checkEvenness(endpoints, nodes, func(int, int) bool {
		return rng.IntN(nodes) < each
	}); err == nil {
		t.Error("uneven subsets are not detected")
	}
}

// The sizes of subsets and the load per weight of an endpoint vary by chance, but do not depend on zones or
// weights.
func TestSubsetSizesAndLoadPerEndpoint(t *testing.T) {
	const nodes, endpoints = 300, 200
	list := testEndpoints(endpoints)
	balancers := newFleet(t, nodes, list)
	sizes := make([]float64, nodes)
	subsets := map[string]float64{} // number of subsets that contain an endpoint
	load := map[string]float64{}    // fraction of a node's requests, by weight, summed over all nodes
	for n, b := range balancers {
		sizes[n] = float64(b.Stats().SubsetEndpoints)
		total := 0.0
		for _, e := range b.endpoints.tracked {
			total += e.weight()
		}
		for _, e := range b.endpoints.tracked {
			subsets[e.ID]++
			load[e.ID] += e.weight() / total
		}
	}
	perEndpoint, loadsByWeight := make([]float64, endpoints), map[float64][]float64{}
	for i, e := range list {
		perEndpoint[i] = subsets[e.ID]
		loadsByWeight[e.Weight] = append(loadsByWeight[e.Weight], load[e.ID])
	}
	if got := spreadOf(perEndpoint); got.min != 18 || got.max != 18 {
		t.Errorf("subsets per endpoint: %v, want 18", got)
	}
	if got := spreadOf(sizes); got.mean != 12 || got.min < 1 || got.max > 30 {
		t.Errorf("endpoints per subset: %v, want 12 on average, and 1 to 30", got)
	}
	small, large := spreadOf(loadsByWeight[1]), spreadOf(loadsByWeight[10])
	if ratio := large.mean / small.mean; ratio < 8 || ratio > 12 {
		t.Errorf("endpoints of ten times the weight get %.1f times the load, want 8 to 12", ratio)
	}
	t.Logf("endpoints per subset: %v; "+
		"load per endpoint of weight 1: %.2f (%.2f to %.2f), of weight 10: %.2f (%.2f to %.2f)",
		spreadOf(sizes),
		small.mean, small.min, small.max, large.mean, large.min, large.max)
}

// In fleets of all sizes the sizes of subsets vary by chance around the intended mean size, and each zone
// has its fraction of the subsets.
func TestSubsetSizeInFleetsOfAllSizes(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, sample int }{
		{300, 200, 100}, {1024, 1024, 64}, {4100, 200_000, 8},
	} {
		list := testEndpoints(c.endpoints)
		var sizes, inZoneA []float64
		for n := range c.sample {
			s := subsetSettings(c.nodes)
			s.NodeIndex = n * (c.nodes / c.sample)
			b, _ := newTestBalancer(t, s, list...)
			size, zone := 0.0, 0.0
			for _, e := range b.endpoints.tracked {
				size += oneIf(e.inSubset)
				zone += oneIf(e.inSubset && e.Zone == "a")
			}
			sizes, inZoneA = append(sizes, size), append(inZoneA, zone)
		}
		got, zone := spreadOf(sizes), spreadOf(inZoneA)
		perNode := float64(c.endpoints) / float64(c.nodes)
		want := math.Max(12*math.Sqrt(perNode/(200.0/300)), 3*perNode)
		chance := 5 * math.Sqrt(want)
		if math.Abs(got.mean-want) > chance/math.Sqrt(float64(c.sample)) || got.min < want-chance ||
			got.max > want+chance {
			t.Errorf("%d nodes, %d endpoints: endpoints per subset: %v, want %.1f on average", c.nodes,
				c.endpoints, got, want)
		}
		if fraction := zone.mean / got.mean; fraction < 0.5 || fraction > 0.75 {
			t.Errorf("%d nodes, %d endpoints: a zone with 0.625 of the list has %.2f of the subsets", c.nodes,
				c.endpoints, fraction)
		}
		t.Logf("%d nodes, %d endpoints: endpoints per subset: %v; of a zone with 0.625 of the list: %v",
			c.nodes, c.endpoints, got, zone)
	}
}

// In the planned fleet the subsets have the minimum size. An endpoint that is added therefore changes no
// memberships of other endpoints, and a node that is added only replaces one other node for each of its
// endpoints.
func TestPlannedFleetChangesFewestSubsets(t *testing.T) {
	const nodes, endpoints, sample = 4100, 200_000, 4000
	b, _ := newTestBalancer(t, subsetSettings(nodes))
	larger, _ := newTestBalancer(t, subsetSettings(nodes+1))
	meanSubsets := b.endpoints.sizing.subsetsFor(endpoints)
	if meanSubsets != minSubsetSize || b.endpoints.sizing.subsetsFor(endpoints+1) != meanSubsets ||
		larger.endpoints.sizing.subsetsFor(endpoints) != meanSubsets {
		t.Fatalf("%v subsets per endpoint, %v with one more endpoint, %v with one more node, want %v each",
			meanSubsets, b.endpoints.sizing.subsetsFor(endpoints+1),
			larger.endpoints.sizing.subsetsFor(endpoints), minSubsetSize)
	}
	entered, left := 0, 0
	for n := range sample {
		key := endpointKey(fmt.Sprintf("server-%06d", n*(endpoints/sample)))
		first := int(meanSubsets + keyFraction(key))
		before, after := lastRank(key, nodes, first), lastRank(key, nodes+1, first)
		for node := range nodes + 1 {
			wasHolder := node < nodes && nodeRank(key, node) <= before
			isHolder := nodeRank(key, node) <= after
			if isHolder && !wasHolder {
				if entered++; node != nodes {
					t.Fatalf("endpoint %d enters the subset of node %d, which is not the new node", n, node)
				}
			}
			left += int(oneIf(wasHolder && !isHolder))
		}
	}
	if entered == 0 || left != entered {
		t.Errorf("%d endpoints enter the new node's subset and %d leave other subsets, want equal numbers "+
			"above 0", entered, left)
	}
	t.Logf("of %d endpoints %d enter the new node's subset, %d leave other subsets", sample, entered, left)
}

// A list that grows and shrinks through deltas alone has the subsets that fit its current length.
func TestSubsetFollowsListLength(t *testing.T) {
	const nodes, few, many = 1024, 200, 20_000
	list := testEndpoints(many)
	b, r := newTestBalancer(t, subsetSettings(nodes), list[:few]...)
	check := func(n int) {
		t.Helper()
		subsetsFor := func(length float64) float64 { return math.Max(3, 12*math.Sqrt(1.5*nodes/length)) }
		least := int(subsetsFor(float64(n) * listLengthHysteresis))
		most := int(math.Ceil(subsetsFor(float64(n) / listLengthHysteresis)))
		b.TimerFired(b.now, timerControlInterval, r) // stops tracking endpoints that have left the subset
		own := subsetIDs(b)
		for _, e := range list[:n] {
			before := nodePosition(endpointKey(e.ID), b.settings.NodeIndex, nodes, most+1)
			if before < least && !own[e.ID] || before > most && own[e.ID] {
				t.Fatalf("%d endpoints: %s, in whose order %d nodes come before, is in the subset: %v", n,
					e.ID, before, own[e.ID])
			}
		}
		if st := b.Stats(); st.ListedEndpoints != n || st.SubsetEndpoints != len(own) ||
			st.TrackedEndpoints > len(own) {
			t.Fatalf("%d endpoints: got %+v, want all listed, %d in the subset and no others tracked", n, st,
				len(own))
		}
	}
	for n := few; n < many; n++ {
		b.EndpointsUpdated(testStart, UpdateDelta, list[n:n+1], r)
		if n%4000 == 0 {
			check(n + 1)
		}
	}
	for n := many - 1; n >= few; n-- {
		e := list[n]
		e.State = Removed
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
		if n%4000 == 0 || n == few {
			check(n)
		}
	}
}

// Guards against a scan of the whole list when the subset is resized. The subset candidates must contain
// every endpoint that can be in the subset and must stay a small part of a long list, also after endpoints
// have been added, replaced and removed.
func TestSubsetResizeNeedsNoScan(t *testing.T) {
	const nodes, endpoints, batch = 1024, 4000, 3000
	list := testEndpoints(endpoints + 5*batch)
	b, r := newTestBalancer(t, subsetSettings(nodes), list[:endpoints/2]...)
	peak := minSubsetCandidates // largest number of endpoints that could enter the subset at a time
	check := func(when string) {
		t.Helper()
		candidates := map[slotIndex]bool{}
		for _, slot := range b.endpoints.list.subsetCandidates {
			candidates[slot] = true
		}
		live := 0
		for slot := range b.endpoints.list.entries {
			if b.endpoints.list.isFree(slotIndex(slot)) ||
				b.endpoints.list.entries[slot].membershipThreshold == notRanked {
				continue
			}
			if live++; !candidates[slotIndex(slot)] {
				t.Fatalf("%s: %s can enter the subset, but is not a candidate", when,
					b.endpoints.list.entries[slot].id)
			}
		}
		peak = max(peak, live)
		if len(b.endpoints.list.subsetCandidates) > 2*peak {
			t.Errorf("%s: %d candidates while %d endpoints can enter the subset, want at most %d", when,
				len(b.endpoints.list.subsetCandidates), live, 2*peak)
		}
		if st := b.Stats(); live < st.SubsetEndpoints || live*10 > st.ListedEndpoints {
			t.Errorf("%s: %d of %d endpoints can enter the subset, want at least its %d and at most a tenth "+
				"of the list", when, live, st.ListedEndpoints, st.SubsetEndpoints)
		}
	}
	check("initially")
	for n := endpoints / 2; n < endpoints; n++ {
		b.EndpointsUpdated(testStart, UpdateDelta, list[n:n+1], r)
	}
	check("grown")
	for n := range 5 * batch { // a new endpoint takes the slot of an old one
		old := list[n]
		old.State = Removed
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{old, list[endpoints+n]}, r)
	}
	check("replaced")
	for slot := range b.endpoints.list.entries[:100] { // remove each endpoint and add it again, many times
		for range 100 {
			e := b.endpoints.list.endpointAt(slotIndex(slot))
			for _, e.State = range []EndpointState{Removed, Up} {
				b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
			}
		}
	}
	check("returned")
	for n := 5 * batch; n < 5*batch+endpoints*3/4; n++ {
		old := list[n]
		old.State = Removed
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{old}, r)
	}
	check("shrunk")
	b.EndpointsUpdated(testStart, UpdateSnapshot, list[:endpoints], r)
	check("replaced by a snapshot")
}
