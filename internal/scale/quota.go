package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"opalhook/balancer"
)

const quotaName = "quota"

// Parameters of the simulated fleet of the quota measurements.
const (
	quotaNodes          = 48 // enough for all entry nodes of a tenant, among which its quota has owners
	quotaServersPerNode = 2
	quotaWarmup         = 3 * time.Second // load before the measurement
	quotaLoad           = 5 * time.Second // measured load
	heapTenants         = 200             // tenants in the measurement of the heap per tenant
	heapArrivals        = time.Second / 4 // time in which their requests arrive
)

// quotaEntryNodeCounts lists the numbers of entry nodes per tenant. Each is measured separately. The report
// calls this number the spread.
var quotaEntryNodeCounts = []int{1, 2, 3, 8}

// quotaPart returns the part that measures the quota protocol: its messages, and the units admitted beyond
// quotas.
func quotaPart() Part {
	return Part{
		Name: quotaName,
		Title: fmt.Sprintf("Quota messages per node in a fleet of %d, with an inbox of %g messages per second, against the request rate and the number of entry nodes (spread)",
			quotaNodes, fleetSettings(1, 0).PeerMessagesPerSecond),
		Size:      "requests a second on a node",
		Sizes:     []int{10, 40, 160, 512},
		TestSizes: []int{1, 2},
		Memory:    func(size int) uint64 { return 256<<20 + uint64(size)<<20 },
		Measure:   measureQuota,
	}
}

func measureQuota(ctx context.Context, size int, env Env) ([]Row, error) {
	r := rowWriter{part: quotaName, size: size}
	tenants := 0 // does not depend on the number of entry nodes
	for i, entryNodes := range quotaEntryNodeCounts {
		env.Progress(i, len(quotaEntryNodeCounts), fmt.Sprintf("spread %d", entryNodes))
		run := quotaRun{seed: env.Seed, nodes: quotaNodes, entryNodes: entryNodes, requestsPerSecond: float64(size)}
		if err := run.run(ctx); err != nil {
			return r.rows, err
		}
		heap, err := heapPerTenant(ctx, env.Seed, entryNodes)
		if err != nil {
			return r.rows, err
		}
		run.addRows(&r)
		tenants = run.tenants
		r.add(fmt.Sprintf("heap a tenant on a node, spread %d", entryNodes), heap, "B")
	}
	r.add("tenants of the fleet", float64(tenants), "")
	env.Progress(len(quotaEntryNodeCounts), len(quotaEntryNodeCounts), "done")
	return r.rows, nil
}

// quotaRun is one run of a fleet under a constant load.
type quotaRun struct {
	seed              uint64
	nodes             int
	entryNodes        int     // entry nodes of a tenant
	requestsPerSecond float64 // at each node

	tenants int     // number of tenants
	counts  counts  // counters of all nodes during quotaLoad
	quota   float64 // units by which the quotas of all tenants refill during quotaLoad
}

// run runs the fleet. If it returns an error, the counters are not valid.
func (q *quotaRun) run(ctx context.Context) error {
	f := newFleet(q.seed, q.nodes, q.entryNodes)
	if err := f.addAllNodes(quotaServersPerNode * q.nodes); err != nil {
		return err
	}
	firstEntryNodes := make([]int, q.nodes)
	for i := range firstEntryNodes {
		firstEntryNodes[i] = i
	}
	tenants := sampleTenants(f.rng, fleetPlans(), firstEntryNodes, q.requestsPerSecond*float64(q.nodes))
	q.tenants = len(tenants)
	end := f.clock.now + quotaWarmup + quotaLoad
	for _, t := range tenants {
		f.scheduleArrivals(t, end)
		q.quota += t.plan.Rate * quotaLoad.Seconds()
	}
	if err := f.clock.runUntil(ctx, end-quotaLoad); err != nil {
		return err
	}
	f.resetCounts()
	if err := f.clock.runUntil(ctx, end); err != nil {
		return err
	}
	q.counts = f.total()
	if err := f.clock.runUntil(ctx, end+clientDeadline); err != nil {
		return err
	}
	f.countUnanswered()
	final := f.total()
	q.counts.unanswered, q.counts.duplicateResponses = final.unanswered, final.duplicateResponses
	return nil
}

// addRows adds the counters. Those of requests, messages and bytes are rates per node and second.
func (q *quotaRun) addRows(r *rowWriter) {
	c := &q.counts
	add := func(quantity string, value float64, unit string) {
		r.add(fmt.Sprintf("%s, spread %d", quantity, q.entryNodes), value, unit)
	}
	rate := func(count int) float64 { return float64(count) / quotaLoad.Seconds() / float64(q.nodes) }
	add("requests", rate(c.requests), "1/s")
	add("asks sent", rate(c.quotaRequests), "1/s")
	add("answers sent", rate(c.quotaGrants), "1/s")
	add("other messages sent", rate(c.otherMessages), "1/s")
	add("bytes sent", rate(c.sentBytes), "B/s")
	add("messages arriving", rate(c.arrived), "1/s")
	add("bytes taken in", rate(c.receivedBytes), "B/s")
	add("lost at the inbox", ratio(float64(c.discarded), float64(c.arrived)), "share")
	add("refused", ratio(float64(c.rejected), float64(c.requests)), "share")
	add("refused with half of the quota unused", ratio(float64(c.rejectedInQuota), float64(c.requests)), "share")
	add("units beyond quotas, of the quotas", ratio(c.overQuotaUnits, q.quota), "share")
	add("units beyond quotas, of those admitted", ratio(c.overQuotaUnits, c.admittedUnits), "share")
	add("longest message", float64(c.longestMessage), "B")
}

// ratio returns part divided by total, or 0 if total is 0.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// heapPerTenant measures the heap that a node uses for the state of one tenant, in bytes. It simulates
// entryNodes nodes, and each of them receives one request of every tenant. Their inboxes accept all messages,
// so that both the owners and the requesters of the quotas store the state of the tenants.
func heapPerTenant(ctx context.Context, seed uint64, entryNodes int) (float64, error) {
	f := newFleet(seed, quotaNodes, entryNodes)
	f.inboxRate = heapTenants * float64(entryNodes) * 4
	for number := range entryNodes {
		n, err := f.addNode(number)
		if err != nil {
			return 0, err
		}
		n.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(quotaServersPerNode*quotaNodes))
	}
	plans := fleetPlans()
	tenants := make([]tenant, heapTenants)
	before := heapInUse()
	for i := range tenants {
		t := &tenants[i]
		*t = tenant{key: uint64(i), plan: &plans[0], tokens: plans[0].Burst, refilledAt: f.clock.now}
		for _, n := range f.added {
			f.clock.after(time.Duration(f.rng.Int64N(int64(heapArrivals))), func() { n.receiveRequest(t) })
		}
	}
	// After the deadline no request has timers left, but the balancer still stores its state of the tenants.
	if err := f.clock.runUntil(ctx, f.clock.now+heapArrivals+clientDeadline); err != nil {
		return 0, err
	}
	// The clone frees the unused capacity of the event queue, which is not part of a tenant's state.
	f.clock.events = slices.Clone(f.clock.events)
	after := max(heapInUse(), before)
	runtime.KeepAlive(f)
	return float64(after-before) / float64(heapTenants*entryNodes), nil
}
