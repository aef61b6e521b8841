package agent

import (
	"errors"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opalhook/internal/discovery"
)

// For any sequence of messages, failures and delays, published generations increase, and applying the
// published messages in order results in the published list.
func TestPublishedGenerationsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFollowerHarness(t, "a", "b", "c")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes, generation := map[string]discovery.Entry{}, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rng.IntN(7) {
			case 0:
				h.connect()
			case 1, 2:
				m := snapshotOf(uint64(rng.IntN(2))<<discovery.EpochBits|uint64(rng.IntN(40)), rng.IntN(10))
				h.receive(m)
			case 3, 4:
				h.receive(discovery.Message{Generation: h.follower.latest().generation + uint64(rng.IntN(3)), Entries: []discovery.Entry{testEntry(rng.IntN(10), []string{discovery.Up, discovery.Draining, discovery.Removed}[rng.IntN(3)])}})
			case 5:
				h.follower.CallFailed(h.now, h.follower.callID, time.Duration(rng.IntN(3))*time.Second, errors.New("ended"))
				h.collectActions()
			case 6:
				h.wait(time.Duration(rng.IntN(5000)) * time.Millisecond)
			}
			for _, a := range h.fetches {
				h.follower.SnapshotReceived(h.now, a.Replica, snapshotOf(uint64(rng.IntN(40)), rng.IntN(10)), nil)
			}
			h.fetches = nil
			h.collectActions()
			for _, m := range h.published {
				if m.Generation <= generation {
					t.Fatalf("generation %d is published after %d", m.Generation, generation)
				}
				if m.Snapshot != (generation == 0 || discovery.Epoch(m.Generation) != discovery.Epoch(generation)) {
					t.Fatalf("generation %d is published after %d with snapshot %v", m.Generation, generation, m.Snapshot)
				}
				if m.Snapshot {
					clear(nodes)
				}
				for _, e := range m.Entries {
					if nodes[e.ID] = e; e.Lifecycle == discovery.Removed {
						delete(nodes, e.ID)
					}
				}
				generation = m.Generation
			}
			h.published = nil
			if !maps.Equal(nodes, h.follower.publisher.published.entries) {
				t.Fatalf("nodes have %v, published list is %v", nodes, h.follower.publisher.published.entries)
			}
		}
	})
}

// The follower leaves a replica whose list is older than its own, or that sends changes to a list of another
// epoch. It accepts a complete list of a new epoch, and then no list of the old one.
func TestFollowerLeavesLaggingReplica(t *testing.T) {
	h := newFollowerHarness(t, "a", "b", "c")
	first := h.connect()
	h.receive(snapshotOf(20, 10))
	h.follower.CallFailed(h.now, h.follower.callID, 0, errors.New("gone"))
	second := h.connect()
	if second.Replica == first.Replica || second.From != 20 {
		t.Errorf("call after a failure is %+v, want another replica than %s from generation 20", second, first.Replica)
	}
	h.receive(snapshotOf(19, 10))
	third := h.connect()
	if third.Replica == second.Replica {
		t.Errorf("replica %s with an older list is called again", third.Replica)
	}
	h.receive(discovery.Message{Generation: 21, Entries: []discovery.Entry{testEntry(3, discovery.Draining)}})
	h.expectPublished(10, 21)
	h.receive(discovery.Message{Generation: 1<<discovery.EpochBits | 5, Entries: []discovery.Entry{testEntry(4, discovery.Draining)}}) // changes to a list of another epoch
	h.connect()
	h.receive(snapshotOf(1<<discovery.EpochBits|2, 9)) // complete list of another epoch, as after a restore
	h.expectPublished(9, 1<<discovery.EpochBits|2)
	if m := h.published[len(h.published)-1]; !m.Snapshot {
		t.Error("a new epoch is not published as a complete list")
	}
	for range 3 { // each replica sends the old epoch, which is rejected
		h.follower.CallFailed(h.now, h.follower.callID, 0, errors.New("gone"))
		h.connect()
		h.receive(snapshotOf(25, 10))
	}
	h.expectPublished(9, 1<<discovery.EpochBits|2)
}

// An older complete list is accepted only after the rollback tolerance, during which no replica may have
// confirmed the latest list. Here a replica with the latest list interrupts the first period, so a new period
// starts after it.
func TestRollbackIsAcceptedAfterTolerance(t *testing.T) {
	h := newFollowerHarness(t, "a", "b")
	h.connect()
	h.receive(snapshotOf(20, 10))
	offerOlderLists := func(d time.Duration) {
		for end := h.now + d; h.now < end; {
			h.follower.CallFailed(h.now, h.follower.callID, 0, errors.New("gone"))
			h.connect()
			h.receive(snapshotOf(5, 10))
		}
	}
	offerOlderLists(time.Second)
	h.connect() // this replica has generation 20, so it sends only heartbeats
	for end := h.now + 2*DefaultRules().RollbackTolerance; h.now < end; h.wait(time.Second) {
		h.follower.HeartbeatReceived(h.now, h.follower.callID)
	}
	offerOlderLists(DefaultRules().RollbackTolerance / 2)
	h.expectPublished(10, 20)
	offerOlderLists(DefaultRules().RollbackTolerance)
	h.expectPublished(10, 5)
}
