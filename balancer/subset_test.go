package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// evenness counts the subsets that hold each server and returns an error where one is in fewer than three (or
// than all), or in two more than another.
func evenness(servers, nodes int, holds func(server, node int) bool) (spread, error) {
	counts := make([]float64, servers)
	for server := range counts {
		for node := range nodes {
			counts[server] += oneIf(holds(server, node))
		}
	}
	s := spreadOf(counts)
	if s.least < math.Min(3, float64(nodes)) {
		return s, fmt.Errorf("a server is in %v subsets of %d", s.least, nodes)
	}
	if s.most > s.least+1 {
		return s, fmt.Errorf("uneven: %v", s)
	}
	return s, nil
}

// Each server must be in as many subsets as any other, and in three at least, at all sizes. Subsets drawn by each
// gateway for itself, of the same size on average, fail this.
func TestServersAreInSubsetsEvenly(t *testing.T) {
	for _, c := range []struct{ nodes, servers, sample int }{
		{1, 1, 1}, {2, 9, 9}, {25, 3, 3}, {300, 200, 200}, {1024, 1024, 256}, {4100, 200_000, 64},
	} {
		g, _ := newGate(t, subsetSettings(c.nodes))
		per := g.endpoints.sizing.subsetsFor(float64(c.servers))
		list := manyServers(c.servers)
		s, err := evenness(c.sample, c.nodes, func(server, node int) bool {
			key := endpointKey(list[server*(c.servers/c.sample)].ID)
			subsets := int(per + fraction(key))
			return position(key, node, c.nodes, subsets) < subsets
		})
		if err != nil {
			t.Errorf("%d nodes, %d servers: %v", c.nodes, c.servers, err)
		}
		t.Logf("%d nodes, %d servers: %v subsets a server", c.nodes, c.servers, s)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	const nodes, servers, each = 300, 200, 18
	if _, err := evenness(servers, nodes, func(int, int) bool { return rng.IntN(nodes) < each }); err == nil {
		t.Error("subsets drawn without evenness pass")
	}
}

// The sizes of subsets and the load of a server may differ by chance, but not with zones or weights.
func TestSubsetsHoldAsManyServers(t *testing.T) {
	const nodes, servers = 300, 200
	list := manyServers(servers)
	gates := wholeFleet(t, nodes, list)
	sizes := make([]float64, nodes)
	held := map[string]float64{}
	load := map[string]float64{} // share of a gateway's requests, drawn by weight, over all gateways
	for n, g := range gates {
		sizes[n] = float64(g.Stats().SubsetEndpoints)
		total := 0.0
		for _, s := range g.endpoints.tracked {
			total += s.weight()
		}
		for _, s := range g.endpoints.tracked {
			held[s.ID]++
			load[s.ID] += s.weight() / total
		}
	}
	perServer, perWeight := make([]float64, servers), map[float64][]float64{}
	for i, s := range list {
		perServer[i] = held[s.ID]
		perWeight[s.Weight] = append(perWeight[s.Weight], load[s.ID])
	}
	if got := spreadOf(perServer); got.least != 18 || got.most != 18 {
		t.Errorf("subsets a server: %v, want 18", got)
	}
	if got := spreadOf(sizes); got.mean != 12 || got.least < 1 || got.most > 30 {
		t.Errorf("servers a subset: %v, want 12 on average", got)
	}
	small, large := spreadOf(perWeight[1]), spreadOf(perWeight[10])
	if ratio := large.mean / small.mean; ratio < 8 || ratio > 12 {
		t.Errorf("servers of ten times the weight get %.1f times the load", ratio)
	}
	t.Logf("servers a subset: %v; load a server of weight 1: %.2f (%.2f to %.2f), of 10: %.2f (%.2f to %.2f)", spreadOf(sizes),
		small.mean, small.least, small.most, large.mean, large.least, large.most)
}

// At all sizes a gateway's subset holds a bounded number of servers, by chance more or fewer, and each zone in it
// its share.
func TestSubsetsAreOfLikeSize(t *testing.T) {
	for _, c := range []struct{ nodes, servers, sample int }{{300, 200, 100}, {1024, 1024, 64}, {4100, 200_000, 8}} {
		list := manyServers(c.servers)
		var sizes, inZoneA []float64
		for n := range c.sample {
			s := subsetSettings(c.nodes)
			s.NodeIndex = n * (c.nodes / c.sample)
			g, _ := newGate(t, s, list...)
			own, zone := 0.0, 0.0
			for _, sv := range g.endpoints.tracked {
				own += oneIf(sv.inSubset)
				zone += oneIf(sv.inSubset && sv.Zone == "a")
			}
			sizes, inZoneA = append(sizes, own), append(inZoneA, zone)
		}
		got, zone := spreadOf(sizes), spreadOf(inZoneA)
		perNode := float64(c.servers) / float64(c.nodes)
		want := math.Max(12*math.Sqrt(perNode/(200.0/300)), 3*perNode)
		chance := 5 * math.Sqrt(want)
		if math.Abs(got.mean-want) > chance/math.Sqrt(float64(c.sample)) || got.least < want-chance || got.most > want+chance {
			t.Errorf("%d nodes, %d servers: %v servers a subset, want %.1f", c.nodes, c.servers, got, want)
		}
		if share := zone.mean / got.mean; share < 0.5 || share > 0.75 {
			t.Errorf("%d nodes, %d servers: a zone of 0.625 of the list has %.2f of the subsets", c.nodes, c.servers, share)
		}
		t.Logf("%d nodes, %d servers: %v servers a subset; of a zone of 0.625 of the list: %v", c.nodes, c.servers, got, zone)
	}
}

// In the fleet that is planned one server more must change no other server's subsets, and one node more only those
// that it enters, each of which another node leaves.
func TestPlannedFleetChangesOnlyWhatMustChange(t *testing.T) {
	const nodes, servers, sample = 4100, 200_000, 4000
	g, _ := newGate(t, subsetSettings(nodes))
	larger, _ := newGate(t, subsetSettings(nodes+1))
	per := g.endpoints.sizing.subsetsFor(servers)
	if per != minSubsetSize || g.endpoints.sizing.subsetsFor(servers+1) != per || larger.endpoints.sizing.subsetsFor(servers) != per {
		t.Fatalf("%v subsets a server, %v with one server more, %v with one node more", per,
			g.endpoints.sizing.subsetsFor(servers+1), larger.endpoints.sizing.subsetsFor(servers))
	}
	entered, left := 0, 0
	for n := range sample {
		key := endpointKey(fmt.Sprintf("server-%06d", n*(servers/sample)))
		first := int(per + fraction(key))
		before, after := lastRank(key, nodes, first), lastRank(key, nodes+1, first)
		for node := range nodes + 1 {
			was := node < nodes && rank(key, node) <= before
			is := rank(key, node) <= after
			if is && !was {
				if entered++; node != nodes {
					t.Fatalf("node %d enters the subsets of server %d", node, n)
				}
			}
			left += int(oneIf(was && !is))
		}
	}
	if entered == 0 || left != entered {
		t.Errorf("%d subsets are left for %d that the new node enters", left, entered)
	}
	t.Logf("of %d servers the new node enters %d subsets, others leave %d", sample, entered, left)
}

// A list that grows and shrinks by changes alone must give the subsets that its present length asks for.
func TestSubsetFollowsChanges(t *testing.T) {
	const nodes, few, many = 1024, 200, 20_000
	list := manyServers(many)
	g, r := newGate(t, subsetSettings(nodes), list[:few]...)
	check := func(n int) {
		t.Helper()
		perServer := func(length float64) float64 { return math.Max(3, 12*math.Sqrt(1.5*nodes/length)) }
		least := int(perServer(float64(n) * listLengthSlack))
		most := int(math.Ceil(perServer(float64(n) / listLengthSlack)))
		g.TimerFired(g.now, timerControlInterval, r) // forgets what has left the subset
		own := subsetOf(g)
		for _, e := range list[:n] {
			before := position(endpointKey(e.ID), g.settings.NodeIndex, nodes, most+1)
			if before < least && !own[e.ID] || before > most && own[e.ID] {
				t.Fatalf("%d servers: %s, with %d gateways before this one, is a member: %v", n, e.ID, before, own[e.ID])
			}
		}
		if st := g.Stats(); st.ListedEndpoints != n || st.SubsetEndpoints != len(own) || st.TrackedEndpoints > len(own) {
			t.Fatalf("%d servers: %+v, %d members", n, st, len(own))
		}
	}
	for n := few; n < many; n++ {
		g.EndpointsUpdated(t0, UpdateDelta, list[n:n+1], r)
		if n%4000 == 0 {
			check(n + 1)
		}
	}
	for n := many - 1; n >= few; n-- {
		e := list[n]
		e.State = Removed
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, r)
		if n%4000 == 0 || n == few {
			check(n)
		}
	}
}

// Where the number of subsets follows the length of the list, only servers that can enter the subset or leave it are
// looked at: a small part of a long list, also after servers have come and gone, and none of them is missing.
func TestSubsetFollowsWithoutAScan(t *testing.T) {
	const nodes, servers, gone = 1024, 4000, 3000
	list := manyServers(servers + 5*gone)
	g, r := newGate(t, subsetSettings(nodes), list[:servers/2]...)
	peak := minSubsetCandidates // of the servers that can enter the subset
	check := func(when string) {
		t.Helper()
		near := map[slotIndex]bool{}
		for _, at := range g.endpoints.list.subsetCandidates {
			near[at] = true
		}
		live := 0
		for at := range g.endpoints.list.entries {
			if g.endpoints.list.isFree(slotIndex(at)) || g.endpoints.list.entries[at].entersAt == never {
				continue
			}
			if live++; !near[slotIndex(at)] {
				t.Fatalf("%s: %s can enter the subset and is not looked at", when, g.endpoints.list.entries[at].id)
			}
		}
		peak = max(peak, live)
		if len(g.endpoints.list.subsetCandidates) > 2*peak {
			t.Errorf("%s: %d servers looked at, %d can enter the subset", when, len(g.endpoints.list.subsetCandidates), live)
		}
		if st := g.Stats(); live < st.SubsetEndpoints || live*10 > st.ListedEndpoints {
			t.Errorf("%s: %d of %d servers can enter the subset of %d", when, live, st.ListedEndpoints, st.SubsetEndpoints)
		}
	}
	check("short")
	for n := servers / 2; n < servers; n++ {
		g.EndpointsUpdated(t0, UpdateDelta, list[n:n+1], r)
	}
	check("grown")
	for n := range 5 * gone { // a server is replaced by a new one, which takes its slot
		old := list[n]
		old.State = Removed
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{old, list[servers+n]}, r)
	}
	check("replaced")
	for at := range g.endpoints.list.entries[:100] { // one after another, each comes back under its name
		for range 100 {
			e := g.endpoints.list.endpointAt(slotIndex(at))
			for _, e.State = range []EndpointState{Removed, Up} {
				g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, r)
			}
		}
	}
	check("returned")
	for n := 5 * gone; n < 5*gone+servers*3/4; n++ {
		old := list[n]
		old.State = Removed
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{old}, r)
	}
	check("shrunk")
	g.EndpointsUpdated(t0, UpdateSnapshot, list[:servers], r)
	check("replaced by a whole list")
}
