package balancer

// sharedEndpoint is an endpoint of the subset, with a copy of the values that decide whether another node's
// subset contains it too.
type sharedEndpoint struct {
	rendezvousKey, lastSubsetRank uint64
	*endpoint
}

// sharedWith reports whether the subset of the given node contains the endpoint too.
func (s *sharedEndpoint) sharedWith(node int) bool {
	return nodeRank(s.rendezvousKey, node) <= s.lastSubsetRank
}

// subsetIndex is an index of the subset for load gossip. It finds the endpoint of a received short hash and
// the endpoints whose load to send to another node.
type subsetIndex struct {
	dirty  bool                 // the subset has changed since the last rebuild
	byHash map[uint16]*endpoint // by short hash; nil for a hash that several endpoints share
	shared []sharedEndpoint     // all endpoints of the subset
}

func newSubsetIndex() subsetIndex { return subsetIndex{byHash: map[uint16]*endpoint{}} }

// invalidate records that the subset has changed and the index must be rebuilt.
func (i *subsetIndex) invalidate() { i.dirty = true }

// isAmbiguous reports whether an endpoint of the subset shares its short hash with another.
func (i *subsetIndex) isAmbiguous(e *endpoint) bool { return i.byHash[e.shortHash] == nil }

// find returns the endpoint of the subset with the short hash, or nil if none or several have it.
func (i *subsetIndex) find(shortHash uint16) *endpoint { return i.byHash[shortHash] }

// rebuild rebuilds the index from the tracked endpoints, if the subset has changed.
func (i *subsetIndex) rebuild(tracked []*endpoint, sizing *subsetSizing) {
	if !i.dirty {
		return
	}
	i.dirty = false
	clear(i.byHash)
	i.shared = i.shared[:0]
	for _, e := range tracked {
		if e.inSubset {
			i.addHash(e)
			e.holders = sizing.holdersOf(e.rendezvousKey, e.holders)
			i.shared = append(i.shared, sharedEndpoint{e.rendezvousKey, e.holders.lastRank, e})
		}
	}
}

// addHash adds an endpoint under its short hash. Endpoints with the same hash cannot be distinguished, so
// find returns none of them.
func (i *subsetIndex) addHash(e *endpoint) {
	if _, shared := i.byHash[e.shortHash]; shared {
		i.byHash[e.shortHash] = nil
		return
	}
	i.byHash[e.shortHash] = e
}
