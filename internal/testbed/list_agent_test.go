package testbed

import (
	"testing"
	"time"
)

// A change that an agent gets counts as delivered to the node at the time that the platform defines. The time
// depends on whether lists are polled, on the node's watch and on its last move.
func TestDeliveredAt(t *testing.T) {
	const now = 20 * time.Second
	for _, c := range []struct {
		name             string
		polled, watching bool
		failed           bool          // the latest call failed
		silent, moved    time.Duration // 0: never
		want             time.Duration // 0: when the change is written
	}{
		{"pushed", false, true, false, 0, 0, now},
		{"pushed, no watch", false, false, false, 0, 0, now},
		{"pushed, watch just silent", false, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"pushed, watch long silent", false, false, false, 10 * time.Second, 0, now},
		{"pushed, moved", false, false, false, 0, 18 * time.Second, 22 * time.Second},
		{"polled, watching", true, true, false, 0, 0, 0},
		{"polled, watch silent", true, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"polled, no watch", true, false, false, 0, 0, 30 * time.Second},
		{"polled, call rejected", true, false, true, 0, 0, 60 * time.Second},
	} {
		env := &environment{scenario: &Scenario{Fleet: Fleet{ListPolled: c.polled}}}
		a := &agent{list: &list{env: env}, watches: map[*openWatch]struct{}{}, silentAt: c.silent, lastCallFailed: c.failed}
		if c.watching {
			a.addWatch()
		}
		at, ok := a.deliveredAt(now, c.moved)
		if ok != (c.want != 0) || ok && at != c.want {
			t.Errorf("%s: delivered at %v, %v, want %v", c.name, at, ok, c.want)
		}
	}
}
