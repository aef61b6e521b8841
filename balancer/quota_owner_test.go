package balancer

import (
	"math"
	"testing"
	"time"
)

// ownerOf returns an owner and its full bucket of a quota with a single owner.
func ownerOf(plan Plan) (*quotaOwner, *quotaBucket) {
	return &quotaOwner{capacity: 2, leaseDuration: time.Second}, ownedBucket(plan, 1)
}

func TestOwnerAnswers(t *testing.T) {
	for _, c := range []struct {
		name          string
		plan          Plan
		hardLimit     float64 // tokens
		units         float64
		underPressure bool
		want          quotaGrant
		wantTokens    float64
	}{
		{"within the quota", Plan{Rate: 1, Burst: 10}, 0, 10, false, quotaGrant{granted: true}, 0},
		{"beyond the quota", Plan{Rate: 1, Burst: 10}, 0, 12, false, quotaGrant{retryAfter: 2 * time.Second}, 10},
		{"under pressure", Plan{Rate: 1, Burst: 10}, 0, 12, true, quotaGrant{retryAfter: 5 * time.Second}, 10},
		{"under pressure, granted", Plan{Rate: 1, Burst: 10}, 0, 1, true, quotaGrant{granted: true}, 9},
		{"beyond the hard limit", Plan{Rate: 1, Burst: 10, HardLimitRate: 1}, 4, 5, false, quotaGrant{}, 10},
		{"within the hard limit", Plan{Rate: 1, Burst: 10, HardLimitRate: 1}, 5, 5, false, quotaGrant{granted: true}, 5},
	} {
		owner, bucket := ownerOf(c.plan)
		bucket.hardLimit.tokens = c.hardLimit
		request := quotaRequest{number: 7, units: c.units}
		got := owner.answer(testStart, bucket, 3, &request, gossipEvery, c.underPressure)
		c.want.number, c.want.grantedFraction = 7, got.grantedFraction
		if got != c.want || bucket.tokens != c.wantTokens {
			t.Errorf("%s: %+v with %v tokens left, want %+v with %v", c.name, got, bucket.tokens, c.want, c.wantTokens)
		}
		if again, known := bucket.owner.previousAnswer(3, 7); !known || again != got {
			t.Errorf("%s: answer %+v to the repeated request, want %+v", c.name, again, got)
		}
	}
}

// The granted fraction is the ratio of the units that requesters may spend without grants to the units that
// they request.
func TestGrantedFraction(t *testing.T) {
	owner, bucket := ownerOf(Plan{Rate: 4, Burst: 10})
	request := quotaRequest{units: 0, locallyRejectedUnits: 30}
	grant := owner.answer(testStart, bucket, 3, &request, gossipEvery, false)
	want := (10/isolatedSpendPeriod.Seconds() + 4) / (30 / demandDecay.Seconds())
	if math.Abs(grant.grantedFraction-want) > 1e-9 {
		t.Errorf("granted fraction %v, want %v", grant.grantedFraction, want)
	}
	bucket.tokens = -5
	request = quotaRequest{number: 1}
	grant = owner.answer(testStart, bucket, 3, &request, gossipEvery, false)
	if want := 4 / (30 / demandDecay.Seconds()); math.Abs(grant.grantedFraction-want) > 1e-9 {
		t.Errorf("granted fraction %v with a token deficit, want %v", grant.grantedFraction, want)
	}
}

func TestConcurrencyLeases(t *testing.T) {
	owner, bucket := ownerOf(Plan{MaxConcurrent: 2})
	answer := func(now time.Duration, requester int, number uint64) bool {
		request := quotaRequest{number: number, units: 1}
		return owner.answer(now, bucket, requester, &request, gossipEvery, false).granted
	}
	if !answer(testStart, 3, 1) || !answer(testStart+500*ms, 4, 1) || answer(testStart+600*ms, 3, 2) {
		t.Error("the owner must grant two leases and reject the third request")
	}
	bucket.owner.releaseLease(3, 2) // a rejected request, which has no lease
	if got := bucket.owner.activeLeases(testStart + 900*ms); got != 2 {
		t.Errorf("%d leases, want 2", got)
	}
	bucket.owner.releaseLease(4, 1)
	if got := bucket.owner.activeLeases(testStart + 900*ms); got != 1 {
		t.Errorf("%d leases after one was released, want 1", got)
	}
	if got := bucket.owner.activeLeases(testStart + owner.leaseDuration); got != 0 || bucket.owner.hasLeases() {
		t.Errorf("%d leases after the lease duration, want 0", got)
	}
}

// Guards against corrections that are applied twice, or that are lost together with a message. Each sum
// includes the corrections of earlier messages.
func TestReconcile(t *testing.T) {
	var owner ownerState
	for _, step := range []struct {
		requester int
		sum       reconciliation
		want      float64
	}{
		{3, reconciliation{1, 40}, 0}, // baseline: earlier corrections are not in this owner's bucket
		{3, reconciliation{1, 45}, 5},
		{3, reconciliation{1, 45}, 0},
		{3, reconciliation{1, 40}, -5},
		{4, reconciliation{1, 7}, 0},
		{3, reconciliation{2, 6}, 6}, // the sum of a new incarnation starts at 0
		{3, reconciliation{2, 7}, 1},
	} {
		if got := owner.reconcile(step.requester, step.sum); got != step.want {
			t.Errorf("%+v: %v units, want %v", step, got, step.want)
		}
	}
}

func TestOwnerRepeatsLastAnswers(t *testing.T) {
	var owner ownerState
	for number := range uint64(maxAnsweredRequests + 1) {
		owner.recordAnswer(answeredRequest{requester: 3, number: number})
	}
	for number := range uint64(maxAnsweredRequests + 1) {
		if _, known := owner.previousAnswer(3, number); known != (number > 0) {
			t.Errorf("answer %d of %d is stored: %v, want true except for answer 0", number,
				maxAnsweredRequests+1, known)
		}
	}
	if _, known := owner.previousAnswer(4, 1); known {
		t.Error("an answer to another requester was returned")
	}
}

func TestRatesDecay(t *testing.T) {
	var owner ownerState
	owner.recordDemand(testStart, 30)
	owner.recordGrant(testStart, 15)
	owner.recordDemand(testStart+demandDecay, 0)
	if want := 10 / math.E; math.Abs(owner.demandRate-want) > 1e-9 || math.Abs(owner.grantRate-want/2) > 1e-9 {
		t.Errorf("demand rate %v and grant rate %v, want %v and %v", owner.demandRate, owner.grantRate, want, want/2)
	}
	held := owner.holdGrantRate(testStart + time.Hour)
	owner.recordGrant(testStart+time.Hour, 0)
	if owner.grantRate != held {
		t.Errorf("grant rate %v, want the held rate %v", owner.grantRate, held)
	}
}

// Every part of a quota has an owner, which is an entry node, and each node sends quota requests to the
// owner of its part. Guards against an uneven distribution of owners over the entry nodes.
func TestOwnersOfParts(t *testing.T) {
	const nodeCount = 30
	bucket := ownedBucket(Plan{Rate: 1, Burst: 1}, 3)
	owners := map[int]int{}
	for tenant := range uint64(1000) {
		bucket.tenant, bucket.entryNodes = tenant, entryNodes{25, 10}
		parts := 0
		for node := range nodeCount {
			owned := bucket.partsOwnedBy(node, nodeCount)
			if parts += owned; owned > 0 && !bucket.entryNodes.contains(node, nodeCount) {
				t.Fatalf("node %d owns a part but is no entry node", node)
			}
			if owner := bucket.ownerFor(node, nodeCount); owner != bucket.ownerOfPart(node%3, nodeCount) {
				t.Fatalf("node %d asks owner %d, want %d", node, owner, bucket.ownerOfPart(node%3, nodeCount))
			}
			owners[node] += owned
		}
		if parts != 3 {
			t.Fatalf("%d parts owned, want 3", parts)
		}
	}
	for i := range 10 {
		if node := (25 + i) % nodeCount; owners[node] < 200 || owners[node] > 400 {
			t.Errorf("node %d owns %d of 3,000 parts, want 200 to 400", node, owners[node])
		}
	}
}
