package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// waysToLose makes an endpoint of the subset useless, in each of the ways in which that happens.
var waysToLose = map[string]func(b *Balancer, s *endpoint, r *hostRecorder){
	"draining": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.State = Draining
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
	},
	"gone": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.State = Removed
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
	},
	"cold": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.StartedAt = b.now
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
		s.slowStart.tokens, s.slowStart.accruedAt = 0, b.now // no tokens yet
	},
	"unreachable": func(b *Balancer, s *endpoint, r *hostRecorder) { b.recordNoResponse(s, b.now) },
	"errors":      func(b *Balancer, s *endpoint, r *hostRecorder) { s.health.eject(b.now) },
}

// Where a whole subset is useless, the same selection finds another endpoint, and the nodes that have lost
// theirs don't crowd the same ones.
func TestReserveServesWhenSubsetIsLost(t *testing.T) {
	const nodes, endpoints, each, more = 100, 400, 5, 60
	list := testEndpoints(endpoints)
	for way, loseOne := range waysToLose {
		balancers := newFleet(t, nodes, list)
		to, heavy := map[string]int{}, 0
		for _, b := range balancers {
			r := &hostRecorder{}
			b.now, b.actions = testStart, r
			members := slices.Clone(b.endpoints.tracked)
			for _, e := range members {
				loseOne(b, e, r)
			}
			for n := range each {
				q := newRequest(n, "safe", "rate", uint64(n))
				b.RequestArrived(testStart, q, r)
				if req := b.requests.byID[q.ID]; req == nil || req.attempts[0].endpoint.inSubset {
					t.Fatalf("%s: not sent to the reserve: %v", way, r.actions)
				}
				e := b.requests.byID[q.ID].attempts[0].endpoint
				to[e.ID]++
				heavy += int(oneIf(e.Weight > 1))
			}
			for n := each; n < each+more; n++ {
				q := newRequest(n, "safe", "rate", uint64(n))
				b.RequestArrived(testStart, q, r)
				b.AttemptFinished(testStart, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
			}
			// As many as a subset holds stand in for it, and one may have been sampled besides.
			if known := b.Stats().TrackedEndpoints; known > len(members)+b.endpoints.subsetSize()+1 {
				t.Errorf("%s: %d endpoints tracked, %d of them in the subset", way, known, len(members))
			}
		}
		most := 0
		for _, n := range to {
			most = max(most, n)
		}
		// Half of the 400 weigh ten times as much as the others and get nearly all, some of them several by
		// chance.
		if len(to) < endpoints/3 || most > 15 || heavy < nodes*each*3/4 {
			t.Errorf("%s: %d endpoints used, one by %d of %d requests, %d to large ones", way, len(to),
				most, nodes*each, heavy)
		}
	}
}

// Where a zone is lost, every node goes on with the same selection, and those that have lost most of their
// subset don't crowd the endpoints that are left.
func TestLostZoneIsServedByOthers(t *testing.T) {
	const nodes, endpoints, each = 100, 400, 10
	list := testEndpoints(endpoints)
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
	for _, b := range newFleet(t, nodes, list) {
		r := &hostRecorder{}
		b.EndpointsUpdated(testStart, UpdateDelta, lost, r)
		for n := range each {
			q := newRequest(n, "safe", "rate", uint64(n))
			b.RequestArrived(testStart, q, r)
			if req := b.requests.byID[q.ID]; req == nil || req.attempts[0].endpoint.Zone == "a" {
				t.Fatalf("node %d: %v", b.settings.NodeIndex, r.actions)
			}
			to[b.requests.byID[q.ID].attempts[0].endpoint.ID]++
			b.AttemptFinished(testStart, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
		}
	}
	most := 0
	for _, n := range to {
		most = max(most, n)
	}
	if mean := nodes * each / float64(left); len(to) < left/2 || float64(most) > 10*mean {
		t.Errorf("%d of %d endpoints used, one by %d requests where the mean is %.1f", len(to), left, most,
			mean)
	}
	t.Logf("%d of %d endpoints used, one by %d of %d requests", len(to), left, most, nodes*each)
}

// What was used of the reserve is dropped once the subset is back, and returns to the reserve.
func TestReserveEndpointsAreDroppedAfterUse(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(100), testEndpoints(400)...)
	members, waiting := b.Stats().TrackedEndpoints, len(b.endpoints.list.reserve.all)
	for _, e := range b.endpoints.tracked {
		e.health.eject(b.now)
	}
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	if known := b.Stats().TrackedEndpoints; known != members+1 ||
		len(b.endpoints.list.reserve.all) != waiting-1 {
		t.Fatalf("%d tracked, %d in the reserve", known, len(b.endpoints.list.reserve.all))
	}
	b.TimerFired(testStart+time.Minute, timerControlInterval, r)
	if b.Stats().TrackedEndpoints != members+1 {
		t.Error("an endpoint with an attempt in flight was dropped")
	}
	b.AttemptFinished(testStart+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(testStart+2*time.Minute, timerControlInterval, r)
	if known := b.Stats().TrackedEndpoints; known != members || len(b.endpoints.list.reserve.all) != waiting {
		t.Errorf("%d tracked, %d in the reserve, want %d and %d", known, len(b.endpoints.list.reserve.all),
			members, waiting)
	}
}

// entryReadsOf counts the entries of the list that are read to find an endpoint outside the subset.
func entryReadsOf(b *Balancer, draw func(*request) *endpoint) int {
	before := b.endpoints.list.entryReads
	draw(&request{Request: newRequest(1, "safe", "rate", 1)})
	return b.endpoints.list.entryReads - before
}

// An endpoint of the reserve is found without a scan of the list.
func TestReserveIsNotScanned(t *testing.T) {
	b, _ := newTestBalancer(t, subsetSettings(100), testEndpoints(20_000)...)
	if n := entryReadsOf(b, b.sampleReserve); n < 1 || n > maxReserveSamples {
		t.Errorf("%d entries read", n)
	}
	scan := func(r *request) (found *endpoint) {
		var fit []slotIndex
		for at := range b.endpoints.list.entries {
			if s := (&endpoint{Endpoint: b.endpoints.list.endpointAt(slotIndex(at))}); s.State == Up &&
				b.mayAttempt(r, s) {
				fit = append(fit, slotIndex(at))
			}
		}
		return b.endpoints.track(fit[b.rng.IntN(len(fit))])
	}
	if n := entryReadsOf(b, scan); n <= maxReserveSamples {
		t.Errorf("a scan passes: %d entries read", n)
	}
}

// A request whose repeats are dropped in one zone or cell only stays there, in the reserve too.
func TestRetryStaysInDedupScopeInReserve(t *testing.T) {
	for _, group := range []DedupScope{DedupZone, DedupCell} {
		s := subsetSettings(100)
		s.Classes[1].DedupScope = group
		for seed := range 20 {
			b, r := newTestBalancer(t, s, testEndpoints(400)...)
			b.rng = rand.New(rand.NewPCG(uint64(seed), 1))
			b.retries.tokens = 5
			b.RequestArrived(testStart, newRequest(1, "keyed", "rate", 1), r)
			first := b.requests.byID["r1"].attempts[0]
			for _, sv := range b.endpoints.tracked {
				sv.health.eject(b.now)
			}
			b.AttemptFinished(testStart+ms, Outcome{ID: "r1", Result: Reset, Elapsed: ms}, r)
			req := b.requests.byID["r1"]
			if req == nil || len(req.attempts) != 2 {
				t.Fatalf("no repeat: %v", r.actions)
			}
			again := req.attempts[1]
			if again.endpoint.inSubset || group == DedupZone && again.zone != first.zone ||
				group == DedupCell && again.cell != first.cell {
				t.Errorf("scope %d: first %s/%d, then %s/%d, in the subset %v", group, first.zone,
					first.cell, again.zone, again.cell, again.endpoint.inSubset)
			}
		}
	}
}

// The reserve holds what is up, warm and not tracked, in the pools of its zone and cell.
func TestReserveMembership(t *testing.T) {
	const warmUp = 10 * time.Second
	list := newEndpointList(0)
	slots := map[string]slotIndex{}
	for _, e := range []Endpoint{
		{ID: "a1", Zone: "a", Cell: 1},
		{ID: "a2", Zone: "a", Cell: 2},
		{ID: "b1", Zone: "b", Cell: 1},
		{ID: "draining", Zone: "a", Cell: 1, State: Draining},
		{ID: "cold", Zone: "a", Cell: 1, StartedAt: testStart - time.Second},
		{ID: "tracked", Zone: "a", Cell: 1},
	} {
		slots[e.ID] = list.add(e.ID)
		list.update(slots[e.ID], e)
	}
	list.setTracked(slots["tracked"], true)
	for _, slot := range slots {
		list.updateReserve(slot, testStart, warmUp)
	}
	check := func(when, all, inZoneA, inCell1 string) {
		t.Helper()
		for _, part := range []struct {
			name string
			got  pool
			want string
		}{
			{"all", list.reserve.all, all},
			{"zone a", list.reserveInZone("a"), inZoneA},
			{"cell 1", list.reserveInCell(1), inCell1},
		} {
			var ids []string
			for _, slot := range part.got {
				ids = append(ids, list.idOf(slot))
			}
			slices.Sort(ids)
			if got := strings.Join(ids, " "); got != part.want {
				t.Errorf("%s, %s: %s, want %s", when, part.name, got, part.want)
			}
		}
	}
	check("at first", "a1 a2 b1", "a1 a2", "a1 b1")
	list.moveWarmedUpToReserve(testStart+warmUp-time.Second-1, warmUp)
	check("before the end of the warm-up", "a1 a2 b1", "a1 a2", "a1 b1")
	list.moveWarmedUpToReserve(testStart+warmUp-time.Second, warmUp)
	check("warmed up", "a1 a2 b1 cold", "a1 a2 cold", "a1 b1 cold")
	list.setTracked(slots["a1"], true)
	list.updateReserve(slots["a1"], testStart+warmUp, warmUp)
	list.remove(slots["cold"])
	check("tracked and removed", "a2 b1", "a2", "b1")
	if list.reserveInZone("none") != nil || list.reserveInCell(9) != nil {
		t.Error("endpoints in a zone or cell that has none")
	}
}
