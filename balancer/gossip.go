package balancer

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// The protocol of tells: packing, numbering and decoding. What is told, how often and what it does to a
// store is decided in choice.go.
// A tell holds the sender's epoch, its number, a count of
// entries and the entries, then the same of the tell before. All are varints.
// An entry holds the customer, a code of plan, spread and first, the units as
// a signed delta, and for a plan with Open the attempts out as a level.

// maxEntryBytes is the longest encoding of an entry: a key, a code, units and a level.
const maxEntryBytes = 10 + 5 + 4 + 4

// The first byte of a message says what it is.
const (
	kindGossip = iota
	kindQuotaRequest
	kindQuotaGrant
	kindQuotaRelease
	kindReconciliation
)

// maxMessageBytes is the longest message that the wire takes.
const maxMessageBytes = 256

// encodeGossip returns a tell. The entries of the tell before are left out where they don't fit.
func encodeGossip(epoch, seq uint64, n int, body []byte, lastN int, last []byte) []byte {
	msg := binary.AppendUvarint([]byte{kindGossip}, epoch)
	msg = binary.AppendUvarint(msg, seq)
	msg = binary.AppendUvarint(msg, uint64(n))
	msg = append(msg, body...)
	if len(msg)+1+len(last) > maxMessageBytes {
		lastN, last = 0, nil
	}
	msg = binary.AppendUvarint(msg, uint64(lastN))
	return append(msg, last...)
}

func (g *Balancer) appendEntry(b []byte, st *quotaBucket) []byte {
	b = binary.AppendUvarint(b, st.tenant)
	b = binary.AppendUvarint(b, g.entryCode(st))
	b = binary.AppendVarint(b, int64(math.Round(st.unreportedUnits)))
	if g.settings.Plans[st.plan].MaxConcurrent > 0 {
		b = binary.AppendUvarint(b, uint64(st.inFlight))
	}
	return b
}

// gossipEntry is one decoded entry of a tell.
type gossipEntry struct {
	tenant                           uint64
	plan, entryNodes, firstEntryNode int
	units                            float64
	inFlight                         int
}

// decodeGossip decodes a tell; ok is false for one that is malformed in any part.
func (g *Balancer) decodeGossip(b []byte) (epoch, seq uint64, cur, prev []gossipEntry, ok bool) {
	r := varintReader{rest: b[1:]}
	part := func() (es []gossipEntry) {
		for n := r.uint(); n > 0 && !r.malformed; n-- {
			e := gossipEntry{tenant: r.uint()}
			if !g.decodeEntryCode(r.uint(), &e.plan, &e.entryNodes, &e.firstEntryNode) {
				r.malformed = true
				return nil
			}
			e.units = float64(r.int())
			if g.settings.Plans[e.plan].MaxConcurrent > 0 {
				e.inFlight = int(min(r.uint(), 1<<20))
			}
			es = append(es, e)
		}
		return es
	}
	epoch, seq = r.uint(), r.uint()
	cur = part()
	prev = part()
	return epoch, seq, cur, prev, !r.malformed && len(r.rest) == 0
}

// entryCode packs a store's plan, spread and first.
func (g *Balancer) entryCode(st *quotaBucket) uint64 {
	n := uint64(g.settings.NodeCount)
	return (uint64(st.plan)*n+uint64(st.entryNodes-1))*n + uint64(st.firstEntryNode%g.settings.NodeCount)
}

// decodeEntryCode unpacks a code; it is false for one that names no plan.
func (g *Balancer) decodeEntryCode(code uint64, plan, spread, first *int) bool {
	n := uint64(g.settings.NodeCount)
	if code/n/n >= uint64(len(g.settings.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
}

// retryAfterUnit is the unit in which an answer gives a wait.
const retryAfterUnit = 10 * time.Millisecond

// grantedFractionSteps is the number of parts in which it gives the share of asks granted.
const grantedFractionSteps = 31

// quotaMessage is one decoded ask, answer or return.
type quotaMessage struct {
	kind                             byte
	number, tenant                   uint64
	plan, entryNodes, firstEntryNode int
	units, reconciledUnits           float64
	incarnation                      uint64
	locallyRejectedUnits             float64
	granted                          bool
	grantedFraction                  float64
	retryAfter                       time.Duration
	pooledMeans                      [poolSize]float64
	overQuota, loadGossip            []byte // entries of newsBytes each
}

// encodeQuotaRequest returns an ask: kind, number, customer, code of plan, spread and first, units, units
// refused
// unasked,
// the store's life and the units reconciled in it.
func (g *Balancer) encodeQuotaRequest(r *request) []byte {
	msg := binary.AppendUvarint([]byte{kindQuotaRequest}, r.number)
	msg = binary.AppendUvarint(msg, r.quota.tenant)
	msg = binary.AppendUvarint(msg, g.entryCode(r.quota))
	msg = binary.AppendVarint(msg, int64(math.Round(r.Units)))
	msg = binary.AppendUvarint(msg, uint64(math.Round(math.Min(r.quota.locallyRejectedUnits, 1e6))))
	return g.appendLoadGossip(g.appendPool(appendReconciliation(msg, r.quota)), r.quotaOwner)
}

// encodeReconciliation returns what is reconciled in a member's store: kind, number 0, customer, life and
// sum.
func (g *Balancer) encodeReconciliation(st *quotaBucket) []byte {
	return appendReconciliation(binary.AppendUvarint([]byte{kindReconciliation, 0}, st.tenant), st)
}

func appendReconciliation(msg []byte, st *quotaBucket) []byte {
	st.reportedReconciliation = math.Round(st.reconciledUnits)
	return binary.AppendVarint(binary.AppendUvarint(msg, st.incarnation), int64(st.reportedReconciliation))
}

// encodeQuotaGrant returns an answer: kind, number, share of asks granted with 0 for granted or else 1 + the
// wait.
func (g *Balancer) encodeQuotaGrant(to int, num uint64, granted bool, wait time.Duration,
	admitted float64) []byte {
	x := uint64(math.Round(admitted * grantedFractionSteps))
	if !granted {
		x += (1 + uint64(max(wait, 0)/retryAfterUnit)) * (grantedFractionSteps + 1)
	}
	return g.appendLoadGossip(g.appendPool(binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaGrant},
		num), x)),
		to)
}

// encodeQuotaRelease returns units or a place to the holder: kind, number, customer, units.
func encodeQuotaRelease(key, num uint64, units float64) []byte {
	msg := binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaRelease}, num), key)
	return binary.AppendVarint(msg, int64(math.Round(units)))
}

// decodeQuotaMessage decodes an ask, an answer or a return; ok is false for one that is malformed in any
// part.
func (g *Balancer) decodeQuotaMessage(b []byte) (m quotaMessage, ok bool) {
	r := varintReader{rest: b[1:]}
	m.kind, m.number = b[0], r.uint()
	switch m.kind {
	case kindQuotaRequest:
		m.tenant = r.uint()
		ok = g.decodeEntryCode(r.uint(), &m.plan, &m.entryNodes, &m.firstEntryNode)
		m.units, m.locallyRejectedUnits, m.incarnation = float64(r.int()), float64(min(r.uint(), 1e6)),
			r.uint()
		m.reconciledUnits = float64(r.int())
		r.malformed = r.malformed || !ok || m.units < 0
	case kindQuotaGrant:
		x := r.uint()
		m.grantedFraction = float64(x%(grantedFractionSteps+1)) / grantedFractionSteps
		x /= grantedFractionSteps + 1
		m.granted = x == 0
		m.retryAfter = time.Duration(min(max(x, 1)-1, 6000)) * retryAfterUnit
	case kindQuotaRelease:
		m.tenant, m.units = r.uint(), float64(r.int())
	case kindReconciliation:
		m.tenant, m.incarnation, m.reconciledUnits = r.uint(), r.uint(), float64(r.int())
	default:
		r.malformed = true
	}
	talks := m.kind == kindQuotaRequest || m.kind == kindQuotaGrant
	for i := range m.pooledMeans {
		if talks {
			m.pooledMeans[i] = float64(r.int()) / poolUnitsPerOne
		}
	}
	if talks && !r.malformed {
		n := 1
		if len(r.rest) > 0 {
			n += int(r.rest[0]) * loadEntryBytes
		}
		if r.malformed = n > len(r.rest); !r.malformed {
			m.overQuota, r.rest = r.rest[1:n], r.rest[n:]
			m.loadGossip, r.rest = r.rest, r.rest[len(r.rest)-len(r.rest)%loadEntryBytes:]
		}
	}
	return m, !r.malformed && len(r.rest) == 0
}

// poolUnitsPerOne is the number of parts in which the figures of the pool are given.
const poolUnitsPerOne = 256

func (g *Balancer) appendPool(b []byte) []byte {
	for _, x := range g.overload.pooledMeans {
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*poolUnitsPerOne, 1e6))))
	}
	return b
}

// varintReader takes varints off a message.
type varintReader struct {
	rest      []byte
	malformed bool
}

func (r *varintReader) uint() uint64 {
	x, n := binary.Uvarint(r.rest)
	r.skip(n)
	return x
}

// int takes a signed number of at most a million, either way.
func (r *varintReader) int() int64 {
	x, n := binary.Varint(r.rest)
	r.skip(n)
	r.malformed = r.malformed || x < -1e6 || x > 1e6
	return x
}

func (r *varintReader) skip(n int) {
	if n <= 0 {
		r.rest, r.malformed = nil, true
		return
	}
	r.rest = r.rest[n:]
}

// maxNewEntryBytes is the bytes of new entries in a tell; the repeat follows if it fits.
const maxNewEntryBytes = 180

// gossipTo packs the stores to tell that about chooses, in as many messages as it takes, and returns their
// number.
func (g *Balancer) gossipTo(peer int, about func(*quotaBucket) bool) (sent int) {
	p, n := &g.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.previousEntryCount > 0 {
			p.sentSequence++
			g.actions.SendPeer(peer, encodeGossip(g.epoch, p.sentSequence, n, body, p.previousEntryCount,
				p.previousEntries))
			p.previousEntries, p.previousEntryCount, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range g.unreported {
		if about(st) {
			n++
			if body = g.appendEntry(body, st); len(body) > maxNewEntryBytes-maxEntryBytes {
				flush()
			}
		}
	}
	if n > 0 || sent == 0 {
		flush()
	}
	return sent
}

// News of servers ends an ask or an answer: per server the hash of its name, its load and how old that is.
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
	keys := make([]uint16, 0, len(g.overQuotaTenants))
	for key, h := range g.overQuotaTenants {
		if g.now-h.at < loadGossipMaxAge {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(g.overQuotaTenants[b].at, g.overQuotaTenants[a].at), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), maxOverQuotaEntries)]
	b = append(b, byte(len(keys)))
	for _, key := range keys {
		h := g.overQuotaTenants[key]
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
		load := byte(math.Min(math.Max(math.Round(s.reportedLoad), 0), loadErrorBit-2))
		switch {
		case s.refusesConnections:
			load = loadRefusesConnections
		case s.lastResponseFailed:
			load |= loadErrorBit
		}
		b = binary.BigEndian.AppendUint16(b, s.shortHash)
		// rounded up, or old news would grow young
		b = append(b, load, byte((g.now-s.loadReportedAt+ageUnit-1)/ageUnit))
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

// endpointKey is the key of a server in rendezvous hashing.
func endpointKey(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// shortEndpointHash names a server in few bytes. Two of a subset that share one are left out of its news.
func shortEndpointHash(id string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// receiveOverQuota takes in news of customers, where it is newer.
func (g *Balancer) receiveOverQuota(b []byte) {
	for ; len(b) >= loadEntryBytes; b = b[loadEntryBytes:] {
		key, at := binary.BigEndian.Uint16(b), g.now-time.Duration(b[3])*ageUnit-peerMessageDelay
		if was, known := g.overQuotaTenants[key]; !known || at > was.at+ageUnit+peerMessageDelay {
			g.overQuotaTenants[key] = overQuotaTenant{float64(b[2]) / math.MaxUint8, at}
		}
	}
}

// receiveGossip takes in a tell, by its number and that of the sender's process.
func (g *Balancer) receiveGossip(from int, message []byte) {
	epoch, seq, cur, prev, ok := g.decodeGossip(message)
	p := &g.peers[from]
	if !ok || p.received && epoch == p.previousEpoch && epoch != p.epoch {
		return
	}
	if !p.received || epoch != p.epoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.previousEpoch, p.epoch, p.receivedSequence, p.received = p.epoch, epoch, 0, true
	}
	if seq <= p.receivedSequence {
		return
	}
	if seq > p.receivedSequence+1 {
		g.applyGossipEntries(from, prev)
	}
	p.receivedSequence = seq
	g.applyGossipEntries(from, cur)
}
