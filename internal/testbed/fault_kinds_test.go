package testbed

import (
	"slices"
	"testing"
)

func TestParties(t *testing.T) {
	s := defaults()
	s.Fleet.Nodes, s.Fleet.Servers, s.Fleet.Zones = 2, 4, []string{"a", "b"}
	for _, c := range []struct {
		name string
		want []party
	}{
		{"clients", []party{allClients}},
		{"agent", []party{{partyAgent, 0}}},
		{"nodes", []party{nodeParty(0), nodeParty(1)}},
		{"node:1", []party{nodeParty(1)}},
		{"servers", []party{serverParty(0), serverParty(1), serverParty(2), serverParty(3)}},
		{"server:3", []party{serverParty(3)}},
		{"zone:b", []party{nodeParty(1), serverParty(1), serverParty(3)}},
		{"node:2", nil},
		{"server:-1", nil},
		{"node:", nil},
		{"zone:c", nil},
		{"", nil},
	} {
		got, err := s.parties(c.name)
		if (err != nil) != (c.want == nil) || !slices.Equal(got, c.want) {
			t.Errorf("%q: %v, error %v; want %v", c.name, got, err, c.want)
		}
	}
}

// Every kind of fault has a description and a valid target.
func TestFaultKindsAreDescribed(t *testing.T) {
	described := FaultKinds()
	if len(described) != len(faultKinds) {
		t.Errorf("FaultKinds returns %d kinds, want %d", len(described), len(faultKinds))
	}
	for name, kind := range faultKinds {
		if described[name] == "" {
			t.Errorf("%s: no description", name)
		}
		if kind.target < targetOther || kind.target > targetZone {
			t.Errorf("%s: invalid target %d", name, kind.target)
		}
	}
}
