package balancer

import (
	"fmt"
	"testing"
	"time"
)

// planNodes is the number of nodes of the fleet that is planned, whose lists are benchmarked.
const planNodes = 4100

// newBenchmarkBalancer returns a node of a large fleet without a list.
func newBenchmarkBalancer(b *testing.B) (*Balancer, *hostRecorder) {
	b.Helper()
	s := subsetSettings(planNodes)
	s.NodeIndex = 7
	node, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &hostRecorder{}
	node.Start(testStart, r)
	return node, r
}

// BenchmarkDelta measures a change of one endpoint, which drains or comes back: one of the subset, and one
// of the reserve.
func BenchmarkDelta(b *testing.B) {
	const others = 4000
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
			if len(changed[name]) < others {
				changed[name] = append(changed[name], e)
			}
		}
		for name, of := range changed {
			b.Run(fmt.Sprintf("%s/%d", name, endpoints), func(b *testing.B) {
				for n := 0; b.Loop(); n++ {
					e := of[n%len(of)]
					e.State = []EndpointState{Draining, Up}[n/len(of)%2]
					node.EndpointsUpdated(testStart, UpdateDelta, []Endpoint{e}, r)
				}
			})
		}
	}
}

// BenchmarkListGrowth measures the change that brings one more endpoint to a list that has grown by so much
// that the number of subsets for each endpoint follows it.
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
					node.EndpointsUpdated(testStart, UpdateSnapshot, list[:int(float64(endpoints)/listLengthSlack)], r)
					node.EndpointsUpdated(testStart, UpdateDelta,
						list[int(float64(endpoints)/listLengthSlack):endpoints], r)
					b.StartTimer()
				}
				number := node.endpoints.sizing.subsetsPerEndpoint
				node.EndpointsUpdated(testStart, UpdateDelta, list[at:at+1], r)
				if node.endpoints.sizing.subsetsPerEndpoint == number {
					b.Fatalf("the number of subsets stays at %v", number)
				}
			}
		})
	}
}

// BenchmarkRepeatedSnapshot measures a snapshot that comes again with nothing new, and how many times
// longer the first one took.
func BenchmarkRepeatedSnapshot(b *testing.B) {
	for _, endpoints := range []int{200, 2000, 20_000, 200_000} {
		list := testEndpoints(endpoints)
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			node, r := newBenchmarkBalancer(b)
			began := time.Now()
			node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
			first := time.Since(began)
			for b.Loop() {
				node.EndpointsUpdated(testStart, UpdateSnapshot, list, r)
			}
			again := b.Elapsed() / time.Duration(b.N)
			b.ReportMetric(float64(first)/float64(again), "first/again")
		})
	}
}
