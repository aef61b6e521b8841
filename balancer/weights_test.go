package balancer

import "testing"

func TestWeightCounts(t *testing.T) {
	var counts weightCounts
	for _, step := range []struct {
		weight  float64
		change  int
		total   int
		largest float64
		differ  bool
	}{
		{1, 1, 1, 1, false},
		{4, 1, 2, 4, true},
		{4, 1, 3, 4, true},
		{4, -1, 2, 4, true},
		{4, -1, 1, 1, false},
		{1, -1, 0, 0, false},
	} {
		counts.add(step.weight, step.change)
		if counts.total != step.total || counts.largest != step.largest || counts.differ() != step.differ {
			t.Errorf("after %+d of weight %v: total %d, largest %v, differ %v, want %+v", step.change,
				step.weight, counts.total, counts.largest, counts.differ(), step)
		}
	}
}
