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
	minServiceTime        = 6 * time.Millisecond
	meanExtraServiceTime  = 6 * time.Millisecond // mean of what is drawn on top
	overloadedFraction    = 0.002
	errorFraction         = 0.001
	serverZones           = 15
	serversPerCell        = 21
	maxReportedInFlight   = 6 // requests in hand that a server reports, at most
	nonIdempotentFraction = 0.3
)

// clientDeadline is the time a client waits over all its attempts.
const clientDeadline = 4 * time.Second

// fleetSettings are the settings of an edge node of a large fleet: the form's sample with figures for
// two classes, three plans and an inbox of 40 messages a second.
func fleetSettings(nodeCount, nodeIndex int) balancer.Settings {
	return balancer.Settings{
		NodeIndex: nodeIndex, NodeCount: nodeCount, Zone: zoneOf(nodeIndex),
		Classes: []balancer.Class{
			{Name: "check", Idempotency: balancer.Idempotent, LatencyObjective: time.Second, Deadline: clientDeadline, PriorityWeight: 3, LateWeightFraction: 0.2},
			{Name: "issue", Idempotency: balancer.NonIdempotent, LatencyObjective: time.Second, Deadline: clientDeadline, PriorityWeight: 5, LateWeightFraction: 0.2},
		},
		Plans:         fleetPlans(),
		ResponseSlack: 8 * time.Millisecond, DrainTimeout: 500 * time.Millisecond,
		SlowStartInitialFraction: 0.27, SlowStartDuration: 16 * time.Second, OverloadFactor: 2.5, OverloadWindow: 3 * time.Second,
		MaxAttempts: 5, Hedging: true, Cancellation: true, Gossip: true, RetryAfter: true, MaxRetryAfter: 500 * time.Millisecond,
		LoadReports: balancer.LoadReportsInResponses, PeerMessagesPerSecond: 40, PostPaid: true, MaxUnits: maxUnits, Tick: 2 * time.Millisecond,
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
	requests, served, rejected, failed        int
	duplicateAnswers                          int // final answers to a request that had one
	unanswered                                int // requests without one after their deadline
	attempts                                  int
	quotaRequests, quotaGrants, otherMessages int // messages sent
	bytes                                     int // of them
	longestMessage                            int // bytes of the longest message
	arrived, discarded                        int // messages that came to the inbox, and of them those over its rate
	receivedBytes                             int // bytes of the messages taken in
	admittedUnits                             float64
	overQuotaUnits                            float64 // of them, those that the quota did not have
	rejectedInQuota                           int     // rejections while half of the quota was unused
}

func (c *counts) add(d *counts) {
	c.requests += d.requests
	c.served += d.served
	c.rejected += d.rejected
	c.failed += d.failed
	c.duplicateAnswers += d.duplicateAnswers
	c.unanswered += d.unanswered
	c.attempts += d.attempts
	c.quotaRequests += d.quotaRequests
	c.quotaGrants += d.quotaGrants
	c.otherMessages += d.otherMessages
	c.bytes += d.bytes
	c.longestMessage = max(c.longestMessage, d.longestMessage)
	c.arrived += d.arrived
	c.discarded += d.discarded
	c.receivedBytes += d.receivedBytes
	c.admittedUnits += d.admittedUnits
	c.overQuotaUnits += d.overQuotaUnits
	c.rejectedInQuota += d.rejectedInQuota
}

func (c *counts) messages() int { return c.quotaRequests + c.quotaGrants + c.otherMessages }

// fleet is a number of simulated nodes, with real balancers, on one simulated clock. Their clients, servers and links are
// drawn from one seed, so that the same seed gives the same decisions.
type fleet struct {
	clock      clock
	rng        *rand.Rand
	link       link
	seed       uint64
	nodeCount  int
	entryNodes int
	inboxRate  float64                // messages a second that an inbox takes
	nodes      map[int]*simulatedNode // by number; a node that is not simulated takes messages and is silent
	added      []*simulatedNode       // by the order in which they were added
	nextID     int
}

func newFleet(seed uint64, nodeCount, entryNodes int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 0x5ca1e))
	return &fleet{
		rng: rng, link: link{rng}, seed: seed, nodeCount: nodeCount, entryNodes: entryNodes,
		inboxRate: fleetSettings(nodeCount, 0).PeerMessagesPerSecond, nodes: map[int]*simulatedNode{}, clock: clock{now: time.Hour}, // servers started long ago
	}
}

// add makes an edge node and starts its balancer, which has no list yet.
func (f *fleet) add(number int) (*simulatedNode, error) {
	settings := fleetSettings(f.nodeCount, number)
	b, err := balancer.New(settings, f.seed<<16+uint64(number))
	if err != nil {
		return nil, fmt.Errorf("edge node %d: %w", number, err)
	}
	n := &simulatedNode{
		fleet: f, number: number, balancer: b, open: map[string]*openRequest{},
		inbox: newInbox(f.inboxRate, f.clock.now), usedEndpoints: map[string]bool{}, classes: settings.Classes,
	}
	f.nodes[number] = n
	f.added = append(f.added, n)
	b.Start(f.clock.now, n)
	return n, nil
}

// addAll makes all edge nodes, each with the same list.
func (f *fleet) addAll(servers int) error {
	for number := range f.nodeCount {
		n, err := f.add(number)
		if err != nil {
			return err
		}
		n.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(servers))
	}
	return nil
}

// arrive begins the requests of a tenant, each at one of its nodes, until a time.
func (f *fleet) arrive(t *tenant, end time.Duration) {
	wait := time.Duration(f.rng.ExpFloat64() / t.demand * float64(time.Second))
	if f.clock.now+wait >= end {
		return
	}
	f.clock.after(wait, func() {
		number := (t.firstEntryNode + f.rng.IntN(f.entryNodes)) % f.nodeCount
		if n := f.nodes[number]; n != nil {
			n.requestArrives(t)
		}
		f.arrive(t, end)
	})
}

// total sums what all edge nodes did.
func (f *fleet) total() (sum counts) {
	for _, n := range f.added {
		sum.add(&n.counts)
	}
	return sum
}

// reset forgets what was counted so far.
func (f *fleet) reset() {
	for _, n := range f.added {
		n.counts = counts{}
		clear(n.usedEndpoints)
	}
}

// finish marks the requests that have no final answer; to be called once all deadlines have passed.
func (f *fleet) finish() {
	for _, n := range f.added {
		for _, q := range n.open {
			if q.finalAnswers == 0 {
				n.counts.unanswered++
			}
		}
	}
}
