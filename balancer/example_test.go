package balancer_test

import (
	"fmt"
	"log/slog"
	"time"

	"opalhook/balancer"
)

// printer is a host that prints the actions instead of carrying them out.
type printer struct{}

func (printer) SendAttempt(id, endpoint string, timeout, sendBy time.Duration) {
	fmt.Println("send", id, "to", endpoint)
}
func (printer) Reject(id string, retryAfter time.Duration)       { fmt.Println("reject", id) }
func (printer) Fail(id string)                                   { fmt.Println("fail", id) }
func (printer) CancelAttempt(id string, attempt int)             { fmt.Println("cancel", id, attempt) }
func (printer) SetTimer(token uint64, after time.Duration)       {}
func (printer) HealthCheck(endpoint string)                      {}
func (printer) SendPeer(peer int, message []byte)                {}
func (printer) WatchEndpoints(on bool)                           {}
func (printer) Log(_ slog.Level, message string, _ ...slog.Attr) { fmt.Println(message) }

func Example() {
	settings := balancer.Settings{
		NodeCount: 1,
		Classes: []balancer.Class{{
			Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: time.Second,
			Deadline: 2 * time.Second, PriorityWeight: 1,
		}},
		Plans: []balancer.Plan{{Name: "basic", Rate: 1, Burst: 2, WeightFactor: 1}},
	}
	b, err := balancer.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var host printer
	now := time.Duration(0)
	b.Start(now, host)
	b.EndpointsUpdated(now, balancer.UpdateSnapshot, []balancer.Endpoint{{ID: "alpha"}}, host)
	for _, id := range []string{"r1", "r2", "r3"} {
		b.RequestArrived(now, balancer.Request{
			ID: id, Class: "read", Plan: "basic", Tenant: 7,
			Timeout: time.Second, Units: 1, EntryNodes: 1,
		}, host)
	}
	b.AttemptFinished(now, balancer.Outcome{
		ID: "r1", Result: balancer.OK, Answered: true, Elapsed: 20 * time.Millisecond,
	}, host)
	// Output:
	// send r1 to alpha
	// send r2 to alpha
	// reject r3
}
