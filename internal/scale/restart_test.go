package scale

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"
)

func quiet(int, int, string) {}

// played is a restart that has been played.
func played(t *testing.T, nodes, message int, seed uint64, until time.Duration) *restart {
	t.Helper()
	r := newRestart(nodes, plannedWatches, message, seed)
	if err := r.run(t.Context(), until, quiet); err != nil {
		t.Fatal(err)
	}
	return r
}

// A list that a link carries within a follower's patience reaches each node once, no sooner than
// the link allows.
func TestRestartedNodesGetTheirList(t *testing.T) {
	for _, nodes := range []int{1, rackNodes, plannedWatches} {
		r := played(t, nodes, controlRate, 1, time.Minute) // a second's worth
		for n, h := range r.nodes {
			if !h.hasList || h.bytes != float64(r.message) || h.receivedAt < time.Second {
				t.Fatalf("node %d of %d: has its list: %v, %v bytes of %d, at %v", n, nodes, h.hasList, h.bytes, r.message, h.receivedAt)
			}
		}
		if most := max(nodes-watchOpensPerSecond, 0); r.rejected < most || r.rejected > 0 && nodes <= watchOpensPerSecond || r.maxOpen > watchOpensPerSecond*3 {
			t.Errorf("%d nodes: %d calls turned away, %d answered at once", nodes, r.rejected, r.maxOpen)
		}
	}
}

// No node takes more than its link carries, however its calls end.
func TestRestartKeepsToTheLink(t *testing.T) {
	for _, message := range []int{controlRate / 2, 10 * controlRate, 1000 * controlRate} {
		until := 2 * time.Minute
		r := played(t, 100, message, 2, until)
		for n, h := range r.nodes {
			if most := controlRate * until.Seconds(); h.bytes > most || h.call != 0 {
				t.Errorf("node %d took %v bytes, %v are the most", n, h.bytes, most)
			}
		}
		if r.open != 0 {
			t.Errorf("%d calls are open at the end", r.open)
		}
	}
}

// The same seed gives the same restart.
func TestRestartIsDeterministic(t *testing.T) {
	rows := func(seed uint64) []Row { return played(t, 2500, 5*controlRate, seed, 30*time.Second).rows("p", 1) }
	if a, b := rows(7), rows(7); !reflect.DeepEqual(a, b) {
		t.Errorf("two plays of one seed:\n%v\n%v", a, b)
	}
	if reflect.DeepEqual(rows(7), rows(8)) {
		t.Error("another seed plays the same")
	}
}

// The service lets as many calls through as its pace allows, and no more.
func TestJoinPace(t *testing.T) {
	p := openLimiter{tokens: watchOpensPerSecond}
	let := 0
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Microsecond {
		let += boolToInt(p.allow(at))
	}
	if want := 3 * watchOpensPerSecond; let < want-2 || let > want {
		t.Errorf("%d in two seconds, want %d", let, want)
	}
}

func TestRestartParts(t *testing.T) {
	for _, p := range []Part{RestartFleet(), RestartRack()} {
		for _, n := range p.TestSizes {
			v := measureList(t, p, n)
			if v["nodes that have their list"] != v["nodes"] || v["control to a node, most"] != v["whole list"] {
				t.Errorf("%s at %d: %v", p.Name, n, v)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := p.Measure(ctx, p.Sizes[0], Env{Progress: quiet}); !errors.Is(err, context.Canceled) {
			t.Errorf("%s cut off: %v", p.Name, err)
		}
	}
}
