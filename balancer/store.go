package balancer

import (
	"math"
	"time"
)

// What is known of a customer's quota. How it is used is decided in choice.go.

// quotaBucket is a customer's quota as this gateway sees it.
type quotaBucket struct {
	tenant              uint64
	plan                int
	entryNodes          int
	firstEntryNode      int
	refilledAt          time.Duration
	tokens              float64 // units left of the quota
	hardLimitTokens     float64 // units left of this gateway's part of the ceiling
	acquiredSinceGossip float64 // units sent since the last tell
	unreportedUnits     float64 // units to tell, settlements included
	// of this store's life: units that true figures left over or lacked, and those sent unasked
	reconciledUnits        float64
	reportedReconciliation float64 // of it, what was told last
	incarnation            uint64  // tells this life of the store from others
	locallyRejectedUnits   float64 // units refused unasked since the last ask
	inFlight               int     // attempts out
	startedSinceGossip     int     // tries sent since the last tell
	idleReports            int     // tells that said nothing is out
	dirty                  bool
	peerInFlight           []peerInFlight               // per peer: attempts out there
	owned                  bool                         // its holder is asked; tells would come too late
	sharers                int                          // gateways over which the room is split
	ownerCount             float64                      // stores that the quota is kept in
	grantedFraction        float64                      // share of what is wanted that can be granted
	demandRate             float64                      // units wanted a second, averaged
	grantRate              float64                      // and granted
	ratesAt                time.Duration                // when these were brought up to date
	requesters             map[int]requesterIncarnation // of a holder: what each member has settled
	answeredRequests       []answeredRequest            // and the asks answered last
	rejectedUntil          time.Duration                // no ask until then: the holder has refused
	// attempts that this holder has granted under an open cap
	leases                 []concurrencyLease
	hardLimitBurstFraction float64 // this gateway's part of the ceiling's burst
	hardLimitRateFraction  float64 // and of its rate
	// refused of late: until then, less is spent on a chance
	congestedUntil time.Duration
}

// requesterIncarnation is what a member has settled in one life of its store.
type requesterIncarnation struct {
	incarnation     uint64
	reconciledUnits float64
}

// answeredRequest is an ask that was answered.
type answeredRequest struct {
	from    int
	number  uint64
	granted bool
	wait    time.Duration
}

// unansweredAdmission is a request that went without its holder's answer.
type unansweredAdmission struct {
	quota         *quotaBucket
	quotaOwner    int
	units         float64
	sent          bool
	reportedUnits float64 // what its holder was told to add for it
	at            time.Duration
}

// unreconciledUnits is what the holder must add to its store for it, granted by the holder or not.
func (d *unansweredAdmission) unreconciledUnits(granted bool) float64 {
	switch {
	case granted && !d.sent:
		return d.units
	case !granted && d.sent:
		return -d.units
	}
	return 0
}

// clampTokens keeps a holder's level between a whole burst owed and its part of one.
func (st *quotaBucket) clampTokens(level, burst float64) float64 {
	return math.Max(math.Min(level, burst/st.ownerCount), -burst)
}

// overQuotaTenant is what was told of a customer who wants more than can be granted.
type overQuotaTenant struct {
	grantedFraction float64
	at              time.Duration
}

// reconcile takes in a member's sum and returns what it adds to the store. Sums make up for asks that were
// lost.
func (st *quotaBucket) reconcile(from int, m quotaMessage) (more float64) {
	was, known := st.requesters[from]
	if st.requesters == nil {
		st.requesters = map[int]requesterIncarnation{}
	}
	st.requesters[from] = requesterIncarnation{m.incarnation, m.reconciledUnits}
	switch {
	case !known:
		return 0 // what it settled before is in no store of this holder's
	case was.incarnation != m.incarnation:
		return m.reconciledUnits
	}
	return m.reconciledUnits - was.reconciledUnits
}

// previousAnswer returns the ask if it was answered before, or nil.
func (st *quotaBucket) previousAnswer(from int, num uint64) *answeredRequest {
	for i := range st.answeredRequests {
		if d := &st.answeredRequests[i]; d.from == from && d.number == num {
			return d
		}
	}
	return nil
}

// rememberAnswer keeps an ask that was answered.
func (st *quotaBucket) rememberAnswer(d answeredRequest) {
	if len(st.answeredRequests) == maxAnsweredRequests {
		st.answeredRequests = append(st.answeredRequests[:0], st.answeredRequests[1:]...)
	}
	st.answeredRequests = append(st.answeredRequests, d)
}

// recordDemand and granted count units into the averages.
func (st *quotaBucket) recordDemand(now time.Duration, units float64) {
	st.decayRates(now)
	st.demandRate += units / demandDecay.Seconds()
}

func (st *quotaBucket) recordGrant(now time.Duration, units float64) {
	st.decayRates(now)
	st.grantRate += units / demandDecay.Seconds()
}

func (st *quotaBucket) decayRates(now time.Duration) {
	keep := math.Exp(-(now - st.ratesAt).Seconds() / demandDecay.Seconds())
	st.demandRate, st.grantRate, st.ratesAt = st.demandRate*keep, st.grantRate*keep, now
}

// concurrencyLease is a place under an open cap that a holder gave to a gateway.
type concurrencyLease struct {
	from      int
	number    uint64
	expiresAt time.Duration
}

type peerInFlight struct {
	attempts   int
	reportedAt time.Duration
}

func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func refillTimeIfLimited(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}

// isEntryNode tells whether a gateway is one of a customer's.
func (g *Balancer) isEntryNode(i, first, spread int) bool {
	return (i-first+g.settings.NodeCount)%g.settings.NodeCount < spread
}

func (g *Balancer) markUnreported(st *quotaBucket) {
	if !st.dirty && !st.owned && g.settings.Gossip && g.settings.NodeCount > 1 {
		st.dirty = true
		g.unreported = append(g.unreported, st)
	}
}

// dropConcurrencyLeases removes the leases for which gone holds.
func (st *quotaBucket) dropConcurrencyLeases(gone func(concurrencyLease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// dropIdleQuotas drops idle stores among the next eighth, and what is no longer believed of customers.
func (g *Balancer) dropIdleQuotas() {
	for key, h := range g.overQuotaTenants {
		if g.now-h.at > overQuotaRetention {
			delete(g.overQuotaTenants, key)
		}
	}
	for num, d := range g.unansweredAdmissions {
		if g.now-d.at > unansweredAdmissionRetention {
			delete(g.unansweredAdmissions, num)
		}
	}
	for n := len(g.quotaList)/8 + 1; n > 0 && len(g.quotaList) > 0; n-- {
		if g.sweepPosition >= len(g.quotaList) {
			g.sweepPosition = 0
		}
		st := g.quotaList[g.sweepPosition]
		if !g.isIdle(st) {
			g.sweepPosition++
			continue
		}
		delete(g.quotas, st.tenant)
		g.quotaList[g.sweepPosition] = g.quotaList[len(g.quotaList)-1]
		g.quotaList = g.quotaList[:len(g.quotaList)-1]
	}
}

// isIdle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (g *Balancer) isIdle(st *quotaBucket) bool {
	p := &g.settings.Plans[st.plan]
	idle := idleConcurrencyQuota
	if p.Rate > 0 {
		idle = refillTime(2*p.Burst-st.tokens, p.Rate)
	}
	idle = max(idle, refillTimeIfLimited(p.HardLimitBurst, p.HardLimitRate))
	return st.inFlight == 0 && !st.dirty && len(st.leases) == 0 && g.now-st.refilledAt >= idle
}

// concurrencyHeadroom is how many more attempts the customer may have out, as far as is known.
func (g *Balancer) concurrencyHeadroom(st *quotaBucket) int {
	room := g.settings.Plans[st.plan].MaxConcurrent - st.inFlight
	for i, l := range st.peerInFlight {
		// An unheard peer counts as nought.
		if i != g.settings.NodeIndex && g.now-l.reportedAt < maxMissedGossipIntervals*g.gossipInterval {
			room -= l.attempts
		}
	}
	st.dropConcurrencyLeases(func(l concurrencyLease) bool { return g.now >= l.expiresAt })
	return room - len(st.leases)
}

func (g *Balancer) refill(st *quotaBucket) {
	p := &g.settings.Plans[st.plan]
	dt := (g.now - st.refilledAt).Seconds()
	st.refilledAt = g.now
	rate := p.Rate / st.ownerCount
	if len(st.requesters) > 0 && g.now-g.lastPeerMessage > isolatedAfter {
		// Members that it does not hear go on as before.
		rate = math.Max(rate-st.grantRate, -math.Max(st.tokens, 0)/math.Max(dt, 1e-9))
		st.ratesAt = g.now
	}
	st.tokens = math.Min(st.tokens+rate*dt, p.Burst/st.ownerCount)
	st.hardLimitTokens = math.Min(st.hardLimitTokens+p.HardLimitRate*st.hardLimitRateFraction*dt,
		p.HardLimitBurst*st.hardLimitBurstFraction)
}

// acquire takes units of a request inside the quota, now or when it settles.
func (g *Balancer) acquire(st *quotaBucket, units float64) {
	if g.settings.Plans[st.plan].Rate > 0 {
		st.tokens -= units
		st.acquiredSinceGossip += units
		st.unreportedUnits += units
	}
	g.markUnreported(st)
}

func (g *Balancer) ownerOfPart(st *quotaBucket, part int) int {
	x := (st.tenant + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.firstEntryNode + int((x^x>>32)%uint64(st.entryNodes))) % g.settings.NodeCount
}

func (g *Balancer) partsOwned(st *quotaBucket) (n int) {
	for part := range st.sharers {
		n += int(oneIf(g.ownerOfPart(st, part) == g.settings.NodeIndex))
	}
	return n
}

func (g *Balancer) ownerFor(st *quotaBucket) int {
	return g.ownerOfPart(st, g.settings.NodeIndex%st.sharers)
}

// recordOverQuota takes in what can be granted of a customer's wants.
func (g *Balancer) recordOverQuota(key uint64, admitted float64) {
	if _, known := g.overQuotaTenants[tenantHash(key)]; known || admitted < overQuotaThreshold {
		g.overQuotaTenants[tenantHash(key)] = overQuotaTenant{admitted, g.now}
	}
}

// grantedFraction is the share of a customer's wants that can be granted, as far as is known: a customer of
// whom
// nobody tells is inside its quota.
func (g *Balancer) grantedFraction(st *quotaBucket) float64 {
	if h, known := g.overQuotaTenants[tenantHash(st.tenant)]; known {
		return h.grantedFraction
	}
	return 1
}

// receiveLateGrant takes in an answer that nobody waited for any more: it says what the holder has taken.
func (g *Balancer) receiveLateGrant(from int, m quotaMessage) {
	d, ok := g.unansweredAdmissions[m.number]
	if !ok || d.quotaOwner != from {
		return
	}
	delete(g.unansweredAdmissions, m.number)
	d.quota.reconciledUnits += d.unreconciledUnits(m.granted) - d.reportedUnits
}
