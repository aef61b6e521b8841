package scale

import (
	"math"
	"testing"
	"time"

	"opalhook/balancer"
)

// hostAlone returns a node without a list, and a request that it has.
func hostAlone(t *testing.T) (*node, *openRequest) {
	t.Helper()
	f := newFleet(1, 24, 1)
	n, err := f.add(0)
	if err != nil {
		t.Fatal(err)
	}
	plan := &fleetPlans()[0]
	q := &openRequest{
		id: "r", units: 4, used: 4, due: f.clock.now + secondsToAnswer,
		tenant: &tenant{plan: plan, level: plan.Burst, filled: f.clock.now},
	}
	n.open[q.id] = q
	return n, q
}

// A final answer too many, of whatever kind, is counted as such.
func TestNodeCountsFinalAnswersOnce(t *testing.T) {
	for name, second := range map[string]func(n *node, q *openRequest){
		"refused twice":         func(n *node, q *openRequest) { n.Reject(q.id, 0) },
		"failed after":          func(n *node, q *openRequest) { n.Fail(q.id) },
		"of a request not held": func(n *node, _ *openRequest) { n.Reject("other", 0) },
	} {
		n, q := hostAlone(t)
		n.SendAttempt(q.id, "server", 0, 0) // keeps the request open
		n.Reject(q.id, 0)
		second(n, q)
		if c := n.counts; c.refused != 1 || c.failed != 0 || c.finalAgain != 1 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// An attempt that the gateway gives up ends as cancelled, once, and a late answer changes nothing.
func TestNodeEndsEachAttemptOnce(t *testing.T) {
	n, q := hostAlone(t)
	n.SendAttempt(q.id, "server", 0, 0)
	n.CancelAttempt(q.id, 0)
	n.CancelAttempt(q.id, 0)
	if err := n.fleet.clock.runUntil(t.Context(), q.due+time.Second); err != nil {
		t.Fatal(err)
	}
	if q.out != 0 || !q.attempts[0].done || n.counts.served != 0 {
		t.Errorf("%d out, %+v, %+v", q.out, q.attempts, n.counts)
	}
	n.fleet.finish()
	if n.counts.unanswered != 1 {
		t.Errorf("%d unanswered: the gateway knows no such request", n.counts.unanswered)
	}
}

// The true quota fills at its rate up to its burst, and what it can't cover counts as beyond it.
func TestTrueQuota(t *testing.T) {
	plan := &balancer.Plan{Rate: 2, Burst: 10}
	q := &tenant{plan: plan, level: 10}
	q.level -= 10
	for _, c := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 2}, {time.Second, 2}, {3 * time.Second, 6}, {time.Minute, 10}} {
		if got := q.fill(c.at); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("level %v at %v, want %v", got, c.at, c.want)
		}
	}
	n, r := hostAlone(t)
	r.tenant.level = 6
	n.admit(r)
	n.admit(r)
	if n.counts.admittedUnits != 8 || n.counts.beyondUnits != 4 || math.Abs(r.tenant.level-2) > 1e-9 {
		t.Errorf("%+v, level %v", n.counts, r.tenant.level)
	}
}
