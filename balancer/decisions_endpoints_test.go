package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// The endpoints of the world, the weather that they have, and the list of them.

// weather is what goes wrong for a while.
type weather struct {
	rush    float64 // factor on the clients' requests
	slow    float64 // factor on the endpoints' latency
	loss    float64 // share of the messages between nodes that is lost
	refuse  float64 // share of the endpoints that refuse connections,
	silent  float64 // that answer nothing,
	fail    float64 // that answer with errors,
	full    float64 // that reject all,
	reset   float64 // and whose connections break
	noLists bool    // the list can't be had
}

var underloadedOccupancy = weather{rush: 1, slow: 1, loss: 0.02}

var weathers = []weather{
	{rush: 6, slow: 1, loss: 0.02},
	{rush: 2, slow: 8, loss: 0.02},
	{rush: 4, slow: 3, loss: 0.3},
	{rush: 1, slow: 1, loss: 1},
	{rush: 3, slow: 1, loss: 1},
	{rush: 1, slow: 1, loss: 0.3, refuse: 0.4},
	{rush: 1, slow: 1, silent: 0.4, noLists: true},
	{rush: 1, slow: 1, fail: 0.6},
	{rush: 1, slow: 2, full: 0.5, reset: 0.3},
	{rush: 2, slow: 1, refuse: 0.5, silent: 0.4},
	{rush: 1, slow: 1, refuse: 0.2, silent: 0.7, fail: 0.1},
}

// changeWeather lets every other weather be calm.
func (w *world) changeWeather() {
	if w.ending {
		return
	}
	if w.weather == underloadedOccupancy {
		w.weather = weathers[w.random.IntN(len(weathers))]
	} else {
		w.weather = underloadedOccupancy
	}
	w.endpoints.turn = w.random.Float64()
	w.after(500*time.Millisecond+w.upTo(1500*time.Millisecond), w.changeWeather)
}

// endpoint is an endpoint as it is, and what the list says of it.
type endpoint struct {
	listed    balancer.Endpoint
	speed     float64
	capacity  float64
	inFlight  float64
	luck      float64       // tells which weathers hit it
	downUntil time.Duration // it restarts
}

// endpoints are all that there are, listed or not.
type endpoints struct {
	all  []*endpoint
	byID map[string]*endpoint
	turn float64 // tells whom the weather hits
	old  []balancer.Endpoint
}

func newEndpoints(random *rand.Rand, count int) endpoints {
	es := endpoints{byID: map[string]*endpoint{}}
	for i := range count {
		large := i%4 == 3
		e := &endpoint{
			listed: balancer.Endpoint{ID: fmt.Sprintf("e%d", i), MachineType: "small", Zone: zones[i%len(zones)], Cell: i % 7},
			speed:  1, capacity: 8, luck: random.Float64(),
		}
		if large {
			e.listed.MachineType, e.speed, e.capacity = "large", 0.7, 16
		}
		if large && count != 12 { // there all are listed as of one size
			e.listed.Weight = 2
		}
		es.all = append(es.all, e)
		es.byID[e.listed.ID] = e
	}
	es.old = es.listed()
	return es
}

// listed returns the complete list.
func (es *endpoints) listed() (list []balancer.Endpoint) {
	for _, e := range es.all {
		if e.listed.State != balancer.Removed {
			list = append(list, e.listed)
		}
	}
	return list
}

// answer is the result of one attempt or health check, and how long it took.
type answer struct {
	result balancer.Result
	took   time.Duration
}

// answer draws how an endpoint answers something of a usual latency.
func (w *world) answer(e *endpoint, usual, timeout time.Duration) answer {
	const ms = time.Millisecond
	hit := math.Mod(e.luck+w.endpoints.turn, 1)
	below := func(share float64) bool {
		hit -= share
		return hit < 0 && hit >= -share
	}
	switch v := w.weather; {
	case w.now < e.downUntil:
		return answer{balancer.ConnectFailed, ms}
	case below(v.refuse):
		return answer{balancer.ConnectFailed, []time.Duration{ms, 100 * ms}[w.random.IntN(2)]}
	case below(v.silent):
		return answer{balancer.TimedOut, timeout}
	case below(v.fail):
		return answer{balancer.ErrorResponse, 5 * ms}
	case below(v.full), e.inFlight > 4*e.capacity:
		return answer{balancer.Overloaded, 2 * ms}
	case below(v.reset):
		return answer{balancer.Reset, 10 * ms}
	}
	load, deviation := 1+e.inFlight/e.capacity, 0.4
	if w.scenario.variant.name == hedged.name { // what is slow there is seen soon
		deviation = 0.05
	}
	took := time.Duration(float64(usual) * e.speed * w.weather.slow * load * math.Exp(deviation*w.random.NormFloat64()))
	switch {
	case took > timeout:
		return answer{balancer.TimedOut, timeout}
	case w.chance(0.01):
		return answer{balancer.Result(w.random.IntN(int(balancer.NotSent) + 1)), took}
	}
	return answer{balancer.OK, took}
}

// load draws a report of an endpoint's load, of which parts may be missing.
func (w *world) load(e *endpoint) *balancer.LoadReport {
	if w.chance(0.1) {
		return nil
	}
	l := &balancer.LoadReport{
		InFlight: e.inFlight, Queued: math.Max(e.inFlight-e.capacity, 0),
		Utilization: math.Min((1+e.inFlight)/e.capacity*w.weather.slow, 1.1), // what is slow is busy, whoever keeps it so
	}
	for _, part := range []*float64{&l.InFlight, &l.Queued, &l.Utilization} {
		if w.chance(0.1) {
			*part = -1
		}
	}
	return l
}

// probe answers a health check.
func (w *world) probe(n *node, e *endpoint) {
	a := w.answer(e, 5*time.Millisecond, 300*time.Millisecond)
	w.after(a.took, func() {
		var l *balancer.LoadReport
		if a.result == balancer.OK {
			l = w.load(e)
		}
		n.probed(e.listed.ID, a.result, l)
	})
}

// watch gives a node the list that it has subscribed to.
func (w *world) watch(n *node) {
	n.watching = true
	w.after(20*time.Millisecond, func() {
		if w.weather.noLists || w.chance(0.2) {
			n.list(balancer.UpdateFailed, nil)
			return
		}
		n.list(balancer.UpdateSnapshot, w.endpoints.listed())
	})
}

// changeList changes some endpoints and lets the nodes know, each a little later than the other.
func (w *world) changeList() {
	if w.ending {
		return
	}
	form, entries := balancer.UpdateDelta, w.changeEndpoints()
	all := w.endpoints.listed()
	switch draw := w.random.IntN(25); {
	case draw < 2:
		form, entries = balancer.UpdateSnapshot, all
	case draw == 2:
		form, entries = balancer.UpdateCached, w.endpoints.old
	case draw == 3: // most are missing, for a while
		form, entries = balancer.UpdateCached, all[:len(all)/50]
		w.after(300*time.Millisecond, func() { w.tellList(balancer.UpdateSnapshot, w.endpoints.listed()) })
	case draw == 4:
		form, entries = balancer.UpdateFailed, nil
	case draw == 5:
		w.endpoints.old = all
	}
	w.tellList(form, entries)
	wait := 200*time.Millisecond + w.upTo(600*time.Millisecond)
	if len(w.endpoints.all) == 1 && len(w.endpoints.listed()) == 1 {
		wait += 2 * time.Second // without it there is little to decide
	}
	w.after(wait, w.changeList)
}

func (w *world) tellList(form balancer.UpdateKind, entries []balancer.Endpoint) {
	for _, n := range w.nodes {
		w.after(w.upTo(50*time.Millisecond), func() { n.list(form, entries) })
	}
}

// changeEndpoints changes a few endpoints and returns their entries.
func (w *world) changeEndpoints() (entries []balancer.Endpoint) {
	for range 1 + w.random.IntN(1+min(len(w.endpoints.all)/25, 20)) {
		e := w.endpoints.all[w.random.IntN(len(w.endpoints.all))]
		w.changeEndpoint(e)
		entries = append(entries, e.listed)
	}
	if w.chance(0.1) {
		entries = append(entries, balancer.Endpoint{ID: "unknown", State: balancer.Removed})
	}
	return entries
}

// changeEndpoint drains, removes, restarts, resizes or moves one endpoint, or brings it back.
func (w *world) changeEndpoint(e *endpoint) {
	restart := func() {
		e.listed.State, e.listed.StartedAt = balancer.Up, w.now
		e.downUntil = w.now + 100*time.Millisecond
	}
	if e.listed.State != balancer.Up {
		if e.listed.State == balancer.Draining && w.chance(0.5) {
			e.listed.State = balancer.Removed
			return
		}
		restart()
		return
	}
	switch draw := w.random.IntN(10); {
	case draw < 3:
		e.listed.State = balancer.Draining
	case draw < 5:
		e.listed.State = balancer.Removed
	case draw < 8:
		restart()
	case draw == 8:
		e.listed.Weight = float64(w.random.IntN(4))
	default:
		e.listed.Zone, e.listed.MachineType = zones[w.random.IntN(len(zones))], []string{"small", "large", "new"}[w.random.IntN(3)]
	}
}
