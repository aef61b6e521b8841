package scale

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/follower"
)

// Figures of a restart.
const (
	rackNodes      = 40     // a guess: the plan does not say how many edge nodes share a rack
	controlRate    = 19_000 // bytes a second that an edge node may spend on control, in the plan
	restartFor     = 10 * time.Minute
	restartWithin  = 10 * time.Second // that the settings give a node without a watch to ask
	restartVersion = 1<<discovery.EpochBits + 1
	serviceJoins   = 2_000 // watches that a replica lets open a second, and at once
	partEvery      = time.Second
	restartMemory  = 4 << 10 // of a node
)

// RestartFleet measures how all edge nodes get their list when they start at once.
func RestartFleet() Part {
	return restartPart("restart-fleet", "all edge nodes of the plan", planWatches)
}

// RestartRack measures how the edge nodes of a rack get their list when they start at once.
func RestartRack() Part {
	return restartPart("restart-rack", fmt.Sprintf("the edge nodes of a rack, guessed to be %d", rackNodes), rackNodes)
}

func restartPart(name, who string, nodes int) Part {
	return Part{
		Name: name,
		Title: fmt.Sprintf("Restart of %s with no list, on a simulated clock: the real follower of the list, a link of %d bytes a second to each, "+
			"one replica that lets %d watches open a second; ten minutes.", who, controlRate, serviceJoins),
		Size:   "entries in the list",
		Sizes:  []int{200, 350, 2_000, 20_000, 200_000},
		Small:  []int{200},
		Memory: func(size int) uint64 { return listBaseMemory + uint64(nodes)*restartMemory + 2<<10*uint64(size) },
		Measure: func(ctx context.Context, size int, env Env) ([]Row, error) {
			bytes, err := wholeListBytes(size)
			if err != nil {
				return nil, err
			}
			r := newRestart(nodes, planWatches, bytes, env.Seed)
			err = r.run(ctx, restartFor, env.Progress)
			return r.rows(name, size), err
		},
	}
}

// wholeListBytes is the length of the message that tells a whole list.
func wholeListBytes(entries int) (int, error) {
	m := discovery.Message{Generation: restartVersion, Reset: true}
	for n := range entries {
		m.Instances = append(m.Instances, listEntry(n))
	}
	text, err := json.Marshal(m)
	return len(text) + 1, err
}

// restart is many edge nodes that start at once, on a simulated clock.
type restart struct {
	now     time.Duration
	nodes   []*simulatedFollower
	queue   restartQueue
	message int        // bytes of a whole list
	opens   joinPace   // of the service
	rng     *rand.Rand // of the service's advice
	open    int        // messages on their way
	most    int        // of these at once
	turned  int        // calls turned away
}

// simulatedFollower is an edge node that only follows the list.
type simulatedFollower struct {
	follower *follower.Follower
	call     uint64        // the watch that is out; 0: none
	began    time.Duration // when its message did
	wakes    uint64        // wakes asked for so far; an event of an earlier one is void
	calls    int
	bytes    float64
	listAt   time.Duration // when it had its list
	listed   bool
}

// restartEvent is something that happens to a node.
type restartEvent struct {
	at    time.Duration
	order uint64 // among those at one time
	node  int
	kind  restartKind
	id    uint64 // of the call, or of the wake
}

type restartKind int

const (
	nodeWakes restartKind = iota
	partComes
	messageComes
)

// restartQueue is a heap of what is to happen, as [heap.Interface] has it.
type restartQueue struct {
	events []restartEvent
	added  uint64
}

func (q *restartQueue) Len() int      { return len(q.events) }
func (q *restartQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *restartQueue) Push(x any)    { q.events = append(q.events, x.(restartEvent)) }
func (q *restartQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (q *restartQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

func (q *restartQueue) add(e restartEvent) {
	q.added++
	e.order = q.added
	heap.Push(q, e)
}

// joinPace lets calls through at a pace, with as many at once as in a second.
type joinPace struct {
	room float64
	last time.Duration
}

func (p *joinPace) allow(now time.Duration) bool {
	p.room = min(p.room+(now-p.last).Seconds()*serviceJoins, serviceJoins)
	p.last = now
	if p.room < 1 {
		return false
	}
	p.room--
	return true
}

// newRestart returns nodes of a fleet that are to start at once.
func newRestart(nodes, fleet, message int, seed uint64) *restart {
	r := &restart{message: message, opens: joinPace{room: serviceJoins}, rng: rand.New(rand.NewPCG(seed, 0))}
	for n := range nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
		r.nodes = append(r.nodes, &simulatedFollower{follower: follower.New(follower.Config{FleetSize: fleet, PollInterval: restartWithin, Rand: rng})})
	}
	return r
}

// run plays until all nodes have their list, or for as long as it is told to.
func (r *restart) run(ctx context.Context, until time.Duration, progress func(done, total int, doing string)) error {
	for n, h := range r.nodes {
		h.follower.Start(0)
		r.step(n)
	}
	listed := 0
	for played := 0; r.queue.Len() > 0 && listed < len(r.nodes); played++ {
		e := heap.Pop(&r.queue).(restartEvent)
		if e.at > until {
			break
		}
		if played%10_000 == 0 {
			progress(int(e.at.Seconds()), int(until.Seconds()), "simulated seconds")
			if err := ctx.Err(); err != nil {
				return err
			}
		}
		r.now = e.at
		listed += oneIf(r.apply(e))
	}
	for _, h := range r.nodes {
		r.end(h)
	}
	return nil
}

// apply lets something happen, and returns whether a node has got its list by it.
func (r *restart) apply(e restartEvent) (listed bool) {
	h := r.nodes[e.node]
	switch {
	case e.kind == nodeWakes && e.id != h.wakes || e.kind != nodeWakes && e.id != h.call || h.listed:
		return false // of a call or a wake that is no more
	case e.kind == partComes:
		h.follower.Received(r.now, e.id, true)
		r.queue.add(restartEvent{at: r.now + partEvery, node: e.node, kind: partComes, id: e.id})
	case e.kind == messageComes:
		r.end(h)
		if h.follower.Message(r.now, e.id, follower.Update{Version: restartVersion, Snapshot: true}) {
			h.listed, h.listAt = true, r.now
			return true
		}
	}
	r.step(e.node)
	return false
}

// step carries out what a node wants.
func (r *restart) step(n int) {
	h := r.nodes[n]
	for {
		orders, wake := h.follower.Advance(r.now)
		for _, o := range orders {
			if o.Open {
				r.answer(n, o)
			} else if o.ID == h.call {
				r.end(h)
			}
		}
		if len(orders) == 0 { // an answer may have changed what is wanted
			h.wakes++
			r.queue.add(restartEvent{at: max(wake, r.now+1), node: n, kind: nodeWakes, id: h.wakes})
			return
		}
	}
}

// answer is what the service does with a call.
func (r *restart) answer(n int, o follower.Command) {
	h := r.nodes[n]
	h.calls++
	if !r.opens.allow(r.now) {
		r.turned++
		h.follower.Rejected(r.now, o.ID, time.Duration(1+r.rng.IntN(3))*time.Second)
		return
	}
	h.call, h.began = o.ID, r.now
	r.open++
	r.most = max(r.most, r.open)
	h.follower.Received(r.now, o.ID, true)
	r.queue.add(restartEvent{at: r.now + r.acceptanceTime(), node: n, kind: messageComes, id: o.ID})
	r.queue.add(restartEvent{at: r.now + partEvery, node: n, kind: partComes, id: o.ID})
}

// acceptanceTime is how long a whole list takes over a node's link.
func (r *restart) acceptanceTime() time.Duration {
	return time.Duration(math.Ceil(float64(r.message) / controlRate * float64(time.Second)))
}

// end ends a node's call and books what has come on it.
func (r *restart) end(h *simulatedFollower) {
	if h.call == 0 {
		return
	}
	h.bytes += min((r.now-h.began).Seconds()*controlRate, float64(r.message))
	h.call = 0
	r.open--
}

func (r *restart) rows(part string, size int) []Row {
	rows := rowsOf{rowWriter{part: part, size: size}}
	var at []time.Duration
	calls, total, most := 0, 0.0, 0.0
	for _, h := range r.nodes {
		calls += h.calls
		total += h.bytes
		most = max(most, h.bytes)
		if h.listed {
			at = append(at, h.listAt)
		}
	}
	slices.Sort(at)
	rows.bytes("whole list", uint64(r.message))
	rows.time("whole list, at the link's pace", r.acceptanceTime())
	rows.count("nodes", len(r.nodes))
	rows.count("nodes that have their list", len(at))
	if len(at) == len(r.nodes) {
		rows.time("half of the nodes have their list", at[len(at)/2])
		rows.time("the last node has its list", at[len(at)-1])
	}
	rows.time("simulated", r.now)
	rows.add("control to a node, mean", total/float64(len(r.nodes)), "B")
	rows.add("control to a node, most", most, "B")
	rows.add("watches opened by a node, mean", float64(calls)/float64(len(r.nodes)), "")
	rows.count("watches turned away", r.turned)
	rows.add("most that the replica sends", float64(r.most)*controlRate, "B/s")
	return rows.rows
}
