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

// The world in which decisions are checked: a virtual clock, the nodes that run a balancer, and what these ask
// for. Its endpoints, clients and faults stand in files of their own. All that happens by chance is drawn from
// one source, in the order of events.

// event is something that is due at a time. Of events due together, the one entered first comes first.
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

// The checkpoints of a play.
const (
	checkpointEvery  = 1000 // events
	checkpointDigits = 6
	checkpointLength = checkpointDigits + 1 // with the blank between them
)

// record hashes the actions of a play and counts them.
type record struct {
	hash        hash.Hash
	trace       io.Writer
	events      int
	counts      actionCounts
	checkpoints string
}

// event notes that a balancer is told of something. That goes to the trace alone.
func (r *record) event(now time.Duration, node int, text string, arguments ...any) {
	if r.events++; r.events%checkpointEvery == 0 {
		r.checkpoints += hex.EncodeToString(r.hash.Sum(nil))[:checkpointDigits] + " "
	}
	if r.trace != io.Discard { // a failed write shows when the trace is flushed
		_, _ = fmt.Fprintf(r.trace, "%d node %d: %s\n", now, node, fmt.Sprintf(text, arguments...))
	}
}

// action notes something that a balancer has asked for.
func (r *record) action(now time.Duration, node int, text string, arguments ...any) {
	line := fmt.Sprintf("%d %d %s\n", now, node, fmt.Sprintf(text, arguments...))
	_, _ = io.WriteString(r.hash, line) // a hash accepts everything
	if r.trace != io.Discard {
		_, _ = io.WriteString(r.trace, "\t"+line)
	}
}

func (r *record) digest(scenario string) digest {
	return digest{
		Scenario: scenario, Events: r.events, Actions: r.counts,
		Hash: hex.EncodeToString(r.hash.Sum(nil)), Checkpoints: r.checkpoints,
	}
}

// world is the fleet with all around it.
type world struct {
	scenario  scenario
	random    *rand.Rand
	now       time.Duration
	queue     eventQueue
	sequence  int
	record    *record
	nodes     []*node // those that run a balancer; the others are silent
	endpoints endpoints
	tenants   []tenant
	weather   weather
	requests  int
	ending    bool
	overheard [64][]byte // messages between nodes, to be sent again or malformed
	heardNext int
}

// The nodes that run a balancer: in a large fleet some in a row, whose tenants ask each other.
const (
	realNodes     = 6
	firstRealNode = 20
)

const drainTime = 5 * time.Second

// play runs a scenario to its end.
func play(s scenario, trace io.Writer) digest {
	w := &world{
		scenario: s, now: 100 * time.Second, random: rand.New(rand.NewPCG(s.seed, 1)),
		record: &record{hash: sha256.New(), trace: trace}, weather: underloadedOccupancy,
	}
	w.endpoints = newEndpoints(w.random, s.endpoints)
	first := 0
	if s.nodes > realNodes {
		first = firstRealNode
	}
	for number := range min(s.nodes, realNodes) {
		n := &node{world: w, number: first + number, requests: map[string]*clientRequest{}}
		w.nodes = append(w.nodes, n)
		n.restart()
	}
	w.tenants = newTenants(w.random, s.nodes, first, len(w.nodes))
	w.after(0, w.arrive)
	w.after(3*time.Second, w.changeWeather)
	w.after(time.Second, w.changeList)
	w.after(time.Second, w.disturb)
	for w.record.events < s.events {
		w.step()
	}
	w.ending, w.weather = true, underloadedOccupancy
	for end := w.now + drainTime; w.now < end; {
		w.step()
	}
	for _, n := range w.nodes {
		n.noteStats()
	}
	return w.record.digest(s.name())
}

// step lets the next event happen.
func (w *world) step() {
	e := heap.Pop(&w.queue).(event)
	w.now = e.at
	e.run()
}

// after enters an event.
func (w *world) after(wait time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + wait, w.sequence, run})
}

// chance is true with a probability.
func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// upTo draws a time from 0 to below a limit.
func (w *world) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// anyNode draws one of the nodes that run a balancer.
func (w *world) anyNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// deliver brings a message to a node, later, maybe not at all and maybe twice.
func (w *world) deliver(from, to int, message []byte) {
	w.overheard[w.heardNext%len(w.overheard)] = message
	w.heardNext++
	at := to - w.nodes[0].number
	if at < 0 || at >= len(w.nodes) || w.chance(w.weather.loss) {
		return
	}
	receiver := w.nodes[at]
	for copies := 1; copies > 0; copies-- {
		wait := time.Millisecond + w.upTo(4*time.Millisecond)
		if w.chance(0.03) {
			wait += w.upTo(1500 * time.Millisecond)
		}
		w.after(wait, func() { receiver.peer(from, message) })
		if w.chance(0.03) {
			copies++
		}
	}
}

// node is a node that runs a balancer. It carries out what its balancer asks for.
type node struct {
	world       *world
	number      int
	balancer    *balancer.Balancer
	incarnation int // balancers before this one
	watching    bool
	requests    map[string]*clientRequest
}

// restart begins with a new balancer. Timers of the one before are lost with it.
func (n *node) restart() {
	w := n.world
	g, err := balancer.New(w.scenario.settings(n.number), w.random.Uint64())
	if err != nil {
		panic(err)
	}
	n.balancer, n.watching = g, false
	n.incarnation++
	n.event("start")
	g.Start(w.now, n)
	form := balancer.UpdateSnapshot
	if w.chance(0.5) {
		form = balancer.UpdateCached
	}
	w.after(w.upTo(50*time.Millisecond), func() { n.list(form, w.endpoints.listed()) })
}

func (n *node) event(text string, arguments ...any) {
	n.world.record.event(n.world.now, n.number, text, arguments...)
	if n.world.record.events%500 == 0 {
		n.noteStats()
	}
}

func (n *node) noteStats() {
	s := n.balancer.Stats()
	n.action("stats %d %d %d %d", s.ListedEndpoints, s.SubsetEndpoints, s.TrackedEndpoints, s.HashCollisions)
}

func (n *node) action(text string, arguments ...any) {
	n.world.record.action(n.world.now, n.number, text, arguments...)
}

// What the balancer is told.

func (n *node) peer(from int, message []byte) {
	n.event("message from %d: %x", from, message)
	n.balancer.PeerMessage(n.world.now, from, message, n)
}

func (n *node) list(form balancer.UpdateKind, entries []balancer.Endpoint) {
	n.event("list of form %d with %d entries", form, len(entries))
	n.balancer.EndpointsUpdated(n.world.now, form, entries, n)
}

func (n *node) timer(token uint64) {
	n.event("timer %d", token)
	n.balancer.TimerFired(n.world.now, token, n)
}

func (n *node) request(q balancer.Request) {
	n.event("request %+v", q)
	n.balancer.RequestArrived(n.world.now, q, n)
}

func (n *node) outcome(o balancer.Outcome) {
	n.event("outcome %+v", o)
	n.balancer.AttemptFinished(n.world.now, o, n)
}

func (n *node) probed(endpoint string, result balancer.Result, load *balancer.LoadReport) {
	n.event("health check of %s: %d", endpoint, result)
	n.balancer.HealthChecked(n.world.now, endpoint, result, load, n)
}

func (n *node) gone(id string) {
	n.event("client of %s has left", id)
	n.balancer.ClientGone(n.world.now, id, n)
}

func (n *node) begins(id string, attempt int) {
	n.event("stream of attempt %d of %s begins", attempt, id)
	n.balancer.ResponseStarted(n.world.now, id, attempt, n)
}

// What the balancer asks for.

func (n *node) SendAttempt(id, endpoint string, timeout, by time.Duration) {
	n.world.record.counts.Send++
	n.action("send %s %s %d %d", id, endpoint, timeout, by)
	n.world.send(n.requests[id], n.world.endpoints.byID[endpoint], timeout, by)
}

func (n *node) Reject(id string, retryAfter time.Duration) {
	n.world.record.counts.Refuse++
	n.action("refuse %s %d", id, retryAfter)
	n.world.answered(n.requests[id], retryAfter)
}

func (n *node) Fail(id string) {
	n.world.record.counts.Fail++
	n.action("fail %s", id)
	n.world.answered(n.requests[id], 0)
}

func (n *node) CancelAttempt(id string, attempt int) {
	n.world.record.counts.Cancel++
	n.action("cancel %s %d", id, attempt)
	n.world.cancel(n.requests[id], attempt)
}

func (n *node) SetTimer(token uint64, after time.Duration) {
	n.world.record.counts.SetTimer++
	n.action("timer %d %d", token, after)
	incarnation := n.incarnation
	n.world.after(after, func() {
		if n.incarnation == incarnation {
			n.timer(token)
		}
	})
}

func (n *node) HealthCheck(endpoint string) {
	n.world.record.counts.Probe++
	n.action("probe %s", endpoint)
	n.world.probe(n, n.world.endpoints.byID[endpoint])
}

func (n *node) SendPeer(peer int, message []byte) {
	n.world.record.counts.Tell++
	n.action("tell %d %x", peer, message)
	n.world.deliver(n.number, peer, append([]byte(nil), message...))
}

func (n *node) WatchEndpoints(on bool) {
	n.world.record.counts.Watch++
	n.action("watch %v", on)
	n.world.watch(n)
}

// Log is not hashed: the text may change.
func (n *node) Log(slog.Level, string, ...slog.Attr) {}
