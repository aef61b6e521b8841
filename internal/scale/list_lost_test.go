package scale

import (
	"testing"
)

// Watches of a lost replica come back at the other two, and are told each change once and in order
// across the loss, as changes and in the bytes of these.
func TestListLostReplicaMeasured(t *testing.T) {
	t.Parallel()
	p := ListLostReplica()
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
			t.Errorf("%v and %v of %v watches came back", leader, follower, v["watches"])
		}
		ended, open := v["replica lost, until the last of its watches has ended"], v["replica lost, until all are open at the others"]
		if ended <= 0 || open < ended {
			t.Errorf("ended after %v, open after %v", ended, open)
		}
		for _, q := range []string{
			"replica lost, until the last has the list of when all were open", "replica lost, until the last has the list without the zone",
			"zone lost meanwhile, all removals written", "zone lost meanwhile, longest of the removals",
		} {
			if v[q] <= 0 {
				t.Errorf("%s: %v", q, v[q])
			}
		}
		if leads, ok := v["another replica leads than before"]; !ok || leads > 1 {
			t.Errorf("another replica leads: %v", leads)
		}
	}
}
