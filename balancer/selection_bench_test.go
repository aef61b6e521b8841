package balancer

import (
	"fmt"
	"testing"
	"time"
)

// discardingHost ignores all actions except CancelAttempt and WatchEndpoints, which the benchmark does not
// cause.
type discardingHost struct{ hostRecorder }

func (*discardingHost) SendAttempt(string, string, time.Duration, time.Duration) {}
func (*discardingHost) Reject(string, time.Duration)                             {}
func (*discardingHost) Fail(string)                                              {}
func (*discardingHost) SetTimer(uint64, time.Duration)                           {}
func (*discardingHost) HealthCheck(string)                                       {}
func (*discardingHost) SendPeer(int, []byte)                                     {}

// BenchmarkRequest measures a request that is sent to an endpoint and answered, including one control
// interval for every 100 requests. The cases are a small fleet, in which all endpoints are tracked, a large
// fleet, and a large fleet whose subset is out of service, so that the reserve serves all requests.
func BenchmarkRequest(b *testing.B) {
	for _, bench := range []struct {
		name             string
		nodes, endpoints int
		lost             bool // the whole subset drains
	}{{"small", 2, 40, false}, {"large", 1000, 10_000, false}, {"lost subset", 1000, 10_000, true}} {
		b.Run(bench.name, func(b *testing.B) {
			s := testSettings()
			s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports = bench.nodes, 40, LoadReportsInResponses
			s.Plans[1].Rate, s.Plans[1].Burst = 1e9, 1e9
			node, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			host := &discardingHost{}
			now := testStart
			node.Start(now, host)
			var list []Endpoint
			for i := range bench.endpoints {
				list = append(list, Endpoint{
					ID: fmt.Sprintf("endpoint-%06d", i), MachineType: "k",
					Zone: "a",
				})
			}
			node.EndpointsUpdated(now, UpdateSnapshot, list, host)
			if bench.lost {
				for _, e := range node.endpoints.tracked {
					entry := e.Endpoint
					entry.State = Draining
					node.EndpointsUpdated(now, UpdateDelta, []Endpoint{entry}, host)
				}
			}
			ids := make([]string, 1000)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			load := &LoadReport{InFlight: 3, Queued: -1, Utilization: -1}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += ms
				id := ids[n%len(ids)]
				if n%100 == 0 {
					node.TimerFired(now, timerControlInterval, host)
				}
				node.RequestArrived(now, Request{
					ID: id, Class: "safe", Plan: "rate", Timeout: 2 * time.Second, Units: 1, EntryNodes: 1,
				}, host)
				node.AttemptFinished(now, Outcome{
					ID: id, Result: OK, Answered: true, Elapsed: 20 * ms, LoadReport: load,
				}, host)
			}
		})
	}
}
