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

// Parameters of a restart.
const (
	rackNodes           = 40                         // edge nodes in a rack; a guess, because the plan does not say how many share a rack
	controlRate         = 19_000                     // planned bandwidth of an edge node for control traffic, in bytes per second
	maxRestartTime      = 10 * time.Minute           // maximum simulated time
	restartPollInterval = 10 * time.Second           // poll interval of a node without a watch, as in the settings
	restartGeneration   = 1<<discovery.EpochBits + 1 // generation of the list
	watchOpensPerSecond = 2_000                      // watches that a replica accepts per second, and in a burst
	partInterval        = time.Second                // interval at which a node reports to its follower that part of a message has arrived
	restartMemory       = 4 << 10                    // estimated memory of a node, in bytes
)

// restartFleetPart returns the part that measures how all edge nodes of the planned fleet get their list if
// they start at the same time.
func restartFleetPart() Part {
	return newRestartPart("restart-fleet", "all edge nodes of the planned fleet", plannedWatches)
}

// restartRackPart returns the part that measures how the edge nodes of a rack get their list if they start at
// the same time.
func restartRackPart() Part {
	return newRestartPart("restart-rack", fmt.Sprintf("the edge nodes of a rack (%d, a guess)", rackNodes), rackNodes)
}

func newRestartPart(name, description string, nodes int) Part {
	return Part{
		Name: name,
		Title: fmt.Sprintf("Restart of %s without a cached list, for up to ten minutes on a simulated clock: each has the real follower of the list "+
			"and a link of %d bytes per second, and one replica accepts %d watches per second.", description, controlRate, watchOpensPerSecond),
		Size:      "entries in the list",
		Sizes:     []int{200, 350, 2_000, 20_000, 200_000},
		TestSizes: []int{200},
		Memory:    func(size int) uint64 { return listBaseMemory + uint64(nodes)*restartMemory + 2<<10*uint64(size) },
		Measure: func(ctx context.Context, size int, env Env) ([]Row, error) {
			bytes, err := snapshotMessageBytes(size)
			if err != nil {
				return nil, err
			}
			r := newRestart(nodes, plannedWatches, bytes, env.Seed)
			err = r.run(ctx, maxRestartTime, env.Progress)
			return r.rows(name, size), err
		},
	}
}

// snapshotMessageBytes returns the length of the message with the complete list, in bytes.
func snapshotMessageBytes(entries int) (int, error) {
	m := discovery.Message{Generation: restartGeneration, Snapshot: true}
	for n := range entries {
		m.Entries = append(m.Entries, listEntry(n))
	}
	text, err := json.Marshal(m)
	return len(text) + 1, err
}

// restart simulates edge nodes that start at the same time, on a simulated clock.
type restart struct {
	now       time.Duration
	nodes     []*simulatedFollower
	queue     restartQueue
	message   int         // length of the message with the complete list, in bytes
	openLimit openLimiter // rate limit of the service for new watches
	rng       *rand.Rand  // for the Retry-After times of the service
	open      int         // number of open calls
	maxOpen   int         // maximum of open so far
	rejected  int         // calls rejected because of the rate limit
}

// simulatedFollower is an edge node that only follows the list. Each call that its follower opens transfers
// the complete list.
type simulatedFollower struct {
	follower    *follower.Follower
	call        uint64        // ID of the open call; 0: none
	callStarted time.Duration // when the service started to send its message
	lastWake    uint64        // ID of the last scheduled wake-up; earlier ones are ignored
	calls       int           // calls opened or rejected
	bytes       float64       // bytes received
	receivedAt  time.Duration // when it received its list
	hasList     bool          // has received its list
}

// restartEvent is a scheduled event of a node.
type restartEvent struct {
	at    time.Duration
	order uint64 // breaks ties between events scheduled for the same time
	node  int    // index of the node
	kind  restartKind
	id    uint64 // ID of the wake-up for wakeUp, of the call otherwise
}

// restartKind is the kind of an event.
type restartKind int

const (
	wakeUp         restartKind = iota // the follower must be advanced at this time
	partArrived                       // a further part of the message has arrived
	messageArrived                    // the message is complete
)

// restartQueue is a queue of events. It implements [heap.Interface], with the earliest event first.
type restartQueue struct {
	events []restartEvent
	added  uint64 // events added so far
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

// add schedules an event.
func (q *restartQueue) add(e restartEvent) {
	q.added++
	e.order = q.added
	heap.Push(q, e)
}

// openLimiter limits the rate of new watches to watchOpensPerSecond. It is a token bucket that holds the
// watches of one second at most.
type openLimiter struct {
	tokens     float64
	refilledAt time.Duration // time of the last refill
}

// allow reports whether a watch may be opened now.
func (l *openLimiter) allow(now time.Duration) bool {
	l.tokens = min(l.tokens+(now-l.refilledAt).Seconds()*watchOpensPerSecond, watchOpensPerSecond)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// newRestart returns a restart of a number of nodes in a fleet of fleetSize nodes. message is the length of
// the message with the complete list, in bytes.
func newRestart(nodes, fleetSize, message int, seed uint64) *restart {
	r := &restart{message: message, openLimit: openLimiter{tokens: watchOpensPerSecond}, rng: rand.New(rand.NewPCG(seed, 0))}
	for n := range nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+1))
		r.nodes = append(r.nodes, &simulatedFollower{follower: follower.New(follower.Config{FleetSize: fleetSize, PollInterval: restartPollInterval, Rand: rng})})
	}
	return r
}

// run simulates the restart until all nodes have their list or the simulated time reaches the limit.
func (r *restart) run(ctx context.Context, limit time.Duration, progress func(done, total int, doing string)) error {
	for n, node := range r.nodes {
		node.follower.Start(0)
		r.advance(n)
	}
	withList := 0
	for processed := 0; r.queue.Len() > 0 && withList < len(r.nodes); processed++ {
		e := heap.Pop(&r.queue).(restartEvent)
		if e.at > limit {
			break
		}
		if processed%10_000 == 0 {
			progress(int(e.at.Seconds()), int(limit.Seconds()), "simulated seconds")
			if err := ctx.Err(); err != nil {
				return err
			}
		}
		r.now = e.at
		withList += boolToInt(r.apply(e))
	}
	for _, node := range r.nodes {
		r.endCall(node)
	}
	return nil
}

// apply processes an event. It reports whether the event has completed the list of a node.
func (r *restart) apply(e restartEvent) (hasList bool) {
	node := r.nodes[e.node]
	switch {
	case e.kind == wakeUp && e.id != node.lastWake || e.kind != wakeUp && e.id != node.call || node.hasList:
		return false // the call has ended, a later wake-up was scheduled, or the node has its list
	case e.kind == partArrived:
		node.follower.Received(r.now, e.id, true)
		r.queue.add(restartEvent{at: r.now + partInterval, node: e.node, kind: partArrived, id: e.id})
	case e.kind == messageArrived:
		r.endCall(node)
		if node.follower.Message(r.now, e.id, follower.Update{Generation: restartGeneration, Snapshot: true}) {
			node.hasList, node.receivedAt = true, r.now
			return true
		}
	}
	r.advance(e.node)
	return false
}

// advance advances the follower of node n and executes its commands. When there are no more, it schedules the
// next wake-up.
func (r *restart) advance(n int) {
	node := r.nodes[n]
	for {
		commands, wake := node.follower.Advance(r.now)
		for _, command := range commands {
			if command.Open {
				r.openCall(n, command)
			} else if command.ID == node.call {
				r.endCall(node)
			}
		}
		if len(commands) == 0 { // the responses to commands can no longer cause further commands
			node.lastWake++
			r.queue.add(restartEvent{at: max(wake, r.now+1), node: n, kind: wakeUp, id: node.lastWake})
			return
		}
	}
}

// openCall simulates the service's response to a call of node n.
func (r *restart) openCall(n int, command follower.Command) {
	node := r.nodes[n]
	node.calls++
	if !r.openLimit.allow(r.now) {
		r.rejected++
		node.follower.Rejected(r.now, command.ID, time.Duration(1+r.rng.IntN(3))*time.Second)
		return
	}
	node.call, node.callStarted = command.ID, r.now
	r.open++
	r.maxOpen = max(r.maxOpen, r.open)
	node.follower.Received(r.now, command.ID, true)
	r.queue.add(restartEvent{at: r.now + r.transferTime(), node: n, kind: messageArrived, id: command.ID})
	r.queue.add(restartEvent{at: r.now + partInterval, node: n, kind: partArrived, id: command.ID})
}

// transferTime returns the time that the complete list takes over a node's link.
func (r *restart) transferTime() time.Duration {
	return time.Duration(math.Ceil(float64(r.message) / controlRate * float64(time.Second)))
}

// endCall ends the open call of a node, if any, and adds the bytes received on it.
func (r *restart) endCall(node *simulatedFollower) {
	if node.call == 0 {
		return
	}
	node.bytes += min((r.now-node.callStarted).Seconds()*controlRate, float64(r.message))
	node.call = 0
	r.open--
}

// rows returns the rows of the restart.
func (r *restart) rows(part string, size int) []Row {
	rows := listRows{rowWriter{part: part, size: size}}
	var at []time.Duration
	calls, total, maxBytes := 0, 0.0, 0.0
	for _, node := range r.nodes {
		calls += node.calls
		total += node.bytes
		maxBytes = max(maxBytes, node.bytes)
		if node.hasList {
			at = append(at, node.receivedAt)
		}
	}
	slices.Sort(at)
	rows.bytes("whole list", uint64(r.message))
	rows.time("whole list, at the link's pace", r.transferTime())
	rows.count("nodes", len(r.nodes))
	rows.count("nodes that have their list", len(at))
	if len(at) == len(r.nodes) {
		rows.time("half of the nodes have their list", at[len(at)/2])
		rows.time("the last node has its list", at[len(at)-1])
	}
	rows.time("simulated", r.now)
	rows.add("control to a node, mean", total/float64(len(r.nodes)), "B")
	rows.add("control to a node, most", maxBytes, "B")
	rows.add("watches opened by a node, mean", float64(calls)/float64(len(r.nodes)), "")
	rows.count("watches turned away", r.rejected)
	rows.add("most that the replica sends", float64(r.maxOpen)*controlRate, "B/s")
	return rows.rows
}
