package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

// A request meets its customer's quota, ARO, the choice of a server (pick), then maySend and mayRefuse.

// Overload control. The names are those of the paper.
const (
	controlInterval = 100 * time.Millisecond // a probe of the occupancy: the paper's figure
	// k, probes in an assessment: half a second follows short bursts
	assessmentIntervals    = 5
	targetOccupancy        = 0.95 // occupancy aimed at: the paper's figure
	maxGrowthFactor        = 1.3  // phi max, growth of f in one assessment
	minAdmittedFraction    = 0.1  // f min, so that recovery is always seen
	maxAcceptRateSmoothing = 0.1  // share of a new sample in the slow average of mu max
	// occupancy from which fA acts: the design page's figure
	overloadedOccupancy = 0.8
	// occupancy up to which spare capacity may go to extras
	underloadedOccupancy = 0.5
	// occupancy from which mu max is sampled: the design page's figure
	minOccupancyToLearn = 0.1
	// samples in a mean that may count as the lowest latency
	minBaselineSamples = 16
	// share of a class's aim that attempts out may take to be answered
	maxQueueingFraction = 0.3
	// attempts out per server, over all gateways, that the bound leaves
	minConcurrencyPerEndpoint  = 2.0
	minConcurrencyWhenIsolated = 4.0 // that it leaves a gateway that hears of no other
	certainExcessFactor        = 3.0 // times the bound that can't be out by chance
	recentAttemptFraction      = 0.5 // share of its aim until which an attempt out counts
	// mean latencies of silence after which a server counts as mute
	unresponsiveAfterMeans = 3.0
	// for which one that let an attempt come to nothing is left
	unresponsiveEjection = 4 * time.Second
	slowConnect          = 100 * time.Millisecond // a connection refused at once is no silence
	// parts of an aim in a step of the wait that fresh tries have
	initialTimeoutSteps = 20
	// times that a step down is smaller: the longest tenth counts
	initialTimeoutDecayFactor = 10
	// parts of an aim after which a throttled client should try again
	retryAfterDivisor = 4
	minOwnSamples     = 10 // samples of its own that a gateway goes by alone
	// share of a probe in the mean over gateways: about two seconds
	ownPoolSmoothing  = 0.05
	peerPoolSmoothing = 0.3 // share of a peer's figures in that mean
	// share of a probe in the rate of answers: about a second
	rateSmoothing = 0.1
	// share by which the lowest latency creeps up at each batch
	baselineGrowth = 0.01
)

// Servers and attempts.
const (
	// share of a new sample in a server's latency average
	latencySmoothing = 0.15
	// share of a new outcome in a server's error average
	errorSmoothing = 0.2
	// error average that ejects: about three failures in a row
	ejectionErrorRate = 0.35
	errorCostFactor   = 8                      // cost factor of an error average of 1
	baseEjection      = 500 * time.Millisecond // first ejection; doubles up to ejectMost
	maxEjection       = 8 * time.Second
	// time constant for forgetting what was learned of a server
	observationDecay = 5 * time.Second
	// share of the fall-over budget that is used: work varies
	slowStartBudgetFraction = 0.7
	meanSmoothing           = 0.05 // share of a new sample in the slow means
	// added for a server that is kept for when no other is left
	deprioritizedCost = 1e6
	outsideSubsetCost = 1e5 // for one outside the subset
	notSampledCost    = 1e3 // for one that was not drawn by its size
	// cost factor of a server that this request has tried
	triedEndpointFactor = 4
	// cost factor of another zone where crossing has a price
	crossZoneFactor = 1.1
	// mean deviations over the mean at which an attempt is slow
	slowAttemptDeviations = 10
	congestionPeriod      = time.Second // a customer refused counts as crowded for so long
	// gaps between tells after which a level told is forgotten
	maxMissedGossipIntervals = 10
	// a store without a rate is dropped when idle so long
	idleConcurrencyQuota  = 5 * time.Second
	retryTokensPerRequest = 0.2                   // further attempts earned by each first one
	maxRetryTokens        = 20                    // further attempts that can be saved up
	minGossipInterval     = 40 * time.Millisecond // shortest gap between tells
	// gap between tells as a multiple of what the inbox limit allows
	gossipIntervalSlack = 1.3
	// an answer to an ask is taken for lost then: two hops' time
	quotaRequestTimeout     = 100 * time.Millisecond
	quotaRequestRepeatAfter = 40 * time.Millisecond // one that has no answer by then is sent once more
	// in which an answer may come for which nobody waits
	unansweredAdmissionRetention = time.Second
	// time constant of what a customer wants and is granted
	demandDecay = 3 * time.Second
	// over which a store is spent where its holder is not heard
	isolatedSpendPeriod = 5 * time.Second
	// of hearing nobody a holder counts what it would have granted
	isolatedAfter  = time.Second / 2
	maxIncarnation = 1 << 14 // lives of stores that a holder tells apart
	// units that a holder is told of with no ask, where they count
	minReconciliationUnits = 2.0
	maxReconciledUnits     = 5e5 // units that a store settles in one life
	maxAnsweredRequests    = 8   // asks that a holder knows when they come again
	// asks without an answer after which a holder is not waited for
	maxUnansweredQuotaRequests = 3
	maxOverQuotaEntries        = 5 // customers told of in a message
	// share of wants granted under which a customer is told of
	overQuotaThreshold = 0.95
	overQuotaRetention = 10 * time.Second // for which that is believed
	// servers told of in a message: a few messages go round them all
	maxLoadEntries = 12
	// news older than that is not told; ages are told in a byte
	loadGossipMaxAge = 4 * time.Second
	peerMessageDelay = 10 * time.Millisecond // that a message takes, at most as a rule
	// time constant with which a load told loses its meaning
	loadGossipDecay = 3 * time.Second
	// share of an inbox for a customer's asks granted or refused
	quotaInboxFraction = 0.5
	// share of an inbox from which members that ask in vain pause
	inboxPressureFraction = 0.7
	// of the largest request, in a mean one: small ones are the most
	meanUnitsFraction = 0.25
)

// Start begins the gateway's work. Call it once, before any other event.
func (g *Balancer) Start(now time.Duration, out Actions) {
	g.now, g.actions, g.started, g.overload.admittedFraction = now, out, now, 1
	g.gossipInterval = controlInterval
	if in := g.settings.PeerMessagesPerSecond; in > 0 {
		gap := time.Duration(gossipIntervalSlack *
			float64(g.settings.NodeCount-1) / in * float64(time.Second))
		g.gossipInterval = max(gap, g.settings.Tick, minGossipInterval)
	}
	// Gateways started together must not beat in step.
	g.actions.SetTimer(timerControlInterval, time.Duration(g.rng.Int64N(int64(controlInterval))))
	if g.settings.Gossip && g.settings.NodeCount > 1 {
		g.actions.SetTimer(timerGossip, time.Duration(g.rng.Int64N(int64(g.gossipInterval))))
	}
	if g.settings.PollEndpoints {
		g.actions.WatchEndpoints(true)
	}
}

// RequestArrived is a new try of a client: it is sent on or refused at once.
func (g *Balancer) RequestArrived(now time.Duration, q Request, out Actions) {
	g.now, g.actions = now, out
	if g.requests[q.ID] != nil {
		return
	}
	ci, okClass := g.classIndex[q.Class]
	pi, okPlan := g.planIndex[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		g.actions.Reject(q.ID, 0)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.EntryNodes = min(max(q.EntryNodes, 1), g.settings.NodeCount)
	st := g.quotaFor(q.Customer, pi, q.EntryNodes, q.FirstEntryNode)
	g.lastRequestNumber++
	r := &request{Request: q, number: g.lastRequestNumber, class: ci, quota: st,
		deadline: now + q.Timeout - 2*g.settings.Tick}
	late, l := g.arrivesTooLate(ci, q.Timeout), &g.latencies[ci]
	tooShort := l.samples >= minBaselineSamples && q.Timeout.Seconds() < l.mean
	if g.exceedsConcurrencyLimit(ci) || late && g.overload.occupancy >= overloadedOccupancy || tooShort {
		g.reject(q.ID, g.settings.Classes[ci].LatencyObjective/retryAfterDivisor)
		return
	}
	pays := g.settings.Plans[pi].OverQuotaValue > 0
	if st.owned && now < st.rejectedUntil && !pays {
		st.locallyRejectedUnits += q.Units
		g.reject(q.ID, st.rejectedUntil-now)
		return
	}
	g.requests[q.ID], g.requestsByNumber[r.number] = r, r
	g.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	if r.quotaOwner = g.ownerFor(st); st.owned && r.quotaOwner != g.settings.NodeIndex {
		if now < st.rejectedUntil { // beyond the quota, and may go on so
			st.locallyRejectedUnits += q.Units
			g.admit(r, false, st.rejectedUntil-now)
			return
		}
		g.requestQuota(r)
		return
	}
	st.recordDemand(now, q.Units)
	in, wait := g.checkQuota(st, q.Units)
	if in = in && !(late && now < st.congestedUntil); in {
		st.recordGrant(now, q.Units)
		g.acquire(st, q.Units)
	}
	g.admit(r, in, wait)
}

// arrivesTooLate tells whether a try is known to come too late for its aim. Each try of a class begins with
// the same
// wait, of which a later try of the same client has less left. Where its answer would be worth little, it
// gives way to those that can still be answered in time. Clients that give each try a wait of its own
// look younger than they are: those are not held back.
func (g *Balancer) arrivesTooLate(class int, grace time.Duration) bool {
	c, l := &g.settings.Classes[class], &g.latencies[class]
	if l.initialTimeout == 0 {
		l.initialTimeout = grace
	}
	// A high quantile, not the most: single clients must not make all others look late.
	if step := c.LatencyObjective / initialTimeoutSteps; grace > l.initialTimeout {
		l.initialTimeout += min(step, grace-l.initialTimeout)
	} else {
		l.initialTimeout -= min(step/initialTimeoutDecayFactor, l.initialTimeout-grace)
	}
	return (l.initialTimeout-grace).Seconds()+l.mean > c.LatencyObjective.Seconds()
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (g *Balancer) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.quota, &g.settings.Plans[r.quota.plan], r.class
	r.inQuota = in
	var s *endpoint
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !(p.OverQuotaValue > p.OverQuotaCost && g.overload.occupancy < underloadedOccupancy &&
		g.overload.admittedFraction >= 1) {
	} else if !r.grantedByOwner && st.hardLimitTokens < r.Units && p.HardLimitRate > 0 {
		wait = refillTime(r.Units-st.hardLimitTokens, p.HardLimitRate*st.hardLimitRateFraction)
	} else if wait, g.overload.throttleAccumulator =
		g.settings.Classes[ci].LatencyObjective/retryAfterDivisor,
		g.overload.throttleAccumulator+g.overload.admittedFraction; g.overload.throttleAccumulator >= 1 {
		g.overload.throttleAccumulator--
		wait = assessmentIntervals * controlInterval
		s = g.selectEndpoint(r)
	}
	if s == nil {
		g.releaseQuota(r, r.Units)
		g.reject(r.ID, wait)
		g.finishRequest(r)
		return
	}
	if p.HardLimitRate > 0 && !r.grantedByOwner {
		st.hardLimitTokens -= r.Units
	}
	st.startedSinceGossip++
	g.overload.sentCounts[g.overload.intervalIndex()]++
	g.retryTokens = math.Min(g.retryTokens+retryTokensPerRequest, maxRetryTokens)
	g.startAttempt(r, s)
}

// quotaFor returns the customer's store, filled up to now.
func (g *Balancer) quotaFor(key uint64, plan, spread, first int) *quotaBucket {
	st := g.quotas[key]
	p := &g.settings.Plans[plan]
	if st == nil {
		st = &quotaBucket{tenant: key, plan: plan, entryNodes: spread, firstEntryNode: first,
			refilledAt: g.now, grantedFraction: 1}
		st.incarnation = g.rng.Uint64N(maxIncarnation)
		if st.sharers = spread; spread > 1 && g.ownsQuotas() {
			// As many holders as it takes for their inboxes to hold the asks that can be granted.
			asks := p.Rate / math.Max(1, meanUnitsFraction*g.settings.MaxUnits)
			st.owned, st.sharers = true, min(max(1,
				int(math.Ceil(asks/(quotaInboxFraction*g.settings.PeerMessagesPerSecond)))), spread)
		}
		// Filled since this gateway's start: a store dropped when full comes back full.
		st.tokens = math.Min(p.Burst, p.Burst/float64(st.sharers)+p.Rate*(g.now-g.started).Seconds())
		if st.ownerCount = 1; st.owned {
			st.ownerCount = float64(st.sharers)
			if st.tokens = p.Burst / st.ownerCount; g.grantedFraction(st) < overQuotaThreshold {
				st.tokens = 0 // used up, as others tell: one that has restarted would grant it again
			}
		}
		// Rule 5: the parts of a ceiling sum to the whole. Each counts as empty at its gateway's start, since
		// one killed before may have spent it, and has filled since. A holder has most of it, for its grants.
		st.hardLimitBurstFraction = 1 / float64(spread)
		st.hardLimitRateFraction = st.hardLimitBurstFraction
		if st.owned { // what its quota leaves of the ceiling is for members that have no answer
			held := float64(g.partsOwned(st)) / st.ownerCount
			burst := 1 - math.Min(p.Burst/math.Max(p.HardLimitBurst, 1e-9), 1)
			rate := 1 - math.Min(p.Rate/math.Max(p.HardLimitRate, 1e-9), 1)
			st.hardLimitBurstFraction = burst*st.hardLimitBurstFraction + (1-burst)*held
			st.hardLimitRateFraction = rate*st.hardLimitRateFraction + (1-rate)*held
		}
		st.hardLimitTokens = math.Min(p.HardLimitBurst*st.hardLimitBurstFraction,
			p.HardLimitRate*st.hardLimitRateFraction*(g.now-g.started).Seconds())
		g.quotas[key] = st
		g.quotaList = append(g.quotaList, st)
	}
	g.refill(st)
	return st
}

// checkQuota tells whether units are inside the customer's quota and, if not, when to come back.
func (g *Balancer) checkQuota(st *quotaBucket, units float64) (bool, time.Duration) {
	p := &g.settings.Plans[st.plan]
	n := float64(st.sharers)
	if st.owned {
		n = 1
		// nothing is spent here without the store's knowing
		st.acquiredSinceGossip, st.startedSinceGossip, st.congestedUntil = 0, 0, 0
	}
	if p.MaxConcurrent > 0 {
		room := g.concurrencyHeadroom(st)
		least := 1
		if g.now < st.congestedUntil {
			least = max(min(st.entryNodes, p.MaxConcurrent/2), 1)
		}
		if room < least || st.startedSinceGossip > 0 &&
			float64(st.startedSinceGossip+1) > float64(room+st.startedSinceGossip)/n {
			st.congestedUntil = g.now + congestionPeriod
			return false, min(g.gossipInterval, quotaRequestTimeout)
		}
	}
	if p.Rate > 0 {
		room := (st.tokens + st.acquiredSinceGossip) / n
		// Exception: one request between tells needs only its units, or the split of a small
		// store would hold none. Not so for a customer that was refused of late: its gateways
		// would all send that one. There the store must have it for each, as far as it can.
		least := units
		if g.now < st.congestedUntil {
			least = math.Max(units, math.Min(units*n, p.Burst/2))
		}
		if st.tokens < least || st.acquiredSinceGossip > 0 && st.acquiredSinceGossip+units > room {
			st.congestedUntil = g.now + congestionPeriod
			return false, max(refillTime(units-st.tokens, p.Rate/st.ownerCount), min(g.gossipInterval,
				quotaRequestTimeout))
		}
	}
	return true, 0
}

// Peers. A tell repeats the deltas of the one before: a peer that missed that learns them, and one
// that comes late or twice is known by its number. Attempts out go as levels.

// PeerMessage brings a message of another gateway. A malformed one is ignored whole.
func (g *Balancer) PeerMessage(now time.Duration, from int, message []byte, out Actions) {
	g.now, g.actions = now, out
	if from < 0 || from >= len(g.peers) || from == g.settings.NodeIndex || len(message) == 0 {
		return
	}
	g.peerMessages++
	g.consecutiveUnanswered, g.lastPeerMessage = 0, now
	if message[0] != kindGossip {
		g.receiveQuotaMessage(from, message)
		return
	}
	g.receiveGossip(from, message)
}

func (g *Balancer) applyGossipEntries(from int, es []gossipEntry) {
	for _, e := range es {
		if st := g.quotas[e.tenant]; st != nil && st.plan != e.plan {
			continue
		}
		st := g.quotaFor(e.tenant, e.plan, e.entryNodes, e.firstEntryNode)
		if g.settings.Plans[e.plan].Rate > 0 {
			st.tokens = math.Max(st.tokens-e.units, -g.settings.Plans[e.plan].Burst)
		}
		if g.settings.Plans[e.plan].MaxConcurrent > 0 {
			if st.peerInFlight == nil {
				st.peerInFlight = make([]peerInFlight, g.settings.NodeCount)
			}
			st.peerInFlight[from] = peerInFlight{e.inFlight, g.now}
		}
	}
}

// gossip tells each peer of the stores whose sets it is in, and returns the most messages that one was sent.
func (g *Balancer) gossip() (most int) {
	for i := range g.peers {
		if i != g.settings.NodeIndex {
			most = max(most, g.gossipTo(i, func(st *quotaBucket) bool {
				return g.isEntryNode(i,
					st.firstEntryNode, st.entryNodes)
			}))
		}
	}
	kept := g.unreported[:0]
	for _, st := range g.unreported {
		st.unreportedUnits -= math.Round(st.unreportedUnits)
		st.acquiredSinceGossip, st.startedSinceGossip = 0, 0
		if st.idleReports++; st.inFlight > 0 {
			st.idleReports = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.dirty = g.settings.Plans[st.plan].MaxConcurrent > 0 && st.idleReports < 3; st.dirty {
			kept = append(kept, st)
		}
	}
	g.unreported = kept
	return most
}

// Exception for sets to which tells come late (their gap is longer than an assessment): one gateway of
// the set, by the customer's hash, holds the only store, and the others ask it. It covers wide sets in large
// fleets; it costs two hops of waiting, and a holder that restarts begins with a full store.

func (g *Balancer) requestQuota(r *request) {
	if math.Abs(r.quota.reconciledUnits) > maxReconciledUnits {
		r.quota.reconciledUnits, r.quota.reportedReconciliation, r.quota.incarnation = 0, 0,
			g.rng.Uint64N(maxIncarnation) // it must fit
	}
	g.actions.SendPeer(r.quotaOwner, g.encodeQuotaRequest(r))
	r.quota.locallyRejectedUnits = 0
	switch {
	case g.isolated() || g.peers[r.quotaOwner].unansweredQuotaRequests >= maxUnansweredQuotaRequests:
		g.decideWithoutOwner(r)
	case r.finalQuotaRequest, g.peers[r.quotaOwner].unansweredQuotaRequests > 0,
		g.peerMessageRate > inboxPressureFraction*g.settings.PeerMessagesPerSecond:
		// Where inboxes are full, asks that come again would fill them more.
		r.finalQuotaRequest = true
		g.actions.SetTimer(r.number<<timerBits|timerQuotaRequest,
			quotaRequestTimeout-time.Duration(oneIf(r.quotaRequestRepeated))*quotaRequestRepeatAfter)
	default:
		g.actions.SetTimer(r.number<<timerBits|timerQuotaRequest, quotaRequestRepeatAfter)
	}
}

// decideWithoutOwner goes by the share of its customer's wants that can be granted, as far as its holder has
// told.
// It covers lost messages, holders that are down, stalled or flooded, and cuts; it harms while that share
// changes unheard. What it sends counts at the holder later, unless the holder counts that itself (fillUp).
func (g *Balancer) decideWithoutOwner(r *request) {
	r.decidedWithoutOwner = true
	g.peers[r.quotaOwner].unansweredQuotaRequests++
	g.consecutiveUnanswered++
	share := g.grantedFraction(r.quota)
	g.admit(r, g.rng.Float64() < share, quotaRequestTimeout)
	sent := len(r.attempts) > 0
	d := unansweredAdmission{quota: r.quota, quotaOwner: r.quotaOwner, units: r.Units, sent: sent, at: g.now}
	if !g.isolated() {
		// The ask was lost or its answer, as likely one as the other: half of what either would change.
		d.reportedUnits = (d.unreconciledUnits(true)*share + d.unreconciledUnits(false)*(2-share)) / 2
		r.quota.reconciledUnits += d.reportedUnits
		g.sendReconciliation(r.quota, r.quotaOwner)
	}
	g.unansweredAdmissions[r.number] = d
}

// isolated tells whether asks come to nothing whomever they go to: then none is waited for.
func (g *Balancer) isolated() bool { return g.consecutiveUnanswered >= maxUnansweredQuotaRequests }

// receiveQuotaMessage takes an ask of a member, the answer of a holder, or what a member gives back.
func (g *Balancer) receiveQuotaMessage(from int, message []byte) {
	m, ok := g.decodeQuotaMessage(message)
	if !ok {
		return
	}
	if m.kind == kindQuotaRequest || m.kind == kindQuotaGrant {
		g.overload.mixIntoPool(peerPoolSmoothing, m.pooledMeans)
		g.receiveOverQuota(m.overQuota)
		g.receiveLoadGossip(m.loadGossip)
	}
	switch m.kind {
	case kindQuotaRequest:
		g.answerQuotaRequest(from, m)
	case kindQuotaGrant:
		g.receiveQuotaGrant(from, m)
	case kindReconciliation:
		if st := g.quotas[m.tenant]; st != nil && st.owned &&
			g.isEntryNode(from, st.firstEntryNode, st.entryNodes) {
			g.refill(st)
			st.tokens = st.clampTokens(st.tokens+st.reconcile(from, m), g.settings.Plans[st.plan].Burst)
		}
	case kindQuotaRelease:
		if st := g.quotas[m.tenant]; st != nil && st.owned {
			g.refill(st)
			st.tokens = math.Min(st.tokens+m.units, g.settings.Plans[st.plan].Burst/st.ownerCount)
			st.dropConcurrencyLeases(func(l concurrencyLease) bool {
				return l.from == from &&
					l.number == m.number
			})
		}
	}
}

// answerQuotaRequest answers a member's ask out of this holder's store.
func (g *Balancer) answerQuotaRequest(from int, m quotaMessage) {
	if !g.isEntryNode(from, m.firstEntryNode, m.entryNodes) ||
		!g.isEntryNode(g.settings.NodeIndex, m.firstEntryNode, m.entryNodes) {
		return
	}
	st := g.quotaFor(m.tenant, m.plan, m.entryNodes, m.firstEntryNode)
	if st.plan != m.plan || !st.owned {
		return
	}
	p := &g.settings.Plans[m.plan]
	st.tokens = st.clampTokens(st.tokens+st.reconcile(from, m), p.Burst)
	if done := st.previousAnswer(from, m.number); done != nil {
		g.actions.SendPeer(from, g.encodeQuotaGrant(from, m.number, done.granted, done.wait,
			st.grantedFraction))
		return // the answer was lost
	}
	st.recordDemand(g.now, m.units+m.locallyRejectedUnits)
	in, wait := g.checkQuota(st, m.units)
	if in = in && (p.HardLimitRate <= 0 || st.hardLimitTokens >= m.units); in {
		wait, st.hardLimitTokens = 0, st.hardLimitTokens-m.units
		g.acquire(st, m.units)
		st.recordGrant(g.now, m.units)
		if p.MaxConcurrent > 0 {
			st.leases = append(st.leases, concurrencyLease{from, m.number,
				g.now + g.longestLatencyObjective()})
		}
	} else if g.peerMessageRate > inboxPressureFraction*g.settings.PeerMessagesPerSecond {
		// More members ask in vain than the inbox takes: each pauses until it is their turn again.
		wait = max(wait, refillTime(float64(st.entryNodes/st.sharers),
			quotaInboxFraction*g.settings.PeerMessagesPerSecond))
	}
	// A member that hears nothing spends its part of what is there and of what comes within a while.
	room := math.Max(st.tokens, 0)/isolatedSpendPeriod.Seconds() + p.Rate/st.ownerCount
	st.grantedFraction = math.Min(1, room/math.Max(st.demandRate, 1e-9))
	g.recordOverQuota(st.tenant, st.grantedFraction)
	st.rememberAnswer(answeredRequest{from, m.number, in, wait})
	g.actions.SendPeer(from, g.encodeQuotaGrant(from, m.number, in, wait, st.grantedFraction))
}

// receiveQuotaGrant takes in a holder's answer.
func (g *Balancer) receiveQuotaGrant(from int, m quotaMessage) {
	g.peers[from].unansweredQuotaRequests = 0
	r := g.requestsByNumber[m.number]
	if r == nil || r.answered || r.quotaOwner != from || r.decidedWithoutOwner || len(r.attempts) > 0 {
		g.receiveLateGrant(from, m)
		return
	}
	g.recordOverQuota(r.quota.tenant, m.grantedFraction)
	if !m.granted {
		r.quota.rejectedUntil = g.now + m.retryAfter
	}
	r.grantedByOwner = m.granted
	g.admit(r, m.granted, m.retryAfter)
}

// releaseQuota returns units that were not sent, and a place under an open cap.
func (g *Balancer) releaseQuota(r *request, units float64) {
	open := g.settings.Plans[r.quota.plan].MaxConcurrent > 0
	// whether its ask was granted is not known: only the place is surely free
	units *= 1 - oneIf(r.decidedWithoutOwner)
	if !r.inQuota && !r.decidedWithoutOwner || units == 0 && !open {
		return
	}
	if !r.quota.owned || r.quotaOwner == g.settings.NodeIndex {
		g.refill(r.quota)
		g.acquire(r.quota, -units)
		return
	}
	msg := encodeQuotaRelease(r.quota.tenant, r.number, units)
	g.actions.SendPeer(r.quotaOwner, msg)
	if open && units == 0 {
		g.actions.SendPeer(r.quotaOwner, msg) // a lost one would block a place for long
	}
}

// News of customers: those who want more than can be granted. A gateway meets most of its customers every ten
// seconds or less, too seldom to know that when an ask is lost or its holder cut off.

// News of servers. A gateway of a large fleet meets a server every few seconds, too seldom to see that it has
// slowed down or died; all together meet it many times a second. What each learns goes round with the asks
// and answers that are sent anyway.

// ownsQuotas tells whether the fleet is so large that tells to all of it come too late to go by.
func (g *Balancer) ownsQuotas() bool {
	return g.settings.Gossip && g.gossipInterval > assessmentIntervals*controlInterval
}

// receiveLoadGossip takes in what another gateway knows of servers, where it is newer.
func (g *Balancer) receiveLoadGossip(b []byte) {
	for ; len(b) >= loadEntryBytes; b = b[loadEntryBytes:] {
		s := g.subsetByHash[binary.BigEndian.Uint16(b)]
		at := g.now - time.Duration(b[3])*ageUnit - peerMessageDelay
		if s == nil || at <= s.loadReportedAt+ageUnit+peerMessageDelay || g.now-at > loadGossipMaxAge {
			continue // within the precision of ages it may be what is known already
		}
		if b[2] != loadRefusesConnections {
			s.recordLoad(float64(b[2]&^loadErrorBit), at)
			s.lastResponseFailed = b[2]&loadErrorBit != 0
			s.errorRate += errorSmoothing * (oneIf(s.lastResponseFailed) - s.errorRate)
		} else if s.loadReportedAt, s.refusesConnections = at, true; g.now >= s.ejectedUntil {
			g.eject(s)
		}
	}
}

// expectedOtherLoad is the number of requests that the server is expected to hold besides this gateway's own:
// what
// was told of it, the less the older that is.
func (g *Balancer) expectedOtherLoad(s *endpoint) float64 {
	switch {
	case !g.ownsQuotas():
		return 0 // its own attempts tell a gateway of a small fleet more, and sooner
	case s.reportedLoad < 0:
		return 0 // nobody has had an answer from it: it has just come
	}
	age := g.now - s.loadReportedAt
	return g.meanLoad + (s.otherNodesLoad-g.meanLoad)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}

// reconcileUnits takes in by how many units a request counted less than was guessed. A holder learns that
// with the
// next ask of its customer, since a message for each answer would fill the inboxes by half as much again, or
// sooner where the quota is nearly used and the sum is large: it would go by a store that is not so.
func (g *Balancer) reconcileUnits(r *request, units float64) {
	g.refill(r.quota)
	if !r.quota.owned || r.quotaOwner == g.settings.NodeIndex {
		g.releaseQuota(r, units)
		return
	}
	r.quota.reconciledUnits += units
	g.sendReconciliation(r.quota, r.quotaOwner)
}

func (g *Balancer) sendReconciliation(st *quotaBucket, holder int) {
	if g.grantedFraction(st) < 1 &&
		math.Abs(st.reconciledUnits-st.reportedReconciliation) >= minReconciliationUnits && !g.isolated() {
		g.actions.SendPeer(holder, g.encodeReconciliation(st))
	}
}

// Overload control (ARO).

// assessInterval closes a probe, and every k probes sets f.
func (a *overloadController) assessInterval(oks, held float64) {
	i := a.intervalIndex()
	a.mixIntoPool(ownPoolSmoothing, [poolSize]float64{a.occupancySums[i], a.occupancyCounts[i],
		a.sentCounts[i], oks, held})
	if a.intervals++; a.intervalIndex() == 0 {
		var occ, n, sent float64
		for i := range a.occupancySums {
			occ, n, sent = occ+a.occupancySums[i], n+a.occupancyCounts[i], sent+a.sentCounts[i]
		}
		a.acceptRate = sent / assessmentIntervals
		if n < minOwnSamples { // too few of its own: by the mean over the gateways it hears from
			occ, n, a.acceptRate = a.pooledMeans[poolOccupancySum], a.pooledMeans[poolOccupancySamples],
				a.pooledMeans[poolSent]
		}
		if a.occupancy = 0; n > minOwnSamples*ownPoolSmoothing/4 {
			a.occupancy = math.Min(occ/n, 1)
		}
		fO := clampAdmittedFraction(math.Min(targetOccupancy/math.Max(a.occupancy, 1e-9),
			maxGrowthFactor) * a.admittedFraction)
		fA := 1.0
		if a.maxAcceptRate > 0 && a.occupancy >= overloadedOccupancy && a.acceptRate > 0 {
			fA = clampAdmittedFraction(targetOccupancy * a.maxAcceptRate / a.acceptRate * a.admittedFraction)
		}
		a.admittedFraction = math.Min(fA, fO)
		if a.occupancy >= minOccupancyToLearn {
			if mu := a.acceptRate / a.occupancy; a.maxAcceptRate == 0 {
				a.maxAcceptRate = mu
			} else {
				a.maxAcceptRate += maxAcceptRateSmoothing * (mu - a.maxAcceptRate)
			}
		}
	}
	a.occupancySums[a.intervalIndex()], a.occupancyCounts[a.intervalIndex()],
		a.sentCounts[a.intervalIndex()] = 0, 0, 0
}

// exceedsConcurrencyLimit is an exception to ARO, whose f follows what has been answered and so comes late
// when work
// piles up. By Little's law the attempts out over the answers per second are the delay that a new
// request meets; where that leaves no hope of its aim, it is refused. It covers overload, stalls,
// lost servers and retry storms alike; it harms where latency is long by nature, not by waiting.
func (g *Balancer) exceedsConcurrencyLimit(class int) bool {
	best := 0.0
	for c := range g.settings.Classes {
		best = math.Max(best, g.settings.Classes[c].PriorityWeight/g.workOf(c))
	}
	c := &g.settings.Classes[class]
	rank := 1.0
	if best > 0 {
		rank = (1 + c.PriorityWeight/g.workOf(class)/best) / 2
	}
	wait := maxQueueingFraction * rank * c.LatencyObjective.Seconds()
	bound := g.responseRate * wait
	if bound >= minOwnSamples && float64(g.inFlight) < bound {
		return false // as nearly always, and far sooner known
	}
	out, servers := g.reachable()
	floor := minConcurrencyPerEndpoint * servers / float64(g.settings.NodeCount)
	if g.isolated() {
		floor = math.Max(floor, minConcurrencyWhenIsolated)
	}
	if bound < minOwnSamples && (g.ownsQuotas() || g.peerMessageRate > 1) {
		// Few attempts are out by chance or not: the mean over the gateways it hears from, or over its own
		// last seconds where it hears none, must say so too. That comes late: what can't be chance doesn't
		// wait for it, or a burst would come in whole. A gateway that refuses has few answers of its own.
		least := math.Max(g.overload.pooledMeans[poolResponses]/controlInterval.Seconds()*wait, floor)
		if out < certainExcessFactor*math.Max(bound, least) {
			return out >= least && g.overload.pooledMeans[poolInFlight] >= least
		}
	}
	return out >= math.Max(bound, floor)
}

// selectEndpoint returns the server with the least expected delay that the request may go to, or nil.
func (g *Balancer) selectEndpoint(r *request) *endpoint {
	var best *endpoint
	bestCost, spares := math.Inf(1), 0
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	samples := max(len(g.tracked)/g.settings.NodeCount+1, 2)
	for i := range g.tracked {
		if best != nil && samples == 0 && !g.deprioritized(best) {
			break
		}
		j := i + g.rng.IntN(len(g.tracked)-i)
		g.tracked[i], g.tracked[j] = g.tracked[j], g.tracked[i]
		s := g.tracked[i]
		if !s.acceptsRequests() || !g.mayAttempt(r, s) || !g.slowStartAllows(s) {
			continue
		}
		cost := g.cost(s)
		switch {
		case s.unreachable && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case g.deprioritized(s):
			// only if no other is left; no look, or those in service would be taken blindly
			cost += deprioritizedCost
		case !s.inSubset:
			cost += outsideSubsetCost // only if none of the subset is in service
			spares++
		case g.rng.Float64()*g.subsetWeights.largest > g.relativeCapacity(s):
			cost += notSampledCost // candidates are drawn by their size
		default:
			samples = max(samples-1, 0)
		}
		for _, a := range r.attempts {
			if a.endpoint == s && a.result != OK {
				cost *= triedEndpointFactor
			}
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best != nil && best.inSubset && !g.deprioritized(best) || spares >= g.subsetSize() {
		return best
	}
	// As many of the reserve take the place of the subset as that has servers.
	if s := g.sampleReserve(r); s != nil && (best == nil || g.cost(s)+outsideSubsetCost <= bestCost) {
		best = s
	}
	return best
}

func (g *Balancer) cost(s *endpoint) float64 {
	lat := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (g.now-s.lastProgress).Seconds()/math.Max(g.meanLatency(), 1e-3))
	}
	held := float64(s.inFlight) + math.Max(s.reportedQueue, 0) + g.expectedOtherLoad(s)
	cost := math.Max(lat, 0.1) * (1 + held) * (1 + errorCostFactor*s.errorRate)
	cost /= g.warmUpFraction(s)
	if s.Zone != g.settings.Zone && g.settings.CrossZonePrice > 0 {
		cost *= crossZoneFactor
	}
	return cost
}

// slowStartAllows keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a
// warm
// one is seen to carry, which all together can't exceed the whole.
func (g *Balancer) slowStartAllows(s *endpoint) bool {
	g.accrueSlowStartTokens(s)
	return s.slowStartTokens < 0 || s.inSubset && s.slowStartTokens >= 1
}

// accrueSlowStartTokens counts the requests that may be sent to a cold server; a warm one has no such bound.
// It starts by
// chance: hundreds of gateways with less than one request a window to send must not all send it at once.
func (g *Balancer) accrueSlowStartTokens(s *endpoint) {
	w := g.warmUpFraction(s)
	if w >= 1 {
		s.slowStartTokens = -1
		return
	}
	work := 0.0
	for c := range g.settings.Classes {
		work = math.Max(work, g.workOf(c))
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	rate := slowStartBudgetFraction * g.settings.OverloadFactor * w * g.weight(s) *
		math.Max(g.warmWorkRate, 1/math.Ceil(g.subsetsPerEndpoint)) / work
	if s.slowStartTokens < 0 {
		s.slowStartTokens = g.rng.Float64()
	} else {
		most := math.Max(1, rate*g.settings.OverloadWindow.Seconds()/2)
		s.slowStartTokens = math.Min(s.slowStartTokens+rate*(g.now-s.slowStartAccruedAt).Seconds(), most)
	}
	s.slowStartAccruedAt = g.now
}

// resultNeverRan tells which results prove that the attempt did not run.
func resultNeverRan(r Result) bool { return r == Overloaded || r == ConnectFailed || r == NotSent }

// mayAttempt is rule 2 for a further attempt of the request at the server.
func (g *Balancer) mayAttempt(r *request, s *endpoint) bool {
	if r.answered || r.responseStarted || r.inFlight > 0 && !g.settings.Hedging ||
		g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts {
		return false
	}
	c := &g.settings.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || g.now > g.retryDeadline(r) ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// retryDeadline is until when a request of which an attempt may have run may be sent again, 0 if none has.
func (g *Balancer) retryDeadline(r *request) time.Duration {
	for i := range r.attempts {
		if c := &g.settings.Classes[r.class]; c.Idempotency == IdempotentWithKey && !r.attempts[i].neverRan {
			return r.attempts[i].sentAt + c.DedupWindow - 2*g.settings.Tick
		}
	}
	return 0
}

// mayReject is rule 2 for a refusal, which promises that trying again is harmless.
func (g *Balancer) mayReject(r *request) bool {
	c := &g.settings.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupFleet {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return false
		}
	}
	return true
}

func (g *Balancer) startAttempt(r *request, s *endpoint) {
	c := &g.settings.Classes[r.class]
	l := &g.latencies[r.class]
	timeout := max(r.deadline-g.now, g.settings.Tick)
	more := g.settings.MaxAttempts == 0 || len(r.attempts)+1 < g.settings.MaxAttempts
	if c.Idempotency != NonIdempotent && more && l.samples >= minBaselineSamples &&
		g.overload.occupancy < overloadedOccupancy {
		slow := max(time.Duration((l.mean+slowAttemptDeviations*l.deviation)*float64(time.Second)),
			c.LatencyObjective/4)
		if g.settings.Hedging {
			g.actions.SetTimer(r.number<<timerBits|timerHedge, slow)
		} else if slow < timeout/2 && slow < c.LatencyObjective {
			timeout = slow
		}
	}
	if s.inFlight == 0 {
		s.lastProgress = g.now
	}
	s.inFlight++
	g.inFlight++
	r.inFlight++
	r.quota.inFlight++
	g.markUnreported(r.quota)
	if g.warmUpFraction(s) < 1 {
		s.slowStartTokens = math.Max(s.slowStartTokens-1, 0)
	}
	by := g.retryDeadline(r)
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: g.now, zone: s.Zone, cell: s.Cell})
	g.actions.SendAttempt(r.ID, s.ID, timeout, by)
}

// retry sends a further attempt if one is legal, affordable and of use.
func (g *Balancer) retry(r *request) bool {
	if g.retryTokens < 1 || g.now+time.Duration(g.latencies[r.class].mean*float64(time.Second)) > r.deadline {
		return false
	}
	s := g.selectEndpoint(r)
	if s != nil {
		g.retryTokens--
		g.startAttempt(r, s)
	}
	return s != nil
}

// giveUp gives the final answer: a refusal where that promise holds.
func (g *Balancer) giveUp(r *request) {
	if r.answered {
		return
	}
	if g.mayReject(r) {
		g.reject(r.ID, assessmentIntervals*controlInterval)
	} else {
		g.actions.Fail(r.ID)
	}
	g.finishRequest(r)
	g.cancelAttempts(r)
}

// AttemptFinished is the end of an attempt.
func (g *Balancer) AttemptFinished(now time.Duration, o Outcome, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result, a.neverRan = true, o.Result, resultNeverRan(o.Result)
	s := a.endpoint
	s.inFlight--
	g.inFlight--
	r.inFlight--
	r.quota.inFlight--
	g.markUnreported(r.quota)
	g.recordOutcome(r, s, o)
	if o.Result == OK && g.settings.PostPaid && o.Units > 0 && r.inQuota && !r.reconciled {
		r.reconciled = true
		g.reconcileUnits(r, r.Units-o.Units)
	}
	if o.Answered || o.Result == OK {
		g.finishRequest(r)
	}
	if r.answered {
		g.finishRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !g.retry(r) {
		g.giveUp(r)
	}
}

// recordOutcome keeps a server's health.
func (g *Balancer) recordOutcome(r *request, s *endpoint, o Outcome) {
	if g.settings.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		g.recordLoadReport(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, Overloaded, ErrorResponse:
		g.recordResponse(s)
		if o.ConnectedAt > 0 {
			s.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		g.recordNoResponse(s, g.now-o.Elapsed)
		if o.Elapsed >= slowConnect {
			g.ejectUnresponsive(s, g.now-o.Elapsed)
		}
	}
	switch o.Result {
	case OK:
		bad = 0
		s.lastProgress, s.consecutiveEjections = g.now, 0
		g.responses++
		g.recordLatency(r.class, s, o.Elapsed)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if g.warmUpFraction(s) >= 1 && s.acceptsRequests() && s.inSubset {
			g.warmWorkDone += g.learnedWork(r.class)
		}
	case NotSent, Cancelled:
		return
	case Overloaded:
		s.lastProgress = g.now
		g.overload.sampleOccupancy(1)
		s.ejectedUntil = max(s.ejectedUntil, g.now+controlInterval)
		return
	case TimedOut:
		g.overload.sampleOccupancy(1)
		s.latencyRatio += latencySmoothing * (o.Elapsed.Seconds()/math.Max(g.latencies[r.class].mean,
			1e-3) - s.latencyRatio)
		bad = 0.5
	case ErrorResponse:
		s.lastProgress, s.lastResponseFailed, s.loadReportedAt = g.now, true, g.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.suspectRestart(g.now)
		s.refusesConnections, s.loadReportedAt = true, g.now
		if g.settings.HealthChecks && g.settings.LoadReports != NoLoadReports && s.confirmingSince == 0 &&
			s.acceptsRequests() {
			s.confirmingSince, s.lastHealthCheck = g.now, g.now
			g.actions.HealthCheck(s.ID)
		}
	}
	s.errorRate += errorSmoothing * (bad - s.errorRate)
	if (s.errorRate > ejectionErrorRate || o.Result == ConnectFailed) && g.now >= s.ejectedUntil {
		g.eject(s)
		g.log("ejected server %s after result %d, strike %d", s.ID, o.Result, s.consecutiveEjections)
	}
}

func (g *Balancer) eject(s *endpoint) {
	s.ejectedUntil = g.now + min(baseEjection<<min(s.consecutiveEjections, 10), maxEjection)
	s.consecutiveEjections++
	s.errorRate = ejectionErrorRate / 2
}

// recordNoResponse takes in that something sent to the server at a time came to nothing. If all else sent
// since did as
// well, the machine has died, vanished or is cut off, long before the list says so. It gets no request until
// it is heard again: probes find that out, where an ejection's end would risk a request, or several at once,
// each time. It covers lost halls, single machines and cut links; it harms where servers answer nothing at
// all for as long as a probe waits and then go on: for a round of probes the others carry their load.
func (g *Balancer) recordNoResponse(s *endpoint, sent time.Duration) {
	if !g.settings.HealthChecks || g.settings.LoadReports == NoLoadReports || s.lastResponse >= sent ||
		s.unreachable {
		return
	}
	s.unreachable = true
	g.log("server %s is silent: out until it answers a probe", s.ID)
}

// unresponsive tells whether the server is known to answer nothing: it was silent to probes or, in a large
// fleet, no gateway has told of an answer since this one's attempts there have been out for several times
// the mean. One gateway's silence may be chance, but a server that lives answers some gateway many times a
// second.
func (g *Balancer) unresponsive(s *endpoint) bool {
	switch {
	case s.unreachable:
		return true
	case !g.ownsQuotas():
		return false
	case s.ejectedAsUnresponsive && g.now < s.ejectedUntil:
		return true
	case s.inFlight == 0:
		return false
	}
	aim := recentAttemptFraction * g.longestLatencyObjective().Seconds()
	wait := math.Min(math.Max(unresponsiveAfterMeans*g.meanLatency(), aim/4), aim)
	return (g.now - max(s.lastProgress, s.loadReportedAt)).Seconds() > wait
}

// ejectUnresponsive takes in that an attempt came to nothing at a server of which no gateway has told since
// it was
// sent. To try such a server costs a request; news ends that sooner than a try would.
func (g *Balancer) ejectUnresponsive(s *endpoint, sent time.Duration) {
	if g.ownsQuotas() && max(s.lastResponse, s.loadReportedAt) <= sent {
		s.ejectedAsUnresponsive, s.ejectedUntil = true, max(s.ejectedUntil, g.now+unresponsiveEjection)
	}
}

// ClientGone tells that a request is over without an answer of the gateway.
func (g *Balancer) ClientGone(now time.Duration, id string, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[id]
	if r == nil || r.answered {
		return
	}
	g.finishRequest(r)
	if !r.responseStarted {
		g.cancelAttempts(r)
	}
}

// HealthChecked brings the result of a probe.
func (g *Balancer) HealthChecked(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	g.now, g.actions = now, out
	s := g.trackedByID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		g.recordLoadReport(s, l)
		fallthrough
	case Overloaded, ErrorResponse:
		g.recordResponse(s)
		if s.confirmingSince > 0 {
			s.confirmUpSince(s.confirmingSince)
		}
	case ConnectFailed:
		s.suspectRestart(g.now)
		fallthrough
	case TimedOut:
		g.recordNoResponse(s, s.lastHealthCheck)
	}
	s.confirmingSince = 0
}

// TimerFired is the firing of a timer.
func (g *Balancer) TimerFired(now time.Duration, token uint64, out Actions) {
	g.now, g.actions = now, out
	r := g.requestsByNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerControlInterval:
		g.closeControlInterval()
		g.actions.SetTimer(timerControlInterval, controlInterval)
	case timerGossip:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		g.actions.SetTimer(timerGossip, g.gossipInterval*time.Duration(max(g.gossip(), 1)))
	case timerPollEndpoints:
		g.actions.WatchEndpoints(true)
	case timerDeadline:
		if r != nil && !r.answered && !r.responseStarted {
			g.giveUp(r)
		}
	case timerQuotaRequest:
		switch {
		case r == nil || r.answered || r.decidedWithoutOwner || len(r.attempts) > 0:
		case r.finalQuotaRequest:
			g.decideWithoutOwner(r)
		default:
			// a lost message costs less than a request by chance
			r.finalQuotaRequest, r.quotaRequestRepeated = true, true
			g.requestQuota(r)
		}
	case timerHedge:
		if r != nil && !r.answered && !r.responseStarted && r.inFlight == 1 &&
			g.overload.occupancy < overloadedOccupancy {
			// A second copy counts as out: it must not push the customer's next try beyond its cap.
			if g.settings.Plans[r.quota.plan].MaxConcurrent == 0 ||
				g.concurrencyHeadroom(r.quota) > r.quota.entryNodes {
				g.retry(r)
			}
		}
	}
}

// closeControlInterval is the work of each probe.
func (g *Balancer) closeControlInterval() {
	f := g.overload.admittedFraction
	// attempts at a few silent servers must not read as overload
	g.overload.assessInterval(g.responses, g.recentAttempts(recentAttemptFraction))
	if f >= 1 && g.overload.admittedFraction < 1 {
		g.log("overload: sending on %.2f of what quotas admit, occupancy %.2f", g.overload.admittedFraction,
			g.overload.occupancy)
	}
	g.dropIdleQuotas()
	if g.ownsQuotas() {
		g.dropUnused()
	}
	var weight, load, told float64
	keep := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, s := range g.tracked {
		g.accrueSlowStartTokens(s) // from the moment that it is known, not from its first turn
		if warm := s.slowStartTokens < 0; warm && s.acceptsRequests() && s.inSubset {
			weight += g.weight(s)
		}
		if s.acceptsRequests() && s.reportedLoad >= 0 && !s.refusesConnections {
			load, told = load+s.otherNodesLoad, told+1
		}
		if s.inFlight == 0 {
			s.latencyRatio = 1 + (s.latencyRatio-1)*keep
			s.errorRate *= keep
		}
	}
	g.meanLoad = load / math.Max(told, 1)
	if weight > 0 {
		g.warmWorkRate += meanSmoothing * (g.warmWorkDone/weight/controlInterval.Seconds() - g.warmWorkRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateSmoothing, 1/(1+float64(g.now-g.started)/float64(controlInterval)))
	g.responseRate += share * (g.responses/controlInterval.Seconds() - g.responseRate)
	g.peerMessageRate += rateSmoothing * (g.peerMessages/controlInterval.Seconds() - g.peerMessageRate)
	g.warmWorkDone, g.responses, g.peerMessages = 0, 0, 0
	g.sendHealthCheck()
}

// sendHealthCheck probes the server least lately probed. A gateway probes at most half as often as it sends.
func (g *Balancer) sendHealthCheck() {
	g.healthCheckTokens = math.Min(g.healthCheckTokens+g.overload.pooledMeans[poolSent]/2, 1)
	if !g.settings.HealthChecks || g.settings.LoadReports == NoLoadReports || len(g.tracked) == 0 ||
		g.healthCheckTokens < 1 {
		return
	}
	g.healthCheckTokens = 0
	var next *endpoint
	for _, s := range g.tracked {
		if s.acceptsRequests() && (next == nil || s.lastHealthCheck < next.lastHealthCheck) {
			next = s
		}
	}
	if next != nil {
		next.lastHealthCheck = g.now
		g.actions.HealthCheck(next.ID)
	}
}
