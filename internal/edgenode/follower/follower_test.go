package follower

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// sim is a discovery and edge nodes that follow its list, on a clock of their own. The list has
// server a, which drains at version 2, and b.
type sim struct {
	now   time.Duration
	queue []todo
	seq   int

	version int
	mute    bool  // takes calls and says nothing, also on open watches
	refuse  error // to those who call
	full    bool  // turns calls away
	wording func(message string, whole bool) []chunk

	nodes []*simNode
	calls []*simCall
	taken []time.Duration // when a call came
}

type todo struct {
	at  time.Duration
	seq int
	do  func()
}

// chunk is some text of a message, and how long after the one before it comes.
type chunk struct {
	after time.Duration
	text  string
}

// simNode is an edge node: the registry without its sockets.
type simNode struct {
	sim  *sim
	reg  *Client
	wake int           // number of the latest wake-up asked for
	told time.Duration // when it learnt that a drains; 0: it has not
}

// simCall is a call as discovery sees it.
type simCall struct {
	node   *simNode
	order  Command
	in     messageReader
	over   bool
	deaf   bool // nothing comes on it any more
	head   bool // is answered
	from   int
	sendAt time.Duration // when what was written last arrives
}

const hop = time.Millisecond

func newSim(nodes, fleet int, pushed bool) *sim {
	s := &sim{version: 1, wording: func(message string, _ bool) []chunk { return []chunk{{0, message + "\n"}} }}
	for i := range nodes {
		n := &simNode{sim: s}
		n.reg = NewClient(netip.MustParseAddrPort("127.0.0.1:1"), New(Config{
			Pushed: pushed, FleetSize: fleet, PollInterval: defaultPollInterval,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)), Version: 1,
		}), n.apply, slog.New(slog.DiscardHandler))
		s.nodes = append(s.nodes, n)
		s.after(hop+time.Duration(i)*time.Millisecond/10, func() { n.reg.follower.Start(s.now); n.step() })
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	t := todo{s.now + d, s.seq, do}
	at, _ := slices.BinarySearchFunc(s.queue, t, func(a, b todo) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	s.queue = slices.Insert(s.queue, at, t)
}

// run lets so much time pass.
func (s *sim) run(d time.Duration) {
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
		if e.ID == "a" && e.State == balancer.Draining && n.told == 0 {
			n.told = n.sim.now
		}
	}
}

// step carries out the follower's orders.
func (n *simNode) step() {
	do, wake := n.reg.follower.Advance(n.sim.now)
	for _, o := range do {
		if !o.Open {
			closeCall(n.reg.calls, o.ID)
			continue
		}
		c := &simCall{node: n, order: o, from: int(o.From)}
		n.reg.calls[o.ID] = func() { c.over = true }
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
	e.id = c.order.ID
	c.over = e.kind == eventEnd || e.kind == eventRejected || e.kind == eventMalformed
	c.node.reg.handleEvent(c.node.sim.now, e)
	c.node.step()
}

// call is a call's arrival.
func (s *sim) call(c *simCall) {
	if c.over {
		return
	}
	s.taken = append(s.taken, s.now)
	switch {
	case s.refuse != nil:
		s.after(hop, func() { c.tell(callEvent{kind: eventEnd, err: s.refuse}) })
	case s.full:
		s.after(hop, func() { c.tell(callEvent{kind: eventRejected}) })
	default:
		s.calls = append(s.calls, c)
		s.serve(c)
		if c.order.Watch {
			s.beat(c)
		}
	}
}

// serve writes what a call has not been told.
func (s *sim) serve(c *simCall) {
	if s.mute || c.deaf || c.over {
		return
	}
	if !c.head {
		c.head = true
		s.after(hop, func() { c.tell(callEvent{kind: eventHead}) })
	}
	if !c.order.Watch || c.from != s.version {
		text := s.list(c.from)
		for _, k := range s.wording(text, c.from == 0) {
			s.write(c, k.text, k.after)
		}
		c.from = s.version
	}
	if !c.order.Watch {
		c.sendAt = max(c.sendAt, s.now)
		s.after(c.sendAt-s.now+hop, func() { s.bytes(c, "", io.EOF) })
	}
}

func (s *sim) write(c *simCall, text string, after time.Duration) {
	c.sendAt = max(c.sendAt, s.now) + after
	s.after(c.sendAt-s.now+hop, func() { s.bytes(c, text, nil) })
}

func (s *sim) bytes(c *simCall, text string, end error) {
	if s.mute || c.deaf || c.over || c.in.done {
		return
	}
	for _, e := range c.in.read([]byte(text), end) {
		c.tell(e)
	}
}

func (s *sim) beat(c *simCall) {
	s.after(emptyLineInterval, func() {
		if !c.over && !c.deaf {
			if !s.mute {
				s.write(c, "\n", 0)
			}
			s.beat(c)
		}
	})
}

func (s *sim) list(from int) string {
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
func (s *sim) each(f func(c *simCall)) {
	for _, c := range slices.Clone(s.calls) {
		if !c.over {
			f(c)
		}
	}
}

func (s *sim) drain() { s.version = 2; s.each(s.serve) }
func (s *sim) reset() {
	s.each(func(c *simCall) { c.tell(callEvent{kind: eventEnd, err: io.ErrUnexpectedEOF}) })
}
func (s *sim) silence() { s.each(func(c *simCall) { c.deaf = true }) }

// latest is how long after a moment the last node learnt of the drain; -1: one never did.
func (s *sim) latest(since time.Duration) time.Duration {
	latest := time.Duration(0)
	for _, n := range s.nodes {
		if n.told == 0 {
			return -1
		}
		latest = max(latest, n.told-since)
	}
	return latest
}

// inTime is what the rule on drains leaves from the moment that counts as told: its grace and
// slack are 550 ms.
const inTime = 400 * time.Millisecond

// Where lists are pushed, what the agent has is with the node within the rule's time, whatever
// has become of the watch, in a fleet of any size.
func TestPushedListIsHadInTime(t *testing.T) {
	// Each watch says it badly; the whole list is good.
	spoil := func(how func(message string) []chunk) func(s *sim) {
		return func(s *sim) {
			s.wording = func(m string, whole bool) []chunk {
				if whole {
					return []chunk{{0, m + "\n"}}
				}
				return how(m)
			}
			s.drain()
		}
	}
	line := func(how func(message string) string) func(s *sim) {
		return spoil(func(m string) []chunk { return []chunk{{0, how(m) + "\n"}} })
	}
	mute := func(d time.Duration, deaf bool) func(s *sim) {
		return func(s *sim) {
			s.mute = true
			s.run(d)
			if deaf {
				s.silence()
			}
			s.mute = false
			s.drain()
		}
	}
	for _, c := range []struct {
		name string
		do   func(s *sim)  // until the agent has the news
		late time.Duration // that may pass besides inTime
	}{
		{"open watch", (*sim).drain, 0},
		{"reset as it drains", func(s *sim) { s.reset(); s.drain() }, 0},
		{"reset before", func(s *sim) { s.reset(); s.run(time.Second); s.drain() }, 0},
		{"watches silent", func(s *sim) { s.silence(); s.drain() }, reportedAfter},
		{"watches long silent", func(s *sim) { s.silence(); s.run(reportedAfter); s.drain() }, 0},
		{"agent mute for 8 s", mute(8*time.Second, false), 0},
		{"agent mute for 8 s, and for ever on the calls of that time", mute(8*time.Second, true), 0},
		{"agent mute for 61 s", mute(61*time.Second, false), 0},
		{"agent gone for 20 s", func(s *sim) {
			s.refuse = errors.New("refused")
			s.reset()
			s.run(20 * time.Second)
			s.refuse = nil
			s.drain()
		}, 0},
		{"message not ended", line(func(m string) string { return m[:len(m)-2] }), 0},
		{"message cut in a name", line(func(m string) string { return m[:len(m)/2] }), 0},
		{"noise", line(func(m string) string { return "\x00\x01" + m }), 0},
		{"entry without an id", line(func(m string) string { return strings.Replace(m, `"a"`, `7`, 1) }), 0},
		{"state that can't be read", line(func(m string) string { return strings.Replace(m, `"draining"`, `[`, 1) }), 0},
		{"indented", func(s *sim) {
			s.wording = func(m string, _ bool) []chunk {
				return []chunk{{0, strings.NewReplacer("{", "{\r\n  ", ",", ",\r\n  ", "}", "\r\n}").Replace(m) + "\r\n"}}
			}
			s.drain()
		}, 0},
		{"a byte at a time", func(s *sim) {
			s.wording = func(m string, _ bool) (all []chunk) {
				for i := range m {
					all = append(all, chunk{0, m[i : i+1]})
				}
				return append(all, chunk{0, "\n"})
			}
			s.drain()
		}, 0},
		{"halting in the middle", spoil(func(m string) []chunk { return []chunk{{0, m[:20]}, {2 * time.Second, m[20:] + "\n"}} }), 0},
	} {
		for _, fleet := range []int{1, 350} {
			s := newSim(min(fleet, 4), fleet, true) // each node has an agent of its own
			s.run(5500 * time.Millisecond)
			if s.latest(0) != -1 {
				t.Fatal("told of a drain that has not begun")
			}
			c.do(s)
			told := s.now
			s.run(c.late + time.Minute)
			if late := s.latest(told); late < 0 || late > inTime+c.late {
				t.Errorf("%s, fleet of %d: the last node has it after %v", c.name, fleet, late)
			}
		}
	}
}

// A new process has what the agent has before it takes clients, also where the saved list is of
// the same version, and then makes no calls while nothing is wrong.
func TestFirstListComesAtOnce(t *testing.T) {
	for version := 1; version <= 2; version++ {
		s := newSim(1, 350, true)
		s.version = version
		s.run(10 * time.Millisecond)
		select {
		case <-s.nodes[0].reg.responded:
		default:
			t.Errorf("version %d: no list after 10 ms", version)
		}
		s.run(time.Hour)
		if n := len(s.taken); n != 2 {
			t.Errorf("version %d: %d calls in an hour without a fault, want a fetch and a watch", version, n)
		}
	}
}

// Where lists are asked for, all nodes of a fleet come back within the platform's time after
// their watches broke, and spread over it.
func TestAskedListIsHadInTimeAndWithoutAStorm(t *testing.T) {
	for _, fleet := range []int{1, 4, 350, 1024} {
		for fault, do := range map[string]func(s *sim){
			"reset":   (*sim).reset,
			"silence": (*sim).silence,
			"malformed": func(s *sim) {
				s.wording = func(m string, whole bool) []chunk {
					if !whole {
						m = m[:30] + "\n"
					}
					return []chunk{{0, m + "\n"}}
				}
			},
		} {
			s := newSim(fleet, fleet, false)
			s.run(5500 * time.Millisecond)
			before := len(s.taken)
			if before != fleet {
				t.Errorf("%d calls of %d nodes whose watches work", before, fleet)
			}
			do(s)
			s.drain()
			broke := s.now
			s.run(20 * time.Second)
			if late := s.latest(broke); late < 0 || late > reportedAfter+inTime {
				t.Errorf("%s, fleet of %d: the last node has it %v after its watch broke", fault, fleet, late)
			}
			most, tenths := 0, map[time.Duration]int{}
			for _, at := range s.taken[before:] {
				tenth := (at - broke) / (100 * time.Millisecond)
				tenths[tenth]++
				most = max(most, tenths[tenth])
			}
			if again := len(s.taken) - before; most > 5+fleet/7 || again > fleet {
				t.Errorf("%s, fleet of %d: %d calls, %d in the worst tenth of a second", fault, fleet, again, most)
			}
		}
	}
}

// Those that are turned away come again the more seldom the more they are, also where the
// settings say that an agent answers free: it has a line after all.
func TestTurnedAwayNodesSpread(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, fleet := range []int{1, 4, 80, 350} {
			s := newSim(fleet, fleet, pushed)
			s.run(time.Second)
			s.full = true
			s.reset()
			s.run(10 * time.Second)
			before := len(s.taken)
			s.run(time.Minute)
			// Half a second between the calls of few nodes, ten seconds between those of a node of many.
			calls := len(s.taken) - before
			if perS := float64(calls) / 60; perS > max(3*float64(min(fleet, 10)), float64(fleet)/8) || calls < fleet {
				t.Errorf("%d nodes, pushed %v: %.1f calls a second", fleet, pushed, perS)
			}
			s.full = false
			s.drain()
			back := s.now
			s.run(time.Minute)
			if late := s.latest(back); late < 0 || late > 2*defaultPollInterval+MaxCallDuration {
				t.Errorf("%d nodes, pushed %v: the last one has it %v after there is room", fleet, pushed, late)
			}
		}
	}
}

// Where the watch moves, the one before is heard until the new discovery answers.
func TestMovedWatchIsHeardMeanwhile(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.run(5 * time.Second)
		old := s.calls[len(s.calls)-1]
		s.mute = true // what is called from now on
		n.reg.moveTo(s.now, netip.MustParseAddrPort("127.0.0.1:2"))
		n.step()
		s.run(time.Second)
		old.tell(callEvent{kind: eventMessage, list: endpointlist.List{Generation: 900, Endpoints: []endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "a", State: balancer.Draining}}}}})
		if n.told == 0 || n.reg.follower.version == 900 {
			t.Errorf("pushed %v: news of the discovery that is left: told %v, version %d", pushed, n.told, n.reg.follower.version)
		}
		s.mute = false
		s.each(s.serve)
		s.run(time.Second)
		if !old.over || n.reg.follower.version != 1 {
			t.Errorf("pushed %v: the discovery that is left is watched on: %v, version %d", pushed, !old.over, n.reg.follower.version)
		}
	}
}

// SIGHUP with the same address has the list read again where that is free, and costs nothing elsewhere.
func TestReloadOfTheSameAddressReadsTheListAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.run(5 * time.Second)
		before, want := len(s.taken), 0
		if pushed {
			want = 2 // a fetch, and a watch that goes on from it
		}
		n.reg.moveTo(s.now, n.reg.addr)
		n.step()
		s.run(time.Minute)
		if calls := len(s.taken) - before; calls != want {
			t.Errorf("pushed %v: %d calls, want %d", pushed, calls, want)
		}
	}
}

// A fetch may be overtaken: what a watch has told since must not be taken back.
func TestOvertakenFetchIsNotTaken(t *testing.T) {
	f := New(Config{Pushed: true, FleetSize: 1, Rand: rand.New(rand.NewPCG(1, 1)), Version: 4})
	f.Start(0)
	f.Advance(0)
	fetch := f.fetch.id
	f.Advance(pushedMessageTimeout - 1)
	f.Received(pushedMessageTimeout-1, fetch, true)
	f.Advance(pushedMessageTimeout)
	watch := f.watch.id
	if fetch == 0 || watch == 0 || f.fetch.id != fetch {
		t.Fatalf("fetch %d, watch %d are not both out", fetch, watch)
	}
	if !f.Message(pushedMessageTimeout+1, watch, Update{Version: 6}) {
		t.Error("the watch's message is not taken")
	}
	if f.Message(pushedMessageTimeout+2, fetch, Update{Version: 5, Snapshot: true}) || f.version != 6 || f.watch.id != watch {
		t.Errorf("an older list is taken: version %d", f.version)
	}
	if f.Message(pushedMessageTimeout+3, fetch, Update{Version: 9, Snapshot: true}) {
		t.Error("a call that is over is heard")
	}
}

// A list of which some stays spoilt is read again, but not for ever at the same pace.
func TestSpoiltListIsReadAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 1, pushed)
		s.wording = func(m string, _ bool) []chunk {
			return []chunk{{0, strings.Replace(m, `"weight":1`, `"weight":"x"`, 1) + "\n"}}
		}
		s.run(time.Second)
		s.drain()
		s.run(time.Hour)
		if n := len(s.taken); n < 10 || n > 200 {
			t.Errorf("pushed %v: %d calls in an hour", pushed, n)
		}
	}
}
