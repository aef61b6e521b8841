package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// The simulated endpoints, the conditions that change their behaviour, and the endpoint list.

// conditions are the load and the faults during a part of a scenario.
type conditions struct {
	requestFactor   float64 // factor on the rate of requests
	latencyFactor   float64 // factor on the endpoints' latency
	messageLoss     float64 // fraction of the messages between nodes that is lost
	refusing        float64 // fraction of the endpoints that refuse connections
	silent          float64 // fraction of the endpoints that do not respond
	failing         float64 // fraction of the endpoints that respond with errors
	overloaded      float64 // fraction of the endpoints that reject all requests
	resetting       float64 // fraction of the endpoints whose connections break
	listUnavailable bool    // a watch gets no endpoint list
}

var normalConditions = conditions{requestFactor: 1, latencyFactor: 1, messageLoss: 0.02}

var faultConditions = []conditions{
	{requestFactor: 6, latencyFactor: 1, messageLoss: 0.02},
	{requestFactor: 2, latencyFactor: 8, messageLoss: 0.02},
	{requestFactor: 4, latencyFactor: 3, messageLoss: 0.3},
	{requestFactor: 1, latencyFactor: 1, messageLoss: 1},
	{requestFactor: 3, latencyFactor: 1, messageLoss: 1},
	{requestFactor: 1, latencyFactor: 1, messageLoss: 0.3, refusing: 0.4},
	{requestFactor: 1, latencyFactor: 1, silent: 0.4, listUnavailable: true},
	{requestFactor: 1, latencyFactor: 1, failing: 0.6},
	{requestFactor: 1, latencyFactor: 2, overloaded: 0.5, resetting: 0.3},
	{requestFactor: 2, latencyFactor: 1, refusing: 0.5, silent: 0.4},
	{requestFactor: 1, latencyFactor: 1, refusing: 0.2, silent: 0.7, failing: 0.1},
}

// changeConditions alternates between normal conditions and random faults, and schedules the next change.
func (sim *simulation) changeConditions() {
	if sim.finishing {
		return
	}
	if sim.conditions == normalConditions {
		sim.conditions = faultConditions[sim.random.IntN(len(faultConditions))]
	} else {
		sim.conditions = normalConditions
	}
	sim.endpoints.faultOffset = sim.random.Float64()
	sim.after(500*time.Millisecond+sim.randomDuration(1500*time.Millisecond), sim.changeConditions)
}

// endpoint is a simulated endpoint with its entry in the endpoint list.
type endpoint struct {
	listed        balancer.Endpoint
	latencyFactor float64 // multiple of the usual latency; below 1 is faster
	capacity      float64 // number of requests that run at once; others queue
	inFlight      float64
	faultRank     float64       // from 0 to 1; with endpoints.faultOffset it selects the endpoint's faults
	downUntil     time.Duration // end of the restart; connections are refused before
}

// endpoints holds all simulated endpoints, including those that are not listed.
type endpoints struct {
	all         []*endpoint
	byID        map[string]*endpoint
	faultOffset float64             // determines which endpoints have faults
	outdated    []balancer.Endpoint // an earlier list, for cached updates
}

func newEndpoints(random *rand.Rand, count int) endpoints {
	es := endpoints{byID: map[string]*endpoint{}}
	for i := range count {
		large := i%4 == 3
		e := &endpoint{
			listed: balancer.Endpoint{
				ID: fmt.Sprintf("e%d", i), MachineType: "small", Zone: zones[i%len(zones)], Cell: i % 7,
			},
			latencyFactor: 1, capacity: 8, faultRank: random.Float64(),
		}
		if large {
			e.listed.MachineType, e.latencyFactor, e.capacity = "large", 0.7, 16
		}
		if large && count != 12 { // scenarios with 12 endpoints list no weights
			e.listed.Weight = 2
		}
		es.all = append(es.all, e)
		es.byID[e.listed.ID] = e
	}
	es.outdated = es.listedEntries()
	return es
}

// listedEntries returns the complete list.
func (es *endpoints) listedEntries() (list []balancer.Endpoint) {
	for _, e := range es.all {
		if e.listed.State != balancer.Removed {
			list = append(list, e.listed)
		}
	}
	return list
}

// outcome is the result of an attempt or health check, and the time that it takes.
type outcome struct {
	result  balancer.Result
	elapsed time.Duration
}

// randomOutcome returns a random outcome of an attempt or health check at an endpoint. usual is the median
// latency of an idle endpoint with a latency factor of 1.
func (sim *simulation) randomOutcome(e *endpoint, usual, timeout time.Duration) outcome {
	const ms = time.Millisecond
	rank := math.Mod(e.faultRank+sim.endpoints.faultOffset, 1)
	hasFault := func(fraction float64) bool {
		rank -= fraction
		return rank < 0 && rank >= -fraction
	}
	switch c := sim.conditions; {
	case sim.now < e.downUntil:
		return outcome{balancer.ConnectFailed, ms}
	case hasFault(c.refusing):
		return outcome{balancer.ConnectFailed, []time.Duration{ms, 100 * ms}[sim.random.IntN(2)]}
	case hasFault(c.silent):
		return outcome{balancer.TimedOut, timeout}
	case hasFault(c.failing):
		return outcome{balancer.ErrorResponse, 5 * ms}
	case hasFault(c.overloaded), e.inFlight > 4*e.capacity:
		return outcome{balancer.Overloaded, 2 * ms}
	case hasFault(c.resetting):
		return outcome{balancer.Reset, 10 * ms}
	}
	load, deviation := 1+e.inFlight/e.capacity, 0.4
	if sim.scenario.variant.name == hedged.name { // with a small deviation, slow attempts are hedged early
		deviation = 0.05
	}
	elapsed := time.Duration(float64(usual) * e.latencyFactor * sim.conditions.latencyFactor * load *
		math.Exp(deviation*sim.random.NormFloat64()))
	switch {
	case elapsed > timeout:
		return outcome{balancer.TimedOut, timeout}
	case sim.chance(0.01):
		return outcome{balancer.Result(sim.random.IntN(int(balancer.NotSent) + 1)), elapsed}
	}
	return outcome{balancer.OK, elapsed}
}

// randomLoadReport returns the load report of an endpoint. The report or some of its fields may be missing.
func (sim *simulation) randomLoadReport(e *endpoint) *balancer.LoadReport {
	if sim.chance(0.1) {
		return nil
	}
	l := &balancer.LoadReport{
		InFlight: e.inFlight, Queued: math.Max(e.inFlight-e.capacity, 0),
		// A slow endpoint counts as busy, whatever slows it down.
		Utilization: math.Min((1+e.inFlight)/e.capacity*sim.conditions.latencyFactor, 1.1),
	}
	for _, field := range []*float64{&l.InFlight, &l.Queued, &l.Utilization} {
		if sim.chance(0.1) {
			*field = -1
		}
	}
	return l
}

// runHealthCheck runs a health check of an endpoint and reports the result to the node.
func (sim *simulation) runHealthCheck(n *node, e *endpoint) {
	a := sim.randomOutcome(e, 5*time.Millisecond, 300*time.Millisecond)
	sim.after(a.elapsed, func() {
		var l *balancer.LoadReport
		if a.result == balancer.OK {
			l = sim.randomLoadReport(e)
		}
		n.healthChecked(e.listed.ID, a.result, l)
	})
}

// serveWatch sends a node the endpoint list that it has subscribed to, or a failure.
func (sim *simulation) serveWatch(n *node) {
	n.watching = true
	sim.after(20*time.Millisecond, func() {
		if sim.conditions.listUnavailable || sim.chance(0.2) {
			n.endpointsUpdated(balancer.UpdateFailed, nil)
			return
		}
		n.endpointsUpdated(balancer.UpdateSnapshot, sim.endpoints.listedEntries())
	})
}

// updateList changes some endpoints, sends the nodes an update of the list, and schedules the next change.
func (sim *simulation) updateList() {
	if sim.finishing {
		return
	}
	kind, entries := balancer.UpdateDelta, sim.changeEndpoints()
	all := sim.endpoints.listedEntries()
	switch draw := sim.random.IntN(25); {
	case draw < 2:
		kind, entries = balancer.UpdateSnapshot, all
	case draw == 2:
		kind, entries = balancer.UpdateCached, sim.endpoints.outdated
	case draw == 3: // most endpoints are missing until the next snapshot
		kind, entries = balancer.UpdateCached, all[:len(all)/50]
		sim.after(300*time.Millisecond, func() {
			sim.sendList(balancer.UpdateSnapshot, sim.endpoints.listedEntries())
		})
	case draw == 4:
		kind, entries = balancer.UpdateFailed, nil
	case draw == 5:
		sim.endpoints.outdated = all
	}
	sim.sendList(kind, entries)
	wait := 200*time.Millisecond + sim.randomDuration(600*time.Millisecond)
	if len(sim.endpoints.all) == 1 && len(sim.endpoints.listedEntries()) == 1 {
		wait += 2 * time.Second // without its only endpoint, a balancer has little to decide
	}
	sim.after(wait, sim.updateList)
}

// sendList sends the nodes an update of the endpoint list, with a random delay for each.
func (sim *simulation) sendList(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	for _, n := range sim.nodes {
		sim.after(sim.randomDuration(50*time.Millisecond), func() { n.endpointsUpdated(kind, entries) })
	}
}

// changeEndpoints changes a few endpoints and returns their entries.
func (sim *simulation) changeEndpoints() (entries []balancer.Endpoint) {
	for range 1 + sim.random.IntN(1+min(len(sim.endpoints.all)/25, 20)) {
		e := sim.endpoints.all[sim.random.IntN(len(sim.endpoints.all))]
		sim.changeEndpoint(e)
		entries = append(entries, e.listed)
	}
	if sim.chance(0.1) {
		entries = append(entries, balancer.Endpoint{ID: "unknown", State: balancer.Removed})
	}
	return entries
}

// changeEndpoint drains, removes, restarts, resizes or moves an endpoint. An endpoint that does not accept
// requests is removed or started again.
func (sim *simulation) changeEndpoint(e *endpoint) {
	restart := func() {
		e.listed.State, e.listed.StartedAt = balancer.Up, sim.now
		e.downUntil = sim.now + 100*time.Millisecond
	}
	if e.listed.State != balancer.Up {
		if e.listed.State == balancer.Draining && sim.chance(0.5) {
			e.listed.State = balancer.Removed
			return
		}
		restart()
		return
	}
	switch draw := sim.random.IntN(10); {
	case draw < 3:
		e.listed.State = balancer.Draining
	case draw < 5:
		e.listed.State = balancer.Removed
	case draw < 8:
		restart()
	case draw == 8:
		e.listed.Weight = float64(sim.random.IntN(4))
	default:
		e.listed.Zone, e.listed.MachineType = zones[sim.random.IntN(len(zones))],
			[]string{"small", "large", "new"}[sim.random.IntN(3)]
	}
}
