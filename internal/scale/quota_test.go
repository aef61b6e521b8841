package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// Each number of entry nodes (spread) has its own rows. Messages do not exceed the maximum length, and a
// single entry node sends no quota requests and does not exceed quotas.
func TestQuota(t *testing.T) {
	p := quotaPart()
	for _, size := range p.TestSizes {
		rows, err := p.Measure(t.Context(), size, silentEnv(1))
		if err != nil {
			t.Fatal(err)
		}
		for _, spread := range quotaEntryNodeCounts {
			get := func(quantity string) float64 { return value(t, rows, fmt.Sprintf("%s, spread %d", quantity, spread)) }
			if got := get("requests"); got < 0.7*float64(size) || got > 1.3*float64(size) {
				t.Errorf("size %d, spread %d: %v requests per second, want about %d", size, spread, got, size)
			}
			if got := get("longest message"); got > maxMessage {
				t.Errorf("size %d, spread %d: longest message has %v bytes, want at most %d", size, spread, got, maxMessage)
			}
			for _, quantity := range []string{"lost at the inbox", "refused", "refused with half of the quota unused", "units beyond quotas, of those admitted"} {
				if got := get(quantity); got < 0 || got > 1 {
					t.Errorf("size %d, spread %d: %s: got %v, want 0 to 1", size, spread, quantity, got)
				}
			}
			if quotaRequests, heap := get("asks sent"), get("heap a tenant on a node"); (quotaRequests > 0) != (spread > 1) || heap <= 0 {
				t.Errorf("size %d, spread %d: %v quota requests per second, %v bytes per tenant", size, spread, quotaRequests, heap)
			}
			if spread == 1 && get("units beyond quotas, of the quotas") != 0 {
				t.Errorf("size %d: a single entry node admits units beyond quotas", size)
			}
		}
	}
}

// Under high load, inboxes accept at most their rate, and the discarded messages are counted.
func TestQuotaCountsDiscardedMessages(t *testing.T) {
	run := quotaRun{seed: 1, nodes: 24, entryNodes: 3, requestsPerSecond: 60}
	if err := run.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := &run.counts
	seconds := quotaLoad.Seconds()
	if accepted := float64(c.arrived - c.discarded); accepted > fleetSettings(1, 0).PeerMessagesPerSecond*(seconds+1)*24 {
		t.Errorf("%v messages accepted, which exceeds the rate of the inboxes", accepted)
	}
	if c.discarded == 0 {
		t.Error("no messages were discarded; the load of this test must exceed the rate of the inboxes")
	}
}

// The same seed leads to the same counts.
func TestQuotaIsDeterministic(t *testing.T) {
	size := quotaPart().TestSizes[0]
	var runs [2][]Row
	for i := range runs {
		rows, err := measureQuota(t.Context(), size, silentEnv(9))
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = deterministicRows(rows)
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Errorf("two runs with the same seed differ:\n%v\n%v", runs[0], runs[1])
	}
}

// A cancelled measurement returns the rows of the numbers of entry nodes measured so far.
func TestQuotaCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	env := Env{Seed: 1, Progress: func(done, _ int, _ string) {
		if done == 2 {
			cancel()
		}
	}}
	rows, err := measureQuota(ctx, 1, env)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want context.Canceled", err)
	}
	value(t, rows, "requests, spread 2")
	if slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "requests, spread 3" }) {
		t.Error("there is a row of a number of entry nodes that was not measured")
	}
}
