package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"opalhook/balancer"
)

const nodeListName = "node-list"

// Load of an edge node in the planned fleet.
const (
	plannedNodes       = 4100  // edge nodes
	plannedRequestRate = 512.0 // requests per second at a node
	plannedEntryNodes  = 3     // entry nodes of a tenant
)

// Parameters of the measurement.
const (
	measuredNode      = plannedNodes / 2       // number of the node
	peerServers       = 200                    // servers in the peers' lists: enough for their gossip messages to have content
	listWarmup        = 500 * time.Millisecond // load before the measurement
	listRestarts      = 20                     // server restarts, each a drain, a removal and a new entry
	restartGap        = 50 * time.Millisecond  // simulated time between changes
	repeatedSnapshots = 3                      // complete lists after the first one
	listStages        = 4                      // stages of the measurement, for progress reports
	loadSteps         = 10                     // parts of the load between progress reports
	shortLoad         = time.Second            // measured load with a list of more than maxShortList servers
	longLoad          = 4 * time.Second        // measured load with a shorter list
	maxShortList      = 20000                  // servers
)

// listLoad returns the simulated time for which the load is measured. It is shorter for long lists, where
// each call takes longer.
func listLoad(servers int) time.Duration {
	if servers <= maxShortList {
		return longLoad
	}
	return shortLoad
}

// nodeList returns the part that measures one node of the planned fleet at increasing lengths of the endpoint
// list.
func nodeList() Part {
	return Part{
		Name: nodeListName,
		Title: fmt.Sprintf("One edge node of %d at %g requests per second, with %d entry nodes for each tenant, against the length of the endpoint list",
			plannedNodes, plannedRequestRate, plannedEntryNodes),
		Size:      "servers in the list",
		Sizes:     []int{200, 2000, 20000, 200000},
		TestSizes: []int{50, 200},
		Memory:    func(size int) uint64 { return 256<<20 + uint64(size)*1024 },
		Measure:   measureNodeList,
	}
}

// listBench is a measurement of a node at one size.
type listBench struct {
	ctx           context.Context
	env           Env
	size          int
	fleet         *fleet
	node          *simulatedNode
	stopwatch     *stopwatch
	heapBefore    uint64 // live heap before the node was created, in bytes
	heapWithList  uint64 // heap of the node with its list, in bytes
	heapAfterLoad uint64 // heap of the node after the load, in bytes
	load          counts // counters of the measured load
	usedCount     int    // number of servers that received attempts in it
	lastServer    int    // largest number of a server that the list has had so far
}

func measureNodeList(ctx context.Context, size int, env Env) ([]Row, error) {
	b := &listBench{ctx: ctx, env: env, size: size, lastServer: size - 1}
	stages := []struct {
		doing string
		run   func() error
	}{{"first complete list", b.start}, {"requests and messages", b.serve}, {"changes", b.change}, {"further complete lists", b.resync}}
	for i, stage := range stages {
		env.Progress(i, listStages, stage.doing)
		if err := stage.run(); err != nil {
			return b.rows(), err
		}
	}
	env.Progress(listStages, listStages, "done")
	return b.rows(), nil
}

// start creates the peers, schedules the requests, and creates the measured node with its list.
func (b *listBench) start() error {
	b.fleet = newFleet(b.env.Seed, plannedNodes, plannedEntryNodes)
	var firstEntryNodes []int
	for number := measuredNode - plannedEntryNodes + 1; number < measuredNode+plannedEntryNodes; number++ {
		if number <= measuredNode {
			firstEntryNodes = append(firstEntryNodes, number)
		}
		if number == measuredNode {
			continue
		}
		peer, err := b.fleet.addNode(number)
		if err != nil {
			return err
		}
		peer.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(min(b.size, peerServers)))
	}
	end := b.fleet.clock.now + listWarmup + listLoad(b.size)
	for _, t := range sampleTenants(b.fleet.rng, fleetPlans(), firstEntryNodes, plannedRequestRate*plannedEntryNodes) {
		b.fleet.scheduleArrivals(t, end)
	}
	b.heapBefore = heapInUse()
	var err error
	if b.node, err = b.fleet.addNode(measuredNode); err != nil {
		return err
	}
	b.stopwatch = newStopwatch()
	b.deliver(callFirstSnapshot, balancer.UpdateSnapshot, serverList(b.size))
	b.heapWithList = b.heapAdded()
	return nil
}

// serve measures the node under load, and then waits until all requests are finished.
func (b *listBench) serve() error {
	clock := &b.fleet.clock
	if err := clock.runUntil(b.ctx, clock.now+listWarmup); err != nil {
		return err
	}
	b.fleet.resetCounts()
	b.node.stopwatch = b.stopwatch
	defer func() { b.load, b.usedCount = b.node.counts, len(b.node.usedEndpoints) }()
	start, load := clock.now, listLoad(b.size)
	for step := range time.Duration(loadSteps) {
		b.env.Progress(1, listStages, fmt.Sprintf("requests and messages, %d of %d", step, loadSteps))
		if err := clock.runUntil(b.ctx, start+load*(step+1)/loadSteps); err != nil {
			return err
		}
	}
	b.node.stopwatch = nil // calls of the idle node are not measured
	if err := clock.runUntil(b.ctx, clock.now+clientDeadline); err != nil {
		return err
	}
	b.fleet.countUnanswered()
	b.heapAfterLoad = b.heapAdded()
	return nil
}

// change drains servers that the node has used and brings them up again. Then it restarts other servers.
func (b *listBench) change() error {
	for _, used := range b.usedServers(listRestarts) {
		for _, state := range []balancer.EndpointState{balancer.Draining, balancer.Up} {
			used.State = state
			if err := b.apply(callUsedEndpointChange, used); err != nil {
				return err
			}
		}
	}
	return b.restart()
}

// usedServers returns at most limit servers to which the node has sent attempts.
func (b *listBench) usedServers(limit int) (used []balancer.Endpoint) {
	for i := 0; i < b.size && len(used) < limit; i++ {
		if s := server(i); b.node.usedEndpoints[s.ID] {
			used = append(used, s)
		}
	}
	return used
}

// restart restarts servers one by one. Each returns under a new ID.
func (b *listBench) restart() error {
	restarts := min(listRestarts, b.size)
	for i := range restarts {
		leaving := server(i * (b.size / restarts))
		leaving.State = balancer.Draining
		if err := b.apply(callEndpointChange, leaving); err != nil {
			return err
		}
		leaving.State = balancer.Removed
		if err := b.apply(callEndpointChange, leaving); err != nil {
			return err
		}
		b.lastServer++
		arriving := server(b.lastServer)
		arriving.StartedAt = b.fleet.clock.now
		if err := b.apply(callEndpointChange, arriving); err != nil {
			return err
		}
	}
	return nil
}

// apply delivers one change of the list and advances the clock by restartGap.
func (b *listBench) apply(kind callKind, entry balancer.Endpoint) error {
	b.deliver(kind, balancer.UpdateDelta, []balancer.Endpoint{entry})
	return b.fleet.clock.runUntil(b.ctx, b.fleet.clock.now+restartGap)
}

// deliver delivers a list update to the node and times only this call.
func (b *listBench) deliver(kind callKind, form balancer.UpdateKind, entries []balancer.Endpoint) {
	b.node.stopwatch = b.stopwatch
	b.node.updateEndpoints(kind, form, entries)
	b.node.stopwatch = nil
}

// resync delivers the complete list again, as after a lost watch.
func (b *listBench) resync() error {
	for range repeatedSnapshots {
		if err := b.ctx.Err(); err != nil {
			return err
		}
		b.deliver(callNextSnapshot, balancer.UpdateSnapshot, serverList(b.size))
	}
	return nil
}

// heapAdded returns the growth of the live heap since the measured node was created, in bytes. Most of it
// belongs to the node.
func (b *listBench) heapAdded() uint64 {
	now := heapInUse()
	return max(now, b.heapBefore) - b.heapBefore
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // the second collection frees what finalizers and pools still held in the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// rows returns the rows of everything measured so far.
func (b *listBench) rows() []Row {
	r := rowWriter{part: nodeListName, size: b.size}
	if b.stopwatch == nil {
		return nil
	}
	for _, q := range []struct {
		name string
		kind callKind
	}{
		{"request, server chosen", callRequestAdmitted},
		{"request, peer asked", callRequestForwardedToOwner},
		{"outcome", callAttemptFinished},
		{"message, ask answered", callQuotaRequest},
		{"message, answer and send", callQuotaGranted},
		{"message, other answer", callQuotaRejected},
		{"tick", callTick},
		{"one change", callEndpointChange},
		{"one change of a server met", callUsedEndpointChange},
	} {
		r.addQuantile(b.stopwatch, q.name+", p50", q.kind, 0.5)
		r.addQuantile(b.stopwatch, q.name+", p99", q.kind, 0.99)
	}
	r.addQuantile(b.stopwatch, "whole list, first", callFirstSnapshot, 0.5)
	r.addQuantile(b.stopwatch, "whole list, again", callNextSnapshot, 0.5)
	r.addIfMeasured("heap, list held", float64(b.heapWithList), "B")
	r.addIfMeasured("heap, after load", float64(b.heapAfterLoad), "B")
	if b.load.requests > 0 {
		b.countRows(&r)
	}
	return r.rows
}

// countRows adds the counters as rates per second of the load, because the load is shorter with long lists.
func (b *listBench) countRows(r *rowWriter) {
	c := &b.load
	seconds := listLoad(b.size).Seconds()
	rate := func(quantity string, count int) { r.add(quantity, float64(count)/seconds, "1/s") }
	rate("ticks", len(b.stopwatch.durations[callTick]))
	rate("requests", c.requests)
	rate("requests served", c.served)
	rate("requests refused", c.rejected)
	rate("requests failed", c.failed)
	rate("sends", c.attempts)
	rate("asks sent", c.quotaRequests)
	rate("answers sent", c.quotaGrants)
	rate("other messages sent", c.otherMessages)
	rate("messages taken in", c.arrived-c.discarded)
	rate("messages discarded", c.discarded)
	r.add("bytes sent", float64(c.bytes)/seconds, "B/s")
	r.add("requests measured", float64(c.requests), "")
	r.add("servers met", float64(b.usedCount), "")
	stats := b.node.balancer.Stats()
	r.add("servers in the subset", float64(stats.SubsetEndpoints), "")
	r.add("servers kept in full", float64(stats.TrackedEndpoints), "")
	r.add("servers of the subset that share a name", float64(stats.HashCollisions), "")
}
