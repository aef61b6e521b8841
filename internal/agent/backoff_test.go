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

// While no replica answers, what is held stays, and calls keep to the budget, Retry-After and random backoffs.
func TestCallsInAnOutageAreBounded(t *testing.T) {
	var at []time.Duration
	for seed := range uint64(100) {
		f := NewFollower(0, fmt.Sprint("m", seed), []string{"a", "b", "c"}, DefaultRules(), seed)
		r := &followerHarness{t: t, f: f}
		r.connect()
		r.receive(snapshotOf(10, 10))
		f.CallFailed(r.now, f.callID, 0, errors.New("gone"))
		for start := r.now; r.now < start+time.Hour; r.wait(50 * time.Millisecond) {
			if n := len(r.watches); n > 0 && f.state != backingOff {
				at = append(at, r.now-start)
				f.CallFailed(r.now, f.callID, 2*time.Second, errors.New("refused"))
				r.drain()
			}
		}
		r.expectPublished(10, 10)
	}
	perHour := float64(len(at)) / 100
	if perHour > 1900 || perHour < 300 {
		t.Errorf("%.0f calls of a follower in an hour's outage", perHour)
	}
	bySecond := map[int]int{}
	for _, t := range at {
		bySecond[int(t/time.Second)]++
	}
	if worst := slices.Max(slices.Collect(maps.Values(bySecond))); worst > 100 {
		t.Errorf("%d calls of 100 followers in one second", worst)
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
			t.Errorf("at %v: a call is allowed %v, want %v", c.now, got, c.want)
		}
	}
	if wait := budget.untilNext(); wait != 2*time.Second+time.Millisecond {
		t.Errorf("the next call is allowed after %v, want 2.001s", wait)
	}
}

// The window doubles each time that all replicas have failed, up to its limit, and starts anew after a healthy one.
func TestBackoffWindow(t *testing.T) {
	rules := DefaultRules()
	b := newBackoff(rules, rand.New(rand.NewPCG(1, 2)))
	for failure := range 30 {
		window := min(rules.InitialBackoff<<(failure/3), rules.MaxBackoff)
		if wait := b.fail(3, 0); wait < window/4 || wait >= window/4+window {
			t.Errorf("failure %d: wait %v, want a quarter of %v and a part of it", failure, wait, window)
		}
	}
	if wait := b.fail(3, 20*time.Second); wait < 20*time.Second || wait >= 40*time.Second {
		t.Errorf("wait %v, want from 20s to 40s as advised", wait)
	}
	b.reset()
	if wait := b.fail(3, 0); wait > rules.InitialBackoff*5/4 {
		t.Errorf("wait %v after a healthy replica", wait)
	}
}

// An outage is logged once at its begin and once at its end.
func TestOutageIsLoggedOnce(t *testing.T) {
	r := newFollowerHarness(t, "a", "b")
	for range 5 {
		r.connect()
		r.f.CallFailed(r.now, r.f.callID, 0, errors.New("refused"))
		r.drain()
	}
	r.connect()
	r.receive(snapshotOf(10, 10))
	r.f.HeartbeatReceived(r.now, r.f.callID)
	r.drain()
	var messages []string
	for _, e := range r.events {
		messages = append(messages, e.Message)
	}
	if want := []string{"replica left", "replica followed again"}; !slices.Equal(messages, want) {
		t.Errorf("logged %q, want %q", messages, want)
	}
}
