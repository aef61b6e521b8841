package agent

import (
	"fmt"
	"testing"
)

// Followers spread evenly over the replicas, and the followers of a failed replica spread evenly over the
// others.
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
			t.Errorf("%s is the first replica of %d of 3000 followers, want 900 to 1100", r, n)
		}
	}
	for r, n := range second {
		if n < 420 || n > 580 {
			t.Errorf("%s is the second replica of %d of about 1000 followers, want 420 to 580", r, n)
		}
	}
}
