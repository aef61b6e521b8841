package balancer_test

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/golden"
)

// TestDecisions is the regression test for the balancer's decisions. Each scenario generates events from a
// seed, passes them to a few balancers, and hashes all their actions in order. The hashes in testdata require
// the same draws from the random source and the same order of floating-point operations. Log lines are not
// hashed.
//
// A change that must not affect behaviour has to pass with the recorded hashes. A change of decisions records
// new hashes, and its commit says why:
//
//	go test ./balancer -run TestDecisions -update
//
// To find where two versions diverge, write a trace with each version and compare the files:
//
//	go test ./balancer -run TestDecisions -trace-decisions DIRECTORY

var traceDecisions = flag.String("trace-decisions", "", "directory for traces of all events and actions")

const decisionsFile = "testdata/decisions.json"

// recordedArch is the architecture on which the hashes were recorded. On others the compiler fuses
// multiplications with additions, which changes the last bits. GOAMD64=v3 has the same effect.
const recordedArch = "amd64"

// scenario is a fleet with its settings, the number of events and the seed that they are drawn from.
type scenario struct {
	nodes     int
	endpoints int
	variant   variant
	events    int // calls of balancers' methods, after which no new requests arrive
	seed      uint64
}

// variant is a named change to the usual settings.
type variant struct {
	name  string
	apply func(*balancer.Settings)
}

var (
	usual      = variant{"usual", func(*balancer.Settings) {}}
	minimal    = variant{"minimal", disableOptionalFeatures}
	hedged     = variant{"hedged", enableHedging}
	polling    = variant{"polling", enablePolling}
	smallInbox = variant{"small-inbox", setSmallInbox}
	tinyInbox  = variant{"tiny-inbox", setTinyInbox}
	largeUnits = variant{"large-units", setLargeUnits}
)

var scenarios = []scenario{
	{1, 1, usual, 5000, 1},
	{1, 12, hedged, 8000, 2},
	{1, 12, minimal, 5000, 3},
	{1, 200, polling, 6000, 4},
	{1, 5000, usual, 1800, 5},
	{3, 1, minimal, 4000, 6},
	{3, 12, usual, 10000, 7},
	{3, 12, smallInbox, 8000, 8},
	{3, 200, hedged, 8000, 9},
	{3, 5000, polling, 2200, 10},
	{60, 1, smallInbox, 5000, 11},
	{60, 12, usual, 12000, 12},
	{60, 12, hedged, 8000, 13},
	{60, 200, largeUnits, 12000, 14},
	{60, 200, smallInbox, 8000, 15},
	{60, 5000, usual, 8000, 16},
	{300, 1, usual, 5000, 17},
	{300, 12, polling, 12000, 18},
	{300, 200, usual, 12000, 19},
	{300, 200, largeUnits, 12000, 20},
	{300, 200, minimal, 5000, 21},
	{300, 5000, largeUnits, 10000, 22},
	{300, 5000, smallInbox, 8000, 23},
	{3, 200, tinyInbox, 8000, 24},
	{300, 12, hedged, 10000, 25},
}

func (s scenario) name() string {
	return fmt.Sprintf("%dx%d-%s", s.nodes, s.endpoints, s.variant.name)
}

// actionCounts counts the actions of a scenario by kind. The tags are the names in the recorded file.
type actionCounts struct {
	Send        int
	Reject      int `json:"Refuse"`
	Fail        int
	Cancel      int
	SetTimer    int
	HealthCheck int `json:"Probe"`
	SendPeer    int `json:"Tell"`
	Watch       int
}

// digest is the recorded result of a scenario.
type digest struct {
	Scenario    string
	Events      int // calls of balancers' methods
	Actions     actionCounts
	Hash        string
	Checkpoints string // first digits of the hash after every checkpointEvery events
}

func TestDecisions(t *testing.T) {
	got := make([]digest, len(scenarios))
	if golden.Updating() {
		t.Cleanup(func() { writeDigests(t, got) })
	}
	want := readDigests(t)
	for i, s := range scenarios {
		t.Run(s.name(), func(t *testing.T) {
			t.Parallel()
			got[i] = runTraced(t, s)
			switch {
			case golden.Updating():
			case runtime.GOARCH == recordedArch:
				compareDigests(t, got[i], want[i])
			default: // the hashes differ on this architecture; check that a second run gives the same
				compareDigests(t, got[i], runScenario(s, io.Discard))
			}
		})
	}
}

// compareDigests reports a difference between digests, and the events between which it begins.
func compareDigests(t *testing.T, got, want digest) {
	t.Helper()
	t.Logf("%s: %d events, %+v", got.Scenario, got.Events, got.Actions)
	if got == want {
		return
	}
	same := 0
	for same < min(len(got.Checkpoints), len(want.Checkpoints)) &&
		got.Checkpoints[same] == want.Checkpoints[same] {
		same++
	}
	t.Errorf("%s: decisions have changed, first between events %d and %d\n got %+v\nwant %+v", got.Scenario,
		same/checkpointLength*checkpointEvery, (same/checkpointLength+1)*checkpointEvery, got, want)
}

// runTraced runs a scenario and writes its trace if the flag is set.
func runTraced(t *testing.T, s scenario) digest {
	t.Helper()
	if *traceDecisions == "" {
		return runScenario(s, io.Discard)
	}
	file, err := os.Create(filepath.Join(*traceDecisions, s.name()+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	trace := bufio.NewWriter(file)
	d := runScenario(s, trace)
	if err := trace.Flush(); err != nil {
		t.Error(err)
	}
	if err := file.Close(); err != nil {
		t.Error(err)
	}
	return d
}

// readDigests returns the recorded digests in the order of the scenarios, or nil when they are being updated.
func readDigests(t *testing.T) (digests []digest) {
	t.Helper()
	if golden.Updating() {
		return nil
	}
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &digests); err != nil {
		t.Fatal(err)
	}
	if len(digests) != len(scenarios) {
		t.Fatalf("%s: got %d digests, want %d", decisionsFile, len(digests), len(scenarios))
	}
	return digests
}

// writeDigests records the digests, provided that all scenarios have run without a failure.
func writeDigests(t *testing.T, digests []digest) {
	t.Helper()
	if t.Failed() || slices.Contains(digests, digest{}) {
		t.Error("digests not recorded: a scenario failed or did not run")
		return
	}
	text, err := json.MarshalIndent(digests, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(decisionsFile, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

// decisionClasses has a class of each idempotency and deduplication scope, and one with streamed responses.
func decisionClasses() []balancer.Class {
	const ms = time.Millisecond
	return []balancer.Class{
		{
			Name: "safe", Idempotency: balancer.Idempotent, LatencyObjective: 200 * ms,
			Deadline: time.Second, PriorityWeight: 1, LateWeightFraction: 0.3,
		},
		{
			Name: "zone", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone,
			DedupWindow: 300 * ms, LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 3,
		},
		{
			Name: "cell", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupCell,
			DedupWindow: 500 * ms, LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2,
		},
		{
			Name: "any", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupFleet,
			DedupWindow: 800 * ms, LatencyObjective: 400 * ms, Deadline: 2 * time.Second,
			PriorityWeight: 2,
		},
		{
			Name: "unsafe", Idempotency: balancer.NonIdempotent, LatencyObjective: 400 * ms,
			Deadline: time.Second, PriorityWeight: 4,
		},
		{
			Name: "stream", Idempotency: balancer.Idempotent, LatencyObjective: 500 * ms,
			Deadline: 2 * time.Second, PriorityWeight: 2, Stream: true,
		},
	}
}

// decisionPlans has a plan for each kind of quota.
func decisionPlans() []balancer.Plan {
	return []balancer.Plan{
		{Name: "rate", Rate: 40, Burst: 40, WeightFactor: 1},
		{
			Name: "hard", Rate: 20, Burst: 20, HardLimitRate: 25, HardLimitBurst: 24, HardLimitSlack: 1,
			WeightFactor: 1,
		},
		{Name: "open", MaxConcurrent: 4, WeightFactor: 1},
		{Name: "both", Rate: 30, Burst: 30, MaxConcurrent: 3, WeightFactor: 2},
		{
			Name: "over", Rate: 6, Burst: 6, HardLimitRate: 20, HardLimitBurst: 20, OverQuotaValue: 0.5,
			OverQuotaCost: 0.1, WeightFactor: 1,
		},
		{Name: "large", Rate: 300, Burst: 100, WeightFactor: 1},
		{Name: "bulk", Rate: 400_000, Burst: 800_000, WeightFactor: 1},
		{Name: "free", WeightFactor: 1},
	}
}

func (s scenario) settings(node int) balancer.Settings {
	settings := balancer.Settings{
		NodeIndex: node, NodeCount: s.nodes, Zone: zones[0],
		Classes: decisionClasses(), Plans: decisionPlans(),
		ResponseSlack: 10 * time.Millisecond, DrainTimeout: 200 * time.Millisecond,
		SlowStartInitialFraction: 0.2, SlowStartDuration: 2 * time.Second, OverloadFactor: 2,
		OverloadWindow: time.Second,
		MaxAttempts:    4, Cancellation: true, Gossip: true, HealthChecks: true, RetryAfter: true,
		MaxRetryAfter: 2 * time.Second,
		LoadReports:   balancer.LoadReportsInResponses, PeerMessagesPerSecond: 60, PostPaid: true,
		Tick:           time.Millisecond,
		CrossZonePrice: 0.2, PeerMessagePrice: 0.1, HealthCheckPrice: 0.1, WastedWorkPrice: 1,
	}
	s.variant.apply(&settings)
	return settings
}

func disableOptionalFeatures(s *balancer.Settings) {
	s.Gossip, s.HealthChecks, s.Hedging, s.Cancellation, s.RetryAfter, s.PostPaid =
		false, false, false, false, false, false
	s.LoadReports, s.MaxAttempts, s.PeerMessagesPerSecond, s.SlowStartDuration, s.CrossZonePrice =
		balancer.NoLoadReports, 2, 0, 0, 0
}

func enableHedging(s *balancer.Settings) {
	s.Hedging, s.MaxAttempts, s.PeerMessagesPerSecond = true, 0, 1000
	s.LoadReports = balancer.LoadReportsInHealthChecks
}

func enablePolling(s *balancer.Settings) {
	s.PollEndpoints, s.PollInterval, s.Hedging, s.PeerMessagesPerSecond = true, time.Second, true, 100
	s.LoadReports, s.PostPaid = balancer.LoadReportsInHealthChecks, false
}

func setSmallInbox(s *balancer.Settings) {
	s.PeerMessagesPerSecond, s.Cancellation, s.LoadReports, s.Tick =
		4, false, balancer.NoLoadReports, 5*time.Millisecond
}

// setTinyInbox sets a limit on peer messages so low that quotas have owners even in a fleet of a few nodes.
func setTinyInbox(s *balancer.Settings) { s.PeerMessagesPerSecond = 3 }

func setLargeUnits(s *balancer.Settings) { s.MaxUnits, s.PeerMessagesPerSecond = 400_000, 40 }

var zones = []string{"a", "b", "c"}
