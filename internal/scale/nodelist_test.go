package scale

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
)

// quietly is what a measurement is given when nobody watches.
func quietly(seed uint64) Env {
	return Env{Seed: seed, Progress: func(int, int, string) {}}
}

// value returns the value of a quantity; a test fails that names one that is not there.
func value(t *testing.T, rows []Row, quantity string) float64 {
	t.Helper()
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Quantity == quantity })
	if i < 0 {
		t.Fatalf("no %q among the rows", quantity)
	}
	return rows[i].Value
}

// decided are the rows that the seed decides: neither times nor the heap.
func decided(rows []Row) (kept []Row) {
	for _, r := range rows {
		if r.Unit != "s" && !strings.HasPrefix(r.Quantity, "heap") {
			kept = append(kept, r)
		}
	}
	return kept
}

// A node's measurement exercises each kind of call, answers what it took, and its inbox holds its bound.
func TestNodeListSmall(t *testing.T) {
	p := nodeList()
	for _, size := range p.TestSizes {
		rows, err := p.Measure(t.Context(), size, quietly(1))
		if err != nil {
			t.Fatal(err)
		}
		for _, q := range []string{
			"request, server chosen, p50", "request, peer asked, p99", "outcome, p50", "message, ask answered, p50",
			"message, other answer, p50", "tick, p99", "one change, p50", "one change of a server met, p50", "whole list, first",
			"whole list, again", "heap, list held", "heap, after load",
		} {
			if value(t, rows, q) <= 0 {
				t.Errorf("size %d: %s is not above 0", size, q)
			}
		}
		requests := value(t, rows, "requests")
		if requests < 0.9*plannedRequestRate || requests > 1.1*plannedRequestRate {
			t.Errorf("size %d: %v requests a second", size, requests)
		}
		inboxes := fleetSettings(1, 0).PeerMessagesPerSecond * (1 + 1/listLoad(size).Seconds()) // and a second's messages in store
		if taken := value(t, rows, "messages taken in"); taken == 0 || taken > inboxes {
			t.Errorf("size %d: %v messages a second taken in, more than %v", size, taken, inboxes)
		}
		if ticks := value(t, rows, "ticks"); ticks < 5 || ticks > 20 {
			t.Errorf("size %d: %v ticks a second: another timer is taken for the regular one", size, ticks)
		}
		if value(t, rows, "requests served") < requests/2 {
			t.Errorf("size %d: %v of %v requests served", size, value(t, rows, "requests served"), requests)
		}
		subset, kept := value(t, rows, "servers in the subset"), value(t, rows, "servers kept in full")
		if subset < 1 || kept < subset || kept > 2*subset+1 {
			t.Errorf("size %d: %v servers in the subset, %v kept in full", size, subset, kept)
		}
		if met := value(t, rows, "servers met"); met < 1 || met > float64(size) {
			t.Errorf("size %d: %v servers met", size, met)
		}
		for _, r := range rows {
			if r.Part != p.Name || r.Size != size || r.Value < 0 {
				t.Errorf("row %+v", r)
			}
		}
	}
}

// The same seed gives the same decisions, another seed gives others.
func TestNodeListSameSeed(t *testing.T) {
	size := nodeList().TestSizes[0]
	var runs [3][]Row
	for i, seed := range []uint64{5, 5, 6} {
		rows, err := measureNodeList(t.Context(), size, quietly(seed))
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = decided(rows)
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Errorf("one seed, two results:\n%v\n%v", runs[0], runs[1])
	}
	if slices.Equal(runs[0], runs[2]) {
		t.Errorf("two seeds, one result: %v", runs[0])
	}
}

// A measurement that is cut off keeps what it has.
func TestNodeListCutOff(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	env := Env{Seed: 1, Progress: func(done, _ int, _ string) {
		if done == 2 { // the load was measured
			cancel()
		}
	}}
	rows, err := measureNodeList(ctx, 50, env)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	if value(t, rows, "requests served") == 0 {
		t.Error("the load that was measured is not kept")
	}
	if slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "whole list, again" }) {
		t.Error("a quantity that was not measured is reported")
	}
}

// What is called the heap of a node grows with its list.
func TestHeapGrowsWithTheList(t *testing.T) {
	var heap [2]float64
	for i, size := range []int{100, 4000} {
		b := &listBench{ctx: t.Context(), env: quietly(1), size: size, lastServer: size - 1}
		if err := b.start(); err != nil {
			t.Fatal(err)
		}
		heap[i] = float64(b.heapWithList)
		if len(b.fleet.added) != 2*plannedEntryNodes-1 {
			t.Errorf("%d nodes", len(b.fleet.added))
		}
	}
	if heap[1] <= heap[0] {
		t.Errorf("%v bytes with 100 servers, %v with 4000", heap[0], heap[1])
	}
}
