package agent

import (
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// An endpoint that is removed and returns within the removal delay causes no publication. The removal is
// published if the endpoint stays away for the delay, and immediately if it was draining before.
func TestFlapIsNotPublished(t *testing.T) {
	h := newFollowerHarness(t, "a", "b")
	h.connect()
	h.receive(snapshotOf(10, 10))
	n := len(h.published)
	for g := uint64(11); g < 31; g += 2 {
		h.receive(discovery.Message{Generation: g, Entries: []discovery.Entry{testEntry(3, discovery.Removed)}})
		h.wait(300 * time.Millisecond)
		h.receive(discovery.Message{Generation: g + 1, Entries: []discovery.Entry{testEntry(3, discovery.Up)}})
		h.wait(time.Second)
		h.follower.HeartbeatReceived(h.now, h.follower.callID)
	}
	if len(h.published) != n {
		t.Errorf("a flapping endpoint causes %d messages, want none", len(h.published)-n)
	}
	h.receive(discovery.Message{Generation: 40, Entries: []discovery.Entry{testEntry(3, discovery.Removed)}})
	h.wait(DefaultRules().RemovalDelay + time.Millisecond)
	h.expectPublished(9, 40)
	h.receive(discovery.Message{Generation: 41, Entries: []discovery.Entry{testEntry(4, discovery.Draining)}})
	h.receive(discovery.Message{Generation: 42, Entries: []discovery.Entry{testEntry(4, discovery.Removed)}}) // it was draining, so the removal is not delayed
	h.expectPublished(8, 42)
	moved := testEntry(5, discovery.Up)
	moved.Addr = "127.0.0.2:7"
	h.receive(discovery.Message{Generation: 43, Entries: []discovery.Entry{moved}})
	if m := h.published[len(h.published)-1]; len(m.Entries) != 1 || m.Entries[0] != moved {
		t.Errorf("an endpoint with a new address is published as %+v, want %+v", m, moved)
	}
}
