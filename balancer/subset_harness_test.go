package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// subsetSettings are those of a large fleet whose servers report their load in answers.
func subsetSettings(nodes int) Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports, s.HealthChecks = nodes, 40, LoadReportsInResponses, true
	s.Plans[1].Rate, s.Plans[1].Burst = 1e5, 1e5
	return s
}

// manyServers returns a list whose weights differ tenfold and whose zones differ in size.
func manyServers(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		zone := []string{"a", "a", "a", "a", "a", "b", "b", "c"}[i%8]
		list[i] = Endpoint{ID: fmt.Sprintf("server-%06d", i), MachineType: "k", Zone: zone, Cell: i % 5, Weight: float64(1 + 9*(i%2))}
	}
	return list
}

// wholeFleet returns all gateways of a fleet, each with the list.
func wholeFleet(t *testing.T, nodes int, list []Endpoint) []*Balancer {
	t.Helper()
	gates := make([]*Balancer, nodes)
	for me := range gates {
		s := subsetSettings(nodes)
		s.NodeIndex = me
		g, err := New(s, uint64(me+1))
		if err != nil {
			t.Fatal(err)
		}
		g.Start(t0, &recorder{})
		g.EndpointsUpdated(t0, UpdateSnapshot, list, &recorder{})
		gates[me] = g
	}
	return gates
}

// subsetOf returns the listed servers in a gateway's subset.
func subsetOf(g *Balancer) map[string]bool {
	ids := map[string]bool{}
	for _, s := range g.endpoints.tracked {
		if s.inSubset && s.listed {
			ids[s.ID] = true
		}
	}
	return ids
}

func subsetsOf(gates []*Balancer) []map[string]bool {
	all := make([]map[string]bool, len(gates))
	for n, g := range gates {
		all[n] = subsetOf(g)
	}
	return all
}

// spread is the mean, least and most of counts.
type spread struct{ mean, least, most float64 }

func spreadOf(counts []float64) spread {
	sum := 0.0
	for _, c := range counts {
		sum += c
	}
	return spread{sum / float64(len(counts)), slices.Min(counts), slices.Max(counts)}
}

func (s spread) String() string {
	return fmt.Sprintf("mean %.1f, least %.0f, most %.0f", s.mean, s.least, s.most)
}

// holders returns the gateways in whose subsets a server is.
func holders(gates []*Balancer, id string) (in []*Balancer) {
	for _, g := range gates {
		if s := g.endpoints.trackedByID[id]; s != nil && s.inSubset {
			in = append(in, g)
		}
	}
	return in
}
