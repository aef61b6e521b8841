package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/golden"
)

// The events parsed from the golden script match the golden descriptions, and the script contains every kind
// of event.
func TestGoldenEvents(t *testing.T) {
	in := NewReader(bytes.NewReader(golden.Read(t, "golden/script.txt")))
	var described strings.Builder
	kinds := map[string]bool{}
	for {
		event, err := in.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		text := describe(event)
		fmt.Fprintf(&described, "%d: %s\n", in.Line(), text)
		kind, _, _ := strings.Cut(text, " ")
		kinds[kind] = true
	}
	golden.Check(t, "golden/events.txt", []byte(described.String()))
	for _, kind := range []string{"clock", "commit", "launch", "halt", "list", "accept", "headers", "completed", "left", "timer", "probe", "message", "total"} {
		if !kinds[kind] {
			t.Errorf("no event of kind %s is read", kind)
		}
	}
}

// describe returns a text with all values of an event that the balancer gets. The texts are in a golden file,
// so they do not change with the names of Go types and fields.
func describe(event Event) string {
	switch e := event.(type) {
	case Clock:
		return fmt.Sprint("clock ", e.Now)
	case Commit:
		return "commit"
	case StartNode:
		return fmt.Sprint("launch ", e.Node, " seed ", e.Seed, describeSettings(e.Settings))
	case StopNode:
		return fmt.Sprint("halt ", e.Node)
	case EndpointList:
		text := fmt.Sprint("list ", e.Node, " form ", int(e.Kind))
		for _, s := range e.Endpoints {
			text += fmt.Sprintf("\n  %q state %d weight %v kind %q zone %q cell %d boot %v", s.ID, int(s.State), s.Weight, s.MachineType, s.Zone, s.Cell, s.StartedAt)
		}
		return text
	case RequestArrived:
		q := e.Request
		return fmt.Sprintf("accept %d %q class %q plan %q customer %d grace %v units %v spread %d first %d", e.Node, q.ID, q.Class, q.Plan, q.Tenant, q.Timeout, q.Units, q.EntryNodes, q.FirstEntryNode)
	case ResponseStarted:
		return fmt.Sprintf("headers %d %q attempt %d", e.Node, e.ID, e.Attempt)
	case AttemptFinished:
		o := e.Outcome
		return fmt.Sprintf("completed %d %q attempt %d closed %t result %d server %q took %v units %v since %v %s", e.Node, o.ID, o.Attempt, o.Answered, int(o.Result), o.EndpointID, o.Elapsed, o.Units, o.ConnectedAt, describeLoad(o.LoadReport))
	case ClientGone:
		return fmt.Sprintf("left %d %q", e.Node, e.ID)
	case TimerFired:
		return fmt.Sprint("timer ", e.Node, " ", e.Token)
	case HealthChecked:
		return fmt.Sprintf("probe %d %q result %d took %v %s", e.Node, e.EndpointID, int(e.Result), e.Elapsed, describeLoad(e.LoadReport))
	case PeerMessage:
		return fmt.Sprintf("message %d from %d %x", e.Node, e.From, e.Payload)
	case CounterRead:
		return fmt.Sprint("total ", e.Node)
	}
	return fmt.Sprintf("unknown %T", event)
}

func describeLoad(l *balancer.LoadReport) string {
	if l == nil {
		return "no load"
	}
	return fmt.Sprint("in flight ", l.InFlight, " queue ", l.Queued, " util ", l.Utilization)
}

func describeSettings(s balancer.Settings) string {
	text := fmt.Sprintf("\n  me %d of %d zone %q answer slack %v drain grace %v cold from %v ramp %v fall %v overload %v", s.NodeIndex, s.NodeCount, s.Zone, s.ResponseSlack, s.DrainTimeout, s.SlowStartInitialFraction, s.SlowStartDuration, s.OverloadFactor, s.OverloadWindow)
	text += fmt.Sprintf("\n  attempts %d parallel %t cancel %t peers %t probes %t retry after %t up to %v", s.MaxAttempts, s.Hedging, s.Cancellation, s.Gossip, s.HealthChecks, s.RetryAfter, s.MaxRetryAfter)
	text += fmt.Sprintf("\n  report %d ask list %t within %v inbox %v post-paid %t most units %v tick %v", int(s.LoadReports), s.PollEndpoints, s.PollInterval, s.PeerMessagesPerSecond, s.PostPaid, s.MaxUnits, s.Tick)
	text += fmt.Sprintf("\n  prices: cross %v peer %v probe %v waste %v", s.CrossZonePrice, s.PeerMessagePrice, s.HealthCheckPrice, s.WastedWorkPrice)
	for _, c := range s.Classes {
		text += fmt.Sprintf("\n  class %q effect %d group %d window %v aim %v deadline %v worth %v late %v stream %t", c.Name, int(c.Idempotency), int(c.DedupScope), c.DedupWindow, c.LatencyObjective, c.Deadline, c.PriorityWeight, c.LateWeightFraction, c.Stream)
	}
	for _, p := range s.Plans {
		text += fmt.Sprintf("\n  plan %q rate %v burst %v open %d ceiling %v %v %v price %v over %v %v", p.Name, p.Rate, p.Burst, p.MaxConcurrent, p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack, p.WeightFactor, p.OverQuotaValue, p.OverQuotaCost)
	}
	return text
}

// The encoding of every kind of action matches the golden files.
func TestGoldenActions(t *testing.T) {
	r := Reply{Node: 17}
	var out balancer.Actions = &r
	out.SendAttempt("rq_1", "s.a", 80*time.Millisecond, time.Second)
	out.SendAttempt("rq_1", "s.b", 0, 0)
	out.SendAttempt("rq_1", "s.c", 1234567*time.Nanosecond, 0)
	out.Reject("rq_2", 250*time.Millisecond)
	out.Reject("rq_3", 0)
	out.Fail("rq_4")
	out.CancelAttempt("rq_1", 2)
	out.SetTimer(1<<62|5, 1500*time.Microsecond)
	out.SetTimer(0, time.Hour)
	out.HealthCheck("s.d")
	out.SendPeer(balancer.AllPeers, []byte{0, 1, 254, 255})
	out.SendPeer(0, []byte("hi"))
	out.SendPeer(299, nil)
	out.WatchEndpoints(true)
	out.WatchEndpoints(false)
	out.Log(slog.LevelInfo, " two\n lines\tand  spaces ")
	r.Crash("panic:\nindex out of range")
	golden.Check(t, "golden/reply.txt", r.Take())
	golden.Check(t, "golden/reply-empty.txt", r.Take())
}
