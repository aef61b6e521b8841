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

func listParts() []Part {
	return []Part{ListState(), ListRenewals(), ListService(), ListExpiry(), ListLostReplica()}
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
		if _, twice := values[r.Quantity]; twice || r.Part != p.Name || r.Size != size || r.Quantity == "" {
			t.Errorf("row %+v of %s at %d", r, p.Name, size)
		}
		values[r.Quantity] = r.Value
	}
	return values
}

// messageBytes is the bytes of a message on a watch.
func messageBytes(t *testing.T, m discovery.Message) float64 {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	line := len(text) + 1
	return float64(len(fmt.Sprintf("%x\r\n", line)) + line + len("\r\n"))
}

// firstGeneration is that of a list that was restored once. The later ones of a measurement are as long.
const firstGeneration = 1<<discovery.EpochBits + 1

// removedZone is the lost zone's entries as watches are told of them.
func removedZone(entries int) (zone []discovery.Entry) {
	for n := lostZone; n < entries; n += plannedZones {
		e := listEntry(n)
		e.Lifecycle = registry.Removed
		zone = append(zone, e)
	}
	return zone
}

// removalBytes is the bytes of a zone's removals, one message for each; their order is open.
func removalBytes(t *testing.T, entries int) (zone float64) {
	t.Helper()
	for _, e := range removedZone(entries) {
		zone += messageBytes(t, discovery.Message{Generation: firstGeneration, Instances: []discovery.Entry{e}})
	}
	return zone
}

// checkValues compares values that are known.
func checkValues(t *testing.T, got, want map[string]float64) {
	t.Helper()
	for quantity, want := range want {
		if got, ok := got[quantity]; !ok || got != want {
			t.Errorf("%s: %v, want %v", quantity, got, want)
		}
	}
}

// Each part has four sizes at least, up to the plan's, and says what they take.
func TestListPartsCoverThePlan(t *testing.T) {
	for _, p := range listParts() {
		if len(p.Sizes) < 4 || !slices.IsSorted(p.Sizes) || p.Sizes[len(p.Sizes)-1] != plannedEntries || len(p.TestSizes) == 0 || p.Name == "" || p.Title == "" || p.Size == "" {
			t.Errorf("%+v", p)
		}
		for i, n := range p.Sizes {
			if most := uint64(8 << 30); p.Memory(n) > most || i > 0 && p.Memory(n) <= p.Memory(p.Sizes[i-1]) {
				t.Errorf("%s: %d bytes at %d", p.Name, p.Memory(n), n)
			}
		}
	}
	if n := watchesOf(plannedEntries); n != plannedWatches {
		t.Errorf("%d watches at the plan's size", n)
	}
}

// The list's replica recovers what it had, in bytes that grow with the list alone.
func TestListStateMeasured(t *testing.T) {
	t.Parallel()
	p := ListState()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		if each := v["snapshot"] / float64(n); each < 150 || each > 600 {
			t.Errorf("a snapshot of %v bytes an entry", each)
		}
		for _, q := range []string{"heap of the state", "heap of a replica", "recovery from a snapshot", "restore of a backup, until the replica leads", "snapshot, to its file"} {
			if _, ok := v[q]; !ok {
				t.Errorf("no row of %s", q)
			}
		}
	}
}

// Every watch is told each change once and in order, in the bytes of the changes and no more; what
// it missed it is told as changes, and as a whole list only where it has none.
func TestListServiceMeasured(t *testing.T) {
	t.Parallel()
	p := ListService()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		lost := zoneEntries(n)
		zone := removalBytes(t, n)
		checkValues(t, v, map[string]float64{
			"watches":            float64(watchesOf(n)),
			"zone lost, entries": float64(lost),
			"watches told otherwise than each change once and in order":        0,
			"whole lists to watches that were open":                            0,
			"zone lost, most to a watch":                                       zone,
			"all come back, most to a watch":                                   zone,
			"all come back, whole lists":                                       0,
			"all come back, told otherwise than each change once and in order": 0,
			"whole list, whole lists told":                                     v["whole list, watches that take it at once"],
		})
		if got, most := v["one change, most to a watch"], 300.0; got == 0 || got > most {
			t.Errorf("a change of %v bytes, %v are the most", got, most)
		}
		if each := v["whole list, most to a watch"] / float64(n-lost); each < 100 || each > 200 {
			t.Errorf("a whole list of %v bytes an entry", each)
		}
	}
}

// Renewals are answered by a service of one replica and of three.
func TestListRenewalsMeasured(t *testing.T) {
	t.Parallel()
	p := ListRenewals()
	for _, n := range p.TestSizes {
		v := measureList(t, p, n)
		for _, service := range []string{"one replica", "three replicas"} {
			for _, way := range []string{"connections kept", "a connection each"} {
				prefix := fmt.Sprintf("renewals, %s, %s: ", service, way)
				one, ok := v[prefix+"processor time of one"]
				second, also := v[prefix+"processor time of a second of the plan's"]
				if want := one * float64(n) * 0.3; !ok || !also || second < want*0.999 || second > want*1.001 {
					t.Errorf("%s %v of one, %v of a second", prefix, one, second)
				}
			}
		}
	}
}

// A lease that is not there is no renewal measured.
func TestRenewalsOfOthersFail(t *testing.T) {
	t.Parallel()
	image, err := listSnapshot(4, listLease)
	if err != nil {
		t.Fatal(err)
	}
	r, err := startReplica(t.Context(), image)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := r.close(); err != nil {
			t.Error(err)
		}
	}()
	at := listSteps{ctx: t.Context(), env: Env{Seed: 1}}
	if _, err := renew(&at, r.Addr(), 4, 40, true); err != nil {
		t.Errorf("those that are there: %v", err)
	}
	for _, keep := range []bool{true, false} {
		if _, err := renew(&at, r.Addr(), 1000, 200, keep); err == nil || !strings.Contains(err.Error(), "404") {
			t.Errorf("those of others: %v", err)
		}
	}
}

// A watch that is told a change twice, late, or not at all is found, wherever the bytes are cut.
func TestWatchFindsWhatIsOutOfOrder(t *testing.T) {
	line := func(generation int, reset bool) string {
		return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Repeat(" ", 40)) + "\n"
	}
	for name, c := range map[string]struct {
		says   string
		broken bool
		at     uint64
	}{
		"in order":            {line(8, false) + "\n" + line(9, false), false, 9},
		"a whole list":        {line(20, true) + line(21, false), false, 21},
		"twice":               {line(8, false) + line(8, false), true, 8},
		"one is missing":      {line(8, false) + line(10, false), true, 10},
		"an older whole list": {line(8, false) + line(7, true), true, 7},
		"back":                {line(6, false), true, 6},
		"no generation":       {`{"generation":x}` + "\n", true, 0},
	} {
		for _, piece := range []int{1, 7, 1000} {
			near, far := net.Pipe()
			w := &listWatch{conn: near, lines: bufio.NewReaderSize(near, 32), state: watchState{generation: 7}}
			w.publish()
			go func() {
				for part := range slices.Chunk([]byte(c.says), piece) {
					if _, err := far.Write(part); err != nil {
						return
					}
				}
				_ = far.Close()
			}()
			w.follow(func() {})
			if got := w.published.Load(); (got.outOfOrder != nil) != c.broken || got.generation != c.at && !c.broken {
				t.Errorf("%s in pieces of %d: at %d, %v", name, piece, got.generation, got.outOfOrder)
			}
		}
	}
}

// A measurement that is cut off returns what it has.
func TestListMeasurementCutOff(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	rows, err := ListService().Measure(ctx, 200, Env{Progress: func(done, _ int, _ string) {
		if done == 3 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) || !slices.ContainsFunc(rows, func(r Row) bool { return r.Quantity == "one change, most to a watch" }) {
		t.Errorf("%v, %d rows", err, len(rows))
	}
}
