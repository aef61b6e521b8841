package agent

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// hashMultiplier is an odd constant with evenly spread bits: multiplying by it mixes low bits into high ones.
const hashMultiplier = 0xd6e8feb86659fd93

// Rank returns the replicas without duplicates, in the order of preference of the follower with the given
// name. It uses rendezvous hashing: each replica is the first choice of about the same number of followers,
// and the followers of a failed replica spread evenly over the others.
func Rank(name string, replicas []string) []string {
	ranked := slices.Clone(replicas)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankScore(name, b), rankScore(name, a)), cmp.Compare(a, b))
	})
	return slices.Compact(ranked)
}

// rankScore returns the rendezvous hash of a follower and a replica. The replica with the highest score is
// preferred.
func rankScore(name, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(replica + "\x00" + name)) // Write of a hash never fails
	x := h.Sum64()                                  // the last bytes of the name hardly affect the high bits
	x ^= x >> 32
	x *= hashMultiplier
	x ^= x >> 32
	return x
}
