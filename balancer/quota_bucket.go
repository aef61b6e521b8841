package balancer

import (
	"math"
	"time"
)

const (
	// congestionPeriod is how long a tenant counts as congested after a rejection.
	congestionPeriod = time.Second
	// idleConcurrencyQuota is the idle time after which a bucket without a rate is dropped.
	idleConcurrencyQuota = 5 * time.Second
	// isolatedAfter is the silence of all peers after which an owner counts what it would have granted.
	isolatedAfter = time.Second / 2
	// maxMissedGossipIntervals is the rounds of gossip after which a peer's attempts in flight are forgotten.
	maxMissedGossipIntervals = 10
	// finalIdleReports is the reports of no attempts in flight after which a bucket is left out of gossip.
	finalIdleReports = 3
	// maxRefillTime bounds the time after which a client may retry for want of units.
	maxRefillTime = time.Minute
)

// quotaBucket is one tenant's quota as this node sees it: a token bucket for the rate, the attempts in
// flight, and this node's part of the hard limit. A quota is either split between the entry nodes, which
// report their use to each other, or owned by a few of them, which grant the others' requests.
type quotaBucket struct {
	tenant      uint64
	plan        *quotaPlan
	entryNodes  entryNodes
	owned       bool
	quotaShares int     // nodes between which the quota is divided: its owners or all its entry nodes
	ownerCount  float64 // buckets that the quota is kept in: that of its owners, or 1

	refilledAt time.Duration
	tokens     float64 // units; below 0 when the nodes have acquired more than there was
	hardLimit  nodeHardLimit
	inFlight   int // attempts of this node
	// congestedUntil is set by a rejection. Until then a request needs units for all sharers.
	congestedUntil time.Duration
	use            unreportedUse
	peerInFlight   []peerInFlight // by node; nil: none was reported

	requester requesterState
	owner     ownerState
}

// unreportedUse is what this node did with a split quota since the last round of gossip.
type unreportedUse struct {
	acquired    float64 // units
	units       float64 // to report: those acquired less those returned, and what rounding left
	requests    int     // started
	idleReports int     // reports of no attempts in flight, in a row
	queued      bool    // the next round reports it
}

// peerInFlight is a peer's report of its attempts in flight.
type peerInFlight struct {
	attempts   int
	reportedAt time.Duration
}

// initialTokens are the tokens of a new bucket, so many seconds after the start of the node. A split one was
// refilled since then: one that was dropped for being full comes back full. An owner's starts with its part
// of the burst, or empty for a tenant known to be over its quota: an owner that has restarted would grant a
// second burst.
func (q *quotaBucket) initialTokens(sinceStart, grantedFraction float64) float64 {
	switch {
	case !q.owned:
		return math.Min(q.plan.Burst, q.plan.Burst/float64(q.quotaShares)+q.plan.Rate*sinceStart)
	case grantedFraction < overQuotaThreshold:
		return 0
	}
	return q.plan.Burst / q.ownerCount
}

// refill adds the units since the last call. lastMessage is when the last message of any peer came.
func (q *quotaBucket) refill(now, lastMessage time.Duration) {
	plan := q.plan
	seconds := (now - q.refilledAt).Seconds()
	q.refilledAt = now
	rate := plan.Rate / q.ownerCount
	if q.owner.hasRequesters() && now-lastMessage > isolatedAfter {
		// The requesters are taken to acquire as before while their messages do not come.
		floor := -math.Max(q.tokens, 0) / math.Max(seconds, 1e-9)
		rate = math.Max(rate-q.owner.holdGrantRate(now), floor)
	}
	q.tokens = math.Min(q.tokens+rate*seconds, plan.Burst/q.ownerCount)
	q.hardLimit.refill(plan, seconds)
}

// check reports whether units and one more attempt are within the quota and, if not, when to come back.
func (q *quotaBucket) check(now time.Duration, units float64, gossipInterval time.Duration) (
	granted bool, retryAfter time.Duration,
) {
	if q.owned { // Nothing is acquired here without the owner's bucket showing it at once.
		q.use.acquired, q.use.requests, q.congestedUntil = 0, 0, 0
	}
	retryAfter = min(gossipInterval, quotaRequestTimeout)
	if q.plan.MaxConcurrent > 0 && !q.hasConcurrency(now, gossipInterval) {
		q.congestedUntil = now + congestionPeriod
		return false, retryAfter
	}
	if q.plan.Rate > 0 && !q.hasTokens(now, units) {
		q.congestedUntil = now + congestionPeriod
		return false, max(refillTime(units-q.tokens, q.plan.Rate/q.ownerCount), retryAfter)
	}
	return true, 0
}

// hasConcurrency reports whether this node may start one more attempt before the next round of gossip.
func (q *quotaBucket) hasConcurrency(now, gossipInterval time.Duration) bool {
	headroom := q.concurrencyHeadroom(now, gossipInterval)
	required := 1
	if q.congested(now) {
		required = max(min(q.entryNodes.count, q.plan.MaxConcurrent/2), 1)
	}
	if headroom < required {
		return false
	}
	part := float64(headroom+q.use.requests) / q.independentNodes()
	return q.use.requests == 0 || float64(q.use.requests+1) <= part
}

// hasTokens reports whether this node may acquire units before the next round of gossip.
//
// Exception: the first request after a round needs only its own units, or the parts of a small bucket would
// be too small for any. A congested tenant has that request waiting at each of its nodes: there the bucket
// must have the units of them all, as far as it can hold them.
func (q *quotaBucket) hasTokens(now time.Duration, units float64) bool {
	nodes := q.independentNodes()
	required := units
	if q.congested(now) {
		required = math.Max(units, math.Min(units*nodes, q.plan.Burst/2))
	}
	if q.tokens < required {
		return false
	}
	return q.use.acquired <= 0 || q.use.acquired+units <= (q.tokens+q.use.acquired)/nodes
}

// independentNodes is the number of nodes that may acquire from these tokens at the same time.
func (q *quotaBucket) independentNodes() float64 {
	if q.owned {
		return 1
	}
	return float64(q.quotaShares)
}

// concurrencyHeadroom is how many more attempts the tenant may have in flight, as far as is known. A peer
// that has not reported for long counts as having none.
func (q *quotaBucket) concurrencyHeadroom(now, gossipInterval time.Duration) int {
	headroom := q.plan.MaxConcurrent - q.inFlight
	for _, peer := range q.peerInFlight {
		if now-peer.reportedAt < maxMissedGossipIntervals*gossipInterval {
			headroom -= peer.attempts
		}
	}
	return headroom - q.owner.activeLeases(now)
}

// acquire takes units within the quota. Negative units are returned.
func (q *quotaBucket) acquire(units float64) {
	if q.plan.Rate > 0 {
		q.tokens -= units
		q.use.acquired += units
		q.use.units += units
	}
}

// adjust adds units to an owner's tokens, which stay between a whole burst owed and the owner's part of one.
func (q *quotaBucket) adjust(units float64) {
	q.tokens = math.Max(math.Min(q.tokens+units, q.plan.Burst/q.ownerCount), -q.plan.Burst)
}

// restore adds units to an owner's tokens that a requester had been granted and did not use.
func (q *quotaBucket) restore(units float64) {
	q.tokens = math.Min(q.tokens+units, q.plan.Burst/q.ownerCount)
}

// spendableRate is the units per second that may be spent for a period: what is there and what comes.
func (q *quotaBucket) spendableRate(period time.Duration) float64 {
	return math.Max(q.tokens, 0)/period.Seconds() + q.plan.Rate/q.ownerCount
}

// requestersPerOwner is the whole number of entry nodes that ask each owner.
func (q *quotaBucket) requestersPerOwner() float64 {
	return float64(q.entryNodes.count / q.quotaShares)
}

// congested reports whether the tenant was rejected of late.
func (q *quotaBucket) congested(now time.Duration) bool { return now < q.congestedUntil }

// requestStarted, attemptStarted and attemptFinished count this node's use of the concurrency.
func (q *quotaBucket) requestStarted() { q.use.requests++ }

func (q *quotaBucket) attemptStarted() { q.inFlight++ }

func (q *quotaBucket) attemptFinished() { q.inFlight-- }

// queueForGossip has the next round report the bucket. It reports false for one that is queued already.
func (q *quotaBucket) queueForGossip() bool {
	queued := q.use.queued
	q.use.queued = true
	return !queued
}

// gossipEntry is the report of this node's use.
func (q *quotaBucket) gossipEntry() gossipEntry {
	return gossipEntry{q.tenant, q.plan.index, q.entryNodes, q.use.units, q.inFlight}
}

// closeGossipRound ends a round in which the use was reported, in whole units. It reports whether the next
// round must report it too: attempts in flight are, until the last reports have said that there are none.
func (q *quotaBucket) closeGossipRound() bool {
	q.use.units -= math.Round(q.use.units)
	q.use.acquired, q.use.requests = 0, 0
	if q.use.idleReports++; q.inFlight > 0 {
		q.use.idleReports = 0
	}
	q.use.queued = q.plan.MaxConcurrent > 0 && q.use.idleReports < finalIdleReports
	return q.use.queued
}

// applyPeerUse applies a peer's report of its use.
func (q *quotaBucket) applyPeerUse(now time.Duration, peer, nodeCount int, entry *gossipEntry) {
	if q.plan.Rate > 0 {
		q.tokens = math.Max(q.tokens-entry.units, -q.plan.Burst)
	}
	if q.plan.MaxConcurrent > 0 {
		if q.peerInFlight == nil {
			q.peerInFlight = make([]peerInFlight, nodeCount)
		}
		q.peerInFlight[peer] = peerInFlight{entry.inFlight, now}
	}
}

// idle reports whether the bucket may be dropped: it was full for a burst's time, with nothing in flight and
// nothing to report.
func (q *quotaBucket) idle(now time.Duration) bool {
	plan := q.plan
	period := idleConcurrencyQuota
	if plan.Rate > 0 {
		period = refillTime(2*plan.Burst-q.tokens, plan.Rate)
	}
	if plan.HardLimitRate > 0 {
		period = max(period, refillTime(plan.HardLimitBurst, plan.HardLimitRate))
	}
	return q.inFlight == 0 && !q.use.queued && !q.owner.hasLeases() && now-q.refilledAt >= period
}

// refillTime is the time in which units come at a rate per second.
func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), maxRefillTime.Seconds()) * float64(time.Second))
}

// nodeHardLimit is this node's part of a tenant's hard limit, in units.
type nodeHardLimit struct {
	tokens float64
	part   hardLimitPart
}

// hardLimitPart is a node's part of the burst and of the rate of a hard limit, as fractions.
type hardLimitPart struct {
	burst, rate float64
}

// newNodeHardLimit returns a bucket that was empty at the start of the node, since a process before it may
// have used it up.
func newNodeHardLimit(plan *quotaPlan, sinceStart float64, part hardLimitPart) nodeHardLimit {
	tokens := math.Min(plan.HardLimitBurst*part.burst, plan.HardLimitRate*part.rate*sinceStart)
	return nodeHardLimit{tokens, part}
}

func (h *nodeHardLimit) refill(plan *quotaPlan, seconds float64) {
	h.tokens = math.Min(h.tokens+plan.HardLimitRate*h.part.rate*seconds, plan.HardLimitBurst*h.part.burst)
}

// covers reports whether units are within the limit.
func (h *nodeHardLimit) covers(plan *quotaPlan, units float64) bool {
	return plan.HardLimitRate <= 0 || h.tokens >= units
}

// timeUntil is how long it takes until the limit covers units.
func (h *nodeHardLimit) timeUntil(plan *quotaPlan, units float64) time.Duration {
	return refillTime(units-h.tokens, plan.HardLimitRate*h.part.rate)
}

func (h *nodeHardLimit) acquire(plan *quotaPlan, units float64) {
	if plan.HardLimitRate > 0 {
		h.tokens -= units
	}
}
