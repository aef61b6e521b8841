package agent

import (
	"errors"
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// newHarnessWithSuspectList has published ten endpoints, and has then received an empty list, for which it fetches the list of a
// second replica.
func newHarnessWithSuspectList(t *testing.T) (r *followerHarness, fetch Action) {
	t.Helper()
	r = newFollowerHarness(t, "a", "b", "c")
	r.connect()
	r.receive(snapshotOf(10, 10))
	r.wait(2 * time.Second)
	r.receive(snapshotOf(11, 0))
	r.expectPublished(10, 10)
	if len(r.fetches) != 1 {
		t.Fatalf("fetches %v, want one", r.fetches)
	}
	return r, r.fetches[0]
}

// A suspect list is accepted once a second replica confirms it, or after the timeout where none answers.
func TestSuspectListIsAccepted(t *testing.T) {
	for _, c := range []struct {
		name       string
		answer     discovery.Message
		err        error
		suspectFor time.Duration
	}{
		{"confirmed", snapshotOf(11, 0), nil, 0},
		{"no answer", discovery.Message{}, errors.New("down"), DefaultRules().SuspectTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, fetch := newHarnessWithSuspectList(t)
			r.f.SnapshotReceived(r.now, fetch.Replica, c.answer, c.err)
			r.drain()
			for end := r.now + c.suspectFor; r.now < end; {
				r.expectPublished(10, 10)
				r.f.HeartbeatReceived(r.now, r.f.callID)
				r.wait(time.Second)
			}
			r.wait(DefaultRules().RemovalDelay + time.Millisecond)
			r.expectPublished(0, 11)
		})
	}
}

// A suspect list that a second replica contradicts is dropped, and that replica is followed.
func TestSuspectListIsContradicted(t *testing.T) {
	r, fetch := newHarnessWithSuspectList(t)
	r.f.SnapshotReceived(r.now, fetch.Replica, snapshotOf(12, 10), nil)
	r.drain()
	if call := r.connect(); call.Replica != fetch.Replica {
		t.Errorf("%s is followed, want %s", call.Replica, fetch.Replica)
	}
	r.receive(discovery.Message{Generation: 12, Instances: []discovery.Entry{testEntry(1, discovery.Draining)}})
	r.expectPublished(10, 12)
}

// Endpoints that drain one by one within the window make a list suspect as if they did at once.
func TestGradualLossIsSuspected(t *testing.T) {
	r := newFollowerHarness(t, "a", "b")
	r.connect()
	r.receive(snapshotOf(10, 10))
	for n := range 10 {
		r.receive(discovery.Message{Generation: uint64(11 + n), Instances: []discovery.Entry{testEntry(n, discovery.Draining)}})
	}
	if !r.f.Status(r.now).Suspecting {
		t.Error("the list is not suspected")
	}
	if up := (view{}).apply(r.f.Published()).upCount(); up < 6 {
		t.Errorf("%d endpoints are published as up, want 6 or more", up)
	}
}

func TestLossDetector(t *testing.T) {
	for _, c := range []struct {
		baseline, up int
		want         bool
	}{
		{0, 0, false}, {0, 5, false}, {1, 0, true}, {2, 1, false}, {10, 10, false}, {10, 6, false}, {10, 5, true}, {100, 69, false}, {100, 68, true},
	} {
		d := lossDetector{maxFraction: 0.3, window: time.Minute, baseline: c.baseline}
		if got := d.suspects(c.up); got != c.want {
			t.Errorf("%d of %d endpoints up: suspect %v, want %v", c.up, c.baseline, got, c.want)
		}
	}
}
