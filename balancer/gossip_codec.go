package balancer

import (
	"encoding/binary"
	"math"
)

// Message kinds, encoded as the first byte of each message.
const (
	kindGossip = iota
	kindQuotaRequest
	kindQuotaGrant
	kindQuotaRelease
	kindReconciliation
)

const (
	// maxMessageBytes is the size of the largest message that peers accept.
	maxMessageBytes = 256
	// maxEntryBytes is the size of the longest encoded gossip entry: varints for the tenant, the plan code,
	// the units and the attempts in flight.
	maxEntryBytes = 10 + 5 + 4 + 4
	// maxWireUnits bounds the absolute value of a number of units in a message.
	maxWireUnits = 1e6
	// maxWireInFlight bounds the number of attempts in flight in an entry.
	maxWireInFlight = 1 << 20
)

// codec encodes and decodes the messages between nodes. All nodes of a fleet must have the same plans in the
// same order and the same node count.
type codec struct {
	plans     []Plan
	nodeCount int
}

// gossipMessage is one message of a gossip round. It repeats the entries of the previous message, so that no
// entry is lost when a single message is lost.
type gossipMessage struct {
	epoch    uint64 // identifies the sender's process
	sequence uint64 // number of the message to this peer within the epoch, from 1
	entries  []gossipEntry
	previous []gossipEntry // entries of the previous message
}

// gossipEntry reports a node's use of one quota.
type gossipEntry struct {
	tenant     uint64
	plan       int // index of the plan
	entryNodes entryNodes
	units      float64 // units acquired less units returned since the previous report
	inFlight   int     // attempts in flight; 0 for a plan without a concurrency limit
}

// entryBatch is a sequence of encoded entries.
type entryBatch struct {
	count   int
	encoded []byte
}

// encodeGossip returns an encoded gossip message. It omits the previous entries if they do not fit.
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

// decodeGossip decodes a gossip message. It returns false if any part of the message is malformed.
func (c *codec) decodeGossip(message []byte) (gossipMessage, bool) {
	reader := varintReader{rest: message[1:]}
	decoded := gossipMessage{epoch: reader.uint(), sequence: reader.uint()}
	decoded.entries = c.decodeEntries(&reader)
	decoded.previous = c.decodeEntries(&reader)
	return decoded, reader.done()
}

// appendEntry encodes an entry and appends it to a batch. Units are rounded to whole numbers.
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

// decodePlanCode is the inverse of [codec.planCode]. It returns false if the code contains an unknown plan.
func (c *codec) decodePlanCode(code uint64) (plan int, nodes entryNodes, known bool) {
	nodeCount := uint64(c.nodeCount)
	index := code / nodeCount / nodeCount
	if index >= uint64(len(c.plans)) {
		return 0, entryNodes{}, false
	}
	nodes = entryNodes{first: int(code % nodeCount), count: int(code/nodeCount%nodeCount) + 1}
	return int(index), nodes, true
}

// varintReader reads varints and bytes from the front of a message. After a malformed varint it returns
// zeros.
type varintReader struct {
	rest      []byte // bytes that are not read yet
	malformed bool
}

func (r *varintReader) uint() uint64 {
	value, size := binary.Uvarint(r.rest)
	r.skip(size)
	return value
}

// int reads a signed number. A number beyond [maxWireUnits] in either direction is malformed.
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

// done reports whether the message was well-formed and has been read to its end.
func (r *varintReader) done() bool { return !r.malformed && len(r.rest) == 0 }

// skip advances by the size that a binary decoding function returned; 0 or less means a malformed number.
func (r *varintReader) skip(size int) {
	if size <= 0 {
		r.rest, r.malformed = nil, true
		return
	}
	r.rest = r.rest[size:]
}
