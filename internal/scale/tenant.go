package scale

import (
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// Demand of the tenants, in units per second, as a fraction of their plan's rate. Most tenants stay well
// within their quota; a few request more than it.
const (
	minNormalDemand, maxNormalDemand = 0.15, 0.5
	minHeavyDemand, maxHeavyDemand   = 1.6, 5.0
	heavyFraction                    = 0.1 // fraction of tenants with heavy demand
)

// maxUnits is the largest number of units of a request.
const maxUnits = 8

// unitFractions are the fractions of requests with 1 unit, 2 units and so on.
var unitFractions = [maxUnits]float64{0.5, 0.25, 0.12, 0.06, 0.03, 0.02, 0.01, 0.01}

// planFractions are the fractions of tenants on each plan of [fleetPlans].
var planFractions = []float64{0.7, 0.25, 0.05}

// fleetPlans returns the plans for three sizes of tenants; the largest has a hard limit. No plan permits
// units beyond the quota, so that units admitted beyond a quota are errors of the distributed quota protocol.
func fleetPlans() []balancer.Plan {
	return []balancer.Plan{
		{Name: "small", Rate: 2.6, Burst: 16, WeightFactor: 0.72},
		{Name: "middle", Rate: 14, Burst: 29, WeightFactor: 1.1},
		{Name: "large", Rate: 60, Burst: 97, HardLimitRate: 100, HardLimitBurst: 172, HardLimitSlack: 17, WeightFactor: 1.8},
	}
}

// tenant is a tenant with the exact state of its quota over the whole fleet, which no node knows.
type tenant struct {
	key            uint64
	plan           *balancer.Plan
	firstEntryNode int     // number of its first entry node; the other entry nodes have the following numbers
	demand         float64 // requests per second
	tokens         float64 // tokens left of its quota, in units
	refilledAt     time.Duration
}

// refill adds the tokens since the last refill and returns the tokens left.
func (t *tenant) refill(now time.Duration) float64 {
	t.tokens = math.Min(t.tokens+t.plan.Rate*(now-t.refilledAt).Seconds(), t.plan.Burst)
	t.refilledAt = now
	return t.tokens
}

// meanUnits returns the mean number of units of a request.
func meanUnits() (mean float64) {
	for i, fraction := range unitFractions {
		mean += float64(i+1) * fraction
	}
	return mean
}

// sampleUnits returns a random number of units for a request.
func sampleUnits(rng *rand.Rand) float64 {
	return float64(sampleIndex(rng, unitFractions[:]) + 1)
}

// sampleIndex returns a random index, weighted by fractions that sum to 1.
func sampleIndex(rng *rand.Rand, fractions []float64) int {
	x := rng.Float64()
	for i, fraction := range fractions {
		if x -= fraction; x < 0 {
			return i
		}
	}
	return len(fractions) - 1
}

// sampleTenants generates random tenants until their total demand reaches requestsPerSecond, then scales all
// demands so that the total equals requestsPerSecond. Their first entry nodes are chosen from
// firstEntryNodes.
func sampleTenants(rng *rand.Rand, plans []balancer.Plan, firstEntryNodes []int, requestsPerSecond float64) []*tenant {
	var all []*tenant
	sum := 0.0
	for sum < requestsPerSecond {
		plan := &plans[sampleIndex(rng, planFractions)]
		demandFraction := minNormalDemand + (maxNormalDemand-minNormalDemand)*rng.Float64()
		if rng.Float64() < heavyFraction {
			demandFraction = minHeavyDemand + (maxHeavyDemand-minHeavyDemand)*rng.Float64()
		}
		t := &tenant{
			key: uint64(len(all)), plan: plan, firstEntryNode: firstEntryNodes[rng.IntN(len(firstEntryNodes))],
			demand: demandFraction * plan.Rate / meanUnits(), tokens: plan.Burst,
		}
		sum += t.demand
		all = append(all, t)
	}
	for _, t := range all {
		t.demand *= requestsPerSecond / sum
	}
	return all
}
