package balancer

// Of which servers more is kept than what the list says. Which these are is decided in subset.go.

// beginWhole begins a whole list: servers that it does not name are gone.
func (g *Gateway) beginWhole(length int) {
	if g.list.stale() || len(g.list.slots) == 0 {
		g.list = newServerList(length)
	}
	g.list.begin()
	for _, s := range g.servers {
		s.listed = false
	}
}

// endWhole ends a whole list.
func (g *Gateway) endWhole() {
	g.list.end()
	g.anyGone = true
	for _, s := range g.servers {
		g.countMember(s)
	}
}

// entry takes in one entry of a list.
func (g *Gateway) entry(e *Server) {
	at, listed := g.list.find(e.ID)
	switch {
	case listed && !g.list.servers[at].known && g.list.confirm(at, e):
		return
	case e.State != Removed:
		g.listServer(at, listed, *e)
	case listed:
		g.list.remove(at)
	}
	if s := g.byID[e.ID]; s != nil {
		g.updateKnown(s, *e)
	}
}

// listServer enters what the list says of a server, at its slot if it was listed before.
func (g *Gateway) listServer(at slot, before bool, e Server) {
	if !before {
		at = g.list.add(e.ID)
		g.list.setEntersAt(at, g.entersAt(e.ID))
		g.list.servers[at].known = g.byID[e.ID] != nil
	}
	g.list.put(at, e)
	g.enroll(at, before)
	g.updateReserve(at)
}

// updateKnown takes over what the list says of a server that is known.
func (g *Gateway) updateKnown(s *server, e Server) {
	if s.Boot != e.Boot {
		// A restarted server is another one: nothing learned of it holds.
		s.errs, s.strikes, s.ejected, s.lat, s.queue, s.credit, s.lost = 0, 0, 0, 1, -1, -1, false
		s.load, s.loadAt, s.down, s.bad = -1, 0, false, false
	}
	g.trackKind(e.Kind)
	s.Server, s.listed = e, e.State != Removed
	g.anyGone = g.anyGone || !s.listed
	g.countMember(s)
}

// knownAt returns what is known of a listed server, nil where that is nothing more than what the list says.
func (g *Gateway) knownAt(at slot) *server {
	if e := &g.list.servers[at]; e.known {
		return g.byID[e.id]
	}
	return nil
}

// track begins to keep what is learned of a listed server.
func (g *Gateway) track(at slot) *server {
	e := g.list.server(at)
	s := &server{Server: e, lat: 1, queue: -1, credit: -1, load: -1, listed: true, key: hashID(e.ID)}
	s.hash = shortHash(e.ID)
	g.byID[e.ID] = s
	g.list.servers[at].known = true
	g.servers = append(g.servers, s)
	g.trackKind(e.Kind)
	return s
}

// countMember keeps the weights of the subset's servers that take work.
func (g *Gateway) countMember(s *server) {
	weight := 0.0
	if s.member && s.takes() {
		weight = g.weight(s)
	}
	if weight == s.counted {
		return
	}
	if s.counted > 0 {
		g.members.add(s.counted, -1)
	}
	if weight > 0 {
		g.members.add(weight, 1)
	}
	s.counted = weight
}

// trackKind begins to keep what is learned of a kind of servers.
func (g *Gateway) trackKind(kind string) {
	if _, known := g.kinds[kind]; !known {
		g.kinds[kind] = len(g.kinds)
		g.kindLat = append(g.kindLat, &kindMean{mean: 1})
	}
}

// updateReserve puts a server into the reserve or takes it out: what waits there is unknown, takes work and
// is warm.
func (g *Gateway) updateReserve(at slot) {
	e := &g.list.servers[at]
	waits := ServerState(e.state) == Up && !e.known
	warmAt := e.boot + g.set.RampTime
	switch {
	case !waits:
		g.list.takeOut(at)
	case e.boot != 0 && warmAt > g.now:
		g.list.takeOut(at)
		g.list.queueWarm(at, warmAt)
	default:
		g.list.putIn(at)
	}
}

// warmUp puts the servers into the reserve that have become warm.
func (g *Gateway) warmUp() {
	for at, ok := g.list.nextWarm(g.now); ok; at, ok = g.list.nextWarm(g.now) {
		g.updateReserve(at)
	}
}

// sharedServer is a server of the subset with what tells whether another gateway's subset holds it.
type sharedServer struct {
	key, lastRank uint64
	*server
}

// noteSharers notes which gateways' subsets hold a server of this one's.
func (g *Gateway) noteSharers(s *server) {
	if first := int(g.perServer + fraction(s.key)); first != s.holders && g.wide() {
		s.holders, s.lastRank = first, lastRank(s.key, g.set.Instances, first)
	}
	g.shared = append(g.shared, sharedServer{s.key, s.lastRank, s})
}

// forget drops what is known of servers outside the subset that are no longer used.
func (g *Gateway) forget() {
	g.warmUp()
	g.keepKnown(g.used)
	g.nameSubset()
}

// dropGone drops servers that are no longer listed, unless attempts are out at them.
func (g *Gateway) dropGone() {
	if !g.anyGone {
		return
	}
	g.anyGone = false
	g.keepKnown(func(s *server) bool {
		waits := !s.listed && s.out > 0
		g.anyGone = g.anyGone || waits
		return s.listed || waits
	})
}

// keepKnown drops what is known of all servers but some.
func (g *Gateway) keepKnown(keep func(*server) bool) {
	kept := g.servers[:0]
	for _, s := range g.servers {
		if keep(s) {
			kept = append(kept, s)
		} else {
			g.drop(s)
		}
	}
	clear(g.servers[len(kept):])
	g.servers = kept
}

// drop drops what is known of a server. One that is listed may wait in the reserve.
func (g *Gateway) drop(s *server) {
	delete(g.byID, s.ID)
	g.subsetChanged = g.subsetChanged || s.member
	if at, listed := g.list.slots[s.ID]; listed {
		g.list.servers[at].known = false
		g.updateReserve(at)
	}
}

// nameSubset holds by which names news has the servers of the subset, and which gateways share them, after
// the
// subset has changed.
func (g *Gateway) nameSubset() {
	if !g.subsetChanged {
		return
	}
	g.subsetChanged = false
	clear(g.byHash)
	g.shared = g.shared[:0]
	for _, s := range g.servers {
		if s.member {
			g.nameInNews(s)
			g.noteSharers(s)
		}
	}
}

// nameInNews enters a server of the subset by its name in news. Two that share one are known by neither.
func (g *Gateway) nameInNews(s *server) {
	if _, shared := g.byHash[s.hash]; shared {
		g.byHash[s.hash] = nil
		return
	}
	g.byHash[s.hash] = s
}

// Stats tells how much a gateway holds.
type Stats struct {
	Listed      int // servers in the list
	Subset      int // of these, those in the subset
	Known       int // servers of which more is kept than what the list says
	SharedNames int // servers of the subset that news can't name, as another has the same short hash
}

// Stats returns how much the gateway holds now.
func (g *Gateway) Stats() Stats {
	st := Stats{Listed: len(g.list.slots), Known: len(g.servers)}
	for _, s := range g.servers {
		if s.member && s.listed {
			st.Subset++
			st.SharedNames += int(b2f(g.byHash[s.hash] == nil))
		}
	}
	return st
}
