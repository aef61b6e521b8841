package agent

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// hashMultiplier is an odd constant with evenly spread bits: multiplying by it mixes low bits into high ones.
const hashMultiplier = 0xd6e8feb86659fd93

// Rank returns the replicas without duplicates in a follower's order of preference. Each replica is first for about as
// many followers as any other, and where one has failed its followers spread over the others.
func Rank(name string, replicas []string) []string {
	ranked := slices.Clone(replicas)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankScore(name, b), rankScore(name, a)), cmp.Compare(a, b))
	})
	return slices.Compact(ranked)
}

// rankScore is a replica's weight in rendezvous hashing.
func rankScore(name, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(replica + "\x00" + name)) // a hash's Write does not fail
	x := h.Sum64()                                  // its high bits hardly change with the last bytes of the name
	x ^= x >> 32
	x *= hashMultiplier
	x ^= x >> 32
	return x
}
