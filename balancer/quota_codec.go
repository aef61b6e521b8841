package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// retryAfterUnit is the unit in which a grant gives the time to the next request.
	retryAfterUnit = 10 * time.Millisecond
	// maxRetryAfterUnits bounds that time: a minute.
	maxRetryAfterUnits = 6000
	// grantedFractionSteps is the number of steps from 0 to 1 in which a grant gives the granted fraction.
	grantedFractionSteps = 31
	// poolUnitsPerOne is the number of steps to 1 in which the pooled means are given.
	poolUnitsPerOne = 256
)

// quotaRequest asks the owner of a quota for the units of one request.
type quotaRequest struct {
	number         uint64 // of the request at the requester
	tenant         uint64
	plan           int // its index
	entryNodes     entryNodes
	units          float64
	reconciliation reconciliation
	// locallyRejectedUnits were rejected by the requester since its last quota request.
	locallyRejectedUnits float64
}

// quotaGrant is the owner's answer to a [quotaRequest].
type quotaGrant struct {
	number          uint64
	granted         bool
	retryAfter      time.Duration // if not granted: until then the requester should not ask again
	grantedFraction float64       // of the demand that the owner can grant
}

// quotaRelease returns units that were granted and not used, and the lease of an attempt in flight.
type quotaRelease struct {
	number uint64
	tenant uint64
	units  float64
}

// reconciliation is the sum of the corrections that a requester has made to its use of one quota. It is a sum
// and not a difference so that the next one makes up for one that was lost.
type reconciliation struct {
	incarnation uint64 // of the requester's bucket; a new one starts its sum at 0
	units       float64
}

// encodeQuotaRequest returns the message of a quota request.
func (c *codec) encodeQuotaRequest(request *quotaRequest, attached *piggyback) []byte {
	message := binary.AppendUvarint([]byte{kindQuotaRequest}, request.number)
	message = binary.AppendUvarint(message, request.tenant)
	message = binary.AppendUvarint(message, c.planCode(request.plan, request.entryNodes))
	message = binary.AppendVarint(message, int64(math.Round(request.units)))
	rejected := math.Round(math.Min(request.locallyRejectedUnits, maxWireUnits))
	message = binary.AppendUvarint(message, uint64(rejected))
	return appendPiggyback(appendReconciliation(message, request.reconciliation), attached)
}

// decodeQuotaRequest decodes a quota request and what is attached to it. Like the other decoders it reports
// false for a message that is malformed in any part.
func (c *codec) decodeQuotaRequest(message []byte, attached *piggyback) (quotaRequest, bool) {
	reader := varintReader{rest: message[1:]}
	request := quotaRequest{number: reader.uint(), tenant: reader.uint()}
	var known bool
	request.plan, request.entryNodes, known = c.decodePlanCode(reader.uint())
	request.units = float64(reader.int())
	request.locallyRejectedUnits = float64(min(reader.uint(), maxWireUnits))
	request.reconciliation = decodeReconciliation(&reader)
	decodePiggyback(&reader, attached)
	return request, reader.done() && known && request.units >= 0
}

// encodeQuotaGrant returns the message of a grant. One number holds the granted fraction and, above it, 0
// for a grant or else 1 and the time to the next request.
func encodeQuotaGrant(grant *quotaGrant, attached *piggyback) []byte {
	code := uint64(math.Round(grant.grantedFraction * grantedFractionSteps))
	if !grant.granted {
		code += (1 + uint64(max(grant.retryAfter, 0)/retryAfterUnit)) * (grantedFractionSteps + 1)
	}
	message := binary.AppendUvarint([]byte{kindQuotaGrant}, grant.number)
	return appendPiggyback(binary.AppendUvarint(message, code), attached)
}

func decodeQuotaGrant(message []byte, attached *piggyback) (quotaGrant, bool) {
	reader := varintReader{rest: message[1:]}
	grant := quotaGrant{number: reader.uint()}
	code := reader.uint()
	grant.grantedFraction = float64(code%(grantedFractionSteps+1)) / grantedFractionSteps
	code /= grantedFractionSteps + 1
	grant.granted = code == 0
	grant.retryAfter = time.Duration(min(max(code, 1)-1, maxRetryAfterUnits)) * retryAfterUnit
	decodePiggyback(&reader, attached)
	return grant, reader.done()
}

func encodeQuotaRelease(release quotaRelease) []byte {
	message := binary.AppendUvarint([]byte{kindQuotaRelease}, release.number)
	message = binary.AppendUvarint(message, release.tenant)
	return binary.AppendVarint(message, int64(math.Round(release.units)))
}

func decodeQuotaRelease(message []byte) (quotaRelease, bool) {
	reader := varintReader{rest: message[1:]}
	release := quotaRelease{number: reader.uint(), tenant: reader.uint(), units: float64(reader.int())}
	return release, reader.done()
}

// encodeReconciliation returns the message of a reconciliation without a quota request. Its number is 0.
func encodeReconciliation(tenant uint64, sum reconciliation) []byte {
	return appendReconciliation(binary.AppendUvarint([]byte{kindReconciliation, 0}, tenant), sum)
}

func decodeReconciliationMessage(message []byte) (tenant uint64, sum reconciliation, ok bool) {
	reader := varintReader{rest: message[1:]}
	_, tenant = reader.uint(), reader.uint()
	sum = decodeReconciliation(&reader)
	return tenant, sum, reader.done()
}

func appendReconciliation(message []byte, sum reconciliation) []byte {
	return binary.AppendVarint(binary.AppendUvarint(message, sum.incarnation), int64(sum.units))
}

func decodeReconciliation(reader *varintReader) reconciliation {
	return reconciliation{incarnation: reader.uint(), units: float64(reader.int())}
}
