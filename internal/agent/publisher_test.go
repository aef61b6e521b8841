package agent

import (
	"testing"
	"time"

	"opalhook/internal/discovery"
)

// An endpoint that is removed and back at once is not published; one that stays away is.
func TestFlapIsNotPublished(t *testing.T) {
	r := newFollowerHarness(t, "a", "b")
	r.connect()
	r.receive(snapshotOf(10, 10))
	n := len(r.published)
	for g := uint64(11); g < 31; g += 2 {
		r.receive(discovery.Message{Generation: g, Instances: []discovery.Entry{testEntry(3, discovery.Removed)}})
		r.wait(300 * time.Millisecond)
		r.receive(discovery.Message{Generation: g + 1, Instances: []discovery.Entry{testEntry(3, discovery.Up)}})
		r.wait(time.Second)
		r.f.HeartbeatReceived(r.now, r.f.callID)
	}
	if len(r.published) != n {
		t.Errorf("a flapping endpoint is published %d times", len(r.published)-n)
	}
	r.receive(discovery.Message{Generation: 40, Instances: []discovery.Entry{testEntry(3, discovery.Removed)}})
	r.wait(DefaultRules().RemovalDelay + time.Millisecond)
	r.expectPublished(9, 40)
	r.receive(discovery.Message{Generation: 41, Instances: []discovery.Entry{testEntry(4, discovery.Draining)}})
	r.receive(discovery.Message{Generation: 42, Instances: []discovery.Entry{testEntry(4, discovery.Removed)}}) // it drained first: removed at once
	r.expectPublished(8, 42)
	moved := testEntry(5, discovery.Up)
	moved.HostPort = "127.0.0.2:7"
	r.receive(discovery.Message{Generation: 43, Instances: []discovery.Entry{moved}})
	if m := r.published[len(r.published)-1]; len(m.Instances) != 1 || m.Instances[0] != moved {
		t.Errorf("an endpoint that moved is published as %+v", m)
	}
}
