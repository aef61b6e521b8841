package balancer

import (
	"math"
	"testing"
	"time"
)

// ownedQuotaNode returns a node of a fleet of 300, which is large enough for quotas to have owners.
func ownedQuotaNode(t *testing.T, index int) (*Balancer, *hostRecorder) {
	settings := testSettings()
	settings.NodeIndex, settings.NodeCount, settings.Gossip, settings.PeerMessagesPerSecond = index, 300, true, 40
	return newTestBalancer(t, settings, equalEndpoints(4)...)
}

// ownedTenant is a tenant whose entry nodes are 10 to 109.
const ownedTenant = 77

// ownedQuotaRequest returns a request of [ownedTenant].
func ownedQuotaRequest(n int) Request {
	request := newRequest(n, "safe", "rate", ownedTenant)
	request.EntryNodes, request.FirstEntryNode = 100, 10
	return request
}

// timeOutQuotaRequest fires both timeouts of a node's latest quota request.
func timeOutQuotaRequest(node *Balancer, host *hostRecorder, sentAt time.Duration) {
	token := node.requests.lastNumber<<timerBits | timerQuotaRequest
	node.TimerFired(sentAt+quotaRequestRepeatAfter, token, host)
	node.TimerFired(sentAt+quotaRequestTimeout, token, host)
}

// ownerIndexOf returns the owner to which a node sends quota requests for [ownedTenant].
func ownerIndexOf(node *Balancer) int { return node.ownerFor(node.quotas.buckets[ownedTenant]) }

// requesterAndOwner returns a node that has sent a quota request for [ownedTenant], and its owner and the
// owner's bucket.
func requesterAndOwner(t *testing.T) (
	requester, owner *Balancer, host, ownerHost *hostRecorder, bucket *quotaBucket, ownerIndex int,
) {
	requester, host = ownedQuotaNode(t, 10)
	requester.RequestArrived(testStart, ownedQuotaRequest(1), host)
	ownerIndex = ownerIndexOf(requester)
	owner, ownerHost = ownedQuotaNode(t, ownerIndex)
	return requester, owner, host, ownerHost, owner.quotaFor(ownedTenant, owner.ratePlan(), entryNodes{10, 100}), ownerIndex
}

// Gossip between a hundred nodes would take seconds. Guards against nodes that do not wait for the owner's
// grant, ignore it, or apply it twice.
func TestQuotaRequestIsSentToTheOwner(t *testing.T) {
	requester, host := ownedQuotaNode(t, 10)
	request := ownedQuotaRequest(1)
	requester.RequestArrived(testStart, request, host)
	ownerIndex := ownerIndexOf(requester)
	nodes := requester.quotas.buckets[ownedTenant].entryNodes
	if !nodes.contains(ownerIndex, requester.settings.NodeCount) ||
		host.count("send")+host.count("reject") != 0 || host.messages[ownerIndex] == nil {
		t.Fatalf("owner %d, actions %v; want a quota request to an entry node and no decision", ownerIndex, host.actions)
	}
	owner, ownerHost := ownedQuotaNode(t, ownerIndex)
	owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
	requester.PeerMessage(testStart+20*ms, ownerIndex, ownerHost.messages[10][0], host)
	if host.count("send") != 1 {
		t.Errorf("request not sent after a grant: %v", host.actions)
	}
	// A repeated grant and a grant from another node are ignored.
	host.actions = nil
	for _, from := range []int{ownerIndex, 11, -1, 300} {
		requester.PeerMessage(testStart+30*ms, from, ownerHost.messages[10][0], host)
	}
	if len(host.actions) != 0 {
		t.Errorf("a repeated grant or one from another node caused actions %v, want none", host.actions)
	}
}

// Guards against an owner that grants its requesters more units in total than its bucket contains.
func TestOwnerGrantsAtMostItsTokens(t *testing.T) {
	first, host := ownedQuotaNode(t, 10)
	first.RequestArrived(testStart, ownedQuotaRequest(1), host)
	ownerIndex := ownerIndexOf(first)
	owner, ownerHost := ownedQuotaNode(t, ownerIndex)
	sent := 0.0
	for index := 10; index < 110; index++ {
		if index == ownerIndex {
			continue
		}
		node, host := ownedQuotaNode(t, index)
		if node.ownerFor(node.quotaFor(ownedTenant, node.ratePlan(), entryNodes{10, 100})) != ownerIndex {
			continue // sends its quota requests to the owner of another part
		}
		for n := 0; n < 4; n++ {
			host.messages, ownerHost.messages = nil, nil
			node.RequestArrived(testStart, ownedQuotaRequest(n), host)
			if host.messages != nil { // otherwise it rejects the request locally
				owner.PeerMessage(testStart, index, host.messages[ownerIndex][0], ownerHost)
				node.PeerMessage(testStart, ownerIndex, ownerHost.messages[index][0], host)
			}
		}
		sent += float64(host.count("send"))
	}
	if burst := owner.settings.Plans[owner.planIndex["rate"]].Burst; sent == 0 || sent > burst {
		t.Errorf("%v requests sent, want more than 0 and at most the burst of %v", sent, burst)
	}
}

// If an owner does not answer, the request is admitted with the probability of a grant. Guards against
// requests that fail because an owner is down.
func TestUnansweredRequestUsesGrantedFraction(t *testing.T) {
	for _, granted := range []float64{0, 1} {
		node, host := ownedQuotaNode(t, 10)
		node.overQuota[tenantHash(ownedTenant)] = overQuotaTenant{granted, testStart}
		node.RequestArrived(testStart, ownedQuotaRequest(1), host)
		timeOutQuotaRequest(node, host, testStart)
		if got := host.count("send"); got != int(granted) || host.count("reject") != 1-got {
			t.Errorf("granted fraction %v: actions %v, want an attempt for 1 and a rejection for 0", granted,
				host.actions)
		}
	}
}

// Guards against buckets that are created by a malformed quota request, or by one whose sender or receiver
// is not an entry node.
func TestInvalidQuotaRequestsAreIgnored(t *testing.T) {
	requester, host := ownedQuotaNode(t, 10)
	requester.RequestArrived(testStart, ownedQuotaRequest(1), host)
	good := host.messages[ownerIndexOf(requester)][0]
	for _, c := range []struct{ index, from int }{{5, 10}, {20, 5}, {20, 250}} {
		node, host := ownedQuotaNode(t, c.index)
		node.PeerMessage(testStart, c.from, good, host)
		if len(node.quotas.buckets) != 0 || len(host.messages) != 0 {
			t.Errorf("%+v: %d buckets and %d grants, want none", c, len(node.quotas.buckets), len(host.messages))
		}
	}
	node, nodeHost := ownedQuotaNode(t, 20)
	for size := range good {
		node.PeerMessage(testStart, 10, good[:size], nodeHost)
	}
	node.PeerMessage(testStart, 10, append(append([]byte{}, good...), 0), nodeHost)
	if len(node.quotas.buckets) != 0 {
		t.Error("a malformed quota request created a bucket")
	}
}

// Rule 5 (the hard limit is never exceeded): the parts of all entry nodes must sum to the whole limit.
func TestHardLimitPartsSumToTheWhole(t *testing.T) {
	burst, rate := 0.0, 0.0
	for index := 10; index < 110; index++ {
		node, _ := ownedQuotaNode(t, index)
		bucket := node.quotaFor(ownedTenant, node.ratePlan(), entryNodes{10, 100})
		burst, rate = burst+bucket.hardLimit.part.burst, rate+bucket.hardLimit.part.rate
	}
	if math.Abs(burst-1) > 1e-9 || math.Abs(rate-1) > 1e-9 {
		t.Errorf("parts sum to %v of the burst and %v of the rate, want 1", burst, rate)
	}
}

// Guards against a lease that outlives its attempt because the grant was lost, and against a rejection for
// concurrency that stops the tenant for longer than the timeout of a quota request.
func TestConcurrencyLeasesAreReleased(t *testing.T) {
	requester, host := ownedQuotaNode(t, 10)
	request := ownedQuotaRequest(1)
	request.Plan = "open"
	requester.RequestArrived(testStart, request, host)
	ownerIndex := ownerIndexOf(requester)
	owner, ownerHost := ownedQuotaNode(t, ownerIndex)
	owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
	if n := len(owner.quotas.buckets[ownedTenant].owner.leases); n != 1 {
		t.Fatalf("%d leases after the quota request, want 1", n)
	}
	host.messages = nil
	timeOutQuotaRequest(requester, host, testStart)
	respondToAll(requester, host, testStart+quotaRequestTimeout+50*ms, 50*ms)
	for _, m := range host.messages[ownerIndex] {
		owner.PeerMessage(testStart+200*ms, 10, m, ownerHost)
	}
	if n := len(owner.quotas.buckets[ownedTenant].owner.leases); n != 0 {
		t.Errorf("%d leases after the response, want 0", n)
	}
	owner.quotas.buckets[ownedTenant].inFlight = owner.settings.Plans[owner.planIndex["open"]].MaxConcurrent
	granted, retryAfter := owner.quotas.buckets[ownedTenant].check(owner.now, 1, owner.gossip.interval)
	if granted || retryAfter > quotaRequestTimeout {
		t.Errorf("granted %v, retry after %v; want a rejection and at most %v", granted, retryAfter, quotaRequestTimeout)
	}
}

// Rule 5 (the hard limit is never exceeded): an owner that has just started must not grant units of the hard
// limit, because its previous process may have used them up.
func TestNewOwnerHardLimitStartsEmpty(t *testing.T) {
	requester, host := ownedQuotaNode(t, 10)
	request := ownedQuotaRequest(1)
	request.Plan = "hard"
	requester.RequestArrived(testStart, request, host)
	ownerIndex := ownerIndexOf(requester)
	owner, ownerHost := ownedQuotaNode(t, ownerIndex)
	owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
	requester.PeerMessage(testStart+ms, ownerIndex, ownerHost.messages[10][0], host)
	if host.count("send") != 0 {
		t.Errorf("a new owner granted units of the hard limit: %v", host.actions)
	}
}

// Rule 1 (one final answer, in time): guards against a request that waits for its owner past the client's
// timeout.
func TestRequestAwaitingGrantIsAnsweredInTime(t *testing.T) {
	node, host := ownedQuotaNode(t, 10)
	request := ownedQuotaRequest(1)
	request.Timeout = 30 * ms
	node.RequestArrived(testStart, request, host)
	for _, timer := range host.timers {
		deadline := node.requests.lastNumber<<timerBits | timerDeadline
		if timer.token == deadline && timer.after < request.Timeout {
			node.TimerFired(testStart+timer.after, timer.token, host)
		}
	}
	if host.count("reject") != 1 {
		t.Errorf("actions %v, want a rejection", host.actions)
	}
}

// The load differs between a tenant's entry nodes. If its quota is divided into parts, one part rejects
// requests while another still has tokens. Guards against more owners than are needed to receive the quota
// requests that the rate can grant.
func TestNumberOfOwners(t *testing.T) {
	for _, c := range []struct {
		rate, perSecond, maxUnits float64
		owners                    int
	}{{35, 40, 8, 1}, {35, 40, 0, 2}, {400, 40, 8, 7}, {200, 40, 8, 5}} {
		settings := testSettings()
		settings.NodeCount, settings.PeerMessagesPerSecond, settings.MaxUnits = 80, c.perSecond, c.maxUnits
		settings.Plans[1].Rate = c.rate
		node, _ := newTestBalancer(t, settings, equalEndpoints(4)...)
		bucket := node.quotaFor(ownedTenant, node.ratePlan(), entryNodes{0, 7})
		if !bucket.owned || bucket.quotaShares != c.owners {
			t.Errorf("%+v: owned %v by %d owners, want %d", c, bucket.owned, bucket.quotaShares, c.owners)
		}
	}
}

// A rejected requester may send another quota request as soon as the bucket can have the units. It pauses
// longer only if the owner's inbox is under pressure. Guards against longer pauses without pressure, which
// would outlast a tenant's burst and reject requests that are within the quota again.
func TestRejectedRequesterPausesOnlyUnderPressure(t *testing.T) {
	for _, c := range []struct {
		inbox float64
		pause bool
	}{{0.4, false}, {0.9, true}} {
		requester, host := ownedQuotaNode(t, 10)
		requester.RequestArrived(testStart, ownedQuotaRequest(1), host)
		ownerIndex := ownerIndexOf(requester)
		owner, ownerHost := ownedQuotaNode(t, ownerIndex)
		owner.quotaFor(ownedTenant, owner.ratePlan(), entryNodes{10, 100}).tokens = 0
		owner.inbox.rate = c.inbox * owner.settings.PeerMessagesPerSecond
		owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
		requester.PeerMessage(testStart+ms, ownerIndex, ownerHost.messages[10][0], host)
		if host.count("reject") != 1 {
			t.Fatalf("actions %v, want a rejection", host.actions)
		}
		if got := requester.quotas.buckets[ownedTenant].requester.rejectedUntil > testStart+time.Second; got != c.pause {
			t.Errorf("inbox at %v of its capacity: no quota request for %v, want more than a second: %v",
				c.inbox, requester.quotas.buckets[ownedTenant].requester.rejectedUntil-testStart, c.pause)
		}
	}
}

// Guards against unused granted units that are not returned to the owner's bucket, or are returned twice.
func TestUnusedUnitsReturnToOwner(t *testing.T) {
	settings := testSettings()
	settings.NodeCount, settings.PeerMessagesPerSecond, settings.PostPaid = 300, 40, true
	settings.NodeIndex = 10
	requester, host := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := ownedQuotaRequest(1)
	request.Units = 7
	requester.RequestArrived(testStart, request, host)
	ownerIndex := ownerIndexOf(requester)
	owner, ownerHost := ownedQuotaNode(t, ownerIndex)
	bucket := owner.quotaFor(ownedTenant, owner.ratePlan(), entryNodes{10, 100})
	full := bucket.tokens
	owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
	requester.PeerMessage(testStart, ownerIndex, ownerHost.messages[10][0], host)
	requester.AttemptFinished(testStart, Outcome{ID: request.ID, Result: OK, Answered: true, Units: 2}, host)
	for n := range 2 { // the second quota request must not return the units again
		next := ownedQuotaRequest(2 + n)
		next.Units = 0
		requester.RequestArrived(testStart, next, host)
		owner.PeerMessage(testStart, 10, host.messages[ownerIndex][1+n], ownerHost)
		if bucket.tokens != full-2 {
			t.Errorf("%v tokens of %v after quota request %d, want 2 fewer", bucket.tokens, full, n)
		}
	}
}

// Guards against a lost grant that rejects the request, and against a repeated quota request for which the
// owner deducts the units twice.
func TestRepeatedQuotaRequestCountsOnce(t *testing.T) {
	requester, owner, host, ownerHost, bucket, ownerIndex := requesterAndOwner(t)
	full := bucket.tokens
	owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost) // the grant is lost
	token := requester.requests.lastNumber<<timerBits | timerQuotaRequest
	requester.TimerFired(testStart+quotaRequestRepeatAfter, token, host)
	if len(host.messages[ownerIndex]) != 2 {
		t.Fatalf("%d quota requests sent, want 2", len(host.messages[ownerIndex]))
	}
	owner.PeerMessage(testStart+quotaRequestRepeatAfter, 10, host.messages[ownerIndex][1], ownerHost)
	refilled := bucket.plan.Rate / bucket.ownerCount * quotaRequestRepeatAfter.Seconds()
	if want := full - ownedQuotaRequest(1).Units + refilled; math.Abs(bucket.tokens-want) > 1e-6 {
		t.Errorf("%v tokens of %v, want %v after one request", bucket.tokens, full, want)
	}
	requester.PeerMessage(testStart+quotaRequestRepeatAfter+5*ms, ownerIndex, ownerHost.messages[10][1], host)
	if host.count("send") != 1 {
		t.Errorf("actions %v, want one attempt", host.actions)
	}
}

// If a quota request is not answered, either the request or the grant was lost, and both are equally likely.
// The requester therefore reports a correction of half the units. A late grant replaces the estimate. Guards
// against corrections that are missing, reported twice, or kept after a late grant.
func TestUnansweredDecisionsAreCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		received, late bool
		taken          float64 // units deducted at the owner for the request of 5 units
	}{"request lost": {false, false, 2.5}, "grant lost": {true, false, 7.5}, "grant late": {true, true, 5}} {
		requester, owner, host, ownerHost, bucket, ownerIndex := requesterAndOwner(t)
		owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost) // so that the owner has a baseline of the requester's corrections
		requester.concurrency.responseRate = 100                                  // responses per second of a busy node
		bucket.tokens, bucket.refilledAt = 10, owner.now
		request := ownedQuotaRequest(50)
		request.Units = 5
		requester.RequestArrived(testStart+ms, request, host)
		if c.received {
			owner.PeerMessage(testStart+ms, 10, host.messages[ownerIndex][1], ownerHost)
		}
		timeOutQuotaRequest(requester, host, testStart+ms)
		if host.count("send") == 0 {
			t.Fatalf("%s: request not sent: %v", name, host.actions)
		}
		if c.late {
			grants := ownerHost.messages[10]
			requester.PeerMessage(testStart+quotaRequestTimeout+2*ms, ownerIndex, grants[len(grants)-1], host)
		}
		for n := range 2 { // the second quota request must not report the units again
			next := ownedQuotaRequest(60 + n)
			next.Units, host.messages = 0, nil
			requester.RequestArrived(testStart+150*ms, next, host)
			if len(host.messages[ownerIndex]) != 1 {
				t.Fatalf("%s: %d quota requests sent, want 1", name, len(host.messages[ownerIndex]))
			}
			owner.PeerMessage(testStart+150*ms, 10, host.messages[ownerIndex][0], ownerHost)
			want := 10 - c.taken + bucket.plan.Rate/bucket.ownerCount*0.15
			if math.Abs(bucket.tokens-want) > 0.6 { // reported in whole units
				t.Errorf("%s: %v tokens after quota request %d, want %v", name, bucket.tokens, n, want)
			}
		}
	}
}

// Guards against an isolated node that waits for owners, and against an owner that treats a network
// partition as a time without demand. Its bucket would be full after the partition, and it would grant
// again the units that its requesters used in the meantime.
func TestIsolatedNodesNeitherWaitNorRefill(t *testing.T) {
	requester, owner, host, ownerHost, bucket, ownerIndex := requesterAndOwner(t)
	for range maxUnansweredQuotaRequests {
		requester.quotaRequester.recordUnanswered(1)
	}
	host.actions = nil
	requester.RequestArrived(testStart+ms, ownedQuotaRequest(2), host)
	if host.count("send")+host.count("reject") != 1 {
		t.Errorf("an isolated node waits for the owner: actions %v", host.actions)
	}
	now := testStart
	for n := range 40 { // the tenant uses up the owner's tokens over several seconds
		now += 100 * ms
		request := ownedQuotaRequest(100 + n)
		requester.quotaRequester.recordMessage()
		requester.RequestArrived(now, request, host)
		sent := host.messages[ownerIndex]
		owner.PeerMessage(now, 10, sent[len(sent)-1], ownerHost)
	}
	before := bucket.tokens
	owner.now = now + 5*time.Second
	owner.refill(bucket)
	if full := bucket.plan.Burst / bucket.ownerCount; bucket.tokens > before+full/4 {
		t.Errorf("%v tokens after a partition, %v before, limit %v", bucket.tokens, before, before+full/4)
	}
}

// Guards against a second burst after an owner's restart. The new process starts with a full bucket, unless
// requesters report that the tenant is over its quota.
func TestRestartedOwnerGrantsNoSecondBurst(t *testing.T) {
	for _, granted := range []float64{1, 0.5} {
		requester, host := ownedQuotaNode(t, 10)
		requester.overQuota[tenantHash(ownedTenant)] = overQuotaTenant{granted, testStart}
		requester.RequestArrived(testStart, ownedQuotaRequest(1), host)
		ownerIndex := ownerIndexOf(requester)
		owner, ownerHost := ownedQuotaNode(t, ownerIndex)
		owner.PeerMessage(testStart, 10, host.messages[ownerIndex][0], ownerHost)
		if bucket := owner.quotas.buckets[ownedTenant]; bucket.tokens > 0 != (granted == 1) {
			t.Errorf("granted fraction %v: %v tokens, want more than 0 only for 1", granted, bucket.tokens)
		}
	}
}
