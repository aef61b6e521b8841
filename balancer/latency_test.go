package balancer

import (
	"testing"
)

// A server that is known may come back as one of another kind: its latencies must count as that kind's, not as
// those of whichever kind came first.
func TestKnownServerChangesItsKind(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		g, r := newGate(t, subsetSettings(nodes), fleet(2)...)
		moved := fleet(2)[1]
		moved.MachineType = "other"
		g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{moved}, r)
		g.recordLatency(0, g.endpoints.trackedByID["s0"], 40*ms)
		for range 2 {
			g.recordLatency(0, g.endpoints.trackedByID[moved.ID], 50*ms)
		}
		first, other := g.latency.indexOf("k"), g.latency.indexOf("other")
		if first == other || len(g.latency.machineTypes) != 2 {
			t.Fatalf("%d nodes: machine types %v", nodes, g.latency.machineTypeIndex)
		}
		if a, b := g.latency.machineTypes[first].samples, g.latency.machineTypes[other].samples; a != 1 || b != 2 {
			t.Errorf("%d nodes: %v latencies of the first machine type, %v of the new one", nodes, a, b)
		}
	}
}
