package balancer

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

const (
	// piggybackEntryBytes is the size of an entry: two bytes of a hash, one of a figure, one of its age.
	piggybackEntryBytes = 4
	// ageUnit is the unit of ages; a byte of them holds five seconds.
	ageUnit = 20 * time.Millisecond
	// loadFailedBit is set in a load whose endpoint's last response was an error.
	loadFailedBit = 1 << 7
	// loadRefusesConnections stands in place of a load for an endpoint that takes no connection.
	loadRefusesConnections = 255
)

// piggyback is what goes along with quota requests and grants.
type piggyback struct {
	pooled    pooledMeans
	overQuota []overQuotaReport
	loads     []peerLoad
}

// overQuotaReport says of a tenant that its demand is over its quota.
type overQuotaReport struct {
	tenantHash      uint16
	grantedFraction float64 // of its demand
	age             time.Duration
}

// peerLoad is what another node knows of an endpoint's load.
type peerLoad struct {
	endpointHash uint16
	load         float64 // requests in flight
	status       peerLoadStatus
	age          time.Duration
}

// peerLoadStatus is what is known of an endpoint besides its load.
type peerLoadStatus int

const (
	peerLoadResponded          peerLoadStatus = iota // its last response was none of the others
	peerLoadFailed                                   // its last response was an error
	peerLoadRefusesConnections                       // it took no connection; its load is unknown
)

// appendPiggyback adds the pooled means, a count of reports over quota and these, and loads up to the end.
func appendPiggyback(message []byte, attached *piggyback) []byte {
	for _, mean := range attached.pooled {
		scaled := math.Round(math.Min(mean*poolUnitsPerOne, maxWireUnits))
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

// decodePiggyback takes the rest of a message. It reuses the slices that it is given.
func decodePiggyback(reader *varintReader, attached *piggyback) {
	for i := range attached.pooled {
		attached.pooled[i] = float64(reader.int()) / poolUnitsPerOne
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

// encode returns the byte of a load and its status.
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

// encodeAge rounds up: rounded down, a report would grow younger from node to node.
func encodeAge(age time.Duration) byte { return byte((age + ageUnit - 1) / ageUnit) }

func decodeAge(age byte) time.Duration { return time.Duration(age) * ageUnit }

// tenantHash names a tenant in two bytes. A tenant that shares them with one over its quota is taken for it
// while its quota requests are lost.
func tenantHash(tenant uint64) uint16 {
	hash := (tenant + 1) * 0x9e3779b97f4a7c15
	return uint16(hash >> 48)
}

// shortEndpointHash names an endpoint in two bytes. Two endpoints of a subset that share them are left out of
// load gossip.
func shortEndpointHash(id string) uint16 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return uint16(hash.Sum32() ^ hash.Sum32()>>16)
}
