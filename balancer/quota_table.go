package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// quotaInboxFraction is the fraction of a node's limit on messages that one tenant's quota requests may
	// use.
	quotaInboxFraction = 0.5
	// meanUnitsFraction estimates the units of a mean request as a fraction of the largest: most are small.
	meanUnitsFraction = 0.25
	// maxIncarnation is the number of incarnations of a bucket that an owner distinguishes.
	maxIncarnation = 1 << 14
	// quotaSweeps is the number of control intervals in which all buckets are checked for idleness.
	quotaSweeps = 8
)

// quotaPlan is a plan with its position in the settings, by which messages name it.
type quotaPlan struct {
	Plan
	index int
}

// entryNodes are the nodes through which a tenant's requests come in: count of them from first on, going on
// at 0 after the last node of the fleet.
type entryNodes struct {
	first, count int
}

// contains reports whether a node is one of them.
func (e entryNodes) contains(node, nodeCount int) bool {
	return (node-e.first+nodeCount)%nodeCount < e.count
}

// at returns the node at a position among them.
func (e entryNodes) at(position, nodeCount int) int { return (e.first + position) % nodeCount }

// quotaTable holds the buckets of all tenants seen lately.
type quotaTable struct {
	node, nodeCount int
	plans           []quotaPlan
	haveOwners      bool
	ownerCapacity   float64 // see [ownerCapacity]
	maxUnits        float64 // of one request; 0: unknown
	startedAt       time.Duration
	random          *rand.Rand

	buckets       map[uint64]*quotaBucket // by tenant
	order         []*quotaBucket          // in which they are checked for idleness
	sweepPosition int                     // in order
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

// ownerCapacity is the quota requests for one tenant that an owner takes in a second.
func ownerCapacity(settings *Settings) float64 {
	return quotaInboxFraction * settings.PeerMessagesPerSecond
}

// start begins the filling of buckets.
func (t *quotaTable) start(now time.Duration) { t.startedAt = now }

func (t *quotaTable) plan(index int) *quotaPlan { return &t.plans[index] }

// find returns a tenant's bucket, or nil.
func (t *quotaTable) find(tenant uint64) *quotaBucket { return t.buckets[tenant] }

// add makes the bucket of a tenant that has none. grantedFraction is what is known of the tenant's demand.
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
	sinceStart := (now - t.startedAt).Seconds()
	bucket.tokens = bucket.initialTokens(sinceStart, grantedFraction)
	bucket.hardLimit = newNodeHardLimit(plan, sinceStart, t.hardLimitPart(bucket))
	t.buckets[tenant] = bucket
	t.order = append(t.order, bucket)
	return bucket
}

// ownersNeeded is the number of owners whose limits on messages allow for the quota requests that a plan's
// rate can grant.
func (t *quotaTable) ownersNeeded(plan *quotaPlan, entryNodeCount int) int {
	requests := plan.Rate / math.Max(1, meanUnitsFraction*t.maxUnits)
	return min(max(1, int(math.Ceil(requests/t.ownerCapacity))), entryNodeCount)
}

// hardLimitPart is this node's part of a tenant's hard limit. Rule 5: the parts of all nodes sum to the
// whole. An owner has most of it for its grants. What the quota leaves of the limit is for requesters
// without a grant.
func (t *quotaTable) hardLimitPart(bucket *quotaBucket) (part hardLimitPart) {
	plan := bucket.plan
	equal := 1 / float64(bucket.entryNodes.count)
	if !bucket.owned {
		return hardLimitPart{equal, equal}
	}
	owned := float64(bucket.partsOwnedBy(t.node, t.nodeCount)) / bucket.ownerCount
	burst := 1 - math.Min(plan.Burst/math.Max(plan.HardLimitBurst, 1e-9), 1)
	rate := 1 - math.Min(plan.Rate/math.Max(plan.HardLimitRate, 1e-9), 1)
	return hardLimitPart{burst: burst*equal + (1-burst)*owned, rate: rate*equal + (1-rate)*owned}
}

// dropIdle drops the idle buckets among the next ones in order, so that tenants that come once don't fill the
// memory.
func (t *quotaTable) dropIdle(now time.Duration) {
	for count := len(t.order)/quotaSweeps + 1; count > 0 && len(t.order) > 0; count-- {
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

// quotaFor returns a tenant's bucket, refilled up to now.
func (b *Balancer) quotaFor(tenant uint64, plan *quotaPlan, nodes entryNodes) *quotaBucket {
	bucket := b.quotas.find(tenant)
	if bucket == nil {
		bucket = b.quotas.add(b.now, tenant, plan, nodes, b.overQuota.grantedFraction(tenant))
	}
	bucket.refill(b.now, b.inbox.lastMessage)
	return bucket
}

// dropIdleQuotas drops idle buckets and what is no longer relied on of tenants and requests.
func (b *Balancer) dropIdleQuotas() {
	b.overQuota.expire(b.now)
	b.quotaRequester.expire(b.now)
	b.quotas.dropIdle(b.now)
}
