package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Series is one second of a run. Tries count in the second in which they were due.
type Series struct {
	Asked      int            `json:"asked"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	RefusedAt  int            `json:"refused_with_room"`
	Failed     int            `json:"failed"`
	Unreached  int            `json:"unreached"` // of the failed ones: they came to no node
	Worth      float64        `json:"worth"`     // earned within the aim, inside quotas
	Offered    float64        `json:"offered"`   // to be had inside quotas
	P50        float64        `json:"p50_ms"`
	P99        float64        `json:"p99_ms"`
	Memory     float64        `json:"memory_mb"` // largest of the nodes
	ZoneServed map[string]int `json:"zone_served"`
	ZoneAsked  map[string]int `json:"zone_asked"`
	hist       *hdrhistogram.Histogram
}

// Mark is a fault on the time line.
type Mark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// Checked is an expect line and how it came out.
type Checked struct {
	Expect Expect  `json:"expect"`
	Got    float64 `json:"got"`
	OK     bool    `json:"ok"`
}

// Result is all that is kept of a run.
type Result struct {
	Scenario   string             `json:"scenario"`
	About      string             `json:"about"`
	Seed       uint64             `json:"seed"`
	Digest     string             `json:"digest"` // of the schedule
	Binary     string             `json:"binary"`
	Nodes      int                `json:"nodes"`
	Servers    int                `json:"servers"`
	Duration   float64            `json:"duration_s"`
	Figures    map[string]float64 `json:"figures"`
	Series     []Series           `json:"series"`
	Marks      []Mark             `json:"marks"`
	Broken     map[string]int     `json:"broken_rules"`
	Violations []Violation        `json:"violations"`
	Checks     []Checked          `json:"checks"`
	Behind     bool               `json:"generator_behind"` // it fell behind: latencies are still counted from when requests were due
	Error      string             `json:"error,omitempty"`
}

// behindFrom is the 99th percentile of the generator's lateness from which a run is marked.
const behindFrom = 10 * time.Millisecond

// OK tells whether no rule was broken, no node crashed and every expectation held.
func (r *Result) OK() bool {
	if r.Error != "" || len(r.Broken) > 0 || r.Figures["crashes"] > 0 {
		return false
	}
	for _, c := range r.Checks {
		if !c.OK {
			return false
		}
	}
	return true
}

// Latencies are kept in microseconds, to three digits, up to two minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120_000_000)) // inside its range, so that no error is possible
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// result sums the run up.
func (w *world) result(up int) *Result {
	r := &Result{
		Scenario: w.s.Name, About: w.s.About, Seed: w.seed, Digest: w.d.Digest(), Binary: w.binary, Nodes: w.s.Fleet.Nodes,
		Servers: w.s.Fleet.Servers, Duration: w.s.Duration.s(),
	}
	r.Broken, r.Violations = w.ref.verdict()
	for _, e := range w.d.Faults {
		r.Marks = append(r.Marks, Mark{e.At.Seconds(), w.s.Faults[e.Fault].describe(e)})
	}
	r.Marks = append(r.Marks, w.commanded...)
	r.Series = w.series()
	r.Figures = w.figures(0, time.Duration(w.s.Duration))
	ms := func(q float64) float64 { return quantile(w.list.told, q).Seconds() * 1e3 }
	whole := map[string]float64{ // of the whole run, whichever part of it is looked at
		"restored_nodes": float64(up), "lists_right": float64(w.list.right()) / float64(len(w.nodes)),
		"versions_back": float64(w.list.back.Load()), "slack_ms": w.mostSlack().Seconds() * 1e3,
		"list_p50_ms": ms(50), "list_p99_ms": ms(99), "list_max_ms": ms(100),
	}
	maps.Copy(r.Figures, whole)
	r.Behind = r.Figures["lateness_ms"] > behindFrom.Seconds()*1000
	for _, e := range w.s.Expect {
		to := time.Duration(e.To)
		if to == 0 {
			to = time.Duration(w.s.Duration)
		}
		f := w.figures(time.Duration(e.From), to)
		maps.Copy(f, whole)
		got := f[e.Figure]
		r.Checks = append(r.Checks, Checked{e, got, (e.Min == nil || got >= *e.Min) && (e.Max == nil || got <= *e.Max)})
	}
	return r
}

// series is the run by seconds.
func (w *world) series() []Series {
	out := make([]Series, int(math.Ceil(w.s.Duration.s())))
	for i := range out {
		out[i] = Series{hist: newHistogram(), ZoneServed: map[string]int{}, ZoneAsked: map[string]int{}}
	}
	aim := time.Duration(w.s.Load.Aim)
	for i := range w.ref.records {
		r := &w.ref.records[i]
		s := &out[min(int(r.Due/time.Second), len(out)-1)]
		zone := w.s.Fleet.zoneOf(r.Node)
		s.Asked++
		s.ZoneAsked[zone]++
		s.Refused += r.Refused
		s.RefusedAt += r.Room
		s.Failed += r.Failed
		s.Unreached += r.Unreach
		s.Offered += r.Offered
		if r.Served {
			s.Served++
			s.ZoneServed[zone]++
			record(s.hist, r.Done-r.Due)
			if r.Done-r.Due <= aim && r.InQuota {
				s.Worth += r.Worth
			}
		}
	}
	for i := range out {
		if i < len(w.memory) {
			out[i].Memory = w.memory[i]
		}
		out[i].P50 = quantile(out[i].hist, 50).Seconds() * 1000
		out[i].P99 = quantile(out[i].hist, 99).Seconds() * 1000
	}
	return out
}

// figures computes what expect lines may name, over the arrivals due from one time to
// another. What is not bound to an arrival is of the whole run.
func (w *world) figures(from, to time.Duration) map[string]float64 {
	var asked, tries, served, refused, room, failed int
	var worth, offered float64
	lat, late := newHistogram(), newHistogram()
	aim := time.Duration(w.s.Load.Aim)
	seconds := map[int][2]int{}
	for i := range w.ref.records {
		r := &w.ref.records[i]
		if r.Due < from || r.Due >= to {
			continue
		}
		sec := seconds[int(r.Due/time.Second)]
		sec[0]++
		asked++
		tries += r.Tries
		refused += r.Refused
		room += r.Room
		failed += r.Failed
		offered += r.Offered
		if r.Tries > 0 {
			record(late, r.Lateness)
		}
		if r.Served {
			served++
			sec[1]++
			record(lat, r.Done-r.Due)
			if r.Done-r.Due <= aim && r.InQuota {
				worth += r.Worth
			}
		}
		seconds[int(r.Due/time.Second)] = sec
	}
	worst := 1.0
	for _, sec := range seconds {
		worst = math.Min(worst, float64(sec[1])/float64(sec[0]))
	}
	var cpu time.Duration
	peak := int64(0)
	for _, n := range w.nodes {
		n.mu.Lock()
		cpu += n.cpu + n.last.cpu
		peak = max(peak, n.peak)
		n.mu.Unlock()
	}
	broken := 0
	for _, n := range w.ref.broken {
		broken += n
	}
	all := 0
	for i := range w.ref.records {
		all += w.ref.records[i].Tries
	}
	w.udp.mu.Lock()
	datagrams := w.udp.counts
	w.udp.mu.Unlock()
	per := func(x float64, n int) float64 { return x / math.Max(float64(n), 1) }
	return map[string]float64{
		"goodput": worth / math.Max(offered, 1e-9), "served": per(float64(served), asked), "refused": per(float64(refused), tries),
		"refused_room": per(float64(room), tries), "failed": per(float64(failed), tries),
		"beyond_quota": w.ref.beyond / math.Max(w.ref.inside+w.ref.beyond, 1), "answers": float64(served + refused + failed),
		"violations": float64(broken), "crashes": float64(w.crashes.Load()), "p50_ms": quantile(lat, 50).Seconds() * 1000,
		"p99_ms": quantile(lat, 99).Seconds() * 1000, "lateness_ms": quantile(late, 99).Seconds() * 1000,
		"datagrams_lost": per(float64(datagrams.lost+datagrams.refused), datagrams.sent),
		"connections":    per(float64(w.connections.Load()), all), "memory_mb": float64(peak) / (1 << 20),
		"cpu_us": per(float64(cpu.Microseconds()), all), "servers_fell": float64(w.serversFell.Load()), "worst_second": worst,
	}
}

// resultFile is where a run's folder keeps its result.
const resultFile = "result.json"

func (r *Result) write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// ReadResult reads the result of a run from its folder.
func ReadResult(dir string) (*Result, error) {
	f, err := os.Open(filepath.Join(dir, resultFile))
	if err != nil {
		return nil, fmt.Errorf("%s is no folder of a finished run: %w", dir, err)
	}
	defer func() { _ = f.Close() }()
	return readResult(f)
}

func readResult(in io.Reader) (*Result, error) {
	var r Result
	if err := json.NewDecoder(in).Decode(&r); err != nil {
		return nil, fmt.Errorf("%s: %w", resultFile, err)
	}
	return &r, nil
}
