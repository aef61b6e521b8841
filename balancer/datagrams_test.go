package balancer

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"opalhook/internal/golden"
)

// network connects nodes and writes a transcript of their actions. If it has recorded messages of a golden
// transcript, it delivers the next recorded message in place of each message that a node sends. A comparison
// of the two transcripts then checks both the messages that nodes send and their reaction to the recorded
// messages.
//
// The transcript keeps the words of the golden files: tell for a message to a peer, refuse for a rejection
// and probe for a health check.
type network struct {
	t          *testing.T
	now        time.Duration
	nodes      map[int]*Balancer
	recorded   [][]byte // messages of the golden file that are not delivered yet, in order
	transcript bytes.Buffer
	sentKinds  map[byte]int // number of messages sent, by kind
	inTransit  []datagram
}

// datagram is a message in transit.
type datagram struct {
	from, to int
	message  []byte
}

// networkHost is the host of one node.
type networkHost struct {
	*network
	node int
}

func (e networkHost) record(format string, a ...any) {
	fmt.Fprintf(&e.transcript, "%v %d: %s\n", e.now, e.node, fmt.Sprintf(format, a...))
}

func (e networkHost) SendAttempt(id, endpointID string, _, _ time.Duration) {
	e.record("send %s %s", id, endpointID)
}

func (e networkHost) Reject(id string, wait time.Duration) {
	e.record("refuse %s %v", id, wait.Round(ms))
}

func (e networkHost) Fail(id string) { e.record("fail %s", id) }

func (e networkHost) CancelAttempt(id string, n int) { e.record("cancel %s %d", id, n) }

func (e networkHost) SetTimer(uint64, time.Duration) {}

func (e networkHost) HealthCheck(endpointID string) { e.record("probe %s", endpointID) }

func (e networkHost) WatchEndpoints(bool) {}

func (e networkHost) Log(slog.Level, string, ...slog.Attr) {}

func (e networkHost) SendPeer(peer int, message []byte) {
	e.record("tell %d %x", peer, message)
	e.sentKinds[message[0]]++
	sent := bytes.Clone(message)
	if len(e.recorded) > 0 {
		sent, e.recorded = e.recorded[0], e.recorded[1:]
	}
	e.inTransit = append(e.inTransit, datagram{e.node, peer, sent})
}

// deliver delivers all messages in transit and the messages that nodes send in response.
func (net *network) deliver() {
	for len(net.inTransit) > 0 {
		d := net.inTransit[0]
		net.inTransit = net.inTransit[1:]
		net.now += 5 * ms
		if node := net.nodes[d.to]; node != nil {
			node.PeerMessage(net.now, d.from, d.message, networkHost{net, d.to})
		}
	}
}

func (net *network) request(node int, request Request) {
	net.nodes[node].RequestArrived(net.now, request, networkHost{net, node})
	net.deliver()
}

func (net *network) outcome(node int, o Outcome) {
	net.nodes[node].AttemptFinished(net.now, o, networkHost{net, node})
	net.deliver()
}

func (net *network) timer(node int, token uint64) {
	net.nodes[node].TimerFired(net.now, token, networkHost{net, node})
	net.deliver()
}

// endpoint returns the endpoint to which a request was sent last.
func (net *network) endpoint(id string) (endpointID string) {
	for line := range strings.Lines(net.transcript.String()) {
		if _, to, sent := strings.Cut(line, ": send "+id+" "); sent {
			endpointID = strings.TrimSpace(to)
		}
	}
	return endpointID
}

// startNode starts a node, or restarts it.
func (net *network) startNode(index int, s Settings, endpoints []Endpoint) {
	net.t.Helper()
	s.NodeIndex = index
	node, err := New(s, uint64(index+1)+uint64(net.now-testStart))
	if err != nil {
		net.t.Fatal(err)
	}
	net.nodes[index] = node
	node.Start(net.now, networkHost{net, index})
	node.EndpointsUpdated(net.now, UpdateCached, endpoints, networkHost{net, index})
}

// transcriptMessages returns the messages of a transcript.
func transcriptMessages(t *testing.T, transcript []byte) (all [][]byte) {
	t.Helper()
	for line := range strings.Lines(string(transcript)) {
		if f := strings.Fields(line); len(f) == 5 && f[2] == "tell" {
			message, err := hex.DecodeString(f[4])
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, message)
		}
	}
	return all
}

// networkCases are scenarios of a fleet. want contains the kinds of messages that the nodes must send.
var networkCases = []struct {
	name string
	want []byte
	run  func(*network)
}{
	{"gossip", []byte{kindGossip}, runGossip},
	{"quota_requests", []byte{kindQuotaRequest, kindQuotaGrant}, runQuotaRequests},
	{"leases", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease}, runLeases},
	{"reconciliation", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease, kindReconciliation}, runReconciliation},
}

// Guards against changes of the message formats and of the reactions to messages. Each scenario runs twice:
// once with the messages that the nodes send and once with the recorded messages. Both transcripts must
// equal the golden file.
func TestGoldenDatagrams(t *testing.T) {
	for _, c := range networkCases {
		t.Run(c.name, func(t *testing.T) {
			name := "datagrams/" + c.name + ".txt"
			run := func(recorded [][]byte) *network {
				net := &network{t: t, now: testStart, nodes: map[int]*Balancer{}, recorded: recorded, sentKinds: map[byte]int{}}
				c.run(net)
				return net
			}
			live := run(nil)
			transcript := golden.Check(t, name, live.transcript.Bytes())
			golden.Compare(t, name+" with the recorded messages", run(transcriptMessages(t, transcript)).transcript.Bytes(), transcript)
			for _, kind := range c.want {
				if live.sentKinds[kind] == 0 {
					t.Errorf("no message of kind %d", kind)
				}
			}
		})
	}
}

// runGossip runs two nodes that split quotas with a rate, a concurrency limit and a hard limit. The gossip
// of node 0 is lost in the second round. The requests that node 1 then admits show which reports it has
// applied.
func runGossip(net *network) {
	s := testSettings()
	s.NodeCount = 2
	net.startNode(0, s, equalEndpoints(60))
	net.startNode(1, s, equalEndpoints(60))
	for round, tenant := range []uint64{1, 1 << 40, 1, 3} {
		for n, plan := range []string{"rate", "open", "hard"} {
			request := newRequest(10*round+n, "safe", plan, tenant+uint64(n)*100)
			request.EntryNodes, request.FirstEntryNode, request.Units = 2, round%2, float64(7-2*n)
			net.request(0, request)
		}
		if round == 2 {
			net.outcome(0, Outcome{ID: "r1", Result: OK, Answered: true, EndpointID: net.endpoint("r1"), Elapsed: 3 * ms})
		}
		if round == 1 { // the messages of this round are lost
			net.nodes[0].TimerFired(net.now, timerGossip, networkHost{net, 0})
			net.inTransit = nil
		} else {
			net.timer(0, timerGossip)
		}
		net.now += 50 * ms
	}
	for round := range 7 {
		for n, tenant := range []uint64{1, 1 << 40, 3} {
			for i, plan := range []string{"rate", "open"} {
				request := newRequest(1000+100*round+10*n+i, "safe", plan, tenant+uint64(i)*100)
				request.EntryNodes, request.FirstEntryNode, request.Units = 2, n%2, 4
				net.request(1, request)
			}
		}
		net.timer(1, timerGossip)
	}
}

// ownedQuotaSettings returns the settings of a fleet that is large enough for quotas to have owners.
func ownedQuotaSettings() Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports, s.MaxUnits = 60, 8, LoadReportsInResponses, 100
	return s
}

// entryNodesRequest returns a request of a tenant whose entry nodes are 10 to 19.
func entryNodesRequest(n int, plan string, tenant uint64, units float64) Request {
	request := newRequest(n, "safe", plan, tenant)
	request.EntryNodes, request.FirstEntryNode, request.Units = 10, 10, units
	return request
}

// startEntryNodes starts nodes 10 to 19.
func (net *network) startEntryNodes(s Settings, endpoints int) {
	for node := 10; node < 20; node++ {
		net.startNode(node, s, equalEndpoints(endpoints))
	}
}

// runQuotaRequests runs requesters that send quota requests to owners. The attached gossip contains loads,
// errors, refused connections and tenants over their quota.
func runQuotaRequests(net *network) {
	net.startEntryNodes(ownedQuotaSettings(), 120)
	results := []Result{OK, ErrorResponse, OK, ConnectFailed, OK, TimedOut}
	for n := range 24 {
		request, node := entryNodesRequest(n, "rate", 77+uint64(n%6), float64(1+6*(n%4))), 10+n%2
		net.request(node, request)
		if endpointID := net.endpoint(request.ID); endpointID != "" {
			net.outcome(node, Outcome{
				ID: request.ID, Result: results[n%len(results)], Answered: true, EndpointID: endpointID, Elapsed: 20 * ms,
				LoadReport: &LoadReport{InFlight: float64(3 + 10*n), Queued: 2, Utilization: 0.5},
			})
		}
		if n%5 == 4 {
			for offset := range 3 {
				net.timer(10+offset, timerControlInterval)
			}
		}
		net.now += 15 * ms
	}
	for n := range 6 { // other nodes, which pass on the reports they have received
		net.request(12+n, entryNodesRequest(100+n, "rate", uint64(77+n), 1))
	}
}

// runLeases runs requesters that are granted leases for attempts in flight and release some of them.
func runLeases(net *network) {
	net.startEntryNodes(ownedQuotaSettings(), 600)
	for n := range 12 {
		request, node := entryNodesRequest(n, "open", 5, 1), 10+n%2
		net.request(node, request)
		net.now += 50 * ms
		if n%3 == 2 {
			net.outcome(node, Outcome{ID: request.ID, Result: OK, Answered: true, EndpointID: net.endpoint(request.ID), Elapsed: 20 * ms})
		}
	}
}

// runReconciliation runs requesters that release unused units and report the difference between used and
// estimated units. The owners can grant some of the requests only because of these units.
func runReconciliation(net *network) {
	s := ownedQuotaSettings()
	s.PostPaid = true
	net.startEntryNodes(s, 600)
	finish := func(node int, id string, units float64) {
		net.outcome(node, Outcome{ID: id, Result: OK, Answered: true, EndpointID: net.endpoint(id), Elapsed: 20 * ms, Units: units})
	}
	for n := range 24 { // more than the quota, so that the owner reports a granted fraction below 1
		net.request(10+n%8, entryNodesRequest(n, "rate", 9, 15))
		net.now += 10 * ms
	}
	net.request(10, entryNodesRequest(25, "rate", 80, 1)) // the owner of this tenant has no report of that fraction
	finish(10, "r0", 8)
	net.request(18, entryNodesRequest(30, "rate", 9, 15))
	finish(11, "r1", 9)
	net.request(19, entryNodesRequest(31, "rate", 9, 9))
	// The next quota request reports the correction of the previous request.
	net.request(13, entryNodesRequest(40, "rate", 31, 30))
	finish(13, "r40", 1)
	net.request(13, entryNodesRequest(41, "rate", 31, 35))
	// A restarted node has a new incarnation and a sum of corrections of 0.
	net.startNode(13, s, equalEndpoints(600))
	net.request(13, entryNodesRequest(42, "rate", 31, 3))
	// No endpoint is left when the grant arrives, so the requester releases the granted units.
	net.nodes[11].RequestArrived(net.now, entryNodesRequest(50, "rate", 77, 3), networkHost{net, 11})
	net.nodes[11].EndpointsUpdated(net.now, UpdateSnapshot, nil, networkHost{net, 11})
	net.deliver()
	net.request(13, entryNodesRequest(51, "rate", 77, 39))
	// The next quota request reports the units that were rejected locally.
	net.now += 100 * ms
	net.request(16, entryNodesRequest(60, "rate", 9, 1))
}
