package balancer

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// admissibleByScan reports whether a request may be sent to a listed endpoint, by the rules alone. It is the
// reference for the selection, which does not look at all endpoints.
func admissibleByScan(b *Balancer, r *request, e Endpoint) bool {
	s := b.endpoints.trackedByID[e.ID]
	if s == nil {
		s = newEndpoint(e)
	}
	accepts := e.State == Up
	warm := b.warmUpFraction(s) >= 1
	inSubset := nodePosition(endpointKey(e.ID), b.settings.NodeIndex, b.settings.NodeCount,
		b.settings.NodeCount) < int(b.endpoints.sizing.subsetsPerEndpoint+keyFraction(endpointKey(e.ID)))
	slowStartAllows := warm || inSubset && s.slowStart.tokens >= 1
	return accepts && b.mayAttempt(r, s) && slowStartAllows && (!s.health.unreachable || len(r.attempts) == 0)
}

// After random changes of the list and random outcomes of attempts, the selection finds an endpoint if and
// only if a scan of all endpoints finds one. The scan admits the selected endpoint, and no admitted endpoint
// is of a better tier.
func TestSelectionAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := subsetSettings(rapid.SampledFrom([]int{1, 2, 30, 100}).Draw(t, "nodes"))
		s.Classes[1].DedupScope = rapid.SampledFrom([]DedupScope{DedupFleet, DedupZone, DedupCell}).Draw(t,
			"scope")
		s.NodeIndex = rapid.IntRange(0, s.NodeCount-1).Draw(t, "node")
		b, err := New(s, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		m := &selectionModel{balancer: b, now: testStart, listed: map[string]Endpoint{}}
		b.Start(testStart, &m.recorder)
		t.Repeat(map[string]func(*rapid.T){
			"snapshot": m.snapshot, "delta": m.delta, "request": m.request, "outcome": m.outcome,
			"tick": m.tick, "": m.check,
		})
	})
}

// selectionModel drives a node by random events and models the list that the node has received.
type selectionModel struct {
	balancer *Balancer
	recorder hostRecorder
	now      time.Duration
	listed   map[string]Endpoint
	sent     int // number of requests sent; their ids are r1 to r<sent>
}

// selectionEndpoints is the number of different endpoints.
const selectionEndpoints = 60

// drawEndpoint draws a list entry.
func (m *selectionModel) drawEndpoint(t *rapid.T) Endpoint {
	n := rapid.IntRange(0, selectionEndpoints-1).Draw(t, "endpoint")
	e := Endpoint{
		ID: fmt.Sprintf("s%d", n), MachineType: "k", Zone: string(rune('a' + n%3)), Cell: n % 4,
		Weight: float64(1 + n%3),
	}
	switch rapid.IntRange(0, 7).Draw(t, "moved") { // in most cases nothing but the state changes
	case 0:
		e.Zone = "d"
	case 1:
		e.Cell = 5
	case 2:
		e.Weight = 4
	case 3:
		e.MachineType = "other"
	}
	e.State = rapid.SampledFrom([]EndpointState{Up, Up, Up, Draining, Removed}).Draw(t, "state")
	if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
		e.StartedAt = m.now
	}
	return e
}

func (m *selectionModel) snapshot(t *rapid.T) {
	var list []Endpoint
	clear(m.listed)
	for range rapid.IntRange(0, selectionEndpoints).Draw(t, "length") {
		e := m.drawEndpoint(t)
		list = append(list, e)
		m.record(e)
	}
	m.balancer.EndpointsUpdated(m.now, UpdateSnapshot, list, &m.recorder)
}

func (m *selectionModel) delta(t *rapid.T) {
	e := m.drawEndpoint(t)
	m.record(e)
	m.balancer.EndpointsUpdated(m.now, UpdateDelta, []Endpoint{e}, &m.recorder)
}

func (m *selectionModel) record(e Endpoint) {
	if e.State == Removed {
		delete(m.listed, e.ID)
		return
	}
	m.listed[e.ID] = e
}

func (m *selectionModel) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * ms
	m.balancer.TimerFired(m.now, timerControlInterval, &m.recorder)
}

// request compares a selection with the scan for a request that may have a previous attempt. If an endpoint
// is found, it also sends a request, which stays in flight until its outcome is drawn.
func (m *selectionModel) request(t *rapid.T) {
	b := m.balancer
	r := &request{Request: newRequest(0, "safe", "rate", 1), class: rapid.IntRange(0, 2).Draw(t, "class")}
	if tracked := b.endpoints.tracked; len(tracked) > 0 && rapid.Bool().Draw(t, "retry") {
		s := tracked[rapid.IntRange(0, len(tracked)-1).Draw(t, "previous")]
		r.attempts = append(r.attempts, attempt{
			endpoint: s, sentAt: m.now, zone: s.Zone, cell: s.Cell, done: true,
			neverRan: rapid.Bool().Draw(t, "never ran"), result: Reset,
		})
	}
	b.now, b.actions = m.now, &m.recorder
	allowed := map[string]bool{}
	for id, e := range m.listed {
		b.accrueIfTracked(id)
		if admissibleByScan(b, r, e) {
			allowed[id] = true
		}
	}
	s := b.selectEndpoint(r)
	if s == nil && len(allowed) > 0 || s != nil && !allowed[s.ID] {
		t.Fatalf("selected %+v, the scan admits %v", s, allowed)
	}
	if s == nil {
		return
	}
	if best, got := m.bestTier(allowed), m.tier(s.ID); got != best {
		t.Fatalf("selected %+v of tier %d, although an endpoint of tier %d is admitted", s, got, best)
	}
	m.sent++
	q := newRequest(m.sent, "safe", "rate", 1)
	b.RequestArrived(m.now, q, &m.recorder)
}

// tier returns 0 for an endpoint in service in the subset, 1 for another endpoint in service and 2 for a
// deprioritized endpoint.
func (m *selectionModel) tier(id string) int {
	e := m.balancer.endpoints.trackedByID[id]
	switch {
	case e != nil && m.balancer.deprioritized(e):
		return 2
	case e != nil && e.inSubset:
		return 0
	}
	return 1
}

func (m *selectionModel) bestTier(allowed map[string]bool) int {
	best := 2
	for id := range allowed {
		best = min(best, m.tier(id))
	}
	return best
}

// accrueIfTracked brings the slow-start budget of a tracked endpoint up to date, as a selection does.
func (b *Balancer) accrueIfTracked(id string) {
	if e := b.endpoints.trackedByID[id]; e != nil {
		b.accrueSlowStart(e)
	}
}

func (m *selectionModel) outcome(t *rapid.T) {
	id := fmt.Sprintf("r%d", rapid.IntRange(1, max(m.sent, 1)).Draw(t, "request"))
	r := m.balancer.requests.byID[id]
	if r == nil || len(r.attempts) == 0 {
		return
	}
	res := Result(rapid.IntRange(int(OK), int(NotSent)).Draw(t, "result"))
	n := len(r.attempts) - 1
	m.balancer.AttemptFinished(m.now, Outcome{
		ID: id, Attempt: n, Result: res, Answered: res == OK,
		Elapsed: 200 * ms, EndpointID: r.attempts[n].endpoint.ID,
	}, &m.recorder)
}

// check compares the state of the node with the model of the list.
func (m *selectionModel) check(t *rapid.T) {
	b := m.balancer
	if len(b.endpoints.list.slotByID) != len(m.listed) {
		t.Fatalf("%d listed, want %d", len(b.endpoints.list.slotByID), len(m.listed))
	}
	m.checkWeights(t)
	b.now = m.now
	b.endpoints.addWarmToReserve(m.now)
	reserve := map[string]bool{}
	for _, slot := range b.endpoints.list.reserve.all {
		reserve[b.endpoints.list.entries[slot].id] = true
	}
	for id, e := range m.listed {
		if got := b.endpoints.list.endpointAt(b.endpoints.list.slotByID[id]); got != e {
			t.Fatalf("%+v is listed as %+v", e, got)
		}
		s := b.endpoints.trackedByID[id]
		if s != nil && (s.Endpoint != e || !s.listed) ||
			b.endpoints.trackedAt(b.endpoints.list.slotByID[id]) != s {
			t.Fatalf("%+v is tracked as %+v, at its slot as %+v", e, s,
				b.endpoints.trackedAt(b.endpoints.list.slotByID[id]))
		}
		cold := e.StartedAt != 0 && m.now < e.StartedAt+b.settings.SlowStartDuration
		if want := s == nil && e.State == Up && !cold; reserve[id] != want {
			t.Fatalf("%+v is in the reserve: %v, want %v", e, reserve[id], want)
		}
		if s == nil && nodePosition(endpointKey(id), b.settings.NodeIndex, b.settings.NodeCount,
			b.settings.NodeCount) < int(b.endpoints.sizing.subsetsPerEndpoint+keyFraction(endpointKey(id))) {
			t.Fatalf("%s is not tracked, although it belongs to the subset", id)
		}
	}
	if len(reserve) != len(b.endpoints.list.reserve.all) {
		t.Fatal("an endpoint is in the reserve twice")
	}
	m.checkIndex(t)
}

// checkIndex compares the index of the subset with the tracked endpoints.
func (m *selectionModel) checkIndex(t *rapid.T) {
	byHash := map[uint16][]*endpoint{}
	members := 0
	for _, e := range m.balancer.endpoints.tracked {
		if e.inSubset {
			members++
			byHash[e.shortHash] = append(byHash[e.shortHash], e)
		}
	}
	if len(m.balancer.endpoints.index.shared) != members ||
		len(m.balancer.endpoints.index.byHash) != len(byHash) {
		t.Fatalf("%d endpoints in the subset with %d hashes, the index has %d and %d", members, len(byHash),
			len(m.balancer.endpoints.index.shared), len(m.balancer.endpoints.index.byHash))
	}
	for _, e := range m.balancer.endpoints.index.shared {
		first := int(m.balancer.endpoints.sizing.subsetsPerEndpoint + keyFraction(e.rendezvousKey))
		if m.balancer.hasQuotaOwners() && e.lastSubsetRank != lastRank(e.rendezvousKey,
			m.balancer.settings.NodeCount, first) {
			t.Fatalf("%s: last subset rank %d is not that of %d nodes", e.ID, e.lastSubsetRank, first)
		}
	}
	for hash, endpoints := range byHash {
		if got := m.balancer.endpoints.index.byHash[hash]; len(endpoints) == 1 && got != endpoints[0] ||
			len(endpoints) > 1 && got != nil {
			t.Fatalf("hash %#04x: the index has %v, the subset %v", hash, got, endpoints)
		}
	}
}

// checkWeights compares the counts of weights with a scan.
func (m *selectionModel) checkWeights(t *rapid.T) {
	var listed, members weightCounts
	for id, e := range m.listed {
		if e.State != Up {
			continue
		}
		listed.add(e.Weight, 1)
		if s := m.balancer.endpoints.trackedByID[id]; s != nil && s.inSubset {
			members.add(e.Weight, 1)
		}
	}
	for _, c := range []struct {
		name      string
		got, want weightCounts
	}{
		{"the list", m.balancer.endpoints.list.activeWeights, listed},
		{"the subset", m.balancer.endpoints.subsetWeights, members},
	} {
		if c.got.total != c.want.total || c.got.largest != c.want.largest || !maps.Equal(c.got.byWeight,
			c.want.byWeight) {
			t.Fatalf("weights of %s: %+v, want %+v", c.name, c.got, c.want)
		}
	}
}
