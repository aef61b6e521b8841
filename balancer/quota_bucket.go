package balancer

import (
	"math"
	"time"
)

const (
	congestionPeriod = time.Second // a customer refused counts as crowded for so long
	// a store without a rate is dropped when idle so long
	idleConcurrencyQuota = 5 * time.Second
	// time constant of what a customer wants and is granted
	demandDecay    = 3 * time.Second
	maxIncarnation = 1 << 14 // lives of stores that a holder tells apart
	// of the largest request, in a mean one: small ones are the most
	meanUnitsFraction = 0.25
	// share of an inbox for a customer's asks granted or refused
	quotaInboxFraction = 0.5
	// of hearing nobody a holder counts what it would have granted
	isolatedAfter = time.Second / 2
)

// quotaTable holds the buckets of all tenants seen lately, and what is known of tenants over their quota.
type quotaTable struct {
	buckets map[uint64]*quotaBucket
	// the buckets in the order in which they are checked for idleness
	list                 []*quotaBucket
	sweepPosition        int                            // in list
	unansweredAdmissions map[uint64]unansweredAdmission // by number of the request
	overQuotaTenants     map[uint16]overQuotaTenant     // by hash of the tenant
}

func newQuotaTable() quotaTable {
	return quotaTable{
		buckets:              map[uint64]*quotaBucket{},
		unansweredAdmissions: map[uint64]unansweredAdmission{},
		overQuotaTenants:     map[uint16]overQuotaTenant{},
	}
}

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

type peerInFlight struct {
	attempts   int
	reportedAt time.Duration
}

// quotaFor returns the customer's store, filled up to now.
func (b *Balancer) quotaFor(key uint64, plan, spread, first int) *quotaBucket {
	st := b.quotas.buckets[key]
	p := &b.settings.Plans[plan]
	if st == nil {
		st = &quotaBucket{tenant: key, plan: plan, entryNodes: spread, firstEntryNode: first,
			refilledAt: b.now, grantedFraction: 1}
		st.incarnation = b.rng.Uint64N(maxIncarnation)
		if st.sharers = spread; spread > 1 && b.ownsQuotas() {
			// As many holders as it takes for their inboxes to hold the asks that can be granted.
			asks := p.Rate / math.Max(1, meanUnitsFraction*b.settings.MaxUnits)
			st.owned, st.sharers = true, min(max(1,
				int(math.Ceil(asks/(quotaInboxFraction*b.settings.PeerMessagesPerSecond)))), spread)
		}
		// Filled since this gateway's start: a store dropped when full comes back full.
		st.tokens = math.Min(p.Burst, p.Burst/float64(st.sharers)+p.Rate*(b.now-b.started).Seconds())
		if st.ownerCount = 1; st.owned {
			st.ownerCount = float64(st.sharers)
			if st.tokens = p.Burst / st.ownerCount; b.grantedFraction(st) < overQuotaThreshold {
				st.tokens = 0 // used up, as others tell: one that has restarted would grant it again
			}
		}
		// Rule 5: the parts of a ceiling sum to the whole. Each counts as empty at its gateway's start, since
		// one killed before may have spent it, and has filled since. A holder has most of it, for its grants.
		st.hardLimitBurstFraction = 1 / float64(spread)
		st.hardLimitRateFraction = st.hardLimitBurstFraction
		if st.owned { // what its quota leaves of the ceiling is for members that have no answer
			held := float64(b.partsOwned(st)) / st.ownerCount
			burst := 1 - math.Min(p.Burst/math.Max(p.HardLimitBurst, 1e-9), 1)
			rate := 1 - math.Min(p.Rate/math.Max(p.HardLimitRate, 1e-9), 1)
			st.hardLimitBurstFraction = burst*st.hardLimitBurstFraction + (1-burst)*held
			st.hardLimitRateFraction = rate*st.hardLimitRateFraction + (1-rate)*held
		}
		st.hardLimitTokens = math.Min(p.HardLimitBurst*st.hardLimitBurstFraction,
			p.HardLimitRate*st.hardLimitRateFraction*(b.now-b.started).Seconds())
		b.quotas.buckets[key] = st
		b.quotas.list = append(b.quotas.list, st)
	}
	b.refill(st)
	return st
}

// checkQuota tells whether units are inside the customer's quota and, if not, when to come back.
func (b *Balancer) checkQuota(st *quotaBucket, units float64) (bool, time.Duration) {
	p := &b.settings.Plans[st.plan]
	n := float64(st.sharers)
	if st.owned {
		n = 1
		// nothing is spent here without the store's knowing
		st.acquiredSinceGossip, st.startedSinceGossip, st.congestedUntil = 0, 0, 0
	}
	if p.MaxConcurrent > 0 {
		room := b.concurrencyHeadroom(st)
		least := 1
		if b.now < st.congestedUntil {
			least = max(min(st.entryNodes, p.MaxConcurrent/2), 1)
		}
		if room < least || st.startedSinceGossip > 0 &&
			float64(st.startedSinceGossip+1) > float64(room+st.startedSinceGossip)/n {
			st.congestedUntil = b.now + congestionPeriod
			return false, min(b.gossip.interval, quotaRequestTimeout)
		}
	}
	if p.Rate > 0 {
		room := (st.tokens + st.acquiredSinceGossip) / n
		// Exception: one request between tells needs only its units, or the split of a small
		// store would hold none. Not so for a customer that was refused of late: its gateways
		// would all send that one. There the store must have it for each, as far as it can.
		least := units
		if b.now < st.congestedUntil {
			least = math.Max(units, math.Min(units*n, p.Burst/2))
		}
		if st.tokens < least || st.acquiredSinceGossip > 0 && st.acquiredSinceGossip+units > room {
			st.congestedUntil = b.now + congestionPeriod
			return false, max(refillTime(units-st.tokens, p.Rate/st.ownerCount), min(b.gossip.interval,
				quotaRequestTimeout))
		}
	}
	return true, 0
}

func (b *Balancer) refill(st *quotaBucket) {
	p := &b.settings.Plans[st.plan]
	dt := (b.now - st.refilledAt).Seconds()
	st.refilledAt = b.now
	rate := p.Rate / st.ownerCount
	if len(st.requesters) > 0 && b.now-b.gossip.lastMessage > isolatedAfter {
		// Members that it does not hear go on as before.
		rate = math.Max(rate-st.grantRate, -math.Max(st.tokens, 0)/math.Max(dt, 1e-9))
		st.ratesAt = b.now
	}
	st.tokens = math.Min(st.tokens+rate*dt, p.Burst/st.ownerCount)
	st.hardLimitTokens = math.Min(st.hardLimitTokens+p.HardLimitRate*st.hardLimitRateFraction*dt,
		p.HardLimitBurst*st.hardLimitBurstFraction)
}

// acquire takes units of a request inside the quota, now or when it settles.
func (b *Balancer) acquire(st *quotaBucket, units float64) {
	if b.settings.Plans[st.plan].Rate > 0 {
		st.tokens -= units
		st.acquiredSinceGossip += units
		st.unreportedUnits += units
	}
	b.markUnreported(st)
}

// concurrencyHeadroom is how many more attempts the customer may have out, as far as is known.
func (b *Balancer) concurrencyHeadroom(st *quotaBucket) int {
	room := b.settings.Plans[st.plan].MaxConcurrent - st.inFlight
	for i, l := range st.peerInFlight {
		// An unheard peer counts as nought.
		if i != b.settings.NodeIndex && b.now-l.reportedAt < maxMissedGossipIntervals*b.gossip.interval {
			room -= l.attempts
		}
	}
	st.dropConcurrencyLeases(func(l concurrencyLease) bool { return b.now >= l.expiresAt })
	return room - len(st.leases)
}

// dropIdleQuotas drops idle stores among the next eighth, and what is no longer believed of customers.
func (b *Balancer) dropIdleQuotas() {
	for key, h := range b.quotas.overQuotaTenants {
		if b.now-h.at > overQuotaRetention {
			delete(b.quotas.overQuotaTenants, key)
		}
	}
	for num, d := range b.quotas.unansweredAdmissions {
		if b.now-d.at > unansweredAdmissionRetention {
			delete(b.quotas.unansweredAdmissions, num)
		}
	}
	for n := len(b.quotas.list)/8 + 1; n > 0 && len(b.quotas.list) > 0; n-- {
		if b.quotas.sweepPosition >= len(b.quotas.list) {
			b.quotas.sweepPosition = 0
		}
		st := b.quotas.list[b.quotas.sweepPosition]
		if !b.isIdle(st) {
			b.quotas.sweepPosition++
			continue
		}
		delete(b.quotas.buckets, st.tenant)
		b.quotas.list[b.quotas.sweepPosition] = b.quotas.list[len(b.quotas.list)-1]
		b.quotas.list = b.quotas.list[:len(b.quotas.list)-1]
	}
}

// isIdle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (b *Balancer) isIdle(st *quotaBucket) bool {
	p := &b.settings.Plans[st.plan]
	idle := idleConcurrencyQuota
	if p.Rate > 0 {
		idle = refillTime(2*p.Burst-st.tokens, p.Rate)
	}
	idle = max(idle, refillTimeIfLimited(p.HardLimitBurst, p.HardLimitRate))
	return st.inFlight == 0 && !st.dirty && len(st.leases) == 0 && b.now-st.refilledAt >= idle
}

// clampTokens keeps a holder's level between a whole burst owed and its part of one.
func (st *quotaBucket) clampTokens(level, burst float64) float64 {
	return math.Max(math.Min(level, burst/st.ownerCount), -burst)
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

func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func refillTimeIfLimited(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}
