package scale

import (
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// Demand of the tenants, as shares of their plan's rate: most stay well inside, some ask for more.
const (
	calmLeast, calmMost   = 0.15, 0.5
	heavyLeast, heavyMost = 1.6, 5.0
	heavyShare            = 0.1
)

// mostUnits is the units of the largest request.
const mostUnits = 8

// unitShares are the shares of the requests of 1 unit, 2 units and so on.
var unitShares = [mostUnits]float64{0.5, 0.25, 0.12, 0.06, 0.03, 0.02, 0.01, 0.01}

// planShares are the shares of the tenants that have each plan of [fleetPlans].
var planShares = []float64{0.7, 0.25, 0.05}

// fleetPlans are three sizes of customers, the largest with a hard ceiling. None may go beyond its
// quota, so that all that is admitted beyond one is the protocol's doing.
func fleetPlans() []balancer.Plan {
	return []balancer.Plan{
		{Name: "small", Rate: 2.6, Burst: 16, WeightFactor: 0.72},
		{Name: "middle", Rate: 14, Burst: 29, WeightFactor: 1.1},
		{Name: "large", Rate: 60, Burst: 97, HardLimitRate: 100, HardLimitBurst: 172, HardLimitSlack: 17, WeightFactor: 1.8},
	}
}

// tenant is a customer with the true state of its quota, which no gateway sees.
type tenant struct {
	key    uint64
	plan   *balancer.Plan
	first  int     // number of the first gateway that it comes in through
	demand float64 // requests a second
	level  float64 // units left of its quota
	filled time.Duration
}

// fill brings the quota up to date and returns its level.
func (t *tenant) fill(now time.Duration) float64 {
	t.level = math.Min(t.level+t.plan.Rate*(now-t.filled).Seconds(), t.plan.Burst)
	t.filled = now
	return t.level
}

// meanUnits is the mean of a request's units.
func meanUnits() (mean float64) {
	for i, share := range unitShares {
		mean += float64(i+1) * share
	}
	return mean
}

// drawUnits draws the units of one request.
func drawUnits(rng *rand.Rand) float64 {
	return float64(drawIndex(rng, unitShares[:]) + 1)
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

// drawTenants draws tenants until they ask for so many requests a second. Their first gateways are
// drawn from the numbers given. Demands are scaled at the end to meet the rate.
func drawTenants(rng *rand.Rand, plans []balancer.Plan, firsts []int, requestsPerS float64) []*tenant {
	var all []*tenant
	sum := 0.0
	for sum < requestsPerS {
		plan := &plans[drawIndex(rng, planShares)]
		use := calmLeast + (calmMost-calmLeast)*rng.Float64()
		if rng.Float64() < heavyShare {
			use = heavyLeast + (heavyMost-heavyLeast)*rng.Float64()
		}
		t := &tenant{
			key: uint64(len(all)), plan: plan, first: firsts[rng.IntN(len(firsts))],
			demand: use * plan.Rate / meanUnits(), level: plan.Burst,
		}
		sum += t.demand
		all = append(all, t)
	}
	for _, t := range all {
		t.demand *= requestsPerS / sum
	}
	return all
}
