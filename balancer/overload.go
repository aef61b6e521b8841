package balancer

import "math"

const (
	// k, probes in an assessment: half a second follows short bursts
	assessmentIntervals    = 5
	targetOccupancy        = 0.95 // occupancy aimed at: the paper's figure
	maxGrowthFactor        = 1.3  // phi max, growth of f in one assessment
	minAdmittedFraction    = 0.1  // f min, so that recovery is always seen
	maxAcceptRateSmoothing = 0.1  // share of a new sample in the slow average of mu max
	// occupancy from which fA acts: the design page's figure
	overloadedOccupancy = 0.8
	// occupancy up to which spare capacity may go to extras
	underloadedOccupancy = 0.5
	// occupancy from which mu max is sampled: the design page's figure
	minOccupancyToLearn = 0.1
	minOwnSamples       = 10 // samples of its own that a gateway goes by alone
	// share of a probe in the mean over gateways: about two seconds
	ownPoolSmoothing  = 0.05
	peerPoolSmoothing = 0.3 // share of a peer's figures in that mean
)

// What goes into the pool.
const (
	poolOccupancySum     = iota // sum of the samples of the occupancy
	poolOccupancySamples        // their number
	poolSent
	poolResponses
	poolInFlight
	poolSize
)

// overloadController is the state of the overload control.
type overloadController struct {
	admittedFraction, throttleAccumulator float64
	occupancySums, occupancyCounts        [assessmentIntervals]float64
	sentCounts                            [assessmentIntervals]float64
	intervals                             int
	occupancy, acceptRate                 float64
	maxAcceptRate                         float64
	// means per probe, over this gateway and those it hears from
	pooledMeans [poolSize]float64
}

// assessInterval closes a probe, and every k probes sets f.
func (a *overloadController) assessInterval(oks, held float64) {
	i := a.intervalIndex()
	a.mixIntoPool(ownPoolSmoothing, [poolSize]float64{a.occupancySums[i], a.occupancyCounts[i],
		a.sentCounts[i], oks, held})
	if a.intervals++; a.intervalIndex() == 0 {
		var occ, n, sent float64
		for i := range a.occupancySums {
			occ, n, sent = occ+a.occupancySums[i], n+a.occupancyCounts[i], sent+a.sentCounts[i]
		}
		a.acceptRate = sent / assessmentIntervals
		if n < minOwnSamples { // too few of its own: by the mean over the gateways it hears from
			occ, n, a.acceptRate = a.pooledMeans[poolOccupancySum], a.pooledMeans[poolOccupancySamples],
				a.pooledMeans[poolSent]
		}
		if a.occupancy = 0; n > minOwnSamples*ownPoolSmoothing/4 {
			a.occupancy = math.Min(occ/n, 1)
		}
		fO := clampAdmittedFraction(math.Min(targetOccupancy/math.Max(a.occupancy, 1e-9),
			maxGrowthFactor) * a.admittedFraction)
		fA := 1.0
		if a.maxAcceptRate > 0 && a.occupancy >= overloadedOccupancy && a.acceptRate > 0 {
			fA = clampAdmittedFraction(targetOccupancy * a.maxAcceptRate / a.acceptRate * a.admittedFraction)
		}
		a.admittedFraction = math.Min(fA, fO)
		if a.occupancy >= minOccupancyToLearn {
			if mu := a.acceptRate / a.occupancy; a.maxAcceptRate == 0 {
				a.maxAcceptRate = mu
			} else {
				a.maxAcceptRate += maxAcceptRateSmoothing * (mu - a.maxAcceptRate)
			}
		}
	}
	a.occupancySums[a.intervalIndex()], a.occupancyCounts[a.intervalIndex()],
		a.sentCounts[a.intervalIndex()] = 0, 0, 0
}

// mixIntoPool takes figures of this or another gateway into the mean that goes with asks and answers.
func (a *overloadController) mixIntoPool(share float64, x [poolSize]float64) {
	for i := range x {
		a.pooledMeans[i] += share * (x[i] - a.pooledMeans[i])
	}
}

func (a *overloadController) intervalIndex() int { return a.intervals % assessmentIntervals }

// sampleOccupancy enters one reading of the occupancy into the present probe.
func (a *overloadController) sampleOccupancy(rho float64) {
	a.occupancySums[a.intervalIndex()] += rho
	a.occupancyCounts[a.intervalIndex()]++
}

func clampAdmittedFraction(f float64) float64 { return math.Min(math.Max(f, minAdmittedFraction), 1) }
