package balancer

import (
	"math"
	"time"
)

// What is known of a customer's quota. How it is used is decided in choice.go.

// store is a customer's quota as this gateway sees it.
type store struct {
	key     uint64
	plan    int
	spread  int
	first   int
	at      time.Duration
	level   float64 // units left of the quota
	ceiling float64 // units left of this gateway's part of the ceiling
	since   float64 // units sent since the last tell
	untold  float64 // units to tell, settlements included
	// of this store's life: units that true figures left over or lacked, and those sent unasked
	reconciled float64
	told       float64 // of it, what was told last
	born       uint64  // tells this life of the store from others
	shunned    float64 // units refused unasked since the last ask
	out        int     // attempts out
	opened     int     // tries sent since the last tell
	zeros      int     // tells that said nothing is out
	dirty      bool
	levels     []told        // per peer: attempts out there
	wide       bool          // its holder is asked; tells would come too late
	split      int           // gateways over which the room is split
	parts      float64       // stores that the quota is kept in
	admitted   float64       // share of what is wanted that can be granted
	want       float64       // units wanted a second, averaged
	grant      float64       // and granted
	ratesAt    time.Duration // when these were brought up to date
	members    map[int]life  // of a holder: what each member has settled
	done       []askDone     // and the asks answered last
	shut       time.Duration // no ask until then: the holder has refused
	leases     []lease       // attempts that this holder has granted under an open cap
	burstPart  float64       // this gateway's part of the ceiling's burst
	ratePart   float64       // and of its rate
	crowded    time.Duration // refused of late: until then, less is spent on a chance
}

// life is what a member has settled in one life of its store.
type life struct {
	born       uint64
	reconciled float64
}

// askDone is an ask that was answered.
type askDone struct {
	from    int
	num     uint64
	granted bool
	wait    time.Duration
}

// chanceAdmission is a request that went without its holder's answer.
type chanceAdmission struct {
	store  *store
	holder int
	units  float64
	sent   bool
	told   float64 // what its holder was told to add for it
	at     time.Duration
}

// owed is what the holder must add to its store for it, granted by the holder or not.
func (d *chanceAdmission) owed(granted bool) float64 {
	switch {
	case granted && !d.sent:
		return d.units
	case !granted && d.sent:
		return -d.units
	}
	return 0
}

// bound keeps a holder's level between a whole burst owed and its part of one.
func (st *store) bound(level, burst float64) float64 {
	return math.Max(math.Min(level, burst/st.parts), -burst)
}

// overQuota is what was told of a customer who wants more than can be granted.
type overQuota struct {
	admitted float64
	at       time.Duration
}

// settle takes in a member's sum and returns what it adds to the store. Sums make up for asks that were lost.
func (st *store) settle(from int, m ask) (more float64) {
	was, known := st.members[from]
	if st.members == nil {
		st.members = map[int]life{}
	}
	st.members[from] = life{m.born, m.reconciled}
	switch {
	case !known:
		return 0 // what it settled before is in no store of this holder's
	case was.born != m.born:
		return m.reconciled
	}
	return m.reconciled - was.reconciled
}

// answered returns the ask if it was answered before, or nil.
func (st *store) answered(from int, num uint64) *askDone {
	for i := range st.done {
		if d := &st.done[i]; d.from == from && d.num == num {
			return d
		}
	}
	return nil
}

// note keeps an ask that was answered.
func (st *store) note(d askDone) {
	if len(st.done) == asksKept {
		st.done = append(st.done[:0], st.done[1:]...)
	}
	st.done = append(st.done, d)
}

// wanted and granted count units into the averages.
func (st *store) wanted(now time.Duration, units float64) {
	st.age(now)
	st.want += units / wantFor.Seconds()
}

func (st *store) granted(now time.Duration, units float64) {
	st.age(now)
	st.grant += units / wantFor.Seconds()
}

func (st *store) age(now time.Duration) {
	keep := math.Exp(-(now - st.ratesAt).Seconds() / wantFor.Seconds())
	st.want, st.grant, st.ratesAt = st.want*keep, st.grant*keep, now
}

// lease is a place under an open cap that a holder gave to a gateway.
type lease struct {
	from int
	num  uint64
	ends time.Duration
}

type told struct {
	n  int
	at time.Duration
}

func fill(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func fillIf(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return fill(units, rate)
}

// inSet tells whether a gateway is one of a customer's.
func (g *Gateway) inSet(i, first, spread int) bool {
	return (i-first+g.set.Instances)%g.set.Instances < spread
}

func (g *Gateway) mark(st *store) {
	if !st.dirty && !st.wide && g.set.Peers && g.set.Instances > 1 {
		st.dirty = true
		g.dirty = append(g.dirty, st)
	}
}

// dropLeases removes the leases for which gone holds.
func (st *store) dropLeases(gone func(lease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// sweep drops idle stores among the next eighth, and what is no longer believed of customers.
func (g *Gateway) sweep() {
	for key, h := range g.overQuota {
		if g.now-h.at > overQuotaFor {
			delete(g.overQuota, key)
		}
	}
	for num, d := range g.byChance {
		if g.now-d.at > byChanceFor {
			delete(g.byChance, num)
		}
	}
	for n := len(g.order)/8 + 1; n > 0 && len(g.order) > 0; n-- {
		if g.sweepAt >= len(g.order) {
			g.sweepAt = 0
		}
		st := g.order[g.sweepAt]
		if !g.idle(st) {
			g.sweepAt++
			continue
		}
		delete(g.stores, st.key)
		g.order[g.sweepAt] = g.order[len(g.order)-1]
		g.order = g.order[:len(g.order)-1]
	}
}

// idle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (g *Gateway) idle(st *store) bool {
	p := &g.set.Plans[st.plan]
	idle := idleOpen
	if p.Rate > 0 {
		idle = fill(2*p.Burst-st.level, p.Rate)
	}
	idle = max(idle, fillIf(p.CeilingBurst, p.CeilingRate))
	return st.out == 0 && !st.dirty && len(st.leases) == 0 && g.now-st.at >= idle
}

// openRoom is how many more attempts the customer may have out, as far as is known.
func (g *Gateway) openRoom(st *store) int {
	room := g.set.Plans[st.plan].Open - st.out
	for i, l := range st.levels {
		// An unheard peer counts as nought.
		if i != g.set.Me && g.now-l.at < unheardGaps*g.gossipGap {
			room -= l.n
		}
	}
	st.dropLeases(func(l lease) bool { return g.now >= l.ends })
	return room - len(st.leases)
}

func (g *Gateway) fillUp(st *store) {
	p := &g.set.Plans[st.plan]
	dt := (g.now - st.at).Seconds()
	st.at = g.now
	rate := p.Rate / st.parts
	if len(st.members) > 0 && g.now-g.heardAt > isolatedAfter {
		// Members that it does not hear go on as before.
		rate = math.Max(rate-st.grant, -math.Max(st.level, 0)/math.Max(dt, 1e-9))
		st.ratesAt = g.now
	}
	st.level = math.Min(st.level+rate*dt, p.Burst/st.parts)
	st.ceiling = math.Min(st.ceiling+p.CeilingRate*st.ratePart*dt, p.CeilingBurst*st.burstPart)
}

// take takes units of a request inside the quota, now or when it settles.
func (g *Gateway) take(st *store, units float64) {
	if g.set.Plans[st.plan].Rate > 0 {
		st.level -= units
		st.since += units
		st.untold += units
	}
	g.mark(st)
}

func (g *Gateway) holderOf(st *store, part int) int {
	x := (st.key + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.first + int((x^x>>32)%uint64(st.spread))) % g.set.Instances
}

func (g *Gateway) partsHeld(st *store) (n int) {
	for part := range st.split {
		n += int(b2f(g.holderOf(st, part) == g.set.Me))
	}
	return n
}

func (g *Gateway) holder(st *store) int {
	return g.holderOf(st, g.set.Me%st.split)
}

// noteOverQuota takes in what can be granted of a customer's wants.
func (g *Gateway) noteOverQuota(key uint64, admitted float64) {
	if _, known := g.overQuota[hashKey(key)]; known || admitted < overQuotaBelow {
		g.overQuota[hashKey(key)] = overQuota{admitted, g.now}
	}
}

// admittedShare is the share of a customer's wants that can be granted, as far as is known: a customer of
// whom
// nobody tells is inside its quota.
func (g *Gateway) admittedShare(st *store) float64 {
	if h, known := g.overQuota[hashKey(st.key)]; known {
		return h.admitted
	}
	return 1
}

// tooLate takes in an answer that nobody waited for any more: it says what the holder has taken.
func (g *Gateway) tooLate(from int, m ask) {
	d, ok := g.byChance[m.num]
	if !ok || d.holder != from {
		return
	}
	delete(g.byChance, m.num)
	d.store.reconciled += d.owed(m.granted) - d.told
}
