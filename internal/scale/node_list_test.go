package scale

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
)

// silentEnv returns an environment that ignores progress.
func silentEnv(seed uint64) Env {
	return Env{Seed: seed, Progress: func(int, int, string) {}}
}

// value returns the value of a quantity. The test fails if there is no such row.
func value(t *testing.T, rows []Row, quantity string) float64 {
	t.Helper()
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Quantity == quantity })
	if i < 0 {
		t.Fatalf("%q: no row", quantity)
	}
	return rows[i].Value
}

// deterministicRows returns the rows that depend on the seed alone, which are neither times nor heap sizes.
func deterministicRows(rows []Row) (result []Row) {
	for _, r := range rows {
		if r.Unit != "s" && !strings.HasPrefix(r.Quantity, "heap") {
			result = append(result, r)
		}
	}
	return result
}

// The measurement times each kind of call, the node serves most requests, and its inbox accepts at most its
// rate.
func TestNodeList(t *testing.T) {
	p := nodeListPart()
	for _, size := range p.TestSizes {
		rows, err := p.Measure(t.Context(), size, silentEnv(1))
		if err != nil {
			t.Fatal(err)
		}
		for _, q := range []string{
			"request, server chosen, p50", "request, peer asked, p99", "outcome, p50", "message, ask answered, p50",
			"message, other answer, p50", "tick, p99", "one change, p50", "one change of a server met, p50", "whole list, first",
			"whole list, again", "heap, list held", "heap, after load",
		} {
			if value(t, rows, q) <= 0 {
				t.Errorf("size %d: %s: want a value above 0", size, q)
			}
		}
		requests := value(t, rows, "requests")
		if requests < 0.9*plannedRequestRate || requests > 1.1*plannedRequestRate {
			t.Errorf("size %d: %v requests per second, want about %v", size, requests, plannedRequestRate)
		}
		maxAccepted := fleetSettings(1, 0).PeerMessagesPerSecond * (1 + 1/nodeListLoad(size).Seconds()) // rate plus burst
		if accepted := value(t, rows, "messages taken in"); accepted == 0 || accepted > maxAccepted {
			t.Errorf("size %d: %v messages per second accepted, want above 0 and at most %v", size, accepted, maxAccepted)
		}
		if ticks := value(t, rows, "ticks"); ticks < 5 || ticks > 20 {
			t.Errorf("size %d: %v ticks per second, want 5 to 20: another timer counts as the periodic one", size, ticks)
		}
		if value(t, rows, "requests served") < requests/2 {
			t.Errorf("size %d: %v of %v requests served", size, value(t, rows, "requests served"), requests)
		}
		subset, tracked := value(t, rows, "servers in the subset"), value(t, rows, "servers kept in full")
		if subset < 1 || tracked < subset || tracked > 2*subset+1 {
			t.Errorf("size %d: %v servers in the subset, %v servers tracked", size, subset, tracked)
		}
		if used := value(t, rows, "servers met"); used < 1 || used > float64(size) {
			t.Errorf("size %d: %v servers used, want 1 to %d", size, used, size)
		}
		for _, r := range rows {
			if r.Part != p.Name || r.Size != size || r.Value < 0 {
				t.Errorf("size %d: unexpected row %+v", size, r)
			}
		}
	}
}

// The same seed leads to the same counts, another seed to different ones.
func TestNodeListIsDeterministic(t *testing.T) {
	size := nodeListPart().TestSizes[0]
	var runs [3][]Row
	for i, seed := range []uint64{5, 5, 6} {
		rows, err := measureNodeList(t.Context(), size, silentEnv(seed))
		if err != nil {
			t.Fatal(err)
		}
		runs[i] = deterministicRows(rows)
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Errorf("two runs with the same seed differ:\n%v\n%v", runs[0], runs[1])
	}
	if slices.Equal(runs[0], runs[2]) {
		t.Errorf("runs with different seeds are equal: %v", runs[0])
	}
}

// A cancelled measurement returns the rows measured so far.
func TestNodeListCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	env := Env{Seed: 1, Progress: func(done, _ int, _ string) {
		if done == 2 { // the load has been measured
			cancel()
		}
	}}
	rows, err := measureNodeList(ctx, 50, env)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want context.Canceled", err)
	}
	if value(t, rows, "requests served") == 0 {
		t.Error("the rows of the measured load are missing")
	}
	if slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "whole list, again" }) {
		t.Error("there is a row of a quantity that was not measured")
	}
}

// The measured heap of a node grows with its list.
func TestHeapGrowsWithTheList(t *testing.T) {
	var heap [2]float64
	for i, size := range []int{100, 4000} {
		n := &nodeListRun{ctx: t.Context(), env: silentEnv(1), size: size, lastServer: size - 1}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
		heap[i] = float64(n.heapWithList)
		if len(n.fleet.added) != 2*plannedEntryNodes-1 {
			t.Errorf("%d nodes, want %d", len(n.fleet.added), 2*plannedEntryNodes-1)
		}
	}
	if heap[1] <= heap[0] {
		t.Errorf("heap has %v bytes with 100 servers, %v bytes with 4000", heap[0], heap[1])
	}
}
