package balancer

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"log/slog"
	"opalhook/internal/golden"
	"strings"
	"testing"
	"time"
)

// network connects nodes and writes a transcript of what they do. Each message is compared with the next one
// of a golden transcript, and the recorded message is what its receiver gets: so the transcript fixes what a
// node sends as well as what it makes of a message. The words of a transcript are those of the recorded
// ones.
type network struct {
	t          *testing.T
	now        time.Duration
	nodes      map[int]*Balancer
	recorded   [][]byte // messages of the golden file, in order
	transcript bytes.Buffer
	sentKinds  map[byte]int
	inTransit  []datagram
}

// datagram is a message on its way.
type datagram struct {
	from, to int
	message  []byte
}

// networkHost is the host of one node.
type networkHost struct {
	*network
	at int
}

func (e networkHost) note(format string, a ...any) {
	fmt.Fprintf(&e.transcript, "%v %d: %s\n", e.now, e.at, fmt.Sprintf(format, a...))
}

func (e networkHost) SendAttempt(id, endpointID string, _, _ time.Duration) {
	e.note("send %s %s", id, endpointID)
}

func (e networkHost) Reject(id string, wait time.Duration) {
	e.note("refuse %s %v", id, wait.Round(ms))
}

func (e networkHost) Fail(id string) { e.note("fail %s", id) }

func (e networkHost) CancelAttempt(id string, n int) { e.note("cancel %s %d", id, n) }

func (e networkHost) SetTimer(uint64, time.Duration) {}

func (e networkHost) HealthCheck(endpointID string) { e.note("probe %s", endpointID) }

func (e networkHost) WatchEndpoints(bool) {}

func (e networkHost) Log(slog.Level, string, ...slog.Attr) {}

func (e networkHost) SendPeer(peer int, message []byte) {
	e.note("tell %d %x", peer, message)
	e.sentKinds[message[0]]++
	sent := bytes.Clone(message)
	if len(e.recorded) > 0 {
		sent, e.recorded = e.recorded[0], e.recorded[1:]
	}
	e.inTransit = append(e.inTransit, datagram{e.at, peer, sent})
}

// deliver delivers all messages in transit, and those that follow from them.
func (l *network) deliver() {
	for len(l.inTransit) > 0 {
		d := l.inTransit[0]
		l.inTransit = l.inTransit[1:]
		l.now += 5 * ms
		if g := l.nodes[d.to]; g != nil {
			g.PeerMessage(l.now, d.from, d.message, networkHost{l, d.to})
		}
	}
}

func (l *network) request(at int, q Request) {
	l.nodes[at].RequestArrived(l.now, q, networkHost{l, at})
	l.deliver()
}

func (l *network) outcome(at int, o Outcome) {
	l.nodes[at].AttemptFinished(l.now, o, networkHost{l, at})
	l.deliver()
}

func (l *network) timer(at int, token uint64) {
	l.nodes[at].TimerFired(l.now, token, networkHost{l, at})
	l.deliver()
}

// endpoint returns the endpoint that a request was sent to last.
func (l *network) endpoint(id string) (endpointID string) {
	for line := range strings.Lines(l.transcript.String()) {
		if _, to, sent := strings.Cut(line, ": send "+id+" "); sent {
			endpointID = strings.TrimSpace(to)
		}
	}
	return endpointID
}

// join adds a node, or starts one anew.
func (l *network) join(at int, s Settings, endpoints []Endpoint) {
	l.t.Helper()
	s.NodeIndex = at
	g, err := New(s, uint64(at+1)+uint64(l.now-t0))
	if err != nil {
		l.t.Fatal(err)
	}
	l.nodes[at] = g
	g.Start(l.now, networkHost{l, at})
	g.EndpointsUpdated(l.now, UpdateCached, endpoints, networkHost{l, at})
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

// networkCases are situations of a fleet; want are the kinds of messages that are exchanged.
var networkCases = []struct {
	name string
	want []byte
	play func(*network)
}{
	{"gossip", []byte{kindGossip}, playGossip},
	{"quota_requests", []byte{kindQuotaRequest, kindQuotaGrant}, playQuotaRequests},
	{"leases", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease}, playLeases},
	{"reconciliation", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease, kindReconciliation}, playReconciliation},
}

// Nodes exchange the recorded messages and do what was recorded on receiving them.
func TestGoldenDatagrams(t *testing.T) {
	for _, c := range networkCases {
		t.Run(c.name, func(t *testing.T) {
			name := "datagrams/" + c.name + ".txt"
			play := func(recorded [][]byte) *network {
				l := &network{t: t, now: t0, nodes: map[int]*Balancer{}, recorded: recorded, sentKinds: map[byte]int{}}
				c.play(l)
				return l
			}
			free := play(nil)
			transcript := golden.Check(t, name, free.transcript.Bytes())
			golden.Same(t, name+" with the recorded messages", play(transcriptMessages(t, transcript)).transcript.Bytes(), transcript)
			for _, kind := range c.want {
				if free.sentKinds[kind] == 0 {
					t.Errorf("no message of kind %d", kind)
				}
			}
		})
	}
}

// playGossip has two nodes split quotas with a rate, a limit on attempts in flight and a hard limit, and
// gossip, of which the second message is lost. What the other one then sends shows what it took in.
func playGossip(l *network) {
	s := testSettings()
	s.NodeCount = 2
	l.join(0, s, fleet(60))
	l.join(1, s, fleet(60))
	for round, tenant := range []uint64{1, 1 << 40, 1, 3} {
		for n, plan := range []string{"rate", "open", "hard"} {
			q := newRequest(10*round+n, "safe", plan, tenant+uint64(n)*100)
			q.EntryNodes, q.FirstEntryNode, q.Units = 2, round%2, float64(7-2*n)
			l.request(0, q)
		}
		if round == 2 {
			l.outcome(0, Outcome{ID: "r1", Result: OK, Answered: true, EndpointID: l.endpoint("r1"), Elapsed: 3 * ms})
		}
		if round == 1 { // this message is lost
			l.nodes[0].TimerFired(l.now, timerGossip, networkHost{l, 0})
			l.inTransit = nil
		} else {
			l.timer(0, timerGossip)
		}
		l.now += 50 * ms
	}
	for round := range 7 {
		for n, tenant := range []uint64{1, 1 << 40, 3} {
			for i, plan := range []string{"rate", "open"} {
				q := newRequest(1000+100*round+10*n+i, "safe", plan, tenant+uint64(i)*100)
				q.EntryNodes, q.FirstEntryNode, q.Units = 2, n%2, 4
				l.request(1, q)
			}
		}
		l.timer(1, timerGossip)
	}
}

// ownedQuotaSettings are those of a fleet so large that quotas have owners.
func ownedQuotaSettings() Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports, s.MaxUnits = 60, 8, LoadReportsInResponses, 100
	return s
}

// entryNodesRequest is a request of a tenant whose entry nodes are 10 to 19.
func entryNodesRequest(n int, plan string, tenant uint64, units float64) Request {
	q := newRequest(n, "safe", plan, tenant)
	q.EntryNodes, q.FirstEntryNode, q.Units = 10, 10, units
	return q
}

// joinEntryNodes adds the nodes 10 to 19.
func (l *network) joinEntryNodes(s Settings, endpoints int) {
	for at := 10; at < 20; at++ {
		l.join(at, s, fleet(endpoints))
	}
}

// playQuotaRequests has requesters ask owners, with reports of loads, errors, endpoints that refuse
// connections and tenants over their quota.
func playQuotaRequests(l *network) {
	l.joinEntryNodes(ownedQuotaSettings(), 120)
	results := []Result{OK, ErrorResponse, OK, ConnectFailed, OK, TimedOut}
	for n := range 24 {
		q, at := entryNodesRequest(n, "rate", 77+uint64(n%6), float64(1+6*(n%4))), 10+n%2
		l.request(at, q)
		if endpointID := l.endpoint(q.ID); endpointID != "" {
			l.outcome(at, Outcome{
				ID: q.ID, Result: results[n%len(results)], Answered: true, EndpointID: endpointID, Elapsed: 20 * ms,
				LoadReport: &LoadReport{InFlight: float64(3 + 10*n), Queued: 2, Utilization: 0.5},
			})
		}
		if n%5 == 4 {
			for at := range 3 {
				l.timer(10+at, timerControlInterval)
			}
		}
		l.now += 15 * ms
	}
	for n := range 6 { // at others: what was reported is passed on
		l.request(12+n, entryNodesRequest(100+n, "rate", uint64(77+n), 1))
	}
}

// playLeases has requesters take leases of attempts in flight and release them.
func playLeases(l *network) {
	l.joinEntryNodes(ownedQuotaSettings(), 600)
	for n := range 12 {
		q, at := entryNodesRequest(n, "open", 5, 1), 10+n%2
		l.request(at, q)
		l.now += 50 * ms
		if n%3 == 2 {
			l.outcome(at, Outcome{ID: q.ID, Result: OK, Answered: true, EndpointID: l.endpoint(q.ID), Elapsed: 20 * ms})
		}
	}
}

// playReconciliation has requesters release units that were not used, and report by how much the units used
// differ from the estimates. Each owner can grant what is requested of it then for that reason alone.
func playReconciliation(l *network) {
	s := ownedQuotaSettings()
	s.PostPaid = true
	l.joinEntryNodes(s, 600)
	settle := func(at int, id string, units float64) {
		l.outcome(at, Outcome{ID: id, Result: OK, Answered: true, EndpointID: l.endpoint(id), Elapsed: 20 * ms, Units: units})
	}
	for n := range 24 { // beyond the quota, so that the owner reports a granted fraction
		l.request(10+n%8, entryNodesRequest(n, "rate", 9, 15))
		l.now += 10 * ms
	}
	l.request(10, entryNodesRequest(25, "rate", 80, 1)) // of a tenant whose owner has not heard of that fraction
	settle(10, "r0", 8)
	l.request(18, entryNodesRequest(30, "rate", 9, 15))
	settle(11, "r1", 9)
	l.request(19, entryNodesRequest(31, "rate", 9, 9))
	// A quota request carries what was not reported before.
	l.request(13, entryNodesRequest(40, "rate", 31, 30))
	settle(13, "r40", 1)
	l.request(13, entryNodesRequest(41, "rate", 31, 35))
	// A node that has restarted has reconciled nothing in its new incarnation.
	l.join(13, s, fleet(600))
	l.request(13, entryNodesRequest(42, "rate", 31, 3))
	// No endpoint is left when the grant comes.
	l.nodes[11].RequestArrived(l.now, entryNodesRequest(50, "rate", 77, 3), networkHost{l, 11})
	l.nodes[11].EndpointsUpdated(l.now, UpdateSnapshot, nil, networkHost{l, 11})
	l.deliver()
	l.request(13, entryNodesRequest(51, "rate", 77, 39))
	// The next quota request carries what was rejected locally.
	l.now += 100 * ms
	l.request(16, entryNodesRequest(60, "rate", 9, 1))
}
