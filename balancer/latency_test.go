package balancer

import (
	"math"
	"testing"
	"time"
)

// An endpoint that is tracked may come back as one of another machine type: its latencies count as that
// type's, not as those of whichever came first.
func TestEndpointChangesMachineType(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		b, r := newTestBalancer(t, subsetSettings(nodes), equalEndpoints(2)...)
		moved := equalEndpoints(2)[1]
		moved.MachineType = "other"
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{moved}, r)
		b.recordLatency(0, b.endpoints.trackedByID["s0"], 40*ms)
		for range 2 {
			b.recordLatency(0, b.endpoints.trackedByID[moved.ID], 50*ms)
		}
		first, other := b.latency.indexOf("k"), b.latency.indexOf("other")
		if first == other || len(b.latency.machineTypes) != 2 {
			t.Fatalf("%d nodes: machine types %v", nodes, b.latency.machineTypeIndex)
		}
		ofFirst, ofOther := b.latency.machineTypes[first].samples, b.latency.machineTypes[other].samples
		if ofFirst != 1 || ofOther != 2 {
			t.Errorf("%d nodes: %v latencies of the first machine type, %v of the new one", nodes, ofFirst,
				ofOther)
		}
	}
}

// The lowest mean of a batch is the baseline; it grows slowly so that it can follow.
func TestBaselineLatency(t *testing.T) {
	var baseline baselineLatency
	batch := func(latency float64) float64 {
		for range minBaselineSamples {
			baseline.record(latency)
		}
		return baseline.lowest
	}
	for range minBaselineSamples - 1 {
		baseline.record(0.1)
	}
	if baseline.lowest != 0 {
		t.Errorf("%v before the batch is complete", baseline.lowest)
	}
	if baseline.record(0.1); math.Abs(baseline.lowest-0.1) > 1e-12 {
		t.Errorf("%v after a batch of 0.1", baseline.lowest)
	}
	if got, want := batch(0.3), 0.1*(1+baselineGrowth); math.Abs(got-want) > 1e-12 {
		t.Errorf("%v after a batch of 0.3, want %v", got, want)
	}
	if got := batch(0.05); math.Abs(got-0.05) > 1e-12 {
		t.Errorf("%v after a batch of 0.05", got)
	}
}

func TestLatencyTracker(t *testing.T) {
	tracker := newLatencyTracker([]Class{
		{LatencyObjective: time.Second},
		{LatencyObjective: 2 * time.Second},
	})
	if got := tracker.longestObjective; got != 2*time.Second {
		t.Errorf("longest objective %v", got)
	}
	if got := tracker.work(1); got != 0.5 || tracker.longestWork() != 0.5 || tracker.learnedWork(1) != 0 {
		t.Errorf("work %v of a class not seen yet, want a quarter of its objective", got)
	}
	if got := tracker.mean(); got != 0 {
		t.Errorf("mean %v without a response", got)
	}
	ratio, baselineRatio := tracker.record(0, "k", 100*ms)
	if ratio != 1 || baselineRatio != 1 {
		t.Errorf("ratios %v and %v of the first response", ratio, baselineRatio)
	}
	for range minBaselineSamples {
		tracker.record(0, "k", 100*ms)
	}
	if got := tracker.mean(); math.Abs(got-0.1) > 1e-12 {
		t.Errorf("mean %v, want that of the classes seen", got)
	}
	if got := tracker.learnedWork(0); math.Abs(got-0.1) > 1e-12 || tracker.work(0) != got {
		t.Errorf("work %v", got)
	}
	if _, got := tracker.record(0, "k", 200*ms); math.Abs(got-2) > 1e-9 {
		t.Errorf("%v times the baseline, want 2", got)
	}
}

// A machine type that is faster than the mean gets no more than its listed weight, a slower one gets less.
func TestRelativeSpeed(t *testing.T) {
	tracker := newLatencyTracker([]Class{{LatencyObjective: time.Second}})
	for range 200 {
		tracker.record(0, "fast", 50*ms)
		tracker.record(0, "slow", 150*ms)
	}
	if fast, slow := tracker.relativeSpeed("fast"), tracker.relativeSpeed("slow"); fast != 1 ||
		slow > 0.8 || slow < 0.5 {
		t.Errorf("speeds %v and %v", fast, slow)
	}
	if got := tracker.relativeSpeed("unknown"); got != 1 {
		t.Errorf("speed %v of a machine type not seen yet", got)
	}
}
