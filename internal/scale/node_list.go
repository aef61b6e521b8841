package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"opalhook/balancer"
)

const nodeListName = "node-list"

// Size of the planned fleet, and load of an edge node in it.
const (
	plannedNodes       = 4100  // edge nodes
	plannedRequestRate = 512.0 // requests per second at a node
	plannedEntryNodes  = 3     // entry nodes of a tenant
)

// Parameters of the measurement.
const (
	measuredNode      = plannedNodes / 2       // number of the measured node
	peerServers       = 200                    // servers in the peers' lists: enough for their gossip messages to have content
	nodeListWarmup    = 500 * time.Millisecond // load before the measurement
	serverRestarts    = 20                     // number of restarted servers, and maximum number of used servers to drain
	restartGap        = 50 * time.Millisecond  // simulated time between changes
	repeatedSnapshots = 3                      // complete lists after the first one
	nodeListStages    = 4                      // stages of the measurement, for progress reports
	loadSteps         = 10                     // parts of the load between progress reports
	shortLoad         = time.Second            // measured load with a list of more than maxShortList servers
	longLoad          = 4 * time.Second        // measured load with a shorter list
	maxShortList      = 20000                  // servers
)

// nodeListLoad returns the simulated time for which the load is measured. It is shorter for long lists, where
// each call takes longer.
func nodeListLoad(servers int) time.Duration {
	if servers <= maxShortList {
		return longLoad
	}
	return shortLoad
}

// nodeListPart returns the part that measures one node of the planned fleet at increasing lengths of the
// endpoint list.
func nodeListPart() Part {
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

// nodeListRun is a measurement of [nodeListPart] at one size.
type nodeListRun struct {
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
	usedCount     int    // number of servers that received attempts during the measured load
	lastServer    int    // largest number of a server that the list has had so far
}

func measureNodeList(ctx context.Context, size int, env Env) ([]Row, error) {
	n := &nodeListRun{ctx: ctx, env: env, size: size, lastServer: size - 1}
	stages := []struct {
		doing string
		run   func() error
	}{{"first complete list", n.start}, {"requests and messages", n.serve}, {"changes", n.change}, {"further complete lists", n.resync}}
	for i, stage := range stages {
		env.Progress(i, nodeListStages, stage.doing)
		if err := stage.run(); err != nil {
			return n.rows(), err
		}
	}
	env.Progress(nodeListStages, nodeListStages, "done")
	return n.rows(), nil
}

// start creates the peers, schedules the requests, and creates the measured node with its list.
func (n *nodeListRun) start() error {
	n.fleet = newFleet(n.env.Seed, plannedNodes, plannedEntryNodes)
	var firstEntryNodes []int
	for number := measuredNode - plannedEntryNodes + 1; number < measuredNode+plannedEntryNodes; number++ {
		if number <= measuredNode {
			firstEntryNodes = append(firstEntryNodes, number)
		}
		if number == measuredNode {
			continue
		}
		peer, err := n.fleet.addNode(number)
		if err != nil {
			return err
		}
		peer.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(min(n.size, peerServers)))
	}
	end := n.fleet.clock.now + nodeListWarmup + nodeListLoad(n.size)
	for _, t := range sampleTenants(n.fleet.rng, fleetPlans(), firstEntryNodes, plannedRequestRate*plannedEntryNodes) {
		n.fleet.scheduleArrivals(t, end)
	}
	n.heapBefore = heapInUse()
	var err error
	if n.node, err = n.fleet.addNode(measuredNode); err != nil {
		return err
	}
	n.stopwatch = newStopwatch()
	n.deliver(callFirstSnapshot, balancer.UpdateSnapshot, serverList(n.size))
	n.heapWithList = n.heapAdded()
	return nil
}

// serve measures the node under load, and then waits until all requests are finished.
func (n *nodeListRun) serve() error {
	clock := &n.fleet.clock
	if err := clock.runUntil(n.ctx, clock.now+nodeListWarmup); err != nil {
		return err
	}
	n.fleet.resetCounts()
	n.node.stopwatch = n.stopwatch
	defer func() { n.load, n.usedCount = n.node.counts, len(n.node.usedEndpoints) }()
	start, load := clock.now, nodeListLoad(n.size)
	for step := range time.Duration(loadSteps) {
		n.env.Progress(1, nodeListStages, fmt.Sprintf("requests and messages, %d of %d", step, loadSteps))
		if err := clock.runUntil(n.ctx, start+load*(step+1)/loadSteps); err != nil {
			return err
		}
	}
	n.node.stopwatch = nil // calls of the idle node are not measured
	if err := clock.runUntil(n.ctx, clock.now+clientDeadline); err != nil {
		return err
	}
	n.fleet.countUnanswered()
	n.heapAfterLoad = n.heapAdded()
	return nil
}

// change drains servers that the node has used and brings them up again. Then it restarts servers that are
// spread over the list.
func (n *nodeListRun) change() error {
	for _, used := range n.usedServers(serverRestarts) {
		for _, state := range []balancer.EndpointState{balancer.Draining, balancer.Up} {
			used.State = state
			if err := n.apply(callUsedEndpointChange, used); err != nil {
				return err
			}
		}
	}
	return n.restart()
}

// usedServers returns at most limit servers to which the node has sent attempts.
func (n *nodeListRun) usedServers(limit int) (used []balancer.Endpoint) {
	for i := 0; i < n.size && len(used) < limit; i++ {
		if s := server(i); n.node.usedEndpoints[s.ID] {
			used = append(used, s)
		}
	}
	return used
}

// restart restarts servers one by one: each is drained and removed, and returns under a new ID.
func (n *nodeListRun) restart() error {
	restarts := min(serverRestarts, n.size)
	for i := range restarts {
		leaving := server(i * (n.size / restarts))
		leaving.State = balancer.Draining
		if err := n.apply(callEndpointChange, leaving); err != nil {
			return err
		}
		leaving.State = balancer.Removed
		if err := n.apply(callEndpointChange, leaving); err != nil {
			return err
		}
		n.lastServer++
		arriving := server(n.lastServer)
		arriving.StartedAt = n.fleet.clock.now
		if err := n.apply(callEndpointChange, arriving); err != nil {
			return err
		}
	}
	return nil
}

// apply delivers one change of the list and advances the clock by restartGap.
func (n *nodeListRun) apply(kind callKind, entry balancer.Endpoint) error {
	n.deliver(kind, balancer.UpdateDelta, []balancer.Endpoint{entry})
	return n.fleet.clock.runUntil(n.ctx, n.fleet.clock.now+restartGap)
}

// deliver delivers a list update to the node and times only this call.
func (n *nodeListRun) deliver(kind callKind, updateKind balancer.UpdateKind, entries []balancer.Endpoint) {
	n.node.stopwatch = n.stopwatch
	n.node.updateEndpoints(kind, updateKind, entries)
	n.node.stopwatch = nil
}

// resync delivers the initial complete list repeatedly, as after lost watches.
func (n *nodeListRun) resync() error {
	for range repeatedSnapshots {
		if err := n.ctx.Err(); err != nil {
			return err
		}
		n.deliver(callNextSnapshot, balancer.UpdateSnapshot, serverList(n.size))
	}
	return nil
}

// heapAdded returns the growth of the live heap since the measured node was created, in bytes. Most of it
// belongs to the node.
func (n *nodeListRun) heapAdded() uint64 {
	now := heapInUse()
	return max(now, n.heapBefore) - n.heapBefore
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
func (n *nodeListRun) rows() []Row {
	r := rowWriter{part: nodeListName, size: n.size}
	if n.stopwatch == nil {
		return nil
	}
	for _, q := range []struct {
		name string
		kind callKind
	}{
		{"request, server chosen", callRequestAdmitted},
		{"request, peer asked", callRequestAwaitingQuota},
		{"outcome", callAttemptFinished},
		{"message, ask answered", callQuotaRequest},
		{"message, answer and send", callQuotaGranted},
		{"message, other answer", callQuotaRejected},
		{"tick", callTick},
		{"one change", callEndpointChange},
		{"one change of a server met", callUsedEndpointChange},
	} {
		r.addQuantile(n.stopwatch, q.name+", p50", q.kind, 0.5)
		r.addQuantile(n.stopwatch, q.name+", p99", q.kind, 0.99)
	}
	r.addQuantile(n.stopwatch, "whole list, first", callFirstSnapshot, 0.5)
	r.addQuantile(n.stopwatch, "whole list, again", callNextSnapshot, 0.5)
	r.addIfMeasured("heap, list held", float64(n.heapWithList), "B")
	r.addIfMeasured("heap, after load", float64(n.heapAfterLoad), "B")
	if n.load.requests > 0 {
		n.countRows(&r)
	}
	return r.rows
}

// countRows adds the counters as rates per second of the load, because the load is shorter with long lists.
func (n *nodeListRun) countRows(r *rowWriter) {
	c := &n.load
	seconds := nodeListLoad(n.size).Seconds()
	rate := func(quantity string, count int) { r.add(quantity, float64(count)/seconds, "1/s") }
	rate("ticks", len(n.stopwatch.durations[callTick]))
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
	r.add("bytes sent", float64(c.sentBytes)/seconds, "B/s")
	r.add("requests measured", float64(c.requests), "")
	r.add("servers met", float64(n.usedCount), "")
	stats := n.node.balancer.Stats()
	r.add("servers in the subset", float64(stats.SubsetEndpoints), "")
	r.add("servers kept in full", float64(stats.TrackedEndpoints), "")
	r.add("servers of the subset that share a name", float64(stats.HashCollisions), "")
}
