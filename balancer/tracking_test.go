package balancer

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// A removed endpoint stays tracked until its attempts have ended.
func TestRemovedEndpointIsTrackedWhileAttemptsAreInFlight(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(100), testEndpoints(400)...)
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	s := b.requests.byID["r1"].attempts[0].endpoint
	e := s.Endpoint
	e.State = Removed
	b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
	b.TimerFired(testStart+time.Minute, timerControlInterval, r)
	if b.endpoints.trackedByID[s.ID] != s || s.acceptsRequests() {
		t.Fatal("dropped while an attempt is in flight, or still accepting requests")
	}
	b.AttemptFinished(testStart+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(testStart+time.Minute+controlInterval, timerControlInterval, r)
	if b.endpoints.trackedByID[s.ID] != nil {
		t.Error("tracked after its attempts have ended")
	}
}

// A removed endpoint that was tracked because of its attempts is dropped by the first change of the list
// after they have ended. In a small fleet control intervals drop no endpoints, so the change must do it.
func TestRemovedEndpointIsDroppedOnceAttemptsEnd(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		b, r := newTestBalancer(t, subsetSettings(nodes), equalEndpoints(3)...)
		b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
		e := b.requests.byID["r1"].attempts[0].endpoint
		removed, other := e.Endpoint, equalEndpoints(3)[0]
		if other.ID == removed.ID {
			other = equalEndpoints(3)[1]
		}
		removed.State, other.State = Removed, Draining
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{removed}, r)
		b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{other}, r)
		if b.endpoints.trackedByID[e.ID] != e {
			t.Fatalf("%d nodes: dropped while an attempt is in flight", nodes)
		}
		b.AttemptFinished(testStart+ms, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
		other.State = Up
		b.EndpointsUpdated(testStart+ms, UpdateDelta, []Endpoint{other}, r)
		if b.endpoints.trackedByID[e.ID] != nil || slices.Contains(b.endpoints.tracked, e) {
			t.Errorf("%d nodes: tracked after its attempts have ended", nodes)
		}
	}
}

func TestIsInUse(t *testing.T) {
	set := newEndpointSet(&Settings{
		NodeCount: 1, SlowStartInitialFraction: 0.5,
		SlowStartDuration: 10 * time.Second,
	})
	for _, test := range []struct {
		name   string
		change func(e *endpoint)
		want   bool
	}{
		{"used long ago", func(*endpoint) {}, false},
		{"in the subset", func(e *endpoint) { e.inSubset = true }, true},
		{"in the subset, no longer listed", func(e *endpoint) { e.inSubset, e.listed = true, false }, false},
		{"attempt in flight", func(e *endpoint) { e.inFlight = 1 }, true},
		{"attempt in flight, no longer listed", func(e *endpoint) { e.inFlight, e.listed = 1, false }, true},
		{
			"used exactly reserveRetention ago",
			func(e *endpoint) { e.lastProgress = testStart - reserveRetention }, true,
		},
		{
			"used more than reserveRetention ago",
			func(e *endpoint) { e.lastProgress = testStart - reserveRetention - 1 }, false,
		},
		{
			"used just now, no longer listed", func(e *endpoint) { e.lastProgress, e.listed = testStart, false },
			false,
		},
		{"ejected", func(e *endpoint) { e.health.ejectedUntil = testStart + 1 }, true},
		{"ejection just ended", func(e *endpoint) { e.health.ejectedUntil = testStart }, false},
		{"cold", func(e *endpoint) { e.StartedAt = testStart - 10*time.Second + 1 }, true},
		{"warm", func(e *endpoint) { e.StartedAt = testStart - 10*time.Second }, false},
		{"cold by a failed connection", func(e *endpoint) { e.restarts.suspect(testStart) }, true},
	} {
		e := newEndpoint(Endpoint{ID: "s0"})
		e.lastProgress = testStart - time.Hour
		test.change(e)
		if got := set.isInUse(testStart, e); got != test.want {
			t.Errorf("%s: in use is %v, want %v", test.name, got, test.want)
		}
	}
}

// A restart discards what was learned about the previous process. The times of the last response, health
// check and utilization report are kept.
func TestRestartDiscardsObservations(t *testing.T) {
	e := newEndpoint(Endpoint{ID: "s0"})
	learn := func() {
		e.latencyRatio = 3
		e.recordLoad(7, testStart)
		e.load.queued, e.load.refusesConnections, e.load.lastResponseFailed = 2, true, true
		e.load.utilizationReportedAt = testStart
		e.health = endpointHealth{
			errorRate: 1, consecutiveEjections: 2, ejectedUntil: testStart,
			unreachable: true, lastResponse: testStart, lastCheck: testStart,
		}
		e.slowStart.startEmpty(testStart)
	}
	learn()
	e.update(Endpoint{ID: "s0", State: Draining})
	if e.latencyRatio != 3 || e.health.errorRate != 1 || e.load.requests != 7 || e.acceptsRequests() {
		t.Errorf("observations discarded without a restart, or not draining: %+v", e)
	}
	learn()
	e.update(Endpoint{ID: "s0", StartedAt: testStart})
	fresh := newEndpoint(Endpoint{ID: "s0", StartedAt: testStart})
	fresh.health.lastResponse, fresh.health.lastCheck = testStart, testStart
	fresh.load.otherRequests, fresh.load.utilizationReportedAt = 7, testStart
	fresh.slowStart.accruedAt = testStart
	if !reflect.DeepEqual(e, fresh) {
		t.Errorf("after a restart %+v, want %+v", e, fresh)
	}
}
