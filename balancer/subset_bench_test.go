package balancer

import (
	"fmt"
	"testing"
	"time"
)

// plannedNodes is the number of nodes of the planned fleet, for which the benchmarks run.
const plannedNodes = 4100

// newBenchmarkBalancer returns a node of the planned fleet that has not received a list yet.
func newBenchmarkBalancer(b *testing.B) (*Balancer, *hostRecorder) {
	b.Helper()
	s := subsetSettings(plannedNodes)
	s.NodeIndex = 7
	node, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &hostRecorder{}
	node.Start(testStart, r)
	return node, r
}

// BenchmarkDelta measures a delta with one endpoint that starts or stops draining, either an endpoint of the
// subset or one of the reserve.
func BenchmarkDelta(b *testing.B) {
	const maxChanged = 4000
	for _, endpoints := range []int{2000, 200_000} {
		list := testEndpoints(endpoints)
		node, r := newBenchmarkBalancer(b)
		node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
		changed := map[string][]Endpoint{}
		for _, e := range list {
			name := "reserve"
			if node.endpoints.trackedByID[e.ID] != nil {
				name = "subset"
			}
			if len(changed[name]) < maxChanged {
				changed[name] = append(changed[name], e)
			}
		}
		for name, entries := range changed {
			b.Run(fmt.Sprintf("%s/%d", name, endpoints), func(b *testing.B) {
				for n := 0; b.Loop(); n++ {
					e := entries[n%len(entries)]
					e.State = []EndpointState{Draining, Up}[n/len(entries)%2]
					node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
				}
			})
		}
	}
}

// BenchmarkListGrowth measures a delta that adds one endpoint to a list that has grown so far that each
// further endpoint changes the number of subsets per endpoint.
func BenchmarkListGrowth(b *testing.B) {
	const growth = 500
	for _, endpoints := range []int{2000, 20_000, 80_000} {
		list := testEndpoints(endpoints + growth)
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			var node *Balancer
			var r *hostRecorder
			for n := 0; b.Loop(); n++ {
				at := endpoints + n%growth
				if at == endpoints {
					b.StopTimer()
					node, r = newBenchmarkBalancer(b)
					node.EndpointsUpdated(testStart, UpdateSnapshot,
						list[:int(float64(endpoints)/listLengthHysteresis)], r)
					node.EndpointsUpdated(testStart, UpdateDelta,
						list[int(float64(endpoints)/listLengthHysteresis):endpoints], r)
					b.StartTimer()
				}
				before := node.endpoints.sizing.subsetsPerEndpoint
				node.EndpointsUpdated(testStart, UpdateDelta, list[at:at+1], r)
				if node.endpoints.sizing.subsetsPerEndpoint == before {
					b.Fatalf("%d endpoints: the number of subsets per endpoint stays at %v", at+1, before)
				}
			}
		})
	}
}

// BenchmarkRepeatedSnapshot measures a snapshot that is received again unchanged, and reports how many times
// longer the first one took.
func BenchmarkRepeatedSnapshot(b *testing.B) {
	for _, endpoints := range []int{200, 2000, 20_000, 200_000} {
		list := testEndpoints(endpoints)
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			node, r := newBenchmarkBalancer(b)
			start := time.Now()
			node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
			first := time.Since(start)
			for b.Loop() {
				node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
			}
			repeated := b.Elapsed() / time.Duration(b.N)
			b.ReportMetric(float64(first)/float64(repeated), "first/again")
		})
	}
}
