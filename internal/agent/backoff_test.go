package agent

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// While no replica answers, followers keep their lists, and the backoffs and the call budget bound the number
// of their calls. Followers whose calls fail at the same time do not repeat them at the same time.
func TestCallsInAnOutageAreBounded(t *testing.T) {
	var callTimes []time.Duration
	for seed := range uint64(100) {
		follower := NewFollower(0, fmt.Sprint("m", seed), []string{"a", "b", "c"}, DefaultRules(), seed)
		h := &followerHarness{t: t, follower: follower}
		h.connect()
		h.receive(snapshotOf(10, 10))
		follower.CallFailed(h.now, follower.callID, 0, errors.New("gone"))
		for start := h.now; h.now < start+time.Hour; h.wait(50 * time.Millisecond) {
			if n := len(h.watches); n > 0 && follower.state != backingOff {
				callTimes = append(callTimes, h.now-start)
				follower.CallFailed(h.now, follower.callID, 2*time.Second, errors.New("refused"))
				h.collectActions()
			}
		}
		h.expectPublished(10, 10)
	}
	perHour := float64(len(callTimes)) / 100
	if perHour > 1900 || perHour < 300 {
		t.Errorf("%.0f calls of a follower in an outage of one hour, want 300 to 1900", perHour)
	}
	bySecond := map[int]int{}
	for _, t := range callTimes {
		bySecond[int(t/time.Second)]++
	}
	if worst := slices.Max(slices.Collect(maps.Values(bySecond))); worst > 100 {
		t.Errorf("%d calls of 100 followers in one second, want at most 100", worst)
	}
}

func TestCallBudget(t *testing.T) {
	rules := DefaultRules()
	rules.CallsPerSecond, rules.CallBurst = 0.5, 2
	budget := newCallBudget(0, rules)
	for _, c := range []struct {
		now  time.Duration
		want bool
	}{
		{0, true},
		{0, true},
		{0, false},
		{time.Second, false},
		{2 * time.Second, true},
		{2 * time.Second, false},
		{time.Hour, true},
		{time.Hour, true},
		{time.Hour, false},
	} {
		if got := budget.spend(c.now); got != c.want {
			t.Errorf("at %v: call allowed: %v, want %v", c.now, got, c.want)
		}
	}
	if wait := budget.untilNext(); wait != 2*time.Second+time.Millisecond {
		t.Errorf("the next call is allowed after %v, want 2.001s", wait)
	}
}

// The window doubles each time all replicas have failed, up to its limit, and is reset by a healthy replica.
func TestBackoffWindow(t *testing.T) {
	rules := DefaultRules()
	b := newBackoff(rules, rand.New(rand.NewPCG(1, 2)))
	for failure := range 30 {
		window := min(rules.InitialBackoff<<(failure/3), rules.MaxBackoff)
		if wait := b.fail(3, 0); wait < window/4 || wait >= window/4+window {
			t.Errorf("failure %d: wait %v, want from 0.25 to 1.25 times %v", failure, wait, window)
		}
	}
	if wait := b.fail(3, 20*time.Second); wait < 20*time.Second || wait >= 40*time.Second {
		t.Errorf("wait %v, want from 20s to 40s for a Retry-After of 20s", wait)
	}
	b.reset()
	if wait := b.fail(3, 0); wait > rules.InitialBackoff*5/4 {
		t.Errorf("wait %v after a healthy replica, want at most %v", wait, rules.InitialBackoff*5/4)
	}
}

// An outage is logged once when it starts and once when it ends, however many calls fail.
func TestOutageIsLoggedOnce(t *testing.T) {
	h := newFollowerHarness(t, "a", "b")
	for range 5 {
		h.connect()
		h.follower.CallFailed(h.now, h.follower.callID, 0, errors.New("refused"))
		h.collectActions()
	}
	h.connect()
	h.receive(snapshotOf(10, 10))
	h.follower.HeartbeatReceived(h.now, h.follower.callID)
	h.collectActions()
	var messages []string
	for _, e := range h.records {
		messages = append(messages, e.Message)
	}
	if want := []string{"replica left", "replica followed again"}; !slices.Equal(messages, want) {
		t.Errorf("logged %q, want %q", messages, want)
	}
}
