package testbed

import (
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

	"github.com/pelletier/go-toml/v2"
)

// SweepOptions say which trials a sweep plays and how.
type SweepOptions struct {
	From, To uint64        // seeds, both played
	Aim      string        // one of Aims; "": anything
	Jobs     int           // trials played at once
	Budget   time.Duration // no trial begins after it, and no reduction goes on; 0: none
	Reduce   int           // plays that the reduction of a failing trial may take; 0: it is not reduced
	Binary   string        // of the edge node
	Dir      string        // takes a folder for each failing trial, and the report
	Log      *slog.Logger
	Live     func(done, of int, t Trial) // called as trials end; may be nil
}

// Verdict is what came of a trial.
type Verdict string

// Verdicts. A trial in which no rule was broken counts as passed only where the machine gave the
// lab and the nodes what they needed: one too slow for the draw judges nothing.
const (
	Passed    Verdict = "passed"
	Broke     Verdict = "broke a rule"
	NotJudged Verdict = "not judged"
	NotPlayed Verdict = "not played"
)

// Trial is one draw and what came of it.
type Trial struct {
	Seed    uint64         `json:"seed"`
	Verdict Verdict        `json:"verdict"`
	Rules   map[string]int `json:"rules,omitempty"` // broken ones; "crash" for processes that ended
	First   string         `json:"first,omitempty"` // of the violations
	Why     string         `json:"why,omitempty"`   // it was not judged or played
	Again   string         `json:"again,omitempty"` // the command that plays it again
	Reduced string         `json:"reduced,omitempty"`
	Size    string         `json:"size"`
	Faults  []string       `json:"faults"`
	slack   time.Duration
}

// SweepReport is all that a sweep played, by seed.
type SweepReport struct {
	Aim    string          `json:"rule,omitempty"`
	From   uint64          `json:"from"`
	To     uint64          `json:"to"`
	Played int             `json:"played"`
	Counts map[Verdict]int `json:"verdicts"`
	Ended  string          `json:"ended,omitempty"` // why before the last seed
	Trials []Trial         `json:"trials"`
}

// OK tells whether every trial that was played was judged by its rules and kept them; what was
// not judged is no failure, nor is it a pass.
func (r *SweepReport) OK() bool { return r.Counts[Broke] == 0 && r.Counts[NotPlayed] == 0 }

// Sweep plays the trials of a range of seeds. A signal or the budget ends it early: the report
// has what was played. The error is of the lab itself.
func Sweep(ctx context.Context, o SweepOptions) (*SweepReport, error) {
	switch {
	case o.From > o.To:
		return nil, fmt.Errorf("seeds: %d-%d ends before it begins", o.From, o.To)
	case o.To-o.From >= mostTrials:
		return nil, fmt.Errorf("seeds: %d-%d are over %d", o.From, o.To, mostTrials)
	case o.Jobs < 1:
		return nil, fmt.Errorf("jobs: %d is below 1", o.Jobs)
	}
	if _, err := DrawTrial(o.From, o.Aim); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("folder of the sweep: %w", err)
	}
	var end time.Time
	if o.Budget > 0 {
		end = time.Now().Add(o.Budget)
	}
	r := &SweepReport{Aim: o.Aim, From: o.From, To: o.To, Counts: map[Verdict]int{}}
	var mu sync.Mutex
	next := o.From
	take := func() (seed uint64, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || next > o.To || !end.IsZero() && time.Now().After(end) {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var work sync.WaitGroup
	for range o.Jobs {
		work.Go(func() {
			for {
				seed, ok := take()
				if !ok {
					return
				}
				t := o.trial(ctx, seed, end)
				if ctx.Err() != nil && t.Verdict == NotPlayed {
					return // the signal ended it
				}
				mu.Lock()
				r.Trials = append(r.Trials, t)
				r.Played++
				r.Counts[t.Verdict]++
				done := r.Played
				mu.Unlock()
				if o.Live != nil {
					o.Live(done, int(o.To-o.From+1), t)
				}
			}
		})
	}
	work.Wait()
	slices.SortFunc(r.Trials, func(a, b Trial) int { return int(int64(a.Seed) - int64(b.Seed)) })
	switch {
	case ctx.Err() != nil:
		r.Ended = "ended by a signal"
	case next <= o.To:
		r.Ended = fmt.Sprintf("the budget of %v is over", o.Budget)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, fmt.Errorf("report of the sweep: %w", err)
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "sweep.json"), append(text, '\n'), 0o644); err != nil {
		return nil, fmt.Errorf("report of the sweep: %w", err)
	}
	return r, nil
}

// mostTrials bounds a range of seeds.
const mostTrials = 100_000

// slackMost is what the machine may withhold in a trial that is to count as passed: less than
// the grace of the shortest rule.
const slackMost = 200 * time.Millisecond

// trial draws, plays and judges one seed, and reduces it if it fails.
func (o *SweepOptions) trial(ctx context.Context, seed uint64, end time.Time) Trial {
	s, err := DrawTrial(seed, o.Aim)
	if err != nil {
		return Trial{Seed: seed, Verdict: NotPlayed, Why: err.Error()}
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	t := o.play(ctx, s, seed, dir)
	if t.Verdict != Broke {
		if t.Verdict != NotPlayed {
			_ = os.RemoveAll(dir) // a folder that stays misleads nobody: the report names what failed
		}
		return t
	}
	path := filepath.Join(dir, "scenario.toml")
	if err := s.write(path); err != nil {
		t.Why = err.Error()
		return t
	}
	t.Again = o.again(path, seed)
	if small, n := o.reduce(ctx, s, seed, t, dir, end); n > 0 {
		path := filepath.Join(dir, "reduced.toml")
		if err := small.write(path); err != nil {
			t.Why = err.Error()
			return t
		}
		t.Reduced = fmt.Sprintf("%s, %d faults, %v: %s", small.size(), len(small.Faults), time.Duration(small.Duration), o.again(path, seed))
	}
	return t
}

// again is the command that plays a scenario again.
func (o *SweepOptions) again(path string, seed uint64) string {
	return fmt.Sprintf("opalhook lab run %s --seed %d --node-binary %s", path, seed, o.Binary)
}

// play plays a scenario once.
func (o *SweepOptions) play(ctx context.Context, s *Scenario, seed uint64, dir string) Trial {
	t := Trial{Seed: seed, Verdict: Passed, Size: s.size()}
	for _, ft := range s.Faults {
		t.Faults = append(t.Faults, ft.brief())
	}
	r, err := Run(ctx, s, Options{Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		t.Verdict, t.Why = NotPlayed, err.Error()
		return t
	}
	t.Rules = maps.Clone(r.Broken)
	if n := int(r.Figures["crashes"]); n > 0 {
		t.Rules["crash"] = n
	}
	t.slack = time.Duration(r.Figures["slack_ms"] * float64(time.Millisecond))
	switch {
	case len(t.Rules) > 0:
		t.Verdict = Broke
		if len(r.Violations) > 0 {
			t.First = r.Violations[0].String()
		}
	case r.Behind:
		t.Verdict, t.Why = NotJudged, fmt.Sprintf("the generator was %.0f ms late: the machine is too slow for this draw", r.Figures["lateness_ms"])
	case t.slack > slackMost:
		t.Verdict, t.Why = NotJudged, fmt.Sprintf("the machine withheld %v: it is too slow for this draw", t.slack.Round(time.Millisecond))
	}
	return t
}

// reduce takes away from a failing scenario what it can while the same rule is still broken: its
// faults and bursts one by one, half of its processes, its last seconds. It returns how many
// steps were taken.
func (o *SweepOptions) reduce(ctx context.Context, s *Scenario, seed uint64, failed Trial, dir string, end time.Time) (small *Scenario, steps int) {
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
		t := o.play(ctx, c, seed, filepath.Join(dir, "smaller"))
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
		c.Duration -= Duration(trialTail / 2)
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

// write writes the scenario as a file that LoadScenario reads.
func (s *Scenario) write(path string) error {
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	return nil
}

// size names what is played, in few words.
func (s *Scenario) size() string {
	f := &s.Fleet
	list := "pushed"
	if f.ListAsked {
		list = "asked for"
	}
	return fmt.Sprintf("%d nodes, %d servers, %d zones, %.0f/s, deadline %v, lists %s", f.Nodes, f.Servers, len(f.Zones), s.Load.Rate,
		time.Duration(s.Load.Deadline), list)
}

// brief names a fault in few words.
func (ft *Fault) brief() string {
	words := []string{fmt.Sprintf("%.2gs", ft.At.s()), ft.Kind}
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
