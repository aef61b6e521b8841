package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Rule 4: all gateways together must keep a cold server within the budget, also when there are hundreds that
// each would send it one request, when nothing is known of its size, and when all servers are cold.
func TestColdServerIsSpared(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.NodeCount = n
		work, sent := 0.0, 0
		for me := 0; me < n; me++ {
			s.NodeIndex = me
			g, err := New(s, uint64(me))
			if err != nil {
				t.Fatal(err)
			}
			r := &recorder{}
			g.Start(t0, r)
			g.EndpointsUpdated(t0, UpdateSnapshot, []Endpoint{{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0 - ms}}, r)
			for at := time.Duration(0); at < s.OverloadWindow; at += 50 * ms {
				sent += flood(g, r, t0+at, 2, newRequest(int(at/ms), "safe", "rate", 1))
			}
			work = float64(sent) * g.latency.work(0)
		}
		// One core's work, the least that a server can do when warm, is what the budget is taken of.
		share := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
		budget := s.OverloadFactor * share * s.OverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d gateways sent %d requests of work %.2f to a cold server, budget %.2f", n, sent, work, budget)
		}
	}
}

// A connection that does not come up may mean a restart that the list tells later. One that
// broke does not: connections break one by one as well, and all servers would count as cold.
func TestRefusedConnectionCountsAsStart(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, Reset: false, ErrorResponse: false} {
		g, r := newGate(t, testSettings(), fleet(1)...)
		g.RequestArrived(t0, newRequest(1, "unsafe", "rate", 1), r)
		g.AttemptFinished(t0+ms, Outcome{ID: "r1", Result: res, EndpointID: "s0"}, r)
		if got := g.warmUpFraction(g.endpoints.tracked[0]) < 1; got != cold {
			t.Errorf("after result %d: cold %v, want %v", res, got, cold)
		}
		r.acts = nil
		if n := flood(g, r, t0+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d sent after the refused connection, want 1 at most", n)
		}
	}
}

// What all gateways together send to a cold server must stay within its budget while their subsets change: the
// list shrinks to an eighth, and with it each server comes into more subsets.
func TestColdBudgetHoldsWhileSubsetsChange(t *testing.T) {
	const nodes, servers, steps, goneEach = 60, 160, 10, 14
	list := manyServers(servers)
	for i := range list {
		list[i].State = Draining // listed, but nothing else takes work
	}
	cold := Endpoint{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0 + time.Second}
	gates := wholeFleet(t, nodes, list)
	now, sends := t0+time.Second, 0
	for _, g := range gates {
		g.EndpointsUpdated(now, UpdateDelta, []Endpoint{cold}, &recorder{})
	}
	before := len(holders(gates, "cold"))
	for step := range steps {
		now += controlInterval
		for _, g := range gates {
			r := &recorder{}
			g.TimerFired(now, timerControlInterval, r)
			for gone := step * goneEach; gone < (step+1)*goneEach; gone++ {
				e := list[gone]
				e.State = Removed
				g.EndpointsUpdated(now, UpdateDelta, []Endpoint{e}, r)
			}
			for n := range 40 { // all that is let through goes there
				q := newRequest(step*100+n, "safe", "rate", uint64(n))
				g.RequestArrived(now, q, r)
				if req := g.requests.byID[q.ID]; req != nil && req.attempts[0].endpoint.ID == "cold" {
					sends++
				}
				g.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: 200 * ms}, r)
			}
		}
	}
	if after := len(holders(gates, "cold")); after < 2*before {
		t.Fatalf("in %d subsets, then in %d: the list does not shrink enough", before, after)
	}
	s := gates[0].settings
	share := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*1/s.SlowStartDuration.Seconds()
	allowed := s.OverloadFactor * share * s.OverloadWindow.Seconds() / gates[0].latency.work(2)
	if most := allowed + 2*math.Sqrt(allowed) + 2; sends == 0 || float64(sends) > most {
		t.Errorf("%d requests to a cold server in a second, at most %.1f", sends, most)
	}
}

// A gateway whose subset comes to hold a server that is cold already must not begin with something saved up: the
// others have had the whole of its budget so far.
func TestColdServerThatEntersASubsetStartsFromNothing(t *testing.T) {
	const nodes, servers, left = 60, 90, 20
	list := manyServers(servers)
	cold := Endpoint{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0}
	gates := wholeFleet(t, nodes, append(slices.Clone(list), cold))
	first := holders(gates, "cold")
	for _, g := range gates {
		for _, e := range list[left:] {
			e.State = Removed
			g.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, &recorder{})
		}
		g.TimerFired(t0, timerControlInterval, &recorder{})
	}
	entered := 0
	for _, g := range holders(gates, "cold") {
		credit := g.endpoints.trackedByID["cold"].slowStart.tokens
		if slices.Contains(first, g) {
			continue
		}
		entered++
		if credit != 0 {
			t.Errorf("gateway %d enters with %v", g.settings.NodeIndex, credit)
		}
	}
	if entered == 0 {
		t.Error("no subset has come to hold the server")
	}
}
