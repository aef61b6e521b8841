package scale

import (
	"context"
	"errors"
	"testing"
	"time"
)

// runFleet runs a fleet under constant load until all requests are finished. Counters are never reset, so
// that their sums must be consistent.
func runFleet(t *testing.T, seed uint64, entryNodes int, requestsPerSecond float64) (*fleet, counts) {
	t.Helper()
	const nodes, load = 24, 4 * time.Second
	f := newFleet(seed, nodes, entryNodes)
	if err := f.addAllNodes(2 * nodes); err != nil {
		t.Fatal(err)
	}
	var firstEntryNodes []int
	for i := range nodes {
		firstEntryNodes = append(firstEntryNodes, i)
	}
	end := f.clock.now + load
	for _, tenant := range sampleTenants(f.rng, fleetPlans(), firstEntryNodes, requestsPerSecond*nodes) {
		f.scheduleArrivals(tenant, end)
	}
	if err := f.clock.runUntil(t.Context(), end+clientDeadline); err != nil {
		t.Fatal(err)
	}
	f.countUnanswered()
	return f, f.total()
}

// With any number of entry nodes, every request gets exactly one final response, messages do not exceed the
// maximum length, inboxes accept at most their rate, and no more messages arrive than were sent. A single
// entry node sends no messages and does not exceed quotas.
func TestFleetInvariants(t *testing.T) {
	for _, entryNodes := range []int{1, 3, 8} {
		f, c := runFleet(t, 1, entryNodes, 40)
		if c.requests == 0 || c.served+c.rejected+c.failed != c.requests || c.unanswered+c.duplicateResponses != 0 {
			t.Errorf("%d entry nodes: %d requests: %d served, %d rejected, %d failed; %d unanswered, %d duplicate responses",
				entryNodes, c.requests, c.served, c.rejected, c.failed, c.unanswered, c.duplicateResponses)
		}
		if c.longestMessage > maxMessage {
			t.Errorf("%d entry nodes: longest message has %d bytes, want at most %d", entryNodes, c.longestMessage, maxMessage)
		}
		if c.arrived > c.messages() {
			t.Errorf("%d entry nodes: %d messages arrived, but only %d were sent", entryNodes, c.arrived, c.messages())
		}
		seconds := (f.clock.now - time.Hour).Seconds()
		for _, n := range f.added {
			if accepted := float64(n.counts.arrived - n.counts.discarded); accepted > f.inboxRate*(seconds+1) {
				t.Errorf("%d entry nodes: node %d accepted %v messages in %v s", entryNodes, n.number, accepted, seconds)
			}
			if len(n.open) > 0 {
				t.Errorf("%d entry nodes: node %d still has %d open requests", entryNodes, n.number, len(n.open))
			}
		}
		if entryNodes > 1 && (c.quotaRequests == 0 || c.quotaGrants == 0) {
			t.Errorf("%d entry nodes: %d quota requests and %d grants, want some of both", entryNodes, c.quotaRequests, c.quotaGrants)
		}
		if entryNodes == 1 && c.messages() > 0 {
			t.Errorf("1 entry node: %d messages, want none", c.messages())
		}
		if c.overQuotaUnits > c.admittedUnits || entryNodes == 1 && c.overQuotaUnits > 0 {
			t.Errorf("%d entry nodes: %v of %v admitted units exceed quotas", entryNodes, c.overQuotaUnits, c.admittedUnits)
		}
	}
}

// add adds every field. The values are given without field names, so that a new field cannot be left out.
func TestCountsAddEveryField(t *testing.T) {
	one := counts{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18}
	var sum counts
	sum.add(&one)
	if sum != one {
		t.Errorf("%+v, want %+v", sum, one)
	}
}

// The same seed leads to the same counters, another seed to different ones.
func TestFleetIsDeterministic(t *testing.T) {
	_, first := runFleet(t, 3, 3, 20)
	_, second := runFleet(t, 3, 3, 20)
	if first != second {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", first, second)
	}
	if _, other := runFleet(t, 4, 3, 20); other == first {
		t.Errorf("runs with different seeds are equal: %+v", other)
	}
}

// The inbox discards messages that exceed its rate, and accepts messages again as time passes.
func TestInboxLimitsRate(t *testing.T) {
	b := newInbox(40, 0)
	accepted := 0
	for i := range 1000 { // 100 messages per second for 10 s
		if b.accept(time.Duration(i) * 10 * time.Millisecond) {
			accepted++
		}
	}
	if limit := 40 * 11; accepted > limit || accepted < limit-2 {
		t.Errorf("%d of 1000 messages accepted, want %d to %d", accepted, limit-2, limit)
	}
}

// Links delay messages within the bounds and lose the specified fraction.
func TestLinkDelayAndLoss(t *testing.T) {
	f := newFleet(1, 2, 1)
	lost := 0
	const messages = 20000
	for range messages {
		delay, arrives := f.link.sampleDelivery()
		if delay < minLinkDelay || delay >= maxLinkDelay {
			t.Fatalf("delay %v, want from %v to below %v", delay, minLinkDelay, maxLinkDelay)
		}
		if !arrives {
			lost++
		}
	}
	if got := float64(lost) / messages; got < 0.9*linkLoss || got > 1.1*linkLoss {
		t.Errorf("fraction of lost messages is %v, want about %v", got, linkLoss)
	}
}

// Events run in the order of their time, and events with the same time in the order in which they were
// scheduled. Events after the end do not run.
func TestClockOrder(t *testing.T) {
	var c clock
	var ran []int
	for i, wait := range []time.Duration{3, 1, 2, 1, 9} {
		c.after(wait, func() { ran = append(ran, i) })
	}
	c.after(1, func() { c.after(0, func() { ran = append(ran, 5) }) })
	if err := c.runUntil(t.Context(), 5); err != nil {
		t.Fatal(err)
	}
	want := []int{1, 3, 5, 2, 0}
	if len(ran) != len(want) || c.now != 5 {
		t.Fatalf("ran %v until %v, want %v", ran, c.now, want)
	}
	for i := range want {
		if ran[i] != want[i] {
			t.Fatalf("ran %v, want %v", ran, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.runUntil(ctx, 20); !errors.Is(err, context.Canceled) || len(ran) != len(want) {
		t.Errorf("cancelled run: error %v, ran %v", err, ran)
	}
}

// The total demand of the tenants is the given rate, their first entry nodes are among the given ones, and no
// request has more than maxUnits units.
func TestSampleTenants(t *testing.T) {
	f := newFleet(1, 8, 1)
	sum := 0.0
	for _, tenant := range sampleTenants(f.rng, fleetPlans(), []int{2, 5}, 1000) {
		sum += tenant.demand
		if tenant.firstEntryNode != 2 && tenant.firstEntryNode != 5 {
			t.Fatalf("first entry node %d, want 2 or 5", tenant.firstEntryNode)
		}
	}
	if sum < 999.9 || sum > 1000.1 {
		t.Errorf("total demand is %v requests per second, want 1000", sum)
	}
	units, maxSampled := 0.0, 0.0
	const samples = 10000
	for range samples {
		u := sampleUnits(f.rng)
		units, maxSampled = units+u, max(maxSampled, u)
	}
	if mean := units / samples; maxSampled != maxUnits || mean < 0.95*meanUnits() || mean > 1.05*meanUnits() {
		t.Errorf("units have mean %v and maximum %v, want about %v and %v", mean, maxSampled, meanUnits(), maxUnits)
	}
}
