package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"opalhook/balancer"
)

// Parameters of the app servers and requests of a simulated fleet.
const (
	minServiceTime        = 6 * time.Millisecond
	meanExtraServiceTime  = 6 * time.Millisecond // mean of the exponentially distributed part of the service time
	overloadedFraction    = 0.002                // fraction of attempts that a server rejects because of overload
	errorFraction         = 0.001                // fraction of attempts that a server answers with an error
	serverZones           = 15
	serversPerCell        = 21
	maxReportedInFlight   = 6   // exclusive upper bound of the in-flight requests in a load report
	nonIdempotentFraction = 0.3 // fraction of requests
)

// clientDeadline is the time after which a client gives up on a request, over all its attempts.
const clientDeadline = 4 * time.Second

// fleetSettings returns the settings of an edge node of a large fleet: two request classes, three plans and
// at most 40 received peer messages per second.
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

// zoneOf returns the zone of the edge node or app server with the given number.
func zoneOf(number int) string { return "zone-" + strconv.Itoa(number%serverZones) }

// server returns the list entry of the app server with the given number. It depends on the number alone.
func server(number int) balancer.Endpoint {
	return balancer.Endpoint{
		ID: fmt.Sprintf("server-%06d", number), Weight: 1, MachineType: "standard",
		Zone: zoneOf(number), Cell: number / serversPerCell,
	}
}

// serverList returns the list entries of the app servers 0 to count-1.
func serverList(count int) []balancer.Endpoint {
	list := make([]balancer.Endpoint, count)
	for i := range list {
		list[i] = server(i)
	}
	return list
}

// counts are the counters of an edge node, or their sums over a fleet. They are the same for the same seed.
type counts struct {
	requests, served, rejected, failed        int
	duplicateResponses                        int // final responses to a request that already had one
	unanswered                                int // requests without a final response after their deadline
	attempts                                  int
	quotaRequests, quotaGrants, otherMessages int     // messages sent, by kind
	sentBytes                                 int     // bytes of the messages sent
	longestMessage                            int     // bytes of the longest message sent
	arrived, discarded                        int     // messages that reached the inbox, and those discarded because of its rate limit
	receivedBytes                             int     // bytes of the messages that the inbox accepted
	admittedUnits                             float64 // units of the requests sent to a server
	overQuotaUnits                            float64 // admitted units of requests that exceeded the tenant's quota
	rejectedInQuota                           int     // requests rejected before their first attempt although the quota covered them and at least half of the tenant's burst was unused
}

func (c *counts) add(d *counts) {
	c.requests += d.requests
	c.served += d.served
	c.rejected += d.rejected
	c.failed += d.failed
	c.duplicateResponses += d.duplicateResponses
	c.unanswered += d.unanswered
	c.attempts += d.attempts
	c.quotaRequests += d.quotaRequests
	c.quotaGrants += d.quotaGrants
	c.otherMessages += d.otherMessages
	c.sentBytes += d.sentBytes
	c.longestMessage = max(c.longestMessage, d.longestMessage)
	c.arrived += d.arrived
	c.discarded += d.discarded
	c.receivedBytes += d.receivedBytes
	c.admittedUnits += d.admittedUnits
	c.overQuotaUnits += d.overQuotaUnits
	c.rejectedInQuota += d.rejectedInQuota
}

func (c *counts) messages() int { return c.quotaRequests + c.quotaGrants + c.otherMessages }

// fleet is a set of simulated edge nodes with real balancers on one simulated clock. The behavior of clients,
// app servers and links is generated from one seed, so that the same seed leads to the same decisions.
type fleet struct {
	clock        clock
	rng          *rand.Rand
	link         link
	seed         uint64
	nodeCount    int
	entryNodes   int
	inboxRate    float64                // rate limit of each inbox, in messages per second
	nodes        map[int]*simulatedNode // by number; messages to a node that is not simulated are counted and dropped
	added        []*simulatedNode       // the same nodes in the order in which they were added
	requestCount int                    // number of requests so far
}

func newFleet(seed uint64, nodeCount, entryNodes int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 0x5ca1e))
	return &fleet{
		rng: rng, link: link{rng}, seed: seed, nodeCount: nodeCount, entryNodes: entryNodes,
		inboxRate: fleetSettings(nodeCount, 0).PeerMessagesPerSecond, nodes: map[int]*simulatedNode{},
		clock: clock{now: time.Hour}, // servers start at 0, so that their slow start is over
	}
}

// addNode creates an edge node and starts its balancer. The node has no endpoint list yet.
func (f *fleet) addNode(number int) (*simulatedNode, error) {
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

// addAllNodes creates all edge nodes of the fleet, each with a list of the given number of servers.
func (f *fleet) addAllNodes(servers int) error {
	for number := range f.nodeCount {
		n, err := f.addNode(number)
		if err != nil {
			return err
		}
		n.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(servers))
	}
	return nil
}

// scheduleArrivals schedules the requests of a tenant until end. Each arrives at a random entry node of the
// tenant. Requests at nodes that are not simulated are dropped.
func (f *fleet) scheduleArrivals(t *tenant, end time.Duration) {
	wait := time.Duration(f.rng.ExpFloat64() / t.demand * float64(time.Second))
	if f.clock.now+wait >= end {
		return
	}
	f.clock.after(wait, func() {
		number := (t.firstEntryNode + f.rng.IntN(f.entryNodes)) % f.nodeCount
		if n := f.nodes[number]; n != nil {
			n.receiveRequest(t)
		}
		f.scheduleArrivals(t, end)
	})
}

// total returns the sums of the counters of all simulated nodes.
func (f *fleet) total() (sum counts) {
	for _, n := range f.added {
		sum.add(&n.counts)
	}
	return sum
}

// resetCounts clears the counters and the used endpoints of all simulated nodes.
func (f *fleet) resetCounts() {
	for _, n := range f.added {
		n.counts = counts{}
		clear(n.usedEndpoints)
	}
}

// countUnanswered counts the requests without a final response as unanswered. Call it once all deadlines have
// passed.
func (f *fleet) countUnanswered() {
	for _, n := range f.added {
		for _, q := range n.open {
			if q.finalResponses == 0 {
				n.counts.unanswered++
			}
		}
	}
}
