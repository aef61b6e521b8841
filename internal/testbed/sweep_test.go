package testbed

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// What a seed draws is the same each time, can be, is written as a file that reads the same, and
// over many seeds takes in what the protocol describes.
func TestTrialsAreDrawnFromTheSeed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trial.toml")
	seen := map[string]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		for _, aim := range append(Aims, "") {
			s, err := DrawTrial(seed, aim)
			if err != nil {
				t.Fatal(err)
			}
			again, _ := DrawTrial(seed, aim)
			if !reflect.DeepEqual(s, again) {
				t.Fatalf("seed %d draws two trials", seed)
			}
			if err := s.write(path); err != nil {
				t.Fatal(err)
			}
			read, err := LoadScenario(path)
			if err != nil {
				t.Fatal(err)
			}
			if Draw(read, seed).Digest() != Draw(s, seed).Digest() || read.Fleet.Servers != s.Fleet.Servers || len(read.Faults) != len(s.Faults) {
				t.Fatalf("seed %d, %q: read back as another one", seed, aim)
			}
			for what, is := range map[string]bool{
				"asked": s.Fleet.ListAsked, "pushed": !s.Fleet.ListAsked, "line": s.Fleet.ListCallsPerS > 0,
				"no peers": s.Fleet.NoPeers, "many servers": s.Fleet.Servers > 128, "one zone": len(s.Fleet.Zones) == 1, "zones": len(s.Fleet.Zones) > 1,
				"short": s.Load.Deadline < Duration(800*ms), "one node": s.Fleet.Nodes == 1,
			} {
				if is {
					seen[what]++
				}
			}
			for _, ft := range s.Faults {
				seen[ft.Kind+ft.Does]++
			}
		}
	}
	for _, what := range []string{
		"asked", "pushed", "line", "no peers", "many servers", "one zone", "zones", "short", "one node", "drain", "kill", "restart",
		"stall", "hup", "list-reset", "list-silent", "list-down", "list-late", "list-wordsindent", "list-wordstrickle", "list-wordshalf", "list-wordsnoise",
		"list-wordsentry", "replace", "peer-loss", "cut-zone", "lose-zone", "slow", "hang", "error", "reset", "spoil", "dead",
	} {
		if seen[what] < 5 {
			t.Errorf("%d trials with %q of 600", seen[what], what)
		}
	}
	if _, err := DrawTrial(1, "luck"); err == nil {
		t.Error("a rule that there is not is strained")
	}
}

func TestParseSeeds(t *testing.T) {
	for text, want := range map[string][2]uint64{"1-200": {1, 200}, "7": {7, 7}, "3-3": {3, 3}} {
		if from, to, err := ParseSeeds(text); err != nil || from != want[0] || to != want[1] {
			t.Errorf("%q: %d to %d, error %v", text, from, to, err)
		}
	}
	for _, text := range []string{"", "x", "1-", "-1", "9-3", "1-2-3", "1.5", "1-99999999999999999999999"} {
		if _, _, err := ParseSeeds(text); err == nil {
			t.Errorf("%q is a range", text)
		}
	}
}

// When what an agent gets counts as told, by the platform's terms.
func TestToldAt(t *testing.T) {
	const now = 20 * time.Second
	for _, c := range []struct {
		name            string
		asked, watching bool
		failed          bool
		silent, moved   time.Duration
		want            time.Duration // 0: when it is written
	}{
		{"pushed", false, true, false, 0, 0, now},
		{"pushed, no watch", false, false, false, 0, 0, now},
		{"pushed, watch just silent", false, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"pushed, watch long silent", false, false, false, 10 * time.Second, 0, now},
		{"pushed, moved", false, false, false, 0, 18 * time.Second, 22 * time.Second},
		{"asked, watching", true, true, false, 0, 0, 0},
		{"asked, watch silent", true, false, false, 19 * time.Second, 0, 25 * time.Second},
		{"asked, no watch", true, false, false, 0, 0, 30 * time.Second},
		{"asked, turned away", true, false, true, 0, 0, 60 * time.Second},
	} {
		w := &world{s: &Scenario{Fleet: Fleet{ListAsked: c.asked}}}
		a := &agent{l: &list{w: w}, watches: map[*openWatch]struct{}{}, silentAt: c.silent, failed: c.failed}
		if c.watching {
			a.open()
		}
		at, ok := a.toldAt(now, c.moved)
		if ok != (c.want != 0) || ok && at != c.want {
			t.Errorf("%s: told at %v, %v, want %v", c.name, at, ok, c.want)
		}
	}
}

// The scenarios of drains: the edge node keeps the rule, and one that is broken on purpose in the way that
// each is about does not.
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
	for _, c := range []struct{ scenario, broken string }{
		{"drain-reset", ""},
		{"drain-reset", "drain-after-reset"},
		{"drain-reset", "late-watch"},
		{"drain-outage", ""},
		{"drain-outage", "late-watch"},
		{"drain-many", ""},
		{"drain-many", "cap-128"},
	} {
		t.Run(c.scenario+"/"+c.broken, func(t *testing.T) {
			t.Parallel()
			s, err := LoadScenario(filepath.Join("..", "..", "scenarios", c.scenario+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(t.Context(), s, Options{Seed: 3, Binary: binaries[c.broken], Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			if got := r.Broken[RuleDrain] > 0; got != (c.broken != "") || c.broken == "" && len(r.Broken) > 0 {
				t.Errorf("broken rules %v: %v", r.Broken, r.Violations[:min(3, len(r.Violations))])
			}
		})
	}
}

// A sweep plays its range, says what came of each seed, and reduces what fails.
func TestSweep(t *testing.T) {
	dir := t.TempDir()
	binary, err := BuildMutant(t.Context(), "late-watch", dir)
	if err != nil {
		t.Fatal(err)
	}
	told := 0
	r, err := Sweep(t.Context(), SweepOptions{
		From: sweepSeed, To: sweepSeed, Aim: "drains", Jobs: 2, Reduce: 1, Binary: binary, Dir: dir,
		Log: slog.New(slog.DiscardHandler), Live: func(int, int, Trial) { told++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Played != 1 || told != 1 || r.Counts[Broke] != 1 || r.OK() || r.Trials[0].Rules[RuleDrain] == 0 || r.Trials[0].Again == "" {
		t.Fatalf("report %+v", r)
	}
	if _, err := LoadScenario(filepath.Join(dir, "seed-4", "scenario.toml")); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "sweep.json")); err != nil {
		t.Error(err)
	}
	for _, o := range []SweepOptions{{From: 3, To: 2, Jobs: 1}, {From: 1, To: 1, Jobs: 0}, {From: 1, To: 1, Jobs: 1, Aim: "luck"}, {From: 1, To: 1 << 40, Jobs: 1}} {
		if _, err := Sweep(t.Context(), o); err == nil {
			t.Errorf("%+v is played", o)
		}
	}
}

// sweepSeed draws watches that break before app servers drain.
const sweepSeed = 4
