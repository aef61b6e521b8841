package balancer

import "math"

// Parameters of the overload control. The paper's figures are those of "Fast and Robust Signaling
// Overload Control".
const (
	// assessmentIntervals is the number k of control intervals in an assessment: half a second follows
	// short bursts.
	assessmentIntervals = 5
	// targetOccupancy is the paper's rho_targ.
	targetOccupancy = 0.95
	// maxGrowthFactor is the paper's phi_max: the growth of the admitted fraction in one assessment.
	maxGrowthFactor = 1.3
	// minAdmittedFraction is the paper's f_min, so that a recovery is always seen.
	minAdmittedFraction = 0.1
	// maxAcceptRateSmoothing is the weight of a new sample in the slow average of the maximum accept rate.
	maxAcceptRateSmoothing = 0.1
	// overloadedOccupancy is the occupancy from which the accept rate bounds the admitted fraction.
	overloadedOccupancy = 0.8
	// underloadedOccupancy is the occupancy below which spare capacity may serve requests beyond their quota.
	underloadedOccupancy = 0.5
	// minOccupancyToLearn is the occupancy from which the maximum accept rate is sampled.
	minOccupancyToLearn = 0.1
	// minOwnSamples is the number of samples with which a node relies on its own alone.
	minOwnSamples = 10
	// ownPoolSmoothing is the weight of a control interval in the pooled means: about two seconds.
	ownPoolSmoothing = 0.05
	// minPooledSamples is the number of samples below which the occupancy counts as 0: less is what has faded
	// of earlier ones in the pooled means.
	minPooledSamples = minOwnSamples * ownPoolSmoothing / 4
	// peerPoolSmoothing is the weight of a peer's means in the pooled means.
	peerPoolSmoothing = 0.3
)

// Indexes of [pooledMeans].
const (
	poolOccupancySum     = iota // sum of the occupancy samples
	poolOccupancySamples        // their number
	poolSent                    // requests forwarded
	poolResponses
	poolInFlight
	poolSize
)

// pooledMeans are means per control interval over this node and the peers that it hears from. Nodes
// exchange them, since in a large fleet each has too few samples of its own.
type pooledMeans [poolSize]float64

// intervalSample is what one control interval adds to an assessment.
type intervalSample struct {
	occupancySum     float64
	occupancySamples float64
	sent             float64 // requests forwarded
}

// overloadController is the overload control ARO (Acceptance-Rate Occupancy) of the paper "Fast and
// Robust Signaling Overload Control": of the requests that the quotas admit, a fraction f = min(fA, fO)
// is forwarded, by a deterministic throttle.
//
// Each control interval samples the occupancy rho of the endpoints and the accept rate alpha, the
// requests forwarded per interval. An assessment of k intervals sets fO, which moves rho towards its
// target, and fA, which moves alpha towards the target times mu_max, the slow average of alpha/rho. fA
// acts only while the endpoints are overloaded, and once mu_max has a sample.
//
// Make one with newOverloadController.
type overloadController struct {
	admittedFraction    float64 // the paper's f
	throttleAccumulator float64 // the paper's r
	occupancy           float64 // the paper's rho, at the last assessment
	acceptRate          float64 // the paper's alpha, at the last assessment
	maxAcceptRate       float64 // the paper's mu_max; 0: no sample yet
	samples             [assessmentIntervals]intervalSample
	intervals           int // control intervals since the start
	pooled              pooledMeans
}

func newOverloadController() overloadController { return overloadController{admittedFraction: 1} }

// admit runs the deterministic throttle for one request: it admits the admitted fraction of them, evenly.
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

// addOccupancy records samples of the occupancy by their sum and number.
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

// closeInterval ends a control interval in which responses came, with attempts in flight at its end. Every
// assessmentIntervals intervals it sets the admitted fraction anew.
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

// assessedSamples returns the sums over the intervals and the accept rate: this node's own or, where
// these are too few, the pooled means.
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

// fractionByOccupancy is the paper's fO.
func (c *overloadController) fractionByOccupancy() float64 {
	growth := math.Min(targetOccupancy/math.Max(c.occupancy, 1e-9), maxGrowthFactor)
	return clampAdmittedFraction(growth * c.admittedFraction)
}

// fractionByAcceptRate is the paper's fA, or 1 where it does not act.
func (c *overloadController) fractionByAcceptRate() float64 {
	if c.maxAcceptRate <= 0 || !c.overloaded() || c.acceptRate <= 0 {
		return 1
	}
	return clampAdmittedFraction(targetOccupancy * c.maxAcceptRate / c.acceptRate * c.admittedFraction)
}

// learnMaxAcceptRate samples the paper's mu_max.
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

// mixIntoPool averages means of this node or of a peer into the pooled ones.
func (c *overloadController) mixIntoPool(weight float64, means *pooledMeans) {
	for i := range means {
		c.pooled[i] += weight * (means[i] - c.pooled[i])
	}
}

// current is the sample of the interval that is open.
func (c *overloadController) current() *intervalSample {
	return &c.samples[c.intervals%assessmentIntervals]
}

func clampAdmittedFraction(fraction float64) float64 {
	return math.Min(math.Max(fraction, minAdmittedFraction), 1)
}
