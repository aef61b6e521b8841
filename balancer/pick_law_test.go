package balancer

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainlyAdmissible tells by the rules alone whether a request may go to a listed server: the way of a gateway
// that keeps all servers and goes through them.
func plainlyAdmissible(g *Balancer, r *request, e Endpoint) bool {
	s := g.endpoints.trackedByID[e.ID]
	if s == nil {
		s = newEndpoint(e)
	}
	takes := e.State == Up
	warm := g.warmUpFraction(s) >= 1
	holds := position(endpointKey(e.ID), g.settings.NodeIndex, g.settings.NodeCount, g.settings.NodeCount) < int(g.endpoints.sizing.subsetsPerEndpoint+fraction(endpointKey(e.ID)))
	saved := warm || holds && s.slowStart.tokens >= 1
	return takes && g.mayAttempt(r, s) && saved && !(s.health.unreachable && len(r.attempts) > 0)
}

// Whatever has happened to the list and its servers, a server is found exactly where a scan over all servers
// finds one, and it is one of those that the scan allows.
func TestPickAgreesWithAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := subsetSettings(rapid.SampledFrom([]int{1, 2, 30, 100}).Draw(t, "nodes"))
		s.Classes[1].DedupScope = rapid.SampledFrom([]DedupScope{DedupFleet, DedupZone, DedupCell}).Draw(t, "group")
		s.NodeIndex = rapid.IntRange(0, s.NodeCount-1).Draw(t, "me")
		g, err := New(s, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		m := &pickMachine{g: g, now: t0, listed: map[string]Endpoint{}}
		g.Start(t0, &m.out)
		t.Repeat(map[string]func(*rapid.T){
			"whole list": m.whole, "change": m.change, "request": m.request, "outcome": m.outcome, "tick": m.tick, "": m.check,
		})
	})
}

// pickMachine drives a gateway and knows the list that it was told.
type pickMachine struct {
	g      *Balancer
	out    recorder
	now    time.Duration
	listed map[string]Endpoint
	sent   int
}

const pickServers = 60

// drawServer draws an entry of one of few servers.
func (m *pickMachine) drawServer(t *rapid.T) Endpoint {
	n := rapid.IntRange(0, pickServers-1).Draw(t, "server")
	e := Endpoint{ID: fmt.Sprintf("s%d", n), MachineType: "k", Zone: string(rune('a' + n%3)), Cell: n % 4, Weight: float64(1 + n%3)}
	switch rapid.IntRange(0, 7).Draw(t, "moved") { // most servers stay what they are
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

func (m *pickMachine) whole(t *rapid.T) {
	var list []Endpoint
	clear(m.listed)
	for range rapid.IntRange(0, pickServers).Draw(t, "length") {
		e := m.drawServer(t)
		list = append(list, e)
		m.note(e)
	}
	m.g.EndpointsUpdated(m.now, UpdateSnapshot, list, &m.out)
}

func (m *pickMachine) change(t *rapid.T) {
	e := m.drawServer(t)
	m.note(e)
	m.g.EndpointsUpdated(m.now, UpdateDelta, []Endpoint{e}, &m.out)
}

func (m *pickMachine) note(e Endpoint) {
	if e.State == Removed {
		delete(m.listed, e.ID)
		return
	}
	m.listed[e.ID] = e
}

func (m *pickMachine) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * ms
	m.g.TimerFired(m.now, timerControlInterval, &m.out)
}

// request makes a request, which may stay out, and holds the choice against the scan.
func (m *pickMachine) request(t *rapid.T) {
	g := m.g
	r := &request{Request: newRequest(0, "safe", "rate", 1), class: rapid.IntRange(0, 2).Draw(t, "class")}
	if known := g.endpoints.tracked; len(known) > 0 && rapid.Bool().Draw(t, "further") {
		s := known[rapid.IntRange(0, len(known)-1).Draw(t, "tried")]
		r.attempts = append(r.attempts, attempt{
			endpoint: s, sentAt: m.now, zone: s.Zone, cell: s.Cell, done: true,
			neverRan: rapid.Bool().Draw(t, "never ran"), result: Reset,
		})
	}
	g.now, g.actions = m.now, &m.out
	fit := map[string]bool{}
	for id, e := range m.listed {
		g.tryCredit(id)
		if plainlyAdmissible(g, r, e) {
			fit[id] = true
		}
	}
	s := g.selectEndpoint(r)
	if s == nil && len(fit) > 0 || s != nil && !fit[s.ID] {
		t.Fatalf("picked %+v of %v", s, fit)
	}
	if s == nil {
		return
	}
	if best, got := m.bestTier(fit), m.tier(s.ID); got != best {
		t.Fatalf("picked %+v, of tier %d, where one of tier %d is there", s, got, best)
	}
	m.sent++
	q := newRequest(m.sent, "safe", "rate", 1)
	g.RequestArrived(m.now, q, &m.out)
}

// tier is 0 for a server of the subset in service, 1 for another in service and 2 for one that is kept for when
// no other is left.
func (m *pickMachine) tier(id string) int {
	s := m.g.endpoints.trackedByID[id]
	switch {
	case s != nil && m.g.deprioritized(s):
		return 2
	case s != nil && s.inSubset:
		return 0
	}
	return 1
}

func (m *pickMachine) bestTier(fit map[string]bool) int {
	best := 2
	for id := range fit {
		best = min(best, m.tier(id))
	}
	return best
}

// tryCredit brings what may be sent to a cold server up to date, as a choice does.
func (b *Balancer) tryCredit(id string) {
	if s := b.endpoints.trackedByID[id]; s != nil {
		b.accrueSlowStart(s)
	}
}

func (m *pickMachine) outcome(t *rapid.T) {
	id := fmt.Sprintf("r%d", rapid.IntRange(1, max(m.sent, 1)).Draw(t, "request"))
	r := m.g.requests.byID[id]
	if r == nil || len(r.attempts) == 0 {
		return
	}
	res := Result(rapid.IntRange(int(OK), int(NotSent)).Draw(t, "result"))
	n := len(r.attempts) - 1
	m.g.AttemptFinished(m.now, Outcome{ID: id, Attempt: n, Result: res, Answered: res == OK, Elapsed: 200 * ms, EndpointID: r.attempts[n].endpoint.ID}, &m.out)
}

// check holds the state against the list.
func (m *pickMachine) check(t *rapid.T) {
	g := m.g
	if len(g.endpoints.list.slotByID) != len(m.listed) {
		t.Fatalf("%d listed, want %d", len(g.endpoints.list.slotByID), len(m.listed))
	}
	m.checkWeights(t)
	g.now = m.now
	g.endpoints.moveWarmedUpToReserve(m.now)
	waiting := map[string]bool{}
	for _, at := range g.endpoints.list.reserve.all {
		waiting[g.endpoints.list.entries[at].id] = true
	}
	for id, e := range m.listed {
		if got := g.endpoints.list.endpointAt(g.endpoints.list.slotByID[id]); got != e {
			t.Fatalf("%+v is listed as %+v", e, got)
		}
		s := g.endpoints.trackedByID[id]
		if s != nil && (s.Endpoint != e || !s.listed) || g.endpoints.trackedAt(g.endpoints.list.slotByID[id]) != s {
			t.Fatalf("%+v is known as %+v, at its slot as %+v", e, s, g.endpoints.trackedAt(g.endpoints.list.slotByID[id]))
		}
		cold := e.StartedAt != 0 && m.now < e.StartedAt+g.settings.SlowStartDuration
		if fit := s == nil && e.State == Up && !cold; waiting[id] != fit {
			t.Fatalf("%+v waits in the reserve: %v", e, waiting[id])
		}
		if s == nil && position(endpointKey(id), g.settings.NodeIndex, g.settings.NodeCount, g.settings.NodeCount) < int(g.endpoints.sizing.subsetsPerEndpoint+fraction(endpointKey(id))) {
			t.Fatalf("%s is not known, and the subset is to hold it", id)
		}
	}
	if len(waiting) != len(g.endpoints.list.reserve.all) {
		t.Fatal("a server waits twice")
	}
	m.checkNames(t)
}

// checkNames holds the names of news against the servers that are known.
func (m *pickMachine) checkNames(t *rapid.T) {
	named := map[uint16][]*endpoint{}
	members := 0
	for _, s := range m.g.endpoints.tracked {
		if s.inSubset {
			members++
			named[s.shortHash] = append(named[s.shortHash], s)
		}
	}
	if len(m.g.endpoints.index.shared) != members || len(m.g.endpoints.index.byHash) != len(named) {
		t.Fatalf("%d members, %d shared, %d named", members, len(m.g.endpoints.index.shared), len(m.g.endpoints.index.byHash))
	}
	for _, s := range m.g.endpoints.index.shared {
		first := int(m.g.endpoints.sizing.subsetsPerEndpoint + fraction(s.rendezvousKey))
		if m.g.ownsQuotas() && s.lastSubsetRank != lastRank(s.rendezvousKey, m.g.settings.NodeCount, first) {
			t.Fatalf("%s is shared with others than the first %d gateways", s.ID, first)
		}
	}
	for hash, servers := range named {
		if got := m.g.endpoints.index.byHash[hash]; len(servers) == 1 && got != servers[0] || len(servers) > 1 && got != nil {
			t.Fatalf("%v has the name of %v", got, servers)
		}
	}
}

// checkWeights holds the counts of weights against a scan.
func (m *pickMachine) checkWeights(t *rapid.T) {
	var listed, members weightCounts
	for id, e := range m.listed {
		if e.State != Up {
			continue
		}
		listed.add(e.Weight, 1)
		if s := m.g.endpoints.trackedByID[id]; s != nil && s.inSubset {
			members.add(e.Weight, 1)
		}
	}
	for _, c := range []struct {
		name      string
		got, want weightCounts
	}{{"the list", m.g.endpoints.list.activeWeights, listed}, {"the subset", m.g.endpoints.subsetWeights, members}} {
		if c.got.total != c.want.total || c.got.largest != c.want.largest || !maps.Equal(c.got.byWeight, c.want.byWeight) {
			t.Fatalf("weights of %s: %+v, want %+v", c.name, c.got, c.want)
		}
	}
}
