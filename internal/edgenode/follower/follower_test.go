package follower

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
)

// inTime is what the rule on drains leaves from the moment that counts as reported: its grace and
// slack are 550 ms.
const inTime = 400 * time.Millisecond

// Where lists are pushed, what the agent has is with the node within the rule's time, whatever
// has become of the watch, in a fleet of any size.
func TestPushedListArrivesInTime(t *testing.T) {
	// Each watch says it badly; the whole list is good.
	spoil := func(how func(message string) []chunk) func(s *simulation) {
		return func(s *simulation) {
			s.wording = func(m string, whole bool) []chunk {
				if whole {
					return []chunk{{0, m + "\n"}}
				}
				return how(m)
			}
			s.drain()
		}
	}
	line := func(how func(message string) string) func(s *simulation) {
		return spoil(func(m string) []chunk { return []chunk{{0, how(m) + "\n"}} })
	}
	mute := func(d time.Duration, deaf bool) func(s *simulation) {
		return func(s *simulation) {
			s.silent = true
			s.run(d)
			if deaf {
				s.silence()
			}
			s.silent = false
			s.drain()
		}
	}
	for _, c := range []struct {
		name string
		do   func(s *simulation) // until the agent has the news
		late time.Duration       // that may pass besides inTime
	}{
		{"open watch", (*simulation).drain, 0},
		{"reset as it drains", func(s *simulation) { s.reset(); s.drain() }, 0},
		{"reset before", func(s *simulation) { s.reset(); s.run(time.Second); s.drain() }, 0},
		{"watches silent", func(s *simulation) { s.silence(); s.drain() }, reportedAfter},
		{"watches long silent", func(s *simulation) { s.silence(); s.run(reportedAfter); s.drain() }, 0},
		{"agent mute for 8 s", mute(8*time.Second, false), 0},
		{"agent mute for 8 s, and for ever on the calls of that time", mute(8*time.Second, true), 0},
		{"agent mute for 61 s", mute(61*time.Second, false), 0},
		{"agent gone for 20 s", func(s *simulation) {
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
		{"indented", func(s *simulation) {
			s.wording = func(m string, _ bool) []chunk {
				return []chunk{{0, strings.NewReplacer("{", "{\r\n  ", ",", ",\r\n  ", "}", "\r\n}").Replace(m) + "\r\n"}}
			}
			s.drain()
		}, 0},
		{"a byte at a time", func(s *simulation) {
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

// A new process has what the agent has before it takes clients, also where the cached list is of
// the same version, and then makes no calls while nothing is wrong.
func TestFirstListComesAtOnce(t *testing.T) {
	for version := 1; version <= 2; version++ {
		s := newSim(1, 350, true)
		s.version = version
		s.run(10 * time.Millisecond)
		select {
		case <-s.nodes[0].client.responded:
		default:
			t.Errorf("version %d: no list after 10 ms", version)
		}
		s.run(time.Hour)
		if n := len(s.calledAt); n != 2 {
			t.Errorf("version %d: %d calls in an hour without a fault, want a fetch and a watch", version, n)
		}
	}
}

// Where lists are asked for, all nodes of a fleet come back within the platform's time after
// their watches broke, and spread over it.
func TestPolledListArrivesInTimeWithoutAStorm(t *testing.T) {
	for _, fleet := range []int{1, 4, 350, 1024} {
		for fault, do := range map[string]func(s *simulation){
			"reset":   (*simulation).reset,
			"silence": (*simulation).silence,
			"malformed": func(s *simulation) {
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
			before := len(s.calledAt)
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
			for _, at := range s.calledAt[before:] {
				tenth := (at - broke) / (100 * time.Millisecond)
				tenths[tenth]++
				most = max(most, tenths[tenth])
			}
			if again := len(s.calledAt) - before; most > 5+fleet/7 || again > fleet {
				t.Errorf("%s, fleet of %d: %d calls, %d in the worst tenth of a second", fault, fleet, again, most)
			}
		}
	}
}

// Those that are rejected come again the more seldom the more they are, also where the
// settings say that an agent answers free: it has a line after all.
func TestRejectedNodesSpread(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, fleet := range []int{1, 4, 80, 350} {
			s := newSim(fleet, fleet, pushed)
			s.run(time.Second)
			s.rejects = true
			s.reset()
			s.run(10 * time.Second)
			before := len(s.calledAt)
			s.run(time.Minute)
			// Half a second between the calls of few nodes, ten seconds between those of a node of many.
			calls := len(s.calledAt) - before
			if perS := float64(calls) / 60; perS > max(3*float64(min(fleet, 10)), float64(fleet)/8) || calls < fleet {
				t.Errorf("%d nodes, pushed %v: %.1f calls a second", fleet, pushed, perS)
			}
			s.rejects = false
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
func TestPreviousWatchIsReadUntilTheNewAddressAnswers(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.run(5 * time.Second)
		old := s.calls[len(s.calls)-1]
		s.silent = true // what is called from now on
		n.client.moveTo(s.now, netip.MustParseAddrPort("127.0.0.1:2"))
		n.step()
		s.run(time.Second)
		old.tell(callEvent{kind: eventMessage, list: endpointlist.List{Generation: 900, Endpoints: []endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "a", State: balancer.Draining}}}}})
		if n.toldAt == 0 || n.client.follower.version == 900 {
			t.Errorf("pushed %v: a change from the previous discovery: told %v, version %d", pushed, n.toldAt, n.client.follower.version)
		}
		s.silent = false
		s.each(s.serve)
		s.run(time.Second)
		if !old.over || n.client.follower.version != 1 {
			t.Errorf("pushed %v: the previous discovery is watched on: %v, version %d", pushed, !old.over, n.client.follower.version)
		}
	}
}

// SIGHUP with the same address has the list read again where that is free, and costs nothing elsewhere.
func TestReloadOfTheSameAddressReadsTheListAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.run(5 * time.Second)
		before, want := len(s.calledAt), 0
		if pushed {
			want = 2 // a fetch, and a watch that goes on from it
		}
		n.client.moveTo(s.now, n.client.addr)
		n.step()
		s.run(time.Minute)
		if calls := len(s.calledAt) - before; calls != want {
			t.Errorf("pushed %v: %d calls, want %d", pushed, calls, want)
		}
	}
}

// A fetch may be overtaken: what a watch has told since must not be taken back.
func TestOvertakenFetchIsNotApplied(t *testing.T) {
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

// A list of which some stays malformed is read again, but not for ever at the same pace.
func TestMalformedListIsReadAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 1, pushed)
		s.wording = func(m string, _ bool) []chunk {
			return []chunk{{0, strings.Replace(m, `"weight":1`, `"weight":"x"`, 1) + "\n"}}
		}
		s.run(time.Second)
		s.drain()
		s.run(time.Hour)
		if n := len(s.calledAt); n < 10 || n > 200 {
			t.Errorf("pushed %v: %d calls in an hour", pushed, n)
		}
	}
}
