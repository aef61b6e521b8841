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

// The simulated fleet of the quota measurements.
const (
	quotaNodes          = 48 // large enough for tenants' quotas to have owners
	quotaServersPerNode = 2
	quotaWarmup         = 3 * time.Second
	quotaLoad           = 5 * time.Second
	heapTenants         = 200 // that the heap a tenant is measured with
	heapArrivals        = time.Second / 4
)

// quotaEntryNodes are the numbers of nodes that tenants come in through, measured one after the other.
var quotaEntryNodes = []int{1, 2, 3, 8}

// quota is what the quotas' messages take, and what is admitted beyond quotas.
func quota() Part {
	return Part{
		Name: quotaName,
		Title: fmt.Sprintf("Quota messages a node in a fleet of %d, inbox %g a second, against requests and spread",
			quotaNodes, fleetSettings(1, 0).PeerMessagesPerSecond),
		Size:    "requests a second on a node",
		Sizes:   []int{10, 40, 160, 512},
		Small:   []int{1, 2},
		Memory:  func(size int) uint64 { return 256<<20 + uint64(size)<<20 },
		Measure: measureQuota,
	}
}

func measureQuota(ctx context.Context, size int, env Env) ([]Row, error) {
	r := rowWriter{part: quotaName, size: size}
	tenants := 0 // the same at each spread
	for i, spread := range quotaEntryNodes {
		env.Progress(i, len(quotaEntryNodes), fmt.Sprintf("spread %d", spread))
		run := quotaRun{seed: env.Seed, nodes: quotaNodes, spread: spread, requestsPerS: float64(size)}
		if err := run.run(ctx); err != nil {
			return r.rows, err
		}
		heap, err := heapATenant(ctx, env.Seed, spread)
		if err != nil {
			return r.rows, err
		}
		run.addRows(&r)
		tenants = run.tenants
		r.add(fmt.Sprintf("heap a tenant on a node, spread %d", spread), heap, "B")
	}
	r.add("tenants of the fleet", float64(tenants), "")
	env.Progress(len(quotaEntryNodes), len(quotaEntryNodes), "done")
	return r.rows, nil
}

// quotaRun is one run of a fleet under a steady load.
type quotaRun struct {
	seed         uint64
	nodes        int
	spread       int
	requestsPerS float64 // on a node

	tenants int
	counts  counts  // of all nodes, over quotaLoad
	quota   float64 // units that the quotas of all tenants gave in that time
}

// run runs the fleet. What was counted is not valid if it returns an error.
func (q *quotaRun) run(ctx context.Context) error {
	f := newFleet(q.seed, q.nodes, q.spread)
	if err := f.addAll(quotaServersPerNode * q.nodes); err != nil {
		return err
	}
	firsts := make([]int, q.nodes)
	for i := range firsts {
		firsts[i] = i
	}
	tenants := drawTenants(f.rng, fleetPlans(), firsts, q.requestsPerS*float64(q.nodes))
	q.tenants = len(tenants)
	end := f.clock.now + quotaWarmup + quotaLoad
	for _, t := range tenants {
		f.arrive(t, end)
		q.quota += t.plan.Rate * quotaLoad.Seconds()
	}
	if err := f.clock.runUntil(ctx, end-quotaLoad); err != nil {
		return err
	}
	f.reset()
	if err := f.clock.runUntil(ctx, end); err != nil {
		return err
	}
	q.counts = f.total()
	if err := f.clock.runUntil(ctx, end+clientDeadline); err != nil {
		return err
	}
	f.finish()
	last := f.total()
	q.counts.unanswered, q.counts.duplicateAnswers = last.unanswered, last.duplicateAnswers
	return nil
}

// addRows adds what was counted: of messages, a node and second.
func (q *quotaRun) addRows(r *rowWriter) {
	c := &q.counts
	add := func(quantity string, value float64, unit string) {
		r.add(fmt.Sprintf("%s, spread %d", quantity, q.spread), value, unit)
	}
	rate := func(count int) float64 { return float64(count) / quotaLoad.Seconds() / float64(q.nodes) }
	add("requests", rate(c.requests), "1/s")
	add("asks sent", rate(c.quotaRequests), "1/s")
	add("answers sent", rate(c.quotaGrants), "1/s")
	add("other messages sent", rate(c.otherMessages), "1/s")
	add("bytes sent", rate(c.bytes), "B/s")
	add("messages arriving", rate(c.arrived), "1/s")
	add("bytes taken in", rate(c.receivedBytes), "B/s")
	add("lost at the inbox", share(float64(c.discarded), float64(c.arrived)), "share")
	add("refused", share(float64(c.rejected), float64(c.requests)), "share")
	add("refused with half of the quota unused", share(float64(c.rejectedInQuota), float64(c.requests)), "share")
	add("units beyond quotas, of the quotas", share(c.overQuotaUnits, q.quota), "share")
	add("units beyond quotas, of those admitted", share(c.overQuotaUnits, c.admittedUnits), "share")
	add("longest message", float64(c.longestMessage), "B")
}

// share is a part of a whole; 0 of nothing.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// heapATenant measures what one tenant takes on one node that has heard of it. Each node of one set gets
// one request of every tenant, with inboxes that take all messages, so that owners and requesters know them.
func heapATenant(ctx context.Context, seed uint64, spread int) (float64, error) {
	f := newFleet(seed, quotaNodes, spread)
	f.inboxRate = heapTenants * float64(spread) * 4
	for number := range spread {
		n, err := f.add(number)
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
			f.clock.after(time.Duration(f.rng.Int64N(int64(heapArrivals))), func() { n.requestArrives(t) })
		}
	}
	// Timers of requests end with the deadline; stores are kept for longer than that.
	if err := f.clock.runUntil(ctx, f.clock.now+heapArrivals+clientDeadline); err != nil {
		return 0, err
	}
	f.clock.events = slices.Clone(f.clock.events)
	after := max(heapInUse(), before)
	runtime.KeepAlive(f)
	return float64(after-before) / float64(heapTenants*spread), nil
}
