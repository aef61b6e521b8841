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

// The regression check of decisions. Each scenario plays a script of events, drawn from a seed, to a few
// gateways and hashes all that they ask for, in order. The hashes in testdata hold bit by bit: the same draws
// from the random source, the same order of floating-point operations. Only the text of log lines is left out.
//
// A change that is to leave behaviour as it is must pass with the hashes as they are. One that changes
// decisions records new hashes, and its commit says why:
//
//	go test ./choice -run TestDecisions -update
//
// To see where two versions part, let each write its trace and compare the files:
//
//	go test ./choice -run TestDecisions -trace-decisions DIRECTORY

var traceDecisions = flag.String("trace-decisions", "", "directory for a text of all events and actions")

const decisionsFile = "testdata/decisions.json"

// recordedOn is the architecture on which the hashes were recorded. On others the compiler fuses
// multiplications with additions, which changes the last bits. The same goes for GOAMD64=v3.
const recordedOn = "amd64"

// scenario is one play: a fleet, its settings and the length of the script.
type scenario struct {
	nodes     int
	endpoints int
	variant   variant
	events    int
	seed      uint64
}

// variant is a named change of the usual settings.
type variant struct {
	name  string
	apply func(*balancer.Settings)
}

var (
	usual   = variant{"usual", func(*balancer.Settings) {}}
	mute    = variant{"mute", settingsWithoutExtras}
	hedged  = variant{"hedged", settingsWithHedges}
	asking  = variant{"asking", settingsWithWatch}
	slow    = variant{"slow", settingsWithSmallInbox}
	told    = variant{"told", settingsWithNews}
	prepaid = variant{"prepaid", settingsWithLargeUnits}
)

var scenarios = []scenario{
	{1, 1, usual, 5000, 1},
	{1, 12, hedged, 8000, 2},
	{1, 12, mute, 5000, 3},
	{1, 200, asking, 6000, 4},
	{1, 5000, usual, 1800, 5},
	{3, 1, mute, 4000, 6},
	{3, 12, usual, 10000, 7},
	{3, 12, slow, 8000, 8},
	{3, 200, hedged, 8000, 9},
	{3, 5000, asking, 2200, 10},
	{60, 1, slow, 5000, 11},
	{60, 12, usual, 12000, 12},
	{60, 12, hedged, 8000, 13},
	{60, 200, prepaid, 12000, 14},
	{60, 200, slow, 8000, 15},
	{60, 5000, usual, 8000, 16},
	{300, 1, usual, 5000, 17},
	{300, 12, asking, 12000, 18},
	{300, 200, usual, 12000, 19},
	{300, 200, prepaid, 12000, 20},
	{300, 200, mute, 5000, 21},
	{300, 5000, prepaid, 10000, 22},
	{300, 5000, slow, 8000, 23},
	{3, 200, told, 8000, 24},
	{300, 12, hedged, 10000, 25},
}

func (s scenario) name() string {
	return fmt.Sprintf("%dx%d-%s", s.nodes, s.endpoints, s.variant.name)
}

// actionCounts tells how many actions of each kind a play has seen.
type actionCounts struct {
	Send, Refuse, Fail, Cancel, SetTimer, Probe, Tell, Watch int
}

// digest is the outcome of a play.
type digest struct {
	Scenario    string
	Events      int // calls of gateways' methods
	Actions     actionCounts
	Hash        string
	Checkpoints string // first digits of the hash after each thousand events
}

func TestDecisions(t *testing.T) {
	got := make([]digest, len(scenarios))
	if golden.Updating() {
		t.Cleanup(func() { writeDigests(t, got) })
	}
	want := wantedDigests(t)
	for i, s := range scenarios {
		t.Run(s.name(), func(t *testing.T) {
			t.Parallel()
			got[i] = playTraced(t, s)
			switch {
			case golden.Updating():
			case runtime.GOARCH == recordedOn:
				compareDigests(t, got[i], want[i])
			default: // the hashes hold for another machine: that a play repeats itself can be seen on all
				compareDigests(t, got[i], play(s, io.Discard))
			}
		})
	}
}

// compareDigests reports a difference and about where it begins.
func compareDigests(t *testing.T, got, want digest) {
	t.Helper()
	t.Logf("%s: %d events, %+v", got.Scenario, got.Events, got.Actions)
	if got == want {
		return
	}
	same := 0
	for same < min(len(got.Checkpoints), len(want.Checkpoints)) && got.Checkpoints[same] == want.Checkpoints[same] {
		same++
	}
	t.Errorf("%s: decisions have changed, first between the events %d and %d\n got %+v\nwant %+v", got.Scenario,
		same/checkpointLength*checkpointEvery, (same/checkpointLength+1)*checkpointEvery, got, want)
}

// playTraced plays a scenario and writes its trace where one is asked for.
func playTraced(t *testing.T, s scenario) digest {
	t.Helper()
	if *traceDecisions == "" {
		return play(s, io.Discard)
	}
	file, err := os.Create(filepath.Join(*traceDecisions, s.name()+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	trace := bufio.NewWriter(file)
	d := play(s, trace)
	if err := trace.Flush(); err != nil {
		t.Error(err)
	}
	if err := file.Close(); err != nil {
		t.Error(err)
	}
	return d
}

// wantedDigests returns what is recorded, a digest for each scenario.
func wantedDigests(t *testing.T) (digests []digest) {
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
		t.Fatalf("%d scenarios, %d are recorded", len(scenarios), len(digests))
	}
	return digests
}

// writeDigests records what has been played, if that is all.
func writeDigests(t *testing.T, digests []digest) {
	t.Helper()
	if t.Failed() || slices.Contains(digests, digest{}) {
		t.Error("nothing is recorded: not all scenarios were played")
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

// decisionClasses has a class of each effect and group, and one of streams.
func decisionClasses() []balancer.Class {
	const ms = time.Millisecond
	return []balancer.Class{
		{Name: "safe", Effect: balancer.Safe, Aim: 200 * ms, Deadline: time.Second, Worth: 1, Late: 0.3},
		{Name: "zone", Effect: balancer.Keyed, Group: balancer.GroupZone, Window: 300 * ms, Aim: 300 * ms, Deadline: time.Second, Worth: 3},
		{Name: "cell", Effect: balancer.Keyed, Group: balancer.GroupCell, Window: 500 * ms, Aim: 300 * ms, Deadline: time.Second, Worth: 2},
		{Name: "any", Effect: balancer.Keyed, Group: balancer.GroupAll, Window: 800 * ms, Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 2},
		{Name: "unsafe", Effect: balancer.Unsafe, Aim: 400 * ms, Deadline: time.Second, Worth: 4},
		{Name: "stream", Effect: balancer.Safe, Aim: 500 * ms, Deadline: 2 * time.Second, Worth: 2, Stream: true},
	}
}

// decisionPlans has a plan of each kind of quota.
func decisionPlans() []balancer.Plan {
	return []balancer.Plan{
		{Name: "rate", Rate: 40, Burst: 40, Price: 1},
		{Name: "hard", Rate: 20, Burst: 20, CeilingRate: 25, CeilingBurst: 24, CeilingSlack: 1, Price: 1},
		{Name: "open", Open: 4, Price: 1},
		{Name: "both", Rate: 30, Burst: 30, Open: 3, Price: 2},
		{Name: "over", Rate: 6, Burst: 6, CeilingRate: 20, CeilingBurst: 20, OverWorth: 0.5, OverCost: 0.1, Price: 1},
		{Name: "large", Rate: 300, Burst: 100, Price: 1},
		{Name: "bulk", Rate: 400_000, Burst: 800_000, Price: 1},
		{Name: "free", Price: 1},
	}
}

func (s scenario) settings(node int) balancer.Settings {
	set := balancer.Settings{
		Me: node, Instances: s.nodes, Zone: zones[0], Classes: decisionClasses(), Plans: decisionPlans(),
		AnswerSlack: 10 * time.Millisecond, DrainGrace: 200 * time.Millisecond, ColdFrom: 0.2,
		RampTime: 2 * time.Second, FallMultiple: 2, OverloadFor: time.Second,
		MaxAttempts: 4, Cancel: true, Peers: true, Probes: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		Report: balancer.ReportAnswers, InboxPerS: 60, PostPaid: true, Tick: time.Millisecond,
		PriceCross: 0.2, PricePeer: 0.1, PriceProbe: 0.1, PriceWaste: 1,
	}
	s.variant.apply(&set)
	return set
}

func settingsWithoutExtras(s *balancer.Settings) {
	s.Peers, s.Probes, s.Parallel, s.Cancel, s.RetryAfter, s.PostPaid = false, false, false, false, false, false
	s.Report, s.MaxAttempts, s.InboxPerS, s.RampTime, s.PriceCross = balancer.ReportNone, 2, 0, 0, 0
}

func settingsWithHedges(s *balancer.Settings) {
	s.Parallel, s.MaxAttempts, s.InboxPerS = true, 0, 1000
	s.Report = balancer.ReportProbes
}

func settingsWithWatch(s *balancer.Settings) {
	s.AskList, s.AskWithin, s.Parallel, s.InboxPerS = true, time.Second, true, 100
	s.Report, s.PostPaid = balancer.ReportProbes, false
}

func settingsWithSmallInbox(s *balancer.Settings) {
	s.InboxPerS, s.Cancel, s.Report, s.Tick = 4, false, balancer.ReportNone, 5*time.Millisecond
}

// settingsWithNews are of a fleet so short of messages that even a few nodes ask owners and share news.
func settingsWithNews(s *balancer.Settings) { s.InboxPerS = 3 }

func settingsWithLargeUnits(s *balancer.Settings) { s.MostUnits, s.InboxPerS = 400_000, 40 }

var zones = []string{"a", "b", "c"}
