package balancer

import (
	"log/slog"
	"strconv"
	"testing"
	"time"
)

// lastMessage is a host that copies the last message to a peer into a reused buffer and ignores all other
// actions.
type lastMessage struct {
	peer    int
	message []byte
}

func (*lastMessage) SendAttempt(string, string, time.Duration, time.Duration) {}
func (*lastMessage) Reject(string, time.Duration)                             {}
func (*lastMessage) Fail(string)                                              {}
func (*lastMessage) CancelAttempt(string, int)                                {}
func (*lastMessage) SetTimer(uint64, time.Duration)                           {}
func (*lastMessage) HealthCheck(string)                                       {}
func (*lastMessage) WatchEndpoints(bool)                                      {}
func (*lastMessage) Log(slog.Level, string, ...slog.Attr)                     {}

func (l *lastMessage) SendPeer(peer int, message []byte) {
	l.peer, l.message = peer, append(l.message[:0], message...)
}

// BenchmarkOwnedQuota measures requests whose quota is owned by another node, including the quota request,
// the grant and the attempt.
func BenchmarkOwnedQuota(b *testing.B) {
	settings := testSettings()
	settings.NodeCount, settings.PeerMessagesPerSecond, settings.LoadReports = 300, 40, LoadReportsInResponses
	settings.Plans[1].Rate, settings.Plans[1].Burst = 1e9, 1e9
	nodes, hosts := make([]*Balancer, settings.NodeCount), make([]lastMessage, settings.NodeCount)
	for node := range nodes {
		settings.NodeIndex = node
		var err error
		if nodes[node], err = New(settings, uint64(node)); err != nil {
			b.Fatal(err)
		}
		nodes[node].Start(0, &hosts[node])
		nodes[node].EndpointsUpdated(0, UpdateCached, equalEndpoints(400), &hosts[node])
	}
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes, request.FirstEntryNode = 100, 10
	report := &LoadReport{InFlight: 1, Queued: -1, Utilization: -1}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		request.ID, request.Tenant = strconv.Itoa(i), uint64(i%16)
		node := 10 + i%4
		requester, host := nodes[node], &hosts[node]
		host.message = host.message[:0]
		requester.RequestArrived(now, request, host)
		if len(host.message) > 0 {
			owner := host.peer
			nodes[owner].PeerMessage(now, node, host.message, &hosts[owner])
			requester.PeerMessage(now, owner, hosts[owner].message, host)
		}
		requester.AttemptFinished(now+ms, Outcome{
			ID: request.ID, Result: OK, Answered: true, Elapsed: ms,
			LoadReport: report,
		}, host)
		if i%100 == 0 {
			for _, member := range nodes[10:14] {
				member.TimerFired(now, timerControlInterval, &hosts[member.settings.NodeIndex])
			}
		}
	}
}

// BenchmarkGossip measures requests of a quota that is split between three nodes, with a gossip round after
// every tenth request.
func BenchmarkGossip(b *testing.B) {
	settings := testSettings()
	settings.NodeCount = 3
	nodes, hosts := make([]*Balancer, settings.NodeCount), make([]lastMessage, settings.NodeCount)
	for node := range nodes {
		settings.NodeIndex = node
		var err error
		if nodes[node], err = New(settings, uint64(node)); err != nil {
			b.Fatal(err)
		}
		nodes[node].Start(0, &hosts[node])
		nodes[node].EndpointsUpdated(0, UpdateCached, equalEndpoints(60), &hosts[node])
	}
	request := newRequest(0, "safe", "rate", 1)
	request.EntryNodes = settings.NodeCount
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		request.ID, request.Tenant = strconv.Itoa(i), uint64(i%16)
		node, host := nodes[i%3], &hosts[i%3]
		node.RequestArrived(now, request, host)
		node.AttemptFinished(now+ms, Outcome{ID: request.ID, Result: OK, Answered: true, Elapsed: ms}, host)
		if i%10 == 0 {
			host.message = host.message[:0]
			node.TimerFired(now, timerGossip, host)
			if len(host.message) > 0 {
				nodes[host.peer].PeerMessage(now, i%3, host.message, &hosts[host.peer])
			}
		}
	}
}
