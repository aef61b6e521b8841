package balancer

import (
	"hash/fnv"
	"math"
	"slices"
)

// endpointKey is the key of a server in rendezvous hashing.
func endpointKey(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// rank is the place of a gateway in a server's order, as a number; the lowest is first. No two are the same.
func rank(key uint64, node int) uint64 {
	x := (key + uint64(node+1)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return (x ^ x>>32) * 0xd6e8feb86659fd93
}

// position counts the gateways before one in a server's order, up to a most. It looks at all only where few
// are:
// of n gateways at some most x (1 + ln(n / most)), on average.
func position(key uint64, node, nodes, most int) (before int) {
	mine := rank(key, node)
	for other := 0; other < nodes && before < most; other++ {
		if rank(key, other) < mine {
			before++
		}
	}
	return before
}

// lastRank returns the rank of the last of the first gateways in a server's order.
func lastRank(key uint64, nodes, first int) uint64 {
	if first >= nodes {
		return math.MaxUint64
	}
	lowest := make([]uint64, 0, first+1)
	for node := range nodes {
		mine := rank(key, node)
		if len(lowest) == first && mine >= lowest[first-1] {
			continue
		}
		at, _ := slices.BinarySearch(lowest, mine)
		lowest = slices.Insert(lowest, at, mine)
		lowest = lowest[:min(len(lowest), first)]
	}
	return lowest[first-1]
}

// fraction is a number of a server's own from 0 to below 1.
func fraction(key uint64) float64 {
	return float64(rank(key, -1)>>11) / (1 << 53)
}

// never is the number of nodes from which a server that is not among the nearest enters a subset.
var never = math.Inf(1)
