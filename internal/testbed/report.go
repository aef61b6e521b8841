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

// Size of a chart.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
)

// line is a curve over the seconds of a run.
type line struct {
	name string
	at   func(s *Series) float64 // value in a second; NaN: no point
}

// chart is a chart of a report, stored as an SVG file.
type chart struct {
	file, title, unit string
	lines             []line
}

// share returns part as a fraction of total, and NaN if total is 0.
func share(part, total float64) float64 {
	if total == 0 {
		return math.NaN()
	}
	return part / total
}

// charts returns the charts of a report.
func (r *Result) charts() []chart {
	charts := []chart{
		{"latency.svg", "Latency of served requests, from when they were due", "ms", []line{
			{"p50", func(s *Series) float64 { return s.P50 }}, {"p99", func(s *Series) float64 { return s.P99 }},
		}},
		{"goodput.svg", "Goodput: value served in time, as a share of the value available within quotas", "share", []line{
			{"goodput", func(s *Series) float64 { return share(s.Value, s.OfferedValue) }},
			{"served", func(s *Series) float64 { return share(float64(s.Served), float64(s.Requests)) }},
		}},
		{"refusals.svg", "Attempts rejected and failed per second", "attempts", []line{
			{"rejected", func(s *Series) float64 { return float64(s.Rejected) }},
			{"rejected inside the quota", func(s *Series) float64 { return float64(s.RejectedInQuota) }},
			{"failed", func(s *Series) float64 { return float64(s.Failed - s.Unreached) }},
			{"did not reach a node", func(s *Series) float64 { return float64(s.Unreached) }},
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
	var byZone []line
	for _, z := range sortedKeys(zones) {
		byZone = append(byZone, line{z, func(s *Series) float64 { return share(float64(s.ZoneServed[z]), float64(s.ZoneRequests[z])) }})
	}
	return append(charts, chart{"zones.svg", "Share of requests served, by the zone of the node", "share", byZone})
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// render returns the chart as SVG, with a dashed vertical line for each fault.
func (c *chart) render(r *Result) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "s", c.unit
	p.X.Min, p.X.Max, p.Y.Min = 0, r.Duration, 0
	maxY := 0.0
	for i, l := range c.lines {
		var xys plotter.XYs
		for sec := range r.Series {
			if y := l.at(&r.Series[sec]); !math.IsNaN(y) {
				xys = append(xys, plotter.XY{X: float64(sec) + 0.5, Y: y})
				maxY = math.Max(maxY, y)
			}
		}
		if len(xys) == 0 {
			continue
		}
		curve, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.file, err)
		}
		curve.Color = plotutil.Color(i)
		curve.Width = vg.Points(1.4)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Max = math.Max(maxY*1.05, 1e-3)
	for _, at := range markTimes(r.Marks) {
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: p.Y.Max}})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.file, err)
		}
		mark.Color = color.Gray{Y: 150}
		mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
	}
	p.Legend.Top = true
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	return out.Bytes(), nil
}

// markTimes returns the distinct times of the marks, in seconds.
func markTimes(marks []FaultMark) (at []float64) {
	for _, m := range marks {
		if !slices.Contains(at, m.At) {
			at = append(at, m.At)
		}
	}
	return at
}

// reportFile is the name of the report in a run's directory.
const reportFile = "report.md"

// Report writes the report of the run in dir: a Markdown file, whose path it returns, and the charts as SVG
// files.
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

// writeHead writes the scenario, the outcome, and the size of the run.
func (r *Result) writeHead(b *strings.Builder) {
	outcome := "passed"
	if !r.OK() {
		outcome = "FAILED"
	}
	fmt.Fprintf(b, "# %s: %s\n\n%s\n\n", r.Scenario, outcome, r.About)
	fmt.Fprintf(b, "%d edge nodes, %d app servers, %.0f s, seed %d, schedule %s\n\n", r.Nodes, r.Servers, r.Duration, r.Seed, r.Digest)
	if r.GeneratorBehind {
		fmt.Fprintf(b, "**The load generator fell behind** (99th percentile %.1f ms): the machine is too small for this load. Latencies still count from when requests were due.\n\n", r.Figures["lateness_ms"])
	}
}

// reportedViolations is the maximum number of violations that a report shows. The result file may contain
// more.
const reportedViolations = 20

// writeViolations writes the number of violations by rule, and up to reportedViolations violations in full.
func (r *Result) writeViolations(b *strings.Builder) {
	if len(r.BrokenRules) == 0 {
		return
	}
	b.WriteString("## Broken rules\n\n")
	for _, rule := range sortedKeys(r.BrokenRules) {
		fmt.Fprintf(b, "- %s: %d\n", rule, r.BrokenRules[rule])
	}
	b.WriteString("\n```\n")
	for _, v := range r.Violations[:min(len(r.Violations), reportedViolations)] {
		fmt.Fprintln(b, v)
	}
	b.WriteString("```\n\n")
}

// writeChecks writes the expectations with the measured values.
func (r *Result) writeChecks(b *strings.Builder) {
	if len(r.Checks) == 0 {
		return
	}
	b.WriteString("## Expected\n\n| figure | window | expected | got | |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range r.Checks {
		status := "ok"
		if !c.OK {
			status = "**failed**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.4g | %s |\n", c.Expect.Figure, c.Expect.window(), c.Expect.Bound(), c.Got, status)
	}
	b.WriteString("\n")
}

// writeFigures writes all figures with their descriptions.
func (r *Result) writeFigures(b *strings.Builder) {
	b.WriteString("## Figures\n\n| figure | value | description |\n| --- | --- | --- |\n")
	for _, f := range sortedKeys(figureNames) {
		fmt.Fprintf(b, "| %s | %.4g | %s |\n", f, r.Figures[f], figureNames[f])
	}
}

// writeFaults writes the times and descriptions of the faults.
func (r *Result) writeFaults(b *strings.Builder) {
	if len(r.Marks) == 0 {
		return
	}
	b.WriteString("\n## Faults\n\n")
	for _, m := range r.Marks {
		fmt.Fprintf(b, "- %.1f s: %s\n", m.At, m.Description)
	}
}

// writeCharts writes the charts as files into dir and references to them into the report.
func (r *Result) writeCharts(b *strings.Builder, dir string) error {
	b.WriteString("\n## Over time\n\nDashed lines mark the faults.\n\n")
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

// window describes the window of time of an expectation.
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

// Bound describes the bounds of an expectation, such as "at least 0.9, at most 1".
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

// FigureStats summarizes a figure over a set of runs.
type FigureStats struct {
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Comparison compares a figure between two sets of runs.
type Comparison struct {
	Figure   string      `json:"figure"`
	A        FigureStats `json:"a"`
	B        FigureStats `json:"b"`
	Ratio    float64     `json:"ratio"` // mean of b divided by the mean of a; 0 if the mean of a is 0
	Disjoint bool        `json:"apart"` // the ranges of a and b do not overlap
}

// readRuns reads the result in a directory, or else the results in all its subdirectories.
func readRuns(dir string) ([]*Result, error) {
	if r, err := ReadResult(dir); err == nil {
		return []*Result{r}, nil
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*", resultFile))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("%s: neither the directory of a run nor a directory that contains such directories", dir)
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

// Compare compares two runs, or two sets of runs over several seeds, figure by figure. Both sets must have
// the same schedules: otherwise the error names the digests of both.
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
		return nil, fmt.Errorf("runs have different schedules (%s and %s): use the same scenario and seeds", strings.Join(da, " "), strings.Join(db, " "))
	}
	var out []Comparison
	for _, f := range sortedKeys(figureNames) {
		c := Comparison{Figure: f, A: figureStats(a, f), B: figureStats(b, f)}
		if c.A.Mean != 0 {
			c.Ratio = c.B.Mean / c.A.Mean
		}
		c.Disjoint = c.A.Max < c.B.Min || c.B.Max < c.A.Min
		out = append(out, c)
	}
	return out, nil
}

// digests returns the distinct digests of the schedules of runs, sorted.
func digests(rs []*Result) (distinct []string) {
	for _, r := range rs {
		distinct = append(distinct, r.Digest)
	}
	slices.Sort(distinct)
	return slices.Compact(distinct)
}

// figureStats summarizes a figure of at least one run.
func figureStats(rs []*Result, figure string) FigureStats {
	var values []float64
	for _, r := range rs {
		values = append(values, r.Figures[figure])
	}
	return FigureStats{Runs: len(values), Mean: stat.Mean(values, nil), Min: slices.Min(values), Max: slices.Max(values)}
}
