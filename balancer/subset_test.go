package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// subsetSettings are those of a large fleet whose servers report their load in answers.
func subsetSettings(nodes int) Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports, s.HealthChecks = nodes, 40, LoadReportsInResponses, true
	s.Plans[1].Rate, s.Plans[1].Burst = 1e5, 1e5
	return s
}

// manyServers returns a list whose weights differ tenfold and whose zones differ in size.
func manyServers(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		zone := []string{"a", "a", "a", "a", "a", "b", "b", "c"}[i%8]
		list[i] = Endpoint{ID: fmt.Sprintf("server-%06d", i), MachineType: "k", Zone: zone, Cell: i % 5, Weight: float64(1 + 9*(i%2))}
	}
	return list
}

// wholeFleet returns all gateways of a fleet, each with the list.
func wholeFleet(t *testing.T, nodes int, list []Endpoint) []*Balancer {
	t.Helper()
	gates := make([]*Balancer, nodes)
	for me := range gates {
		s := subsetSettings(nodes)
		s.NodeIndex = me
		g, err := New(s, uint64(me+1))
		if err != nil {
			t.Fatal(err)
		}
		g.Start(t0, &recorder{})
		g.EndpointsUpdated(t0, UpdateSnapshot, list, &recorder{})
		gates[me] = g
	}
	return gates
}

// subsetOf returns the listed servers in a gateway's subset.
func subsetOf(g *Balancer) map[string]bool {
	ids := map[string]bool{}
	for _, s := range g.endpoints.tracked {
		if s.inSubset && s.listed {
			ids[s.ID] = true
		}
	}
	return ids
}

// spread is the mean, least and most of counts.
type spread struct{ mean, least, most float64 }

func spreadOf(counts []float64) spread {
	sum := 0.0
	for _, c := range counts {
		sum += c
	}
	return spread{sum / float64(len(counts)), slices.Min(counts), slices.Max(counts)}
}

func (s spread) String() string {
	return fmt.Sprintf("mean %.1f, least %.0f, most %.0f", s.mean, s.least, s.most)
}

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

func subsetsOf(gates []*Balancer) []map[string]bool {
	all := make([]map[string]bool, len(gates))
	for n, g := range gates {
		all[n] = subsetOf(g)
	}
	return all
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

// lose has every server of a gateway's subset be of no use in one of the ways in which that happens.
var lose = map[string]func(g *Balancer, s *endpoint, r *recorder){
	"draining": func(g *Balancer, s *endpoint, r *recorder) {
		e := s.Endpoint
		e.State = Draining
		g.EndpointsUpdated(g.now, UpdateDelta, []Endpoint{e}, r)
	},
	"gone": func(g *Balancer, s *endpoint, r *recorder) {
		e := s.Endpoint
		e.State = Removed
		g.EndpointsUpdated(g.now, UpdateDelta, []Endpoint{e}, r)
	},
	"cold": func(g *Balancer, s *endpoint, r *recorder) {
		e := s.Endpoint
		e.StartedAt = g.now
		g.EndpointsUpdated(g.now, UpdateDelta, []Endpoint{e}, r)
		s.slowStart.tokens, s.slowStart.accruedAt = 0, g.now // nothing saved up yet
	},
	"silent": func(g *Balancer, s *endpoint, r *recorder) { g.recordNoResponse(s, g.now) },
	"errors": func(g *Balancer, s *endpoint, r *recorder) { s.health.eject(g.now) },
}

// Where a whole subset is of no use, the same decision must find another server, and the gateways that have
// lost theirs must not crowd the same ones.
func TestReserveServesWhereTheSubsetIsLost(t *testing.T) {
	const nodes, servers, each, more = 100, 400, 5, 60
	list := manyServers(servers)
	for way, loseOne := range lose {
		gates := wholeFleet(t, nodes, list)
		to, heavy := map[string]int{}, 0
		for _, g := range gates {
			r := &recorder{}
			g.now, g.actions = t0, r
			members := slices.Clone(g.endpoints.tracked)
			for _, s := range members {
				loseOne(g, s, r)
			}
			for n := range each {
				q := newRequest(n, "safe", "rate", uint64(n))
				g.RequestArrived(t0, q, r)
				if req := g.requests.byID[q.ID]; req == nil || req.attempts[0].endpoint.inSubset {
					t.Fatalf("%s: not sent to the reserve: %v", way, r.acts)
				}
				s := g.requests.byID[q.ID].attempts[0].endpoint
				to[s.ID]++
				heavy += int(oneIf(s.Weight > 1))
			}
			for n := each; n < each+more; n++ {
				q := newRequest(n, "safe", "rate", uint64(n))
				g.RequestArrived(t0, q, r)
				g.AttemptFinished(t0, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
			}
			// As many as a subset holds stand in for it, and one may have been drawn beside them.
			if known := g.Stats().TrackedEndpoints; known > len(members)+g.endpoints.subsetSize()+1 {
				t.Errorf("%s: %d servers known, %d of them in the subset", way, known, len(members))
			}
		}
		most := 0
		for _, n := range to {
			most = max(most, n)
		}
		// Half of the 400 weigh ten times as much as the others and get nearly all, some of them several by chance.
		if len(to) < servers/3 || most > 15 || heavy < nodes*each*3/4 {
			t.Errorf("%s: %d servers used, one by %d of %d requests, %d to large ones", way, len(to), most, nodes*each, heavy)
		}
	}
}

// Where a zone is lost, every gateway must go on in the same decision, and those that have lost most of their
// subset must not crowd the servers that are left.
func TestLostZoneIsServedByTheOthers(t *testing.T) {
	const nodes, servers, each = 100, 400, 10
	list := manyServers(servers)
	to, left := map[string]int{}, 0
	var lost []Endpoint
	for _, e := range list {
		if e.Zone == "a" {
			e.State = Removed
			lost = append(lost, e)
		} else {
			left++
		}
	}
	for _, g := range wholeFleet(t, nodes, list) {
		r := &recorder{}
		g.EndpointsUpdated(t0, UpdateDelta, lost, r)
		for n := range each {
			q := newRequest(n, "safe", "rate", uint64(n))
			g.RequestArrived(t0, q, r)
			if req := g.requests.byID[q.ID]; req == nil || req.attempts[0].endpoint.Zone == "a" {
				t.Fatalf("gateway %d: %v", g.settings.NodeIndex, r.acts)
			}
			to[g.requests.byID[q.ID].attempts[0].endpoint.ID]++
			g.AttemptFinished(t0, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
		}
	}
	most := 0
	for _, n := range to {
		most = max(most, n)
	}
	if mean := nodes * each / float64(left); len(to) < left/2 || float64(most) > 10*mean {
		t.Errorf("%d of %d servers used, one by %d requests where the mean is %.1f", len(to), left, most, mean)
	}
	t.Logf("%d of %d servers used, one by %d of %d requests", len(to), left, most, nodes*each)
}

// What was used of the reserve is forgotten once the subset is back, and its servers wait in the reserve again.
func TestReserveIsForgotten(t *testing.T) {
	g, r := newGate(t, subsetSettings(100), manyServers(400)...)
	members, waiting := g.Stats().TrackedEndpoints, len(g.endpoints.list.reserve.all)
	for _, s := range g.endpoints.tracked {
		s.health.eject(g.now)
	}
	g.RequestArrived(t0, newRequest(1, "safe", "rate", 1), r)
	if known := g.Stats().TrackedEndpoints; known != members+1 || len(g.endpoints.list.reserve.all) != waiting-1 {
		t.Fatalf("%d known, %d in the reserve", known, len(g.endpoints.list.reserve.all))
	}
	g.TimerFired(t0+time.Minute, timerControlInterval, r)
	if g.Stats().TrackedEndpoints != members+1 {
		t.Error("a server with an attempt out was forgotten")
	}
	g.AttemptFinished(t0+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	g.TimerFired(t0+2*time.Minute, timerControlInterval, r)
	if known := g.Stats().TrackedEndpoints; known != members || len(g.endpoints.list.reserve.all) != waiting {
		t.Errorf("%d known, %d in the reserve, want %d and %d", known, len(g.endpoints.list.reserve.all), members, waiting)
	}
}

// drawReads counts the entries of the list that are read out to find a server outside the subset.
func drawReads(g *Balancer, draw func(*request) *endpoint) int {
	before := g.endpoints.list.entryReads
	draw(&request{Request: newRequest(1, "safe", "rate", 1)})
	return g.endpoints.list.entryReads - before
}

// A server of the reserve must be found without going through the list.
func TestReserveIsNotScanned(t *testing.T) {
	g, _ := newGate(t, subsetSettings(100), manyServers(20_000)...)
	if n := drawReads(g, g.sampleReserve); n < 1 || n > maxReserveSamples {
		t.Errorf("%d entries read", n)
	}
	scan := func(r *request) (found *endpoint) {
		var fit []slotIndex
		for at := range g.endpoints.list.entries {
			if s := (&endpoint{Endpoint: g.endpoints.list.endpointAt(slotIndex(at))}); s.State == Up && g.mayAttempt(r, s) {
				fit = append(fit, slotIndex(at))
			}
		}
		return g.endpoints.track(fit[g.rng.IntN(len(fit))])
	}
	if n := drawReads(g, scan); n <= maxReserveSamples {
		t.Errorf("a scan passes: %d entries read", n)
	}
}

// A request whose repeats are dropped in one zone or cell only must stay there, in the reserve too.
func TestRepeatFindsItsZoneOrCellInTheReserve(t *testing.T) {
	for _, group := range []DedupScope{DedupZone, DedupCell} {
		s := subsetSettings(100)
		s.Classes[1].DedupScope = group
		for seed := range 20 {
			g, r := newGate(t, s, manyServers(400)...)
			g.rng = rand.New(rand.NewPCG(uint64(seed), 1))
			g.retries.tokens = 5
			g.RequestArrived(t0, newRequest(1, "keyed", "rate", 1), r)
			first := g.requests.byID["r1"].attempts[0]
			for _, sv := range g.endpoints.tracked {
				sv.health.eject(g.now)
			}
			g.AttemptFinished(t0+ms, Outcome{ID: "r1", Result: Reset, Elapsed: ms}, r)
			req := g.requests.byID["r1"]
			if req == nil || len(req.attempts) != 2 {
				t.Fatalf("no repeat: %v", r.acts)
			}
			again := req.attempts[1]
			if again.endpoint.inSubset || group == DedupZone && again.zone != first.zone || group == DedupCell && again.cell != first.cell {
				t.Errorf("group %d: first %s/%d, then %s/%d, member %v", group, first.zone, first.cell, again.zone, again.cell, again.endpoint.inSubset)
			}
		}
	}
}

// What all gateways together send to a cold server must stay within its budget while their subsets change: the
// list shrinks to an eighth, and with it each server comes into more subsets.
func TestColdBudgetHoldsWhileSubsetsChange(t *testing.T) {
	const nodes, servers, steps, goneEach = 60, 160, 10, 14
	list := manyServers(servers)
	for i := range list {
		list[i].State = Draining // listed, but nothing else takes work
	}
	cold := Endpoint{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0 + time.Second}
	gates := wholeFleet(t, nodes, list)
	now, sends := t0+time.Second, 0
	for _, g := range gates {
		g.EndpointsUpdated(now, UpdateDelta, []Endpoint{cold}, &recorder{})
	}
	before := len(holders(gates, "cold"))
	for step := range steps {
		now += controlInterval
		for _, g := range gates {
			r := &recorder{}
			g.TimerFired(now, timerControlInterval, r)
			for gone := step * goneEach; gone < (step+1)*goneEach; gone++ {
				e := list[gone]
				e.State = Removed
				g.EndpointsUpdated(now, UpdateDelta, []Endpoint{e}, r)
			}
			for n := range 40 { // all that is let through goes there
				q := newRequest(step*100+n, "safe", "rate", uint64(n))
				g.RequestArrived(now, q, r)
				if req := g.requests.byID[q.ID]; req != nil && req.attempts[0].endpoint.ID == "cold" {
					sends++
				}
				g.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: 200 * ms}, r)
			}
		}
	}
	if after := len(holders(gates, "cold")); after < 2*before {
		t.Fatalf("in %d subsets, then in %d: the list does not shrink enough", before, after)
	}
	s := gates[0].settings
	share := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*1/s.SlowStartDuration.Seconds()
	allowed := s.OverloadFactor * share * s.OverloadWindow.Seconds() / gates[0].latency.work(2)
	if most := allowed + 2*math.Sqrt(allowed) + 2; sends == 0 || float64(sends) > most {
		t.Errorf("%d requests to a cold server in a second, at most %.1f", sends, most)
	}
}

// A gateway whose subset comes to hold a server that is cold already must not begin with something saved up: the
// others have had the whole of its budget so far.
func TestColdServerThatEntersASubsetStartsFromNothing(t *testing.T) {
	const nodes, servers, left = 60, 90, 20
	list := manyServers(servers)
	cold := Endpoint{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0}
	gates := wholeFleet(t, nodes, append(slices.Clone(list), cold))
	first := holders(gates, "cold")
	for _, g := range gates {
		for _, e := range list[left:] {
			e.State = Removed
			g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, &recorder{})
		}
		g.TimerFired(t0, timerControlInterval, &recorder{})
	}
	entered := 0
	for _, g := range holders(gates, "cold") {
		credit := g.endpoints.trackedByID["cold"].slowStart.tokens
		if slices.Contains(first, g) {
			continue
		}
		entered++
		if credit != 0 {
			t.Errorf("gateway %d enters with %v", g.settings.NodeIndex, credit)
		}
	}
	if entered == 0 {
		t.Error("no subset has come to hold the server")
	}
}

// A list that is replaced over and over, or was long once, must not leave what it held behind for ever.
func TestReplacedListsLeaveNothingBehind(t *testing.T) {
	g, r := newGate(t, subsetSettings(100), manyServers(20_000)...)
	for n := range 2000 {
		var list []Endpoint
		for i := range 10 {
			id := fmt.Sprintf("s%d-%d", n, i)
			list = append(list, Endpoint{ID: id, MachineType: id, Zone: id, Cell: n*10 + i, Weight: float64(n*10 + i + 1)})
		}
		g.EndpointsUpdated(t0, UpdateSnapshot, list, r)
	}
	l := g.endpoints.list
	for what, n := range map[string]int{
		"servers": len(l.entries), "zones": len(l.zones.values), "kinds": len(l.machineTypes.values),
		"cells": len(l.cells.values), "weights": len(l.weights.values), "pools": len(l.reserve.byZone),
	} {
		if n > 4*(10+staleSlack)+10 {
			t.Errorf("%d %s for a list of ten servers", n, what)
		}
	}
	if len(l.slotByID) != 10 || g.Stats().TrackedEndpoints > 10 {
		t.Errorf("%d listed, %+v", len(l.slotByID), g.Stats())
	}
}

// A whole list removes what it does not name, whatever else it says, and however its servers were listed before.
func TestWholeListRemovesWhatItDoesNotName(t *testing.T) {
	a, b, c := Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c"}
	gone := func(e Endpoint) Endpoint {
		e.State = Removed
		return e
	}
	for name, test := range map[string]struct {
		before  [][]Endpoint // the first is a whole list, the others are changes
		list    []Endpoint
		removed []string
	}{
		"all named":                    {before: [][]Endpoint{{a, b, c}}, list: []Endpoint{a, b, c}},
		"one missing":                  {before: [][]Endpoint{{a, b, c}}, list: []Endpoint{a, b}, removed: []string{"c"}},
		"one named twice, one missing": {before: [][]Endpoint{{a, b, c}}, list: []Endpoint{a, a, b}, removed: []string{"c"}},
		"a new one for a missing one":  {before: [][]Endpoint{{a, b}}, list: []Endpoint{a, c}, removed: []string{"b"}},
		"named and taken back":         {before: [][]Endpoint{{a, b, c}}, list: []Endpoint{a, b, gone(b)}, removed: []string{"b", "c"}},
		"taken back unnamed":           {before: [][]Endpoint{{a, b, c}}, list: []Endpoint{gone(a), b}, removed: []string{"a", "c"}},
		"listed by a change":           {before: [][]Endpoint{{a}, {b, c}}, list: []Endpoint{a, b}, removed: []string{"c"}},
		"changed to as it was":         {before: [][]Endpoint{{a, b}, {gone(b)}, {b, c}}, list: []Endpoint{a, b}, removed: []string{"c"}},
		"removed by a change":          {before: [][]Endpoint{{a, b, c}, {gone(c)}}, list: []Endpoint{a}, removed: []string{"b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			g, r := newGate(t, subsetSettings(100), test.before[0]...)
			for _, changes := range test.before[1:] {
				g.EndpointsUpdated(t0, UpdateDelta, changes, r)
			}
			for round := range 2 { // a list that comes again finds things as it left them
				g.EndpointsUpdated(t0, UpdateSnapshot, test.list, r)
				for _, id := range []string{"a", "b", "c"} {
					wanted := !slices.Contains(test.removed, id) && slices.ContainsFunc(test.list, func(e Endpoint) bool { return e.ID == id })
					if _, listed := g.endpoints.list.slotByID[id]; listed != wanted {
						t.Errorf("list %d: %s is listed: %v", round+1, id, listed)
					}
				}
			}
		})
	}
}

// A whole list that comes in the order of the one before must be taken in without a look-up of each entry, also
// behind entries that are gone or new.
func TestListInTheSameOrderIsNotLookedUp(t *testing.T) {
	const servers = 20_000
	list := manyServers(servers)
	g, r := newGate(t, subsetSettings(1000), list...)
	lookups := func(form UpdateKind, list []Endpoint) int {
		before := g.endpoints.list.lookups
		g.EndpointsUpdated(t0, form, list, r)
		return g.endpoints.list.lookups - before
	}
	if n := lookups(UpdateSnapshot, list); n != 0 {
		t.Errorf("%d look-ups for the same list", n)
	}
	fewer := slices.Delete(slices.Clone(list), servers/2, servers/2+3)
	if n := lookups(UpdateSnapshot, fewer); n != 1 {
		t.Errorf("%d look-ups for a list with a gap", n)
	}
	more := slices.Insert(slices.Clone(fewer), 7, Endpoint{ID: "new", MachineType: "k", Zone: "a", Weight: 1})
	if n := lookups(UpdateSnapshot, more); n > 4 {
		t.Errorf("%d look-ups for a list with an entry more", n)
	}
	if listed := g.Stats().ListedEndpoints; listed != len(more) {
		t.Errorf("%d listed of %d", listed, len(more))
	}
	slices.Reverse(more)
	if n := lookups(UpdateSnapshot, more); n < servers/2 || g.Stats().ListedEndpoints != len(more) {
		t.Errorf("%d look-ups for a list in another order, %d listed", n, g.Stats().ListedEndpoints)
	}
}

// Slots that servers have left must not be taken for those of a server without an id.
func TestServerWithoutAnIDIsListedAsOthers(t *testing.T) {
	list := manyServers(4)
	g, r := newGate(t, subsetSettings(100), list...)
	gone := list[1]
	gone.State = Removed
	g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{list[0], gone}, r)
	g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{list[0], {MachineType: "k", Zone: "a"}}, r)
	if st := g.Stats(); st.ListedEndpoints != 4 || g.endpoints.list.activeWeights.total != 4 {
		t.Errorf("%d listed, %d up, want 4", st.ListedEndpoints, g.endpoints.list.activeWeights.total)
	}
	g.EndpointsUpdated(t0, UpdateSnapshot, list, r)
	if st := g.Stats(); st.ListedEndpoints != 4 || g.endpoints.trackedByID[""] != nil {
		t.Errorf("%d listed, want 4; without an id: %v", st.ListedEndpoints, g.endpoints.trackedByID[""])
	}
}

// A server that is known may come back as one of another kind: its latencies must count as that kind's, not as
// those of whichever kind came first.
func TestKnownServerChangesItsKind(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		g, r := newGate(t, subsetSettings(nodes), fleet(2)...)
		moved := fleet(2)[1]
		moved.MachineType = "other"
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{moved}, r)
		g.recordLatency(0, g.endpoints.trackedByID["s0"], 40*ms)
		for range 2 {
			g.recordLatency(0, g.endpoints.trackedByID[moved.ID], 50*ms)
		}
		first, other := g.latency.indexOf("k"), g.latency.indexOf("other")
		if first == other || len(g.latency.machineTypes) != 2 {
			t.Fatalf("%d nodes: machine types %v", nodes, g.latency.machineTypeIndex)
		}
		if a, b := g.latency.machineTypes[first].samples, g.latency.machineTypes[other].samples; a != 1 || b != 2 {
			t.Errorf("%d nodes: %v latencies of the first machine type, %v of the new one", nodes, a, b)
		}
	}
}

// holders returns the gateways in whose subsets a server is.
func holders(gates []*Balancer, id string) (in []*Balancer) {
	for _, g := range gates {
		if s := g.endpoints.trackedByID[id]; s != nil && s.inSubset {
			in = append(in, g)
		}
	}
	return in
}

// A server that has been removed must be known until its attempts have ended, whatever the list does.
func TestRemovedServerIsKeptWhileAttemptsAreOut(t *testing.T) {
	g, r := newGate(t, subsetSettings(100), manyServers(400)...)
	g.RequestArrived(t0, newRequest(1, "safe", "rate", 1), r)
	s := g.requests.byID["r1"].attempts[0].endpoint
	e := s.Endpoint
	e.State = Removed
	g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, r)
	g.TimerFired(t0+time.Minute, timerControlInterval, r)
	if g.endpoints.trackedByID[s.ID] != s || s.acceptsRequests() {
		t.Fatal("forgotten with an attempt out, or still sent to")
	}
	g.AttemptFinished(t0+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	g.TimerFired(t0+time.Minute+controlInterval, timerControlInterval, r)
	if g.endpoints.trackedByID[s.ID] != nil {
		t.Error("known after its attempts have ended")
	}
}

// A removed server that is kept for its attempts must be dropped by the first change of the list after they have
// ended, also in a small fleet, which forgets nothing in between.
func TestRemovedServerIsDroppedOnceItsAttemptsEnd(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		g, r := newGate(t, subsetSettings(nodes), fleet(3)...)
		g.RequestArrived(t0, newRequest(1, "safe", "rate", 1), r)
		s := g.requests.byID["r1"].attempts[0].endpoint
		gone, other := s.Endpoint, fleet(3)[0]
		if other.ID == gone.ID {
			other = fleet(3)[1]
		}
		gone.State, other.State = Removed, Draining
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{gone}, r)
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{other}, r)
		if g.endpoints.trackedByID[s.ID] != s {
			t.Fatalf("%d nodes: dropped with an attempt out", nodes)
		}
		g.AttemptFinished(t0+ms, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
		other.State = Up
		g.EndpointsUpdated(t0+ms, UpdateDelta, []Endpoint{other}, r)
		if g.endpoints.trackedByID[s.ID] != nil || slices.Contains(g.endpoints.tracked, s) {
			t.Errorf("%d nodes: known after its attempts have ended", nodes)
		}
	}
}

// News takes room in each message: it names only what the receiver's subset holds.
func TestNewsNamesTheReceiversServers(t *testing.T) {
	const nodes = 100
	gates := wholeFleet(t, nodes, manyServers(100))
	from, named := gates[3], 0
	for _, s := range from.endpoints.tracked {
		s.recordLoad(1, t0)
	}
	for to, g := range gates {
		from.now = t0 + ms
		news := from.freshestLoads(maxLoadEntries, to)
		for _, s := range news {
			if other := g.endpoints.trackedByID[s.ID]; other == nil || !other.inSubset {
				t.Fatalf("gateway %d is told of %s, which its subset has not", to, s.ID)
			}
		}
		both := 0
		for _, s := range from.endpoints.tracked {
			both += int(oneIf(g.endpoints.trackedByID[s.ID] != nil))
		}
		if to != 3 && len(news) != min(both, maxLoadEntries) {
			t.Errorf("gateway %d is told of %d servers of %d in common", to, len(news), both)
		}
		named += len(news)
	}
	if named == 0 {
		t.Error("nothing told")
	}
}

// Servers that share a short hash are left out of news, and counted; there are few in a subset.
func TestSharedNamesAreCounted(t *testing.T) {
	list := manyServers(20_000)
	g, r := newGate(t, subsetSettings(410), list...)
	st := g.Stats()
	if pairs := float64(st.SubsetEndpoints*st.SubsetEndpoints) / 2 / (1 << 16); float64(st.HashCollisions) > 2*(pairs+3*math.Sqrt(pairs)+1) {
		t.Errorf("%+v, about %.2f pairs expected", st, pairs)
	}
	member := g.endpoints.tracked[0]
	for n := 0; ; n++ { // another member of the same short hash
		e := Endpoint{ID: fmt.Sprintf("other-%d", n), MachineType: "k", Zone: "a"}
		if shortEndpointHash(e.ID) == member.shortHash && g.endpoints.sizing.entersAt(e.ID) <= g.endpoints.sizing.subsetsPerEndpoint {
			g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, r)
			break
		}
	}
	if now := g.Stats(); now.HashCollisions != st.HashCollisions+2 {
		t.Errorf("%d shared names, then %d", st.HashCollisions, now.HashCollisions)
	}
}
