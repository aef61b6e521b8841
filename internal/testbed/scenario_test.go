package testbed

import (
	"path/filepath"
	"strings"
	"testing"
)

// A mistake in a scenario is told with file, line and field, and with what was expected.
func TestScenarioErrors(t *testing.T) {
	const head = "name = \"x\"\nduration = \"5s\"\n"
	for _, c := range []struct{ text, want string }{
		{head + "colour = 1\n", "x.toml:3: colour: no such key"},
		{head + "[fleet]\nnodes = \"many\"\n", "x.toml:4"},
		{head + "[fleet]\n\nnodes = 0\n", "x.toml:5: fleet.nodes: 0 is not from 1 to 1024"},
		{head + "[load]\nrate = nan\n", "x.toml:4: load.rate: NaN"},
		{head + "[load]\naim = \"soon\"\n", "is not a duration"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"kill\"\n[[fault]]\nat = \"1s\"\nkind = \"flood\"\n", "x.toml:8: fault[1].kind: \"flood\" is none of cut-node"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"lose-zone\"\nzone = \"q\"\n", "x.toml:6: fault[0].zone: \"q\" is none of a, b, c"},
		{head + "[[fault]]\nat = \"9s\"\nkind = \"kill\"\n", "x.toml:4: fault[0].at: 9s is after the run's end"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"slow\"\n", "x.toml:5: fault[0].kind: slow wants a size"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"link\"\nfrom = \"node:9\"\nto = \"agent\"\n", "x.toml:6: fault[0].from: \"node:9\" is none of"},
		{head + "[[fault]]\nat = \"1s\"\nkind = \"link\"\nfrom = \"nodes\"\nto = \"servers\"\ndoes = \"sing\"\n", "x.toml:8: fault[0].does: \"sing\" is none of silence"},
		{head + "[[expect]]\nfigure = \"luck\"\nmin = 1\n", "x.toml:4: expect[0].figure: \"luck\" is none of"},
		{head + "[[expect]]\nfigure = \"goodput\"\n", "min or max is wanted"},
		{"duration = \"5s\"\n", "x.toml: name: is empty"},
		{head + "[fleet\n", "x.toml:3"},
	} {
		if _, err := ParseScenario("x.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// A run that needs more descriptors than there can be says how many, before it starts anything.
func TestDescriptorsAreCountedFirst(t *testing.T) {
	if err := needDescriptors(1 << 30); err == nil || !strings.Contains(err.Error(), "about 1073741824 descriptors") {
		t.Errorf("error %v", err)
	}
	if err := needDescriptors(100); err != nil {
		t.Error(err)
	}
}

// The scenarios that come with the program can be played.
func TestScenariosOfTheProgram(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d scenarios, error %v", len(paths), err)
	}
	for _, p := range paths {
		s, err := LoadScenario(p)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name+".toml" != filepath.Base(p) {
			t.Errorf("%s holds %q", p, s.Name)
		}
		if d := Draw(s, 1); len(d.Arrivals) == 0 {
			t.Errorf("%s: no arrivals", p)
		}
	}
}
