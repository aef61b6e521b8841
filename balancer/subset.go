package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The subset. Each gateway of a large fleet sends to a subset of the servers, so that its work costs the
// same however long the list is. Subsets come from rendezvous hashing: a server is in those of the first
// gateways in its own order. The others are the reserve, for when none of the subset is in service: one is
// drawn, and is known while it is used. A small fleet's subsets hold all servers.

const (
	subsetServers = 12              // servers in a subset, on average, with usualRatio gateways to a server
	usualRatio    = 1.5             // subsets of other fleets go with the root of the servers to a gateway
	subsetLeast   = 3               // servers in a subset, on average, and subsets that hold each server
	lengthSlack   = 1.25            // factor by which the list may be longer or shorter before subsets follow
	horizonTimes  = 2               // times the subsets of a server for which its entry is worked out ahead
	drawsMost     = 4               // draws from the reserve for one that is accepted by its weight
	reserveFor    = 5 * time.Second // for which a server of the reserve stays known when it is no longer used
)

// List brings the list of servers or changes of it.
func (g *Gateway) List(now time.Duration, form ListForm, entries []Server, out Actions) {
	g.now, g.out = now, out
	if form == ListError {
		if g.set.AskList {
			g.out.SetTimer(timerList, time.Second+time.Duration(g.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != ListChanges {
		g.beginWhole(len(entries))
	}
	if len(g.list.slots) == 0 {
		g.follow(len(entries))
	}
	for i := range entries {
		g.entry(&entries[i])
	}
	if form != ListChanges {
		g.endWhole()
	}
	g.follow(len(g.list.slots))
	g.dropGone()
	g.nameSubset()
}

// subsetsPerServer is in how many subsets a server is, for a list of a length. Connections cost work, and a
// server takes few: gateways that share it are few enough to keep theirs, and to meet it often. By the root,
// a server more takes half as many members from others as it brings; subsets of one size would lose as many.
func (g *Gateway) subsetsPerServer(length float64) float64 {
	all := float64(g.set.Instances)
	if !g.wide() {
		return all
	}
	ratio := all / max(length, 1)
	return min(max(subsetServers*math.Sqrt(usualRatio*ratio), subsetLeast*ratio, subsetLeast), all)
}

// subsetSize is how many servers a subset has, on average and at least one.
func (g *Gateway) subsetSize() int {
	return max(int(g.perServer*float64(len(g.list.slots)))/g.set.Instances, 1)
}

// entersAt is the number of subsets for each server from which on one is in this gateway's. Servers enter one
// by one as that number grows, each at a fraction of its own, or one server more might change all subsets.
func (g *Gateway) entersAt(id string) float64 {
	if !g.wide() {
		return 0
	}
	key := hashID(id)
	before := position(key, g.set.Me, g.set.Instances, g.horizon)
	if before >= g.horizon && g.horizon < g.set.Instances {
		return never
	}
	return float64(before+1) - fraction(key)
}

// follow has the subset follow the length of the list.
func (g *Gateway) follow(length int) {
	n := math.Max(float64(length), 1)
	if g.lengthUsed == 0 {
		g.lengthUsed = n
	}
	g.lengthUsed = min(max(g.lengthUsed, n/lengthSlack), n*lengthSlack)
	per := g.subsetsPerServer(g.lengthUsed)
	if per == g.perServer {
		return
	}
	g.perServer, g.subsetChanged = per, true
	if per+1 > float64(g.horizon) {
		g.horizon = min(int(horizonTimes*per)+1, g.set.Instances)
		g.list.resetEntersAt(g.entersAt)
	}
	for _, at := range g.list.near {
		g.enroll(at, true)
	}
}

// enroll has the subset hold a listed server, or no longer. It may have been listed before.
func (g *Gateway) enroll(at slot, before bool) {
	e := &g.list.servers[at]
	member := ServerState(e.state) != Removed && e.entersAt <= g.perServer
	s := g.knownAt(at)
	if s == nil && !member || s != nil && s.member == member {
		return
	}
	if s == nil {
		s = g.track(at)
	}
	s.member, g.subsetChanged = member, true
	g.countMember(s)
	if member && before {
		// Rule 4: others have shared what a cold server may be sent so far.
		s.credit, s.credited = 0, g.now
	}
	g.updateReserve(at)
}

// freshest returns the servers last told of that another gateway's subset holds too, at most n, newest first.
func (g *Gateway) freshest(n, node int) []*server {
	var news []*server
	for i := range g.shared {
		s := &g.shared[i]
		if rank(s.key, node) <= s.lastRank && s.takes() && s.loadAt > 0 && g.now-s.loadAt < newsFor {
			news = append(news, s.server)
		}
	}
	slices.SortFunc(news, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.loadAt, a.loadAt), cmp.Compare(a.ID, b.ID))
	})
	return news[:min(n, len(news))]
}

// draw returns a server of the reserve that the request may go to, or nil.
func (g *Gateway) draw(r *request) *server {
	g.warmUp()
	from := g.list.all
	for i := range r.attempts { // a keyed request that may have run stays where its repeats are dropped
		a, c := &r.attempts[i], &g.set.Classes[r.class]
		switch {
		case a.noRun || c.Effect != Keyed:
		case c.Group == GroupZone:
			from = g.list.inZone(a.zone)
		case c.Group == GroupCell:
			from = g.list.inCell(a.cell)
		}
	}
	if len(from) == 0 {
		return nil
	}
	at := from[g.rng.IntN(len(from))]
	for n := 1; n < drawsMost && g.rng.Float64()*g.list.up.largest > g.list.weight(at); n++ {
		at = from[g.rng.IntN(len(from))]
	}
	if !g.maySend(r, &server{Server: g.list.server(at)}) {
		return nil
	}
	s := g.track(at)
	s.seen = g.now
	g.updateReserve(at)
	return s
}

// used tells whether what is known of a server is still of use.
func (g *Gateway) used(s *server) bool {
	switch {
	case s.member && s.listed, s.out > 0:
		return true
	case !s.listed:
		return false
	}
	return g.now-s.seen <= reserveFor || g.now < s.ejected || g.warmth(s) < 1
}
