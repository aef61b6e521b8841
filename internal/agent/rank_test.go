package agent

import (
	"fmt"
	"testing"
)

// Followers spread evenly over replicas, and those of a replica that failed over the others.
func TestRankSpreadsFollowers(t *testing.T) {
	first, second := map[string]int{}, map[string]int{}
	for n := range 3000 {
		r := Rank(fmt.Sprint("machine-", n), []string{"127.0.0.1:8500", "127.0.0.2:8500", "127.0.0.3:8500"})
		first[r[0]]++
		if r[0] == "127.0.0.1:8500" {
			second[r[1]]++
		}
	}
	for r, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%s is first for %d of 3000", r, n)
		}
	}
	for r, n := range second {
		if n < 420 || n > 580 {
			t.Errorf("%s is second for %d of 1000", r, n)
		}
	}
}
