package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// All nodes together keep a cold endpoint within its budget, also when there are hundreds that each would
// send it one request, when nothing is known of its size, and when all endpoints are cold.
func TestSlowStartBoundsSumOfNodes(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.NodeCount = n
		work, sent := 0.0, 0
		for me := 0; me < n; me++ {
			s.NodeIndex = me
			b, err := New(s, uint64(me))
			if err != nil {
				t.Fatal(err)
			}
			r := &hostRecorder{}
			b.Start(testStart, r)
			b.EndpointsUpdated(testStart, UpdateSnapshot, []Endpoint{{
				ID: coldID, MachineType: "k", Zone: "a",
				StartedAt: testStart - ms,
			}}, r)
			for at := time.Duration(0); at < s.OverloadWindow; at += 50 * ms {
				sent += sendBurst(b, r, testStart+at, 2, newRequest(int(at/ms), "safe", "rate", 1))
			}
			work = float64(sent) * b.latency.work(0)
		}
		// The budget is a part of one core's work, the least that a warm endpoint can do.
		share := s.SlowStartInitialFraction +
			(1-s.SlowStartInitialFraction)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
		budget := s.OverloadFactor * share * s.OverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d nodes sent %d requests of work %.2f to a cold endpoint, budget %.2f", n, sent,
				work, budget)
		}
	}
}

// A connection that does not come up may mean a restart that the list reports later. One that broke does
// not: connections break one by one as well, and all endpoints would count as cold.
func TestFailedConnectionCountsAsRestart(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, Reset: false, ErrorResponse: false} {
		b, r := newTestBalancer(t, testSettings(), equalEndpoints(1)...)
		b.RequestArrived(testStart, newRequest(1, "unsafe", "rate", 1), r)
		b.AttemptFinished(testStart+ms, Outcome{ID: "r1", Result: res, EndpointID: "s0"}, r)
		if got := b.warmUpFraction(b.endpoints.tracked[0]) < 1; got != cold {
			t.Errorf("after result %d: cold %v, want %v", res, got, cold)
		}
		r.actions = nil
		if n := sendBurst(b, r, testStart+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d sent after the refused connection, want 1 at most", n)
		}
	}
}

// What all nodes together send to a cold endpoint stays within its budget while their subsets change: the
// list shrinks to an eighth, and with that each endpoint enters more subsets.
func TestSlowStartBudgetHoldsWhileSubsetsChange(t *testing.T) {
	const nodes, endpoints, steps, goneEach = 60, 160, 10, 14
	list := testEndpoints(endpoints)
	for i := range list {
		list[i].State = Draining // listed, but no other accepts requests
	}
	cold := Endpoint{ID: coldID, MachineType: "k", Zone: "a", StartedAt: testStart + time.Second}
	balancers := newFleet(t, nodes, list)
	now, sends := testStart+time.Second, 0
	for _, b := range balancers {
		b.EndpointsUpdated(now, UpdateDelta, []Endpoint{cold}, &hostRecorder{})
	}
	before := len(nodesWithCold(balancers))
	for step := range steps {
		now += controlInterval
		for _, b := range balancers {
			r := &hostRecorder{}
			b.TimerFired(now, timerControlInterval, r)
			for gone := step * goneEach; gone < (step+1)*goneEach; gone++ {
				e := list[gone]
				e.State = Removed
				b.EndpointsUpdated(now, UpdateDelta, []Endpoint{e}, r)
			}
			for n := range 40 { // all that is admitted goes there
				q := newRequest(step*100+n, "safe", "rate", uint64(n))
				b.RequestArrived(now, q, r)
				if req := b.requests.byID[q.ID]; req != nil && req.attempts[0].endpoint.ID == coldID {
					sends++
				}
				b.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: 200 * ms}, r)
			}
		}
	}
	if after := len(nodesWithCold(balancers)); after < 2*before {
		t.Fatalf("in %d subsets, then in %d: the list does not shrink enough", before, after)
	}
	s := balancers[0].settings
	share := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*1/s.SlowStartDuration.Seconds()
	allowed := s.OverloadFactor * share * s.OverloadWindow.Seconds() / balancers[0].latency.work(2)
	if most := allowed + 2*math.Sqrt(allowed) + 2; sends == 0 || float64(sends) > most {
		t.Errorf("%d requests to a cold endpoint in a second, at most %.1f", sends, most)
	}
}

// A node whose subset comes to hold an endpoint that is cold already begins without tokens: the others have
// shared its whole budget so far.
func TestColdEndpointEntersSubsetWithoutTokens(t *testing.T) {
	const nodes, endpoints, left = 60, 90, 20
	list := testEndpoints(endpoints)
	cold := Endpoint{ID: coldID, MachineType: "k", Zone: "a", StartedAt: testStart}
	balancers := newFleet(t, nodes, append(slices.Clone(list), cold))
	first := nodesWithCold(balancers)
	for _, b := range balancers {
		for _, e := range list[left:] {
			e.State = Removed
			b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, &hostRecorder{})
		}
		b.TimerFired(testStart, timerControlInterval, &hostRecorder{})
	}
	entered := 0
	for _, b := range nodesWithCold(balancers) {
		credit := b.endpoints.trackedByID[coldID].slowStart.tokens
		if slices.Contains(first, b) {
			continue
		}
		entered++
		if credit != 0 {
			t.Errorf("node %d enters with %v", b.settings.NodeIndex, credit)
		}
	}
	if entered == 0 {
		t.Error("no subset has come to hold the endpoint")
	}
}

func TestWarmUpCurve(t *testing.T) {
	curve := warmUpCurve{initialFraction: 0.2, duration: 10 * time.Second}
	for _, test := range []struct {
		name      string
		curve     warmUpCurve
		startedAt time.Duration
		want      float64
	}{
		{"started long ago", curve, 0, 1},
		{"just started", curve, testStart, 0.2},
		{"clock ahead", curve, testStart + time.Second, 0.2},
		{"halfway", curve, testStart - 5*time.Second, 0.6},
		{"at the end", curve, testStart - 10*time.Second, 1},
		{"no warm-up", warmUpCurve{}, testStart, 1},
		{"nothing at the start", warmUpCurve{duration: time.Second}, testStart, minWarmUpFraction},
		{"all at the start", warmUpCurve{initialFraction: 1, duration: time.Second}, testStart, 1},
	} {
		if got := test.curve.fraction(test.startedAt, testStart); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A budget begins at random below one request, grows at its rate up to its limit, and is spent by requests.
func TestSlowStartBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	budget := slowStartBudget{tokens: warmedUp}
	if !budget.allows(false) || budget.bounded() {
		t.Error("a warm endpoint is bounded")
	}
	budget.accrue(testStart, 10, 2, rng)
	begin := budget.tokens
	if begin < 0 || begin >= 1 || budget.allows(true) {
		t.Errorf("begins with %v tokens", begin)
	}
	budget.accrue(testStart+100*ms, 10, 2, rng)
	if got := budget.tokens; math.Abs(got-begin-1) > 1e-9 || !budget.allows(true) || budget.allows(false) {
		t.Errorf("%v tokens after 100 ms at 10 a second, from %v", got, begin)
	}
	if budget.withdraw(); math.Abs(budget.tokens-begin) > 1e-9 {
		t.Errorf("%v tokens after a request, want %v", budget.tokens, begin)
	}
	if budget.withdraw(); budget.tokens != 0 {
		t.Errorf("%v tokens, want none: a request that needs no token takes none", budget.tokens)
	}
	budget.accrue(testStart+time.Minute, 10, 2, rng)
	if budget.tokens != 2 {
		t.Errorf("%v tokens after a minute, want the limit of 2", budget.tokens)
	}
	budget.startEmpty(testStart + time.Minute)
	budget.accrue(testStart+time.Minute, 10, 2, rng)
	if budget.tokens != 0 {
		t.Errorf("%v tokens, want none at the start", budget.tokens)
	}
	if budget.reset(); budget.bounded() {
		t.Error("bounded after a reset")
	}
}

// The work of warm endpoints is averaged for a unit of weight; where there is none, the average stays.
func TestWarmWorkRate(t *testing.T) {
	var s slowStart
	for range 400 {
		s.recordWork(0.3)
		s.closeInterval(2)
	}
	want := 0.3 / 2 / controlInterval.Seconds()
	if math.Abs(s.warmWorkRate-want) > 1e-6 {
		t.Errorf("%v a second, want %v", s.warmWorkRate, want)
	}
	before := s.warmWorkRate
	s.recordWork(5)
	if s.closeInterval(0); s.warmWorkRate != before || s.warmWorkDone != 0 {
		t.Errorf("%v a second with no warm endpoint, want %v; %v kept", s.warmWorkRate, before,
			s.warmWorkDone)
	}
}
