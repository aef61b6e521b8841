package balancer

import (
	"fmt"
	"math"
	"testing"
)

// Load gossip must not waste bytes of a message: it contains only endpoints that are in the receiver's
// subset too.
func TestLoadGossipContainsReceiversEndpoints(t *testing.T) {
	const nodes = 100
	balancers := newFleet(t, nodes, testEndpoints(100))
	from, sent := balancers[3], 0
	for _, e := range from.endpoints.tracked {
		e.recordLoad(1, testStart)
	}
	for to, b := range balancers {
		from.now = testStart + ms
		var buffer [maxLoadEntries]*endpoint
		loads := from.endpoints.index.freshest(&buffer, to, from.now)
		for _, e := range loads {
			if other := b.endpoints.trackedByID[e.ID]; other == nil || !other.inSubset {
				t.Fatalf("node %d is sent the load of %s, which is not in its subset", to, e.ID)
			}
		}
		common := 0
		for _, e := range from.endpoints.tracked {
			common += int(oneIf(b.endpoints.trackedByID[e.ID] != nil))
		}
		if to != 3 && len(loads) != min(common, maxLoadEntries) {
			t.Errorf("node %d is sent the load of %d endpoints, has %d in common, a message holds %d", to,
				len(loads), common, maxLoadEntries)
		}
		sent += len(loads)
	}
	if sent == 0 {
		t.Error("no load is sent")
	}
}

// Endpoints of the subset with the same short hash are counted. In a subset of realistic size there are few.
func TestHashCollisionsAreCounted(t *testing.T) {
	list := testEndpoints(20_000)
	b, r := newTestBalancer(t, subsetSettings(410), list...)
	st := b.Stats()
	pairs := float64(st.SubsetEndpoints*st.SubsetEndpoints) / 2 / (1 << 16)
	if float64(st.HashCollisions) > 2*(pairs+3*math.Sqrt(pairs)+1) {
		t.Errorf("%+v, want about %.2f pairs of colliding hashes", st, pairs)
	}
	first := b.endpoints.tracked[0]
	for n := 0; ; n++ { // add another endpoint of the subset with the same short hash
		e := Endpoint{ID: fmt.Sprintf("other-%d", n), MachineType: "k", Zone: "a"}
		if shortEndpointHash(e.ID) == first.shortHash &&
			b.endpoints.sizing.membershipThreshold(e.ID) <= b.endpoints.sizing.subsetsPerEndpoint {
			b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
			break
		}
	}
	if now := b.Stats(); now.HashCollisions != st.HashCollisions+2 {
		t.Errorf("%d collisions, then %d, want 2 more", st.HashCollisions, now.HashCollisions)
	}
}

// An endpoint that is removed while an attempt is in flight there is dropped from the index at the end of
// the control interval in which the attempt ends.
func TestIndexFollowsDroppedEndpoints(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(30), Endpoint{ID: "s0", MachineType: "k", Zone: "a", StartedAt: testStart})
	e := b.endpoints.trackedByID["s0"]
	e.slowStart.tokens = 1
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	b.EndpointsUpdated(testStart, UpdateSnapshot, nil, r)
	if e.inFlight != 1 || len(b.endpoints.index.shared) != 1 {
		t.Fatalf("%d attempts in flight, %d endpoints in the index, want 1 each", e.inFlight,
			len(b.endpoints.index.shared))
	}
	b.AttemptFinished(testStart, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(testStart, timerControlInterval, r)
	if index := b.endpoints.index; len(index.shared) != 0 || len(index.byHash) != 0 {
		t.Errorf("%d endpoints and %d hashes in the index, although none is tracked", len(index.shared),
			len(index.byHash))
	}
}
