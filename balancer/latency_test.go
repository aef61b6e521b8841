package balancer

import (
	"testing"
)

// An endpoint that is known may come back as one of another kind: its latencies must count as that kind's, not as
// those of whichever kind came first.
func TestEndpointChangesMachineType(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		b, r := newGate(t, subsetSettings(nodes), fleet(2)...)
		moved := fleet(2)[1]
		moved.MachineType = "other"
		b.EndpointsUpdated(t0, UpdateDelta, []Endpoint{moved}, r)
		b.recordLatency(0, b.endpoints.trackedByID["s0"], 40*ms)
		for range 2 {
			b.recordLatency(0, b.endpoints.trackedByID[moved.ID], 50*ms)
		}
		first, other := b.latency.indexOf("k"), b.latency.indexOf("other")
		if first == other || len(b.latency.machineTypes) != 2 {
			t.Fatalf("%d nodes: machine types %v", nodes, b.latency.machineTypeIndex)
		}
		if ofFirst, ofOther := b.latency.machineTypes[first].samples, b.latency.machineTypes[other].samples; ofFirst != 1 || ofOther != 2 {
			t.Errorf("%d nodes: %v latencies of the first machine type, %v of the new one", nodes, ofFirst, ofOther)
		}
	}
}
