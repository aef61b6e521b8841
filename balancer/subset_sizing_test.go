package balancer

import (
	"fmt"
	"testing"
)

// An endpoint's order is worked out up to a horizon: beyond it an endpoint can't enter, unless the horizon
// is all nodes.
func TestEntersAtBeyondHorizon(t *testing.T) {
	const nodes = 40
	for _, ranked := range []int{1, 5, nodes - 1, nodes} {
		sizing := subsetSizing{nodeIndex: 3, nodeCount: nodes, enabled: true, rankedNodes: ranked}
		for i := range 200 {
			id := fmt.Sprint("endpoint-", i)
			before := position(endpointKey(id), 3, nodes, nodes)
			got, want := sizing.entryThreshold(id), float64(before+1)-fraction(endpointKey(id))
			if before >= ranked {
				want = notRanked
			}
			if got != want {
				t.Errorf("%d ranked, position %d: enters at %v, want %v", ranked, before, got, want)
			}
		}
	}
	if got := (&subsetSizing{nodeCount: nodes}).entryThreshold("any"); got != 0 {
		t.Errorf("enters at %v in a small fleet, want always", got)
	}
}

// The number of subsets follows the length of the list only when that has changed by its slack.
func TestSizingFollowsWithHysteresis(t *testing.T) {
	sizing := subsetSizing{nodeCount: 1000}
	sizing.enable()
	for _, step := range []struct {
		name   string
		length int
		want   subsetChange
	}{
		{"first list", 1000, subsetBeyondRanks},
		{"same length", 1000, subsetStays},
		{"a little longer", 1240, subsetStays},
		{"longer than the slack", 1300, subsetMoves},
		{"a little shorter", 900, subsetStays},
		{"much shorter", 100, subsetBeyondRanks},
		{"empty", 0, subsetBeyondRanks},
	} {
		if got := sizing.follow(step.length); got != step.want {
			t.Errorf("%s: %v, want %v (%+v)", step.name, got, step.want, sizing)
		}
		if sizing.rankedNodes < min(int(sizing.subsetsPerEndpoint)+1, sizing.nodeCount) {
			t.Errorf("%s: %d nodes ranked for %v subsets", step.name, sizing.rankedNodes,
				sizing.subsetsPerEndpoint)
		}
	}
}

func TestSubsetSize(t *testing.T) {
	for _, test := range []struct {
		nodes, listed int
		subsets       float64
		want          int
	}{{100, 400, 7.5, 30}, {100, 3, 7.5, 1}, {1, 12, 1, 12}, {100, 0, 100, 1}} {
		sizing := subsetSizing{nodeCount: test.nodes, subsetsPerEndpoint: test.subsets}
		if got := sizing.size(test.listed); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}
