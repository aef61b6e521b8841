package balancer

import (
	"math"
	"testing"
)

// assess runs assessments of an interval each with so many requests sent and the occupancy sampled once.
func assess(c *overloadController, assessments int, sent, occupancy float64) {
	for range assessments * assessmentIntervals {
		c.current().sent = sent
		c.sampleOccupancy(occupancy)
		c.closeInterval(0, 0)
	}
}

func TestOverloadController(t *testing.T) {
	const fewSamples = minOwnSamples / assessmentIntervals / 2
	tests := []struct {
		name      string
		occupancy float64
		from      float64 // admitted fraction before
		want      func(fraction float64) bool
	}{
		{"overload reduces it", 1, 1, func(f float64) bool { return f < 0.9 && f >= minAdmittedFraction }},
		{"it never falls below the minimum", 1, minAdmittedFraction, func(f float64) bool { return f == minAdmittedFraction }},
		{"spare capacity restores it", 0.3, minAdmittedFraction, func(f float64) bool { return f == 1 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newOverloadController()
			c.admittedFraction = test.from
			assess(&c, 10, fewSamples, test.occupancy)
			if !test.want(c.admittedFraction) {
				t.Errorf("admitted fraction %v", c.admittedFraction)
			}
		})
	}
}

// Occupancy 1 for five seconds drives the admitted fraction down, five quiet seconds restore it.
func TestAdmittedFractionRecovers(t *testing.T) {
	c := newOverloadController()
	for range 50 {
		c.current().sent = 10
		c.sampleOccupancy(1)
		c.closeInterval(0, 0)
	}
	low := c.admittedFraction
	if low > 0.9 || low < minAdmittedFraction {
		t.Errorf("admitted fraction %v after 5 s at occupancy 1", low)
	}
	for range 50 {
		c.sampleOccupancy(0.3)
		c.closeInterval(0, 0)
	}
	if c.admittedFraction != 1 {
		t.Errorf("admitted fraction %v after 5 s of occupancy 0.3", c.admittedFraction)
	}
}

// The throttle admits its fraction of any run of requests, to within one.
func TestThrottleIsEven(t *testing.T) {
	c := newOverloadController()
	c.admittedFraction = 0.3
	admitted := 0
	for n := 1; n <= 1000; n++ {
		if c.admit() {
			admitted++
		}
		if math.Abs(float64(admitted)-0.3*float64(n)) > 1 {
			t.Fatalf("%d of %d requests admitted", admitted, n)
		}
	}
}

// A node with too few samples goes by the pooled means.
func TestFewSamplesUseThePool(t *testing.T) {
	c := newOverloadController()
	c.mixIntoPool(1, &pooledMeans{poolOccupancySum: 10, poolOccupancySamples: 10, poolSent: 10})
	for range assessmentIntervals {
		c.closeInterval(0, 0)
	}
	if c.occupancy < 0.99 || c.admittedFraction >= 1 {
		t.Errorf("occupancy %v and admitted fraction %v, though all peers report 1", c.occupancy, c.admittedFraction)
	}
}
