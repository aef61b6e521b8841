package balancer

import (
	"fmt"
	"testing"
)

// The first nodes of an endpoint's order are the same by positions and by the last rank among them.
func TestPositionAgreesWithLastRank(t *testing.T) {
	for _, nodes := range []int{1, 2, 7, 40} {
		for i := range 50 {
			key := endpointKey(fmt.Sprint("endpoint-", i))
			for first := 1; first <= nodes; first++ {
				last, among := lastRank(key, nodes, first), 0
				for node := range nodes {
					byPosition := position(key, node, nodes, nodes) < first
					if byRank := rank(key, node) <= last; byRank != byPosition {
						t.Fatalf("node %d of %d, first %d: by rank %v, by position %v", node, nodes, first,
							byRank, byPosition)
					}
					among += int(oneIf(byPosition))
				}
				if among != first {
					t.Fatalf("%d nodes of %d are the first %d", among, nodes, first)
				}
			}
			if f := fraction(key); f < 0 || f >= 1 {
				t.Errorf("fraction %v", f)
			}
		}
	}
}

func TestPositionStopsAtItsLimit(t *testing.T) {
	key := endpointKey("endpoint")
	for node := range 40 {
		if all, some := position(key, node, 40, 40), position(key, node, 40, 5); some != min(all, 5) {
			t.Errorf("node %d: position %d, with a limit of 5 %d", node, all, some)
		}
	}
}
