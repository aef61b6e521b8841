package balancer

import (
	"math"
	"time"
)

const (
	// share of a new sample in a server's latency average
	latencySmoothing = 0.15
	meanSmoothing    = 0.05 // share of a new sample in the slow means
	// samples in a mean that may count as the lowest latency
	minBaselineSamples = 16
	// share by which the lowest latency creeps up at each batch
	baselineGrowth = 0.01
)

// latencyTracker holds the latencies learned for each class and machine type.
type latencyTracker struct {
	classes          []classLatency // by class index
	machineTypeIndex map[string]int
	machineTypes     []*machineTypeLatency // by machine type index
}

func newLatencyTracker(classes int) latencyTracker {
	return latencyTracker{classes: make([]classLatency, classes), machineTypeIndex: map[string]int{}}
}

// machineTypeLatency is the latency of a kind as a multiple of the mean.
type machineTypeLatency struct{ meanRatio, samples float64 }

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	byMachineType   []baselineLatency
	initialTimeout  time.Duration // wait that a client's first try has left
}

// baselineLatency finds the lowest mean latency of a class on one kind of server.
type baselineLatency struct {
	sum     float64
	samples int
	lowest  float64
}

// recordLatency learns from one answered attempt.
func (b *Balancer) recordLatency(class int, s *endpoint, took time.Duration) {
	c := &b.latency.classes[class]
	x := took.Seconds()
	if c.mean == 0 {
		c.mean, c.deviation = x, x/2
	}
	c.samples++
	c.deviation += meanSmoothing * (math.Abs(x-c.mean) - c.deviation)
	c.mean += meanSmoothing * (x - c.mean)
	s.latencyRatio += latencySmoothing * (x/math.Max(c.mean, 1e-6) - s.latencyRatio)
	for len(c.byMachineType) <= b.latency.machineTypeIndex[s.MachineType] {
		c.byMachineType = append(c.byMachineType, baselineLatency{})
	}
	l := b.latency.machineTypes[b.latency.machineTypeIndex[s.MachineType]]
	l.samples++
	l.meanRatio += math.Max(1/(l.samples+1), meanSmoothing) * (x/math.Max(c.mean, 1e-6) - l.meanRatio)
	k := &c.byMachineType[b.latency.machineTypeIndex[s.MachineType]]
	k.sum += x
	if k.samples++; k.samples >= minBaselineSamples {
		k.lowest *= 1 + baselineGrowth
		if m := k.sum / float64(k.samples); k.lowest == 0 || m < k.lowest {
			k.lowest = m
		}
		k.sum, k.samples = 0, 0
	}
	if b.settings.LoadReports == NoLoadReports || s.utilizationReportedAt == 0 {
		if k.lowest > 0 {
			// Each latency weighs by its length, which makes the mean over a probe 1 - lowest/mean.
			b.overload.addOccupancy(x/k.lowest-1, x/k.lowest)
		} else {
			// or a few full refusals would be all there is
			b.overload.addOccupancy(0, 1)
		}
	}
}

func (b *Balancer) meanLatency() float64 {
	var sum, n float64
	for i := range b.latency.classes {
		if b.latency.classes[i].mean > 0 {
			sum, n = sum+b.latency.classes[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is 0 as long as nothing is known of the class.
func (b *Balancer) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range b.latency.classes[class].byMachineType {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

// workOf is the work of one request of a class, in seconds of the lowest latency seen.
func (b *Balancer) workOf(class int) float64 {
	if w := b.learnedWork(class); w > 0 {
		return w
	}
	return b.settings.Classes[class].LatencyObjective.Seconds() / 4
}

func (b *Balancer) longestLatencyObjective() (d time.Duration) {
	for _, c := range b.settings.Classes {
		d = max(d, c.LatencyObjective)
	}
	return d
}

// relativeCapacity is the server's size: as listed or, where all are listed alike, by the speed of its kind.
func (b *Balancer) relativeCapacity(s *endpoint) float64 {
	if k := b.latency.machineTypeIndex[s.MachineType]; !b.endpoints.list.activeWeights.differ() &&
		b.latency.machineTypes[k].samples > 0 {
		return b.weight(s) * math.Min(1/b.latency.machineTypes[k].meanRatio, 1)
	}
	return b.weight(s)
}
