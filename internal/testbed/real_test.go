package testbed

import (
	"log/slog"
	"testing"
	"time"
)

// Real edge nodes break no rule and do not crash under faults, and all of them are ready again at the end of
// the run.
func TestRealNodes(t *testing.T) {
	binary, err := FindNode(t.Context(), "", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Scenario){
		"killed and stopped": func(s *Scenario) {
			s.Faults = []Fault{
				{At: Duration(time.Second), For: Duration(time.Second), Kind: "kill", Share: 0.7},
				{At: Duration(2500 * ms), Kind: "restart", Count: 1},
				{At: Duration(3 * time.Second), Kind: "hup", Share: 1},
				{At: Duration(3 * time.Second), For: Duration(500 * ms), Kind: "stall", Count: 1},
			}
		},
		"zone cut, servers lost and replaced": func(s *Scenario) {
			s.Faults = []Fault{
				{At: Duration(time.Second), For: Duration(1500 * ms), Kind: "cut-zone", Zone: "a"},
				{At: Duration(2 * time.Second), Kind: "replace", Count: 2},
				{At: Duration(500 * ms), For: Duration(time.Second), Kind: "link", From: "clients", To: "node:1", Effect: "silence"},
				{At: Duration(3 * time.Second), For: Duration(time.Second), Kind: "link", From: "node:0", To: "servers", Effect: "reset"},
				{At: Duration(3 * time.Second), For: Duration(time.Second), Kind: "link", From: "nodes", To: "nodes", Effect: "loss", Size: 0.5},
				{At: Duration(3 * time.Second), For: Duration(time.Second), Kind: "link", From: "nodes", To: "agent", Effect: "silence"},
				{At: Duration(2 * time.Second), For: Duration(time.Second), Kind: "spoil", Count: 2, Size: 0.3},
				{At: Duration(3 * time.Second), For: Duration(time.Second), Kind: "lose-zone", Zone: "b"},
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := shortScenario(name)
			s.Duration = Duration(5 * time.Second)
			s.Fleet.Nodes, s.Fleet.Servers = 3, 9
			change(s)
			r, err := Run(t.Context(), s, Options{Seed: 5, Binary: binary, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.BrokenRules) > 0 || r.Figures["crashes"] > 0 {
				t.Errorf("broken rules %v, %v crashes: %v", r.BrokenRules, r.Figures["crashes"], r.Violations)
			}
			if r.Figures["restored_nodes"] != 3 || r.Figures["served"] == 0 {
				t.Errorf("%v of 3 nodes ready at the end, share %v of requests served", r.Figures["restored_nodes"], r.Figures["served"])
			}
		})
	}
}
