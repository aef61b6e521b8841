package testbed

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the charts.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
)

// line is one curve over the seconds of a run.
type line struct {
	name string
	at   func(s *Series) float64 // NaN: nothing to draw
}

// chart is one plot of a report.
type chart struct {
	file, title, unit string
	lines             []line
}

func share(of, all float64) float64 {
	if all == 0 {
		return math.NaN()
	}
	return of / all
}

func (r *Result) charts() []chart {
	ps := []chart{
		{"latency.svg", "Latency of what was served, from when it was due", "ms", []line{
			{"p50", func(s *Series) float64 { return s.P50 }}, {"p99", func(s *Series) float64 { return s.P99 }},
		}},
		{"goodput.svg", "Goodput: value in time, of what quotas allow", "share", []line{
			{"goodput", func(s *Series) float64 { return share(s.Value, s.OfferedValue) }},
			{"served", func(s *Series) float64 { return share(float64(s.Served), float64(s.Requests)) }},
		}},
		{"refusals.svg", "Attempts rejected and failed a second", "attempts", []line{
			{"rejected", func(s *Series) float64 { return float64(s.Rejected) }},
			{"rejected inside the quota", func(s *Series) float64 { return float64(s.RejectedInQuota) }},
			{"failed", func(s *Series) float64 { return float64(s.Failed - s.Unreached) }},
			{"came to no node", func(s *Series) float64 { return float64(s.Unreached) }},
		}},
		{"memory.svg", "Largest resident memory of a node", "MB", []line{{"memory", func(s *Series) float64 {
			if s.Memory == 0 {
				return math.NaN()
			}
			return s.Memory
		}}}},
	}
	zones := map[string]bool{}
	for i := range r.Series {
		for z := range r.Series[i].ZoneRequests {
			zones[z] = true
		}
	}
	var by []line
	for _, z := range sortedKeys(zones) {
		by = append(by, line{z, func(s *Series) float64 { return share(float64(s.ZoneServed[z]), float64(s.ZoneRequests[z])) }})
	}
	return append(ps, chart{"zones.svg", "Share of requests served, by the zone of the node", "share", by})
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// render makes the chart, with the faults as upright lines.
func (p *chart) render(r *Result) ([]byte, error) {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = p.title, "s", p.unit
	pl.X.Min, pl.X.Max, pl.Y.Min = 0, r.Duration, 0
	top := 0.0
	for i, l := range p.lines {
		var xys plotter.XYs
		for sec := range r.Series {
			if y := l.at(&r.Series[sec]); !math.IsNaN(y) {
				xys = append(xys, plotter.XY{X: float64(sec) + 0.5, Y: y})
				top = math.Max(top, y)
			}
		}
		if len(xys) == 0 {
			continue
		}
		curve, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.file, err)
		}
		curve.Color = plotutil.Color(i)
		curve.Width = vg.Points(1.4)
		pl.Add(curve)
		pl.Legend.Add(l.name, curve)
	}
	pl.Y.Max = math.Max(top*1.05, 1e-3)
	for _, at := range markTimes(r.Marks) {
		m, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: pl.Y.Max}})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.file, err)
		}
		m.Color = color.Gray{Y: 150}
		m.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		pl.Add(m)
	}
	pl.Legend.Top = true
	canvas := vgsvg.New(plotWidth, plotHeight)
	pl.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("%s: %w", p.file, err)
	}
	return out.Bytes(), nil
}

// markTimes are the times of faults, each once.
func markTimes(marks []FaultMark) (at []float64) {
	for _, m := range marks {
		if !slices.Contains(at, m.At) {
			at = append(at, m.At)
		}
	}
	return at
}

// reportFile is the report in a run's folder.
const reportFile = "report.md"

// Report writes a run's report, Markdown with charts beside it, and returns its path.
func Report(dir string) (string, error) {
	r, err := ReadResult(dir)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	r.writeHead(&b)
	r.writeViolations(&b)
	r.writeChecks(&b)
	r.writeFigures(&b)
	r.writeFaults(&b)
	if err := r.writeCharts(&b, dir); err != nil {
		return "", err
	}
	path := filepath.Join(dir, reportFile)
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

func (r *Result) writeHead(b *strings.Builder) {
	verdict := "passed"
	if !r.OK() {
		verdict = "FAILED"
	}
	fmt.Fprintf(b, "# %s: %s\n\n%s\n\n", r.Scenario, verdict, r.About)
	fmt.Fprintf(b, "%d edge nodes, %d app servers, %.0f s, seed %d, schedule %s\n\n", r.Nodes, r.Servers, r.Duration, r.Seed, r.Digest)
	if r.Behind {
		fmt.Fprintf(b, "**The load generator fell behind** (99th percentile %.1f ms): the machine is too small for this load. Latencies still count from when requests were due.\n\n", r.Figures["lateness_ms"])
	}
}

// reportedViolations bounds the violations that a report shows; the result has more.
const reportedViolations = 20

func (r *Result) writeViolations(b *strings.Builder) {
	if len(r.Broken) == 0 {
		return
	}
	b.WriteString("## Broken rules\n\n")
	for _, rule := range sortedKeys(r.Broken) {
		fmt.Fprintf(b, "- %s: %d\n", rule, r.Broken[rule])
	}
	b.WriteString("\n```\n")
	for _, v := range r.Violations[:min(len(r.Violations), reportedViolations)] {
		fmt.Fprintln(b, v)
	}
	b.WriteString("```\n\n")
}

func (r *Result) writeChecks(b *strings.Builder) {
	if len(r.Checks) == 0 {
		return
	}
	b.WriteString("## Expected\n\n| figure | window | wanted | got | |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range r.Checks {
		met := "ok"
		if !c.OK {
			met = "**not met**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.4g | %s |\n", c.Expect.Figure, c.Expect.window(), c.Expect.Bound(), c.Got, met)
	}
	b.WriteString("\n")
}

func (r *Result) writeFigures(b *strings.Builder) {
	b.WriteString("## Figures\n\n| figure | value | what it is |\n| --- | --- | --- |\n")
	for _, f := range sortedKeys(figureNames) {
		fmt.Fprintf(b, "| %s | %.4g | %s |\n", f, r.Figures[f], figureNames[f])
	}
}

func (r *Result) writeFaults(b *strings.Builder) {
	if len(r.Marks) == 0 {
		return
	}
	b.WriteString("\n## Faults\n\n")
	for _, m := range r.Marks {
		fmt.Fprintf(b, "- %.1f s: %s\n", m.At, m.What)
	}
}

// writeCharts writes the charts into the folder and refers to them.
func (r *Result) writeCharts(b *strings.Builder, dir string) error {
	b.WriteString("\n## Over time\n\nDashed lines are the faults.\n\n")
	for _, c := range r.charts() {
		svg, err := c.render(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, c.file), svg, 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		fmt.Fprintf(b, "![%s](%s)\n\n", c.title, c.file)
	}
	return nil
}

func (e *Expect) window() string {
	if e.From == 0 && e.To == 0 {
		return "all"
	}
	to := "end"
	if e.To > 0 {
		to = fmt.Sprintf("%gs", e.To.s())
	}
	return fmt.Sprintf("%gs to %s", e.From.s(), to)
}

// Bound words what is expected.
func (e *Expect) Bound() string {
	var parts []string
	if e.Min != nil {
		parts = append(parts, fmt.Sprintf("at least %g", *e.Min))
	}
	if e.Max != nil {
		parts = append(parts, fmt.Sprintf("at most %g", *e.Max))
	}
	return strings.Join(parts, ", ")
}

// FigureStats is a figure over several runs.
type FigureStats struct {
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Comparison is one figure of two sets of runs.
type Comparison struct {
	Figure string      `json:"figure"`
	A      FigureStats `json:"a"`
	B      FigureStats `json:"b"`
	Ratio  float64     `json:"ratio"` // of the means, b over a; 0 where a is 0
	Apart  bool        `json:"apart"` // no run of one lies inside the range of the other
}

// readRuns reads the run in a folder, or all runs in folders below it.
func readRuns(dir string) ([]*Result, error) {
	if r, err := ReadResult(dir); err == nil {
		return []*Result{r}, nil
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*", resultFile))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("%s: neither a run's folder nor a folder of such folders", dir)
	}
	var all []*Result
	for _, p := range paths {
		r, err := ReadResult(filepath.Dir(p))
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// Compare holds two runs, or two sets of runs over several seeds, against each other. Runs of
// different schedules are not comparable: an error names them.
func Compare(dirA, dirB string) ([]Comparison, error) {
	a, err := readRuns(dirA)
	if err != nil {
		return nil, err
	}
	b, err := readRuns(dirB)
	if err != nil {
		return nil, err
	}
	if da, db := digests(a), digests(b); !slices.Equal(da, db) {
		return nil, fmt.Errorf("the runs played different schedules (%s against %s): use the same scenario and seeds", strings.Join(da, " "), strings.Join(db, " "))
	}
	var out []Comparison
	for _, f := range sortedKeys(figureNames) {
		c := Comparison{Figure: f, A: figureStats(a, f), B: figureStats(b, f)}
		if c.A.Mean != 0 {
			c.Ratio = c.B.Mean / c.A.Mean
		}
		c.Apart = c.A.Max < c.B.Min || c.B.Max < c.A.Min
		out = append(out, c)
	}
	return out, nil
}

func digests(rs []*Result) (all []string) {
	for _, r := range rs {
		all = append(all, r.Digest)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func figureStats(rs []*Result, figure string) FigureStats {
	var xs []float64
	for _, r := range rs {
		xs = append(xs, r.Figures[figure])
	}
	return FigureStats{Runs: len(xs), Mean: stat.Mean(xs, nil), Min: slices.Min(xs), Max: slices.Max(xs)}
}
