package balancer

import (
	"encoding/binary"
	"testing"
	"time"
)

// fleetNode returns a node of a large fleet whose endpoints report their load in responses.
func fleetNode(t *testing.T, index int) (*Balancer, *hostRecorder) {
	settings := testSettings()
	settings.NodeIndex, settings.NodeCount, settings.PeerMessagesPerSecond = index, 300, 40
	settings.LoadReports = LoadReportsInResponses
	return newTestBalancer(t, settings, equalEndpoints(4)...)
}

// completeRequest makes a node send a request to an endpoint and finishes the attempt with a result and a
// load report.
func completeRequest(
	t *testing.T, node *Balancer, host *hostRecorder, now time.Duration, endpointID string, result Result,
	report *LoadReport,
) {
	t.Helper()
	request := newRequest(int(node.requests.lastNumber)+1, "unsafe", "rate", 5)
	request.Units = 0
	for _, endpoint := range node.endpoints.tracked {
		endpoint.listed = endpoint.ID == endpointID // so that no other endpoint is selected
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

// captureQuotaRequest returns a quota request that a node sends. The gossip attached to it contains the
// node's reports.
func captureQuotaRequest(node *Balancer, host *hostRecorder, now time.Duration) []byte {
	host.messages = nil
	node.RequestArrived(now, ownedQuotaRequest(int(node.requests.lastNumber)+1), host)
	return host.messages[node.ownerFor(node.quotas.buckets[ownedTenant])][0]
}

// countSentToS0 sends 200 requests through a node. It returns how many of them went to endpoint s0 first and
// how many were sent at all.
func countSentToS0(node *Balancer, host *hostRecorder, now time.Duration) (to, all int) {
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

// A node of a large fleet sends a request to a given endpoint only every few seconds. Guards against nodes
// that ignore the loads which other nodes report.
func TestLoadedEndpointIsAvoidedThroughGossip(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	for n, endpointID := range []string{"s0", "s1", "s2", "s3"} {
		report := &LoadReport{InFlight: float64(40 * oneIf(endpointID == "s0")), Queued: -1, Utilization: -1}
		completeRequest(t, sender, senderHost, testStart+time.Duration(n)*ms, endpointID, OK, report)
	}
	message := captureQuotaRequest(sender, senderHost, testStart+10*ms)
	node, host := fleetNode(t, 11)
	if to, all := countSentToS0(node, host, testStart+20*ms); all < 100 || to < all/8 {
		t.Fatalf("%d of %d requests were sent to an endpoint of unknown load, want at least 1 in 8", to, all)
	}
	node.PeerMessage(testStart+20*ms, 10, message, host)
	if to, all := countSentToS0(node, host, testStart+30*ms); all < 100 || to > all/8 {
		t.Errorf("%d of %d requests were sent to an endpoint with a reported load of 40, want at most 1 in 8", to, all)
	}
}

// Guards against every node of a fleet sending a request to an endpoint that is known to refuse connections.
func TestGossipedRefusalEjects(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	completeRequest(t, sender, senderHost, testStart, "s0", ConnectFailed, nil)
	node, host := fleetNode(t, 11)
	message := captureQuotaRequest(sender, senderHost, testStart+10*ms)
	node.PeerMessage(testStart+20*ms, 10, message, host)
	if to, all := countSentToS0(node, host, testStart+30*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d requests were sent to an endpoint reported to refuse connections, want none", to, all)
	}
	// A repeated report must not extend the ejection.
	until := node.endpoints.trackedByID["s0"].health.ejectedUntil
	node.PeerMessage(until+10*ms, 10, captureQuotaRequest(sender, senderHost, until), host)
	if node.endpoints.trackedByID["s0"].health.ejectedUntil != until {
		t.Error("a repeated report extended the ejection")
	}
}

// encodedLoad returns the load that a receiver decodes from an entry of load gossip.
func encodedLoad(hash uint16, load, age byte) []peerLoad {
	return []peerLoad{decodePeerLoad(append(binary.BigEndian.AppendUint16(nil, hash), load, age))}
}

// A gossiped load replaces a known load only if it is newer. Guards against the use of older reports, and of
// reports whose hash is unknown or shared by two endpoints.
func TestOnlyNewerLoadsAreApplied(t *testing.T) {
	node, host := fleetNode(t, 11)
	completeRequest(t, node, host, testStart+time.Second, "s0", OK, &LoadReport{InFlight: 3, Queued: -1, Utilization: -1})
	endpoint := node.endpoints.trackedByID["s0"]
	node.now = testStart + 2*time.Second
	node.receiveLoads(encodedLoad(endpoint.shortHash, 50, byte(1500*ms/ageUnit)))
	node.receiveLoads(encodedLoad(endpoint.shortHash^1, 50, 0))
	if endpoint.load.requests != 3 {
		t.Errorf("load %v after an older report, want 3", endpoint.load.requests)
	}
	node.receiveLoads(encodedLoad(endpoint.shortHash, 50, byte(500*ms/ageUnit)))
	if endpoint.load.requests != 50 {
		t.Errorf("load %v after a newer report, want 50", endpoint.load.requests)
	}
	node.endpoints.index.byHash[endpoint.shortHash] = nil
	node.receiveLoads(encodedLoad(endpoint.shortHash, 60, 0))
	if endpoint.load.requests != 50 {
		t.Errorf("load %v after a report with an ambiguous hash, want 50", endpoint.load.requests)
	}
}

// Rule 4 (slow start) lets a fleet send requests to a cold endpoint, up to a fraction of its capacity, from
// the moment that the endpoint is known. Guards against nodes that accrue slow-start tokens only from the
// first time they consider the endpoint. They would leave that capacity unused until they have the tokens
// for a request, while the warm endpoints are congested.
func TestColdEndpointReceivesRequestsImmediately(t *testing.T) {
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
	// Assumed work of a request of the class with the longest latency objective, while no latency is known.
	work := settings.Classes[1].LatencyObjective.Seconds() / 4
	limit := settings.OverloadFactor * warmUpFraction * known.Seconds() / work
	initial := settings.OverloadFactor * settings.SlowStartInitialFraction * known.Seconds() / work
	if float64(sent) < initial/3 || float64(sent) > limit {
		t.Errorf("%d requests sent to a cold endpoint known for %v, want %.0f to %.0f", sent, known, initial/3, limit)
	}
}

// An endpoint that fails quickly reports a low load. Guards against nodes that prefer such an endpoint
// although other nodes report its errors, and against nodes that avoid it after it has recovered.
func TestFailingEndpointIsAvoidedThroughGossip(t *testing.T) {
	sender, senderHost := fleetNode(t, 10)
	node, host := fleetNode(t, 11)
	now := testStart
	applyGossip := func(result Result, times int) {
		for range times {
			now += 100 * ms
			completeRequest(t, sender, senderHost, now, "s0", result, &LoadReport{InFlight: 0, Queued: -1, Utilization: -1})
			sender.endpoints.trackedByID["s0"].health.ejectedUntil = 0 // allows the sender further requests to it
			node.PeerMessage(now+10*ms, 10, captureQuotaRequest(sender, senderHost, now+5*ms), host)
		}
	}
	applyGossip(ErrorResponse, 3)
	if to, all := countSentToS0(node, host, now+20*ms); all < 100 || to > 0 {
		t.Errorf("%d of %d requests were sent to an endpoint reported to fail, want none", to, all)
	}
	applyGossip(OK, 8)
	if node.deprioritized(node.endpoints.trackedByID["s0"]) {
		t.Error("an endpoint is still deprioritized after 8 reports of successful responses")
	}
}

// If every node sent requests to every endpoint, each node would need connections to all of them. In a large
// fleet every endpoint is in the subsets of the same number of nodes. Guards against endpoints that are in
// more or fewer subsets than the others, nodes that send requests outside their subset, and nodes that do
// not fall back to other endpoints when their subset is drained.
func TestNodesSendOnlyToTheirSubset(t *testing.T) {
	// 12 x the square root of (1.5 x nodeCount / 60 endpoints), at most nodeCount
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
					t.Fatalf("%d nodes: request was not sent to the subset: %v", nodeCount, host.actions)
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
				t.Fatalf("%d nodes: request was not sent outside the drained subset: %v", nodeCount, host.actions)
			}
		}
		for id, n := range subsets {
			if n != want {
				t.Errorf("%d nodes: %s is in %d subsets, want %d", nodeCount, id, n, want)
			}
		}
	}
}

// Attempts at an endpoint that no longer responds to any node must not count as load of the remaining
// endpoints, and must not be followed by further attempts there. An endpoint that does not respond to one
// node is not excluded if another node has just received a response.
func TestSilentEndpointIsExcludedFromLoad(t *testing.T) {
	node, host := fleetNode(t, 0)
	if subsetSize := node.Stats().SubsetEndpoints; subsetSize != 4 {
		t.Fatalf("the subset contains %d endpoints, the test needs a node with all 4", subsetSize)
	}
	node.concurrency.responseRate = 100 // responses per second of a busy node
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
		t.Fatalf("reachable load %+v, want %+v", got, want)
	}
	node.now = testStart + time.Second
	if got, want := node.reachable(), (reachableLoad{0, 3}); got != want {
		t.Errorf("reachable load %+v after a second without responses, want %+v", got, want)
	}
	if to, all := countSentToS0(node, host, testStart+time.Second); all < 100 || to > 0 {
		t.Errorf("%d of %d requests were sent to an endpoint without recent responses, want none", to, all)
	}
	node.receiveLoads(encodedLoad(node.endpoints.trackedByID["s0"].shortHash, 3, 1))
	if out := node.reachable().inFlight; out != 3 {
		t.Errorf("%v attempts in flight after another node reported a load, want 3", out)
	}
}
