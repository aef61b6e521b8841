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

// Streams of random numbers, one for each thing that is drawn, so that a change to one
// leaves the others as they were.
const (
	streamTenants = iota + 1
	streamArrivals
	streamFaults
	streamClients
	streamServers
	streamLinks
	streamGenerated
)

func random(seed uint64, stream int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(stream))) }

const (
	maxUnits          = 8    // of one request
	guessCV           = 0.5  // how far a guess of units lies from the truth
	workCV            = 0.8  // of the work of one request, beyond what its units tell
	anotherUnitChance = 0.45 // chance that a request has one unit more
)

// Tenant is one that asks.
type Tenant struct {
	ID             uint64
	Plan           int
	EntryNodes     int // edge nodes that its requests come through
	FirstEntryNode int // number of the first
	Rate           float64
	weight         []float64 // of each of its nodes, busiest first
}

// Arrival is one first attempt of a client.
type Arrival struct {
	At     time.Duration
	ID     string
	Tenant int
	Class  int
	Node   int     // number of the edge node that it comes through
	Units  float64 // that it counts in the end
	Guess  float64 // that its client says
	Work   float64 // core seconds
	Wait   time.Duration
}

// Schedule is all that a run draws ahead.
type Schedule struct {
	Tenants  []Tenant
	Arrivals []Arrival
	Faults   []FaultEvent
}

// FaultEvent is the beginning or the end of a fault at one target.
type FaultEvent struct {
	At     time.Duration
	Fault  int // number in the scenario
	Target int // number of a node or server; -1 where the fault has none
	End    bool
}

// Draw makes the schedule of a scenario. It depends on the scenario and the seed alone.
func Draw(s *Scenario, seed uint64) *Schedule {
	d := &Schedule{}
	d.drawTenants(s, random(seed, streamTenants))
	d.drawArrivals(s, random(seed, streamArrivals))
	d.drawFaults(s, random(seed, streamFaults))
	return d
}

// meanUnits is the mean of drawUnits.
func meanUnits() float64 {
	sum, p := 0.0, 1.0
	for n := 1; n <= maxUnits; n++ {
		q := p * (1 - anotherUnitChance)
		if n == maxUnits {
			q = p
		}
		sum, p = sum+float64(n)*q, p*anotherUnitChance
	}
	return sum
}

func drawUnits(rng *rand.Rand) float64 {
	n := 1
	for n < maxUnits && rng.Float64() < anotherUnitChance {
		n++
	}
	return float64(n)
}

// minUse is what rounding may leave of a plan's share, in requests a second: no tenant is made of it.
const minUse = 1e-9

// drawTenants adds tenants of each plan until they ask for its share of the load. What
// heavy ones ask beyond their quota comes on top.
func (d *Schedule) drawTenants(s *Scenario, rng *rand.Rand) {
	for p, plan := range s.Plans {
		for left := s.Load.Rate * plan.Share; left > minUse; {
			full := plan.Rate / meanUnits() // requests a second that use the whole quota
			use := 0.2 + 0.3*rng.Float64()
			if rng.Float64() < 0.17 {
				use = 0.95
			}
			ask := use
			if rng.Float64() < s.Load.OverQuotaTenants {
				use, ask = 1, 3
			}
			if use*full > left {
				ask *= left / (use * full)
				use = left / full
			}
			left -= use * full
			spread := 2 + rng.IntN(3)
			if s.Load.EntryNodeShare > 0 {
				spread = max(spread, int(s.Load.EntryNodeShare*float64(s.Fleet.Nodes)))
			}
			if plan.HardLimitBurst > 0 { // or no node's part of it would hold a request
				spread = min(spread, int(plan.HardLimitBurst/(2*maxUnits)))
			}
			spread = min(spread, s.Fleet.Nodes)
			c := Tenant{ID: rng.Uint64N(1 << 33), Plan: p, EntryNodes: spread, FirstEntryNode: rng.IntN(s.Fleet.Nodes), Rate: ask * full}
			for range spread {
				c.weight = append(c.weight, math.Exp(s.Load.Skew*rng.NormFloat64()))
			}
			d.Tenants = append(d.Tenants, c)
		}
	}
}

// rateAt is the multiple of the load at a time.
func (l *Load) rateAt(at time.Duration) float64 {
	x := 1.0
	for _, b := range l.Bursts {
		if at >= time.Duration(b.At) && (b.For == 0 || at < time.Duration(b.At+b.For)) {
			x *= b.Times
		}
	}
	return x
}

// drawArrivals draws a Poisson stream, thinned from the highest rate that bursts reach.
func (d *Schedule) drawArrivals(s *Scenario, rng *rand.Rand) {
	total, most := 0.0, 1.0
	sum := make([]float64, len(d.Tenants))
	for i, c := range d.Tenants {
		total += c.Rate
		sum[i] = total
	}
	for _, b := range s.Load.Bursts { // bursts may overlap
		most *= math.Max(1, b.Times)
	}
	gap := distuv.Exponential{Rate: total * most, Src: rng}
	guess := distuv.LogNormal{Mu: -guessCV * guessCV / 2, Sigma: guessCV, Src: rng}
	work := distuv.LogNormal{Mu: -workCV * workCV / 2, Sigma: workCV, Src: rng}
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at >= time.Duration(s.Duration) {
			return
		}
		keep := rng.Float64()*most < s.Load.rateAt(at)
		i, _ := slices.BinarySearch(sum, rng.Float64()*total)
		c := &d.Tenants[min(i, len(sum)-1)]
		units := drawUnits(rng)
		a := Arrival{
			At: at, ID: fmt.Sprintf("%016x", rng.Uint64()), Tenant: min(i, len(sum)-1), Units: units,
			Guess: math.Min(math.Max(math.Round(units*guess.Rand()), 1), maxUnits),
			Work:  s.Load.WorkMS / 1000 * units / meanUnits() * work.Rand(),
			Wait:  time.Duration((0.5 + 0.5*rng.Float64()) * float64(s.Load.Deadline)),
			Node:  c.pick(rng.Float64(), int(at/time.Duration(s.Load.ShiftEvery)), s.Fleet.Nodes),
		}
		a.Class = s.pickClass(rng.Float64())
		if keep {
			d.Arrivals = append(d.Arrivals, a)
		}
	}
}

// pickClass chooses a class by a number from 0 to 1; the last ones come first.
func (s *Scenario) pickClass(x float64) int {
	for i := len(s.Classes) - 1; i > 0; i-- {
		if x -= s.Classes[i].Share; x < 0 {
			return i
		}
	}
	return 0
}

// pick chooses one of the tenant's nodes; shift moves the weights round.
func (c *Tenant) pick(x float64, shift, nodes int) int {
	total := 0.0
	for _, w := range c.weight {
		total += w
	}
	for i := range c.weight {
		if x -= c.weight[(i+shift)%c.EntryNodes] / total; x < 0 {
			return (c.FirstEntryNode + i) % nodes
		}
	}
	return c.FirstEntryNode % nodes
}

// drawFaults chooses the targets of every fault and lays them on the time line.
func (d *Schedule) drawFaults(s *Scenario, rng *rand.Rand) {
	for i, ft := range s.Faults {
		kind := faultKinds[ft.Kind]
		var of []int
		switch kind.target {
		case faultsNodes:
			of = s.Fleet.inZone(s.Fleet.Nodes, ft.Zone)
		case faultsServers:
			of = s.Fleet.inZone(s.Fleet.Servers, ft.Zone)
		default:
			of = []int{-1}
		}
		if kind.target == faultsNodes || kind.target == faultsServers {
			rng.Shuffle(len(of), func(a, b int) { of[a], of[b] = of[b], of[a] })
			n := max(ft.Count, int(math.Round(ft.Share*float64(len(of)))), 1)
			of = of[:min(n, len(of))]
		}
		for k, target := range of {
			at := time.Duration(ft.At) + time.Duration(k)*time.Duration(ft.Step)
			d.Faults = append(d.Faults, FaultEvent{At: at, Fault: i, Target: target})
			if ft.For > 0 {
				d.Faults = append(d.Faults, FaultEvent{At: at + time.Duration(ft.For), Fault: i, Target: target, End: true})
			}
		}
	}
	slices.SortStableFunc(d.Faults, func(a, b FaultEvent) int { return int(a.At - b.At) })
}

// inZone lists the numbers of nodes or servers in a zone, all where it is "".
func (f *Fleet) inZone(all int, zone string) (of []int) {
	for i := range all {
		if zone == "" || f.zoneOf(i) == zone {
			of = append(of, i)
		}
	}
	return of
}

// zoneOf is the zone of a node or a server.
func (f *Fleet) zoneOf(number int) string { return f.Zones[number%len(f.Zones)] }

// Digest is a fingerprint of the schedule: equal for two runs that drew the same.
func (d *Schedule) Digest() string {
	h := sha256.New()
	put := func(xs ...uint64) {
		var b [8]byte
		for _, x := range xs {
			binary.BigEndian.PutUint64(b[:], x)
			h.Write(b[:])
		}
	}
	for _, c := range d.Tenants {
		put(c.ID, uint64(c.Plan), uint64(c.EntryNodes), uint64(c.FirstEntryNode), math.Float64bits(c.Rate))
	}
	for _, a := range d.Arrivals {
		h.Write([]byte(a.ID))
		put(uint64(a.At), uint64(a.Tenant), uint64(a.Class), uint64(a.Node), math.Float64bits(a.Units), math.Float64bits(a.Guess),
			math.Float64bits(a.Work), uint64(a.Wait))
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
