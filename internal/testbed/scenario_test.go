package testbed

import (
	"path/filepath"
	"strings"
	"testing"
)

// An error in a scenario file names the file, the line and the field, the value received and what is
// accepted.
func TestScenarioErrors(t *testing.T) {
	const head = "name = \"x\"\nduration = \"5s\"\n"
	for _, c := range []struct{ text, want string }{
		{head + "colour = 1\n", "x.toml:3: colour: unknown key"},
		{head + "[fleet]\nnodes = \"many\"\n", "x.toml:4"},
		{head + "[fleet]\n\nnodes = 0\n", "x.toml:5: fleet.nodes: must be between 1 and 1024, got 0"},
		{head + "[load]\nrate = nan\n", "x.toml:4: load.rate: must be between 0.1 and 100000, got NaN"},
		{head + "[load]\naim = \"soon\"\n", "\"soon\" is not a non-negative duration"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"kill\"\n[[fault]]\nat = \"1s\"\nkind = \"flood\"\n", "x.toml:8: fault[1].kind: unknown kind \"flood\", must be one of cut-node"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"lose-zone\"\nzone = \"q\"\n", "x.toml:6: fault[0].zone: unknown zone \"q\", must be one of a, b, c"},
		{head + "[[fault]]\nat = \"9s\"\nkind = \"kill\"\n", "x.toml:4: fault[0].at: must be at most 5s, the run's duration, got 9s"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"slow\"\n", "x.toml:5: fault[0].kind: slow requires a size of at least 1, the slowdown factor, got 0"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"link\"\nfrom = \"node:9\"\nto = \"agent\"\n", "x.toml:6: fault[0].from: must be clients, nodes, node:N or zone:Z, got \"node:9\""},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"link\"\nfrom = \"nodes\"\nto = \"servers\"\ndoes = \"sing\"\n", "x.toml:8: fault[0].does: must be silence, reset, refuse, loss, delay or rate, got \"sing\""},
		{head + "[[expect]]\nfigure = \"luck\"\nmin = 1\n", "x.toml:4: expect[0].figure: unknown figure \"luck\", must be one of"},
		{head + "[[expect]]\nfigure = \"goodput\"\n", "expect[0].figure: goodput requires min or max"},
		{"duration = \"5s\"\n", "x.toml: name: must not be empty"},
		{head + "[fleet\n", "x.toml:3"},
	} {
		if _, err := ParseScenario("x.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// A run that needs more file descriptors than the hard limit allows is rejected with the number needed.
func TestEnsureDescriptorLimit(t *testing.T) {
	if err := ensureDescriptorLimit(1 << 30); err == nil || !strings.Contains(err.Error(), "about 1073741824 descriptors") {
		t.Errorf("limit of 1<<30 descriptors: error %v, want the number of descriptors", err)
	}
	if err := ensureDescriptorLimit(100); err != nil {
		t.Error(err)
	}
}

// The scenario files in the repository are valid, are named after their scenario and draw arrivals.
func TestScenarioFilesOfRepository(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("found %d scenario files, error %v; want at least 8", len(paths), err)
	}
	for _, p := range paths {
		s, err := LoadScenario(p)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name+".toml" != filepath.Base(p) {
			t.Errorf("%s: scenario is named %q", p, s.Name)
		}
		if d := Draw(s, 1); len(d.Arrivals) == 0 {
			t.Errorf("%s: no arrivals", p)
		}
	}
}
