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

// maxDrainDelay is the longest permitted time from the delivery of a drain, as the protocol defines it, until
// the node applies it. The protocol allows 550 ms, grace and slack together, so this limit is stricter.
const maxDrainDelay = 400 * time.Millisecond

// A change that an agent has must reach the node within maxDrainDelay, whatever has happened to the watch
// and whatever the size of the fleet.
func TestPushedListArrivesInTime(t *testing.T) {
	// encodeChanges encodes the messages of watches with encode. Complete lists are well-formed.
	encodeChanges := func(encode func(message string) []chunk) func(s *simulation) {
		return func(s *simulation) {
			s.encode = func(m string, snapshot bool) []chunk {
				if snapshot {
					return []chunk{{0, m + "\n"}}
				}
				return encode(m)
			}
			s.startDrain()
		}
	}
	corruptLine := func(corrupt func(message string) string) func(s *simulation) {
		return encodeChanges(func(m string) []chunk { return []chunk{{0, corrupt(m) + "\n"}} })
	}
	// silentFor makes the agent silent for d. With loseCalls, the calls of that time stay silent afterwards.
	silentFor := func(d time.Duration, loseCalls bool) func(s *simulation) {
		return func(s *simulation) {
			s.silent = true
			s.advance(d)
			if loseCalls {
				s.silenceCalls()
			}
			s.silent = false
			s.startDrain()
		}
	}
	for _, c := range []struct {
		name  string
		run   func(s *simulation) // until the agent has the drain
		extra time.Duration       // permitted delay in addition to maxDrainDelay
	}{
		{"open watch", (*simulation).startDrain, 0},
		{"reset at the drain", func(s *simulation) { s.resetCalls(); s.startDrain() }, 0},
		{"reset before the drain", func(s *simulation) {
			s.resetCalls()
			s.advance(time.Second)
			s.startDrain()
		}, 0},
		{"watches silent at the drain", func(s *simulation) {
			s.silenceCalls()
			s.startDrain()
		}, deliveryLimit},
		{"watches silent long before the drain", func(s *simulation) {
			s.silenceCalls()
			s.advance(deliveryLimit)
			s.startDrain()
		}, 0},
		{"agent silent for 8 s", silentFor(8*time.Second, false), 0},
		{"agent silent for 8 s, and calls of that time never answered", silentFor(8*time.Second, true), 0},
		{"agent silent for 61 s", silentFor(61*time.Second, false), 0},
		{"agent refuses connections for 20 s", func(s *simulation) {
			s.dialErr = errors.New("refused")
			s.resetCalls()
			s.advance(20 * time.Second)
			s.dialErr = nil
			s.startDrain()
		}, 0},
		{"message truncated at its end", corruptLine(func(m string) string { return m[:len(m)-2] }), 0},
		{"message truncated in a name", corruptLine(func(m string) string { return m[:len(m)/2] }), 0},
		{"binary data", corruptLine(func(m string) string { return "\x00\x01" + m }), 0},
		{"malformed id", corruptLine(func(m string) string { return strings.Replace(m, `"a"`, `7`, 1) }), 0},
		{"malformed lifecycle", corruptLine(func(m string) string { return strings.Replace(m, `"draining"`, `[`, 1) }), 0},
		{"indented", func(s *simulation) {
			s.encode = func(m string, _ bool) []chunk {
				return []chunk{{0, strings.NewReplacer("{", "{\r\n  ", ",", ",\r\n  ", "}", "\r\n}").Replace(m) + "\r\n"}}
			}
			s.startDrain()
		}, 0},
		{"one byte at a time", func(s *simulation) {
			s.encode = func(m string, _ bool) (parts []chunk) {
				for i := range m {
					parts = append(parts, chunk{0, m[i : i+1]})
				}
				return append(parts, chunk{0, "\n"})
			}
			s.startDrain()
		}, 0},
		{"pause within the message", encodeChanges(func(m string) []chunk {
			return []chunk{{0, m[:20]}, {2 * time.Second, m[20:] + "\n"}}
		}), 0},
	} {
		for _, fleet := range []int{1, 350} {
			s := newSim(min(fleet, 4), fleet, true) // nodes do not affect each other: each has its own agent
			s.advance(5500 * time.Millisecond)
			if s.drainDelay(0) != -1 {
				t.Fatal("a node learned of a drain that has not begun")
			}
			c.run(s)
			available := s.now
			s.advance(c.extra + time.Minute)
			if delay := s.drainDelay(available); delay < 0 || delay > maxDrainDelay+c.extra {
				t.Errorf("%s, fleet of %d: last node learned of the drain after %v, want at most %v",
					c.name, fleet, delay, maxDrainDelay+c.extra)
			}
		}
	}
}

// A new process gets the agent's list at once, even if its cached list has the same generation, because it
// accepts clients only after that. It then makes no further calls as long as there is no fault.
func TestFirstListArrivesAtOnce(t *testing.T) {
	for generation := 1; generation <= 2; generation++ {
		s := newSim(1, 350, true)
		s.generation = generation
		s.advance(10 * time.Millisecond)
		select {
		case <-s.nodes[0].client.responded:
		default:
			t.Errorf("generation %d: no list after 10 ms", generation)
		}
		s.advance(time.Hour)
		if n := len(s.callTimes); n != 2 {
			t.Errorf("generation %d: %d calls in an hour without a fault, want 2: a fetch and a watch",
				generation, n)
		}
	}
}

// After the watches of a whole fleet have broken, all nodes must get the changes from the service in time,
// and their calls must be spread over that time.
func TestPolledListArrivesInTimeWithoutCallStorm(t *testing.T) {
	for _, fleet := range []int{1, 4, 350, 1024} {
		for fault, begin := range map[string]func(s *simulation){
			"reset":   (*simulation).resetCalls,
			"silence": (*simulation).silenceCalls,
			"malformed": func(s *simulation) {
				s.encode = func(m string, snapshot bool) []chunk {
					if !snapshot {
						m = m[:30] + "\n"
					}
					return []chunk{{0, m + "\n"}}
				}
			},
		} {
			s := newSim(fleet, fleet, false)
			s.advance(5500 * time.Millisecond)
			before := len(s.callTimes)
			if before != fleet {
				t.Errorf("%d calls by %d nodes with working watches, want one by each node", before, fleet)
			}
			begin(s)
			s.startDrain()
			broke := s.now
			s.advance(20 * time.Second)
			if delay := s.drainDelay(broke); delay < 0 || delay > deliveryLimit+maxDrainDelay {
				t.Errorf("%s, fleet of %d: last node learned of the drain %v after the fault, want at most %v",
					fault, fleet, delay, deliveryLimit+maxDrainDelay)
			}
			most, callsPerTenth := 0, map[time.Duration]int{}
			for _, at := range s.callTimes[before:] {
				tenth := (at - broke) / (100 * time.Millisecond)
				callsPerTenth[tenth]++
				most = max(most, callsPerTenth[tenth])
			}
			if calls := len(s.callTimes) - before; most > 5+fleet/7 || calls > fleet {
				t.Errorf("%s, fleet of %d: %d calls, want at most %d; %d within 100 ms, want at most %d",
					fault, fleet, calls, fleet, most, 5+fleet/7)
			}
		}
	}
}

// Nodes that are rejected call less often the larger the fleet is. This also holds if the settings say that
// an agent pushes the list: an agent that rejects calls evidently has a queue.
func TestRejectedNodesSpreadTheirCalls(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, fleet := range []int{1, 4, 80, 350} {
			s := newSim(fleet, fleet, pushed)
			s.advance(time.Second)
			s.rejects = true
			s.resetCalls()
			s.advance(10 * time.Second)
			before := len(s.callTimes)
			s.advance(time.Minute)
			// The mean interval of a node's calls is 0.5 s in a small fleet and 10 s in a large one. The
			// limits leave a margin.
			calls := len(s.callTimes) - before
			if perS := float64(calls) / 60; perS > max(3*float64(min(fleet, 10)), float64(fleet)/8) || calls < fleet {
				t.Errorf("%d nodes, pushed %v: %d calls in a minute, %.1f a second",
					fleet, pushed, calls, perS)
			}
			s.rejects = false
			s.startDrain()
			accepting := s.now
			s.advance(time.Minute)
			if delay := s.drainDelay(accepting); delay < 0 || delay > 2*defaultPollInterval+CallTimeout {
				t.Errorf("%d nodes, pushed %v: last node learned of the drain %v after the rejections, want at most %v",
					fleet, pushed, delay, 2*defaultPollInterval+CallTimeout)
			}
		}
	}
}

// When the address of discovery changes, changes from the previous watch are applied until the new address
// responds.
func TestPreviousWatchIsReadUntilTheNewAddressResponds(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.advance(5 * time.Second)
		old := s.calls[len(s.calls)-1]
		s.silent = true // the new address does not respond
		n.client.setAddress(s.now, netip.MustParseAddrPort("127.0.0.1:2"))
		n.step()
		s.advance(time.Second)
		old.deliver(callEvent{kind: eventMessage, list: endpointlist.List{
			Generation: 900,
			Endpoints:  []endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "a", State: balancer.Draining}}},
		}})
		if n.drainSeenAt == 0 || n.client.follower.generation == 900 {
			t.Errorf("pushed %v: drain from the previous address applied at %v, generation %d; "+
				"want not 0, not 900", pushed, n.drainSeenAt, n.client.follower.generation)
		}
		s.silent = false
		s.forEachCall(s.respond)
		s.advance(time.Second)
		if !old.closed || n.client.follower.generation != 1 {
			t.Errorf("pushed %v: previous watch is open: %v, generation %d; want closed, 1",
				pushed, !old.closed, n.client.follower.generation)
		}
	}
}

// A reload with the same address reads the list again from an agent, where that costs nothing, but not from
// a service.
func TestReloadOfTheSameAddressReadsTheListAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 350, pushed)
		n := s.nodes[0]
		s.advance(5 * time.Second)
		before, want := len(s.callTimes), 0
		if pushed {
			want = 2 // a fetch, and a watch from its generation
		}
		n.client.setAddress(s.now, n.client.addr)
		n.step()
		s.advance(time.Minute)
		if calls := len(s.callTimes) - before; calls != want {
			t.Errorf("pushed %v: %d calls, want %d", pushed, calls, want)
		}
	}
}

// Guards against a stale list: a watch may deliver a newer generation while a fetch is open. The fetch's
// older list must not replace it.
func TestStaleFetchIsNotApplied(t *testing.T) {
	f := New(Config{Pushed: true, FleetSize: 1, Rand: rand.New(rand.NewPCG(1, 1)), Generation: 4})
	f.Start(0)
	f.Advance(0)
	fetch := f.fetch.id
	f.Advance(pushedMessageTimeout - 1)
	f.Received(pushedMessageTimeout-1, fetch, true)
	f.Advance(pushedMessageTimeout)
	watch := f.watch.id
	if fetch == 0 || watch == 0 || f.fetch.id != fetch {
		t.Fatalf("fetch %d and watch %d, want both open", fetch, watch)
	}
	if !f.Message(pushedMessageTimeout+1, watch, Update{Generation: 6}) {
		t.Error("the watch's message is not applied")
	}
	if f.Message(pushedMessageTimeout+2, fetch, Update{Generation: 5, Snapshot: true}) ||
		f.generation != 6 || f.watch.id != watch {
		t.Errorf("an older list is applied: generation %d, want 6", f.generation)
	}
	if f.Message(pushedMessageTimeout+3, fetch, Update{Generation: 9, Snapshot: true}) {
		t.Error("a message of a closed call is applied")
	}
}

// A list that stays malformed is read again, but at growing intervals.
func TestMalformedListIsReadAgain(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		s := newSim(1, 1, pushed)
		s.encode = func(m string, _ bool) []chunk {
			return []chunk{{0, strings.Replace(m, `"weight":1`, `"weight":"x"`, 1) + "\n"}}
		}
		s.advance(time.Second)
		s.startDrain()
		s.advance(time.Hour)
		if n := len(s.callTimes); n < 10 || n > 200 {
			t.Errorf("pushed %v: %d calls in an hour, want 10 to 200", pushed, n)
		}
	}
}
