package balancer

import (
	"hash/fnv"
	"math"
	"slices"
)

// Rendezvous hashing: every endpoint orders the nodes by their rank under the endpoint's key, and the first
// nodes of that order have it in their subsets. All nodes work out the same order without talking.

// endpointKey returns an endpoint's key in rendezvous hashing.
func endpointKey(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// rank returns a node's rank in an endpoint's order; the lowest is first, and no two are equal.
func rank(key uint64, node int) uint64 {
	x := (key + uint64(node+1)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return (x ^ x>>32) * 0xd6e8feb86659fd93
}

// position counts the nodes before one in an endpoint's order, up to a limit. Only where few nodes come
// before it does it rank them all: of n nodes it ranks limit x (1 + ln(n / limit)) on average.
func position(key uint64, node, nodeCount, limit int) (before int) {
	own := rank(key, node)
	for other := 0; other < nodeCount && before < limit; other++ {
		if rank(key, other) < own {
			before++
		}
	}
	return before
}

// lastRank returns the rank of the last of the first nodes in an endpoint's order, above all ranks if these
// are all nodes.
func lastRank(key uint64, nodeCount, first int) uint64 {
	if first >= nodeCount {
		return math.MaxUint64
	}
	lowest := make([]uint64, 0, first+1)
	for node := range nodeCount {
		own := rank(key, node)
		if len(lowest) == first && own >= lowest[first-1] {
			continue
		}
		i, _ := slices.BinarySearch(lowest, own)
		lowest = slices.Insert(lowest, i, own)
		lowest = lowest[:min(len(lowest), first)]
	}
	return lowest[first-1]
}

// fraction returns an endpoint's own number in [0, 1), evenly distributed over the endpoints.
func fraction(key uint64) float64 {
	return float64(rank(key, -1)>>11) / (1 << 53)
}
