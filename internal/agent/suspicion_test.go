package agent

import (
	"errors"
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// newHarnessWithSuspectList returns a harness whose follower has published ten endpoints and then received an
// empty list. It also returns the follower's action to fetch the list of a second replica.
func newHarnessWithSuspectList(t *testing.T) (h *followerHarness, fetch Action) {
	t.Helper()
	h = newFollowerHarness(t, "a", "b", "c")
	h.connect()
	h.receive(snapshotOf(10, 10))
	h.wait(2 * time.Second)
	h.receive(snapshotOf(11, 0))
	h.expectPublished(10, 10)
	if len(h.fetches) != 1 {
		t.Fatalf("fetches %v, want one", h.fetches)
	}
	return h, h.fetches[0]
}

// A suspect list is accepted when a second replica confirms it, or after the timeout if no other replica
// answers.
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
			h, fetch := newHarnessWithSuspectList(t)
			h.follower.SnapshotReceived(h.now, fetch.Replica, c.answer, c.err)
			h.collectActions()
			for end := h.now + c.suspectFor; h.now < end; {
				h.expectPublished(10, 10)
				h.follower.HeartbeatReceived(h.now, h.follower.callID)
				h.wait(time.Second)
			}
			h.wait(DefaultRules().RemovalDelay + time.Millisecond)
			h.expectPublished(0, 11)
		})
	}
}

// When a second replica contradicts a suspect list, the follower drops the list and follows that replica.
func TestSuspectListIsContradicted(t *testing.T) {
	h, fetch := newHarnessWithSuspectList(t)
	h.follower.SnapshotReceived(h.now, fetch.Replica, snapshotOf(12, 10), nil)
	h.collectActions()
	if call := h.connect(); call.Replica != fetch.Replica {
		t.Errorf("%s is followed, want %s", call.Replica, fetch.Replica)
	}
	h.receive(discovery.Message{Generation: 12, Entries: []discovery.Entry{testEntry(1, discovery.Draining)}})
	h.expectPublished(10, 12)
}

// Losses add up over the window: a list also becomes suspect if its endpoints start draining one by one.
func TestGradualLossIsSuspected(t *testing.T) {
	h := newFollowerHarness(t, "a", "b")
	h.connect()
	h.receive(snapshotOf(10, 10))
	for n := range 10 {
		h.receive(discovery.Message{Generation: uint64(11 + n), Entries: []discovery.Entry{testEntry(n, discovery.Draining)}})
	}
	if !h.follower.Status(h.now).Suspecting {
		t.Error("the list is not suspect")
	}
	if up := (view{}).apply(h.follower.Published()).upCount(); up < 6 {
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
