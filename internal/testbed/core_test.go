package testbed

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// serverFleet is app servers with round figures: 2 cores, 4 slots, 2 places to wait.
func serverFleet() *Fleet {
	s := defaults()
	f := s.Fleet
	f.Cores, f.SlotsPerCore, f.QueuePerCore, f.ContentionLoss, f.HandshakeWork = 2, 2, 1, 0, 0
	return &f
}

// A machine shares its cores among what it holds, keeps the rest waiting and turns away what
// has no place.
func TestModelSharesItsCores(t *testing.T) {
	m := newModel(serverFleet(), 0.1, 0, -1)
	ended := map[int]time.Duration{}
	arrive := func(n int, at time.Duration, work float64) bool {
		return m.arrive(at, &job{work: work, ended: func() { ended[n] = m.now }})
	}
	for n := range 6 { // four in slots on two cores, two waiting
		if !arrive(n, 0, 0.1) {
			t.Fatalf("request %d of 6 turned away", n)
		}
	}
	if arrive(6, 0, 0.1) {
		t.Error("a seventh found a place")
	}
	if d, ok := m.next(); !ok || d < 200*ms || d > 201*ms {
		t.Errorf("next end in %v", d)
	}
	m.advance(time.Second)
	for n, want := range []time.Duration{200 * ms, 200 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if d := (ended[n] - want).Abs(); d > ms {
			t.Errorf("request %d ended at %v, want %v", n, ended[n], want)
		}
	}
}

// The order of calls between two events must not matter: work done is a matter of time.
func TestModelDoesNotDependOnWhenItIsAsked(t *testing.T) {
	run := func(step time.Duration) (ends []time.Duration) {
		f := serverFleet()
		f.ContentionLoss, f.ContentionFrom = 0.3, 1
		m := newModel(f, 0.05, 0, 0) // cold
		for n := range 5 {
			m.arrive(time.Duration(n)*30*ms, &job{work: 0.05, ended: func() { ends = append(ends, m.now) }})
		}
		for at := 120 * ms; at < 5*time.Second; at += step {
			m.advance(at)
		}
		return ends
	}
	a, b := run(500*ms), run(7*ms)
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("%d and %d of 5 ended", len(a), len(b))
	}
	for i := range a {
		if d := (a[i] - b[i]).Abs(); d > 5*ms {
			t.Errorf("end %d: %v and %v", i, a[i], b[i])
		}
	}
}

// A cold server fails of overload when sent more than the multiple of what it can do, for the window;
// a warm one, or one sent less, does not.
func TestColdModelFallsOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		boot  time.Duration
		times float64 // of what it can do cold
		fell  bool
	}{{"flooded", 0, 4, true}, {"fed", 0, 1.5, false}, {"warm", -1, 20, false}} {
		f := serverFleet()
		f.SlowStartDuration = Duration(time.Hour)
		m := newModel(f, 0.01, 0, c.boot)
		can := float64(f.Cores) * f.SlowStartInitialFraction
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			m.arrive(at, &job{work: can * c.times * 0.01, ended: func() {}})
		}
		if m.failed != c.fell {
			t.Errorf("%s: fell over: %v, want %v", c.name, m.failed, c.fell)
		}
	}
}

// One seed draws one schedule; another seed another; and what it draws is what was asked for.
func TestScheduleIsDrawnFromTheSeed(t *testing.T) {
	s := defaults()
	s.Name, s.Duration, s.Load.Rate, s.Load.OverQuotaTenants = "x", Duration(60*time.Second), 400, 0
	s.Load.Bursts = []Burst{{At: Duration(20 * time.Second), For: Duration(10 * time.Second), Times: 2}}
	s.Faults = []Fault{{At: Duration(5 * time.Second), For: Duration(time.Second), Kind: "kill", Share: 0.5}}
	a, b, other := Draw(&s, 7), Draw(&s, 7), Draw(&s, 8)
	if a.Digest() != b.Digest() || a.Digest() == other.Digest() {
		t.Errorf("digests %s, %s and of another seed %s", a.Digest(), b.Digest(), other.Digest())
	}
	inside, units := [2]float64{}, 0.0
	for _, x := range a.Arrivals {
		burst := 0
		if x.At >= 20*time.Second && x.At < 30*time.Second {
			burst = 1
		}
		inside[burst]++
		units += x.Units
		c := a.Tenants[x.Tenant]
		if d := (x.Node - c.FirstEntryNode + s.Fleet.Nodes) % s.Fleet.Nodes; d >= c.EntryNodes {
			t.Fatalf("a request of a customer of nodes %d+%d comes through %d", c.FirstEntryNode, c.EntryNodes, x.Node)
		}
	}
	if r := inside[0] / 50; math.Abs(r/400-1) > 0.05 {
		t.Errorf("%.0f requests a second, want 400", r)
	}
	if r := inside[1] / 10; math.Abs(r/800-1) > 0.07 {
		t.Errorf("%.0f requests a second in the burst, want 800", r)
	}
	if m := units / float64(len(a.Arrivals)); math.Abs(m/meanUnits()-1) > 0.03 {
		t.Errorf("%.2f units a request, want %.2f", m, meanUnits())
	}
	if len(a.Faults) != 4 || a.Faults[0].Target == a.Faults[1].Target {
		t.Errorf("faults %+v, want two nodes that die and come back", a.Faults)
	}
}

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

// Runs of different schedules can't be held against each other; those of one can.
func TestCompare(t *testing.T) {
	dir := t.TempDir()
	put := func(name, digest string, goodput float64) string {
		at := filepath.Join(dir, name)
		if err := os.MkdirAll(at, 0o755); err != nil {
			t.Fatal(err)
		}
		r := Result{Digest: digest, Figures: map[string]float64{"goodput": goodput}}
		if err := r.write(at); err != nil {
			t.Fatal(err)
		}
		return at
	}
	put("a/1", "d1", 0.5)
	put("a/2", "d2", 0.7)
	put("b/1", "d1", 0.9)
	put("b/2", "d2", 0.9)
	rows, err := Compare(filepath.Join(dir, "a"), filepath.Join(dir, "b"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Figure == "goodput" && (math.Abs(r.Ratio-1.5) > 1e-9 || !r.Apart || r.A.Min != 0.5 || r.A.Max != 0.7 || r.A.Runs != 2) {
			t.Errorf("%+v", r)
		}
	}
	if _, err := Compare(filepath.Join(dir, "a"), put("c", "d9", 1)); err == nil || !strings.Contains(err.Error(), "d9") {
		t.Errorf("error %v names no schedule", err)
	}
	if _, err := Compare(t.TempDir(), dir); err == nil {
		t.Error("a folder with no run was compared")
	}
}
