package scale

import (
	"math"
	"testing"
	"time"

	"opalhook/balancer"
)

// nodeWithRequest returns a node without an endpoint list, and an open request of it that its balancer does
// not know.
func nodeWithRequest(t *testing.T) (*simulatedNode, *openRequest) {
	t.Helper()
	f := newFleet(1, 24, 1)
	n, err := f.addNode(0)
	if err != nil {
		t.Fatal(err)
	}
	plan := &fleetPlans()[0]
	q := &openRequest{
		id: "r", units: 4, used: 4, deadline: f.clock.now + clientDeadline,
		tenant: &tenant{plan: plan, tokens: plan.Burst, refilledAt: f.clock.now},
	}
	n.open[q.id] = q
	return n, q
}

// A second final response to a request, or one to an unknown request, counts as a duplicate only.
func TestNodeCountsDuplicateResponses(t *testing.T) {
	for name, second := range map[string]func(n *simulatedNode, q *openRequest){
		"rejected twice":           func(n *simulatedNode, q *openRequest) { n.Reject(q.id, 0) },
		"failed after rejection":   func(n *simulatedNode, q *openRequest) { n.Fail(q.id) },
		"unknown request rejected": func(n *simulatedNode, _ *openRequest) { n.Reject("other", 0) },
	} {
		n, q := nodeWithRequest(t)
		n.SendAttempt(q.id, "server", 0, 0) // keeps the request open
		n.Reject(q.id, 0)
		second(n, q)
		if c := n.counts; c.rejected != 1 || c.failed != 0 || c.duplicateResponses != 1 {
			t.Errorf("%s: counters %+v, want 1 rejected, 0 failed and 1 duplicate response", name, c)
		}
	}
}

// An attempt that is cancelled twice ends once, and a later response has no effect.
func TestNodeEndsCancelledAttemptOnce(t *testing.T) {
	n, q := nodeWithRequest(t)
	n.SendAttempt(q.id, "server", 0, 0)
	n.CancelAttempt(q.id, 0)
	n.CancelAttempt(q.id, 0)
	if err := n.fleet.clock.runUntil(t.Context(), q.deadline+time.Second); err != nil {
		t.Fatal(err)
	}
	if q.inFlight != 0 || !q.attempts[0].done || n.counts.served != 0 {
		t.Errorf("%d attempts in flight, attempts %+v, counters %+v, want one ended attempt and none served", q.inFlight, q.attempts, n.counts)
	}
	n.fleet.countUnanswered()
	if n.counts.unanswered != 1 {
		t.Errorf("%d unanswered requests, want 1: the balancer does not know the request", n.counts.unanswered)
	}
}

// A tenant's quota refills at its rate up to its burst. The units of a request that it does not cover count
// as over quota.
func TestTenantQuota(t *testing.T) {
	plan := &balancer.Plan{Rate: 2, Burst: 10}
	tenant := &tenant{plan: plan, tokens: 10}
	tenant.tokens -= 10
	for _, c := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 2}, {time.Second, 2}, {3 * time.Second, 6}, {time.Minute, 10}} {
		if got := tenant.refill(c.at); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v tokens at %v, want %v", got, c.at, c.want)
		}
	}
	n, r := nodeWithRequest(t)
	r.tenant.tokens = 6
	n.chargeQuota(r)
	n.chargeQuota(r)
	if n.counts.admittedUnits != 8 || n.counts.overQuotaUnits != 4 || math.Abs(r.tenant.tokens-2) > 1e-9 {
		t.Errorf("counters %+v, %v tokens left, want 8 admitted units, 4 over quota and 2 tokens", n.counts, r.tenant.tokens)
	}
}
