package balancer

import (
	"fmt"
	"math"
	"testing"
)

// Load gossip takes bytes in each message: it names only what the receiver's subset holds.
func TestLoadGossipNamesReceiversEndpoints(t *testing.T) {
	const nodes = 100
	balancers := newFleet(t, nodes, testEndpoints(100))
	from, named := balancers[3], 0
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
			t.Errorf("node %d is sent the load of %d endpoints of %d in common", to, len(loads), common)
		}
		named += len(loads)
	}
	if named == 0 {
		t.Error("no load is sent")
	}
}

// Endpoints that share a short hash are left out of load gossip, and counted; there are few in a subset.
func TestHashCollisionsAreCounted(t *testing.T) {
	list := testEndpoints(20_000)
	b, r := newTestBalancer(t, subsetSettings(410), list...)
	st := b.Stats()
	pairs := float64(st.SubsetEndpoints*st.SubsetEndpoints) / 2 / (1 << 16)
	if float64(st.HashCollisions) > 2*(pairs+3*math.Sqrt(pairs)+1) {
		t.Errorf("%+v, about %.2f collisions expected", st, pairs)
	}
	first := b.endpoints.tracked[0]
	for n := 0; ; n++ { // another of the subset with the same short hash
		e := Endpoint{ID: fmt.Sprintf("other-%d", n), MachineType: "k", Zone: "a"}
		if shortEndpointHash(e.ID) == first.shortHash &&
			b.endpoints.sizing.entryThreshold(e.ID) <= b.endpoints.sizing.subsetsPerEndpoint {
			b.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
			break
		}
	}
	if now := b.Stats(); now.HashCollisions != st.HashCollisions+2 {
		t.Errorf("%d collisions, then %d", st.HashCollisions, now.HashCollisions)
	}
}

// An endpoint that is removed while an attempt is in flight there leaves the index of the subset with the
// control interval after the attempt.
func TestIndexFollowsDroppedEndpoints(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(30), Endpoint{ID: "s0", MachineType: "k", Zone: "a", StartedAt: testStart})
	e := b.endpoints.trackedByID["s0"]
	e.slowStart.tokens = 1
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	b.EndpointsUpdated(testStart, UpdateSnapshot, nil, r)
	if e.inFlight != 1 || len(b.endpoints.index.shared) != 1 {
		t.Fatalf("%d attempts in flight, %d endpoints shared", e.inFlight, len(b.endpoints.index.shared))
	}
	b.AttemptFinished(testStart, Outcome{ID: "r1", Result: OK, Answered: true, Elapsed: ms}, r)
	b.TimerFired(testStart, timerControlInterval, r)
	if index := b.endpoints.index; len(index.shared) != 0 || len(index.byHash) != 0 {
		t.Errorf("%d endpoints shared and %d named, though none is tracked", len(index.shared),
			len(index.byHash))
	}
}
