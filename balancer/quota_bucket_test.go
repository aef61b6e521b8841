package balancer

import (
	"math"
	"testing"
	"time"
)

// gossipEvery is the gossip interval in tests of buckets.
const gossipEvery = 100 * ms

// splitBucket returns a full bucket of a quota that is split between a number of nodes.
func splitBucket(plan Plan, nodes int) *quotaBucket {
	return &quotaBucket{
		plan: &quotaPlan{Plan: plan}, entryNodes: entryNodes{0, nodes}, quotaShares: nodes, ownerCount: 1,
		tokens: plan.Burst, refilledAt: testStart,
	}
}

// ownedBucket returns a full bucket of one of a quota's owners.
func ownedBucket(plan Plan, owners int) *quotaBucket {
	return &quotaBucket{
		plan: &quotaPlan{Plan: plan}, entryNodes: entryNodes{0, 10 * owners}, owned: true, quotaShares: owners,
		ownerCount: float64(owners), tokens: plan.Burst / float64(owners), refilledAt: testStart,
	}
}

// admitAll admits requests until the bucket rejects one, at most 1,000. It returns the number of admitted
// requests.
func admitAll(bucket *quotaBucket, now time.Duration, units float64) (admitted int) {
	for granted, _ := bucket.check(now, units, gossipEvery); granted && admitted < 1000; admitted++ {
		bucket.acquire(units)
		bucket.requestStarted()
		bucket.attemptStarted()
		granted, _ = bucket.check(now, units, gossipEvery)
	}
	return admitted
}

func TestSplitBucketAdmitsItsShareBetweenRounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		bucket *quotaBucket
		units  float64
		want   []int // requests admitted in each round
	}{
		{"single node", splitBucket(Plan{Rate: 1, Burst: 40}, 1), 1, []int{40, 0}},
		{"two nodes", splitBucket(Plan{Rate: 1, Burst: 40}, 2), 1, []int{20, 10, 5}},
		{"several units", splitBucket(Plan{Rate: 1, Burst: 40}, 2), 6, []int{3, 1, 1, 0}},
		{"less than one unit per node", splitBucket(Plan{Rate: 1, Burst: 2}, 3), 1, []int{1, 1, 0}},
		{"owner", ownedBucket(Plan{Rate: 1, Burst: 40}, 2), 1, []int{20, 0}},
		{"concurrency", splitBucket(Plan{MaxConcurrent: 6}, 2), 1, []int{3, 1, 1, 0}},
		{"no quota", splitBucket(Plan{}, 2), 1, []int{1000}},
	} {
		for round, want := range c.want {
			if got := admitAll(c.bucket, testStart, c.units); got != want {
				t.Errorf("%s: %d admitted in round %d, want %d", c.name, got, round, want)
			}
			c.bucket.closeGossipRound()
		}
	}
}

// A congested tenant may have a request waiting at each node. Guards against nodes that all acquire the
// tokens of a single request at the same time.
func TestCongestedTenantNeedsUnitsForAllNodes(t *testing.T) {
	for _, c := range []struct {
		tokens float64
		after  time.Duration // since the rejection
		want   bool
	}{
		{2.9, congestionPeriod - 1, false},
		{3, congestionPeriod - 1, true},
		{1, congestionPeriod, true},
	} {
		bucket := splitBucket(Plan{Rate: 1, Burst: 40}, 3)
		bucket.tokens = 0
		if granted, _ := bucket.check(testStart, 1, gossipEvery); granted {
			t.Fatal("an empty bucket granted units")
		}
		bucket.tokens = c.tokens
		if granted, _ := bucket.check(testStart+c.after, 1, gossipEvery); granted != c.want {
			t.Errorf("%+v: granted %v, want %v", c, granted, c.want)
		}
	}
}

func TestRetryAfterRejection(t *testing.T) {
	for _, c := range []struct {
		name   string
		bucket *quotaBucket
		tokens float64
		want   time.Duration
	}{
		{"refill", splitBucket(Plan{Rate: 2, Burst: 10}, 2), -1, time.Second},
		{"refill of an owner", ownedBucket(Plan{Rate: 2, Burst: 10}, 2), 0, time.Second},
		{"next gossip round", splitBucket(Plan{Rate: 1000, Burst: 10}, 2), 0, gossipEvery},
		{"maximum", splitBucket(Plan{Rate: 0.001, Burst: 10}, 2), 0, maxRefillTime},
		{"burst of one unit", splitBucket(Plan{MaxConcurrent: 0, Rate: 1000, Burst: 1}, 2), 0, gossipEvery},
	} {
		c.bucket.tokens = c.tokens
		if granted, retryAfter := c.bucket.check(testStart, 1, gossipEvery); granted || retryAfter != c.want {
			t.Errorf("%s: granted %v, retry after %v; want a rejection and %v", c.name, granted, retryAfter, c.want)
		}
	}
}

func TestRefill(t *testing.T) {
	plan := Plan{Rate: 10, Burst: 40}
	withRequester := func(bucket *quotaBucket) *quotaBucket { // as if a requester had reported corrections
		bucket.owner.reconciliations = map[int]reconciliation{1: {}}
		return bucket
	}
	withGrantRate := func(bucket *quotaBucket, rate float64) *quotaBucket {
		bucket.owner.grantRate = rate
		return withRequester(bucket)
	}
	const noRecentMessage, recentMessage = testStart - isolatedAfter, testStart + time.Second
	for _, c := range []struct {
		name        string
		bucket      *quotaBucket
		tokens      float64
		lastMessage time.Duration
		after       time.Duration
		want        float64
		wantRatesAt time.Duration
	}{
		{"split", splitBucket(plan, 2), 0, noRecentMessage, time.Second, 10, 0},
		{"full", splitBucket(plan, 2), 35, noRecentMessage, time.Second, 40, 0},
		{"deficit", splitBucket(plan, 2), -15, noRecentMessage, time.Second, -5, 0},
		{"owner", ownedBucket(plan, 2), 0, noRecentMessage, time.Second, 5, 0},
		{"owner with recent messages", withGrantRate(ownedBucket(plan, 2), 4), 0, recentMessage, time.Second, 5, 0},
		{"isolated owner", withGrantRate(ownedBucket(plan, 2), 4), 0, noRecentMessage, time.Second, 1, testStart + time.Second},
		{"isolated owner, tokens used up", withGrantRate(ownedBucket(plan, 2), 25), 10, noRecentMessage, time.Second, 0, testStart + time.Second},
		{"isolated owner, deficit", withGrantRate(ownedBucket(plan, 2), 25), -3, noRecentMessage, time.Second, -3, testStart + time.Second},
		{"isolated owner, no time elapsed", withGrantRate(ownedBucket(plan, 2), 25), 10, noRecentMessage - 1, 0, 10, testStart},
	} {
		c.bucket.tokens = c.tokens
		c.bucket.refill(testStart+c.after, c.lastMessage)
		if got := c.bucket.tokens; math.Abs(got-c.want) > 1e-9 || c.bucket.owner.ratesAt != c.wantRatesAt {
			t.Errorf("%s: %v tokens, want %v; rates decayed to %v, want %v",
				c.name, got, c.want, c.bucket.owner.ratesAt, c.wantRatesAt)
		}
	}
}

// Guards against reported corrections that raise an owner's tokens above its share of the burst, or their
// deficit above a whole burst.
func TestOwnerTokensAreBounded(t *testing.T) {
	for units, want := range map[float64]float64{3: 13, 100: 20, -3: 7, -49: -39, -50: -40, -1000: -40} {
		bucket := ownedBucket(Plan{Rate: 10, Burst: 40}, 2)
		bucket.tokens = 10
		if bucket.adjust(units); bucket.tokens != want {
			t.Errorf("%v tokens after a correction of %v units, want %v", bucket.tokens, units, want)
		}
	}
	bucket := ownedBucket(Plan{Rate: 10, Burst: 40}, 2)
	bucket.tokens = 10
	if bucket.restore(100); bucket.tokens != 20 {
		t.Errorf("%v tokens after 100 units were returned, want 20", bucket.tokens)
	}
}

func TestPeerUseIsBounded(t *testing.T) {
	bucket := splitBucket(Plan{Rate: 10, Burst: 40}, 2)
	if bucket.applyPeerUse(testStart, 1, 2, &gossipEntry{units: 1e6}); bucket.tokens != -40 {
		t.Errorf("%v tokens, want a deficit of one burst", bucket.tokens)
	}
}

// Guards against attempts of a node that is down counting against the concurrency limit forever.
func TestPeerInFlightReportsExpire(t *testing.T) {
	const expiry = maxMissedGossipIntervals * gossipEvery
	bucket := splitBucket(Plan{MaxConcurrent: 10}, 3)
	bucket.attemptStarted()
	bucket.applyPeerUse(testStart, 1, 3, &gossipEntry{inFlight: 2})
	bucket.applyPeerUse(testStart+1, 2, 3, &gossipEntry{inFlight: 3})
	for after, want := range map[time.Duration]int{0: 4, expiry - 1: 4, expiry: 6, expiry + 1: 9} {
		if got := bucket.concurrencyHeadroom(testStart+after, gossipEvery); got != want {
			t.Errorf("headroom %d after %v, want %d", got, after, want)
		}
	}
}

func TestIdleBuckets(t *testing.T) {
	const never = time.Hour
	rated := Plan{Rate: 10, Burst: 40}
	for _, c := range []struct {
		name    string
		plan    Plan
		prepare func(*quotaBucket)
		after   time.Duration
	}{
		{"full", rated, func(*quotaBucket) {}, 4 * time.Second},
		{"empty", rated, func(b *quotaBucket) { b.tokens = 0 }, 8 * time.Second},
		{"no rate", Plan{MaxConcurrent: 1}, func(*quotaBucket) {}, concurrencyQuotaIdleTime},
		{"hard limit", Plan{HardLimitRate: 1, HardLimitBurst: 9}, func(*quotaBucket) {}, 9 * time.Second},
		{"in flight", rated, func(b *quotaBucket) { b.attemptStarted() }, never},
		{"unreported", rated, func(b *quotaBucket) { b.queueForGossip() }, never},
		{"leases", rated, func(b *quotaBucket) { b.owner.leases = make([]concurrencyLease, 1) }, never},
	} {
		bucket := splitBucket(c.plan, 1)
		c.prepare(bucket)
		if bucket.idle(testStart + c.after - 1) {
			t.Errorf("%s: idle in less than %v", c.name, c.after)
		}
		if bucket.idle(testStart+c.after) != (c.after != never) {
			t.Errorf("%s: idle after %v: %v, want %v", c.name, c.after, c.after == never, c.after != never)
		}
	}
}

// Rule 5 (the hard limit is never exceeded): the hard limit of a new process starts empty, because the
// node's previous process may have used it up.
func TestHardLimitStartsEmpty(t *testing.T) {
	plan := &quotaPlan{Plan: Plan{HardLimitRate: 20, HardLimitBurst: 40}}
	limit := newNodeHardLimit(plan, 0, hardLimitPart{burst: 0.5, rate: 0.25})
	if limit.covers(plan, 1) || limit.timeUntil(plan, 1) != 200*ms {
		t.Errorf("a new limit covers a unit at once or after %v, want after 200ms", limit.timeUntil(plan, 1))
	}
	limit.refill(plan, 1)
	if limit.acquire(plan, 2); limit.tokens != 3 {
		t.Errorf("%v tokens after a second and 2 units, want 3", limit.tokens)
	}
	if limit.refill(plan, 100); limit.tokens != 20 {
		t.Errorf("%v tokens of a full limit, want 20", limit.tokens)
	}
	if limit := newNodeHardLimit(plan, 100, hardLimitPart{0.5, 0.25}); limit.tokens != 20 {
		t.Errorf("%v tokens 100 s after the start, want 20", limit.tokens)
	}
	none := &quotaPlan{}
	limit = newNodeHardLimit(none, 0, hardLimitPart{1, 1})
	if !limit.covers(none, 1e6) {
		t.Error("a plan without a hard limit rejects units")
	}
}
