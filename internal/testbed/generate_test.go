package testbed

import (
	"path/filepath"
	"reflect"
	"testing"
)

// A seed always generates the same scenario, the scenario is valid and survives being written to a file and
// read back, and the scenarios of many seeds together cover the deployments and faults that the protocol
// describes.
func TestGenerateScenario(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trial.toml")
	seen := map[string]int{}
	for seed := uint64(1); seed <= 100; seed++ {
		for _, rule := range append(TargetRules, "") {
			s, err := GenerateScenario(seed, rule)
			if err != nil {
				t.Fatal(err)
			}
			second, _ := GenerateScenario(seed, rule)
			if !reflect.DeepEqual(s, second) {
				t.Fatalf("seed %d generates two different scenarios", seed)
			}
			if err := s.write(path); err != nil {
				t.Fatal(err)
			}
			read, err := LoadScenario(path)
			if err != nil {
				t.Fatal(err)
			}
			if Draw(read, seed).Digest() != Draw(s, seed).Digest() || read.Fleet.Servers != s.Fleet.Servers || len(read.Faults) != len(s.Faults) {
				t.Fatalf("seed %d, rule %q: scenario differs after writing and reading it", seed, rule)
			}
			for feature, present := range map[string]bool{
				"polled": s.Fleet.ListPolled, "pushed": !s.Fleet.ListPolled, "call limit": s.Fleet.ListCallsPerS > 0,
				"no peers": s.Fleet.NoGossip, "many servers": s.Fleet.Servers > 128, "one zone": len(s.Fleet.Zones) == 1, "zones": len(s.Fleet.Zones) > 1,
				"short deadline": s.Load.Deadline < Duration(800*ms), "one node": s.Fleet.Nodes == 1,
			} {
				if present {
					seen[feature]++
				}
			}
			for _, ft := range s.Faults {
				seen[string(ft.Kind)+ft.Effect]++
			}
		}
	}
	for _, feature := range []string{
		"polled", "pushed", "call limit", "no peers", "many servers", "one zone", "zones", "short deadline", "one node", "drain", "kill", "restart",
		"stall", "hup", "list-reset", "list-silent", "list-down", "list-late", "list-wordsindent", "list-wordstrickle", "list-wordshalf", "list-wordsnoise",
		"list-wordsentry", "replace", "peer-loss", "cut-zone", "lose-zone", "slow", "hang", "error", "reset", "spoil", "dead",
	} {
		if seen[feature] < 5 {
			t.Errorf("%d of 600 scenarios have %q, want at least 5", seen[feature], feature)
		}
	}
	if _, err := GenerateScenario(1, "luck"); err == nil {
		t.Error("unknown rule: no error")
	}
}
