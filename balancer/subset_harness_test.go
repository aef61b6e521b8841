package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// subsetSettings returns settings of a large fleet whose endpoints report their load in responses.
func subsetSettings(nodes int) Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond = nodes, 40
	s.LoadReports, s.HealthChecks = LoadReportsInResponses, true
	s.Plans[1].Rate, s.Plans[1].Burst = 1e5, 1e5
	return s
}

// testEndpoints returns a list of n endpoints. Half of them have ten times the weight of the others, and the
// zones differ in size.
func testEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		zone := []string{"a", "a", "a", "a", "a", "b", "b", "c"}[i%8]
		list[i] = Endpoint{
			ID: fmt.Sprintf("server-%06d", i), MachineType: "k", Zone: zone, Cell: i % 5,
			Weight: float64(1 + 9*(i%2)),
		}
	}
	return list
}

// newFleet returns all nodes of a fleet, started and with the list.
func newFleet(t *testing.T, nodes int, list []Endpoint) []*Balancer {
	t.Helper()
	balancers := make([]*Balancer, nodes)
	for index := range balancers {
		s := subsetSettings(nodes)
		s.NodeIndex = index
		b, err := New(s, uint64(index+1))
		if err != nil {
			t.Fatal(err)
		}
		b.Start(testStart, &hostRecorder{})
		b.EndpointsUpdated(testStart, UpdateSnapshot, list, &hostRecorder{})
		balancers[index] = b
	}
	return balancers
}

// subsetIDs returns the ids of the listed endpoints of a node's subset.
func subsetIDs(b *Balancer) map[string]bool {
	ids := map[string]bool{}
	for _, e := range b.endpoints.tracked {
		if e.inSubset && e.listed {
			ids[e.ID] = true
		}
	}
	return ids
}

// subsetIDsOfAll returns the ids of the listed endpoints of each node's subset, by node index.
func subsetIDsOfAll(balancers []*Balancer) []map[string]bool {
	all := make([]map[string]bool, len(balancers))
	for n, b := range balancers {
		all[n] = subsetIDs(b)
	}
	return all
}

// spread is the mean, minimum and maximum of some counts.
type spread struct{ mean, min, max float64 }

func spreadOf(counts []float64) spread {
	sum := 0.0
	for _, c := range counts {
		sum += c
	}
	return spread{sum / float64(len(counts)), slices.Min(counts), slices.Max(counts)}
}

func (s spread) String() string {
	return fmt.Sprintf("mean %.1f, minimum %.0f, maximum %.0f", s.mean, s.min, s.max)
}

// coldID is the id of the cold endpoint in tests with a single one.
const coldID = "cold"

// nodesWithCold returns the nodes whose subsets contain the cold endpoint.
func nodesWithCold(balancers []*Balancer) (nodes []*Balancer) {
	for _, b := range balancers {
		if e := b.endpoints.trackedByID[coldID]; e != nil && e.inSubset {
			nodes = append(nodes, b)
		}
	}
	return nodes
}
