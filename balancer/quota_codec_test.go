package balancer

import (
	"reflect"
	"testing"
	"time"
)

// The occupancy sum is negative if latencies are below the lowest mean. Guards against an encoding of pooled
// means that loses the sign.
func TestPooledMeansKeepTheirSign(t *testing.T) {
	node, _ := ownedQuotaNode(t, 10)
	node.overload.pooled = pooledMeans{-0.5, 0.25, 2, 0, 1}
	var received piggyback
	_, ok := decodeQuotaGrant(encodeQuotaGrant(&quotaGrant{1, true, 0, 1}, node.piggybackFor(1)), &received)
	if !ok || received.pooled != node.overload.pooled {
		t.Errorf("decoded pooled means %v, want %v", received.pooled, node.overload.pooled)
	}
}

func TestQuotaRequestRoundTrip(t *testing.T) {
	codec, attached := testCodec(), testPiggyback()
	want := quotaRequest{
		number: 1 << 40, tenant: 1<<64 - 1, plan: 1, entryNodes: entryNodes{29, 30}, units: 17,
		locallyRejectedUnits: 1e6, reconciliation: reconciliation{maxIncarnation - 1, -5e5},
	}
	message := codec.encodeQuotaRequest(&want, &attached)
	var received piggyback
	got, ok := codec.decodeQuotaRequest(message, &received)
	if !ok || got != want {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	if len(message) > maxMessageBytes {
		t.Errorf("message of %d bytes, want at most %d", len(message), maxMessageBytes)
	}
	if !reflect.DeepEqual(received, attached) {
		t.Errorf("decoded piggyback %+v, want %+v", received, attached)
	}
	want.units = -1
	if _, ok := codec.decodeQuotaRequest(codec.encodeQuotaRequest(&want, &attached), &received); ok {
		t.Error("a quota request for negative units was decoded")
	}
}

// Guards against decoders that accept a truncated message or one with an extra byte. The messages have no
// loads attached, because a list of loads may end after any entry.
func TestMalformedQuotaMessages(t *testing.T) {
	codec := testCodec()
	var none piggyback
	request := quotaRequest{number: 300, tenant: 7, plan: 0, entryNodes: entryNodes{1, 2}, units: 1}
	checkMalformed(t, codec.encodeQuotaRequest(&request, &none), func(message []byte) bool {
		_, ok := codec.decodeQuotaRequest(message, &none)
		return ok
	})
	checkMalformed(t, encodeQuotaGrant(&quotaGrant{300, false, time.Second, 0.5}, &none),
		func(message []byte) bool {
			_, ok := decodeQuotaGrant(message, &none)
			return ok
		})
	checkMalformed(t, encodeQuotaRelease(quotaRelease{300, 7, 1}), func(message []byte) bool {
		_, ok := decodeQuotaRelease(message)
		return ok
	})
	checkMalformed(t, encodeReconciliationMessage(300, reconciliation{300, -7}), func(message []byte) bool {
		_, _, ok := decodeReconciliationMessage(message)
		return ok
	})
}

func TestQuotaGrantRoundTrip(t *testing.T) {
	for _, c := range []struct {
		grant     quotaGrant
		wantRetry time.Duration // rounded down to whole units, at most a minute
	}{
		{quotaGrant{1, true, 0, 1}, 0},
		{quotaGrant{2, false, 0, 0}, 0},
		{quotaGrant{3, false, 19 * ms, 1}, 10 * ms},
		{quotaGrant{4, false, time.Hour, 0}, time.Minute},
		{quotaGrant{5, false, -time.Second, 0}, 0},
	} {
		want := c.grant
		want.retryAfter = c.wantRetry
		var none piggyback
		if got, ok := decodeQuotaGrant(encodeQuotaGrant(&c.grant, &none), &none); !ok || got != want {
			t.Errorf("%+v: decoded %+v, want %+v", c.grant, got, want)
		}
	}
}

func TestReleaseAndReconciliationRoundTrip(t *testing.T) {
	release := quotaRelease{300, 1 << 50, 12}
	if got, ok := decodeQuotaRelease(encodeQuotaRelease(release)); !ok || got != release {
		t.Errorf("decoded %+v, want %+v", got, release)
	}
	sum := reconciliation{12_000, -400}
	tenant, got, ok := decodeReconciliationMessage(encodeReconciliationMessage(1<<50, sum))
	if !ok || tenant != 1<<50 || got != sum {
		t.Errorf("decoded %+v of tenant %d, want %+v of tenant %d", got, tenant, sum, uint64(1<<50))
	}
}

// Guards against encoded ages that are rounded down. A report would become younger each time that a node
// passes it on.
func TestAgesAreRoundedUp(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: 0, 1: ageUnit, ageUnit: ageUnit, ageUnit + 1: 2 * ageUnit, loadGossipMaxAge: loadGossipMaxAge,
	} {
		if got := decodeAge(encodeAge(age)); got != want {
			t.Errorf("age %v: decoded %v, want %v", age, got, want)
		}
	}
}

// Guards against loads that are too large for the encoding and would be decoded as an error or a refused
// connection.
func TestLoadsAreBounded(t *testing.T) {
	for _, status := range []peerLoadStatus{peerLoadResponded, peerLoadFailed} {
		for load, want := range map[float64]float64{-1: 0, 0.4: 0, 126: 126, 1000: 126} {
			sent := peerLoad{load: load, status: status}
			got := decodePeerLoad([]byte{0, 0, sent.encode(), 0})
			if got.load != want || got.status != status {
				t.Errorf("%+v: decoded %+v, want load %v and the same status", sent, got, want)
			}
		}
	}
}
