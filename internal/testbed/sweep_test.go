package testbed

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

func TestParseSeeds(t *testing.T) {
	for text, want := range map[string][2]uint64{"1-200": {1, 200}, "7": {7, 7}, "3-3": {3, 3}} {
		if from, to, err := ParseSeeds(text); err != nil || from != want[0] || to != want[1] {
			t.Errorf("%q: %d to %d, error %v; want %d to %d", text, from, to, err, want[0], want[1])
		}
	}
	for _, text := range []string{"", "x", "1-", "-1", "9-3", "1-2-3", "1.5", "1-99999999999999999999999"} {
		if _, _, err := ParseSeeds(text); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}

// In the drain scenarios, the edge node breaks no rule, and each mutant that is listed with a scenario breaks
// the drain rule in it.
func TestDrainScenarios(t *testing.T) {
	dir := t.TempDir()
	node, err := FindNode(t.Context(), "", dir)
	if err != nil {
		t.Fatal(err)
	}
	binaries := map[string]string{"": node}
	for name := range Mutants() {
		if binaries[name], err = BuildMutant(t.Context(), name, dir); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct{ scenario, mutant string }{
		{"drain-reset", ""},
		{"drain-reset", "drain-after-reset"},
		{"drain-reset", "late-watch"},
		{"drain-outage", ""},
		{"drain-outage", "late-watch"},
		{"drain-many", ""},
		{"drain-many", "cap-128"},
	} {
		t.Run(c.scenario+"/"+c.mutant, func(t *testing.T) {
			t.Parallel()
			s, err := LoadScenario(filepath.Join("..", "..", "scenarios", c.scenario+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(t.Context(), s, Options{Seed: 3, Binary: binaries[c.mutant], Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			if got := r.BrokenRules[RuleDrain] > 0; got != (c.mutant != "") || c.mutant == "" && len(r.BrokenRules) > 0 {
				t.Errorf("broken rules %v, want a broken drain rule: %v; violations %v", r.BrokenRules, c.mutant != "", r.Violations[:min(3, len(r.Violations))])
			}
		})
	}
}

// A sweep runs the seed of its range, reports the rule that the scenario breaks, and writes the scenario and
// the report to files. It rejects invalid options.
func TestSweep(t *testing.T) {
	dir := t.TempDir()
	binary, err := BuildMutant(t.Context(), "late-watch", dir)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	r, err := Sweep(t.Context(), SweepOptions{
		From: watchLossSeed, To: watchLossSeed, Rule: "drains", Jobs: 2, Reduce: 1, Binary: binary, Dir: dir,
		Log: slog.New(slog.DiscardHandler), OnRun: func(int, int, GeneratedRun) { calls++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Completed != 1 || calls != 1 || r.Counts[BrokeRule] != 1 || r.OK() || r.Runs[0].Rules[RuleDrain] == 0 || r.Runs[0].Command == "" {
		t.Fatalf("report %+v, want one run, reported once, that broke the drain rule", r)
	}
	if _, err := LoadScenario(filepath.Join(dir, "seed-4", "scenario.toml")); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "sweep.json")); err != nil {
		t.Error(err)
	}
	for _, o := range []SweepOptions{{From: 3, To: 2, Jobs: 1}, {From: 1, To: 1, Jobs: 0}, {From: 1, To: 1, Jobs: 1, Rule: "luck"}, {From: 1, To: 1 << 40, Jobs: 1}} {
		if _, err := Sweep(t.Context(), o); err == nil {
			t.Errorf("options %+v: no error", o)
		}
	}
}

// watchLossSeed generates a scenario in which watches fail before app servers drain.
const watchLossSeed = 4
