package balancer

import "testing"

// Sums of occupancy below nought, as latencies under the lowest mean give, must reach peers as they are.
func TestPoolIsPackedSigned(t *testing.T) {
	g, _ := wideGate(t, 10)
	g.overload.pooled = pooledMeans{-0.5, 0.25, 2, 0, 1}
	var received piggyback
	_, ok := decodeQuotaGrant(encodeQuotaGrant(&quotaGrant{1, true, 0, 1}, g.piggybackFor(1)), &received)
	if !ok || received.pooled != g.overload.pooled {
		t.Errorf("%v came as %v", g.overload.pooled, received.pooled)
	}
}
