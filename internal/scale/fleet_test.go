package scale

import (
	"context"
	"errors"
	"testing"
	"time"
)

// steadyFleet runs a fleet without a pause in the counting, so that its sums must meet.
func steadyFleet(t *testing.T, seed uint64, spread int, requestsPerS float64) (*fleet, counts) {
	t.Helper()
	const nodes, load = 24, 4 * time.Second
	f := newFleet(seed, nodes, spread)
	if err := f.addAllNodes(2 * nodes); err != nil {
		t.Fatal(err)
	}
	var firsts []int
	for i := range nodes {
		firsts = append(firsts, i)
	}
	end := f.clock.now + load
	for _, tenant := range sampleTenants(f.rng, fleetPlans(), firsts, requestsPerS*nodes) {
		f.scheduleArrivals(tenant, end)
	}
	if err := f.clock.runUntil(t.Context(), end+clientDeadline); err != nil {
		t.Fatal(err)
	}
	f.countUnanswered()
	return f, f.total()
}

// Every request gets exactly one final answer, no message is too long, no inbox takes in more than its
// rate, and no message comes from nowhere, whatever the spread.
func TestFleetInvariants(t *testing.T) {
	for _, spread := range []int{1, 3, 8} {
		f, c := steadyFleet(t, 1, spread, 40)
		if c.requests == 0 || c.served+c.rejected+c.failed != c.requests || c.unanswered+c.duplicateResponses != 0 {
			t.Errorf("spread %d: %d requests, %d served, %d rejected, %d failed, %d without an answer, %d answered again",
				spread, c.requests, c.served, c.rejected, c.failed, c.unanswered, c.duplicateResponses)
		}
		if c.longestMessage > maxMessage {
			t.Errorf("spread %d: a message of %d bytes", spread, c.longestMessage)
		}
		if c.arrived > c.messages() {
			t.Errorf("spread %d: %d of %d messages arrived", spread, c.arrived, c.messages())
		}
		seconds := (f.clock.now - time.Hour).Seconds()
		for _, n := range f.added {
			if taken := float64(n.counts.arrived - n.counts.discarded); taken > f.inboxRate*(seconds+1) {
				t.Errorf("spread %d: node %d took %v messages in %v s", spread, n.number, taken, seconds)
			}
			if len(n.open) > 0 {
				t.Errorf("spread %d: node %d still holds %d requests", spread, n.number, len(n.open))
			}
		}
		if spread > 1 && (c.quotaRequests == 0 || c.quotaGrants == 0) {
			t.Errorf("spread %d: %d quota requests, %d grants", spread, c.quotaRequests, c.quotaGrants)
		}
		if spread == 1 && c.messages() > 0 {
			t.Errorf("spread 1: %d messages", c.messages())
		}
		if c.overQuotaUnits > c.admittedUnits || spread == 1 && c.overQuotaUnits > 0 {
			t.Errorf("spread %d: %v of %v units beyond quotas", spread, c.overQuotaUnits, c.admittedUnits)
		}
	}
}

// A sum has every count of what is added. The values stand without names, so that none can be left out.
func TestCountsAddEveryField(t *testing.T) {
	one := counts{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18}
	var sum counts
	sum.add(&one)
	if sum != one {
		t.Errorf("%+v, want %+v", sum, one)
	}
}

// The same seed gives the same decisions.
func TestFleetSameSeed(t *testing.T) {
	_, first := steadyFleet(t, 3, 3, 20)
	_, again := steadyFleet(t, 3, 3, 20)
	if first != again {
		t.Errorf("one seed, two results:\n%+v\n%+v", first, again)
	}
	if _, other := steadyFleet(t, 4, 3, 20); other == first {
		t.Errorf("two seeds, one result: %+v", other)
	}
}

// Messages beyond the inbox's rate are discarded, and room comes back with time.
func TestInboxHoldsItsRate(t *testing.T) {
	b := newInbox(40, 0)
	taken := 0
	for i := range 1000 { // 100 a second for 10 s
		if b.accept(time.Duration(i) * 10 * time.Millisecond) {
			taken++
		}
	}
	if most := 40 * 11; taken > most || taken < most-2 {
		t.Errorf("%d of 1000 messages taken in, want %d", taken, most)
	}
}

// Links lose and delay as they are said to.
func TestLinkBounds(t *testing.T) {
	f := newFleet(1, 2, 1)
	lost := 0
	const messages = 20000
	for range messages {
		delay, arrives := f.link.send()
		if delay < minLinkDelay || delay >= maxLinkDelay {
			t.Fatalf("delay %v", delay)
		}
		if !arrives {
			lost++
		}
	}
	if got := float64(lost) / messages; got < 0.9*linkLoss || got > 1.1*linkLoss {
		t.Errorf("%v of the messages lost, want %v", got, linkLoss)
	}
}

// Events run by time, those of one time in the order in which they were scheduled, none after the end.
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
		t.Errorf("cut off: %v, ran %v", err, ran)
	}
}

// Tenants ask for the rate that is wanted, and never for more units than the largest request has.
func TestDrawTenants(t *testing.T) {
	f := newFleet(1, 8, 1)
	sum := 0.0
	for _, tenant := range sampleTenants(f.rng, fleetPlans(), []int{2, 5}, 1000) {
		sum += tenant.demand
		if tenant.firstEntryNode != 2 && tenant.firstEntryNode != 5 {
			t.Fatalf("first entry node %d", tenant.firstEntryNode)
		}
	}
	if sum < 999.9 || sum > 1000.1 {
		t.Errorf("%v requests a second", sum)
	}
	units, most := 0.0, 0.0
	const draws = 10000
	for range draws {
		u := sampleUnits(f.rng)
		units, most = units+u, max(most, u)
	}
	if mean := units / draws; most != maxUnits || mean < 0.95*meanUnits() || mean > 1.05*meanUnits() {
		t.Errorf("units of %v in the mean, %v at most", mean, most)
	}
}
