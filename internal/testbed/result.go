package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Series contains the figures of one second of a run. An arrival and all its attempts count in the second in
// which the arrival was due.
type Series struct {
	Requests        int            `json:"asked"`
	Served          int            `json:"served"`
	Rejected        int            `json:"refused"`
	RejectedInQuota int            `json:"refused_with_room"`
	Failed          int            `json:"failed"`
	Unreached       int            `json:"unreached"` // failed attempts that did not reach a node
	Value           float64        `json:"worth"`     // value served within quotas and the latency objective
	OfferedValue    float64        `json:"offered"`   // value available within quotas
	P50             float64        `json:"p50_ms"`
	P99             float64        `json:"p99_ms"`
	Memory          float64        `json:"memory_mb"` // largest resident memory of a node
	ZoneServed      map[string]int `json:"zone_served"`
	ZoneRequests    map[string]int `json:"zone_asked"`
	hist            *hdrhistogram.Histogram
}

// FaultMark is the time and the description of the beginning or the end of a fault.
type FaultMark struct {
	At          float64 `json:"at_s"`
	Description string  `json:"what"`
}

// ExpectResult is an expectation with the measured value of its figure.
type ExpectResult struct {
	Expect Expect  `json:"expect"`
	Got    float64 `json:"got"`
	OK     bool    `json:"ok"`
}

// Result is the result of a run, as stored in its directory.
type Result struct {
	Scenario        string             `json:"scenario"`
	About           string             `json:"about"`
	Seed            uint64             `json:"seed"`
	Digest          string             `json:"digest"` // digest of the schedule
	Binary          string             `json:"binary"` // path of the edge node
	Nodes           int                `json:"nodes"`
	Servers         int                `json:"servers"`
	Duration        float64            `json:"duration_s"`
	Figures         map[string]float64 `json:"figures"`
	Series          []Series           `json:"series"`
	Marks           []FaultMark        `json:"marks"`
	BrokenRules     map[string]int     `json:"broken_rules"` // number of violations by rule
	Violations      []Violation        `json:"violations"`   // the first maxViolations, in order of time
	Checks          []ExpectResult     `json:"checks"`
	GeneratorBehind bool               `json:"generator_behind"` // the load generator was late by more than maxLateness
	Error           string             `json:"error,omitempty"`
}

// maxLateness is the 99th percentile of the load generator's lateness above which a result reports that the
// generator was behind. Latencies still count from when requests were due.
const maxLateness = 10 * time.Millisecond

// OK reports whether the run had no error, no rule was broken, no node crashed and every expectation was met.
func (r *Result) OK() bool {
	if r.Error != "" || len(r.BrokenRules) > 0 || r.Figures["crashes"] > 0 {
		return false
	}
	for _, c := range r.Checks {
		if !c.OK {
			return false
		}
	}
	return true
}

// newHistogram returns a histogram of durations in microseconds, from 1 µs to 2 minutes, with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// recordDuration adds a duration to a histogram, limited to the histogram's range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so the error is always nil.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120_000_000))
}

// quantile returns the quantile q of a histogram, with q in percent. It returns 0 if the histogram is empty.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// result computes the result of the run. readyNodes is the number of nodes that are ready at the end.
func (env *environment) result(readyNodes int) *Result {
	r := &Result{
		Scenario: env.scenario.Name, About: env.scenario.About, Seed: env.seed, Digest: env.schedule.Digest(), Binary: env.nodeBinary, Nodes: env.scenario.Fleet.Nodes,
		Servers: env.scenario.Fleet.Servers, Duration: env.scenario.Duration.s(),
	}
	r.BrokenRules, r.Violations = env.checker.violationSummary()
	for _, e := range env.schedule.Faults {
		r.Marks = append(r.Marks, FaultMark{e.At.Seconds(), env.scenario.Faults[e.Fault].describe(e)})
	}
	r.Marks = append(r.Marks, env.commandedFaults...)
	r.Series = env.series()
	r.Figures = env.figures(0, time.Duration(env.scenario.Duration))
	delayMS := func(q float64) float64 { return quantile(env.list.delays, q).Seconds() * 1e3 }
	wholeRun := map[string]float64{ // these cover the whole run, whatever the window of an expectation
		"restored_nodes": float64(readyNodes), "lists_right": float64(env.list.upToDateNodes()) / float64(len(env.nodes)),
		"versions_back": float64(env.list.rollbacks.Load()), "slack_ms": env.peakSlack().Seconds() * 1e3,
		"list_p50_ms": delayMS(50), "list_p99_ms": delayMS(99), "list_max_ms": delayMS(100),
	}
	maps.Copy(r.Figures, wholeRun)
	r.GeneratorBehind = r.Figures["lateness_ms"] > maxLateness.Seconds()*1000
	for _, e := range env.scenario.Expect {
		to := time.Duration(e.To)
		if to == 0 {
			to = time.Duration(env.scenario.Duration)
		}
		f := env.figures(time.Duration(e.From), to)
		maps.Copy(f, wholeRun)
		got := f[e.Figure]
		r.Checks = append(r.Checks, ExpectResult{e, got, (e.Min == nil || got >= *e.Min) && (e.Max == nil || got <= *e.Max)})
	}
	return r
}

// series returns the figures of each second of the run.
func (env *environment) series() []Series {
	out := make([]Series, int(math.Ceil(env.scenario.Duration.s())))
	for i := range out {
		out[i] = Series{hist: newHistogram(), ZoneServed: map[string]int{}, ZoneRequests: map[string]int{}}
	}
	objective := time.Duration(env.scenario.Load.LatencyObjective)
	for i := range env.checker.records {
		r := &env.checker.records[i]
		s := &out[min(int(r.Due/time.Second), len(out)-1)]
		zone := env.scenario.Fleet.zoneOf(r.Node)
		s.Requests++
		s.ZoneRequests[zone]++
		s.Rejected += r.Rejected
		s.RejectedInQuota += r.RejectedInQuota
		s.Failed += r.Failed
		s.Unreached += r.Unreached
		s.OfferedValue += r.OfferedValue
		if r.Served {
			s.Served++
			s.ZoneServed[zone]++
			recordDuration(s.hist, r.Done-r.Due)
			if r.Done-r.Due <= objective && r.InQuota {
				s.Value += r.Value
			}
		}
	}
	for i := range out {
		if i < len(env.peakMemoryMB) {
			out[i].Memory = env.peakMemoryMB[i]
		}
		out[i].P50 = quantile(out[i].hist, 50).Seconds() * 1000
		out[i].P99 = quantile(out[i].hist, 99).Seconds() * 1000
	}
	return out
}

// resultFile is the name of the result file in a run's directory.
const resultFile = "result.json"

// write writes the result to a run's directory.
func (r *Result) write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// ReadResult reads the result of a run from its directory.
func ReadResult(dir string) (*Result, error) {
	f, err := os.Open(filepath.Join(dir, resultFile))
	if err != nil {
		return nil, fmt.Errorf("%s does not contain a finished run: %w", dir, err)
	}
	defer func() { _ = f.Close() }()
	return readResult(f)
}

func readResult(in io.Reader) (*Result, error) {
	var r Result
	if err := json.NewDecoder(in).Decode(&r); err != nil {
		return nil, fmt.Errorf("%s: %w", resultFile, err)
	}
	return &r, nil
}
