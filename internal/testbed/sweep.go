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

// SweepOptions say which generated scenarios a sweep plays and how.
type SweepOptions struct {
	From, To uint64        // seeds, both played
	Rule     string        // one of TargetRules; "": anything
	Jobs     int           // generated scenarios played at once
	Budget   time.Duration // no generated scenario begins after it, and no reduction goes on; 0: none
	Reduce   int           // plays that the reduction of a failing generated scenario may take; 0: it is not reduced
	Binary   string        // of the edge node
	Dir      string        // takes a folder for each failing generated scenario, and the report
	Log      *slog.Logger
	Live     func(done, of int, t GeneratedRun) // called as generated scenarios end; may be nil
}

// Verdict is what came of a generated scenario.
type Verdict string

// Verdicts. A generated scenario in which no rule was broken counts as passed only where the machine gave the
// lab and the nodes what they needed: one too slow for the draw judges nothing.
const (
	Passed    Verdict = "passed"
	BrokeRule Verdict = "broke a rule"
	NotJudged Verdict = "not judged"
	NotPlayed Verdict = "not played"
)

// GeneratedRun is one draw and what came of it.
type GeneratedRun struct {
	Seed    uint64         `json:"seed"`
	Verdict Verdict        `json:"verdict"`
	Rules   map[string]int `json:"rules,omitempty"` // broken ones; "crash" for processes that ended
	First   string         `json:"first,omitempty"` // of the violations
	Reason  string         `json:"why,omitempty"`   // it was not judged or played
	Command string         `json:"again,omitempty"` // the command that plays it again
	Reduced string         `json:"reduced,omitempty"`
	Size    string         `json:"size"`
	Faults  []string       `json:"faults"`
	slack   time.Duration
}

// SweepReport is all that a sweep played, by seed.
type SweepReport struct {
	Rule   string          `json:"rule,omitempty"`
	From   uint64          `json:"from"`
	To     uint64          `json:"to"`
	Played int             `json:"played"`
	Counts map[Verdict]int `json:"verdicts"`
	Ended  string          `json:"ended,omitempty"` // why before the last seed
	Runs   []GeneratedRun  `json:"trials"`
}

// OK tells whether every generated scenario that was played was judged by its rules and kept them; what was
// not judged is no failure, nor is it a pass.
func (r *SweepReport) OK() bool { return r.Counts[BrokeRule] == 0 && r.Counts[NotPlayed] == 0 }

// Sweep plays the generated scenarios of a range of seeds. A signal or the budget ends it early: the report
// has what was played. The error is of the testbed itself.
func Sweep(ctx context.Context, o SweepOptions) (*SweepReport, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("folder of the sweep: %w", err)
	}
	s := sweeper{options: &o, next: o.From, report: &SweepReport{Rule: o.Rule, From: o.From, To: o.To, Counts: map[Verdict]int{}}}
	if o.Budget > 0 {
		s.deadline = time.Now().Add(o.Budget)
	}
	var work sync.WaitGroup
	for range o.Jobs {
		work.Go(func() { s.runSeeds(ctx) })
	}
	work.Wait()
	slices.SortFunc(s.report.Runs, func(a, b GeneratedRun) int { return cmp.Compare(a.Seed, b.Seed) })
	switch {
	case ctx.Err() != nil:
		s.report.Ended = "ended by a signal"
	case s.next <= o.To:
		s.report.Ended = fmt.Sprintf("the budget of %v is over", o.Budget)
	}
	if err := s.report.write(o.Dir); err != nil {
		return nil, err
	}
	return s.report, nil
}

// check returns an error that names the first option that can't be.
func (o *SweepOptions) check() error {
	switch {
	case o.From > o.To:
		return fmt.Errorf("seeds: %d-%d ends before it begins", o.From, o.To)
	case o.To-o.From >= maxSeeds:
		return fmt.Errorf("seeds: %d-%d are over %d", o.From, o.To, maxSeeds)
	case o.Jobs < 1:
		return fmt.Errorf("jobs: %d is below 1", o.Jobs)
	}
	_, err := GenerateScenario(o.From, o.Rule)
	return err
}

// sweeper is a sweep under way, shared by its jobs.
type sweeper struct {
	options  *SweepOptions
	deadline time.Time // after which nothing begins; zero: never

	mu     sync.Mutex
	next   uint64 // seed
	report *SweepReport
}

// runSeeds plays seeds until none is left or the sweep ends.
func (s *sweeper) runSeeds(ctx context.Context) {
	for {
		seed, ok := s.claimSeed(ctx)
		if !ok {
			return
		}
		r := s.options.runSeed(ctx, seed, s.deadline)
		if ctx.Err() != nil && r.Verdict == NotPlayed {
			return // the signal ended it
		}
		done := s.addRun(r)
		if s.options.Live != nil {
			s.options.Live(done, int(s.options.To-s.options.From+1), r)
		}
	}
}

// claimSeed is the next seed to play; ok is false where the sweep ends.
func (s *sweeper) claimSeed(ctx context.Context) (seed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.next > s.options.To || !s.deadline.IsZero() && time.Now().After(s.deadline) {
		return 0, false
	}
	s.next++
	return s.next - 1, true
}

// addRun adds a run to the report and returns how many there are.
func (s *sweeper) addRun(r GeneratedRun) (done int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Runs = append(s.report.Runs, r)
	s.report.Played++
	s.report.Counts[r.Verdict]++
	return s.report.Played
}

// sweepFile is where a sweep's folder keeps its report.
const sweepFile = "sweep.json"

// write writes the report into the sweep's folder.
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

// maxSeeds bounds a range of seeds.
const maxSeeds = 100_000

// maxSlack is what the machine may withhold in a generated scenario that is to count as passed: less than
// the grace of the shortest rule.
const maxSlack = 200 * time.Millisecond

// runSeed draws, plays and judges one seed, and reduces it if it fails.
func (o *SweepOptions) runSeed(ctx context.Context, seed uint64, end time.Time) GeneratedRun {
	s, err := GenerateScenario(seed, o.Rule)
	if err != nil {
		return GeneratedRun{Seed: seed, Verdict: NotPlayed, Reason: err.Error()}
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	t := o.runOnce(ctx, s, seed, dir)
	if t.Verdict != BrokeRule {
		if t.Verdict != NotPlayed {
			_ = os.RemoveAll(dir) // a folder that stays misleads nobody: the report names what failed
		}
		return t
	}
	path := filepath.Join(dir, "scenario.toml")
	if err := s.write(path); err != nil {
		t.Reason = err.Error()
		return t
	}
	t.Command = o.rerunCommand(path, seed)
	if small, n := o.reduce(ctx, s, seed, t, dir, end); n > 0 {
		path := filepath.Join(dir, "reduced.toml")
		if err := small.write(path); err != nil {
			t.Reason = err.Error()
			return t
		}
		t.Reduced = fmt.Sprintf("%s, %d faults, %v: %s", small.summary(), len(small.Faults), time.Duration(small.Duration), o.rerunCommand(path, seed))
	}
	return t
}

// rerunCommand is the rerunCommand that plays a scenario again.
func (o *SweepOptions) rerunCommand(path string, seed uint64) string {
	return fmt.Sprintf("opalhook testbed run %s --seed %d --node-binary %s", path, seed, o.Binary)
}

// runOnce plays a scenario once.
func (o *SweepOptions) runOnce(ctx context.Context, s *Scenario, seed uint64, dir string) GeneratedRun {
	t := GeneratedRun{Seed: seed, Verdict: Passed, Size: s.summary()}
	for _, ft := range s.Faults {
		t.Faults = append(t.Faults, ft.summary())
	}
	r, err := Run(ctx, s, Options{Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		t.Verdict, t.Reason = NotPlayed, err.Error()
		return t
	}
	t.Rules = maps.Clone(r.Broken)
	if n := int(r.Figures["crashes"]); n > 0 {
		t.Rules["crash"] = n
	}
	t.slack = time.Duration(r.Figures["slack_ms"] * float64(time.Millisecond))
	switch {
	case len(t.Rules) > 0:
		t.Verdict = BrokeRule
		if len(r.Violations) > 0 {
			t.First = r.Violations[0].String()
		}
	case r.Behind:
		t.Verdict, t.Reason = NotJudged, fmt.Sprintf("the generator was %.0f ms late: the machine is too slow for this draw", r.Figures["lateness_ms"])
	case t.slack > maxSlack:
		t.Verdict, t.Reason = NotJudged, fmt.Sprintf("the machine withheld %v: it is too slow for this draw", t.slack.Round(time.Millisecond))
	}
	return t
}

// reduce takes away from a failing scenario what it can while the same rule is still broken: its
// faults and bursts one by one, half of its processes, its last seconds. It returns how many
// steps were taken.
func (o *SweepOptions) reduce(ctx context.Context, s *Scenario, seed uint64, failed GeneratedRun, dir string, end time.Time) (small *Scenario, steps int) {
	plays := 0
	try := func(change func(c *Scenario) bool) bool {
		if plays >= o.Reduce || ctx.Err() != nil || !end.IsZero() && time.Now().After(end) {
			return false
		}
		c := s.clone()
		if !change(c) || c.validate() != nil {
			return false
		}
		plays++
		t := o.runOnce(ctx, c, seed, filepath.Join(dir, "smaller"))
		for rule := range failed.Rules {
			if t.Rules[rule] > 0 {
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
	_ = os.RemoveAll(filepath.Join(dir, "smaller")) // scratch
	return s, steps
}

// clone is a copy that shares nothing.
func (s *Scenario) clone() *Scenario {
	c := *s
	c.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	c.Load.Bursts, c.Faults, c.Expect = slices.Clone(s.Load.Bursts), slices.Clone(s.Faults), slices.Clone(s.Expect)
	c.Classes, c.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
	return &c
}

// summary names what is played, in few words.
func (s *Scenario) summary() string {
	f := &s.Fleet
	list := "pushed"
	if f.ListPolled {
		list = "asked for"
	}
	return fmt.Sprintf("%d nodes, %d servers, %d zones, %.0f/s, deadline %v, lists %s", f.Nodes, f.Servers, len(f.Zones), s.Load.Rate,
		time.Duration(s.Load.Deadline), list)
}

// summary names a fault in few words.
func (ft *Fault) summary() string {
	words := []string{fmt.Sprintf("%.2gs", ft.At.s()), string(ft.Kind)}
	for _, w := range []string{ft.Does, ft.Zone, ft.Way} {
		if w != "" {
			words = append(words, w)
		}
	}
	if ft.For > 0 {
		words = append(words, "for "+time.Duration(ft.For).String())
	}
	return strings.Join(words, " ")
}

// ParseSeeds reads a range such as 1-200, or one seed.
func ParseSeeds(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	if _, err = fmt.Sscanf(first+" "+last+"\n", "%d %d\n", &from, &to); err != nil {
		return 0, 0, fmt.Errorf("seeds: %q is neither a number nor a range such as 1-200", text)
	}
	if from > to {
		return 0, 0, errors.New("seeds: " + text + " ends before it begins")
	}
	return from, to, nil
}
