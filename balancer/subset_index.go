package balancer

// sharedEndpoint is an endpoint of the subset with what tells whether another node's subset holds it.
type sharedEndpoint struct {
	rendezvousKey, lastSubsetRank uint64
	*endpoint
}

// sharedWith reports whether a node's subset holds the endpoint too.
func (s *sharedEndpoint) sharedWith(node int) bool {
	return rank(s.rendezvousKey, node) <= s.lastSubsetRank
}

// subsetIndex finds the endpoints of the subset that load gossip names or that are worth naming to a node.
type subsetIndex struct {
	dirty  bool                 // the subset has changed since
	byHash map[uint16]*endpoint // nil for a hash that several share
	shared []sharedEndpoint
}

func newSubsetIndex() subsetIndex { return subsetIndex{byHash: map[uint16]*endpoint{}} }

// invalidate notes that the subset has changed.
func (i *subsetIndex) invalidate() { i.dirty = true }

// isAmbiguous reports whether an endpoint of the subset shares its short hash with another.
func (i *subsetIndex) isAmbiguous(e *endpoint) bool { return i.byHash[e.shortHash] == nil }

// find returns the endpoint of the subset with a short hash, nil where none or several have it.
func (i *subsetIndex) find(shortHash uint16) *endpoint { return i.byHash[shortHash] }

// rebuild brings the index up to date with the endpoints that are tracked, if the subset has changed.
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
			e.sharers = sizing.holdersOf(e.rendezvousKey, e.sharers)
			i.shared = append(i.shared, sharedEndpoint{e.rendezvousKey, e.sharers.lastRank, e})
		}
	}
}

// addHash adds an endpoint under its short hash. Two that share one can't be told apart: neither is found.
func (i *subsetIndex) addHash(e *endpoint) {
	if _, shared := i.byHash[e.shortHash]; shared {
		i.byHash[e.shortHash] = nil
		return
	}
	i.byHash[e.shortHash] = e
}
