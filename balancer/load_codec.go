package balancer

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// of an entry: two of the hash, one of the load, one of the age
	loadEntryBytes         = 4
	loadErrorBit           = 1 << 7                // bit of a load: its last answer was an error
	loadRefusesConnections = 255                   // in place of a load: it takes no connection
	ageUnit                = 20 * time.Millisecond // in which ages are told; a byte holds five seconds
)

// appendOverQuota adds the latest news of customers: how many, and per customer the hash, the share and its
// age.
func (g *Balancer) appendOverQuota(b []byte) []byte {
	keys := make([]uint16, 0, len(g.quotas.overQuotaTenants))
	for key, h := range g.quotas.overQuotaTenants {
		if g.now-h.at < loadGossipMaxAge {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(g.quotas.overQuotaTenants[b].at, g.quotas.overQuotaTenants[a].at),
			cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), maxOverQuotaEntries)]
	b = append(b, byte(len(keys)))
	for _, key := range keys {
		h := g.quotas.overQuotaTenants[key]
		b = binary.BigEndian.AppendUint16(b, key)
		b = append(b, byte(math.Round(h.grantedFraction*math.MaxUint8)), byte((g.now-h.at+ageUnit-1)/ageUnit))
	}
	return b
}

// appendLoadGossip adds the latest news of customers, and of the servers in another gateway's subset, however
// it
// was
// learnt.
func (g *Balancer) appendLoadGossip(b []byte, to int) []byte {
	b = g.appendOverQuota(b)
	for _, s := range g.freshestLoads(maxLoadEntries, to) {
		load := byte(math.Min(math.Max(math.Round(s.load.requests), 0), loadErrorBit-2))
		switch {
		case s.load.refusesConnections:
			load = loadRefusesConnections
		case s.load.lastResponseFailed:
			load |= loadErrorBit
		}
		b = binary.BigEndian.AppendUint16(b, s.shortHash)
		// rounded up, or old news would grow young
		b = append(b, load, byte((g.now-s.load.reportedAt+ageUnit-1)/ageUnit))
	}
	return b
}

// tenantHash names a customer in few bytes. One that shares them with a hot one is taken for it while asks
// are
// lost.
func tenantHash(key uint64) uint16 {
	x := (key + 1) * 0x9e3779b97f4a7c15
	return uint16(x >> 48)
}

// shortEndpointHash names a server in few bytes. Two of a subset that share one are left out of its news.
func shortEndpointHash(id string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}
