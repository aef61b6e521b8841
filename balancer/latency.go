package balancer

import (
	"math"
	"time"
)

const (
	latencySmoothing   = 0.15 // weight of a new sample in an endpoint's latency ratio
	meanSmoothing      = 0.05 // weight of a new sample in the means of classes, machine types and warm work
	minBaselineSamples = 16   // samples in a batch; also the minimum for decisions based on a class mean
	baselineGrowth     = 0.01 // growth of the lowest batch mean with each batch, as a fraction
	minMeanLatency     = 1e-6 // lower bound of a mean in seconds; keeps ratios to the mean finite
	// unlearnedWorkDivisor determines the assumed work of a class without a baseline: its latency objective
	// divided by unlearnedWorkDivisor.
	unlearnedWorkDivisor = 4
)

// latencyTracker holds the latencies learned for each class and machine type.
type latencyTracker struct {
	classes          []classLatency // by class index
	machineTypes     []machineTypeLatency
	machineTypeIndex map[string]int // index in machineTypes, for types with a response
	longestObjective time.Duration  // longest latency objective of the classes
}

func newLatencyTracker(classes []Class) latencyTracker {
	t := latencyTracker{classes: make([]classLatency, len(classes)), machineTypeIndex: map[string]int{}}
	for i := range classes {
		t.classes[i].objective = classes[i].LatencyObjective
		t.longestObjective = max(t.longestObjective, classes[i].LatencyObjective)
	}
	return t
}

// classLatency is the latency learned for a class.
type classLatency struct {
	objective       time.Duration
	mean, deviation float64 // seconds; mean 0: no response yet
	samples         int
	byMachineType   []baselineLatency // by machine type index
	initialTimeout  time.Duration     // estimated timeout of a client's first request; 0: no request yet
}

// record adds a latency in seconds to the mean and the mean deviation.
func (c *classLatency) record(latency float64) {
	if c.mean == 0 {
		c.mean, c.deviation = latency, latency/2
	}
	c.samples++
	c.deviation += meanSmoothing * (math.Abs(latency-c.mean) - c.deviation)
	c.mean += meanSmoothing * (latency - c.mean)
}

// ratio returns a latency in seconds as a multiple of the mean.
func (c *classLatency) ratio(latency float64) float64 {
	return latency / math.Max(c.mean, minMeanLatency)
}

// baseline returns the baseline latency of the class on a machine type, given by its index.
func (c *classLatency) baseline(machineType int) *baselineLatency {
	for len(c.byMachineType) <= machineType {
		c.byMachineType = append(c.byMachineType, baselineLatency{})
	}
	return &c.byMachineType[machineType]
}

// machineTypeLatency is the average latency of a machine type as a multiple of the classes' means.
type machineTypeLatency struct{ meanRatio, samples float64 }

// record adds a latency, given as a multiple of its class's mean.
func (m *machineTypeLatency) record(ratio float64) {
	m.samples++
	m.meanRatio += math.Max(1/(m.samples+1), meanSmoothing) * (ratio - m.meanRatio)
}

// baselineLatency estimates the latency of a class on an idle endpoint of one machine type. The estimate is
// the lowest mean of a batch of samples. It grows slowly with each batch, so that it can follow a rise. The
// zero value has no estimate yet.
type baselineLatency struct {
	sum     float64 // sum of the samples in the current batch, in seconds
	samples int     // samples in the current batch
	lowest  float64 // lowest batch mean in seconds; 0: no batch is complete
}

// record adds a latency in seconds.
func (l *baselineLatency) record(latency float64) {
	l.sum += latency
	if l.samples++; l.samples < minBaselineSamples {
		return
	}
	l.lowest *= 1 + baselineGrowth
	if mean := l.sum / float64(l.samples); l.lowest == 0 || mean < l.lowest {
		l.lowest = mean
	}
	l.sum, l.samples = 0, 0
}

// record records the latency of a response. It returns the latency as a multiple of the class's mean, and as
// a multiple of the class's baseline on the machine type. The latter is 1 while the baseline is unknown.
func (t *latencyTracker) record(class int, machineType string, elapsed time.Duration) (
	ratio, baselineRatio float64,
) {
	c, latency := &t.classes[class], elapsed.Seconds()
	c.record(latency)
	ratio = c.ratio(latency)
	index := t.indexOf(machineType)
	t.machineTypes[index].record(ratio)
	baseline := c.baseline(index)
	baseline.record(latency)
	if baseline.lowest == 0 {
		return ratio, 1
	}
	return ratio, latency / baseline.lowest
}

// indexOf returns the index of a machine type. An unknown type gets the next index.
func (t *latencyTracker) indexOf(machineType string) int {
	index, known := t.machineTypeIndex[machineType]
	if !known {
		index = len(t.machineTypes)
		t.machineTypeIndex[machineType] = index
		t.machineTypes = append(t.machineTypes, machineTypeLatency{meanRatio: 1})
	}
	return index
}

// classMean returns the mean latency of a class in seconds, or 0 while it is unknown.
func (t *latencyTracker) classMean(class int) float64 { return t.classes[class].mean }

// mean returns the mean of the known class means in seconds, or 0 if none is known.
func (t *latencyTracker) mean() float64 {
	var sum, classes float64
	for i := range t.classes {
		if t.classes[i].mean > 0 {
			sum, classes = sum+t.classes[i].mean, classes+1
		}
	}
	return sum / math.Max(classes, 1)
}

// learnedWork returns the work of a request of a class in seconds: the lowest of the class's baselines. It
// returns 0 while no baseline is known.
func (t *latencyTracker) learnedWork(class int) float64 {
	work := 0.0
	for i := range t.classes[class].byMachineType {
		lowest := t.classes[class].byMachineType[i].lowest
		if lowest > 0 && (work == 0 || lowest < work) {
			work = lowest
		}
	}
	return work
}

// work returns the work of a request of a class in seconds. While it is unknown, work estimates it from the
// class's latency objective.
func (t *latencyTracker) work(class int) float64 {
	if work := t.learnedWork(class); work > 0 {
		return work
	}
	return t.classes[class].objective.Seconds() / unlearnedWorkDivisor
}

// longestWork returns the work in seconds of a request of the class with the most work.
func (t *latencyTracker) longestWork() float64 {
	work := 0.0
	for class := range t.classes {
		work = math.Max(work, t.work(class))
	}
	return work
}

// relativeSpeed returns the speed of a machine type as a fraction of the mean speed, at most 1. The speed of
// an unknown type is 1.
func (t *latencyTracker) relativeSpeed(machineType string) float64 {
	index, known := t.machineTypeIndex[machineType]
	if !known {
		return 1
	}
	return math.Min(1/t.machineTypes[index].meanRatio, 1)
}

// recordLatency records the latency of an endpoint's response. If the endpoint does not report its
// utilization, the occupancy is estimated from the latency.
func (b *Balancer) recordLatency(class int, e *endpoint, elapsed time.Duration) {
	ratio, baselineRatio := b.latency.record(class, e.MachineType, elapsed)
	e.recordLatencyRatio(ratio)
	if b.settings.LoadReports == NoLoadReports || e.load.utilizationReportedAt == 0 {
		// The latency is also the weight of its sample, so that the occupancy of an assessment is
		// 1 - baseline/mean latency.
		b.overload.addOccupancy(baselineRatio-1, baselineRatio)
	}
}

// relativeCapacity returns the endpoint's capacity relative to other endpoints. It is the listed weight. If
// all listed weights are equal, the weight is multiplied by the relative speed of the machine type.
func (b *Balancer) relativeCapacity(e *endpoint) float64 {
	if b.endpoints.list.activeWeights.differ() {
		return e.weight()
	}
	return e.weight() * b.latency.relativeSpeed(e.MachineType)
}
