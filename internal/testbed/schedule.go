package testbed

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams of random numbers. Each purpose has its own stream, so that a change in the draws for one purpose
// does not change the results of the others.
const (
	streamTenants = iota + 1
	streamArrivals
	streamFaults
	streamClients
	streamServers
	streamLinks
	streamGenerated
)

// random returns a generator for a stream. The same seed and stream always result in the same numbers.
func random(seed uint64, stream int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(stream))) }

const (
	maxUnits             = 8    // maximum units of a request
	estimateCV           = 0.5  // coefficient of variation of a client's estimate of units
	workCV               = 0.8  // coefficient of variation of a request's work relative to its units
	extraUnitProbability = 0.45 // probability of each further unit of a request
)

// Tenant is a tenant whose clients send requests.
type Tenant struct {
	ID             uint64
	Plan           int       // index in Scenario.Plans
	EntryNodes     int       // number of entry nodes; they are numbered consecutively, modulo the fleet's size
	FirstEntryNode int       // number of the first entry node
	Rate           float64   // requests per second
	weights        []float64 // relative share of the requests by entry node, before the shift over time
}

// Arrival is a request of a client. Its fields apply to the first attempt.
type Arrival struct {
	At             time.Duration // time at which the request is due
	ID             string
	Tenant         int           // index in Schedule.Tenants
	Class          int           // index in Scenario.Classes
	Node           int           // number of the entry node
	Units          float64       // units that the app server reports as consumed
	EstimatedUnits float64       // units that the client estimates
	Work           float64       // core time, in seconds
	Timeout        time.Duration // time that the client waits for a response to an attempt
}

// Schedule contains the random choices of a run that are made before it begins. Arrivals and Faults are in
// order of time.
type Schedule struct {
	Tenants  []Tenant
	Arrivals []Arrival
	Faults   []FaultEvent
}

// FaultEvent is the beginning or the end of a fault at a target.
type FaultEvent struct {
	At     time.Duration
	Fault  int  // index in Scenario.Faults
	Target int  // number of the node or app server; -1 if the fault has no target
	End    bool // the fault ends
}

// Draw draws the schedule of a scenario. The result depends only on the scenario and the seed.
func Draw(s *Scenario, seed uint64) *Schedule {
	d := &Schedule{}
	d.drawTenants(s, random(seed, streamTenants))
	d.drawArrivals(s, random(seed, streamArrivals))
	d.drawFaults(s, random(seed, streamFaults))
	return d
}

// meanUnits returns the mean of the distribution of drawUnits.
func meanUnits() float64 {
	sum, p := 0.0, 1.0
	for n := 1; n <= maxUnits; n++ {
		q := p * (1 - extraUnitProbability)
		if n == maxUnits {
			q = p
		}
		sum, p = sum+float64(n)*q, p*extraUnitProbability
	}
	return sum
}

// drawUnits draws the units of a request from a geometric distribution truncated at maxUnits.
func drawUnits(rng *rand.Rand) float64 {
	n := 1
	for n < maxUnits && rng.Float64() < extraUnitProbability {
		n++
	}
	return float64(n)
}

// minTenantRate is the largest part of a plan's load, in requests per second, that counts as a rounding
// error. No tenant is created for it.
const minTenantRate = 1e-9

// drawTenants adds tenants of each plan until their rates add up to the plan's share of the load. If a
// tenant requests more than its quota, only the quota counts in that sum.
func (d *Schedule) drawTenants(s *Scenario, rng *rand.Rand) {
	for p, plan := range s.Plans {
		for remaining := s.Load.Rate * plan.Share; remaining > minTenantRate; {
			quotaRate := plan.Rate / meanUnits() // requests per second that use the whole quota
			use := 0.2 + 0.3*rng.Float64()
			if rng.Float64() < 0.17 {
				use = 0.95
			}
			demand := use
			if rng.Float64() < s.Load.OverQuotaTenants {
				use, demand = 1, 3
			}
			if use*quotaRate > remaining {
				demand *= remaining / (use * quotaRate)
				use = remaining / quotaRate
			}
			remaining -= use * quotaRate
			entryNodes := 2 + rng.IntN(3)
			if s.Load.EntryNodeShare > 0 {
				entryNodes = max(entryNodes, int(s.Load.EntryNodeShare*float64(s.Fleet.Nodes)))
			}
			if plan.HardLimitBurst > 0 { // each node's part of the burst must allow a request of maxUnits
				entryNodes = min(entryNodes, int(plan.HardLimitBurst/(2*maxUnits)))
			}
			entryNodes = min(entryNodes, s.Fleet.Nodes)
			c := Tenant{ID: rng.Uint64N(1 << 33), Plan: p, EntryNodes: entryNodes, FirstEntryNode: rng.IntN(s.Fleet.Nodes), Rate: demand * quotaRate}
			for range entryNodes {
				c.weights = append(c.weights, math.Exp(s.Load.Skew*rng.NormFloat64()))
			}
			d.Tenants = append(d.Tenants, c)
		}
	}
}

// burstFactor returns the factor by which the bursts multiply the request rate at a time.
func (l *Load) burstFactor(at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if at >= time.Duration(b.At) && (b.For == 0 || at < time.Duration(b.At+b.For)) {
			factor *= b.Factor
		}
	}
	return factor
}

// drawArrivals draws the arrivals from a Poisson process whose rate varies with the bursts. It draws them at
// an upper bound of the rate and discards a part of them (thinning). All draws of a discarded arrival are
// made as well.
func (d *Schedule) drawArrivals(s *Scenario, rng *rand.Rand) {
	total, maxFactor := 0.0, 1.0
	sum := make([]float64, len(d.Tenants))
	for i, c := range d.Tenants {
		total += c.Rate
		sum[i] = total
	}
	for _, b := range s.Load.Bursts { // bursts may overlap
		maxFactor *= math.Max(1, b.Factor)
	}
	gap := distuv.Exponential{Rate: total * maxFactor, Src: rng}
	estimateError := distuv.LogNormal{Mu: -estimateCV * estimateCV / 2, Sigma: estimateCV, Src: rng}
	workFactor := distuv.LogNormal{Mu: -workCV * workCV / 2, Sigma: workCV, Src: rng}
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at >= time.Duration(s.Duration) {
			return
		}
		accepted := rng.Float64()*maxFactor < s.Load.burstFactor(at)
		i, _ := slices.BinarySearch(sum, rng.Float64()*total)
		c := &d.Tenants[min(i, len(sum)-1)]
		units := drawUnits(rng)
		a := Arrival{
			At: at, ID: fmt.Sprintf("%016x", rng.Uint64()), Tenant: min(i, len(sum)-1), Units: units,
			EstimatedUnits: math.Min(math.Max(math.Round(units*estimateError.Rand()), 1), maxUnits),
			Work:           s.Load.WorkMS / 1000 * units / meanUnits() * workFactor.Rand(),
			Timeout:        time.Duration((0.5 + 0.5*rng.Float64()) * float64(s.Load.Deadline)),
			Node:           c.pick(rng.Float64(), int(at/time.Duration(s.Load.ShiftEvery)), s.Fleet.Nodes),
		}
		a.Class = s.pickClass(rng.Float64())
		if accepted {
			d.Arrivals = append(d.Arrivals, a)
		}
	}
}

// pickClass maps a uniform random number from 0 to 1 to a class, by the classes' shares. The last class has
// the lowest numbers, and class 0 has all that remain.
func (s *Scenario) pickClass(x float64) int {
	for i := len(s.Classes) - 1; i > 0; i-- {
		if x -= s.Classes[i].Share; x < 0 {
			return i
		}
	}
	return 0
}

// pick maps a uniform random number from 0 to 1 to one of the tenant's entry nodes, by their weights rotated
// by shift. The result is the number of the node in a fleet of the given size.
func (c *Tenant) pick(x float64, shift, nodes int) int {
	total := 0.0
	for _, w := range c.weights {
		total += w
	}
	for i := range c.weights {
		if x -= c.weights[(i+shift)%c.EntryNodes] / total; x < 0 {
			return (c.FirstEntryNode + i) % nodes
		}
	}
	return c.FirstEntryNode % nodes
}

// drawFaults chooses the targets of each fault and adds an event for each beginning and end, in order of
// time.
func (d *Schedule) drawFaults(s *Scenario, rng *rand.Rand) {
	for i, ft := range s.Faults {
		kind := faultKinds[ft.Kind]
		var targets []int
		switch kind.target {
		case targetNodes:
			targets = s.Fleet.inZone(s.Fleet.Nodes, ft.Zone)
		case targetServers:
			targets = s.Fleet.inZone(s.Fleet.Servers, ft.Zone)
		default:
			targets = []int{-1}
		}
		if kind.target == targetNodes || kind.target == targetServers {
			rng.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
			n := max(ft.Count, int(math.Round(ft.Share*float64(len(targets)))), 1)
			targets = targets[:min(n, len(targets))]
		}
		for k, target := range targets {
			at := time.Duration(ft.At) + time.Duration(k)*time.Duration(ft.Step)
			d.Faults = append(d.Faults, FaultEvent{At: at, Fault: i, Target: target})
			if ft.For > 0 {
				d.Faults = append(d.Faults, FaultEvent{At: at + time.Duration(ft.For), Fault: i, Target: target, End: true})
			}
		}
	}
	slices.SortStableFunc(d.Faults, func(a, b FaultEvent) int { return int(a.At - b.At) })
}

// inZone returns the numbers below count of the nodes or app servers in a zone, or all of them if zone is "".
func (f *Fleet) inZone(count int, zone string) (numbers []int) {
	for i := range count {
		if zone == "" || f.zoneOf(i) == zone {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// zoneOf returns the zone of the node or app server with a number.
func (f *Fleet) zoneOf(number int) string { return f.Zones[number%len(f.Zones)] }

// Digest returns a hash of the schedule. Two runs with the same digest had the same schedule.
func (d *Schedule) Digest() string {
	h := sha256.New()
	put := func(values ...uint64) {
		var b [8]byte
		for _, v := range values {
			binary.BigEndian.PutUint64(b[:], v)
			h.Write(b[:])
		}
	}
	for _, c := range d.Tenants {
		put(c.ID, uint64(c.Plan), uint64(c.EntryNodes), uint64(c.FirstEntryNode), math.Float64bits(c.Rate))
	}
	for _, a := range d.Arrivals {
		h.Write([]byte(a.ID))
		put(uint64(a.At), uint64(a.Tenant), uint64(a.Class), uint64(a.Node), math.Float64bits(a.Units), math.Float64bits(a.EstimatedUnits),
			math.Float64bits(a.Work), uint64(a.Timeout))
	}
	for _, e := range d.Faults {
		end := uint64(0)
		if e.End {
			end = 1
		}
		put(uint64(e.At), uint64(e.Fault), uint64(e.Target), end)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
