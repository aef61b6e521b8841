package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDecay is the time constant of the averages of a tenant's demand and grants.
	demandDecay = 3 * time.Second
	// isolatedSpendPeriod is the time over which requesters without grants may spend the tokens.
	isolatedSpendPeriod = 5 * time.Second
	// maxAnsweredRequests is the number of answers that an owner keeps for requests that come again.
	maxAnsweredRequests = 8
)

// quotaOwner answers the quota requests of other nodes out of the buckets that this node owns.
type quotaOwner struct {
	capacity      float64 // see [ownerCapacity]
	leaseDuration time.Duration
}

func newQuotaOwner(settings *Settings, leaseDuration time.Duration) quotaOwner {
	return quotaOwner{ownerCapacity(settings), leaseDuration}
}

// ownerState is the owner's side of one owned quota.
type ownerState struct {
	demandRate      float64 // units wanted per second, averaged
	grantRate       float64 // units granted per second, averaged
	ratesAt         time.Duration
	grantedFraction float64                // of the demand that can be granted
	requesters      map[int]reconciliation // the last of each, by node
	answered        []answeredRequest      // oldest first
	leases          []concurrencyLease     // of attempts in flight that were granted
}

// answeredRequest is a quota request with its answer.
type answeredRequest struct {
	requester  int
	number     uint64
	granted    bool
	retryAfter time.Duration
}

// concurrencyLease is one attempt in flight that a requester was granted.
type concurrencyLease struct {
	requester int
	number    uint64
	expiresAt time.Duration
}

// answer answers a quota request for which the owner has no answer yet. underPressure
// says that this node's inbox is filling up.
func (o *quotaOwner) answer(now time.Duration, bucket *quotaBucket, requester int, request *quotaRequest,
	gossipInterval time.Duration, underPressure bool,
) quotaGrant {
	state := &bucket.owner
	state.recordDemand(now, request.units+request.locallyRejectedUnits)
	granted, retryAfter := bucket.check(now, request.units, gossipInterval)
	if granted = granted && bucket.hardLimit.covers(bucket.plan, request.units); granted {
		o.grant(now, bucket, requester, request)
	} else if underPressure {
		// Requesters without a grant send more than the inbox takes: each pauses for a turn of all.
		retryAfter = max(retryAfter, refillTime(bucket.requestersPerOwner(), o.capacity))
	}
	state.estimateGrantedFraction(bucket.spendableRate(isolatedSpendPeriod))
	state.rememberAnswer(answeredRequest{requester, request.number, granted, retryAfter})
	return quotaGrant{request.number, granted, retryAfter, state.grantedFraction}
}

// grant takes what a requester is granted from the bucket.
func (o *quotaOwner) grant(now time.Duration, bucket *quotaBucket, requester int, request *quotaRequest) {
	bucket.hardLimit.acquire(bucket.plan, request.units)
	bucket.acquire(request.units)
	bucket.owner.recordGrant(now, request.units)
	if bucket.plan.MaxConcurrent > 0 {
		lease := concurrencyLease{requester, request.number, now + o.leaseDuration}
		bucket.owner.leases = append(bucket.owner.leases, lease)
	}
}

// estimateGrantedFraction sets the fraction of the demand that requesters may admit without
// grants, given the units per second that they may spend.
func (o *ownerState) estimateGrantedFraction(spendableRate float64) {
	o.grantedFraction = math.Min(1, spendableRate/math.Max(o.demandRate, 1e-9))
}

// previousAnswer repeats the answer to a request that was answered before.
func (o *ownerState) previousAnswer(requester int, number uint64) (quotaGrant, bool) {
	for i := range o.answered {
		if known := &o.answered[i]; known.requester == requester && known.number == number {
			return quotaGrant{number, known.granted, known.retryAfter, o.grantedFraction}, true
		}
	}
	return quotaGrant{}, false
}

func (o *ownerState) rememberAnswer(answered answeredRequest) {
	if len(o.answered) == maxAnsweredRequests {
		o.answered = append(o.answered[:0], o.answered[1:]...)
	}
	o.answered = append(o.answered, answered)
}

// reconcile records a requester's sum of corrections. It returns the units by which it has changed.
func (o *ownerState) reconcile(requester int, sum reconciliation) (units float64) {
	previous, known := o.requesters[requester]
	if o.requesters == nil {
		o.requesters = map[int]reconciliation{}
	}
	o.requesters[requester] = sum
	switch {
	case !known:
		return 0 // The first sum is a baseline: earlier corrections never reached this owner's bucket.
	case previous.incarnation != sum.incarnation:
		return sum.units
	}
	return sum.units - previous.units
}

func (o *ownerState) hasRequesters() bool { return len(o.requesters) > 0 }

// activeLeases drops the leases that have expired and returns the number of the others.
func (o *ownerState) activeLeases(now time.Duration) int {
	o.leases = slices.DeleteFunc(o.leases, func(lease concurrencyLease) bool {
		return now >= lease.expiresAt
	})
	return len(o.leases)
}

func (o *ownerState) hasLeases() bool { return len(o.leases) > 0 }

func (o *ownerState) releaseLease(requester int, number uint64) {
	o.leases = slices.DeleteFunc(o.leases, func(lease concurrencyLease) bool {
		return lease.requester == requester && lease.number == number
	})
}

// recordDemand counts units that were wanted.
func (o *ownerState) recordDemand(now time.Duration, units float64) {
	o.decayRates(now)
	o.demandRate += units / demandDecay.Seconds()
}

// recordGrant counts units that were granted.
func (o *ownerState) recordGrant(now time.Duration, units float64) {
	o.decayRates(now)
	o.grantRate += units / demandDecay.Seconds()
}

func (o *ownerState) decayRates(now time.Duration) {
	retained := math.Exp(-(now - o.ratesAt).Seconds() / demandDecay.Seconds())
	o.demandRate, o.grantRate, o.ratesAt = o.demandRate*retained, o.grantRate*retained, now
}

// holdGrantRate stops the decay of both averages up to now and returns the units granted per second: while no
// requester is heard, the last known rates stand.
func (o *ownerState) holdGrantRate(now time.Duration) float64 {
	o.ratesAt = now
	return o.grantRate
}

// ownerFor is the owner that a node asks for units.
func (q *quotaBucket) ownerFor(node, nodeCount int) int {
	return q.ownerOfPart(node%q.quotaShares, nodeCount)
}

// ownerOfPart is the owner of one part of the quota. All nodes have to compute the same one: a change of this
// hash moves every quota in a fleet of mixed versions. One node may own several parts.
func (q *quotaBucket) ownerOfPart(part, nodeCount int) int {
	hash := (q.tenant + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	return q.entryNodes.at(int((hash^hash>>32)%uint64(q.entryNodes.count)), nodeCount)
}

// partsOwnedBy is the number of the quota's parts that a node owns.
func (q *quotaBucket) partsOwnedBy(node, nodeCount int) (parts int) {
	for part := range q.quotaShares {
		parts += int(oneIf(q.ownerOfPart(part, nodeCount) == node))
	}
	return parts
}

func (b *Balancer) ownerFor(bucket *quotaBucket) int {
	return bucket.ownerFor(b.settings.NodeIndex, b.settings.NodeCount)
}

// answerQuotaRequest answers a requester out of the bucket that this node owns. A request that comes again is
// answered as before, since the grant was lost.
func (b *Balancer) answerQuotaRequest(from int, request *quotaRequest) {
	nodes := request.entryNodes
	if !nodes.contains(from, b.settings.NodeCount) ||
		!nodes.contains(b.settings.NodeIndex, b.settings.NodeCount) {
		return
	}
	plan := b.quotas.plan(request.plan)
	bucket := b.quotaFor(request.tenant, plan, nodes)
	if bucket.plan != plan || !bucket.owned {
		return
	}
	bucket.adjust(bucket.owner.reconcile(from, request.reconciliation))
	grant, known := bucket.owner.previousAnswer(from, request.number)
	if !known {
		grant = b.quotaOwner.answer(b.now, bucket, from, request, b.gossip.interval, b.inbox.underPressure())
		b.overQuota.record(b.now, bucket.tenant, grant.grantedFraction)
	}
	b.actions.SendPeer(from, encodeQuotaGrant(&grant, b.piggybackFor(from)))
}

// receiveReconciliation applies a requester's corrections that come without a quota request.
func (b *Balancer) receiveReconciliation(from int, tenant uint64, sum reconciliation) {
	bucket := b.quotas.find(tenant)
	if bucket != nil && bucket.owned && bucket.entryNodes.contains(from, b.settings.NodeCount) {
		b.refill(bucket)
		bucket.adjust(bucket.owner.reconcile(from, sum))
	}
}

// receiveQuotaRelease takes back what a requester was granted.
func (b *Balancer) receiveQuotaRelease(from int, release quotaRelease) {
	if bucket := b.quotas.find(release.tenant); bucket != nil && bucket.owned {
		b.refill(bucket)
		bucket.restore(release.units)
		bucket.owner.releaseLease(from, release.number)
	}
}

func (b *Balancer) refill(bucket *quotaBucket) { bucket.refill(b.now, b.inbox.lastMessage) }
