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

// Whatever replicas send, in whatever order, generations never go back for the nodes, and the changes that they get add
// up to the complete list.
func TestPublishedGenerationsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFollowerHarness(t, "a", "b", "c")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes, at := map[string]discovery.Entry{}, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rng.IntN(7) {
			case 0:
				r.connect()
			case 1, 2:
				m := snapshotOf(uint64(rng.IntN(2))<<discovery.EpochBits|uint64(rng.IntN(40)), rng.IntN(10))
				r.receive(m)
			case 3, 4:
				r.receive(discovery.Message{Generation: r.f.latest().generation + uint64(rng.IntN(3)), Instances: []discovery.Entry{testEntry(rng.IntN(10), []string{discovery.Up, discovery.Draining, discovery.Removed}[rng.IntN(3)])}})
			case 5:
				r.f.CallFailed(r.now, r.f.callID, time.Duration(rng.IntN(3))*time.Second, errors.New("ended"))
				r.drain()
			case 6:
				r.wait(time.Duration(rng.IntN(5000)) * time.Millisecond)
			}
			for _, a := range r.fetches {
				r.f.SnapshotReceived(r.now, a.Replica, snapshotOf(uint64(rng.IntN(40)), rng.IntN(10)), nil)
			}
			r.fetches = nil
			r.drain()
			for _, m := range r.published {
				if m.Generation <= at {
					t.Fatalf("version %d after %d", m.Generation, at)
				}
				if m.Reset != (at == 0 || discovery.Epoch(m.Generation) != discovery.Epoch(at)) {
					t.Fatalf("version %d after %d: reset is %v", m.Generation, at, m.Reset)
				}
				if m.Reset {
					clear(nodes)
				}
				for _, e := range m.Instances {
					if nodes[e.InstanceID] = e; e.Lifecycle == discovery.Removed {
						delete(nodes, e.InstanceID)
					}
				}
				at = m.Generation
			}
			r.published = nil
			if !maps.Equal(nodes, r.f.publisher.published.entries) {
				t.Fatalf("nodes hold %v, published is %v", nodes, r.f.publisher.published.entries)
			}
		}
	})
}

// A replica that lags, or whose list is of another epoch, is left for the next one.
func TestFollowerLeavesLaggingReplica(t *testing.T) {
	r := newFollowerHarness(t, "a", "b", "c")
	first := r.connect()
	r.receive(snapshotOf(20, 10))
	r.f.CallFailed(r.now, r.f.callID, 0, errors.New("gone"))
	second := r.connect()
	if second.Replica == first.Replica || second.From != 20 {
		t.Errorf("after a failure %+v is called", second)
	}
	r.receive(snapshotOf(19, 10))
	third := r.connect()
	if third.Replica == second.Replica {
		t.Errorf("a replica whose list went back is called again")
	}
	r.receive(discovery.Message{Generation: 21, Instances: []discovery.Entry{testEntry(3, discovery.Draining)}})
	r.expectPublished(10, 21)
	r.receive(discovery.Message{Generation: 1<<discovery.EpochBits | 5, Instances: []discovery.Entry{testEntry(4, discovery.Draining)}}) // a change to a list of another epoch
	r.connect()
	r.receive(snapshotOf(1<<discovery.EpochBits|2, 9)) // restored
	r.expectPublished(9, 1<<discovery.EpochBits|2)
	if m := r.published[len(r.published)-1]; !m.Reset {
		t.Error("a new epoch is not published as a complete list")
	}
	for range 3 { // the old epoch is rejected from every replica
		r.f.CallFailed(r.now, r.f.callID, 0, errors.New("gone"))
		r.connect()
		r.receive(snapshotOf(25, 10))
	}
	r.expectPublished(9, 1<<discovery.EpochBits|2)
}

// A list whose generations went back is accepted only after a long time in which no replica had the generation that is
// held.
func TestRollbackIsAcceptedAfterTolerance(t *testing.T) {
	r := newFollowerHarness(t, "a", "b")
	r.connect()
	r.receive(snapshotOf(20, 10))
	past := func(d time.Duration) {
		for end := r.now + d; r.now < end; {
			r.f.CallFailed(r.now, r.f.callID, 0, errors.New("gone"))
			r.connect()
			r.receive(snapshotOf(5, 10))
		}
	}
	past(time.Second)
	r.connect() // this one has generation 20: it sends heartbeats and no message
	for end := r.now + 2*DefaultRules().RollbackTolerance; r.now < end; r.wait(time.Second) {
		r.f.HeartbeatReceived(r.now, r.f.callID)
	}
	past(DefaultRules().RollbackTolerance / 2)
	r.expectPublished(10, 20)
	past(DefaultRules().RollbackTolerance)
	r.expectPublished(10, 5)
}
