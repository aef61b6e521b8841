package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// evenness counts the subsets that hold each endpoint. It returns an error where one is in fewer than three
// (or than all), or in two more than another.
func evenness(endpoints, nodes int, holds func(endpoint, node int) bool) (spread, error) {
	counts := make([]float64, endpoints)
	for endpoint := range counts {
		for node := range nodes {
			counts[endpoint] += oneIf(holds(endpoint, node))
		}
	}
	s := spreadOf(counts)
	if s.min < math.Min(3, float64(nodes)) {
		return s, fmt.Errorf("an endpoint is in %v subsets of %d", s.min, nodes)
	}
	if s.max > s.min+1 {
		return s, fmt.Errorf("uneven: %v", s)
	}
	return s, nil
}

// Each endpoint is in as many subsets as any other, and in three at least, in fleets of all sizes. Subsets
// that each node draws for itself, of the same size on average, fail this.
func TestSubsetsHoldEndpointsEvenly(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, sample int }{
		{1, 1, 1}, {2, 9, 9}, {25, 3, 3}, {300, 200, 200}, {1024, 1024, 256}, {4100, 200_000, 64},
	} {
		b, _ := newTestBalancer(t, subsetSettings(c.nodes))
		per := b.endpoints.sizing.subsetsFor(float64(c.endpoints))
		list := testEndpoints(c.endpoints)
		s, err := evenness(c.sample, c.nodes, func(endpoint, node int) bool {
			key := endpointKey(list[endpoint*(c.endpoints/c.sample)].ID)
			subsets := int(per + fraction(key))
			return position(key, node, c.nodes, subsets) < subsets
		})
		if err != nil {
			t.Errorf("%d nodes, %d endpoints: %v", c.nodes, c.endpoints, err)
		}
		t.Logf("%d nodes, %d endpoints: %v subsets an endpoint", c.nodes, c.endpoints, s)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	const nodes, endpoints, each = 300, 200, 18
	if _, err := evenness(endpoints, nodes, func(int,
		int,
	) bool {
		return rng.IntN(nodes) < each
	}); err == nil {
		t.Error("subsets that are uneven pass")
	}
}

// The sizes of subsets and the load of an endpoint differ by chance, but not with zones or weights.
func TestSubsetSizesAndLoadPerEndpoint(t *testing.T) {
	const nodes, endpoints = 300, 200
	list := testEndpoints(endpoints)
	balancers := newFleet(t, nodes, list)
	sizes := make([]float64, nodes)
	held := map[string]float64{}
	load := map[string]float64{} // fraction of a node's requests, by weight, summed over all nodes
	for n, b := range balancers {
		sizes[n] = float64(b.Stats().SubsetEndpoints)
		total := 0.0
		for _, e := range b.endpoints.tracked {
			total += e.weight()
		}
		for _, e := range b.endpoints.tracked {
			held[e.ID]++
			load[e.ID] += e.weight() / total
		}
	}
	perServer, perWeight := make([]float64, endpoints), map[float64][]float64{}
	for i, e := range list {
		perServer[i] = held[e.ID]
		perWeight[e.Weight] = append(perWeight[e.Weight], load[e.ID])
	}
	if got := spreadOf(perServer); got.min != 18 || got.max != 18 {
		t.Errorf("subsets an endpoint: %v, want 18", got)
	}
	if got := spreadOf(sizes); got.mean != 12 || got.min < 1 || got.max > 30 {
		t.Errorf("endpoints a subset: %v, want 12 on average", got)
	}
	small, large := spreadOf(perWeight[1]), spreadOf(perWeight[10])
	if ratio := large.mean / small.mean; ratio < 8 || ratio > 12 {
		t.Errorf("endpoints of ten times the weight get %.1f times the load", ratio)
	}
	t.Logf("endpoints a subset: %v; "+
		"load an endpoint of weight 1: %.2f (%.2f to %.2f), of 10: %.2f (%.2f to %.2f)",
		spreadOf(sizes),
		small.mean, small.min, small.max, large.mean, large.min, large.max)
}

// In fleets of all sizes a node's subset holds a bounded number of endpoints, by chance more or fewer, and
// each zone its fraction of them.
func TestSubsetSizeInFleetsOfAllSizes(t *testing.T) {
	for _, c := range []struct{ nodes, endpoints, sample int }{{300, 200, 100}, {1024, 1024, 64}, {
		4100,
		200_000, 8,
	}} {
		list := testEndpoints(c.endpoints)
		var sizes, inZoneA []float64
		for n := range c.sample {
			s := subsetSettings(c.nodes)
			s.NodeIndex = n * (c.nodes / c.sample)
			b, _ := newTestBalancer(t, s, list...)
			own, zone := 0.0, 0.0
			for _, sv := range b.endpoints.tracked {
				own += oneIf(sv.inSubset)
				zone += oneIf(sv.inSubset && sv.Zone == "a")
			}
			sizes, inZoneA = append(sizes, own), append(inZoneA, zone)
		}
		got, zone := spreadOf(sizes), spreadOf(inZoneA)
		perNode := float64(c.endpoints) / float64(c.nodes)
		want := math.Max(12*math.Sqrt(perNode/(200.0/300)), 3*perNode)
		chance := 5 * math.Sqrt(want)
		if math.Abs(got.mean-want) > chance/math.Sqrt(float64(c.sample)) || got.min < want-chance ||
			got.max > want+chance {
			t.Errorf("%d nodes, %d endpoints: %v endpoints a subset, want %.1f", c.nodes, c.endpoints, got,
				want)
		}
		if share := zone.mean / got.mean; share < 0.5 || share > 0.75 {
			t.Errorf("%d nodes, %d endpoints: a zone of 0.625 of the list has %.2f of the subsets", c.nodes,
				c.endpoints, share)
		}
		t.Logf("%d nodes, %d endpoints: %v endpoints a subset; of a zone of 0.625 of the list: %v", c.nodes,
			c.endpoints, got, zone)
	}
}

// In the fleet that is planned one endpoint more changes no other endpoint's subsets, and one node more
// only those that it enters, each of which another node leaves.
func TestPlannedFleetChangesFewestSubsets(t *testing.T) {
	const nodes, endpoints, sample = 4100, 200_000, 4000
	b, _ := newTestBalancer(t, subsetSettings(nodes))
	larger, _ := newTestBalancer(t, subsetSettings(nodes+1))
	per := b.endpoints.sizing.subsetsFor(endpoints)
	if per != minSubsetSize || b.endpoints.sizing.subsetsFor(endpoints+1) != per ||
		larger.endpoints.sizing.subsetsFor(endpoints) != per {
		t.Fatalf("%v subsets an endpoint, %v with one endpoint more, %v with one node more", per,
			b.endpoints.sizing.subsetsFor(endpoints+1), larger.endpoints.sizing.subsetsFor(endpoints))
	}
	entered, left := 0, 0
	for n := range sample {
		key := endpointKey(fmt.Sprintf("server-%06d", n*(endpoints/sample)))
		first := int(per + fraction(key))
		before, after := lastRank(key, nodes, first), lastRank(key, nodes+1, first)
		for node := range nodes + 1 {
			was := node < nodes && rank(key, node) <= before
			is := rank(key, node) <= after
			if is && !was {
				if entered++; node != nodes {
					t.Fatalf("node %d enters the subsets of endpoint %d", node, n)
				}
			}
			left += int(oneIf(was && !is))
		}
	}
	if entered == 0 || left != entered {
		t.Errorf("%d subsets are left for %d that the new node enters", left, entered)
	}
	t.Logf("of %d endpoints the new node enters %d subsets, others leave %d", sample, entered, left)
}

// A list that grows and shrinks by deltas alone gives the subsets that its present length asks for.
func TestSubsetFollowsListLength(t *testing.T) {
	const nodes, few, many = 1024, 200, 20_000
	list := testEndpoints(many)
	b, r := newTestBalancer(t, subsetSettings(nodes), list[:few]...)
	check := func(n int) {
		t.Helper()
		perServer := func(length float64) float64 { return math.Max(3, 12*math.Sqrt(1.5*nodes/length)) }
		least := int(perServer(float64(n) * listLengthSlack))
		most := int(math.Ceil(perServer(float64(n) / listLengthSlack)))
		b.TimerFired(b.now, timerControlInterval, r) // drops what has left the subset
		own := subsetIDs(b)
		for _, e := range list[:n] {
			before := position(endpointKey(e.ID), b.settings.NodeIndex, nodes, most+1)
			if before < least && !own[e.ID] || before > most && own[e.ID] {
				t.Fatalf("%d endpoints: %s, with %d nodes before this one, is in the subset: %v", n, e.ID,
					before, own[e.ID])
			}
		}
		if st := b.Stats(); st.ListedEndpoints != n || st.SubsetEndpoints != len(own) ||
			st.TrackedEndpoints > len(own) {
			t.Fatalf("%d endpoints: %+v, %d in the subset", n, st, len(own))
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

// Where the number of subsets follows the length of the list, only endpoints that can enter the subset or
// leave it are considered: a small part of a long list, also after endpoints have come and gone, and none
// of them is missing.
func TestSubsetFollowsWithoutScan(t *testing.T) {
	const nodes, endpoints, gone = 1024, 4000, 3000
	list := testEndpoints(endpoints + 5*gone)
	b, r := newTestBalancer(t, subsetSettings(nodes), list[:endpoints/2]...)
	peak := minSubsetCandidates // of the endpoints that can enter the subset
	check := func(when string) {
		t.Helper()
		candidates := map[slotIndex]bool{}
		for _, at := range b.endpoints.list.subsetCandidates {
			candidates[at] = true
		}
		live := 0
		for at := range b.endpoints.list.entries {
			if b.endpoints.list.isFree(slotIndex(at)) || b.endpoints.list.entries[at].entersAt == notRanked {
				continue
			}
			if live++; !candidates[slotIndex(at)] {
				t.Fatalf("%s: %s can enter the subset and is no candidate", when,
					b.endpoints.list.entries[at].id)
			}
		}
		peak = max(peak, live)
		if len(b.endpoints.list.subsetCandidates) > 2*peak {
			t.Errorf("%s: %d candidates, %d endpoints can enter the subset", when,
				len(b.endpoints.list.subsetCandidates), live)
		}
		if st := b.Stats(); live < st.SubsetEndpoints || live*10 > st.ListedEndpoints {
			t.Errorf("%s: %d of %d endpoints can enter the subset of %d", when, live, st.ListedEndpoints,
				st.SubsetEndpoints)
		}
	}
	check("short")
	for n := endpoints / 2; n < endpoints; n++ {
		b.EndpointsUpdated(testStart, UpdateDelta, list[n:n+1], r)
	}
	check("grown")
	for n := range 5 * gone { // a new endpoint takes the slot of an old one
		old := list[n]
		old.State = Removed
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{old, list[endpoints+n]}, r)
	}
	check("replaced")
	for at := range b.endpoints.list.entries[:100] { // one after another, each comes back under its name
		for range 100 {
			e := b.endpoints.list.endpointAt(slotIndex(at))
			for _, e.State = range []EndpointState{Removed, Up} {
				b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
			}
		}
	}
	check("returned")
	for n := 5 * gone; n < 5*gone+endpoints*3/4; n++ {
		old := list[n]
		old.State = Removed
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{old}, r)
	}
	check("shrunk")
	b.EndpointsUpdated(testStart, UpdateSnapshot, list[:endpoints], r)
	check("replaced by a snapshot")
}
