package balancer

import "testing"

// Sums of occupancy below nought, as latencies under the lowest mean give, must reach peers as they are.
func TestPoolIsPackedSigned(t *testing.T) {
	g, _ := wideGate(t, 10)
	g.overload.pooled = pooledMeans{-0.5, 0.25, 2, 0, 1}
	m, ok := g.decodeQuotaMessage(g.encodeQuotaGrant(1, 1, true, 0, 1))
	if !ok || m.pooledMeans != g.overload.pooled {
		t.Errorf("%v came as %v", g.overload.pooled, m.pooledMeans)
	}
}
