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

// entryMost is the longest encoding of an entry: a key, a code, units and a level.
const entryMost = 10 + 5 + 4 + 4

// The first byte of a message says what it is.
const (
	kindGossip = iota
	kindAsk
	kindAnswer
	kindBack
	kindReconciled
)

// messageMost is the longest message that the wire takes.
const messageMost = 256

// encodeGossip returns a tell. The entries of the tell before are left out where they don't fit.
func encodeGossip(epoch, seq uint64, n int, body []byte, lastN int, last []byte) []byte {
	msg := binary.AppendUvarint([]byte{kindGossip}, epoch)
	msg = binary.AppendUvarint(msg, seq)
	msg = binary.AppendUvarint(msg, uint64(n))
	msg = append(msg, body...)
	if len(msg)+1+len(last) > messageMost {
		lastN, last = 0, nil
	}
	msg = binary.AppendUvarint(msg, uint64(lastN))
	return append(msg, last...)
}

func (g *Gateway) appendEntry(b []byte, st *store) []byte {
	b = binary.AppendUvarint(b, st.key)
	b = binary.AppendUvarint(b, g.code(st))
	b = binary.AppendVarint(b, int64(math.Round(st.untold)))
	if g.set.Plans[st.plan].Open > 0 {
		b = binary.AppendUvarint(b, uint64(st.out))
	}
	return b
}

// entry is one decoded entry of a tell.
type entry struct {
	key                 uint64
	plan, spread, first int
	units               float64
	out                 int
}

// decodeGossip decodes a tell; ok is false for one that is malformed in any part.
func (g *Gateway) decodeGossip(b []byte) (epoch, seq uint64, cur, prev []entry, ok bool) {
	r := reader{b: b[1:]}
	part := func() (es []entry) {
		for n := r.uint(); n > 0 && !r.bad; n-- {
			e := entry{key: r.uint()}
			if !g.decode(r.uint(), &e.plan, &e.spread, &e.first) {
				r.bad = true
				return nil
			}
			e.units = float64(r.int())
			if g.set.Plans[e.plan].Open > 0 {
				e.out = int(min(r.uint(), 1<<20))
			}
			es = append(es, e)
		}
		return es
	}
	epoch, seq = r.uint(), r.uint()
	cur = part()
	prev = part()
	return epoch, seq, cur, prev, !r.bad && len(r.b) == 0
}

// code packs a store's plan, spread and first.
func (g *Gateway) code(st *store) uint64 {
	n := uint64(g.set.Instances)
	return (uint64(st.plan)*n+uint64(st.spread-1))*n + uint64(st.first%g.set.Instances)
}

// decode unpacks a code; it is false for one that names no plan.
func (g *Gateway) decode(code uint64, plan, spread, first *int) bool {
	n := uint64(g.set.Instances)
	if code/n/n >= uint64(len(g.set.Plans)) {
		return false
	}
	*first, *spread, *plan = int(code%n), int(code/n%n)+1, int(code/n/n)
	return true
}

// waitUnit is the unit in which an answer gives a wait.
const waitUnit = 10 * time.Millisecond

// admittedParts is the number of parts in which it gives the share of asks granted.
const admittedParts = 31

// ask is one decoded ask, answer or return.
type ask struct {
	kind                byte
	num, key            uint64
	plan, spread, first int
	units, reconciled   float64
	born                uint64
	shunned             float64
	granted             bool
	admitted            float64
	wait                time.Duration
	pool                [poolSize]float64
	overQuota, news     []byte // entries of newsBytes each
}

// encodeAsk returns an ask: kind, number, customer, code of plan, spread and first, units, units refused
// unasked,
// the store's life and the units reconciled in it.
func (g *Gateway) encodeAsk(r *request) []byte {
	msg := binary.AppendUvarint([]byte{kindAsk}, r.num)
	msg = binary.AppendUvarint(msg, r.store.key)
	msg = binary.AppendUvarint(msg, g.code(r.store))
	msg = binary.AppendVarint(msg, int64(math.Round(r.Units)))
	msg = binary.AppendUvarint(msg, uint64(math.Round(math.Min(r.store.shunned, 1e6))))
	return g.appendNews(g.appendPool(appendReconciled(msg, r.store)), r.holder)
}

// encodeReconciled returns what is reconciled in a member's store: kind, number 0, customer, life and sum.
func (g *Gateway) encodeReconciled(st *store) []byte {
	return appendReconciled(binary.AppendUvarint([]byte{kindReconciled, 0}, st.key), st)
}

func appendReconciled(msg []byte, st *store) []byte {
	st.told = math.Round(st.reconciled)
	return binary.AppendVarint(binary.AppendUvarint(msg, st.born), int64(st.told))
}

// encodeAnswer returns an answer: kind, number, share of asks granted with 0 for granted or else 1 + the
// wait.
func (g *Gateway) encodeAnswer(to int, num uint64, granted bool, wait time.Duration,
	admitted float64) []byte {
	x := uint64(math.Round(admitted * admittedParts))
	if !granted {
		x += (1 + uint64(max(wait, 0)/waitUnit)) * (admittedParts + 1)
	}
	return g.appendNews(g.appendPool(binary.AppendUvarint(binary.AppendUvarint([]byte{kindAnswer}, num), x)),
		to)
}

// encodeBack returns units or a place to the holder: kind, number, customer, units.
func encodeBack(key, num uint64, units float64) []byte {
	msg := binary.AppendUvarint(binary.AppendUvarint([]byte{kindBack}, num), key)
	return binary.AppendVarint(msg, int64(math.Round(units)))
}

// decodeAsk decodes an ask, an answer or a return; ok is false for one that is malformed in any part.
func (g *Gateway) decodeAsk(b []byte) (m ask, ok bool) {
	r := reader{b: b[1:]}
	m.kind, m.num = b[0], r.uint()
	switch m.kind {
	case kindAsk:
		m.key = r.uint()
		ok = g.decode(r.uint(), &m.plan, &m.spread, &m.first)
		m.units, m.shunned, m.born = float64(r.int()), float64(min(r.uint(), 1e6)), r.uint()
		m.reconciled = float64(r.int())
		r.bad = r.bad || !ok || m.units < 0
	case kindAnswer:
		x := r.uint()
		m.admitted = float64(x%(admittedParts+1)) / admittedParts
		x /= admittedParts + 1
		m.granted = x == 0
		m.wait = time.Duration(min(max(x, 1)-1, 6000)) * waitUnit
	case kindBack:
		m.key, m.units = r.uint(), float64(r.int())
	case kindReconciled:
		m.key, m.born, m.reconciled = r.uint(), r.uint(), float64(r.int())
	default:
		r.bad = true
	}
	talks := m.kind == kindAsk || m.kind == kindAnswer
	for i := range m.pool {
		if talks {
			m.pool[i] = float64(r.int()) / poolParts
		}
	}
	if talks && !r.bad {
		n := 1
		if len(r.b) > 0 {
			n += int(r.b[0]) * newsBytes
		}
		if r.bad = n > len(r.b); !r.bad {
			m.overQuota, r.b = r.b[1:n], r.b[n:]
			m.news, r.b = r.b, r.b[len(r.b)-len(r.b)%newsBytes:]
		}
	}
	return m, !r.bad && len(r.b) == 0
}

// poolParts is the number of parts in which the figures of the pool are given.
const poolParts = 256

func (g *Gateway) appendPool(b []byte) []byte {
	for _, x := range g.aro.pool {
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*poolParts, 1e6))))
	}
	return b
}

// reader takes varints off a message.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(r.b)
	r.skip(n)
	return x
}

// int takes a signed number of at most a million, either way.
func (r *reader) int() int64 {
	x, n := binary.Varint(r.b)
	r.skip(n)
	r.bad = r.bad || x < -1e6 || x > 1e6
	return x
}

func (r *reader) skip(n int) {
	if n <= 0 {
		r.b, r.bad = nil, true
		return
	}
	r.b = r.b[n:]
}

// gossipMost is the bytes of new entries in a tell; the repeat follows if it fits.
const gossipMost = 180

// gossipTo packs the stores to tell that about chooses, in as many messages as it takes, and returns their
// number.
func (g *Gateway) gossipTo(peer int, about func(*store) bool) (sent int) {
	p, n := &g.peers[peer], 0
	var body []byte
	flush := func() {
		if n > 0 || p.lastN > 0 {
			p.seq++
			g.out.Tell(peer, encodeGossip(g.epoch, p.seq, n, body, p.lastN, p.last))
			p.last, p.lastN, body, n = body, n, nil, 0
			sent++
		}
	}
	for _, st := range g.dirty {
		if about(st) {
			n++
			if body = g.appendEntry(body, st); len(body) > gossipMost-entryMost {
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
	newsBytes = 4                     // of an entry: two of the hash, one of the load, one of the age
	newsBad   = 1 << 7                // bit of a load: its last answer was an error
	newsDown  = 255                   // in place of a load: it takes no connection
	ageUnit   = 20 * time.Millisecond // in which ages are told; a byte holds five seconds
)

// appendOverQuota adds the latest news of customers: how many, and per customer the hash, the share and its
// age.
func (g *Gateway) appendOverQuota(b []byte) []byte {
	keys := make([]uint16, 0, len(g.overQuota))
	for key, h := range g.overQuota {
		if g.now-h.at < newsFor {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(g.overQuota[b].at, g.overQuota[a].at), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), overQuotaMost)]
	b = append(b, byte(len(keys)))
	for _, key := range keys {
		h := g.overQuota[key]
		b = binary.BigEndian.AppendUint16(b, key)
		b = append(b, byte(math.Round(h.admitted*math.MaxUint8)), byte((g.now-h.at+ageUnit-1)/ageUnit))
	}
	return b
}

// appendNews adds the latest news of customers, and of the servers in another gateway's subset, however it
// was
// learnt.
func (g *Gateway) appendNews(b []byte, to int) []byte {
	b = g.appendOverQuota(b)
	for _, s := range g.freshest(newsMost, to) {
		load := byte(math.Min(math.Max(math.Round(s.load), 0), newsBad-2))
		switch {
		case s.down:
			load = newsDown
		case s.bad:
			load |= newsBad
		}
		b = binary.BigEndian.AppendUint16(b, s.hash)
		// rounded up, or old news would grow young
		b = append(b, load, byte((g.now-s.loadAt+ageUnit-1)/ageUnit))
	}
	return b
}

// hashKey names a customer in few bytes. One that shares them with a hot one is taken for it while asks are
// lost.
func hashKey(key uint64) uint16 {
	x := (key + 1) * 0x9e3779b97f4a7c15
	return uint16(x >> 48)
}

// hashID is the key of a server in rendezvous hashing.
func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// shortHash names a server in few bytes. Two of a subset that share one are left out of its news.
func shortHash(id string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint16(h.Sum32() ^ h.Sum32()>>16)
}

// receiveOverQuota takes in news of customers, where it is newer.
func (g *Gateway) receiveOverQuota(b []byte) {
	for ; len(b) >= newsBytes; b = b[newsBytes:] {
		key, at := binary.BigEndian.Uint16(b), g.now-time.Duration(b[3])*ageUnit-newsHop
		if was, known := g.overQuota[key]; !known || at > was.at+ageUnit+newsHop {
			g.overQuota[key] = overQuota{float64(b[2]) / math.MaxUint8, at}
		}
	}
}

// receiveGossip takes in a tell, by its number and that of the sender's process.
func (g *Gateway) receiveGossip(from int, message []byte) {
	epoch, seq, cur, prev, ok := g.decodeGossip(message)
	p := &g.peers[from]
	if !ok || p.heard && epoch == p.oldEpoch && epoch != p.inEpoch {
		return
	}
	if !p.heard || epoch != p.inEpoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.oldEpoch, p.inEpoch, p.inSeq, p.heard = p.inEpoch, epoch, 0, true
	}
	if seq <= p.inSeq {
		return
	}
	if seq > p.inSeq+1 {
		g.applyGossip(from, prev)
	}
	p.inSeq = seq
	g.applyGossip(from, cur)
}
