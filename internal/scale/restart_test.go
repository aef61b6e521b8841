package scale

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"
)

// ignoreProgress is a progress function that does nothing.
func ignoreProgress(int, int, string) {}

// runRestart runs a restart and returns it.
func runRestart(t *testing.T, nodes, message int, seed uint64, until time.Duration) *restart {
	t.Helper()
	r := newRestart(nodes, plannedWatches, message, seed)
	if err := r.run(t.Context(), until, ignoreProgress); err != nil {
		t.Fatal(err)
	}
	return r
}

// If a node's link can transfer the list before the follower gives up, each node receives the list exactly
// once, and no sooner than the link permits.
func TestRestartedNodesReceiveList(t *testing.T) {
	for _, nodes := range []int{1, rackNodes, plannedWatches} {
		r := runRestart(t, nodes, controlRate, 1, time.Minute) // the list takes one second
		for n, node := range r.nodes {
			if !node.hasList || node.bytes != float64(r.message) || node.receivedAt < time.Second {
				t.Fatalf("node %d of %d: has its list: %v; %v of %d bytes; received at %v", n, nodes, node.hasList, node.bytes, r.message, node.receivedAt)
			}
		}
		if minRejected := max(nodes-watchOpensPerSecond, 0); r.rejected < minRejected || r.rejected > 0 && nodes <= watchOpensPerSecond || r.maxOpen > watchOpensPerSecond*3 {
			t.Errorf("%d nodes: %d calls rejected, at most %d open at the same time", nodes, r.rejected, r.maxOpen)
		}
	}
}

// No node receives more bytes than its link can transfer, whether its calls complete or time out.
func TestRestartRespectsLinkRate(t *testing.T) {
	for _, message := range []int{controlRate / 2, 10 * controlRate, 1000 * controlRate} {
		until := 2 * time.Minute
		r := runRestart(t, 100, message, 2, until)
		for n, node := range r.nodes {
			if maxBytes := controlRate * until.Seconds(); node.bytes > maxBytes || node.call != 0 {
				t.Errorf("node %d received %v bytes, want at most %v; open call %d, want none", n, node.bytes, maxBytes, node.call)
			}
		}
		if r.open != 0 {
			t.Errorf("%d calls are open at the end, want none", r.open)
		}
	}
}

// The same seed leads to the same rows, another seed to different ones.
func TestRestartIsDeterministic(t *testing.T) {
	rows := func(seed uint64) []Row { return runRestart(t, 2500, 5*controlRate, seed, 30*time.Second).rows("p", 1) }
	if a, b := rows(7), rows(7); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ:\n%v\n%v", a, b)
	}
	if reflect.DeepEqual(rows(7), rows(8)) {
		t.Error("runs with different seeds are equal")
	}
}

// The limiter permits a burst of one second's watches and then its rate.
func TestOpenLimiter(t *testing.T) {
	limiter := openLimiter{tokens: watchOpensPerSecond}
	allowed := 0
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Microsecond {
		allowed += boolToInt(limiter.allow(at))
	}
	if want := 3 * watchOpensPerSecond; allowed < want-2 || allowed > want {
		t.Errorf("%d watches allowed in two seconds, want %d to %d", allowed, want-2, want)
	}
}

// All nodes receive the complete list once, and a cancelled measurement returns the context's error.
func TestRestartParts(t *testing.T) {
	for _, p := range []Part{restartFleetPart(), restartRackPart()} {
		for _, n := range p.TestSizes {
			v := measureList(t, p, n)
			if v["nodes that have their list"] != v["nodes"] || v["control to a node, most"] != v["whole list"] {
				t.Errorf("%s at %d: not all nodes received the list once: %v", p.Name, n, v)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := p.Measure(ctx, p.Sizes[0], Env{Progress: ignoreProgress}); !errors.Is(err, context.Canceled) {
			t.Errorf("%s cancelled: error %v, want context.Canceled", p.Name, err)
		}
	}
}
