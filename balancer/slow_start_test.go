package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a cold endpoint that all nodes together overload. That may happen when hundreds of nodes
// each send one request, when the weight of the endpoint is unknown, or when no warm endpoint has been
// observed.
func TestSlowStartLimitsAllNodesTogether(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		s := testSettings()
		s.NodeCount = n
		work, sent := 0.0, 0
		for index := 0; index < n; index++ {
			s.NodeIndex = index
			b, err := New(s, uint64(index))
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
		// The budget is a fraction of one core's work, the minimum that a warm endpoint can do.
		fraction := s.SlowStartInitialFraction +
			(1-s.SlowStartInitialFraction)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
		budget := s.OverloadFactor * fraction * s.OverloadWindow.Seconds()
		if sent == 0 && n > 100 || work > math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()) {
			t.Errorf("%d nodes sent %d requests with %.2f s of work to a cold endpoint, want at most %.2f s "+
				"and, in a fleet of more than 100 nodes, at least one request", n, sent, work,
				math.Max(budget, 2*s.Classes[0].LatencyObjective.Seconds()))
		}
	}
}

// A failed connection attempt may mean a restart that the list reports only later, so the endpoint counts as
// cold. A connection that breaks does not count: single connections break too, and all endpoints would soon
// be cold.
func TestFailedConnectionCountsAsRestart(t *testing.T) {
	for res, cold := range map[Result]bool{ConnectFailed: true, Reset: false, ErrorResponse: false} {
		b, r := newTestBalancer(t, testSettings(), equalEndpoints(1)...)
		b.RequestArrived(testStart, newRequest(1, "unsafe", "rate", 1), r)
		b.AttemptFinished(testStart+ms, Outcome{ID: "r1", Result: res, EndpointID: "s0"}, r)
		if got := b.warmUpFraction(b.endpoints.tracked[0]) < 1; got != cold {
			t.Errorf("after result %q: cold is %v, want %v", res, got, cold)
		}
		r.actions = nil
		if n := sendBurst(b, r, testStart+2*ms, 30, newRequest(0, "safe", "rate", 2)); cold && n > 1 {
			t.Errorf("%d requests sent after the failed connection, want at most 1", n)
		}
	}
}

// All nodes together stay within the budget of a cold endpoint while their subsets change. The list shrinks
// to an eighth, so the endpoint enters more and more subsets, whose nodes must not each begin with a new
// budget.
func TestSlowStartBudgetHoldsWhileSubsetsChange(t *testing.T) {
	const nodes, endpoints, steps, removedPerStep = 60, 160, 10, 14
	list := testEndpoints(endpoints)
	for i := range list {
		list[i].State = Draining // so that only the cold endpoint accepts requests
	}
	cold := Endpoint{ID: coldID, MachineType: "k", Zone: "a", StartedAt: testStart + time.Second}
	balancers := newFleet(t, nodes, list)
	now, sent := testStart+time.Second, 0
	for _, b := range balancers {
		b.EndpointsUpdated(now, UpdateDelta, []Endpoint{cold}, &hostRecorder{})
	}
	before := len(nodesWithCold(balancers))
	for step := range steps {
		now += controlInterval
		for _, b := range balancers {
			r := &hostRecorder{}
			b.TimerFired(now, timerControlInterval, r)
			for i := step * removedPerStep; i < (step+1)*removedPerStep; i++ {
				e := list[i]
				e.State = Removed
				b.EndpointsUpdated(now, UpdateDelta, []Endpoint{e}, r)
			}
			for n := range 40 { // all admitted requests are sent to the cold endpoint
				q := newRequest(step*100+n, "safe", "rate", uint64(n))
				b.RequestArrived(now, q, r)
				if req := b.requests.byID[q.ID]; req != nil && req.attempts[0].endpoint.ID == coldID {
					sent++
				}
				b.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: 200 * ms}, r)
			}
		}
	}
	if after := len(nodesWithCold(balancers)); after < 2*before {
		t.Fatalf("cold endpoint in %d subsets, then in %d, want at least twice as many", before, after)
	}
	s := balancers[0].settings
	fraction := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*1/s.SlowStartDuration.Seconds()
	allowed := s.OverloadFactor * fraction * s.OverloadWindow.Seconds() / balancers[0].latency.work(2)
	if limit := allowed + 2*math.Sqrt(allowed) + 2; sent == 0 || float64(sent) > limit {
		t.Errorf("%d requests sent to a cold endpoint in a second, want 1 to %.1f", sent, limit)
	}
}

// If an endpoint is cold when it enters a node's subset, that node begins without tokens, because the other
// nodes have shared the whole budget until then.
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
		tokens := b.endpoints.trackedByID[coldID].slowStart.tokens
		if slices.Contains(first, b) {
			continue
		}
		entered++
		if tokens != 0 {
			t.Errorf("node %d begins with %v tokens, want none", b.settings.NodeIndex, tokens)
		}
	}
	if entered == 0 {
		t.Error("the endpoint has not entered any further subset")
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
		{"start in the future", curve, testStart + time.Second, 0.2},
		{"halfway", curve, testStart - 5*time.Second, 0.6},
		{"at the end", curve, testStart - 10*time.Second, 1},
		{"no warm-up", warmUpCurve{}, testStart, 1},
		{"no initial capacity", warmUpCurve{duration: time.Second}, testStart, minWarmUpFraction},
		{"full initial capacity", warmUpCurve{initialFraction: 1, duration: time.Second}, testStart, 1},
	} {
		if got := test.curve.fraction(test.startedAt, testStart); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A budget begins with a random fraction of a token, grows at its rate up to its limit, and each request
// takes one token.
func TestSlowStartBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	budget := slowStartBudget{tokens: unboundedTokens}
	if !budget.allows(false) || budget.bounded() {
		t.Error("a warm endpoint is bounded")
	}
	budget.accrue(testStart, 10, 2, rng)
	begin := budget.tokens
	if begin < 0 || begin >= 1 || budget.allows(true) {
		t.Errorf("begins with %v tokens, want less than one", begin)
	}
	budget.accrue(testStart+100*ms, 10, 2, rng)
	if got := budget.tokens; math.Abs(got-begin-1) > 1e-9 || !budget.allows(true) || budget.allows(false) {
		t.Errorf("%v tokens 100 ms after %v, want one more", got, begin)
	}
	if budget.withdraw(); math.Abs(budget.tokens-begin) > 1e-9 {
		t.Errorf("%v tokens after a request, want %v", budget.tokens, begin)
	}
	if budget.withdraw(); budget.tokens != 0 {
		t.Errorf("%v tokens after a request without a whole token, want 0", budget.tokens)
	}
	budget.accrue(testStart+time.Minute, 10, 2, rng)
	if budget.tokens != 2 {
		t.Errorf("%v tokens after a minute, want the limit of 2", budget.tokens)
	}
	budget.startEmpty(testStart + time.Minute)
	budget.accrue(testStart+time.Minute, 10, 2, rng)
	if budget.tokens != 0 {
		t.Errorf("%v tokens at an empty start, want 0", budget.tokens)
	}
	if budget.reset(); budget.bounded() {
		t.Error("bounded after a reset")
	}
}

// The work of warm endpoints is averaged per unit of weight. The average stays the same while there is no
// warm endpoint.
func TestWarmWorkRate(t *testing.T) {
	var s slowStart
	for range 400 {
		s.recordWork(0.3)
		s.closeInterval(2)
	}
	want := 0.3 / 2 / controlInterval.Seconds()
	if math.Abs(s.warmWorkRate-want) > 1e-6 {
		t.Errorf("%v seconds of work per second, want %v", s.warmWorkRate, want)
	}
	before := s.warmWorkRate
	s.recordWork(5)
	if s.closeInterval(0); s.warmWorkRate != before || s.warmWorkDone != 0 {
		t.Errorf("without a warm endpoint: work rate %v, want %v; work done %v, want 0", s.warmWorkRate,
			before, s.warmWorkDone)
	}
}
