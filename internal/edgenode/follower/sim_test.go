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

// simulation is a discovery and edge nodes that follow its list, on a clock of their own. The list has
// server a, which drains at version 2, and b.
type simulation struct {
	now   time.Duration
	queue []simEvent
	seq   int

	version int
	silent  bool  // takes calls and says nothing, also on open watches
	refuse  error // to those who call
	rejects bool  // turns calls away
	wording func(message string, whole bool) []chunk

	nodes    []*simNode
	calls    []*simCall
	calledAt []time.Duration // when a call came
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// chunk is some text of a message, and how long after the one before it comes.
type chunk struct {
	after time.Duration
	text  string
}

// simNode is an edge node: the client without its sockets.
type simNode struct {
	sim    *simulation
	client *Client
	wake   int           // number of the latest wake-up asked for
	toldAt time.Duration // when it learnt that a drains; 0: it has not
}

// simCall is a call as discovery sees it.
type simCall struct {
	node    *simNode
	command Command
	in      messageReader
	over    bool
	silent  bool // nothing comes on it any more
	head    bool // is answered
	from    int
	sendAt  time.Duration // when what was written last arrives
}

const hop = time.Millisecond

func newSim(nodes, fleet int, pushed bool) *simulation {
	s := &simulation{version: 1, wording: func(message string, _ bool) []chunk { return []chunk{{0, message + "\n"}} }}
	for i := range nodes {
		n := &simNode{sim: s}
		n.client = NewClient(netip.MustParseAddrPort("127.0.0.1:1"), New(Config{
			Pushed: pushed, FleetSize: fleet, PollInterval: defaultPollInterval,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)), Version: 1,
		}), n.apply, slog.New(slog.DiscardHandler))
		s.nodes = append(s.nodes, n)
		s.after(hop+time.Duration(i)*time.Millisecond/10, func() { n.client.follower.Start(s.now); n.step() })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	t := simEvent{s.now + d, s.seq, do}
	at, _ := slices.BinarySearchFunc(s.queue, t, func(a, b simEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	s.queue = slices.Insert(s.queue, at, t)
}

// run lets so much time pass.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		t := s.queue[0]
		s.queue = s.queue[1:]
		s.now = t.at
		t.do()
	}
}

func (n *simNode) apply(l endpointlist.List) {
	for _, e := range l.Endpoints {
		if e.ID == "a" && e.State == balancer.Draining && n.toldAt == 0 {
			n.toldAt = n.sim.now
		}
	}
}

// step carries out the follower's orders.
func (n *simNode) step() {
	do, wake := n.client.follower.Advance(n.sim.now)
	for _, o := range do {
		if !o.Open {
			closeCall(n.client.calls, o.ID)
			continue
		}
		c := &simCall{node: n, command: o, from: int(o.From)}
		n.client.calls[o.ID] = func() { c.over = true }
		n.sim.after(hop, func() { n.sim.call(c) })
	}
	n.wake++
	number := n.wake
	n.sim.after(wake-n.sim.now, func() {
		if n.wake == number {
			n.step()
		}
	})
}

func (c *simCall) tell(e callEvent) {
	if c.over {
		return
	}
	e.id = c.command.ID
	c.over = e.kind == eventEnd || e.kind == eventRejected || e.kind == eventMalformed
	c.node.client.handleEvent(c.node.sim.now, e)
	c.node.step()
}

// call is a call's arrival.
func (s *simulation) call(c *simCall) {
	if c.over {
		return
	}
	s.calledAt = append(s.calledAt, s.now)
	switch {
	case s.refuse != nil:
		s.after(hop, func() { c.tell(callEvent{kind: eventEnd, err: s.refuse}) })
	case s.rejects:
		s.after(hop, func() { c.tell(callEvent{kind: eventRejected}) })
	default:
		s.calls = append(s.calls, c)
		s.serve(c)
		if c.command.Watch {
			s.beat(c)
		}
	}
}

// serve writes what a call has not been told.
func (s *simulation) serve(c *simCall) {
	if s.silent || c.silent || c.over {
		return
	}
	if !c.head {
		c.head = true
		s.after(hop, func() { c.tell(callEvent{kind: eventHead}) })
	}
	if !c.command.Watch || c.from != s.version {
		text := s.list(c.from)
		for _, k := range s.wording(text, c.from == 0) {
			s.write(c, k.text, k.after)
		}
		c.from = s.version
	}
	if !c.command.Watch {
		c.sendAt = max(c.sendAt, s.now)
		s.after(c.sendAt-s.now+hop, func() { s.bytes(c, "", io.EOF) })
	}
}

func (s *simulation) write(c *simCall, text string, after time.Duration) {
	c.sendAt = max(c.sendAt, s.now) + after
	s.after(c.sendAt-s.now+hop, func() { s.bytes(c, text, nil) })
}

func (s *simulation) bytes(c *simCall, text string, end error) {
	if s.silent || c.silent || c.over || c.in.done {
		return
	}
	for _, e := range c.in.read([]byte(text), end) {
		c.tell(e)
	}
}

func (s *simulation) beat(c *simCall) {
	s.after(emptyLineInterval, func() {
		if !c.over && !c.silent {
			if !s.silent {
				s.write(c, "\n", 0)
			}
			s.beat(c)
		}
	})
}

func (s *simulation) list(from int) string {
	a := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "a", Weight: 1}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	b := endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: "b", Weight: 1}, Addr: netip.MustParseAddrPort("127.0.0.1:2")}
	if s.version >= 2 {
		a.State = balancer.Draining
	}
	if from == 0 {
		return nodetest.ListJSON(s.version, true, a, b)
	}
	return nodetest.ListJSON(s.version, false, a)
}

// each runs f on all calls that are out.
func (s *simulation) each(f func(c *simCall)) {
	for _, c := range slices.Clone(s.calls) {
		if !c.over {
			f(c)
		}
	}
}

func (s *simulation) drain() { s.version = 2; s.each(s.serve) }
func (s *simulation) reset() {
	s.each(func(c *simCall) { c.tell(callEvent{kind: eventEnd, err: io.ErrUnexpectedEOF}) })
}
func (s *simulation) silence() { s.each(func(c *simCall) { c.silent = true }) }

// latest is how long after a moment the last node learnt of the drain; -1: one never did.
func (s *simulation) latest(since time.Duration) time.Duration {
	latest := time.Duration(0)
	for _, n := range s.nodes {
		if n.toldAt == 0 {
			return -1
		}
		latest = max(latest, n.toldAt-since)
	}
	return latest
}
