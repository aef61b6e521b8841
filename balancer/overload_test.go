package balancer

import (
	"math"
	"testing"
)

// assess runs a number of assessments. Each control interval has the given number of sent requests and one
// sample of the occupancy.
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
		from      float64 // admitted fraction at the start
		want      func(fraction float64) bool
	}{
		{"overload reduces the fraction", 1, 1, func(f float64) bool {
			return f < 0.9 && f >= minAdmittedFraction
		}},
		{"the fraction never falls below its minimum", 1, minAdmittedFraction, func(f float64) bool {
			return f == minAdmittedFraction
		}},
		{"spare capacity restores the fraction", 0.3, minAdmittedFraction, func(f float64) bool {
			return f == 1
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newOverloadController()
			c.admittedFraction = test.from
			assess(&c, 10, fewSamples, test.occupancy)
			if !test.want(c.admittedFraction) {
				t.Errorf("admitted fraction %v does not meet the condition in the name of the test",
					c.admittedFraction)
			}
		})
	}
}

// Five seconds at occupancy 1 reduce the admitted fraction, and five seconds at occupancy 0.3 restore it.
func TestAdmittedFractionRecovers(t *testing.T) {
	c := newOverloadController()
	for range 50 {
		c.current().sent = 10
		c.sampleOccupancy(1)
		c.closeInterval(0, 0)
	}
	low := c.admittedFraction
	if low > 0.9 || low < minAdmittedFraction {
		t.Errorf("admitted fraction %v after 5 s at occupancy 1, want %v to 0.9", low, minAdmittedFraction)
	}
	for range 50 {
		c.sampleOccupancy(0.3)
		c.closeInterval(0, 0)
	}
	if c.admittedFraction != 1 {
		t.Errorf("admitted fraction %v after 5 s at occupancy 0.3, want 1", c.admittedFraction)
	}
}

// After any number of requests, the admitted ones differ from the admitted fraction by at most one request.
func TestThrottleIsEven(t *testing.T) {
	c := newOverloadController()
	c.admittedFraction = 0.3
	admitted := 0
	for n := 1; n <= 1000; n++ {
		if c.admit() {
			admitted++
		}
		if math.Abs(float64(admitted)-0.3*float64(n)) > 1 {
			t.Fatalf("%d of %d requests admitted, want 30%% of them to within one", admitted, n)
		}
	}
}

// A node with too few samples of its own uses the pooled means.
func TestPooledMeansReplaceFewOwnSamples(t *testing.T) {
	c := newOverloadController()
	c.mixIntoPool(1, &pooledMeans{poolOccupancySum: 10, poolOccupancySamples: 10, poolSent: 10})
	for range assessmentIntervals {
		c.closeInterval(0, 0)
	}
	if c.occupancy < 0.99 || c.admittedFraction >= 1 {
		t.Errorf("occupancy %v and admitted fraction %v with a pooled occupancy of 1, want 1 and less than 1",
			c.occupancy, c.admittedFraction)
	}
}
