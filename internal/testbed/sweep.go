package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// SweepOptions are the parameters of a sweep, which generates and runs one scenario for each seed of a range.
type SweepOptions struct {
	From, To uint64        // range of seeds, inclusive
	Rule     string        // rule at which the scenarios are aimed, one of TargetRules; "": faults of all kinds
	Jobs     int           // number of scenarios run at the same time
	Budget   time.Duration // time after which no further run starts; 0: unlimited
	Reduce   int           // maximum number of runs to reduce a failing scenario; 0: no reduction
	Binary   string        // path of the edge node's binary
	Dir      string        // directory for the report and a subdirectory per failing scenario
	Log      *slog.Logger  // logger of the runs

	// OnRun is called after each run, concurrently if Jobs is above 1. It may be nil.
	OnRun func(done, total int, run GeneratedRun)
}

// Outcome says how the run of a generated scenario ended.
type Outcome string

// Outcomes of a generated scenario. They are keys and values of the report's JSON. A scenario is NotJudged if
// the machine was too slow for the absence of violations to be conclusive.
const (
	Passed    Outcome = "passed"       // no rule was broken
	BrokeRule Outcome = "broke a rule" // a rule was broken or a node crashed
	NotJudged Outcome = "not judged"   // no rule was broken, but the machine was too slow
	NotRun    Outcome = "not played"   // the scenario could not be generated or run
)

// GeneratedRun is the result of one generated scenario.
type GeneratedRun struct {
	Seed           uint64         `json:"seed"`
	Outcome        Outcome        `json:"verdict"`
	Rules          map[string]int `json:"rules,omitempty"`   // number of violations by rule, and crashes as "crash"
	FirstViolation string         `json:"first,omitempty"`   // first violation
	Reason         string         `json:"why,omitempty"`     // why the scenario was not judged, run or saved
	Command        string         `json:"again,omitempty"`   // command that runs the scenario again
	Reduced        string         `json:"reduced,omitempty"` // reduced scenario, and the command that runs it
	Size           string         `json:"size"`              // summary of the deployment
	Faults         []string       `json:"faults"`            // summaries of the faults
	slack          time.Duration  // largest slack of the run
}

// SweepReport is the report of a sweep.
type SweepReport struct {
	Rule      string          `json:"rule,omitempty"`
	From      uint64          `json:"from"`
	To        uint64          `json:"to"`
	Completed int             `json:"played"`          // number of scenarios in Runs
	Counts    map[Outcome]int `json:"verdicts"`        // number of scenarios by outcome
	Ended     string          `json:"ended,omitempty"` // why the sweep ended before the last seed
	Runs      []GeneratedRun  `json:"trials"`          // in order of seeds
}

// OK reports whether no scenario broke a rule and all could be run. Scenarios that were not judged do not
// count as failures here, although they have not passed.
func (r *SweepReport) OK() bool { return r.Counts[BrokeRule] == 0 && r.Counts[NotRun] == 0 }

// Sweep generates and runs the scenarios of a range of seeds and writes a report to the directory of the
// options. If ctx is canceled or the budget is used up, it ends early with a report of the scenarios run
// until then. The error reports invalid options and failures to write the report.
func Sweep(ctx context.Context, o SweepOptions) (*SweepReport, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("directory of the sweep: %w", err)
	}
	s := sweeper{options: &o, next: o.From, report: &SweepReport{Rule: o.Rule, From: o.From, To: o.To, Counts: map[Outcome]int{}}}
	if o.Budget > 0 {
		s.deadline = time.Now().Add(o.Budget)
	}
	var jobs sync.WaitGroup
	for range o.Jobs {
		jobs.Go(func() { s.runSeeds(ctx) })
	}
	jobs.Wait()
	slices.SortFunc(s.report.Runs, func(a, b GeneratedRun) int { return cmp.Compare(a.Seed, b.Seed) })
	switch {
	case ctx.Err() != nil:
		s.report.Ended = "ended by a signal"
	case s.next <= o.To:
		s.report.Ended = fmt.Sprintf("the budget of %v is used up", o.Budget)
	}
	if err := s.report.write(o.Dir); err != nil {
		return nil, err
	}
	return s.report, nil
}

// check returns an error that names the first invalid option.
func (o *SweepOptions) check() error {
	switch {
	case o.From > o.To:
		return fmt.Errorf("seeds: must be in ascending order, got %d-%d", o.From, o.To)
	case o.To-o.From >= maxSeeds:
		return fmt.Errorf("seeds: must be at most %d seeds, got %d-%d", maxSeeds, o.From, o.To)
	case o.Jobs < 1:
		return fmt.Errorf("jobs: must be at least 1, got %d", o.Jobs)
	}
	_, err := GenerateScenario(o.From, o.Rule)
	return err
}

// sweeper is the state of a sweep in progress. Its jobs share it.
type sweeper struct {
	options  *SweepOptions
	deadline time.Time // end of the budget; zero: no limit

	mu     sync.Mutex
	next   uint64 // next seed to run
	report *SweepReport
}

// runSeeds runs seeds until none is left or the sweep ends.
func (s *sweeper) runSeeds(ctx context.Context) {
	for {
		seed, ok := s.claimSeed(ctx)
		if !ok {
			return
		}
		r := s.options.runSeed(ctx, seed, s.deadline)
		if ctx.Err() != nil && r.Outcome == NotRun {
			return // interrupted by the cancellation of ctx
		}
		done := s.addRun(r)
		if s.options.OnRun != nil {
			s.options.OnRun(done, int(s.options.To-s.options.From+1), r)
		}
	}
}

// claimSeed returns the next seed to run. ok is false if none is left or the sweep must end.
func (s *sweeper) claimSeed(ctx context.Context) (seed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.next > s.options.To || !s.deadline.IsZero() && time.Now().After(s.deadline) {
		return 0, false
	}
	s.next++
	return s.next - 1, true
}

// addRun adds a run to the report and returns the number of runs in it.
func (s *sweeper) addRun(r GeneratedRun) (done int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Runs = append(s.report.Runs, r)
	s.report.Completed++
	s.report.Counts[r.Outcome]++
	return s.report.Completed
}

// sweepFile is the name of the report in a sweep's directory.
const sweepFile = "sweep.json"

// write writes the report to the sweep's directory.
func (r *SweepReport) write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report of the sweep: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, sweepFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report of the sweep: %w", err)
	}
	return nil
}

// maxSeeds is the maximum number of seeds in a range.
const maxSeeds = 100_000

// slackLimit is the largest slack with which a generated scenario can pass. It is shorter than the shortest
// grace period of a rule.
const slackLimit = 200 * time.Millisecond

// runSeed generates and runs the scenario of a seed, and reduces it if it breaks a rule and the deadline is
// not reached.
func (o *SweepOptions) runSeed(ctx context.Context, seed uint64, deadline time.Time) GeneratedRun {
	s, err := GenerateScenario(seed, o.Rule)
	if err != nil {
		return GeneratedRun{Seed: seed, Outcome: NotRun, Reason: err.Error()}
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	run := o.runOnce(ctx, s, seed, dir)
	if run.Outcome != BrokeRule {
		if run.Outcome != NotRun {
			// Directories that cannot be removed do no harm: the report names the scenarios that failed.
			_ = os.RemoveAll(dir)
		}
		return run
	}
	path := filepath.Join(dir, "scenario.toml")
	if err := s.write(path); err != nil {
		run.Reason = err.Error()
		return run
	}
	run.Command = o.rerunCommand(path, seed)
	if reduced, n := o.reduce(ctx, s, seed, run, dir, deadline); n > 0 {
		path := filepath.Join(dir, "reduced.toml")
		if err := reduced.write(path); err != nil {
			run.Reason = err.Error()
			return run
		}
		run.Reduced = fmt.Sprintf("%s, %d faults, %v: %s", reduced.summary(), len(reduced.Faults), time.Duration(reduced.Duration), o.rerunCommand(path, seed))
	}
	return run
}

// rerunCommand returns the command line that runs a scenario file with a seed.
func (o *SweepOptions) rerunCommand(path string, seed uint64) string {
	return fmt.Sprintf("opalhook testbed run %s --seed %d --node-binary %s", path, seed, o.Binary)
}

// runOnce runs a scenario and determines its outcome.
func (o *SweepOptions) runOnce(ctx context.Context, s *Scenario, seed uint64, dir string) GeneratedRun {
	run := GeneratedRun{Seed: seed, Outcome: Passed, Size: s.summary()}
	for _, ft := range s.Faults {
		run.Faults = append(run.Faults, ft.summary())
	}
	r, err := Run(ctx, s, Options{Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		run.Outcome, run.Reason = NotRun, err.Error()
		return run
	}
	run.Rules = maps.Clone(r.BrokenRules)
	if n := int(r.Figures["crashes"]); n > 0 {
		run.Rules["crash"] = n
	}
	run.slack = time.Duration(r.Figures["slack_ms"] * float64(time.Millisecond))
	switch {
	case len(run.Rules) > 0:
		run.Outcome = BrokeRule
		if len(r.Violations) > 0 {
			run.FirstViolation = r.Violations[0].String()
		}
	case r.GeneratorBehind:
		run.Outcome, run.Reason = NotJudged, fmt.Sprintf("the load generator was %.0f ms late: the machine is too slow for this scenario", r.Figures["lateness_ms"])
	case run.slack > slackLimit:
		run.Outcome, run.Reason = NotJudged, fmt.Sprintf("the machine withheld CPU for %v: it is too slow for this scenario", run.slack.Round(time.Millisecond))
	}
	return run
}

// reduce returns a smaller version of a failing scenario and the number of reductions applied. It tries to
// remove faults and bursts one by one, to halve the numbers of nodes and app servers, and to shorten the run.
// It keeps each change with which the scenario still breaks one of the same rules. It makes at most o.Reduce
// runs and starts none after the deadline.
func (o *SweepOptions) reduce(ctx context.Context, s *Scenario, seed uint64, failed GeneratedRun, dir string, deadline time.Time) (reduced *Scenario, steps int) {
	runs := 0
	try := func(change func(c *Scenario) bool) bool {
		if runs >= o.Reduce || ctx.Err() != nil || !deadline.IsZero() && time.Now().After(deadline) {
			return false
		}
		c := s.clone()
		if !change(c) || c.validate() != nil {
			return false
		}
		runs++
		run := o.runOnce(ctx, c, seed, filepath.Join(dir, "smaller"))
		for rule := range failed.Rules {
			if run.Rules[rule] > 0 {
				s = c
				steps++
				return true
			}
		}
		return false
	}
	for i := len(s.Faults) - 1; i >= 0; i-- {
		try(func(c *Scenario) bool {
			c.Faults = slices.Delete(c.Faults, i, i+1)
			return len(c.Faults) > 0
		})
	}
	for i := len(s.Load.Bursts) - 1; i >= 0; i-- {
		try(func(c *Scenario) bool { c.Load.Bursts = slices.Delete(c.Load.Bursts, i, i+1); return true })
	}
	for try(func(c *Scenario) bool { c.Fleet.Nodes /= 2; return c.Fleet.Nodes > 0 }) {
	}
	for try(func(c *Scenario) bool { c.Fleet.Servers /= 2; return c.Fleet.Servers > 1 }) {
	}
	try(func(c *Scenario) bool {
		c.Duration -= Duration(tailAfterFaults / 2)
		return c.Duration > Duration(time.Second)
	})
	_ = os.RemoveAll(filepath.Join(dir, "smaller")) // the files of the last run are not needed
	return s, steps
}

// clone returns a copy whose slices can be changed without effect on the original.
func (s *Scenario) clone() *Scenario {
	c := *s
	c.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	c.Load.Bursts, c.Faults, c.Expect = slices.Clone(s.Load.Bursts), slices.Clone(s.Faults), slices.Clone(s.Expect)
	c.Classes, c.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
	return &c
}

// summary describes the deployment and the load in one line.
func (s *Scenario) summary() string {
	f := &s.Fleet
	list := "pushed"
	if f.ListPolled {
		list = "polled"
	}
	return fmt.Sprintf("%d nodes, %d servers, %d zones, %.0f/s, deadline %v, lists %s", f.Nodes, f.Servers, len(f.Zones), s.Load.Rate,
		time.Duration(s.Load.Deadline), list)
}

// summary describes a fault in one line: its time, its kind, its main parameters and its duration.
func (ft *Fault) summary() string {
	words := []string{fmt.Sprintf("%.2gs", ft.At.s()), string(ft.Kind)}
	for _, w := range []string{ft.Effect, ft.Zone, ft.Direction} {
		if w != "" {
			words = append(words, w)
		}
	}
	if ft.For > 0 {
		words = append(words, "for "+time.Duration(ft.For).String())
	}
	return strings.Join(words, " ")
}

// ParseSeeds parses a range of seeds such as 1-200, or a single seed. The bounds are inclusive.
func ParseSeeds(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	if _, err = fmt.Sscanf(first+" "+last+"\n", "%d %d\n", &from, &to); err != nil {
		return 0, 0, fmt.Errorf("seeds: must be a number or a range such as 1-200, got %q", text)
	}
	if from > to {
		return 0, 0, errors.New("seeds: must be in ascending order, got " + text)
	}
	return from, to, nil
}
