package balancer

import (
	"math"
	"time"
)

const (
	// congestionPeriod is the time for which a tenant counts as congested after a rejection.
	congestionPeriod = time.Second
	// concurrencyQuotaIdleTime is the idle time after which the bucket of a plan without a rate is dropped.
	concurrencyQuotaIdleTime = 5 * time.Second
	// isolatedAfter is the time without messages from any peer after which an owner assumes that its
	// requesters admit requests without grants.
	isolatedAfter = time.Second / 2
	// maxMissedGossipIntervals is the number of gossip intervals after which a peer's report of its attempts
	// in flight expires.
	maxMissedGossipIntervals = 10
	// finalIdleReports is the number of consecutive reports without attempts in flight after which a bucket
	// is no longer reported.
	finalIdleReports = 3
	// maxRefillTime is the maximum result of refillTime. It also limits the retry delay of a client whose
	// request lacks units.
	maxRefillTime = time.Minute
)

// quotaBucket is this node's state of one tenant's quota: a token bucket for the rate, the attempts in
// flight, and this node's part of the hard limit. A quota is either split between the entry nodes, which
// report their use to each other by gossip, or owned by a few of them, which grant the quota requests of the
// others.
type quotaBucket struct {
	tenant      uint64
	plan        *quotaPlan
	entryNodes  entryNodes
	owned       bool
	quotaShares int     // number of owners, or number of entry nodes of a split quota
	ownerCount  float64 // number of owners; 1 for a split quota

	refilledAt time.Duration
	tokens     float64 // available units; below 0 if the nodes have acquired too many
	hardLimit  nodeHardLimit
	inFlight   int // attempts of this node
	// congestedUntil is set by a rejection. Until then a request needs tokens for one request at each node
	// that shares the quota.
	congestedUntil time.Duration
	use            unreportedUse
	peerInFlight   []peerInFlight // indexed by node; nil if no peer has reported attempts

	requester requesterState
	owner     ownerState
}

// unreportedUse is this node's use of a split quota since the last gossip round.
type unreportedUse struct {
	acquired    float64 // units acquired less units returned
	units       float64 // units to report, including the rounding remainder of the last report
	requests    int     // requests started
	idleReports int     // consecutive reports without attempts in flight
	queued      bool    // whether the bucket is queued for the next round
}

// peerInFlight is the last report of a peer's attempts in flight.
type peerInFlight struct {
	attempts   int
	reportedAt time.Duration
}

// initialTokens returns the tokens of a bucket that is created the given number of seconds after the start
// of the node. A split bucket has this node's share of the burst and the refill since the start, so that a
// bucket which was dropped while full is full again. The bucket of an owner has the owner's share of the
// burst. It is empty if the tenant is known to be over its quota, because a restarted owner would otherwise
// grant a second burst.
func (q *quotaBucket) initialTokens(secondsSinceStart, grantedFraction float64) float64 {
	switch {
	case !q.owned:
		return math.Min(q.plan.Burst, q.plan.Burst/float64(q.quotaShares)+q.plan.Rate*secondsSinceStart)
	case grantedFraction < overQuotaThreshold:
		return 0
	}
	return q.plan.Burst / q.ownerCount
}

// refill adds the units that have accrued since the last call. lastMessage is the time at which the last
// message from any peer was received.
func (q *quotaBucket) refill(now, lastMessage time.Duration) {
	plan := q.plan
	seconds := (now - q.refilledAt).Seconds()
	q.refilledAt = now
	rate := plan.Rate / q.ownerCount
	if q.owner.hasRequesters() && now-lastMessage > isolatedAfter {
		// While no messages arrive, the requesters are assumed to acquire units at the last grant rate.
		floor := -math.Max(q.tokens, 0) / math.Max(seconds, 1e-9)
		rate = math.Max(rate-q.owner.holdGrantRate(now), floor)
	}
	q.tokens = math.Min(q.tokens+rate*seconds, plan.Burst/q.ownerCount)
	q.hardLimit.refill(plan, seconds)
}

// check reports whether the units and one more attempt are within the quota. If they are not, it returns the
// time after which the client may retry.
func (q *quotaBucket) check(now time.Duration, units float64, gossipInterval time.Duration) (
	granted bool, retryAfter time.Duration,
) {
	if q.owned { // Units acquired from an owned quota are deducted at once, so none are unreported.
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

// hasConcurrency reports whether this node may start one more attempt before the next gossip round. It
// applies the rules of [quotaBucket.hasTokens] to attempts.
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

// hasTokens reports whether this node may acquire units before the next gossip round. Between two rounds a
// node may use an equal share of the tokens.
//
// The first request after a round needs only its own units, because the shares of a small bucket can be too
// small for any request. If the tenant is congested, a request is assumed to wait at each of its nodes. The
// bucket must then have tokens for all of them, limited to half a burst.
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

// independentNodes returns the number of nodes that may acquire the same tokens before they learn of each
// other's use.
func (q *quotaBucket) independentNodes() float64 {
	if q.owned {
		return 1
	}
	return float64(q.quotaShares)
}

// concurrencyHeadroom returns the number of further attempts that the tenant may have in flight. The report
// of a peer expires after [maxMissedGossipIntervals].
func (q *quotaBucket) concurrencyHeadroom(now, gossipInterval time.Duration) int {
	headroom := q.plan.MaxConcurrent - q.inFlight
	for _, peer := range q.peerInFlight {
		if now-peer.reportedAt < maxMissedGossipIntervals*gossipInterval {
			headroom -= peer.attempts
		}
	}
	return headroom - q.owner.activeLeases(now)
}

// acquire deducts units from the tokens. Negative units are returned to them.
func (q *quotaBucket) acquire(units float64) {
	if q.plan.Rate > 0 {
		q.tokens -= units
		q.use.acquired += units
		q.use.units += units
	}
}

// adjust adds a requester's corrections to an owner's tokens. It limits the tokens to the owner's share of
// the burst and their deficit to a whole burst.
func (q *quotaBucket) adjust(units float64) {
	q.tokens = math.Max(math.Min(q.tokens+units, q.plan.Burst/q.ownerCount), -q.plan.Burst)
}

// restore adds unused granted units to an owner's tokens, up to the owner's share of the burst.
func (q *quotaBucket) restore(units float64) {
	q.tokens = math.Min(q.tokens+units, q.plan.Burst/q.ownerCount)
}

// spendableRate returns the units per second that can be spent over a period: the current tokens and the
// refill.
func (q *quotaBucket) spendableRate(period time.Duration) float64 {
	return math.Max(q.tokens, 0)/period.Seconds() + q.plan.Rate/q.ownerCount
}

// requestersPerOwner returns the number of entry nodes that send requests to each owner, rounded down.
func (q *quotaBucket) requestersPerOwner() float64 {
	return float64(q.entryNodes.count / q.quotaShares)
}

// congested reports whether the tenant was rejected within the last [congestionPeriod].
func (q *quotaBucket) congested(now time.Duration) bool { return now < q.congestedUntil }

// requestStarted, attemptStarted and attemptFinished count this node's use of the concurrency limit.
func (q *quotaBucket) requestStarted() { q.use.requests++ }

func (q *quotaBucket) attemptStarted() { q.inFlight++ }

func (q *quotaBucket) attemptFinished() { q.inFlight-- }

// queueForGossip marks the bucket as queued for the next round. It returns false if it was queued already.
func (q *quotaBucket) queueForGossip() bool {
	queued := q.use.queued
	q.use.queued = true
	return !queued
}

// gossipEntry returns the report of this node's use.
func (q *quotaBucket) gossipEntry() gossipEntry {
	return gossipEntry{q.tenant, q.plan.index, q.entryNodes, q.use.units, q.inFlight}
}

// closeGossipRound ends a round that reported the use in whole units. It reports whether the bucket stays
// queued for the next round. A bucket with a concurrency limit stays queued until [finalIdleReports]
// consecutive reports contained no attempts in flight.
func (q *quotaBucket) closeGossipRound() bool {
	q.use.units -= math.Round(q.use.units)
	q.use.acquired, q.use.requests = 0, 0
	if q.use.idleReports++; q.inFlight > 0 {
		q.use.idleReports = 0
	}
	q.use.queued = q.plan.MaxConcurrent > 0 && q.use.idleReports < finalIdleReports
	return q.use.queued
}

// applyPeerUse applies a peer's report of its use. The deficit of the tokens is limited to a whole burst.
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

// idle reports whether the bucket may be dropped. It must have no attempts in flight, no leases and no
// queued report. It must also have been unused for the time in which its tokens refill to the burst and then
// a second time from empty, and in which its hard limit refills from empty. Without a rate and a hard limit
// that time is [concurrencyQuotaIdleTime].
func (q *quotaBucket) idle(now time.Duration) bool {
	plan := q.plan
	period := concurrencyQuotaIdleTime
	if plan.Rate > 0 {
		period = refillTime(2*plan.Burst-q.tokens, plan.Rate)
	}
	if plan.HardLimitRate > 0 {
		period = max(period, refillTime(plan.HardLimitBurst, plan.HardLimitRate))
	}
	return q.inFlight == 0 && !q.use.queued && !q.owner.hasLeases() && now-q.refilledAt >= period
}

// refillTime returns the time in which units accrue at a rate per second, limited to [maxRefillTime].
func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), maxRefillTime.Seconds()) * float64(time.Second))
}

// nodeHardLimit is the token bucket of this node's part of a tenant's hard limit, in units.
type nodeHardLimit struct {
	tokens float64
	part   hardLimitPart
}

// hardLimitPart contains the fractions of the burst and the rate of a hard limit that a node may use.
type hardLimitPart struct {
	burst, rate float64
}

// newNodeHardLimit returns a bucket that was empty at the start of the node and was refilled since. It
// starts empty because an earlier process of the node may have used it up.
func newNodeHardLimit(plan *quotaPlan, secondsSinceStart float64, part hardLimitPart) nodeHardLimit {
	tokens := math.Min(plan.HardLimitBurst*part.burst, plan.HardLimitRate*part.rate*secondsSinceStart)
	return nodeHardLimit{tokens, part}
}

func (h *nodeHardLimit) refill(plan *quotaPlan, seconds float64) {
	h.tokens = math.Min(h.tokens+plan.HardLimitRate*h.part.rate*seconds, plan.HardLimitBurst*h.part.burst)
}

// covers reports whether units are within the limit. A plan without a hard limit covers any units.
func (h *nodeHardLimit) covers(plan *quotaPlan, units float64) bool {
	return plan.HardLimitRate <= 0 || h.tokens >= units
}

// timeUntil returns the time until the limit covers units.
func (h *nodeHardLimit) timeUntil(plan *quotaPlan, units float64) time.Duration {
	return refillTime(units-h.tokens, plan.HardLimitRate*h.part.rate)
}

func (h *nodeHardLimit) acquire(plan *quotaPlan, units float64) {
	if plan.HardLimitRate > 0 {
		h.tokens -= units
	}
}
