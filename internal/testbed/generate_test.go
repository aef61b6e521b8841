package testbed

import (
	"path/filepath"
	"reflect"
	"testing"
)

// What a seed draws is the same each time, can be, is written as a file that reads the same, and
// over many seeds takes in what the protocol describes.
func TestScenariosAreGeneratedFromTheSeed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trial.toml")
	seen := map[string]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		for _, aim := range append(TargetRules, "") {
			s, err := GenerateScenario(seed, aim)
			if err != nil {
				t.Fatal(err)
			}
			again, _ := GenerateScenario(seed, aim)
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
				"asked": s.Fleet.ListPolled, "pushed": !s.Fleet.ListPolled, "line": s.Fleet.ListCallsPerS > 0,
				"no peers": s.Fleet.NoGossip, "many servers": s.Fleet.Servers > 128, "one zone": len(s.Fleet.Zones) == 1, "zones": len(s.Fleet.Zones) > 1,
				"short": s.Load.Deadline < Duration(800*ms), "one node": s.Fleet.Nodes == 1,
			} {
				if is {
					seen[what]++
				}
			}
			for _, ft := range s.Faults {
				seen[string(ft.Kind)+ft.Does]++
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
	if _, err := GenerateScenario(1, "luck"); err == nil {
		t.Error("a rule that there is not is strained")
	}
}
