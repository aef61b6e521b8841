package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// endpointLosses are the ways in which an endpoint of the subset goes out of service.
var endpointLosses = map[string]func(b *Balancer, s *endpoint, r *hostRecorder){
	"draining": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.State = Draining
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
	},
	"removed": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.State = Removed
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
	},
	"cold": func(b *Balancer, s *endpoint, r *hostRecorder) {
		e := s.Endpoint
		e.StartedAt = b.now
		b.EndpointsUpdated(b.now, UpdateDelta, []Endpoint{e}, r)
		s.slowStart.tokens, s.slowStart.accruedAt = 0, b.now // so that it gets no request yet
	},
	"unreachable": func(b *Balancer, s *endpoint, r *hostRecorder) { b.recordNoResponse(s, b.now) },
	"errors":      func(b *Balancer, s *endpoint, r *hostRecorder) { s.health.eject(b.now) },
}

// Guards against requests that fail because the whole subset is out of service. The selection must find an
// endpoint of the reserve instead, and nodes that have all lost their subsets must not overload the same
// few.
func TestReserveServesWhenSubsetIsLost(t *testing.T) {
	const nodes, endpoints, each, more = 100, 400, 5, 60
	list := testEndpoints(endpoints)
	for name, lose := range endpointLosses {
		balancers := newFleet(t, nodes, list)
		requestsTo, toLarge := map[string]int{}, 0
		for _, b := range balancers {
			r := &hostRecorder{}
			b.now, b.actions = testStart, r
			members := slices.Clone(b.endpoints.tracked)
			for _, e := range members {
				lose(b, e, r)
			}
			for n := range each {
				q := newRequest(n, "safe", "rate", uint64(n))
				b.RequestArrived(testStart, q, r)
				if req := b.requests.byID[q.ID]; req == nil || req.attempts[0].endpoint.inSubset {
					t.Fatalf("%s: not sent to the reserve: %v", name, r.actions)
				}
				e := b.requests.byID[q.ID].attempts[0].endpoint
				requestsTo[e.ID]++
				toLarge += int(oneIf(e.Weight > 1))
			}
			for n := each; n < each+more; n++ {
				q := newRequest(n, "safe", "rate", uint64(n))
				b.RequestArrived(testStart, q, r)
				b.AttemptFinished(testStart, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
			}
			// The reserve is sampled until as many of its endpoints are tracked as a subset contains, and
			// one more sample may have been taken before that was found.
			if tracked := b.Stats().TrackedEndpoints; tracked > len(members)+b.endpoints.subsetSize()+1 {
				t.Errorf("%s: %d tracked, %d of them in the subset, want at most the subset size + 1 others",
					name, tracked, len(members))
			}
		}
		most := 0
		for _, n := range requestsTo {
			most = max(most, n)
		}
		// Half of the 400 endpoints have ten times the weight of the others. The heavy ones get nearly all
		// requests, and some of them get several by chance.
		if len(requestsTo) < endpoints/3 || most > 15 || toLarge < nodes*each*3/4 {
			t.Errorf("%s: %d endpoints used, at most %d of %d requests to one, %d to large ones; "+
				"want at least %d, at most 15 and at least %d", name, len(requestsTo), most, nodes*each,
				toLarge, endpoints/3, nodes*each*3/4)
		}
	}
}

// Guards against failed requests after the loss of a zone, and against nodes that have lost most of their
// subset overloading the few endpoints left in it.
func TestLostZoneIsServedByOtherZones(t *testing.T) {
	const nodes, endpoints, each = 100, 400, 10
	list := testEndpoints(endpoints)
	requestsTo, left := map[string]int{}, 0
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
				t.Fatalf("node %d: not sent to another zone: %v", b.settings.NodeIndex, r.actions)
			}
			requestsTo[b.requests.byID[q.ID].attempts[0].endpoint.ID]++
			b.AttemptFinished(testStart, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
		}
	}
	most := 0
	for _, n := range requestsTo {
		most = max(most, n)
	}
	if mean := nodes * each / float64(left); len(requestsTo) < left/2 || float64(most) > 10*mean {
		t.Errorf("%d of %d endpoints used, at most %d requests to one, %.1f on average; "+
			"want at least %d endpoints and at most %.1f requests", len(requestsTo), left, most, mean, left/2,
			10*mean)
	}
	t.Logf("%d of %d endpoints used, at most %d of %d requests to one", len(requestsTo), left, most,
		nodes*each)
}

// An endpoint of the reserve is no longer tracked some time after its use, and returns to the reserve. It
// stays tracked while an attempt is in flight there.
func TestReserveEndpointsAreDroppedAfterUse(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(100), testEndpoints(400)...)
	members, inReserve := b.Stats().TrackedEndpoints, len(b.endpoints.list.reserve.all)
	for _, e := range b.endpoints.tracked {
		e.health.eject(b.now)
	}
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	if tracked := b.Stats().TrackedEndpoints; tracked != members+1 ||
		len(b.endpoints.list.reserve.all) != inReserve-1 {
		t.Fatalf("%d tracked, %d in the reserve, want %d and %d", tracked, len(b.endpoints.list.reserve.all),
			members+1, inReserve-1)
	}
	b.TimerFired(testStart+time.Minute, timerControlInterval, r)
	if b.Stats().TrackedEndpoints != members+1 {
		t.Error("an endpoint with an attempt in flight was dropped")
	}
	b.AttemptFinished(testStart+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(testStart+2*time.Minute, timerControlInterval, r)
	if tracked := b.Stats().TrackedEndpoints; tracked != members ||
		len(b.endpoints.list.reserve.all) != inReserve {
		t.Errorf("%d tracked, %d in the reserve, want %d and %d", tracked, len(b.endpoints.list.reserve.all),
			members, inReserve)
	}
}

// entryReadsOf returns the number of list entries that find reads to select an endpoint outside the subset.
func entryReadsOf(b *Balancer, find func(*request) *endpoint) int {
	before := b.endpoints.list.entryReads
	find(&request{Request: newRequest(1, "safe", "rate", 1)})
	return b.endpoints.list.entryReads - before
}

// Guards against a scan of the whole list for an endpoint of the reserve. The test also checks that it would
// detect one.
func TestReserveIsNotScanned(t *testing.T) {
	b, _ := newTestBalancer(t, subsetSettings(100), testEndpoints(20_000)...)
	if n := entryReadsOf(b, b.sampleReserve); n < 1 || n > maxReserveSamples {
		t.Errorf("%d entries read, want 1 to %d", n, maxReserveSamples)
	}
	scan := func(r *request) (found *endpoint) {
		var usable []slotIndex
		for slot := range b.endpoints.list.entries {
			if s := (&endpoint{Endpoint: b.endpoints.list.endpointAt(slotIndex(slot))}); s.State == Up &&
				b.mayAttempt(r, s) {
				usable = append(usable, slotIndex(slot))
			}
		}
		return b.endpoints.track(usable[b.rng.IntN(len(usable))])
	}
	if n := entryReadsOf(b, scan); n <= maxReserveSamples {
		t.Errorf("a scan is not detected: %d entries read", n)
	}
}

// Guards against a request with an idempotency key that is executed twice: if keys are deduplicated within a
// zone or cell, a retry must stay there, even if it goes to the reserve.
func TestRetryStaysInDedupScopeInReserve(t *testing.T) {
	for _, scope := range []DedupScope{DedupZone, DedupCell} {
		s := subsetSettings(100)
		s.Classes[1].DedupScope = scope
		for seed := range 20 {
			b, r := newTestBalancer(t, s, testEndpoints(400)...)
			b.rng = rand.New(rand.NewPCG(uint64(seed), 1))
			b.retries.tokens = 5
			b.RequestArrived(testStart, newRequest(1, "keyed", "rate", 1), r)
			first := b.requests.byID["r1"].attempts[0]
			for _, e := range b.endpoints.tracked {
				e.health.eject(b.now)
			}
			b.AttemptFinished(testStart+ms, Outcome{ID: "r1", Result: Reset, Elapsed: ms}, r)
			req := b.requests.byID["r1"]
			if req == nil || len(req.attempts) != 2 {
				t.Fatalf("not retried: %v", r.actions)
			}
			retry := req.attempts[1]
			if retry.endpoint.inSubset || scope == DedupZone && retry.zone != first.zone ||
				scope == DedupCell && retry.cell != first.cell {
				t.Errorf("scope %d: first attempt in %s/%d, retry in %s/%d, retry in the subset: %v", scope,
					first.zone, first.cell, retry.zone, retry.cell, retry.endpoint.inSubset)
			}
		}
	}
}

// The reserve contains the endpoints that are up, warm and not tracked, each also in the pools of its zone
// and cell.
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
				t.Errorf("%s, %s: %q, want %q", when, part.name, got, part.want)
			}
		}
	}
	check("initially", "a1 a2 b1", "a1 a2", "a1 b1")
	list.addWarmToReserve(testStart+warmUp-time.Second-1, warmUp)
	check("before the end of the warm-up", "a1 a2 b1", "a1 a2", "a1 b1")
	list.addWarmToReserve(testStart+warmUp-time.Second, warmUp)
	check("after the warm-up", "a1 a2 b1 cold", "a1 a2 cold", "a1 b1 cold")
	list.setTracked(slots["a1"], true)
	list.updateReserve(slots["a1"], testStart+warmUp, warmUp)
	list.remove(slots["cold"])
	check("after one was tracked and one removed", "a2 b1", "a2", "b1")
	if list.reserveInZone("none") != nil || list.reserveInCell(9) != nil {
		t.Error("found endpoints in an unknown zone or cell")
	}
}
