package balancer

import (
	"hash/fnv"
	"math"
	"slices"
)

// Rendezvous hashing: each endpoint orders the nodes by their rank under the endpoint's key, and the subsets
// of the first nodes in that order contain the endpoint. All nodes compute the same order without
// communicating.

// endpointKey returns an endpoint's key in rendezvous hashing.
func endpointKey(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// nodeRank returns a node's rank under an endpoint's key. The endpoint orders the nodes by ascending rank.
// Ranks under one key are distinct.
func nodeRank(key uint64, node int) uint64 {
	x := (key + uint64(node+1)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return (x ^ x>>32) * 0xd6e8feb86659fd93
}

// nodePosition returns the number of nodes before the given node in an endpoint's order, but at most limit.
// It stops at the limit, and so ranks limit x (1 + ln(nodeCount / limit)) nodes on average.
func nodePosition(key uint64, node, nodeCount, limit int) (before int) {
	own := nodeRank(key, node)
	for other := 0; other < nodeCount && before < limit; other++ {
		if nodeRank(key, other) < own {
			before++
		}
	}
	return before
}

// lastRank returns the highest rank among the first nodes in an endpoint's order, where first is their
// number. If these are all nodes, it returns the largest uint64, which no rank exceeds.
func lastRank(key uint64, nodeCount, first int) uint64 {
	if first >= nodeCount {
		return math.MaxUint64
	}
	lowest := make([]uint64, 0, first+1)
	for node := range nodeCount {
		own := nodeRank(key, node)
		if len(lowest) == first && own >= lowest[first-1] {
			continue
		}
		i, _ := slices.BinarySearch(lowest, own)
		lowest = slices.Insert(lowest, i, own)
		lowest = lowest[:min(len(lowest), first)]
	}
	return lowest[first-1]
}

// keyFraction returns a number in [0, 1) that depends on the key only and is evenly distributed over keys. It
// is derived from the rank of the index -1, which no node has.
func keyFraction(key uint64) float64 {
	return float64(nodeRank(key, -1)>>11) / (1 << 53)
}
