package balancer

import (
	"encoding/binary"
	"math"
)

// The first byte of a message is its kind.
const (
	kindGossip = iota
	kindQuotaRequest
	kindQuotaGrant
	kindQuotaRelease
	kindReconciliation
)

const (
	// maxMessageBytes is the longest message that peers accept.
	maxMessageBytes = 256
	// maxEntryBytes is the longest encoding of a gossip entry: tenant, code, units and attempts in flight.
	maxEntryBytes = 10 + 5 + 4 + 4
	// maxWireUnits bounds the units that a message may carry, either way.
	maxWireUnits = 1e6
	// maxWireInFlight bounds the attempts in flight that an entry may carry.
	maxWireInFlight = 1 << 20
)

// codec encodes and decodes the messages between nodes. It relies on all nodes of a fleet having the same
// plans in the same order and the same count of nodes.
type codec struct {
	plans     []Plan
	nodeCount int
}

// gossipMessage is one message of a round of gossip. It repeats the entries of the message before, so that
// the loss of a single message loses nothing.
type gossipMessage struct {
	epoch    uint64 // of the sender's process
	sequence uint64 // of the message within that process, from 1
	entries  []gossipEntry
	previous []gossipEntry
}

// gossipEntry reports a node's use of one quota.
type gossipEntry struct {
	tenant     uint64
	plan       int // its index
	entryNodes entryNodes
	units      float64 // acquired since the report before; negative when more was returned
	inFlight   int     // attempts; 0 for a plan without a limit on them
}

// entryBatch is a number of encoded entries.
type entryBatch struct {
	count   int
	encoded []byte
}

// encodeGossip returns a gossip message. The entries of the message before are left out where they don't fit.
func encodeGossip(epoch, sequence uint64, entries, previous entryBatch) []byte {
	message := binary.AppendUvarint([]byte{kindGossip}, epoch)
	message = binary.AppendUvarint(message, sequence)
	message = binary.AppendUvarint(message, uint64(entries.count))
	message = append(message, entries.encoded...)
	if len(message)+1+len(previous.encoded) > maxMessageBytes {
		previous = entryBatch{}
	}
	message = binary.AppendUvarint(message, uint64(previous.count))
	return append(message, previous.encoded...)
}

// decodeGossip decodes a gossip message. It reports false for one that is malformed in any part.
func (c *codec) decodeGossip(message []byte) (gossipMessage, bool) {
	reader := varintReader{rest: message[1:]}
	decoded := gossipMessage{epoch: reader.uint(), sequence: reader.uint()}
	decoded.entries = c.decodeEntries(&reader)
	decoded.previous = c.decodeEntries(&reader)
	return decoded, reader.done()
}

// appendEntry adds one encoded entry to a batch.
func (c *codec) appendEntry(batch *entryBatch, entry *gossipEntry) {
	encoded := binary.AppendUvarint(batch.encoded, entry.tenant)
	encoded = binary.AppendUvarint(encoded, c.planCode(entry.plan, entry.entryNodes))
	encoded = binary.AppendVarint(encoded, int64(math.Round(entry.units)))
	if c.plans[entry.plan].MaxConcurrent > 0 {
		encoded = binary.AppendUvarint(encoded, uint64(entry.inFlight))
	}
	batch.count, batch.encoded = batch.count+1, encoded
}

func (c *codec) decodeEntries(reader *varintReader) (entries []gossipEntry) {
	for count := reader.uint(); count > 0 && !reader.malformed; count-- {
		entry := gossipEntry{tenant: reader.uint()}
		var known bool
		if entry.plan, entry.entryNodes, known = c.decodePlanCode(reader.uint()); !known {
			reader.malformed = true
			return nil
		}
		entry.units = float64(reader.int())
		if c.plans[entry.plan].MaxConcurrent > 0 {
			entry.inFlight = int(min(reader.uint(), maxWireInFlight))
		}
		entries = append(entries, entry)
	}
	return entries
}

// planCode packs the index of a plan and a tenant's entry nodes into one number.
func (c *codec) planCode(plan int, nodes entryNodes) uint64 {
	nodeCount := uint64(c.nodeCount)
	code := uint64(plan)*nodeCount + uint64(nodes.count-1)
	return code*nodeCount + uint64(nodes.first%c.nodeCount)
}

// decodePlanCode unpacks a number of [codec.planCode]. It reports false for one that names no plan.
func (c *codec) decodePlanCode(code uint64) (plan int, nodes entryNodes, known bool) {
	nodeCount := uint64(c.nodeCount)
	index := code / nodeCount / nodeCount
	if index >= uint64(len(c.plans)) {
		return 0, entryNodes{}, false
	}
	nodes = entryNodes{first: int(code % nodeCount), count: int(code/nodeCount%nodeCount) + 1}
	return int(index), nodes, true
}

// varintReader takes varints off the front of a message. After the first malformed one it reads zeros.
type varintReader struct {
	rest      []byte
	malformed bool
}

func (r *varintReader) uint() uint64 {
	value, size := binary.Uvarint(r.rest)
	r.skip(size)
	return value
}

// int takes a signed number of at most [maxWireUnits] either way.
func (r *varintReader) int() int64 {
	value, size := binary.Varint(r.rest)
	r.skip(size)
	r.malformed = r.malformed || value < -maxWireUnits || value > maxWireUnits
	return value
}

func (r *varintReader) byte() byte {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	value := r.rest[0]
	r.rest = r.rest[1:]
	return value
}

// done reports whether the message was well-formed and is used up.
func (r *varintReader) done() bool { return !r.malformed && len(r.rest) == 0 }

func (r *varintReader) skip(size int) {
	if size <= 0 {
		r.rest, r.malformed = nil, true
		return
	}
	r.rest = r.rest[size:]
}
