package balancer

import "math"

// Parameters of the overload control. The paper is "Fast and Robust Signaling Overload Control".
const (
	// assessmentIntervals is the paper's k, the number of control intervals in an assessment. Half a second
	// is short enough to follow bursts.
	assessmentIntervals = 5
	// targetOccupancy is the paper's rho_targ.
	targetOccupancy = 0.95
	// maxGrowthFactor is the paper's phi_max: the largest growth of the admitted fraction per assessment.
	maxGrowthFactor = 1.3
	// minAdmittedFraction is the paper's f_min. Some requests are always admitted, so that a recovery of the
	// endpoints is noticed.
	minAdmittedFraction = 0.1
	// maxAcceptRateSmoothing is the weight of a new sample in the slow average of the maximum accept rate.
	maxAcceptRateSmoothing = 0.1
	// overloadedOccupancy is the occupancy from which the accept rate bounds the admitted fraction.
	overloadedOccupancy = 0.8
	// underloadedOccupancy is the occupancy below which spare capacity may serve requests beyond their quota.
	underloadedOccupancy = 0.5
	// minOccupancyToLearn is the occupancy from which the maximum accept rate is sampled.
	minOccupancyToLearn = 0.1
	// minOwnSamples is the number of samples from which a node relies on its own samples alone.
	minOwnSamples = 10
	// ownPoolSmoothing is the weight of a control interval in the pooled means, which cover about two
	// seconds.
	ownPoolSmoothing = 0.05
	// minPooledSamples is the number of samples up to which the occupancy counts as 0. A smaller number in
	// the pooled means is only the remainder of older samples.
	minPooledSamples = minOwnSamples * ownPoolSmoothing / 4
	// peerPoolSmoothing is the weight of a peer's means in the pooled means.
	peerPoolSmoothing = 0.3
)

// Indexes of [pooledMeans].
const (
	poolOccupancySum     = iota // sum of the occupancy samples
	poolOccupancySamples        // number of occupancy samples
	poolSent                    // requests forwarded
	poolResponses               // OK responses
	poolInFlight                // recent attempts in flight
	poolSize                    // number of means
)

// pooledMeans are means per control interval over this node and the peers whose messages it receives. Nodes
// exchange them because in a large fleet a single node has too few samples of its own.
type pooledMeans [poolSize]float64

// intervalSample holds the samples of one control interval.
type intervalSample struct {
	occupancySum     float64
	occupancySamples float64
	sent             float64 // requests forwarded
}

// overloadController is the overload control ARO (Acceptance-Rate Occupancy) of the paper "Fast and
// Robust Signaling Overload Control": of the requests that the quotas admit, a fraction f = min(fA, fO)
// is forwarded, by a deterministic throttle.
//
// Each control interval samples the occupancy rho of the endpoints and the accept rate alpha, which is the
// number of requests forwarded per interval. An assessment of k intervals sets fO, which moves rho towards
// its target. It also sets fA, which moves alpha towards the target times mu_max, the slow average of
// alpha/rho. fA has an effect only while the endpoints are overloaded and mu_max has a sample.
//
// Create one with newOverloadController.
type overloadController struct {
	admittedFraction    float64 // the paper's f
	throttleAccumulator float64 // the paper's r
	occupancy           float64 // the paper's rho, at the last assessment
	acceptRate          float64 // the paper's alpha, at the last assessment
	maxAcceptRate       float64 // the paper's mu_max; 0: no sample yet
	samples             [assessmentIntervals]intervalSample
	intervals           int // number of control intervals since the start
	pooled              pooledMeans
}

func newOverloadController() overloadController { return overloadController{admittedFraction: 1} }

// admit reports whether the deterministic throttle admits a request. It spreads the admitted fraction evenly
// over the requests.
func (c *overloadController) admit() bool {
	c.throttleAccumulator += c.admittedFraction
	if c.throttleAccumulator < 1 {
		return false
	}
	c.throttleAccumulator--
	return true
}

// recordSent counts a request that was forwarded.
func (c *overloadController) recordSent() { c.current().sent++ }

// sampleOccupancy records one sample of the occupancy.
func (c *overloadController) sampleOccupancy(occupancy float64) {
	c.addOccupancy(occupancy, 1)
}

// addOccupancy records several samples of the occupancy, given by their sum and number.
func (c *overloadController) addOccupancy(sum, samples float64) {
	current := c.current()
	current.occupancySum += sum
	current.occupancySamples += samples
}

// overloaded reports whether the endpoints were overloaded at the last assessment.
func (c *overloadController) overloaded() bool { return c.occupancy >= overloadedOccupancy }

// underloaded reports whether the endpoints have spare capacity and no request is throttled.
func (c *overloadController) underloaded() bool {
	return c.occupancy < underloadedOccupancy && !c.throttles()
}

// throttles reports whether a fraction of the requests is rejected.
func (c *overloadController) throttles() bool { return c.admittedFraction < 1 }

// closeInterval ends a control interval. responses is the number of OK responses in it, and inFlight the
// number of recent attempts in flight at its end. After every assessmentIntervals intervals, closeInterval
// updates the admitted fraction.
func (c *overloadController) closeInterval(responses, inFlight float64) {
	sample := c.current()
	c.mixIntoPool(ownPoolSmoothing, &pooledMeans{
		poolOccupancySum:     sample.occupancySum,
		poolOccupancySamples: sample.occupancySamples,
		poolSent:             sample.sent,
		poolResponses:        responses,
		poolInFlight:         inFlight,
	})
	c.intervals++
	if c.intervals%assessmentIntervals == 0 {
		c.assess()
	}
	*c.current() = intervalSample{}
}

// assess sets the admitted fraction from the last assessmentIntervals intervals.
func (c *overloadController) assess() {
	total, acceptRate := c.assessedSamples()
	c.acceptRate = acceptRate
	c.occupancy = 0
	if total.occupancySamples > minPooledSamples {
		c.occupancy = math.Min(total.occupancySum/total.occupancySamples, 1)
	}
	c.admittedFraction = math.Min(c.fractionByAcceptRate(), c.fractionByOccupancy())
	c.learnMaxAcceptRate()
}

// assessedSamples returns the samples of an assessment and the accept rate per control interval. They are
// this node's own, summed over the intervals. If these are too few, the pooled means take their place.
func (c *overloadController) assessedSamples() (total intervalSample, acceptRate float64) {
	for _, sample := range c.samples {
		total.occupancySum += sample.occupancySum
		total.occupancySamples += sample.occupancySamples
		total.sent += sample.sent
	}
	if total.occupancySamples >= minOwnSamples {
		return total, total.sent / assessmentIntervals
	}
	total.occupancySum = c.pooled[poolOccupancySum]
	total.occupancySamples = c.pooled[poolOccupancySamples]
	return total, c.pooled[poolSent]
}

// fractionByOccupancy returns the paper's fO.
func (c *overloadController) fractionByOccupancy() float64 {
	growth := math.Min(targetOccupancy/math.Max(c.occupancy, 1e-9), maxGrowthFactor)
	return clampAdmittedFraction(growth * c.admittedFraction)
}

// fractionByAcceptRate returns the paper's fA, or 1 where fA has no effect.
func (c *overloadController) fractionByAcceptRate() float64 {
	if c.maxAcceptRate <= 0 || !c.overloaded() || c.acceptRate <= 0 {
		return 1
	}
	return clampAdmittedFraction(targetOccupancy * c.maxAcceptRate / c.acceptRate * c.admittedFraction)
}

// learnMaxAcceptRate adds a sample to the paper's mu_max, unless the occupancy is too low for one.
func (c *overloadController) learnMaxAcceptRate() {
	if c.occupancy < minOccupancyToLearn {
		return
	}
	sample := c.acceptRate / c.occupancy
	if c.maxAcceptRate == 0 {
		c.maxAcceptRate = sample
		return
	}
	c.maxAcceptRate += maxAcceptRateSmoothing * (sample - c.maxAcceptRate)
}

// mixIntoPool averages the means of this node or of a peer into the pooled means, with the given weight.
func (c *overloadController) mixIntoPool(weight float64, means *pooledMeans) {
	for i := range means {
		c.pooled[i] += weight * (means[i] - c.pooled[i])
	}
}

// current returns the samples of the present control interval.
func (c *overloadController) current() *intervalSample {
	return &c.samples[c.intervals%assessmentIntervals]
}

func clampAdmittedFraction(fraction float64) float64 {
	return math.Min(math.Max(fraction, minAdmittedFraction), 1)
}
