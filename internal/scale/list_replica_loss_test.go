package scale

import (
	"testing"
)

// All watches of a lost replica reconnect to the other two. Over the loss they receive each change once and
// in order, only the bytes of the changes, and no complete lists.
func TestListLostReplica(t *testing.T) {
	t.Parallel()
	p := listLostReplicaPart()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		checkValues(t, v, map[string]float64{
			"watches":                      float64(watchesOf(n)),
			"zone lost meanwhile, entries": float64(zoneEntries(n)),
			"come back, most to a watch from the loss on":                  removalBytes(t, n),
			"come back, whole lists":                                       0,
			"come back, told otherwise than each change once and in order": 0,
		})
		leader, follower := v["come back, at the replica that leads"], v["come back, at the replica that follows"]
		if leader == 0 || follower == 0 || leader+follower != v["watches"] {
			t.Errorf("%v watches reconnected to the leader and %v to the follower, want some at both and %v in total", leader, follower, v["watches"])
		}
		ended, open := v["replica lost, until the last of its watches has ended"], v["replica lost, until all are open at the others"]
		if ended <= 0 || open < ended {
			t.Errorf("watches ended after %v s and were open again after %v s", ended, open)
		}
		for _, q := range []string{
			"replica lost, until the last has the list of when all were open", "replica lost, until the last has the list without the zone",
			"zone lost meanwhile, all removals written", "zone lost meanwhile, longest of the removals",
		} {
			if v[q] <= 0 {
				t.Errorf("%s: got %v, want a time above 0", q, v[q])
			}
		}
		if leads, ok := v["another replica leads than before"]; !ok || leads > 1 {
			t.Errorf("another replica leads than before: got %v, want 0 or 1", leads)
		}
	}
}
