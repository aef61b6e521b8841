package balancer

import (
	"fmt"
	"testing"
)

// The first n nodes in an endpoint's order are the same whether they are found by their position or by the
// highest rank among them.
func TestPositionAgreesWithLastRank(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 40} {
		for i := range 50 {
			key := endpointKey(fmt.Sprint("endpoint-", i))
			for first := 1; first <= nodes; first++ {
				last, count := lastRank(key, nodes, first), 0
				for node := range nodes {
					byPosition := nodePosition(key, node, nodes, nodes) < first
					if byRank := nodeRank(key, node) <= last; byRank != byPosition {
						t.Fatalf("node %d of %d is among the first %d: by rank %v, by position %v", node,
							nodes, first, byRank, byPosition)
					}
					count += int(oneIf(byPosition))
				}
				if count != first {
					t.Fatalf("%d of %d nodes are among the first %d", count, nodes, first)
				}
			}
			if f := keyFraction(key); f < 0 || f >= 1 {
				t.Errorf("fraction %v, want at least 0 and below 1", f)
			}
		}
	}
}

func TestPositionStopsAtLimit(t *testing.T) {
	key := endpointKey("endpoint")
	for node := range 40 {
		if all, some := nodePosition(key, node, 40, 40), nodePosition(key, node, 40, 5); some != min(all, 5) {
			t.Errorf("node %d: position %d, and %d with a limit of 5, want %d", node, all, some, min(all, 5))
		}
	}
}
