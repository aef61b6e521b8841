package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// quotaInboxFraction is the fraction of a node's message capacity that the quota requests for one tenant
	// may use.
	quotaInboxFraction = 0.5
	// meanUnitsFraction estimates the mean units of a request as a fraction of the maximum. Most requests
	// are small.
	meanUnitsFraction = 0.25
	// maxIncarnation is the number of distinct incarnation numbers. Each new bucket has a random one.
	maxIncarnation = 1 << 14
	// idleSweepIntervals is the number of control intervals over which the idle checks of all buckets are
	// spread.
	idleSweepIntervals = 8
)

// quotaPlan is a plan and its index in the settings, which identifies it in messages.
type quotaPlan struct {
	Plan
	index int
}

// entryNodes is the range of nodes through which a tenant's requests arrive: count nodes starting at first,
// wrapping around to 0 after the last node of the fleet.
type entryNodes struct {
	first, count int
}

// contains reports whether a node is in the range.
func (e entryNodes) contains(node, nodeCount int) bool {
	return (node-e.first+nodeCount)%nodeCount < e.count
}

// at returns the node at a position in the range.
func (e entryNodes) at(position, nodeCount int) int { return (e.first + position) % nodeCount }

// quotaTable contains the buckets of the tenants that this node has seen recently.
type quotaTable struct {
	node, nodeCount int
	plans           []quotaPlan
	haveOwners      bool    // whether quotas with several entry nodes have owners
	ownerCapacity   float64 // see [ownerCapacity]
	maxUnits        float64 // maximum units of one request; 0 if unknown
	startedAt       time.Duration
	random          *rand.Rand

	buckets       map[uint64]*quotaBucket // by tenant
	order         []*quotaBucket          // all buckets, in the order of the idle checks
	sweepPosition int                     // index in order of the next bucket to check
}

func newQuotaTable(settings *Settings, random *rand.Rand) quotaTable {
	table := quotaTable{
		node:          settings.NodeIndex,
		nodeCount:     settings.NodeCount,
		plans:         make([]quotaPlan, len(settings.Plans)),
		haveOwners:    settings.Gossip && gossipInterval(settings) > assessmentIntervals*controlInterval,
		ownerCapacity: ownerCapacity(settings),
		maxUnits:      settings.MaxUnits,
		random:        random,
		buckets:       map[uint64]*quotaBucket{},
	}
	for i, plan := range settings.Plans {
		table.plans[i] = quotaPlan{plan, i}
	}
	return table
}

// ownerCapacity returns the quota requests per second for one tenant that an owner can receive.
func ownerCapacity(settings *Settings) float64 {
	return quotaInboxFraction * settings.PeerMessagesPerSecond
}

// start records the start of the node. Buckets are refilled from then on.
func (t *quotaTable) start(now time.Duration) { t.startedAt = now }

func (t *quotaTable) plan(index int) *quotaPlan { return &t.plans[index] }

// find returns a tenant's bucket, or nil if it has none.
func (t *quotaTable) find(tenant uint64) *quotaBucket { return t.buckets[tenant] }

// add creates the bucket of a tenant that has none. grantedFraction is the known fraction of the tenant's
// demand that its quota can grant.
func (t *quotaTable) add(
	now time.Duration, tenant uint64, plan *quotaPlan, nodes entryNodes, grantedFraction float64,
) *quotaBucket {
	bucket := &quotaBucket{
		tenant: tenant, plan: plan, entryNodes: nodes,
		quotaShares: nodes.count, ownerCount: 1, refilledAt: now,
		requester: requesterState{incarnation: t.random.Uint64N(maxIncarnation)},
		owner:     ownerState{grantedFraction: 1},
	}
	if t.haveOwners && nodes.count > 1 {
		bucket.owned, bucket.quotaShares = true, t.ownersNeeded(plan, nodes.count)
		bucket.ownerCount = float64(bucket.quotaShares)
	}
	secondsSinceStart := (now - t.startedAt).Seconds()
	bucket.tokens = bucket.initialTokens(secondsSinceStart, grantedFraction)
	bucket.hardLimit = newNodeHardLimit(plan, secondsSinceStart, t.hardLimitPart(bucket))
	t.buckets[tenant] = bucket
	t.order = append(t.order, bucket)
	return bucket
}

// ownersNeeded returns the number of owners that can together receive the quota requests that a plan's rate
// can grant. It is at least 1 and at most the number of entry nodes.
func (t *quotaTable) ownersNeeded(plan *quotaPlan, entryNodeCount int) int {
	requests := plan.Rate / math.Max(1, meanUnitsFraction*t.maxUnits)
	return min(max(1, int(math.Ceil(requests/t.ownerCapacity))), entryNodeCount)
}

// hardLimitPart returns this node's part of a tenant's hard limit. The hard limit must never be exceeded, so
// the parts of all entry nodes sum to 1.
//
// If the quota has owners, the fraction of the hard limit that equals the quota is divided between the
// owners, for their grants. The rest is divided equally between all entry nodes, for requests that are
// admitted without a grant.
func (t *quotaTable) hardLimitPart(bucket *quotaBucket) (part hardLimitPart) {
	plan := bucket.plan
	equal := 1 / float64(bucket.entryNodes.count)
	if !bucket.owned {
		return hardLimitPart{equal, equal}
	}
	owned := float64(bucket.partsOwnedBy(t.node, t.nodeCount)) / bucket.ownerCount
	burstAboveQuota := 1 - math.Min(plan.Burst/math.Max(plan.HardLimitBurst, 1e-9), 1)
	rateAboveQuota := 1 - math.Min(plan.Rate/math.Max(plan.HardLimitRate, 1e-9), 1)
	return hardLimitPart{
		burst: burstAboveQuota*equal + (1-burstAboveQuota)*owned,
		rate:  rateAboveQuota*equal + (1-rateAboveQuota)*owned,
	}
}

// dropIdle deletes the idle buckets among the next ones in order. Otherwise tenants that are seen only once
// would fill the memory.
func (t *quotaTable) dropIdle(now time.Duration) {
	for count := len(t.order)/idleSweepIntervals + 1; count > 0 && len(t.order) > 0; count-- {
		if t.sweepPosition >= len(t.order) {
			t.sweepPosition = 0
		}
		bucket := t.order[t.sweepPosition]
		if !bucket.idle(now) {
			t.sweepPosition++
			continue
		}
		delete(t.buckets, bucket.tenant)
		last := len(t.order) - 1
		t.order[t.sweepPosition] = t.order[last]
		t.order = t.order[:last]
	}
}

// quotaFor returns a tenant's bucket, refilled up to now. It creates a bucket for a tenant that has none.
func (b *Balancer) quotaFor(tenant uint64, plan *quotaPlan, nodes entryNodes) *quotaBucket {
	bucket := b.quotas.find(tenant)
	if bucket == nil {
		bucket = b.quotas.add(b.now, tenant, plan, nodes, b.overQuota.grantedFraction(tenant))
	}
	bucket.refill(b.now, b.inbox.lastMessage)
	return bucket
}

// dropIdleQuotas deletes idle buckets, expired over-quota reports, and expired records of requests that were
// decided without their owner.
func (b *Balancer) dropIdleQuotas() {
	b.overQuota.expire(b.now)
	b.quotaRequester.expire(b.now)
	b.quotas.dropIdle(b.now)
}
