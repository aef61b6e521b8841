package testbed

import (
	"math"
	"testing"
	"time"
)

// A seed always draws the same schedule, another seed draws a different one, and the rates, units, entry
// nodes and faults follow the scenario.
func TestDraw(t *testing.T) {
	s := defaults()
	s.Name, s.Duration, s.Load.Rate, s.Load.OverQuotaTenants = "x", Duration(60*time.Second), 400, 0
	s.Load.Bursts = []Burst{{At: Duration(20 * time.Second), For: Duration(10 * time.Second), Factor: 2}}
	s.Faults = []Fault{{At: Duration(5 * time.Second), For: Duration(time.Second), Kind: "kill", Share: 0.5}}
	a, b, other := Draw(&s, 7), Draw(&s, 7), Draw(&s, 8)
	if a.Digest() != b.Digest() || a.Digest() == other.Digest() {
		t.Errorf("digests %s and %s of one seed, %s of another seed", a.Digest(), b.Digest(), other.Digest())
	}
	arrivals, units := [2]float64{}, 0.0 // arrivals outside and inside the burst
	for _, x := range a.Arrivals {
		burst := 0
		if x.At >= 20*time.Second && x.At < 30*time.Second {
			burst = 1
		}
		arrivals[burst]++
		units += x.Units
		c := a.Tenants[x.Tenant]
		if d := (x.Node - c.FirstEntryNode + s.Fleet.Nodes) % s.Fleet.Nodes; d >= c.EntryNodes {
			t.Fatalf("node %d is not one of the tenant's %d entry nodes from node %d", x.Node, c.EntryNodes, c.FirstEntryNode)
		}
	}
	if r := arrivals[0] / 50; math.Abs(r/400-1) > 0.05 {
		t.Errorf("%.0f requests per second, want 400", r)
	}
	if r := arrivals[1] / 10; math.Abs(r/800-1) > 0.07 {
		t.Errorf("%.0f requests per second in the burst, want 800", r)
	}
	if m := units / float64(len(a.Arrivals)); math.Abs(m/meanUnits()-1) > 0.03 {
		t.Errorf("%.2f units per request, want %.2f", m, meanUnits())
	}
	if len(a.Faults) != 4 || a.Faults[0].Target == a.Faults[1].Target {
		t.Errorf("faults %+v, want two nodes that are killed and restarted", a.Faults)
	}
}
