package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"opalhook/balancer"
)

const nodeListName = "node-list"

// The edge node of the plan.
const (
	planInstances  = 4100
	planRequests   = 512.0 // requests a second on a node
	planEntryNodes = 3     // nodes that a tenant comes in through
)

const (
	measuredNode = planInstances / 2
	peerServers  = 200 // servers that the peers' lists have: enough for their messages to carry news
	listWarmup   = 500 * time.Millisecond
	listRestarts = 20 // restarts, each a drain, a removal and an arrival
	restartGap   = 50 * time.Millisecond
	wholeLists   = 3 // lists after the first
	listStages   = 4
	loadSteps    = 10          // of the load, for the progress
	shortLoad    = time.Second // measured load where a list is long
	longLoad     = 4 * time.Second
	maxShortList = 20000
)

// listLoad is for how long of the simulated time a node is measured: less where each call is dear.
func listLoad(servers int) time.Duration {
	if servers <= maxShortList {
		return longLoad
	}
	return shortLoad
}

// nodeList is one node of the plan's fleet against the length of the list of servers.
func nodeList() Part {
	return Part{
		Name: nodeListName,
		Title: fmt.Sprintf("One edge node of %d at %g requests a second, spread %d, against the length of the list",
			planInstances, planRequests, planEntryNodes),
		Size:    "servers in the list",
		Sizes:   []int{200, 2000, 20000, 200000},
		Small:   []int{50, 200},
		Memory:  func(size int) uint64 { return 256<<20 + uint64(size)*1024 },
		Measure: measureNodeList,
	}
}

// listBench is one measurement of a node.
type listBench struct {
	ctx     context.Context
	env     Env
	size    int
	fleet   *fleet
	node    *simulatedNode
	watch   *stopwatch
	heap    uint64 // before the node was made
	holding uint64 // heap that the node holds with its list
	loaded  uint64 // and after the load
	load    counts // of the measured load
	met     int    // servers met in it
	last    int    // number of the last server that the list has named
}

func measureNodeList(ctx context.Context, size int, env Env) ([]Row, error) {
	b := &listBench{ctx: ctx, env: env, size: size, last: size - 1}
	stages := []struct {
		doing string
		run   func() error
	}{{"whole list", b.start}, {"requests and messages", b.serve}, {"changes", b.change}, {"whole lists", b.relist}}
	for i, stage := range stages {
		env.Progress(i, listStages, stage.doing)
		if err := stage.run(); err != nil {
			return b.rows(), err
		}
	}
	env.Progress(listStages, listStages, "done")
	return b.rows(), nil
}

// start makes the peers, then the measured node with its list.
func (b *listBench) start() error {
	b.fleet = newFleet(b.env.Seed, planInstances, planEntryNodes)
	var firsts []int
	for number := measuredNode - planEntryNodes + 1; number < measuredNode+planEntryNodes; number++ {
		if number <= measuredNode {
			firsts = append(firsts, number)
		}
		if number == measuredNode {
			continue
		}
		peer, err := b.fleet.add(number)
		if err != nil {
			return err
		}
		peer.updateEndpoints(callFirstSnapshot, balancer.UpdateSnapshot, serverList(min(b.size, peerServers)))
	}
	end := b.fleet.clock.now + listWarmup + listLoad(b.size)
	for _, t := range drawTenants(b.fleet.rng, fleetPlans(), firsts, planRequests*planEntryNodes) {
		b.fleet.arrive(t, end)
	}
	b.heap = heapInUse()
	var err error
	if b.node, err = b.fleet.add(measuredNode); err != nil {
		return err
	}
	b.watch = newStopwatch()
	b.list(callFirstSnapshot, balancer.UpdateSnapshot, serverList(b.size))
	b.holding = b.heapAdded()
	return nil
}

// serve lets requests and messages come, and waits for the last answers.
func (b *listBench) serve() error {
	clock := &b.fleet.clock
	if err := clock.runUntil(b.ctx, clock.now+listWarmup); err != nil {
		return err
	}
	b.fleet.reset()
	b.node.watch = b.watch
	defer func() { b.load, b.met = b.node.counts, len(b.node.usedEndpoints) }()
	began, load := clock.now, listLoad(b.size)
	for step := range time.Duration(loadSteps) {
		b.env.Progress(1, listStages, fmt.Sprintf("requests and messages, %d of %d", step, loadSteps))
		if err := clock.runUntil(b.ctx, began+load*(step+1)/loadSteps); err != nil {
			return err
		}
	}
	b.node.watch = nil // a node at rest is not what is measured
	if err := clock.runUntil(b.ctx, clock.now+clientDeadline); err != nil {
		return err
	}
	b.fleet.finish()
	b.loaded = b.heapAdded()
	return nil
}

// change drains servers that the node has sent to and lets them come back, then restarts others.
func (b *listBench) change() error {
	for _, met := range b.serversMet(listRestarts) {
		for _, state := range []balancer.EndpointState{balancer.Draining, balancer.Up} {
			met.State = state
			if err := b.apply(callUsedEndpointChange, met); err != nil {
				return err
			}
		}
	}
	return b.restart()
}

// serversMet returns at most so many servers that the node has sent to.
func (b *listBench) serversMet(most int) (met []balancer.Endpoint) {
	for i := 0; i < b.size && len(met) < most; i++ {
		if s := server(i); b.node.usedEndpoints[s.ID] {
			met = append(met, s)
		}
	}
	return met
}

// restart restarts servers one by one; each comes back under a new name.
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
		b.last++
		arriving := server(b.last)
		arriving.StartedAt = b.fleet.clock.now
		if err := b.apply(callEndpointChange, arriving); err != nil {
			return err
		}
	}
	return nil
}

// apply brings one change of the list, and lets some time pass.
func (b *listBench) apply(kind callKind, entry balancer.Endpoint) error {
	b.list(kind, balancer.UpdateDelta, []balancer.Endpoint{entry})
	return b.fleet.clock.runUntil(b.ctx, b.fleet.clock.now+restartGap)
}

// list times what the list brings, and nothing else.
func (b *listBench) list(kind callKind, form balancer.UpdateKind, entries []balancer.Endpoint) {
	b.node.watch = b.watch
	b.node.updateEndpoints(kind, form, entries)
	b.node.watch = nil
}

// relist brings the whole list again, as after a watch that was lost.
func (b *listBench) relist() error {
	for range wholeLists {
		if err := b.ctx.Err(); err != nil {
			return err
		}
		b.list(callNextSnapshot, balancer.UpdateSnapshot, serverList(b.size))
	}
	return nil
}

// heapAdded is the heap that has come since the measured node was made: its own, and little else.
func (b *listBench) heapAdded() uint64 {
	now := heapInUse()
	return max(now, b.heap) - b.heap
}

// heapInUse is what lives on the heap.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held falls to the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// rows gives what was measured so far.
func (b *listBench) rows() []Row {
	r := rowWriter{part: nodeListName, size: b.size}
	if b.watch == nil {
		return nil
	}
	for _, q := range []struct {
		name string
		kind callKind
	}{
		{"request, server chosen", callRequestAdmitted},
		{"request, peer asked", callRequestForwardedToOwner},
		{"outcome", callOutcome},
		{"message, ask answered", callQuotaRequest},
		{"message, answer and send", callQuotaGranted},
		{"message, other answer", callQuotaRejected},
		{"tick", callTick},
		{"one change", callEndpointChange},
		{"one change of a server met", callUsedEndpointChange},
	} {
		r.time(b.watch, q.name+", p50", q.kind, 0.5)
		r.time(b.watch, q.name+", p99", q.kind, 0.99)
	}
	r.time(b.watch, "whole list, first", callFirstSnapshot, 0.5)
	r.time(b.watch, "whole list, again", callNextSnapshot, 0.5)
	r.addKnown("heap, list held", float64(b.holding), "B")
	r.addKnown("heap, after load", float64(b.loaded), "B")
	if b.load.requests > 0 {
		b.countRows(&r)
	}
	return r.rows
}

// countRows gives what was counted, a second of the load: loads are shorter where lists are long.
func (b *listBench) countRows(r *rowWriter) {
	c := &b.load
	seconds := listLoad(b.size).Seconds()
	rate := func(quantity string, count int) { r.add(quantity, float64(count)/seconds, "1/s") }
	rate("ticks", len(b.watch.took[callTick]))
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
	r.add("servers met", float64(b.met), "")
	holds := b.node.balancer.Stats()
	r.add("servers in the subset", float64(holds.SubsetEndpoints), "")
	r.add("servers kept in full", float64(holds.TrackedEndpoints), "")
	r.add("servers of the subset that share a name", float64(holds.HashCollisions), "")
}
