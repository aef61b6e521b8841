package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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
