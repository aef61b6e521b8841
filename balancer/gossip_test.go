package balancer

import (
	"testing"
	"time"
)

// Guards against entries that are applied twice or never when messages are lost, repeated, late, or sent
// before the peer's restart.
func TestGossipOrder(t *testing.T) {
	type message struct {
		epoch, sequence   uint64
		entries, previous bool // whether its entries, and those of the previous message, are new
	}
	for name, messages := range map[string][]message{
		"in order":     {{1, 1, true, false}, {1, 2, true, false}, {1, 3, true, false}},
		"one lost":     {{1, 1, true, false}, {1, 3, true, true}},
		"first lost":   {{1, 2, true, true}},
		"repeated":     {{1, 1, true, false}, {1, 1, false, false}, {1, 2, true, false}},
		"late":         {{1, 2, true, true}, {1, 1, false, false}},
		"restarted":    {{1, 7, true, true}, {2, 1, true, false}, {1, 8, false, false}, {2, 2, true, false}},
		"two restarts": {{1, 1, true, false}, {2, 1, true, false}, {3, 1, true, false}, {2, 2, false, false}},
		// The zero value of the epoch of an unknown peer must not count as its epoch before a restart.
		"epoch 0": {{0, 1, true, false}, {0, 2, true, false}},
	} {
		var peer gossipPeer
		for i, m := range messages {
			if entries, previous := peer.accept(m.epoch, m.sequence); entries != m.entries || previous != m.previous {
				t.Errorf("%s: message %d: new entries %v, previous %v; want %v, %v", name, i, entries, previous, m.entries, m.previous)
			}
		}
	}
}

func TestGossipInterval(t *testing.T) {
	for _, c := range []struct {
		nodes     int
		perSecond float64
		tick      time.Duration
		want      time.Duration
	}{
		{3, 0, ms, controlInterval},
		{101, 50, ms, 2600 * ms}, // 100 peers times 1.3 / 50 s
		{2, 1000, ms, minGossipInterval},
		{2, 1000, 70 * ms, 70 * ms},
	} {
		settings := Settings{NodeCount: c.nodes, PeerMessagesPerSecond: c.perSecond, Tick: c.tick}
		if got := gossipInterval(&settings); got != c.want {
			t.Errorf("%+v: interval %v, want %v", c, got, c.want)
		}
	}
}

// A bucket stays queued for gossip until its use is reported. A bucket with a concurrency limit stays queued
// until the last reports contain no attempts in flight. Guards against use that is never reported and
// buckets that are reported forever.
func TestGossipQueue(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 2
	gossip := newGossiper(&settings, 1)
	codec := codec{settings.Plans, settings.NodeCount}
	plan := func(limit int) *quotaPlan { return &quotaPlan{Plan{Rate: 1, MaxConcurrent: limit}, 0} }
	rated := &quotaBucket{plan: plan(0), entryNodes: entryNodes{0, 2}, quotaShares: 2, ownerCount: 1}
	limited := &quotaBucket{tenant: 1, plan: plan(1), entryNodes: entryNodes{0, 2}, quotaShares: 2, ownerCount: 1}
	owned := &quotaBucket{plan: plan(0), entryNodes: entryNodes{0, 2}, quotaShares: 1, ownerCount: 1, owned: true}
	limited.attemptStarted()
	for range 2 { // the second call must not queue a bucket again
		gossip.markUnreported(rated)
		gossip.markUnreported(limited)
		gossip.markUnreported(owned)
	}
	if len(gossip.unreported) != 2 {
		t.Fatalf("%d buckets queued, want 2", len(gossip.unreported))
	}
	host := &hostRecorder{}
	round := func(want int) {
		t.Helper()
		if gossip.sendRound(&codec, host); len(gossip.unreported) != want {
			t.Errorf("%d buckets queued, want %d", len(gossip.unreported), want)
		}
	}
	for range 5 {
		round(1) // the bucket with an attempt in flight
	}
	limited.attemptFinished()
	for range finalIdleReports - 1 {
		round(1)
	}
	round(0)
	sent := len(host.messages[1])
	if round(0); len(host.messages[1]) != sent+1 {
		t.Error("the entries of the last report were not repeated")
	}
	if round(0); len(host.messages[1]) != sent+1 {
		t.Error("a message without entries was sent")
	}
}

// Units are reported as whole numbers. Guards against losing the rounding remainders, which later reports
// must include.
func TestReportedUnitsAddUp(t *testing.T) {
	bucket := splitBucket(Plan{Rate: 1}, 2)
	reported := 0.0
	for range 10 {
		bucket.acquire(0.7)
		entry := bucket.gossipEntry()
		codec := testCodec()
		var batch entryBatch
		codec.appendEntry(&batch, &entry)
		message, ok := codec.decodeGossip(encodeGossip(1, 1, batch, entryBatch{}))
		if !ok {
			t.Fatal("the encoded message is malformed")
		}
		reported += message.entries[0].units
		bucket.closeGossipRound()
	}
	if reported != 7 {
		t.Errorf("%v units reported, want 7", reported)
	}
}
