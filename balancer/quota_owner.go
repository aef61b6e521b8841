package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDecay is the time constant of the averages of a tenant's demand and grants.
	demandDecay = 3 * time.Second
	// isolatedSpendPeriod is the time over which requesters without grants may spend an owner's current
	// tokens.
	isolatedSpendPeriod = 5 * time.Second
	// maxAnsweredRequests is the number of answers that an owner stores per quota, so that it can repeat
	// them.
	maxAnsweredRequests = 8
)

// quotaOwner answers quota requests of other nodes from the buckets that this node owns.
type quotaOwner struct {
	capacity      float64       // quota requests per second for one tenant, see [ownerCapacity]
	leaseDuration time.Duration // time after which a lease expires unless it is released
}

func newQuotaOwner(settings *Settings, leaseDuration time.Duration) quotaOwner {
	return quotaOwner{ownerCapacity(settings), leaseDuration}
}

// ownerState is the owner's state of one owned quota.
type ownerState struct {
	demandRate      float64                // smoothed demand, in units per second
	grantRate       float64                // smoothed rate of granted units, in units per second
	ratesAt         time.Duration          // time to which both rates have decayed
	grantedFraction float64                // fraction of the demand that can be granted
	reconciliations map[int]reconciliation // last reconciliation of each requester, by node
	answered        []answeredRequest      // last answers, the oldest first
	leases          []concurrencyLease     // leases of granted requests
}

// answeredRequest is the answer to a quota request.
type answeredRequest struct {
	requester  int
	number     uint64
	granted    bool
	retryAfter time.Duration
}

// concurrencyLease allows a requester one attempt in flight until it is released or expires.
type concurrencyLease struct {
	requester int
	number    uint64
	expiresAt time.Duration
}

// answer decides a quota request that was not answered before. underPressure is set if this node's inbox is
// under pressure.
func (o *quotaOwner) answer(now time.Duration, bucket *quotaBucket, requester int, request *quotaRequest,
	gossipInterval time.Duration, underPressure bool,
) quotaGrant {
	state := &bucket.owner
	state.recordDemand(now, request.units+request.locallyRejectedUnits)
	granted, retryAfter := bucket.check(now, request.units, gossipInterval)
	if granted = granted && bucket.hardLimit.covers(bucket.plan, request.units); granted {
		o.grant(now, bucket, requester, request)
	} else if underPressure {
		// The rejected requesters send more than the inbox can receive. Each of them pauses for the time in
		// which the owner can receive one request from every requester.
		retryAfter = max(retryAfter, refillTime(bucket.requestersPerOwner(), o.capacity))
	}
	state.estimateGrantedFraction(bucket.spendableRate(isolatedSpendPeriod))
	state.recordAnswer(answeredRequest{requester, request.number, granted, retryAfter})
	return quotaGrant{request.number, granted, retryAfter, state.grantedFraction}
}

// grant deducts the units of a request from the bucket and, if the plan limits concurrency, adds a lease.
func (o *quotaOwner) grant(now time.Duration, bucket *quotaBucket, requester int, request *quotaRequest) {
	bucket.hardLimit.acquire(bucket.plan, request.units)
	bucket.acquire(request.units)
	bucket.owner.recordGrant(now, request.units)
	if bucket.plan.MaxConcurrent > 0 {
		lease := concurrencyLease{requester, request.number, now + o.leaseDuration}
		bucket.owner.leases = append(bucket.owner.leases, lease)
	}
}

// estimateGrantedFraction sets the fraction of the demand that requesters may admit without grants, given
// the units per second that they may spend.
func (o *ownerState) estimateGrantedFraction(spendableRate float64) {
	o.grantedFraction = math.Min(1, spendableRate/math.Max(o.demandRate, 1e-9))
}

// previousAnswer returns the answer to a request that was answered before, with the current granted
// fraction.
func (o *ownerState) previousAnswer(requester int, number uint64) (quotaGrant, bool) {
	for i := range o.answered {
		if known := &o.answered[i]; known.requester == requester && known.number == number {
			return quotaGrant{number, known.granted, known.retryAfter, o.grantedFraction}, true
		}
	}
	return quotaGrant{}, false
}

// recordAnswer stores an answer. If the list is full, it drops the oldest one.
func (o *ownerState) recordAnswer(answered answeredRequest) {
	if len(o.answered) == maxAnsweredRequests {
		o.answered = append(o.answered[:0], o.answered[1:]...)
	}
	o.answered = append(o.answered, answered)
}

// reconcile records a requester's sum of corrections. It returns the units by which the sum has changed
// since the requester's previous report.
func (o *ownerState) reconcile(requester int, sum reconciliation) (units float64) {
	previous, known := o.reconciliations[requester]
	if o.reconciliations == nil {
		o.reconciliations = map[int]reconciliation{}
	}
	o.reconciliations[requester] = sum
	switch {
	case !known:
		return 0 // The first sum is a baseline: earlier corrections never reached this owner's bucket.
	case previous.incarnation != sum.incarnation:
		return sum.units
	}
	return sum.units - previous.units
}

func (o *ownerState) hasRequesters() bool { return len(o.reconciliations) > 0 }

// activeLeases deletes the expired leases and returns the number of the remaining ones.
func (o *ownerState) activeLeases(now time.Duration) int {
	o.leases = slices.DeleteFunc(o.leases, func(lease concurrencyLease) bool {
		return now >= lease.expiresAt
	})
	return len(o.leases)
}

func (o *ownerState) hasLeases() bool { return len(o.leases) > 0 }

// releaseLease deletes the lease of a requester's quota request, if there is one.
func (o *ownerState) releaseLease(requester int, number uint64) {
	o.leases = slices.DeleteFunc(o.leases, func(lease concurrencyLease) bool {
		return lease.requester == requester && lease.number == number
	})
}

// recordDemand counts requested units.
func (o *ownerState) recordDemand(now time.Duration, units float64) {
	o.decayRates(now)
	o.demandRate += units / demandDecay.Seconds()
}

// recordGrant counts granted units.
func (o *ownerState) recordGrant(now time.Duration, units float64) {
	o.decayRates(now)
	o.grantRate += units / demandDecay.Seconds()
}

// decayRates decays the demand and grant rates up to now.
func (o *ownerState) decayRates(now time.Duration) {
	retained := math.Exp(-(now - o.ratesAt).Seconds() / demandDecay.Seconds())
	o.demandRate, o.grantRate, o.ratesAt = o.demandRate*retained, o.grantRate*retained, now
}

// holdGrantRate returns the grant rate in units per second and skips the decay of both rates up to now. The
// last known rates stay valid while no messages arrive from the requesters.
func (o *ownerState) holdGrantRate(now time.Duration) float64 {
	o.ratesAt = now
	return o.grantRate
}

// ownerFor returns the owner to which a node sends its quota requests.
func (q *quotaBucket) ownerFor(node, nodeCount int) int {
	return q.ownerOfPart(node%q.quotaShares, nodeCount)
}

// ownerOfPart returns the owner of one part of the quota. One node may own several parts. All nodes must
// compute the same owner. A change of this hash moves every quota, and nodes of different versions disagree
// about the owners until the whole fleet is updated.
func (q *quotaBucket) ownerOfPart(part, nodeCount int) int {
	hash := (q.tenant + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	return q.entryNodes.at(int((hash^hash>>32)%uint64(q.entryNodes.count)), nodeCount)
}

// partsOwnedBy returns the number of the quota's parts that a node owns.
func (q *quotaBucket) partsOwnedBy(node, nodeCount int) (parts int) {
	for part := range q.quotaShares {
		parts += int(oneIf(q.ownerOfPart(part, nodeCount) == node))
	}
	return parts
}

func (b *Balancer) ownerFor(bucket *quotaBucket) int {
	return bucket.ownerFor(b.settings.NodeIndex, b.settings.NodeCount)
}

// answerQuotaRequest answers a requester from the bucket that this node owns. It repeats the previous answer
// to a repeated request, because the first answer was probably lost. It ignores the request if either node
// is not an entry node of the tenant, if the bucket has a different plan, or if the quota is split.
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

// receiveReconciliation applies a requester's corrections that were sent without a quota request.
func (b *Balancer) receiveReconciliation(from int, tenant uint64, sum reconciliation) {
	bucket := b.quotas.find(tenant)
	if bucket != nil && bucket.owned && bucket.entryNodes.contains(from, b.settings.NodeCount) {
		b.refill(bucket)
		bucket.adjust(bucket.owner.reconcile(from, sum))
	}
}

// receiveQuotaRelease returns unused units to the bucket and releases the lease of a requester.
func (b *Balancer) receiveQuotaRelease(from int, release quotaRelease) {
	if bucket := b.quotas.find(release.tenant); bucket != nil && bucket.owned {
		b.refill(bucket)
		bucket.restore(release.units)
		bucket.owner.releaseLease(from, release.number)
	}
}

func (b *Balancer) refill(bucket *quotaBucket) { bucket.refill(b.now, b.inbox.lastMessage) }
