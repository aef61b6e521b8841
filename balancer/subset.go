package balancer

import "math"

const (
	// referenceSubsetSize is the number of endpoints in a subset, on average, in a fleet with
	// subsetReferenceRatio nodes to an endpoint. In other fleets it follows the root of their ratio.
	referenceSubsetSize  = 12
	subsetReferenceRatio = 1.5
	// minSubsetSize is the least number of endpoints in a subset, on average, and of subsets that hold an
	// endpoint.
	minSubsetSize = 3
	// listLengthSlack is the factor by which the length of the list may change before the subsets follow.
	listLengthSlack = 1.25
	// rankedNodesFactor is how far ahead an endpoint's order of the nodes is worked out, as a multiple of the
	// subsets that hold it.
	rankedNodesFactor = 2
)

// notRanked is the entry threshold of an endpoint in whose order this node is not among those ranked so
// far. It is larger than any number of subsets.
var notRanked = math.Inf(1)

// subsetSizing decides which endpoints this node's subset holds. Every connection costs both sides work: an
// endpoint is in few enough subsets that the nodes which share it keep their connections and meet it often.
// Until [subsetSizing.enable] the subset is the whole list, as in a small fleet.
type subsetSizing struct {
	nodeIndex, nodeCount int
	enabled              bool
	subsetsPerEndpoint   float64 // number of subsets that hold each endpoint
	smoothedListLength   float64 // from which that follows; 0: no list yet
	rankedNodes          int     // positions in an endpoint's order of the nodes that are told apart
}

// enable has the subset hold a part of the list only.
func (s *subsetSizing) enable() { s.enabled = true }

// subsetsFor returns the number of subsets that hold each endpoint of a list of a length. It falls with the
// root of the length: an endpoint more takes half as many places from others as it brings. With subsets of
// one size it would take as many.
func (s *subsetSizing) subsetsFor(listLength float64) float64 {
	nodes := float64(s.nodeCount)
	if !s.enabled {
		return nodes
	}
	ratio := nodes / max(listLength, 1)
	return min(max(referenceSubsetSize*math.Sqrt(subsetReferenceRatio*ratio), minSubsetSize*ratio,
		minSubsetSize), nodes)
}

// size returns the number of endpoints in a subset, on average and at least one.
func (s *subsetSizing) size(listLength int) int {
	return max(int(s.subsetsPerEndpoint*float64(listLength))/s.nodeCount, 1)
}

// entryThreshold returns the number of subsets for each endpoint from which on one is in this node's subset.
// Endpoints enter one by one as that number grows, each at a fraction of its own: otherwise one endpoint
// more might change all subsets.
func (s *subsetSizing) entryThreshold(id string) float64 {
	if !s.enabled {
		return 0
	}
	key := endpointKey(id)
	before := position(key, s.nodeIndex, s.nodeCount, s.rankedNodes)
	if before >= s.rankedNodes {
		return notRanked
	}
	return float64(before+1) - fraction(key)
}

// contains reports whether the subset holds an endpoint that enters it at a number of subsets.
func (s *subsetSizing) contains(entersAt float64) bool { return entersAt <= s.subsetsPerEndpoint }

// subsetChange says what follows from a change of the number of subsets.
type subsetChange int

const (
	subsetStays       subsetChange = iota
	subsetMoves                    // endpoints may enter the subset or leave it
	subsetBeyondRanks              // and each endpoint's order has to be worked out further
)

// follow has the number of subsets follow the length of the list, with hysteresis.
func (s *subsetSizing) follow(listLength int) subsetChange {
	length := math.Max(float64(listLength), 1)
	if s.smoothedListLength == 0 {
		s.smoothedListLength = length
	}
	s.smoothedListLength = min(max(s.smoothedListLength, length/listLengthSlack), length*listLengthSlack)
	subsets := s.subsetsFor(s.smoothedListLength)
	if subsets == s.subsetsPerEndpoint {
		return subsetStays
	}
	s.subsetsPerEndpoint = subsets
	if subsets+1 <= float64(s.rankedNodes) {
		return subsetMoves
	}
	s.rankedNodes = min(int(rankedNodesFactor*subsets)+1, s.nodeCount)
	return subsetBeyondRanks
}

// subsetHolders says which nodes' subsets hold an endpoint: the first in its order. The zero value is not
// worked out.
type subsetHolders struct {
	count    int    // when last worked out
	lastRank uint64 // of the last of them in the endpoint's order
}

// holdersOf returns the nodes whose subsets hold an endpoint; what was known of it before saves the work
// where their number is the same.
func (s *subsetSizing) holdersOf(key uint64, before subsetHolders) subsetHolders {
	count := int(s.subsetsPerEndpoint + fraction(key))
	if count == before.count || !s.enabled {
		return before
	}
	return subsetHolders{count, lastRank(key, s.nodeCount, count)}
}
