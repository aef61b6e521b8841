package balancer

import (
	"fmt"
	"testing"
)

// Membership thresholds are only computed for endpoints in whose order this node is among the first
// rankedNodes. All others must get notRanked. There are no others if all nodes are ranked.
func TestMembershipThreshold(t *testing.T) {
	const nodes = 40
	for _, ranked := range []int{1, 5, nodes - 1, nodes} {
		sizing := subsetSizing{nodeIndex: 3, nodeCount: nodes, enabled: true, rankedNodes: ranked}
		for i := range 200 {
			id := fmt.Sprint("endpoint-", i)
			before := nodePosition(endpointKey(id), 3, nodes, nodes)
			got, want := sizing.membershipThreshold(id), float64(before+1)-keyFraction(endpointKey(id))
			if before >= ranked {
				want = notRanked
			}
			if got != want {
				t.Errorf("%d nodes ranked, position %d: threshold %v, want %v", ranked, before, got, want)
			}
		}
	}
	if got := (&subsetSizing{nodeCount: nodes}).membershipThreshold("any"); got != 0 {
		t.Errorf("threshold %v in a small fleet, want 0", got)
	}
}

// The number of subsets per endpoint changes only after the length of the list has changed by more than the
// factor listLengthHysteresis.
func TestSubsetResizeHysteresis(t *testing.T) {
	sizing := subsetSizing{nodeCount: 1000}
	sizing.enable()
	for _, step := range []struct {
		name   string
		length int
		want   subsetChange
	}{
		{"first list", 1000, subsetThresholdsOutdated},
		{"same length", 1000, subsetUnchanged},
		{"slightly longer", 1240, subsetUnchanged},
		{"longer by more than the factor", 1300, subsetResized},
		{"slightly shorter", 900, subsetUnchanged},
		{"much shorter", 100, subsetThresholdsOutdated},
		{"empty", 0, subsetThresholdsOutdated},
	} {
		if got := sizing.resize(step.length); got != step.want {
			t.Errorf("%s: subset change %v, want %v (%+v)", step.name, got, step.want, sizing)
		}
		if sizing.rankedNodes < min(int(sizing.subsetsPerEndpoint)+1, sizing.nodeCount) {
			t.Errorf("%s: %d nodes ranked for %v subsets, want at least %d", step.name, sizing.rankedNodes,
				sizing.subsetsPerEndpoint, min(int(sizing.subsetsPerEndpoint)+1, sizing.nodeCount))
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
			t.Errorf("%+v: subset size %d, want %d", test, got, test.want)
		}
	}
}
