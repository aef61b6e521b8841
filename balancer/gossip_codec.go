package balancer

import (
	"encoding/binary"
	"math"
)

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

// maxEntryBytes is the longest encoding of an entry: a key, a code, units and a level.
const maxEntryBytes = 10 + 5 + 4 + 4

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
func (b *Balancer) entryCode(st *quotaBucket) uint64 {
	n := uint64(b.settings.NodeCount)
	return (uint64(st.plan)*n+uint64(st.entryNodes-1))*n + uint64(st.firstEntryNode%b.settings.NodeCount)
}

// decodeEntryCode unpacks a code; it is false for one that names no plan.
func (b *Balancer) decodeEntryCode(code uint64, plan, spread, first *int) bool {
	n := uint64(b.settings.NodeCount)
	if code/n/n >= uint64(len(b.settings.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
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
