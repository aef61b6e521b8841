package balancer

import (
	"math"
	"testing"
	"time"
)

// A tracked endpoint may change its machine type. Guards against recording its latencies under the old type.
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
			t.Fatalf("%d nodes: got machine types %v, want two", nodes, b.latency.machineTypeIndex)
		}
		ofFirst, ofOther := b.latency.machineTypes[first].samples, b.latency.machineTypes[other].samples
		if ofFirst != 1 || ofOther != 2 {
			t.Errorf("%d nodes: %v latencies of the old machine type and %v of the new one, want 1 and 2",
				nodes, ofFirst, ofOther)
		}
	}
}

// The baseline is the lowest mean of a batch. It grows slowly with each batch, so that it can follow a rise.
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
		t.Errorf("baseline %v before the first batch is complete, want 0", baseline.lowest)
	}
	if baseline.record(0.1); math.Abs(baseline.lowest-0.1) > 1e-12 {
		t.Errorf("baseline %v after a batch of 0.1, want 0.1", baseline.lowest)
	}
	if got, want := batch(0.3), 0.1*(1+baselineGrowth); math.Abs(got-want) > 1e-12 {
		t.Errorf("baseline %v after a batch of 0.3, want %v", got, want)
	}
	if got := batch(0.05); math.Abs(got-0.05) > 1e-12 {
		t.Errorf("baseline %v after a batch of 0.05, want 0.05", got)
	}
}

func TestLatencyTracker(t *testing.T) {
	tracker := newLatencyTracker([]Class{
		{LatencyObjective: time.Second},
		{LatencyObjective: 2 * time.Second},
	})
	if got := tracker.longestObjective; got != 2*time.Second {
		t.Errorf("longest objective %v, want 2s", got)
	}
	if got := tracker.work(1); got != 0.5 || tracker.longestWork() != 0.5 || tracker.learnedWork(1) != 0 {
		t.Errorf("work %v of a class without responses, want a quarter of its latency objective", got)
	}
	if got := tracker.mean(); got != 0 {
		t.Errorf("mean %v without a response, want 0", got)
	}
	ratio, baselineRatio := tracker.record(0, "k", 100*ms)
	if ratio != 1 || baselineRatio != 1 {
		t.Errorf("ratios %v and %v of the first response, want 1 and 1", ratio, baselineRatio)
	}
	for range minBaselineSamples {
		tracker.record(0, "k", 100*ms)
	}
	if got := tracker.mean(); math.Abs(got-0.1) > 1e-12 {
		t.Errorf("mean %v, want 0.1, the mean of the only class with responses", got)
	}
	if got := tracker.learnedWork(0); math.Abs(got-0.1) > 1e-12 || tracker.work(0) != got {
		t.Errorf("learned work %v and work %v, want 0.1", got, tracker.work(0))
	}
	if _, got := tracker.record(0, "k", 200*ms); math.Abs(got-2) > 1e-9 {
		t.Errorf("baseline ratio %v, want 2", got)
	}
}

// A machine type faster than the mean has relative speed 1, and a slower one has less.
func TestRelativeSpeed(t *testing.T) {
	tracker := newLatencyTracker([]Class{{LatencyObjective: time.Second}})
	for range 200 {
		tracker.record(0, "fast", 50*ms)
		tracker.record(0, "slow", 150*ms)
	}
	if fast, slow := tracker.relativeSpeed("fast"), tracker.relativeSpeed("slow"); fast != 1 ||
		slow > 0.8 || slow < 0.5 {
		t.Errorf("relative speeds %v and %v of a fast and a slow machine type, want 1 and 0.5 to 0.8",
			fast, slow)
	}
	if got := tracker.relativeSpeed("unknown"); got != 1 {
		t.Errorf("relative speed %v of an unknown machine type, want 1", got)
	}
}
