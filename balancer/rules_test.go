package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// checkedRun describes a random sequence of events.
type checkedRun struct {
	seed       uint64
	hedging    bool
	dedupScope DedupScope // scope of the class with idempotency keys
	loss       float64    // fraction of the messages between nodes that is lost
	nodes      int
}

// arrivalPeriod is the time during which requests arrive.
const arrivalPeriod = 12 * time.Second

// checkRules runs a sequence of events and checks the rules of [ruleChecker].
func checkRules(t *testing.T, run checkedRun) *ruleChecker {
	t.Helper()
	c := &ruleChecker{
		t: t, rng: rand.New(rand.NewPCG(run.seed, 1)), settings: testSettings(), loss: run.loss,
		requests: map[string]*requestRecord{}, endpoints: map[string]Endpoint{},
		startedAt: map[string]time.Duration{}, sentTo: map[string][]time.Duration{},
		responses: map[string][]time.Duration{}, hardLimits: map[uint64]*hardLimitBucket{},
		balancers: make([]*Balancer, run.nodes), incarnations: make([]int, run.nodes),
	}
	c.settings.NodeCount, c.settings.Hedging = run.nodes, run.hedging
	c.settings.Classes[1].DedupScope = run.dedupScope
	for i := range 8 {
		id := fmt.Sprintf("s%d", i)
		c.endpointIDs = append(c.endpointIDs, id)
		c.endpoints[id] = Endpoint{ID: id, MachineType: "k", Zone: []string{"a", "b"}[i%2], Cell: i / 3}
	}
	for i := range c.balancers {
		c.drainSeen = append(c.drainSeen, map[string]time.Duration{})
		c.startNode(i)
	}
	c.after(0, c.generateRequest)
	for range 14 {
		c.after(time.Duration(c.rng.Int64N(int64(arrivalPeriod))), c.injectFault)
	}
	c.runEvents(arrivalPeriod + 5*time.Second)
	for id, r := range c.requests {
		if r.answers != 1 && !r.nodeRestarted {
			c.fail("rule 1: %s has %d final answers, want 1", id, r.answers)
		}
	}
	return c
}

// runEvents runs the scheduled events, including those scheduled meanwhile, up to a time.
func (c *ruleChecker) runEvents(until time.Duration) {
	for c.queue.Len() > 0 && c.now < until {
		event := heap.Pop(&c.queue).(scheduledEvent)
		c.now = event.at
		event.run()
	}
}

// startNode starts a node, or restarts it with a new balancer.
func (c *ruleChecker) startNode(node int) {
	c.incarnations[node]++
	for _, r := range c.requests {
		if r.node == node && r.answers == 0 {
			r.nodeRestarted = true
		}
	}
	settings := c.settings
	settings.NodeIndex = node
	b, err := New(settings, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.balancers[node] = b
	b.Start(c.now, c.node(node))
	c.updateEndpoints(node, UpdateCached, c.endpointIDs...)
}

// updateEndpoints sends a node the present entries of endpoints.
func (c *ruleChecker) updateEndpoints(node int, kind UpdateKind, ids ...string) {
	var entries []Endpoint
	for _, id := range ids {
		endpoint := c.endpoints[id]
		entries = append(entries, endpoint)
		if endpoint.State == Up {
			delete(c.drainSeen[node], id)
		} else if _, seen := c.drainSeen[node][id]; !seen {
			c.drainSeen[node][id] = c.now
		}
	}
	c.balancers[node].EndpointsUpdated(c.now, kind, entries, c.node(node))
}

// generateRequest passes a random request to a random entry node and schedules the next one.
func (c *ruleChecker) generateRequest() {
	if c.now > arrivalPeriod {
		return
	}
	c.after(time.Duration(c.rng.ExpFloat64()*float64(5*ms)), c.generateRequest)
	nodes := len(c.balancers)
	request := Request{
		ID: fmt.Sprintf("r%d", c.sequence), Class: c.settings.Classes[c.rng.IntN(3)].Name,
		Plan: c.settings.Plans[c.rng.IntN(3)].Name, Timeout: time.Duration(300+c.rng.IntN(1700)) * ms,
		Units: float64(1 + c.rng.IntN(3)), EntryNodes: min(nodes, 12),
	}
	request.Tenant = uint64(c.rng.IntN(4))
	if request.Plan != c.settings.Plans[0].Name {
		request.Tenant += 100 * uint64(1+c.rng.IntN(2))
		if request.Plan == c.settings.Plans[2].Name {
			request.Tenant += 1000
		}
	}
	request.FirstEntryNode = int(request.Tenant*7) % nodes
	node := (request.FirstEntryNode + c.rng.IntN(request.EntryNodes)) % nodes
	c.requests[request.ID] = &requestRecord{request: request, node: node, arrivedAt: c.now}
	c.balancers[node].RequestArrived(c.now, request, c.node(node))
}

// injectFault restarts a node, or drains, removes or restarts an endpoint.
func (c *ruleChecker) injectFault() {
	id := c.endpointIDs[c.rng.IntN(len(c.endpointIDs))]
	endpoint := c.endpoints[id]
	switch c.rng.IntN(4) {
	case 0:
		c.startNode(c.rng.IntN(len(c.balancers)))
		return
	case 1:
		endpoint.State = Draining
	case 2:
		endpoint.State = Removed
	case 3:
		endpoint.State, endpoint.StartedAt = Up, c.now
		c.startedAt[id], c.responses[id] = c.now, nil
	}
	c.endpoints[id] = endpoint
	for node := range c.balancers {
		c.updateEndpoints(node, UpdateDelta, id)
	}
}

// testSettings returns settings with a class of each idempotency and a plan of each kind of limit.
func testSettings() Settings {
	return Settings{
		NodeCount: 1, Zone: "a",
		Classes: []Class{
			{
				Name: "safe", Idempotency: Idempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second,
				PriorityWeight: 1,
			},
			{
				Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 300 * ms,
				LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3,
			},
			{
				Name: "unsafe", Idempotency: NonIdempotent, DedupWindow: time.Second,
				LatencyObjective: 800 * ms, Deadline: 2 * time.Second, PriorityWeight: 3,
			},
		},
		Plans: []Plan{
			{
				Name: "hard", Rate: 20, Burst: 20, HardLimitRate: 25, HardLimitBurst: 24, HardLimitSlack: 1,
				WeightFactor: 1,
			},
			{Name: "rate", Rate: 40, Burst: 40, WeightFactor: 1},
			{Name: "open", MaxConcurrent: 6, WeightFactor: 1},
		},
		ResponseSlack: 10 * ms, DrainTimeout: 200 * ms, SlowStartInitialFraction: 0.2,
		SlowStartDuration: 8 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second, MaxAttempts: 4,
		Cancellation: true, Gossip: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		PeerMessagesPerSecond: 60, Tick: ms,
	}
}

func TestRulesHoldOnRandomSequences(t *testing.T) {
	losses := []float64{0, 0.1, 1}
	served, total := 0, 0
	for seed := uint64(1); seed <= 48; seed++ {
		run := checkedRun{
			seed: seed, hedging: seed%2 == 0, dedupScope: DedupScope(seed % 3),
			loss: losses[seed%3], nodes: 3,
		}
		// Every sixth run has hundreds of nodes with the same few endpoints, so that quotas have owners.
		if seed%6 == 0 {
			run.nodes, run.loss = 300, losses[seed/6%3]
		}
		c := checkRules(t, run)
		served, total = served+c.served, total+len(c.requests)
		if t.Failed() {
			t.Fatalf("rules broken with seed %d", seed)
		}
	}
	if served < total/4 {
		t.Errorf("%d of %d requests served, want at least a quarter for a meaningful test", served, total)
	}
}

// A balancer is deterministic: the same seed and events lead to the same actions.
func TestSameEventsCauseSameActions(t *testing.T) {
	run := checkedRun{seed: 7, hedging: true, dedupScope: DedupCell, loss: 0.1, nodes: 3}
	first, second := checkRules(t, run).actions, checkRules(t, run).actions
	if len(first) < 1000 {
		t.Fatalf("got %d actions, want at least 1000 for a meaningful test", len(first))
	}
	if !slices.Equal(first, second) {
		t.Fatalf("two runs with the same seed differ: %d and %d actions", len(first), len(second))
	}
}
