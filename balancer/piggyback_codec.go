package balancer

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

const (
	// piggybackEntryBytes is the size of an entry: two bytes for a hash, one for a load or a granted
	// fraction, and one for its age.
	piggybackEntryBytes = 4
	// ageUnit is the unit of encoded ages. One byte covers ages of up to about five seconds.
	ageUnit = 20 * time.Millisecond
	// loadFailedBit is set in the encoded load of an endpoint whose last response was an error.
	loadFailedBit = 1 << 7
	// loadRefusesConnections is encoded in place of the load of an endpoint that refuses connections.
	loadRefusesConnections = 255
)

// piggyback is the gossip that is appended to quota requests and grants, so that it needs no separate
// messages.
type piggyback struct {
	pooled    pooledMeans
	overQuota []overQuotaReport
	loads     []peerLoad
}

// overQuotaReport reports the fraction of a tenant's demand that its quota can grant.
type overQuotaReport struct {
	tenantHash      uint16
	grantedFraction float64       // granted fraction of the demand, from 0 to 1
	age             time.Duration // time since the owner's report
}

// peerLoad is the load of an endpoint as one node reports it to another.
type peerLoad struct {
	endpointHash uint16
	load         float64 // requests in flight at the endpoint
	status       peerLoadStatus
	age          time.Duration // time since the load was reported or the failure occurred
}

// peerLoadStatus is the status of an endpoint that is reported along with its load.
type peerLoadStatus int

const (
	peerLoadResponded          peerLoadStatus = iota // last response was not an error
	peerLoadFailed                                   // last response was an error
	peerLoadRefusesConnections                       // refused the last connection; the load is unknown
)

// appendPiggyback encodes the pooled means, the number of over-quota reports, the reports, and the loads.
// The loads extend to the end of the message and have no count.
func appendPiggyback(message []byte, attached *piggyback) []byte {
	for _, mean := range attached.pooled {
		scaled := math.Round(math.Min(mean*pooledMeanScale, maxWireUnits))
		message = binary.AppendVarint(message, int64(scaled))
	}
	message = append(message, byte(len(attached.overQuota)))
	for _, report := range attached.overQuota {
		message = binary.BigEndian.AppendUint16(message, report.tenantHash)
		fraction := byte(math.Round(report.grantedFraction * math.MaxUint8))
		message = append(message, fraction, encodeAge(report.age))
	}
	for _, load := range attached.loads {
		message = binary.BigEndian.AppendUint16(message, load.endpointHash)
		message = append(message, load.encode(), encodeAge(load.age))
	}
	return message
}

// decodePiggyback decodes the rest of a message into attached, whose slices it reuses. It marks the reader
// as malformed if the reports are truncated.
func decodePiggyback(reader *varintReader, attached *piggyback) {
	for i := range attached.pooled {
		attached.pooled[i] = float64(reader.int()) / pooledMeanScale
	}
	attached.overQuota, attached.loads = attached.overQuota[:0], attached.loads[:0]
	count := int(reader.byte())
	if reader.malformed = reader.malformed || count*piggybackEntryBytes > len(reader.rest); reader.malformed {
		return
	}
	for ; count > 0; count-- {
		attached.overQuota = append(attached.overQuota, overQuotaReport{
			tenantHash:      binary.BigEndian.Uint16(reader.rest),
			grantedFraction: float64(reader.rest[2]) / math.MaxUint8,
			age:             decodeAge(reader.rest[3]),
		})
		reader.rest = reader.rest[piggybackEntryBytes:]
	}
	for len(reader.rest) >= piggybackEntryBytes {
		attached.loads = append(attached.loads, decodePeerLoad(reader.rest))
		reader.rest = reader.rest[piggybackEntryBytes:]
	}
}

// encode returns the load and its status as one byte. A load beyond the largest encodable one is capped.
func (l *peerLoad) encode() byte {
	load := byte(math.Min(math.Max(math.Round(l.load), 0), loadFailedBit-2))
	switch l.status {
	case peerLoadRefusesConnections:
		return loadRefusesConnections
	case peerLoadFailed:
		return load | loadFailedBit
	default:
		return load
	}
}

func decodePeerLoad(entry []byte) peerLoad {
	load := peerLoad{endpointHash: binary.BigEndian.Uint16(entry), age: decodeAge(entry[3])}
	switch {
	case entry[2] == loadRefusesConnections:
		load.status = peerLoadRefusesConnections
		return load
	case entry[2]&loadFailedBit != 0:
		load.status = peerLoadFailed
	}
	load.load = float64(entry[2] &^ loadFailedBit)
	return load
}

// encodeAge encodes an age and rounds it up. If ages were rounded down, a report would become younger each
// time that a node passes it on.
func encodeAge(age time.Duration) byte { return byte((age + ageUnit - 1) / ageUnit) }

func decodeAge(age byte) time.Duration { return time.Duration(age) * ageUnit }

// tenantHash returns a two-byte hash of a tenant. If the hashes of two tenants collide and one of them is
// over its quota, the other is treated as over its quota too: some of its requests are rejected while its
// quota requests get no answer, and the bucket of a restarted owner starts empty.
func tenantHash(tenant uint64) uint16 {
	hash := (tenant + 1) * 0x9e3779b97f4a7c15
	return uint16(hash >> 48)
}

// shortEndpointHash returns a two-byte hash of an endpoint's ID. A node ignores load gossip about a hash
// that several endpoints of its subset share.
func shortEndpointHash(id string) uint16 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return uint16(hash.Sum32() ^ hash.Sum32()>>16)
}
