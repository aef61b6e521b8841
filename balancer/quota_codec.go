package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

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
	pooledMeans                      pooledMeans
	overQuota, loadGossip            []byte // entries of newsBytes each
}

// encodeQuotaRequest returns an ask: kind, number, customer, code of plan, spread and first, units, units
// refused
// unasked,
// the store's life and the units reconciled in it.
func (b *Balancer) encodeQuotaRequest(r *request) []byte {
	msg := binary.AppendUvarint([]byte{kindQuotaRequest}, r.number)
	msg = binary.AppendUvarint(msg, r.quota.tenant)
	msg = binary.AppendUvarint(msg, b.entryCode(r.quota))
	msg = binary.AppendVarint(msg, int64(math.Round(r.Units)))
	msg = binary.AppendUvarint(msg, uint64(math.Round(math.Min(r.quota.locallyRejectedUnits, 1e6))))
	return b.appendLoadGossip(b.appendPool(appendReconciliation(msg, r.quota)), r.quotaOwner)
}

// encodeReconciliation returns what is reconciled in a member's store: kind, number 0, customer, life and
// sum.
func (b *Balancer) encodeReconciliation(st *quotaBucket) []byte {
	return appendReconciliation(binary.AppendUvarint([]byte{kindReconciliation, 0}, st.tenant), st)
}

func appendReconciliation(msg []byte, st *quotaBucket) []byte {
	st.reportedReconciliation = math.Round(st.reconciledUnits)
	return binary.AppendVarint(binary.AppendUvarint(msg, st.incarnation), int64(st.reportedReconciliation))
}

// encodeQuotaGrant returns an answer: kind, number, share of asks granted with 0 for granted or else 1 + the
// wait.
func (b *Balancer) encodeQuotaGrant(to int, num uint64, granted bool, wait time.Duration,
	admitted float64) []byte {
	x := uint64(math.Round(admitted * grantedFractionSteps))
	if !granted {
		x += (1 + uint64(max(wait, 0)/retryAfterUnit)) * (grantedFractionSteps + 1)
	}
	return b.appendLoadGossip(b.appendPool(binary.AppendUvarint(binary.AppendUvarint([]byte{kindQuotaGrant},
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
	for _, x := range g.overload.pooled {
		b = binary.AppendVarint(b, int64(math.Round(math.Min(x*poolUnitsPerOne, 1e6))))
	}
	return b
}
