package follower

import (
	"cmp"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// simulation is a discovery server with the edge nodes that follow its list, on a simulated clock. The list
// has two app servers: a, which drains from generation 2 on, and b.
type simulation struct {
	now   time.Duration
	queue []simEvent // ordered by time, then by seq
	seq   int        // number of events so far

	generation int
	silent     bool  // accepts calls but sends nothing, also on open watches
	dialErr    error // error of every new call; nil: none
	rejects    bool  // rejects new calls
	// encode returns the parts in which a message is written. snapshot means that it is the complete list.
	encode func(message string, snapshot bool) []chunk

	nodes     []*simNode
	calls     []*simCall      // accepted calls, closed ones included
	callTimes []time.Duration // arrival times of all calls
}

// simEvent is a function that runs at a time. Events of the same time run in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// chunk is a part of a message, with its delay after the part before it.
type chunk struct {
	delay time.Duration
	text  string
}

// simNode is an edge node with a client that has no sockets.
type simNode struct {
	sim         *simulation
	client      *Client
	wakeID      int           // number of the latest scheduled wake-up; earlier ones are void
	drainSeenAt time.Duration // when the node learned that a drains; 0: not yet
}

// simCall is a call from the point of view of discovery.
type simCall struct {
	node     *simNode
	command  Command
	messages messageReader
	closed   bool
	silent   bool          // discovery sends nothing more on this call
	answered bool          // the response has begun
	from     int           // generation that the node has, once sent data has arrived
	sentAt   time.Duration // when the latest written data is sent
}

// latency is the network delay in one direction.
const latency = time.Millisecond

func newSim(nodes, fleet int, pushed bool) *simulation {
	s := &simulation{generation: 1, encode: func(message string, _ bool) []chunk {
		return []chunk{{0, message + "\n"}}
	}}
	for i := range nodes {
		n := &simNode{sim: s}
		n.client = NewClient(netip.MustParseAddrPort("127.0.0.1:1"), New(Config{
			Pushed: pushed, FleetSize: fleet, PollInterval: defaultPollInterval,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)), Generation: 1,
		}), n.apply, slog.New(slog.DiscardHandler))
		s.nodes = append(s.nodes, n)
		s.after(latency+time.Duration(i)*time.Millisecond/10, func() { n.client.follower.Start(s.now); n.step() })
	}
	return s
}

// after schedules a function to run after a delay.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	e := simEvent{s.now + d, s.seq, run}
	at, _ := slices.BinarySearchFunc(s.queue, e, func(a, b simEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, at, e)
}

// advance advances the clock by d and runs the events of that time.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
	}
}

func (n *simNode) apply(l endpointlist.List) {
	for _, e := range l.Endpoints {
		if e.ID == "a" && e.State == balancer.Draining && n.drainSeenAt == 0 {
			n.drainSeenAt = n.sim.now
		}
	}
}

// step carries out the follower's commands and schedules the next wake-up.
func (n *simNode) step() {
	commands, next := n.client.follower.Advance(n.sim.now)
	for _, cmd := range commands {
		if !cmd.Open {
			closeCall(n.client.calls, cmd.ID)
			continue
		}
		c := &simCall{node: n, command: cmd, from: int(cmd.From)}
		n.client.calls[cmd.ID] = func() { c.closed = true }
		n.sim.after(latency, func() { n.sim.accept(c) })
	}
	n.wakeID++
	id := n.wakeID
	n.sim.after(next-n.sim.now, func() {
		if n.wakeID == id {
			n.step()
		}
	})
}

// deliver passes an event of the call to its node.
func (c *simCall) deliver(e callEvent) {
	if c.closed {
		return
	}
	e.id = c.command.ID
	c.closed = e.kind == eventEnd || e.kind == eventRejected || e.kind == eventMalformed
	c.node.client.handleEvent(c.node.sim.now, e)
	c.node.step()
}

// accept handles the arrival of a call at discovery.
func (s *simulation) accept(c *simCall) {
	if c.closed {
		return
	}
	s.callTimes = append(s.callTimes, s.now)
	switch {
	case s.dialErr != nil:
		s.after(latency, func() { c.deliver(callEvent{kind: eventEnd, err: s.dialErr}) })
	case s.rejects:
		s.after(latency, func() { c.deliver(callEvent{kind: eventRejected}) })
	default:
		s.calls = append(s.calls, c)
		s.respond(c)
		if c.command.Watch {
			s.sendHeartbeats(c)
		}
	}
}

// respond sends what the call has not sent yet: the headers, the list or its changes, and the end of a fetch.
func (s *simulation) respond(c *simCall) {
	if s.silent || c.silent || c.closed {
		return
	}
	if !c.answered {
		c.answered = true
		s.after(latency, func() { c.deliver(callEvent{kind: eventResponseStarted}) })
	}
	if !c.command.Watch || c.from != s.generation {
		text := s.message(c.from)
		for _, part := range s.encode(text, c.from == 0) {
			s.write(c, part.text, part.delay)
		}
		c.from = s.generation
	}
	if !c.command.Watch {
		c.sentAt = max(c.sentAt, s.now)
		s.after(c.sentAt-s.now+latency, func() { s.receive(c, "", io.EOF) })
	}
}

// write sends a text on a call after a delay, which begins when the data before it is sent.
func (s *simulation) write(c *simCall, text string, delay time.Duration) {
	c.sentAt = max(c.sentAt, s.now) + delay
	s.after(c.sentAt-s.now+latency, func() { s.receive(c, text, nil) })
}

// receive handles the arrival of a text, or of the end of the response, at the node.
func (s *simulation) receive(c *simCall, text string, end error) {
	if s.silent || c.silent || c.closed || c.messages.done {
		return
	}
	for _, e := range c.messages.read([]byte(text), end) {
		c.deliver(e)
	}
}

func (s *simulation) sendHeartbeats(c *simCall) {
	s.after(heartbeatInterval, func() {
		if !c.closed && !c.silent {
			if !s.silent {
				s.write(c, "\n", 0)
			}
			s.sendHeartbeats(c)
		}
	})
}

// message returns the changes after a generation, or the complete list if from is 0.
func (s *simulation) message(from int) string {
	a := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a", Weight: 1}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	b := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "b", Weight: 1}, Addr: netip.MustParseAddrPort("127.0.0.1:2")}
	if s.generation >= 2 {
		a.State = balancer.Draining
	}
	if from == 0 {
		return nodetest.ListJSON(s.generation, true, a, b)
	}
	return nodetest.ListJSON(s.generation, false, a)
}

// forEachCall calls f with each open call.
func (s *simulation) forEachCall(f func(c *simCall)) {
	for _, c := range slices.Clone(s.calls) {
		if !c.closed {
			f(c)
		}
	}
}

// startDrain changes the list so that a drains.
func (s *simulation) startDrain() { s.generation = 2; s.forEachCall(s.respond) }

// resetCalls breaks all open calls.
func (s *simulation) resetCalls() {
	s.forEachCall(func(c *simCall) { c.deliver(callEvent{kind: eventEnd, err: io.ErrUnexpectedEOF}) })
}

// silenceCalls makes all open calls silent for ever.
func (s *simulation) silenceCalls() { s.forEachCall(func(c *simCall) { c.silent = true }) }

// drainDelay returns the time from since until the last node learned of the drain, -1 if a node has not.
func (s *simulation) drainDelay(since time.Duration) time.Duration {
	delay := time.Duration(0)
	for _, n := range s.nodes {
		if n.drainSeenAt == 0 {
			return -1
		}
		delay = max(delay, n.drainSeenAt-since)
	}
	return delay
}
