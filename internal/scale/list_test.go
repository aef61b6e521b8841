package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"

	"opalhook/internal/discovery"
	"opalhook/internal/registry"
)

// listParts returns the parts that measure the list service.
func listParts() []Part {
	return []Part{listStatePart(), listRenewalsPart(), listWatchesPart(), listExpiryPart(), listLostReplicaPart()}
}

// measureList measures a part at a size and returns its values.
func measureList(t *testing.T, p Part, size int) map[string]float64 {
	t.Helper()
	rows, err := p.Measure(t.Context(), size, Env{Seed: 1, Progress: func(int, int, string) {}})
	if err != nil {
		t.Fatalf("%s at %d: %v", p.Name, size, err)
	}
	values := map[string]float64{}
	for _, r := range rows {
		if _, duplicate := values[r.Quantity]; duplicate || r.Part != p.Name || r.Size != size || r.Quantity == "" {
			t.Errorf("%s at %d: unexpected row %+v", p.Name, size, r)
		}
		values[r.Quantity] = r.Value
	}
	return values
}

// messageBytes returns the size of a message on a watch, which is a chunk of HTTP/1.1, in bytes.
func messageBytes(t *testing.T, m discovery.Message) float64 {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	line := len(text) + 1
	return float64(len(fmt.Sprintf("%x\r\n", line)) + line + len("\r\n"))
}

// firstGeneration is the generation of a list that was restored once. The later generations of a measurement
// have the same number of digits.
const firstGeneration = 1<<discovery.EpochBits + 1

// removedZone returns the entries of the lost zone as watches receive them when they are removed.
func removedZone(entries int) (zone []discovery.Entry) {
	for n := lostZone; n < entries; n += plannedZones {
		e := listEntry(n)
		e.Lifecycle = registry.Removed
		zone = append(zone, e)
	}
	return zone
}

// removalBytes returns the size of the messages that remove a zone, one for each entry, in bytes. The order
// of the removals does not matter.
func removalBytes(t *testing.T, entries int) (total float64) {
	t.Helper()
	for _, e := range removedZone(entries) {
		total += messageBytes(t, discovery.Message{Generation: firstGeneration, Entries: []discovery.Entry{e}})
	}
	return total
}

// checkValues checks that quantities have the expected values.
func checkValues(t *testing.T, got, want map[string]float64) {
	t.Helper()
	for quantity, want := range want {
		if got, ok := got[quantity]; !ok || got != want {
			t.Errorf("%s: got %v, want %v", quantity, got, want)
		}
	}
}

// Each part has at least four sizes up to that of the planned fleet, and a memory estimate that grows with
// the size and is at most 8 GiB.
func TestListPartSizes(t *testing.T) {
	for _, p := range listParts() {
		if len(p.Sizes) < 4 || !slices.IsSorted(p.Sizes) || p.Sizes[len(p.Sizes)-1] != plannedEntries || len(p.TestSizes) == 0 || p.Name == "" || p.Title == "" || p.Size == "" {
			t.Errorf("part %+v: want at least 4 sizes in ascending order up to %d, and all fields set", p, plannedEntries)
		}
		for i, n := range p.Sizes {
			if limit := uint64(8 << 30); p.Memory(n) > limit || i > 0 && p.Memory(n) <= p.Memory(p.Sizes[i-1]) {
				t.Errorf("%s: memory estimate is %d bytes at size %d, want at most %d and more than at smaller sizes", p.Name, p.Memory(n), n, limit)
			}
		}
	}
	if n := watchesOf(plannedEntries); n != plannedWatches {
		t.Errorf("%d watches at the planned size, want %d", n, plannedWatches)
	}
}

// A replica recovers its list, and the size of its snapshot is proportional to the list. The measurement
// itself checks the recovered generation.
func TestListState(t *testing.T) {
	t.Parallel()
	p := listStatePart()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		if each := v["snapshot"] / float64(n); each < 150 || each > 600 {
			t.Errorf("snapshot has %v bytes per entry, want 150 to 600", each)
		}
		for _, q := range []string{"heap of the state", "heap of a replica", "recovery from a snapshot", "restore of a backup, until the replica leads", "snapshot, to its file"} {
			if _, ok := v[q]; !ok {
				t.Errorf("%q: no row", q)
			}
		}
	}
}

// Every watch receives each change once and in order, and only the bytes of the changes. A reconnected watch
// receives the missed changes; only a new watch receives a complete list.
func TestListWatches(t *testing.T) {
	t.Parallel()
	p := listWatchesPart()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		lost := zoneEntries(n)
		zoneBytes := removalBytes(t, n)
		checkValues(t, v, map[string]float64{
			"watches":            float64(watchesOf(n)),
			"zone lost, entries": float64(lost),
			"watches told otherwise than each change once and in order":        0,
			"whole lists to watches that were open":                            0,
			"zone lost, most to a watch":                                       zoneBytes,
			"all come back, most to a watch":                                   zoneBytes,
			"all come back, whole lists":                                       0,
			"all come back, told otherwise than each change once and in order": 0,
			"whole list, whole lists told":                                     v["whole list, watches that take it at once"],
		})
		if got, limit := v["one change, most to a watch"], 300.0; got == 0 || got > limit {
			t.Errorf("a change has %v bytes, want 1 to %v", got, limit)
		}
		if each := v["whole list, most to a watch"] / float64(n-lost); each < 100 || each > 200 {
			t.Errorf("complete list has %v bytes per entry, want 100 to 200", each)
		}
	}
}

// Services of one and of three replicas accept renewals, and the CPU time per second of the planned renewals
// follows from that of one renewal.
func TestListRenewals(t *testing.T) {
	t.Parallel()
	p := listRenewalsPart()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		for _, service := range []string{"one replica", "three replicas"} {
			for _, mode := range []string{"connections kept", "a connection each"} {
				prefix := fmt.Sprintf("renewals, %s, %s: ", service, mode)
				one, ok := v[prefix+"processor time of one"]
				second, okSecond := v[prefix+"processor time of a second of the plan's"]
				if want := one * float64(n) * 0.3; !ok || !okSecond || second < want*0.999 || second > want*1.001 {
					t.Errorf("%s%v s for one renewal, %v s for a second of renewals, want %v s", prefix, one, second, want)
				}
			}
		}
	}
}

// The measurement fails if the service does not know a lease.
func TestRenewalsOfUnknownLeasesFail(t *testing.T) {
	t.Parallel()
	backup, err := listBackup(4, listLease)
	if err != nil {
		t.Fatal(err)
	}
	r, err := startReplica(t.Context(), backup)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := r.close(); err != nil {
			t.Error(err)
		}
	}()
	steps := listSteps{ctx: t.Context(), env: Env{Seed: 1}}
	if _, err := renew(&steps, r.Addr(), 4, 40, true); err != nil {
		t.Errorf("existing leases: error %v", err)
	}
	for _, keepAlive := range []bool{true, false} {
		if _, err := renew(&steps, r.Addr(), 1000, 200, keepAlive); err == nil || !strings.Contains(err.Error(), "404") {
			t.Errorf("unknown leases: error %v, want one with status 404", err)
		}
	}
}

// A watch detects changes that it receives twice, out of order or not at all, regardless of how the bytes are
// split into reads.
func TestWatchDetectsOutOfOrderChanges(t *testing.T) {
	line := func(generation int, reset bool) string {
		return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Repeat(" ", 40)) + "\n"
	}
	for name, c := range map[string]struct {
		stream     string
		outOfOrder bool
		generation uint64
	}{
		"in order":         {line(8, false) + "\n" + line(9, false), false, 9},
		"a complete list":  {line(20, true) + line(21, false), false, 21},
		"a duplicate":      {line(8, false) + line(8, false), true, 8},
		"a missing change": {line(8, false) + line(10, false), true, 10},
		"an older list":    {line(8, false) + line(7, true), true, 7},
		"an older change":  {line(6, false), true, 6},
		"no generation":    {`{"generation":x}` + "\n", true, 0},
	} {
		for _, chunkSize := range []int{1, 7, 1000} {
			near, far := net.Pipe()
			w := &listWatch{conn: near, lines: bufio.NewReaderSize(near, 32), state: watchState{generation: 7}}
			w.publish()
			go func() {
				for chunk := range slices.Chunk([]byte(c.stream), chunkSize) {
					if _, err := far.Write(chunk); err != nil {
						return
					}
				}
				_ = far.Close()
			}()
			w.follow(func() {})
			if got := w.published.Load(); (got.outOfOrder != nil) != c.outOfOrder || got.generation != c.generation && !c.outOfOrder {
				t.Errorf("%s in chunks of %d bytes: at generation %d, error %v", name, chunkSize, got.generation, got.outOfOrder)
			}
		}
	}
}

// A cancelled measurement returns the rows measured so far.
func TestListMeasurementCancelled(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	rows, err := listWatchesPart().Measure(ctx, 200, Env{Progress: func(done, _ int, _ string) {
		if done == 3 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) || !slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "one change, most to a watch" }) {
		t.Errorf("error %v, %d rows, want context.Canceled and the rows of the single changes", err, len(rows))
	}
}
