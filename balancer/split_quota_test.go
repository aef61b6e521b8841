package balancer

import (
	"testing"
	"time"
)

// ratePlan returns the plan named "rate".
func (b *Balancer) ratePlan() *quotaPlan { return b.quotas.plan(b.planIndex["rate"]) }

func TestSplitQuotaBetweenRounds(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	node, host := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = 2
	// A new bucket contains 40/2 units. One of two nodes may acquire half of them before the next round.
	if n := sendBurst(node, host, testStart, 50, request); n != 10 {
		t.Errorf("%d requests sent before the first round, want 10", n)
	}
	node.TimerFired(testStart, timerGossip, host)
	if n := sendBurst(node, host, testStart, 50, request); n != 5 {
		t.Errorf("%d requests sent before the second round, want 5", n)
	}
}

// Guards against a tenant whose requests are all rejected because each node's share of the bucket is smaller
// than a request.
func TestSmallSplitQuotaAdmitsOneRequest(t *testing.T) {
	settings := testSettings()
	settings.NodeCount, settings.Plans[1].Rate, settings.Plans[1].Burst = 3, 0.5, 2
	node, host := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = 3
	now := testStart + 4*time.Second
	if n := sendBurst(node, host, now, 5, request); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// Guards against reported units that are deducted twice or never when a message is lost, repeated or late.
func TestGossipSurvivesLossAndReordering(t *testing.T) {
	for name, order := range map[string][]int{
		"in order": {0, 1, 2}, "middle lost": {0, 2}, "twice": {0, 0, 1, 1, 2, 2}, "late": {1, 0, 2},
	} {
		settings := testSettings()
		settings.NodeCount = 2
		a, hostA := newTestBalancer(t, settings, equalEndpoints(4)...)
		settings.NodeIndex = 1
		b, hostB := newTestBalancer(t, settings, equalEndpoints(4)...)
		request := newRequest(0, "safe", "rate", 1)
		request.EntryNodes = 2
		for i := 0; i < 3; i++ {
			now := testStart + time.Duration(i)*ms
			sendBurst(a, hostA, now, 3, request)
			a.TimerFired(now, timerGossip, hostA)
		}
		for _, i := range order {
			b.PeerMessage(testStart, 0, hostA.messages[1][i], hostB)
		}
		if got := 20 - b.quotas.buckets[1].tokens; got != 9 {
			t.Errorf("%s: %v units deducted, want 9", name, got)
		}
	}
}

// Guards against losing the entries that do not fit into the first message of a gossip round.
func TestEveryEntryIsSent(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	a, hostA := newTestBalancer(t, settings, equalEndpoints(40)...)
	settings.NodeIndex = 1
	b, hostB := newTestBalancer(t, settings, equalEndpoints(4)...)
	for tenant := range uint64(100) {
		request := newRequest(0, "safe", "rate", tenant<<25)
		request.EntryNodes = 2
		sendBurst(a, hostA, testStart, 1, request)
		a.concurrency.inFlight = 0
	}
	a.TimerFired(testStart, timerGossip, hostA)
	for _, m := range hostA.messages[1] {
		if len(m) > maxMessageBytes {
			t.Errorf("message of %d bytes, want at most %d", len(m), maxMessageBytes)
		}
		b.PeerMessage(testStart, 0, m, hostB)
	}
	if len(b.quotas.buckets) != 100 {
		t.Errorf("%d tenants reported, want 100", len(b.quotas.buckets))
	}
}

// Nodes can together acquire more units than the quota contains. Guards against losing that deficit: the
// tokens must fall below 0.
func TestTokenDeficitIsKept(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	a, hostA := newTestBalancer(t, settings, equalEndpoints(4)...)
	settings.NodeIndex = 1
	b, hostB := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = 2
	for i := 0; i < 6; i++ {
		sendBurst(a, hostA, testStart, 9, request)
		a.TimerFired(testStart, timerGossip, hostA)
		request.Tenant = 1
		request.ID = ""
		request.Units = 1
		sendBurst(b, hostB, testStart+time.Duration(i)*ms, 9, request)
		b.TimerFired(testStart+time.Duration(i)*ms, timerGossip, hostB)
	}
	for _, m := range hostA.messages[1] {
		b.PeerMessage(testStart+6*ms, 0, m, hostB)
	}
	if b.quotas.buckets[1].tokens >= 0 {
		t.Errorf("%v tokens after both nodes acquired most of them, want a deficit", b.quotas.buckets[1].tokens)
	}
}

// Guards against nodes that each admit a request of a rejected tenant as soon as the tokens suffice for one.
func TestCongestedTenantWaitsForAllNodes(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 3
	node, host := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = 3
	sendBurst(node, host, testStart, 30, request)
	node.quotas.buckets[1].tokens = 1.5
	node.TimerFired(testStart, timerGossip, host)
	if n := sendBurst(node, host, testStart+ms, 5, request); n != 0 {
		t.Errorf("%d requests sent with tokens for one of three nodes, want 0", n)
	}
	if n := sendBurst(node, host, testStart+60*ms, 5, request); n != 1 {
		t.Errorf("%d requests sent with tokens for all nodes, want 1", n)
	}
}

func TestMalformedGossipIsIgnored(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	a, hostA := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = 2
	sendBurst(a, hostA, testStart, 3, request)
	a.TimerFired(testStart, timerGossip, hostA)
	good := hostA.messages[1][0]
	settings.NodeIndex = 1
	for n := 0; n < len(good); n++ {
		b, hostB := newTestBalancer(t, settings, equalEndpoints(4)...)
		b.PeerMessage(testStart, 0, good[:n], hostB)
		b.PeerMessage(testStart, 7, good, hostB)
		b.PeerMessage(testStart, 1, good, hostB)
		b.PeerMessage(testStart, 0, append([]byte{0xff, 0xff}, good[:n]...), hostB)
		if len(b.quotas.buckets) != 0 || len(hostB.actions) != 0 {
			t.Fatalf("an invalid message, truncated to %d of %d bytes or from an invalid sender, was applied", n, len(good))
		}
	}
}

func FuzzPeerMessage(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 1, 1, 5, 0, 2, 0})
	f.Add([]byte{1, 1, 255, 255, 255, 255, 15, 5, 0, 2, 0})
	split, owned := testSettings(), testSettings()
	split.NodeCount = 3
	owned.NodeCount, owned.PeerMessagesPerSecond = 300, 40
	codec, attached := codec{owned.Plans, owned.NodeCount}, testPiggyback()
	f.Add(codec.encodeQuotaRequest(&quotaRequest{entryNodes: entryNodes{0, 100}, units: 1}, &attached))
	f.Add(encodeQuotaGrant(&quotaGrant{number: 1, retryAfter: time.Second}, &attached))
	f.Add(encodeQuotaRelease(quotaRelease{units: 1}))
	f.Add(encodeReconciliationMessage(0, reconciliation{1, 7}))
	f.Fuzz(func(t *testing.T, message []byte) {
		for _, settings := range []Settings{split, owned} {
			node, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			host := &hostRecorder{}
			node.Start(testStart, host)
			node.PeerMessage(testStart, 1, message, host)
			if len(node.quotas.buckets) > len(message) {
				t.Errorf("%d buckets created by a message of %d bytes", len(node.quotas.buckets), len(message))
			}
		}
	})
}

// Guards against a concurrency limit that ignores the attempts in flight at peers.
func TestConcurrencyQuotaCountsPeers(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	a, hostA := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "open", 1)
	request.EntryNodes = 2
	sentA := sendBurst(a, hostA, testStart, 9, request)
	a.TimerFired(testStart, timerGossip, hostA)
	settings.NodeIndex = 1
	b, hostB := newTestBalancer(t, settings, equalEndpoints(4)...)
	b.PeerMessage(testStart, 0, hostA.messages[1][0], hostB)
	for i := 0; i < 9; i++ {
		sendBurst(b, hostB, testStart, 9, request)
		b.TimerFired(testStart, timerGossip, hostB)
	}
	if got := sentA + hostB.count("send"); sentA == 0 || got < 5 || got > 6 {
		t.Errorf("%d attempts in flight, %d of them at the peer; want 5 or 6", got, sentA)
	}
}

// Rule 5 (the hard limit is never exceeded): a node that has just started must not admit requests, because
// its previous process may have used up its part of the limit.
func TestNewNodeHardLimitStartsEmpty(t *testing.T) {
	settings := testSettings()
	node, host := newTestBalancer(t, settings, equalEndpoints(4)...)
	request := newRequest(0, "safe", "hard", 1)
	if n := sendBurst(node, host, testStart, 30, request); n != 0 {
		t.Errorf("%d requests sent at the start, want 0", n)
	}
	if n := sendBurst(node, host, testStart+200*ms, 30, request); n != 5 {
		t.Errorf("%d requests sent after 200 ms at 25 per second, want 5", n)
	}
}

// With post-paid units, the response reports the units that a request used. Guards against charging the
// estimate instead.
func TestUsedUnitsAreReconciled(t *testing.T) {
	settings := testSettings()
	settings.PostPaid = true
	node, host := newTestBalancer(t, settings, equalEndpoints(2)...)
	node.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), host)
	node.AttemptFinished(testStart, Outcome{ID: "r1", Result: OK, Answered: true, Units: 4}, host)
	if got := node.quotas.buckets[1].tokens; got != 36 {
		t.Errorf("%v tokens, want 36", got)
	}
}

// Guards against tenants that are seen only once and fill the memory with idle buckets.
func TestIdleTenantsAreDropped(t *testing.T) {
	node, host := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	for i := 0; i < 20000; i++ {
		now := testStart + time.Duration(i)*ms
		node.RequestArrived(now, newRequest(i, "safe", "rate", uint64(i)), host)
		respondToAll(node, host, now, ms)
		if i%100 == 0 {
			node.TimerFired(now, timerControlInterval, host)
		}
	}
	if len(node.quotas.buckets) > 5000 || len(node.quotas.buckets) != len(node.quotas.order) {
		t.Errorf("%d buckets, want at most 5000; %d in order, want the same number", len(node.quotas.buckets), len(node.quotas.order))
	}
}
