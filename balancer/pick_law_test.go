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
func plainlyAdmissible(g *Gateway, r *request, e Server) bool {
	s := g.byID[e.ID]
	if s == nil {
		s = &server{Server: e, listed: true, credit: -1}
	}
	takes := e.State == Up
	warm := g.warmth(s) >= 1
	holds := position(hashID(e.ID), g.set.Me, g.set.Instances, g.set.Instances) < int(g.perServer+fraction(hashID(e.ID)))
	saved := warm || holds && s.credit >= 1
	return takes && g.maySend(r, s) && saved && !(s.lost && len(r.attempts) > 0)
}

// Whatever has happened to the list and its servers, a server is found exactly where a scan over all servers
// finds one, and it is one of those that the scan allows.
func TestPickAgreesWithAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := subsetSettings(rapid.SampledFrom([]int{1, 2, 30, 100}).Draw(t, "nodes"))
		s.Classes[1].Group = rapid.SampledFrom([]Group{GroupAll, GroupZone, GroupCell}).Draw(t, "group")
		s.Me = rapid.IntRange(0, s.Instances-1).Draw(t, "me")
		g, err := New(s, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		m := &pickMachine{g: g, now: t0, listed: map[string]Server{}}
		g.Start(t0, &m.out)
		t.Repeat(map[string]func(*rapid.T){
			"whole list": m.whole, "change": m.change, "request": m.request, "outcome": m.outcome, "tick": m.tick, "": m.check,
		})
	})
}

// pickMachine drives a gateway and knows the list that it was told.
type pickMachine struct {
	g      *Gateway
	out    recorder
	now    time.Duration
	listed map[string]Server
	sent   int
}

const pickServers = 60

// drawServer draws an entry of one of few servers.
func (m *pickMachine) drawServer(t *rapid.T) Server {
	n := rapid.IntRange(0, pickServers-1).Draw(t, "server")
	e := Server{ID: fmt.Sprintf("s%d", n), Kind: "k", Zone: string(rune('a' + n%3)), Cell: n % 4, Weight: float64(1 + n%3)}
	switch rapid.IntRange(0, 7).Draw(t, "moved") { // most servers stay what they are
	case 0:
		e.Zone = "d"
	case 1:
		e.Cell = 5
	case 2:
		e.Weight = 4
	case 3:
		e.Kind = "other"
	}
	e.State = rapid.SampledFrom([]ServerState{Up, Up, Up, Draining, Removed}).Draw(t, "state")
	if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
		e.Boot = m.now
	}
	return e
}

func (m *pickMachine) whole(t *rapid.T) {
	var list []Server
	clear(m.listed)
	for range rapid.IntRange(0, pickServers).Draw(t, "length") {
		e := m.drawServer(t)
		list = append(list, e)
		m.note(e)
	}
	m.g.List(m.now, ListFull, list, &m.out)
}

func (m *pickMachine) change(t *rapid.T) {
	e := m.drawServer(t)
	m.note(e)
	m.g.List(m.now, ListChanges, []Server{e}, &m.out)
}

func (m *pickMachine) note(e Server) {
	if e.State == Removed {
		delete(m.listed, e.ID)
		return
	}
	m.listed[e.ID] = e
}

func (m *pickMachine) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * ms
	m.g.Timer(m.now, timerProbe, &m.out)
}

// request makes a request, which may stay out, and holds the choice against the scan.
func (m *pickMachine) request(t *rapid.T) {
	g := m.g
	r := &request{Request: newRequest(0, "safe", "rate", 1), class: rapid.IntRange(0, 2).Draw(t, "class")}
	if known := g.servers; len(known) > 0 && rapid.Bool().Draw(t, "further") {
		s := known[rapid.IntRange(0, len(known)-1).Draw(t, "tried")]
		r.attempts = append(r.attempts, attempt{server: s, sent: m.now, zone: s.Zone, cell: s.Cell, done: true,
			noRun: rapid.Bool().Draw(t, "never ran"), result: Reset})
	}
	g.now, g.out = m.now, &m.out
	fit := map[string]bool{}
	for id, e := range m.listed {
		g.tryCredit(id)
		if plainlyAdmissible(g, r, e) {
			fit[id] = true
		}
	}
	s := g.pick(r)
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
	g.Request(m.now, q, &m.out)
}

// tier is 0 for a server of the subset in service, 1 for another in service and 2 for one that is kept for when
// no other is left.
func (m *pickMachine) tier(id string) int {
	s := m.g.byID[id]
	switch {
	case s != nil && m.g.aside(s):
		return 2
	case s != nil && s.member:
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
func (g *Gateway) tryCredit(id string) {
	if s := g.byID[id]; s != nil {
		g.saveUp(s)
	}
}

func (m *pickMachine) outcome(t *rapid.T) {
	id := fmt.Sprintf("r%d", rapid.IntRange(1, max(m.sent, 1)).Draw(t, "request"))
	r := m.g.reqs[id]
	if r == nil || len(r.attempts) == 0 {
		return
	}
	res := Result(rapid.IntRange(int(OK), int(Moot)).Draw(t, "result"))
	n := len(r.attempts) - 1
	m.g.Outcome(m.now, Outcome{ID: id, Attempt: n, Result: res, Closed: res == OK, Took: 200 * ms, Server: r.attempts[n].server.ID}, &m.out)
}

// check holds the state against the list.
func (m *pickMachine) check(t *rapid.T) {
	g := m.g
	if len(g.list.slots) != len(m.listed) {
		t.Fatalf("%d listed, want %d", len(g.list.slots), len(m.listed))
	}
	m.checkWeights(t)
	g.now = m.now
	g.warmUp()
	waiting := map[string]bool{}
	for _, at := range g.list.all {
		waiting[g.list.servers[at].id] = true
	}
	for id, e := range m.listed {
		if got := g.list.server(g.list.slots[id]); got != e {
			t.Fatalf("%+v is listed as %+v", e, got)
		}
		s := g.byID[id]
		if s != nil && (s.Server != e || !s.listed) || g.knownAt(g.list.slots[id]) != s {
			t.Fatalf("%+v is known as %+v, at its slot as %+v", e, s, g.knownAt(g.list.slots[id]))
		}
		cold := e.Boot != 0 && m.now < e.Boot+g.set.RampTime
		if fit := s == nil && e.State == Up && !cold; waiting[id] != fit {
			t.Fatalf("%+v waits in the reserve: %v", e, waiting[id])
		}
		if s == nil && position(hashID(id), g.set.Me, g.set.Instances, g.set.Instances) < int(g.perServer+fraction(hashID(id))) {
			t.Fatalf("%s is not known, and the subset is to hold it", id)
		}
	}
	if len(waiting) != len(g.list.all) {
		t.Fatal("a server waits twice")
	}
	m.checkNames(t)
}

// checkNames holds the names of news against the servers that are known.
func (m *pickMachine) checkNames(t *rapid.T) {
	named := map[uint16][]*server{}
	members := 0
	for _, s := range m.g.servers {
		if s.member {
			members++
			named[s.hash] = append(named[s.hash], s)
		}
	}
	if len(m.g.shared) != members || len(m.g.byHash) != len(named) {
		t.Fatalf("%d members, %d shared, %d named", members, len(m.g.shared), len(m.g.byHash))
	}
	for _, s := range m.g.shared {
		first := int(m.g.perServer + fraction(s.key))
		if m.g.wide() && s.lastRank != lastRank(s.key, m.g.set.Instances, first) {
			t.Fatalf("%s is shared with others than the first %d gateways", s.ID, first)
		}
	}
	for hash, servers := range named {
		if got := m.g.byHash[hash]; len(servers) == 1 && got != servers[0] || len(servers) > 1 && got != nil {
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
		if s := m.g.byID[id]; s != nil && s.member {
			members.add(e.Weight, 1)
		}
	}
	for _, c := range []struct {
		name      string
		got, want weightCounts
	}{{"the list", m.g.list.up, listed}, {"the subset", m.g.members, members}} {
		if c.got.total != c.want.total || c.got.largest != c.want.largest || !maps.Equal(c.got.byWeight, c.want.byWeight) {
			t.Fatalf("weights of %s: %+v, want %+v", c.name, c.got, c.want)
		}
	}
}
