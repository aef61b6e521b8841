package balancer

import (
	"reflect"
	"testing"
	"time"
)

// Sums of occupancy below nought, as latencies under the lowest mean give, must reach peers as they are.
func TestPoolIsPackedSigned(t *testing.T) {
	g, _ := ownedQuotaNode(t, 10)
	g.overload.pooled = pooledMeans{-0.5, 0.25, 2, 0, 1}
	var received piggyback
	_, ok := decodeQuotaGrant(encodeQuotaGrant(&quotaGrant{1, true, 0, 1}, g.piggybackFor(1)), &received)
	if !ok || received.pooled != g.overload.pooled {
		t.Errorf("%v came as %v", g.overload.pooled, received.pooled)
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
		t.Errorf("%+v came as %+v", want, got)
	}
	if len(message) > maxMessageBytes {
		t.Errorf("message of %d bytes", len(message))
	}
	if !reflect.DeepEqual(received, attached) {
		t.Errorf("%+v came as %+v", attached, received)
	}
	want.units = -1
	if _, ok := codec.decodeQuotaRequest(codec.encodeQuotaRequest(&want, &attached), &received); ok {
		t.Error("negative units were decoded")
	}
}

// Without reports attached, a message that is cut anywhere or too long is malformed.
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
	checkMalformed(t, encodeReconciliation(300, reconciliation{300, -7}), func(message []byte) bool {
		_, _, ok := decodeReconciliationMessage(message)
		return ok
	})
}

func TestQuotaGrantRoundTrip(t *testing.T) {
	for _, c := range []struct {
		grant     quotaGrant
		wantRetry time.Duration // in whole units, a minute at most
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
			t.Errorf("%+v came as %+v, want %+v", c.grant, got, want)
		}
	}
}

func TestReleaseAndReconciliationRoundTrip(t *testing.T) {
	release := quotaRelease{300, 1 << 50, 12}
	if got, ok := decodeQuotaRelease(encodeQuotaRelease(release)); !ok || got != release {
		t.Errorf("%+v came as %+v", release, got)
	}
	sum := reconciliation{12_000, -400}
	tenant, got, ok := decodeReconciliationMessage(encodeReconciliation(1<<50, sum))
	if !ok || tenant != 1<<50 || got != sum {
		t.Errorf("%+v of tenant %d came as %+v of tenant %d", sum, uint64(1<<50), got, tenant)
	}
}

// An age is rounded up: rounded down, a report would grow younger from node to node.
func TestAgesAreRoundedUp(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: 0, 1: ageUnit, ageUnit: ageUnit, ageUnit + 1: 2 * ageUnit, loadGossipMaxAge: loadGossipMaxAge,
	} {
		if got := decodeAge(encodeAge(age)); got != want {
			t.Errorf("age %v came as %v, want %v", age, got, want)
		}
	}
}

// A load beyond what a byte holds stays apart from the marks of errors and refused connections.
func TestLoadsAreBounded(t *testing.T) {
	for _, status := range []peerLoadStatus{peerLoadResponded, peerLoadFailed} {
		for load, want := range map[float64]float64{-1: 0, 0.4: 0, 126: 126, 1000: 126} {
			sent := peerLoad{load: load, status: status}
			got := decodePeerLoad([]byte{0, 0, sent.encode(), 0})
			if got.load != want || got.status != status {
				t.Errorf("%+v came as %+v, want load %v", sent, got, want)
			}
		}
	}
}
