package balancer

import "math"

const (
	// referenceSubsetSize is the mean number of endpoints in a subset, in a fleet with subsetReferenceRatio
	// nodes per endpoint. In other fleets it is proportional to the square root of the endpoints per node.
	referenceSubsetSize  = 12
	subsetReferenceRatio = 1.5
	// minSubsetSize is the minimum both of the mean number of endpoints in a subset and of the number of
	// subsets that contain an endpoint.
	minSubsetSize = 3
	// listLengthHysteresis is the factor by which the length of the list may change before the subsets are
	// resized, so that small changes of the list do not change many subsets.
	listLengthHysteresis = 1.25
	// rankedNodesFactor is the ratio of rankedNodes to the number of subsets that contain an endpoint. A
	// higher factor means that thresholds are recomputed less often, and that there are more candidates.
	rankedNodesFactor = 2
)

// notRanked is the membership threshold of an endpoint in whose order this node is not among the first
// [subsetSizing.rankedNodes]. It is larger than any number of subsets.
var notRanked = math.Inf(1)

// subsetSizing decides which endpoints are in this node's subset. Connections cost work on both sides. Each
// endpoint is therefore in only a few subsets, whose nodes use it often and keep their connections to it.
// Until [subsetSizing.enable] is called, the subset is the whole list, as in a small fleet.
type subsetSizing struct {
	nodeIndex, nodeCount int
	enabled              bool
	subsetsPerEndpoint   float64 // mean number of subsets that contain an endpoint
	smoothedListLength   float64 // list length with hysteresis, for subsetsPerEndpoint; 0: no list yet
	rankedNodes          int     // number of nodes at the head of an endpoint's order with a finite threshold
}

// enable limits the subset to a part of the list.
func (s *subsetSizing) enable() { s.enabled = true }

// subsetsFor returns the mean number of subsets that contain an endpoint, for a list of the given length.
// Between its bounds the number is inversely proportional to the square root of the length: if an endpoint
// is added, the other endpoints lose half as many memberships as it gains. With subsets of constant size,
// they would lose as many.
func (s *subsetSizing) subsetsFor(listLength float64) float64 {
	nodes := float64(s.nodeCount)
	if !s.enabled {
		return nodes
	}
	ratio := nodes / max(listLength, 1)
	return min(max(referenceSubsetSize*math.Sqrt(subsetReferenceRatio*ratio), minSubsetSize*ratio,
		minSubsetSize), nodes)
}

// size returns the mean number of endpoints in a subset, at least 1.
func (s *subsetSizing) size(listLength int) int {
	return max(int(s.subsetsPerEndpoint*float64(listLength))/s.nodeCount, 1)
}

// membershipThreshold returns the smallest value of subsetsPerEndpoint at which the endpoint is in this
// node's subset. Each endpoint has a fractional part of its own, so that endpoints enter one by one as the
// value grows. With integer thresholds, one endpoint added to the list could change all subsets.
func (s *subsetSizing) membershipThreshold(id string) float64 {
	if !s.enabled {
		return 0
	}
	key := endpointKey(id)
	before := nodePosition(key, s.nodeIndex, s.nodeCount, s.rankedNodes)
	if before >= s.rankedNodes {
		return notRanked
	}
	return float64(before+1) - keyFraction(key)
}

// contains reports whether the subset contains an endpoint with the given membership threshold.
func (s *subsetSizing) contains(threshold float64) bool { return threshold <= s.subsetsPerEndpoint }

// subsetChange is the effect of a new list length on the subset.
type subsetChange int

const (
	subsetUnchanged          subsetChange = iota // no endpoint enters or leaves the subset
	subsetResized                                // endpoints may enter or leave the subset
	subsetThresholdsOutdated                     // subset may change, and all thresholds must be recomputed
)

// resize adapts the number of subsets per endpoint to the length of the list, with hysteresis, and returns
// the effect on the subset.
func (s *subsetSizing) resize(listLength int) subsetChange {
	length := math.Max(float64(listLength), 1)
	if s.smoothedListLength == 0 {
		s.smoothedListLength = length
	}
	s.smoothedListLength = min(max(s.smoothedListLength, length/listLengthHysteresis),
		length*listLengthHysteresis)
	subsets := s.subsetsFor(s.smoothedListLength)
	if subsets == s.subsetsPerEndpoint {
		return subsetUnchanged
	}
	s.subsetsPerEndpoint = subsets
	if subsets+1 <= float64(s.rankedNodes) {
		return subsetResized
	}
	s.rankedNodes = min(int(rankedNodesFactor*subsets)+1, s.nodeCount)
	return subsetThresholdsOutdated
}

// subsetHolders identifies the nodes whose subsets contain an endpoint: the first ones in its order. The
// zero value has not been computed yet.
type subsetHolders struct {
	count    int    // number of these nodes
	lastRank uint64 // highest rank among them
}

// holdersOf returns the nodes whose subsets contain an endpoint. It returns the previous result if their
// number is the same, or if subsets are not enabled.
func (s *subsetSizing) holdersOf(key uint64, previous subsetHolders) subsetHolders {
	count := int(s.subsetsPerEndpoint + keyFraction(key))
	if count == previous.count || !s.enabled {
		return previous
	}
	return subsetHolders{count, lastRank(key, s.nodeCount, count)}
}
