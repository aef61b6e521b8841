package balancer

import (
	"encoding/binary"
	"testing"
	"time"
)

// fleetNode is a node of a large fleet whose endpoints report their load in responses.
func fleetNode(t *testing.T, index int) (*Balancer, *hostRecorder) {
	settings := testSettings()
	settings.NodeIndex, settings.NodeCount, settings.PeerMessagesPerSecond = index, 300, 40
	settings.LoadReports = LoadReportsInResponses
	return newTestBalancer(t, settings, equalEndpoints(4)...)
}

// learn lets a node have a result of a request that it sent to an endpoint, with a report of its load.
func learn(
	t *testing.T, node *Balancer, host *hostRecorder, now time.Duration, endpointID string, result Result,
	report *LoadReport,
) {
	t.Helper()
	request := newRequest(int(node.requests.lastNumber)+1, "unsafe", "rate", 5)
	request.Units = 0
	for _, endpoint := range node.endpoints.tracked {
		endpoint.listed = endpoint.ID == endpointID // the only one that it may go to
	}
	node.RequestArrived(now, request, host)
	for _, endpoint := range node.endpoints.tracked {
		endpoint.listed = true
	}
	node.AttemptFinished(now+ms, Outcome{
		ID: request.ID, Result: result, Answered: result == OK, EndpointID: endpointID, Elapsed: ms,
		LoadReport: report,
	}, host)
}

// messageOf returns a message of a node to another, with what it has learned: a quota request.
func messageOf(node *Balancer, host *hostRecorder, now time.Duration) []byte {
	host.messages = nil
	node.RequestArrived(now, ownedQuotaRequest(int(node.requests.lastNumber)+1), host)
	return host.messages[node.ownerFor(node.quotas.buckets[ownedTenant])][0]
}

// countSent counts the requests that a node sends to the endpoint s0 first, of many.
func countSent(node *Balancer, host *hostRecorder, now time.Duration) (to, all int) {
	host.actions = nil
	for n := range 200 {
		request := newRequest(10000+n, "safe", "rate", uint64(1000+n))
		node.RequestArrived(now, request, host)
		if sent := node.requests.byID[request.ID]; sent != nil {
			to += int(oneIf(sent.attempts[0].endpoint.ID == "s0"))
			all++
			node.AttemptFinished(now, Outcome{ID: request.ID, Result: OK, Answered: true, Elapsed: ms}, host)
		}
	}
	return to, all
}

// A node of a large fleet sends to an endpoint every few seconds. The others must use what one learns of it.
func TestGossipedLoadIsAvoided(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	for n, endpointID := range []string{"s0", "s1", "s2", "s3"} {
		report := &LoadReport{InFlight: float64(40 * oneIf(endpointID == "s0")), Queued: -1, Utilization: -1}
		learn(t, sender, senderHost, testStart+time.Duration(n)*ms, endpointID, OK, report)
	}
	message := messageOf(sender, senderHost, testStart+10*ms)
	node, host := fleetNode(t, 11)
	if to, all := countSent(node, host, testStart+20*ms); all < 100 || to < all/8 {
		t.Fatalf("%d of %d went to an endpoint of which nothing is known", to, all)
	}
	node.PeerMessage(testStart+20*ms, 10, message, host)
	if to, all := countSent(node, host, testStart+30*ms); all < 100 || to > all/8 {
		t.Errorf("%d of %d went to the endpoint reported to hold 40", to, all)
	}
}

// The first node whose connection is refused must spare the others the same.
func TestGossipedRefusalEjects(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	learn(t, sender, senderHost, testStart, "s0", ConnectFailed, nil)
	node, host := fleetNode(t, 11)
	message := messageOf(sender, senderHost, testStart+10*ms)
	node.PeerMessage(testStart+20*ms, 10, message, host)
	if to, all := countSent(node, host, testStart+30*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint reported to refuse connections", to, all)
	}
	// A repeated report must not keep the endpoint ejected for longer.
	until := node.endpoints.trackedByID["s0"].health.ejectedUntil
	node.PeerMessage(until+10*ms, 10, messageOf(sender, senderHost, until), host)
	if node.endpoints.trackedByID["s0"].health.ejectedUntil != until {
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
	node, host := fleetNode(t, 11)
	learn(t, node, host, testStart+time.Second, "s0", OK, &LoadReport{InFlight: 3, Queued: -1, Utilization: -1})
	endpoint := node.endpoints.trackedByID["s0"]
	node.now = testStart + 2*time.Second
	node.receiveLoads(encodedLoad(endpoint.shortHash, 50, byte(1500*ms/ageUnit)))
	node.receiveLoads(encodedLoad(endpoint.shortHash^1, 50, 0))
	if endpoint.load.requests != 3 {
		t.Errorf("load %v after an old report", endpoint.load.requests)
	}
	node.receiveLoads(encodedLoad(endpoint.shortHash, 50, byte(500*ms/ageUnit)))
	if endpoint.load.requests != 50 {
		t.Errorf("load %v after a new report", endpoint.load.requests)
	}
	node.endpoints.index.byHash[endpoint.shortHash] = nil
	node.receiveLoads(encodedLoad(endpoint.shortHash, 60, 0))
	if endpoint.load.requests != 50 {
		t.Errorf("load %v after a report that may be of another endpoint", endpoint.load.requests)
	}
}

// Rule 4 lets a fleet send a cold endpoint a fraction of its capacity from the moment that it is known. A
// node that accrues slow-start tokens only from its first look at the endpoint would leave that unused until
// it has the tokens for a request, while the warm endpoints are congested.
func TestColdEndpointIsUsedAtOnce(t *testing.T) {
	const nodes, known = 300, 4 * time.Second
	settings := testSettings()
	settings.NodeCount, settings.PeerMessagesPerSecond = nodes, 40
	sent, warmUpFraction := 0, 0.0
	for index := range nodes {
		settings.NodeIndex = index
		node, err := New(settings, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		host := &hostRecorder{}
		node.Start(testStart, host)
		cold := Endpoint{ID: "cold", MachineType: "k", Zone: "a", StartedAt: testStart}
		node.EndpointsUpdated(testStart, UpdateSnapshot, []Endpoint{cold}, host)
		for at := controlInterval; at <= known; at += controlInterval {
			node.TimerFired(testStart+at, timerControlInterval, host)
		}
		node.RequestArrived(testStart+known, newRequest(1, "safe", "rate", uint64(index)), host)
		sent += host.count("send")
		warmUpFraction = node.warmUpFraction(node.endpoints.tracked[0])
	}
	// The work of the longest class, as long as none is known better.
	work := settings.Classes[1].LatencyObjective.Seconds() / 4
	limit := settings.OverloadFactor * warmUpFraction * known.Seconds() / work
	initial := settings.OverloadFactor * settings.SlowStartInitialFraction * known.Seconds() / work
	if float64(sent) < initial/3 || float64(sent) > limit {
		t.Errorf("%d requests to an endpoint known for %v, which may have %.0f", sent, known, limit)
	}
}

// An endpoint that fails fast looks idle. Its errors at one node must count at all, until it responds well.
func TestGossipedErrorsCount(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	node, host := fleetNode(t, 11)
	now := testStart
	applyGossip := func(result Result, times int) {
		for range times {
			now += 100 * ms
			learn(t, sender, senderHost, now, "s0", result, &LoadReport{InFlight: 0, Queued: -1, Utilization: -1})
			sender.endpoints.trackedByID["s0"].health.ejectedUntil = 0 // the sender goes on trying
			node.PeerMessage(now+10*ms, 10, messageOf(sender, senderHost, now+5*ms), host)
		}
	}
	applyGossip(ErrorResponse, 3)
	if to, all := countSent(node, host, now+20*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint reported to fail", to, all)
	}
	applyGossip(OK, 8)
	if node.deprioritized(node.endpoints.trackedByID["s0"]) {
		t.Error("an endpoint reported to be well again is deprioritized")
	}
}

// Where every node sends to every endpoint, each needs connections to all. An endpoint of a large fleet is
// left to the same number of nodes, on which all agree; the others send there only if they have no other.
func TestEndpointsAreLeftToTheirSubsets(t *testing.T) {
	// 12 x root of 1.5 x nodeCount / 60
	for nodeCount, want := range map[int]int{1: 1, 3: 3, 40: 12, 160: 24, 360: 36} {
		settings := testSettings()
		settings.NodeCount, settings.PeerMessagesPerSecond = nodeCount, 40
		subsets := map[string]int{}
		for index := range nodeCount {
			settings.NodeIndex = index
			node, host := newTestBalancer(t, settings, equalEndpoints(60)...)
			own := node.Stats().SubsetEndpoints
			for _, endpoint := range node.endpoints.tracked {
				subsets[endpoint.ID] += int(oneIf(endpoint.inSubset))
			}
			for n := 0; n < 20; n++ {
				request := newRequest(n, "safe", "rate", uint64(n))
				node.RequestArrived(testStart, request, host)
				sent := node.requests.byID[request.ID]
				if sent == nil || own > 0 && !sent.attempts[0].endpoint.inSubset {
					t.Fatalf("%d nodes: %v", nodeCount, host.actions)
				}
				node.AttemptFinished(testStart+ms, Outcome{ID: request.ID, Result: OK, Answered: true, Elapsed: ms}, host)
			}
			var drained []Endpoint
			for _, endpoint := range node.endpoints.tracked {
				if endpoint.inSubset {
					drained = append(drained, Endpoint{
						ID: endpoint.ID, State: Draining, MachineType: "k", Zone: "a", Cell: 1,
					})
				}
			}
			node.EndpointsUpdated(testStart, UpdateDelta, drained, host)
			host.actions = nil
			if node.RequestArrived(testStart, newRequest(100, "safe", "rate", 100), host); own < 60 && host.count("send") != 1 {
				t.Fatalf("%d nodes: none left but those of others: %v", nodeCount, host.actions)
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
	node, host := fleetNode(t, 0)
	if held := node.Stats().SubsetEndpoints; held != 4 {
		t.Fatalf("the subset holds %d of the 4 endpoints: the test wants a node with all", held)
	}
	node.concurrency.responseRate = 100 // as of a node in service
	for _, endpoint := range node.endpoints.tracked {
		endpoint.listed = endpoint.ID == "s0"
	}
	for n := range 3 {
		node.RequestArrived(testStart, newRequest(n, "unsafe", "rate", uint64(n)), host)
	}
	for _, endpoint := range node.endpoints.tracked {
		endpoint.listed = true
	}
	if got, want := node.reachable(), (reachableLoad{3, 4}); got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	node.now = testStart + time.Second
	if got, want := node.reachable(), (reachableLoad{0, 3}); got != want {
		t.Errorf("%+v after a second of silence, want %+v", got, want)
	}
	if to, all := countSent(node, host, testStart+time.Second); all < 100 || to > 0 {
		t.Errorf("%d of %d went to an endpoint that no node hears of", to, all)
	}
	node.receiveLoads(encodedLoad(node.endpoints.trackedByID["s0"].shortHash, 3, 1))
	if out := node.reachable().inFlight; out != 3 {
		t.Errorf("%v in flight after another node had a response, want 3", out)
	}
}
