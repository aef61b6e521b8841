package scale

import (
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// Demand of the tenants, as shares of their plan's rate: most stay well inside, some ask for more.
const (
	minCalmDemand, maxCalmDemand   = 0.15, 0.5
	minHeavyDemand, maxHeavyDemand = 1.6, 5.0
	heavyFraction                  = 0.1
)

// maxUnits is the units of the largest request.
const maxUnits = 8

// unitFractions are the shares of the requests of 1 unit, 2 units and so on.
var unitFractions = [maxUnits]float64{0.5, 0.25, 0.12, 0.06, 0.03, 0.02, 0.01, 0.01}

// planFractions are the shares of the tenants that have each plan of [fleetPlans].
var planFractions = []float64{0.7, 0.25, 0.05}

// fleetPlans are three sizes of tenants, the largest with a hard ceiling. None may go beyond its
// quota, so that all that is admitted beyond one is the protocol's doing.
func fleetPlans() []balancer.Plan {
	return []balancer.Plan{
		{Name: "small", Rate: 2.6, Burst: 16, WeightFactor: 0.72},
		{Name: "middle", Rate: 14, Burst: 29, WeightFactor: 1.1},
		{Name: "large", Rate: 60, Burst: 97, HardLimitRate: 100, HardLimitBurst: 172, HardLimitSlack: 17, WeightFactor: 1.8},
	}
}

// tenant is a client's account, with the true state of its quota, which no node sees.
type tenant struct {
	key            uint64
	plan           *balancer.Plan
	firstEntryNode int     // number of the first node that it comes in through
	demand         float64 // requests a second
	tokens         float64 // units left of its quota
	refilledAt     time.Duration
}

// refill brings the quota up to date and returns its level.
func (t *tenant) refill(now time.Duration) float64 {
	t.tokens = math.Min(t.tokens+t.plan.Rate*(now-t.refilledAt).Seconds(), t.plan.Burst)
	t.refilledAt = now
	return t.tokens
}

// meanUnits is the mean of a request's units.
func meanUnits() (mean float64) {
	for i, share := range unitFractions {
		mean += float64(i+1) * share
	}
	return mean
}

// drawUnits draws the units of one request.
func drawUnits(rng *rand.Rand) float64 {
	return float64(drawIndex(rng, unitFractions[:]) + 1)
}

// drawIndex draws an index by shares that sum to 1.
func drawIndex(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// drawTenants draws tenants until they ask for so many requests a second. Their first nodes are
// drawn from the numbers given. Demands are scaled at the end to meet the rate.
func drawTenants(rng *rand.Rand, plans []balancer.Plan, firsts []int, requestsPerS float64) []*tenant {
	var all []*tenant
	sum := 0.0
	for sum < requestsPerS {
		plan := &plans[drawIndex(rng, planFractions)]
		use := minCalmDemand + (maxCalmDemand-minCalmDemand)*rng.Float64()
		if rng.Float64() < heavyFraction {
			use = minHeavyDemand + (maxHeavyDemand-minHeavyDemand)*rng.Float64()
		}
		t := &tenant{
			key: uint64(len(all)), plan: plan, firstEntryNode: firsts[rng.IntN(len(firsts))],
			demand: use * plan.Rate / meanUnits(), tokens: plan.Burst,
		}
		sum += t.demand
		all = append(all, t)
	}
	for _, t := range all {
		t.demand *= requestsPerS / sum
	}
	return all
}
