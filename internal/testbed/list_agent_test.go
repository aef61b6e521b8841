package testbed

import (
	"testing"
	"time"
)

// When what an agent gets counts as told, by the platform's terms.
func TestDeliveredAt(t *testing.T) {
	const now = 20 * time.Second
	for _, c := range []struct {
		name            string
		asked, watching bool
		failed          bool
		silent, moved   time.Duration
		want            time.Duration // 0: when it is written
	}{
		{"pushed", false, true, false, 0, 0, now},
		{"pushed, no watch", false, false, false, 0, 0, now},
		{"pushed, watch just silent", false, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"pushed, watch long silent", false, false, false, 10 * time.Second, 0, now},
		{"pushed, moved", false, false, false, 0, 18 * time.Second, 22 * time.Second},
		{"asked, watching", true, true, false, 0, 0, 0},
		{"asked, watch silent", true, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"asked, no watch", true, false, false, 0, 0, 30 * time.Second},
		{"asked, turned away", true, false, true, 0, 0, 60 * time.Second},
	} {
		w := &environment{scenario: &Scenario{Fleet: Fleet{ListPolled: c.asked}}}
		a := &agent{list: &list{env: w}, watches: map[*openWatch]struct{}{}, silentAt: c.silent, lastCallFailed: c.failed}
		if c.watching {
			a.addWatch()
		}
		at, ok := a.deliveredAt(now, c.moved)
		if ok != (c.want != 0) || ok && at != c.want {
			t.Errorf("%s: told at %v, %v, want %v", c.name, at, ok, c.want)
		}
	}
}
