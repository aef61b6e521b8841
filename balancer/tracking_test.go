package balancer

import (
	"slices"
	"testing"
	"time"
)

// An endpoint that has been removed must be known until its attempts have ended, whatever the list does.
func TestRemovedEndpointIsTrackedWhileAttemptsAreInFlight(t *testing.T) {
	b, r := newGate(t, subsetSettings(100), testEndpoints(400)...)
	b.RequestArrived(t0, newRequest(1, "safe", "rate", 1), r)
	s := b.requests.byID["r1"].attempts[0].endpoint
	e := s.Endpoint
	e.State = Removed
	b.EndpointsUpdated(t0, UpdateDelta, []Endpoint{e}, r)
	b.TimerFired(t0+time.Minute, timerControlInterval, r)
	if b.endpoints.trackedByID[s.ID] != s || s.acceptsRequests() {
		t.Fatal("forgotten with an attempt out, or still sent to")
	}
	b.AttemptFinished(t0+time.Minute, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(t0+time.Minute+controlInterval, timerControlInterval, r)
	if b.endpoints.trackedByID[s.ID] != nil {
		t.Error("known after its attempts have ended")
	}
}

// A removed endpoint that is kept for its attempts must be dropped by the first change of the list after they have
// ended, also in a small fleet, which forgets nothing in between.
func TestRemovedEndpointIsDroppedOnceAttemptsEnd(t *testing.T) {
	for _, nodes := range []int{1, 100} {
		b, r := newGate(t, subsetSettings(nodes), fleet(3)...)
		b.RequestArrived(t0, newRequest(1, "safe", "rate", 1), r)
		s := b.requests.byID["r1"].attempts[0].endpoint
		gone, other := s.Endpoint, fleet(3)[0]
		if other.ID == gone.ID {
			other = fleet(3)[1]
		}
		gone.State, other.State = Removed, Draining
		b.EndpointsUpdated(t0, UpdateDelta, []Endpoint{gone}, r)
		b.EndpointsUpdated(t0, UpdateDelta, []Endpoint{other}, r)
		if b.endpoints.trackedByID[s.ID] != s {
			t.Fatalf("%d nodes: dropped with an attempt out", nodes)
		}
		b.AttemptFinished(t0+ms, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
		other.State = Up
		b.EndpointsUpdated(t0+ms, UpdateDelta, []Endpoint{other}, r)
		if b.endpoints.trackedByID[s.ID] != nil || slices.Contains(b.endpoints.tracked, s) {
			t.Errorf("%d nodes: known after its attempts have ended", nodes)
		}
	}
}
