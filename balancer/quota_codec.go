package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// retryAfterUnit is the unit of the retry delay in a grant.
	retryAfterUnit = 10 * time.Millisecond
	// maxRetryAfterUnits limits a decoded retry delay to one minute.
	maxRetryAfterUnits = 6000
	// grantedFractionSteps is the number of steps from 0 to 1 in the encoding of the granted fraction in a
	// grant.
	grantedFractionSteps = 31
	// pooledMeanScale is the factor by which the pooled means are multiplied before they are rounded and
	// encoded.
	pooledMeanScale = 256
)

// quotaRequest asks an owner of a quota for the units of one request.
type quotaRequest struct {
	number         uint64 // number of the request at the requester
	tenant         uint64
	plan           int // index of the plan
	entryNodes     entryNodes
	units          float64 // units requested
	reconciliation reconciliation
	// locallyRejectedUnits are the units that the requester has rejected without a quota request since its
	// previous quota request. The owner adds them to the tenant's demand.
	locallyRejectedUnits float64
}

// quotaGrant is the owner's answer to a [quotaRequest], granted or not.
type quotaGrant struct {
	number          uint64 // number of the quota request
	granted         bool
	retryAfter      time.Duration // if not granted: time for which the requester should not ask again
	grantedFraction float64       // fraction of the tenant's demand that the owner can grant
}

// quotaRelease returns unused granted units and releases the concurrency lease of a request.
type quotaRelease struct {
	number uint64 // number of the quota request
	tenant uint64
	units  float64 // units returned
}

// reconciliation is the sum of a requester's corrections to its recorded use of one quota. Because it is a
// sum and not a difference, the next message compensates for a lost one.
type reconciliation struct {
	incarnation uint64  // incarnation of the requester's bucket; the sum of a new one starts at 0
	units       float64 // units to add to the owner's tokens since the start of the incarnation
}

// encodeQuotaRequest returns an encoded quota request with the attached gossip.
func (c *codec) encodeQuotaRequest(request *quotaRequest, attached *piggyback) []byte {
	message := binary.AppendUvarint([]byte{kindQuotaRequest}, request.number)
	message = binary.AppendUvarint(message, request.tenant)
	message = binary.AppendUvarint(message, c.planCode(request.plan, request.entryNodes))
	message = binary.AppendVarint(message, int64(math.Round(request.units)))
	rejected := math.Round(math.Min(request.locallyRejectedUnits, maxWireUnits))
	message = binary.AppendUvarint(message, uint64(rejected))
	return appendPiggyback(appendReconciliation(message, request.reconciliation), attached)
}

// decodeQuotaRequest decodes a quota request and the gossip attached to it. Like the other decoders, it
// returns false if any part of the message is malformed.
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

// encodeQuotaGrant returns an encoded grant with the attached gossip. One varint contains the granted
// fraction and the retry delay: the fraction in steps, plus (grantedFractionSteps + 1) times the delay code.
// The delay code is 0 if the request was granted, and otherwise 1 plus the delay in units of
// [retryAfterUnit].
func encodeQuotaGrant(grant *quotaGrant, attached *piggyback) []byte {
	code := uint64(math.Round(grant.grantedFraction * grantedFractionSteps))
	if !grant.granted {
		code += (1 + uint64(max(grant.retryAfter, 0)/retryAfterUnit)) * (grantedFractionSteps + 1)
	}
	message := binary.AppendUvarint([]byte{kindQuotaGrant}, grant.number)
	return appendPiggyback(binary.AppendUvarint(message, code), attached)
}

// decodeQuotaGrant decodes a grant and the gossip attached to it.
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

// encodeReconciliationMessage returns an encoded reconciliation message, which is sent without a quota
// request. Its request number is always 0.
func encodeReconciliationMessage(tenant uint64, sum reconciliation) []byte {
	return appendReconciliation(binary.AppendUvarint([]byte{kindReconciliation, 0}, tenant), sum)
}

// decodeReconciliationMessage decodes a message of [encodeReconciliationMessage].
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
