package balancer_test

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"opalhook/balancer"
)

// The simulation in which decisions are checked: a virtual clock, the nodes that run a balancer, and the
// balancers' actions. The endpoints, clients and faults have files of their own. All random numbers are drawn
// from one source, in the order of events.

// event is a function that runs at a time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// Checkpoints of the hash of a scenario.
const (
	checkpointEvery  = 1000                 // events between checkpoints
	checkpointDigits = 6                    // first digits of the hash
	checkpointLength = checkpointDigits + 1 // with the space after it
)

// recorder hashes and counts the actions of a scenario.
type recorder struct {
	hash        hash.Hash
	trace       io.Writer
	events      int // calls of balancers' methods
	counts      actionCounts
	checkpoints string
}

// recordEvent counts a call of a balancer's method. The call is written to the trace but not hashed.
func (r *recorder) recordEvent(now time.Duration, node int, text string, arguments ...any) {
	if r.events++; r.events%checkpointEvery == 0 {
		r.checkpoints += hex.EncodeToString(r.hash.Sum(nil))[:checkpointDigits] + " "
	}
	if r.trace != io.Discard { // runTraced reports write errors when it flushes the trace
		_, _ = fmt.Fprintf(r.trace, "%d node %d: %s\n", now, node, fmt.Sprintf(text, arguments...))
	}
}

// recordAction hashes an action of a balancer.
func (r *recorder) recordAction(now time.Duration, node int, text string, arguments ...any) {
	line := fmt.Sprintf("%d %d %s\n", now, node, fmt.Sprintf(text, arguments...))
	_, _ = io.WriteString(r.hash, line) // writes to a hash never fail
	if r.trace != io.Discard {
		_, _ = io.WriteString(r.trace, "\t"+line)
	}
}

func (r *recorder) digest(scenario string) digest {
	return digest{
		Scenario: scenario, Events: r.events, Actions: r.counts,
		Hash: hex.EncodeToString(r.hash.Sum(nil)), Checkpoints: r.checkpoints,
	}
}

// simulation is a fleet with its clients and endpoints.
type simulation struct {
	scenario       scenario
	random         *rand.Rand
	now            time.Duration
	queue          eventQueue
	sequence       int
	recorder       *recorder
	nodes          []*node // nodes that run a balancer; the others send nothing
	endpoints      endpoints
	tenants        []tenant
	conditions     conditions
	requests       int
	finishing      bool       // no more requests and faults are generated
	recentMessages [64][]byte // recent messages between nodes, for malformedMessage
	messageCount   int        // number of messages sent between nodes
}

// Only a few nodes of a large fleet run a balancer. Like a tenant's entry nodes they are consecutive, so that
// they own quotas for each other.
const (
	maxSimulatedNodes  = 6  // nodes that run a balancer, at most
	firstSimulatedNode = 20 // index of the first such node in a large fleet
)

// settlingTime is the simulated time after the last new request, in which requests in progress end.
const settlingTime = 5 * time.Second

// runScenario runs a scenario to its end and returns the digest of the balancers' actions.
func runScenario(s scenario, trace io.Writer) digest {
	sim := &simulation{
		scenario: s, now: 100 * time.Second, random: rand.New(rand.NewPCG(s.seed, 1)),
		recorder: &recorder{hash: sha256.New(), trace: trace}, conditions: normalConditions,
	}
	sim.endpoints = newEndpoints(sim.random, s.endpoints)
	first := 0
	if s.nodes > maxSimulatedNodes {
		first = firstSimulatedNode
	}
	for number := range min(s.nodes, maxSimulatedNodes) {
		n := &node{sim: sim, number: first + number, requests: map[string]*clientRequest{}}
		sim.nodes = append(sim.nodes, n)
		n.restart()
	}
	sim.tenants = newTenants(sim.random, s.nodes, first, len(sim.nodes))
	sim.after(0, sim.generateRequest)
	sim.after(3*time.Second, sim.changeConditions)
	sim.after(time.Second, sim.updateList)
	sim.after(time.Second, sim.injectFault)
	for sim.recorder.events < s.events {
		sim.step()
	}
	sim.finishing, sim.conditions = true, normalConditions
	for end := sim.now + settlingTime; sim.now < end; {
		sim.step()
	}
	for _, n := range sim.nodes {
		n.recordStats()
	}
	return sim.recorder.digest(s.name())
}

// step runs the next event.
func (sim *simulation) step() {
	e := heap.Pop(&sim.queue).(event)
	sim.now = e.at
	e.run()
}

// after schedules an event.
func (sim *simulation) after(wait time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.now + wait, sim.sequence, run})
}

// chance returns true with the given probability.
func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

// randomDuration returns a random duration of at least 0 and less than the limit.
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// randomNode returns a random one of the nodes that run a balancer.
func (sim *simulation) randomNode() *node { return sim.nodes[sim.random.IntN(len(sim.nodes))] }

// deliver delivers a message to a node after a random delay. The message may be lost or arrive several times.
func (sim *simulation) deliver(from, to int, message []byte) {
	sim.recentMessages[sim.messageCount%len(sim.recentMessages)] = message
	sim.messageCount++
	at := to - sim.nodes[0].number
	if at < 0 || at >= len(sim.nodes) || sim.chance(sim.conditions.messageLoss) {
		return
	}
	receiver := sim.nodes[at]
	for copies := 1; copies > 0; copies-- {
		wait := time.Millisecond + sim.randomDuration(4*time.Millisecond)
		if sim.chance(0.03) {
			wait += sim.randomDuration(1500 * time.Millisecond)
		}
		sim.after(wait, func() { receiver.peerMessage(from, message) })
		if sim.chance(0.03) {
			copies++
		}
	}
}

// node is the host of a balancer and implements its actions.
type node struct {
	sim         *simulation
	number      int
	balancer    *balancer.Balancer
	incarnation int // number of balancers that the node has started
	watching    bool
	requests    map[string]*clientRequest
}

// restart replaces the node's balancer by a new one. Timers of the previous balancer no longer fire.
func (n *node) restart() {
	sim := n.sim
	b, err := balancer.New(sim.scenario.settings(n.number), sim.random.Uint64())
	if err != nil {
		panic(err)
	}
	n.balancer, n.watching = b, false
	n.incarnation++
	n.recordEvent("start")
	b.Start(sim.now, n)
	kind := balancer.UpdateSnapshot
	if sim.chance(0.5) {
		kind = balancer.UpdateCached
	}
	sim.after(sim.randomDuration(50*time.Millisecond), func() {
		n.endpointsUpdated(kind, sim.endpoints.listedEntries())
	})
}

func (n *node) recordEvent(text string, arguments ...any) {
	n.sim.recorder.recordEvent(n.sim.now, n.number, text, arguments...)
	if n.sim.recorder.events%500 == 0 {
		n.recordStats()
	}
}

func (n *node) recordStats() {
	s := n.balancer.Stats()
	n.recordAction("stats %d %d %d %d", s.ListedEndpoints, s.SubsetEndpoints, s.TrackedEndpoints,
		s.HashCollisions)
}

func (n *node) recordAction(text string, arguments ...any) {
	n.sim.recorder.recordAction(n.sim.now, n.number, text, arguments...)
}

// Events of the balancer.

func (n *node) peerMessage(from int, message []byte) {
	n.recordEvent("message from %d: %x", from, message)
	n.balancer.PeerMessage(n.sim.now, from, message, n)
}

func (n *node) endpointsUpdated(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	n.recordEvent("list of kind %d with %d entries", kind, len(entries))
	n.balancer.EndpointsUpdated(n.sim.now, kind, entries, n)
}

func (n *node) timerFired(token uint64) {
	n.recordEvent("timer %d", token)
	n.balancer.TimerFired(n.sim.now, token, n)
}

func (n *node) requestArrived(q balancer.Request) {
	n.recordEvent("request %+v", q)
	n.balancer.RequestArrived(n.sim.now, q, n)
}

func (n *node) attemptFinished(o balancer.Outcome) {
	n.recordEvent("outcome %+v", o)
	n.balancer.AttemptFinished(n.sim.now, o, n)
}

func (n *node) healthChecked(endpoint string, result balancer.Result, load *balancer.LoadReport) {
	n.recordEvent("health check of %s: %d", endpoint, result)
	n.balancer.HealthChecked(n.sim.now, endpoint, result, load, n)
}

func (n *node) clientGone(id string) {
	n.recordEvent("client of %s has disconnected", id)
	n.balancer.ClientDisconnected(n.sim.now, id, n)
}

func (n *node) responseStarted(id string, attempt int) {
	n.recordEvent("stream of attempt %d of %s has started", attempt, id)
	n.balancer.ResponseStarted(n.sim.now, id, attempt, n)
}

// Actions of the balancer. Their texts are hashed and must not change.

func (n *node) SendAttempt(id, endpoint string, timeout, sendBy time.Duration) {
	n.sim.recorder.counts.Send++
	n.recordAction("send %s %s %d %d", id, endpoint, timeout, sendBy)
	n.sim.startAttempt(n.requests[id], n.sim.endpoints.byID[endpoint], timeout, sendBy)
}

func (n *node) Reject(id string, retryAfter time.Duration) {
	n.sim.recorder.counts.Reject++
	n.recordAction("refuse %s %d", id, retryAfter)
	n.sim.requestFailed(n.requests[id], retryAfter)
}

func (n *node) Fail(id string) {
	n.sim.recorder.counts.Fail++
	n.recordAction("fail %s", id)
	n.sim.requestFailed(n.requests[id], 0)
}

func (n *node) CancelAttempt(id string, attempt int) {
	n.sim.recorder.counts.Cancel++
	n.recordAction("cancel %s %d", id, attempt)
	n.sim.cancelAttempt(n.requests[id], attempt)
}

func (n *node) SetTimer(token uint64, after time.Duration) {
	n.sim.recorder.counts.SetTimer++
	n.recordAction("timer %d %d", token, after)
	incarnation := n.incarnation
	n.sim.after(after, func() {
		if n.incarnation == incarnation {
			n.timerFired(token)
		}
	})
}

func (n *node) HealthCheck(endpoint string) {
	n.sim.recorder.counts.HealthCheck++
	n.recordAction("probe %s", endpoint)
	n.sim.runHealthCheck(n, n.sim.endpoints.byID[endpoint])
}

func (n *node) SendPeer(peer int, message []byte) {
	n.sim.recorder.counts.SendPeer++
	n.recordAction("tell %d %x", peer, message)
	n.sim.deliver(n.number, peer, append([]byte(nil), message...))
}

func (n *node) WatchEndpoints(on bool) {
	n.sim.recorder.counts.Watch++
	n.recordAction("watch %v", on)
	n.sim.serveWatch(n)
}

// Log is not hashed, so that the text of log lines may change.
func (n *node) Log(slog.Level, string, ...slog.Attr) {}
