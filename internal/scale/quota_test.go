package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// The messages of quotas hold the platform's bounds, and spreads have rows of their own.
func TestQuotaSmall(t *testing.T) {
	p := quota()
	for _, size := range p.TestSizes {
		rows, err := p.Measure(t.Context(), size, quietly(1))
		if err != nil {
			t.Fatal(err)
		}
		for _, spread := range quotaEntryNodes {
			of := func(quantity string) float64 { return value(t, rows, fmt.Sprintf("%s, spread %d", quantity, spread)) }
			if got := of("requests"); got < 0.7*float64(size) || got > 1.3*float64(size) {
				t.Errorf("size %d, spread %d: %v requests a second", size, spread, got)
			}
			if got := of("longest message"); got > maxMessage {
				t.Errorf("size %d, spread %d: a message of %v bytes", size, spread, got)
			}
			for _, quantity := range []string{"lost at the inbox", "refused", "refused with half of the quota unused", "units beyond quotas, of those admitted"} {
				if got := of(quantity); got < 0 || got > 1 {
					t.Errorf("size %d, spread %d: %s is a share of %v", size, spread, quantity, got)
				}
			}
			if asks, heap := of("asks sent"), of("heap a tenant on a node"); (asks > 0) != (spread > 1) || heap <= 0 {
				t.Errorf("size %d, spread %d: %v asks a second, %v bytes a tenant", size, spread, asks, heap)
			}
			if spread == 1 && of("units beyond quotas, of the quotas") != 0 {
				t.Errorf("size %d: one node alone admits beyond quotas", size)
			}
		}
	}
}

// An inbox that loses half of what comes shows in the share that is lost.
func TestQuotaShowsLossAtTheInbox(t *testing.T) {
	run := quotaRun{seed: 1, nodes: 24, entryNodes: 3, requestsPerS: 60}
	if err := run.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := &run.counts
	seconds := quotaLoad.Seconds()
	if taken := float64(c.arrived - c.discarded); taken > fleetSettings(1, 0).PeerMessagesPerSecond*(seconds+1)*24 {
		t.Errorf("%v messages taken in", taken)
	}
	if c.discarded == 0 {
		t.Error("nothing was lost at the inboxes, which is what this load is for")
	}
}

// The same seed gives the same counts.
func TestQuotaSameSeed(t *testing.T) {
	size := quota().TestSizes[0]
	var runs [2][]Row
	for i := range runs {
		rows, err := measureQuota(t.Context(), size, quietly(9))
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = decided(rows)
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Errorf("one seed, two results:\n%v\n%v", runs[0], runs[1])
	}
}

// A measurement that is cut off keeps the spreads that it has.
func TestQuotaCutOff(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	env := Env{Seed: 1, Progress: func(done, _ int, _ string) {
		if done == 2 {
			cancel()
		}
	}}
	rows, err := measureQuota(ctx, 1, env)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	value(t, rows, "requests, spread 2")
	if slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "requests, spread 3" }) {
		t.Error("a spread that was not measured is reported")
	}
}
