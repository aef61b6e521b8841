package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"opalhook/balancer"
)

// Servers of a simulated fleet: how long they take and how often they can't.
const (
	serverFastest  = 6 * time.Millisecond
	serverMore     = 6 * time.Millisecond // mean of what is drawn on top
	fullShare      = 0.002
	errorShare     = 0.001
	serverZones    = 15
	serversPerCell = 21
	reportedMost   = 6 // requests in hand that a server reports, at most
	costlyShare    = 0.3
)

// secondsToAnswer is the time a client waits over all its tries.
const secondsToAnswer = 4 * time.Second

// fleetSettings are the settings of an edge node of a large fleet: the form's sample with figures for
// two classes, three plans and an inbox of 40 messages a second.
func fleetSettings(instances, me int) balancer.Settings {
	return balancer.Settings{
		NodeIndex: me, NodeCount: instances, Zone: zoneOf(me),
		Classes: []balancer.Class{
			{Name: "check", Idempotency: balancer.Idempotent, LatencyObjective: time.Second, Deadline: secondsToAnswer, PriorityWeight: 3, LateWeightFraction: 0.2},
			{Name: "issue", Idempotency: balancer.NonIdempotent, LatencyObjective: time.Second, Deadline: secondsToAnswer, PriorityWeight: 5, LateWeightFraction: 0.2},
		},
		Plans:         fleetPlans(),
		ResponseSlack: 8 * time.Millisecond, DrainTimeout: 500 * time.Millisecond,
		SlowStartInitialFraction: 0.27, SlowStartDuration: 16 * time.Second, OverloadFactor: 2.5, OverloadWindow: 3 * time.Second,
		MaxAttempts: 5, Hedging: true, Cancellation: true, Gossip: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond,
		LoadReports: balancer.LoadReportsInResponses, PeerMessagesPerSecond: 40, PostPaid: true, MaxUnits: mostUnits, Tick: 2 * time.Millisecond,
		CrossZonePrice: 0.0091, PeerMessagePrice: 0.03, WastedWorkPrice: 0.05,
	}
}

func zoneOf(number int) string { return "zone-" + strconv.Itoa(number%serverZones) }

// server returns the list's entry of a server by its number; the same each time.
func server(number int) balancer.Endpoint {
	return balancer.Endpoint{
		ID: fmt.Sprintf("server-%06d", number), Weight: 1, MachineType: "standard",
		Zone: zoneOf(number), Cell: number / serversPerCell,
	}
}

// serverList returns the list of the first servers.
func serverList(count int) []balancer.Endpoint {
	list := make([]balancer.Endpoint, count)
	for i := range list {
		list[i] = server(i)
	}
	return list
}

// counts is what an edge node did, or all of a fleet. All are counts and sums that the seed decides.
type counts struct {
	requests, served, refused, failed int
	finalAgain                        int // final answers to a request that had one
	unanswered                        int // requests without one after their deadline
	sends                             int
	asks, answers, others             int // messages sent
	bytes                             int // of them
	longest                           int // bytes of the longest message
	arrived, discarded                int // messages that came to the inbox, and of them those over its rate
	heard                             int // bytes of the messages taken in
	admittedUnits                     float64
	beyondUnits                       float64 // of them, those that the quota did not have
	refusedRoom                       int     // refusals while half of the quota was unused
}

func (c *counts) add(d *counts) {
	c.requests += d.requests
	c.served += d.served
	c.refused += d.refused
	c.failed += d.failed
	c.finalAgain += d.finalAgain
	c.unanswered += d.unanswered
	c.sends += d.sends
	c.asks += d.asks
	c.answers += d.answers
	c.others += d.others
	c.bytes += d.bytes
	c.longest = max(c.longest, d.longest)
	c.arrived += d.arrived
	c.discarded += d.discarded
	c.heard += d.heard
	c.admittedUnits += d.admittedUnits
	c.beyondUnits += d.beyondUnits
	c.refusedRoom += d.refusedRoom
}

func (c *counts) messages() int { return c.asks + c.answers + c.others }

// fleet is a number of real gateways on one simulated clock. Their clients, servers and links are
// drawn from one seed, so that the same seed gives the same decisions.
type fleet struct {
	clock     clock
	rng       *rand.Rand
	link      link
	seed      uint64
	instances int
	spread    int
	inboxRate float64       // messages a second that an inbox takes
	nodes     map[int]*node // by number; a gateway that is not simulated takes messages and is silent
	order     []*node       // by the order in which they were added
	nextID    int
}

func newFleet(seed uint64, instances, spread int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 0x5ca1e))
	return &fleet{
		rng: rng, link: link{rng}, seed: seed, instances: instances, spread: spread,
		inboxRate: fleetSettings(instances, 0).PeerMessagesPerSecond, nodes: map[int]*node{}, clock: clock{now: time.Hour}, // servers started long ago
	}
}

// add makes an edge node and starts its gateway, which has no list yet.
func (f *fleet) add(number int) (*node, error) {
	settings := fleetSettings(f.instances, number)
	gateway, err := balancer.New(settings, f.seed<<16+uint64(number))
	if err != nil {
		return nil, fmt.Errorf("edge node %d: %w", number, err)
	}
	n := &node{
		fleet: f, number: number, gateway: gateway, open: map[string]*openRequest{},
		inbox: newInbox(f.inboxRate, f.clock.now), met: map[string]bool{}, classes: settings.Classes,
	}
	f.nodes[number] = n
	f.order = append(f.order, n)
	gateway.Start(f.clock.now, n)
	return n, nil
}

// addAll makes all edge nodes, each with the same list.
func (f *fleet) addAll(servers int) error {
	for number := range f.instances {
		n, err := f.add(number)
		if err != nil {
			return err
		}
		n.list(callFirstList, balancer.UpdateSnapshot, serverList(servers))
	}
	return nil
}

// arrive begins the requests of a tenant, each at one of its gateways, until a time.
func (f *fleet) arrive(t *tenant, end time.Duration) {
	wait := time.Duration(f.rng.ExpFloat64() / t.demand * float64(time.Second))
	if f.clock.now+wait >= end {
		return
	}
	f.clock.after(wait, func() {
		number := (t.first + f.rng.IntN(f.spread)) % f.instances
		if n := f.nodes[number]; n != nil {
			n.request(t)
		}
		f.arrive(t, end)
	})
}

// total sums what all edge nodes did.
func (f *fleet) total() (sum counts) {
	for _, n := range f.order {
		sum.add(&n.counts)
	}
	return sum
}

// reset forgets what was counted so far.
func (f *fleet) reset() {
	for _, n := range f.order {
		n.counts = counts{}
		clear(n.met)
	}
}

// finish marks the requests that have no final answer; to be called once all deadlines have passed.
func (f *fleet) finish() {
	for _, n := range f.order {
		for _, q := range n.open {
			if q.finals == 0 {
				n.counts.unanswered++
			}
		}
	}
}
