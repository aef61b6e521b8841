package balancer

import (
	"encoding/binary"
	"testing"
	"time"
)

// fleetNode is a node of a large fleet whose endpoints report their load in responses.
func fleetNode(t *testing.T, index int) (*Balancer, *recorder) {
	s := testSettings()
	s.NodeIndex, s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports = index, 300, 40, LoadReportsInResponses
	return newGate(t, s, fleet(4)...)
}

// learn lets a node have a result of a request that it sent to an endpoint, with a report of its load.
func learn(t *testing.T, g *Balancer, r *recorder, now time.Duration, endpointID string, res Result, l *LoadReport) {
	t.Helper()
	q := newRequest(int(g.requests.lastNumber)+1, "unsafe", "rate", 5)
	q.Units = 0
	for _, s := range g.endpoints.tracked {
		s.listed = s.ID == endpointID // the only one that it may go to
	}
	g.RequestArrived(now, q, r)
	for _, s := range g.endpoints.tracked {
		s.listed = true
	}
	g.AttemptFinished(now+ms, Outcome{ID: q.ID, Result: res, Answered: res == OK, EndpointID: endpointID, Elapsed: ms, LoadReport: l}, r)
}

// messageOf returns a message of a node to another, with what it has learned: a quota request.
func messageOf(g *Balancer, r *recorder, now time.Duration) []byte {
	r.tells = nil
	g.RequestArrived(now, ownedQuotaRequest(int(g.requests.lastNumber)+1), r)
	return r.tells[g.ownerFor(g.quotas.buckets[ownedTenant])][0]
}

// countSent counts the requests that a node sends to the endpoint s0 first, of many.
func countSent(g *Balancer, r *recorder, now time.Duration) (to, all int) {
	r.acts = nil
	for n := range 200 {
		q := newRequest(10000+n, "safe", "rate", uint64(1000+n))
		g.RequestArrived(now, q, r)
		if req := g.requests.byID[q.ID]; req != nil {
			to += int(oneIf(req.attempts[0].endpoint.ID == "s0"))
			all++
			g.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
		}
	}
	return to, all
}

// A node of a large fleet sends to an endpoint every few seconds. The others must use what one learns of it.
func TestGossipedLoadIsAvoided(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	for n, s := range []string{"s0", "s1", "s2", "s3"} {
		learn(t, sender, senderHost, t0+time.Duration(n)*ms, s, OK, &LoadReport{InFlight: float64(40 * oneIf(s == "s0")), Queued: -1, Utilization: -1})
	}
	msg := messageOf(sender, senderHost, t0+10*ms)
	g, r := fleetNode(t, 11)
	if to, all := countSent(g, r, t0+20*ms); all < 100 || to < all/8 {
		t.Fatalf("%d of %d went to an endpoint of which nothing is known", to, all)
	}
	g.PeerMessage(t0+20*ms, 10, msg, r)
	if to, all := countSent(g, r, t0+30*ms); all < 100 || to > all/8 {
		t.Errorf("%d of %d went to the endpoint reported to hold 40", to, all)
	}
}

// The first node whose connection is refused must spare the others the same.
func TestGossipedRefusalEjects(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	learn(t, sender, senderHost, t0, "s0", ConnectFailed, nil)
	g, r := fleetNode(t, 11)
	msg := messageOf(sender, senderHost, t0+10*ms)
	g.PeerMessage(t0+20*ms, 10, msg, r)
	if to, all := countSent(g, r, t0+30*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint reported to refuse connections", to, all)
	}
	// A repeated report must not keep the endpoint ejected for longer.
	until := g.endpoints.trackedByID["s0"].health.ejectedUntil
	g.PeerMessage(until+10*ms, 10, messageOf(sender, senderHost, until), r)
	if g.endpoints.trackedByID["s0"].health.ejectedUntil != until {
		t.Error("a report counted twice")
	}
}

// encodedLoad decodes an entry of load gossip.
func encodedLoad(hash uint16, load, age byte) []peerLoad {
	return []peerLoad{decodePeerLoad(append(binary.BigEndian.AppendUint16(nil, hash), load, age))}
}

// Of two reports the newer counts, whichever way it came. Reports of endpoints that are unknown, or of which
// two share a hash, change nothing.
func TestOldLoadsChangeNothing(t *testing.T) {
	g, r := fleetNode(t, 11)
	learn(t, g, r, t0+time.Second, "s0", OK, &LoadReport{InFlight: 3, Queued: -1, Utilization: -1})
	s := g.endpoints.trackedByID["s0"]
	g.now = t0 + 2*time.Second
	g.receiveLoads(encodedLoad(s.shortHash, 50, byte(1500*ms/ageUnit)))
	g.receiveLoads(encodedLoad(s.shortHash^1, 50, 0))
	if s.load.requests != 3 {
		t.Errorf("load %v after an old report", s.load.requests)
	}
	g.receiveLoads(encodedLoad(s.shortHash, 50, byte(500*ms/ageUnit)))
	if s.load.requests != 50 {
		t.Errorf("load %v after a new report", s.load.requests)
	}
	g.endpoints.index.byHash[s.shortHash] = nil
	g.receiveLoads(encodedLoad(s.shortHash, 60, 0))
	if s.load.requests != 50 {
		t.Errorf("load %v after a report that may be of another endpoint", s.load.requests)
	}
}

// Rule 4 lets a fleet send a cold endpoint a fraction of its capacity from the moment that it is known. A
// node that accrues slow-start tokens only from its first look at the endpoint would leave that unused until
// it has the tokens for a request, while the warm endpoints are congested.
func TestColdEndpointIsUsedAtOnce(t *testing.T) {
	const nodes, known = 300, 4 * time.Second
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond = nodes, 40
	sent, share := 0, 0.0
	for index := range nodes {
		s.NodeIndex = index
		g, err := New(s, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		r := &recorder{}
		g.Start(t0, r)
		g.EndpointsUpdated(t0, UpdateSnapshot, []Endpoint{{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0}}, r)
		for at := controlInterval; at <= known; at += controlInterval {
			g.TimerFired(t0+at, timerControlInterval, r)
		}
		g.RequestArrived(t0+known, newRequest(1, "safe", "rate", uint64(index)), r)
		sent += r.count("send")
		share = g.warmUpFraction(g.endpoints.tracked[0])
	}
	work := s.Classes[1].LatencyObjective.Seconds() / 4 // the longest of the classes, as long as none is known better
	most := s.OverloadFactor * share * known.Seconds() / work
	if float64(sent) < s.OverloadFactor*s.SlowStartInitialFraction*known.Seconds()/work/3 || float64(sent) > most {
		t.Errorf("%d requests to an endpoint known for %v, which may have %.0f", sent, known, most)
	}
}

// An endpoint that fails fast looks idle. Its errors at one node must count at all, until it responds well.
func TestGossipedErrorsCount(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	g, r := fleetNode(t, 11)
	now := t0
	applyGossip := func(res Result, times int) {
		for range times {
			now += 100 * ms
			learn(t, sender, senderHost, now, "s0", res, &LoadReport{InFlight: 0, Queued: -1, Utilization: -1})
			sender.endpoints.trackedByID["s0"].health.ejectedUntil = 0 // the sender goes on trying
			g.PeerMessage(now+10*ms, 10, messageOf(sender, senderHost, now+5*ms), r)
		}
	}
	applyGossip(ErrorResponse, 3)
	if to, all := countSent(g, r, now+20*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint reported to fail", to, all)
	}
	applyGossip(OK, 8)
	if g.deprioritized(g.endpoints.trackedByID["s0"]) {
		t.Error("an endpoint reported to be well again is deprioritized")
	}
}

// Where every node sends to every endpoint, each needs connections to all. An endpoint of a large fleet is
// left to the same number of nodes, on which all agree; the others send there only if they have no other.
func TestEndpointsAreLeftToTheirSubsets(t *testing.T) {
	for nodeCount, want := range map[int]int{1: 1, 3: 3, 40: 12, 160: 24, 360: 36} { // 12 x root of 1.5 x nodeCount / 60
		s := testSettings()
		s.NodeCount, s.PeerMessagesPerSecond = nodeCount, 40
		subsets := map[string]int{}
		for index := range nodeCount {
			s.NodeIndex = index
			g, r := newGate(t, s, fleet(60)...)
			own := g.Stats().SubsetEndpoints
			for _, endpoint := range g.endpoints.tracked {
				subsets[endpoint.ID] += int(oneIf(endpoint.inSubset))
			}
			for n := 0; n < 20; n++ {
				q := newRequest(n, "safe", "rate", uint64(n))
				g.RequestArrived(t0, q, r)
				if req := g.requests.byID[q.ID]; req == nil || own > 0 && !req.attempts[0].endpoint.inSubset {
					t.Fatalf("%d nodes: %v", nodeCount, r.acts)
				}
				g.AttemptFinished(t0+ms, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
			}
			var drained []Endpoint
			for _, endpoint := range g.endpoints.tracked {
				if endpoint.inSubset {
					drained = append(drained, Endpoint{ID: endpoint.ID, State: Draining, MachineType: "k", Zone: "a", Cell: 1})
				}
			}
			g.EndpointsUpdated(t0, UpdateDelta, drained, r)
			r.acts = nil
			if g.RequestArrived(t0, newRequest(100, "safe", "rate", 100), r); own < 60 && r.count("send") != 1 {
				t.Fatalf("%d nodes: none left but those of others: %v", nodeCount, r.acts)
			}
		}
		for id, n := range subsets {
			if n != want {
				t.Errorf("%d nodes: %s is in %d subsets, want %d", nodeCount, id, n, want)
			}
		}
	}
}

// Attempts at endpoints of which no node hears any more must not read as an overload of all, nor draw others
// after them. Silence at one node alone is nothing, since another may just have had a response.
func TestEndpointsUnheardByAllAreNoOverload(t *testing.T) {
	g, r := fleetNode(t, 0)
	if held := g.Stats().SubsetEndpoints; held != 4 {
		t.Fatalf("the subset holds %d of the 4 endpoints: the test wants a node with all", held)
	}
	g.concurrency.responseRate = 100 // as of a node in service
	for _, s := range g.endpoints.tracked {
		s.listed = s.ID == "s0"
	}
	for n := range 3 {
		g.RequestArrived(t0, newRequest(n, "unsafe", "rate", uint64(n)), r)
	}
	for _, s := range g.endpoints.tracked {
		s.listed = true
	}
	if got, want := g.reachable(), (reachableLoad{3, 4}); got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	g.now = t0 + time.Second
	if got, want := g.reachable(), (reachableLoad{0, 3}); got != want {
		t.Errorf("%+v after a second of silence, want %+v", got, want)
	}
	if to, all := countSent(g, r, t0+time.Second); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint that no node hears of", to, all)
	}
	g.receiveLoads(encodedLoad(g.endpoints.trackedByID["s0"].shortHash, 3, 1))
	if out := g.reachable().inFlight; out != 3 {
		t.Errorf("%v in flight after another node had a response, want 3", out)
	}
}
