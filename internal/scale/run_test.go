package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
)

// squares returns a part with a quantity that grows as the square of the size, and a quantity that is always
// 0. It appends the measured sizes to measured, unless that is nil.
func squares(measured *[]int) Part {
	return Part{
		Name: "squares", Title: "Squares", Size: "things", Sizes: []int{10, 100, 1000}, TestSizes: []int{1},
		Memory: func(size int) uint64 { return uint64(size) * 1000 },
		Measure: func(_ context.Context, size int, env Env) ([]Row, error) {
			if measured != nil {
				*measured = append(*measured, size)
			}
			env.Progress(1, 1, "done")
			return []Row{{"squares", size, "square", float64(size * size), "s"}, {"squares", size, "nought", 0, ""}}, nil
		},
	}
}

// Run measures the selected part at the given sizes, in ascending order and without duplicates.
func TestRunMeasuresSelectedSizes(t *testing.T) {
	var measured []int
	var progress []Progress
	report, err := Run(t.Context(), Options{
		Parts: []Part{{Name: "other"}, squares(&measured)}, Names: []string{"squares"}, Sizes: []int{30, 20, 30, 40}, Seed: 3,
		Progress: func(p Progress) { progress = append(progress, p) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(measured) != 3 || measured[0] != 20 || measured[2] != 40 {
		t.Errorf("measured sizes %v, want 20, 30 and 40", measured)
	}
	if len(progress) != 3 || progress[0] != (Progress{"squares", 20, 1, 1, "done"}) {
		t.Errorf("progress %v, want 3 reports, the first for size 20 of squares", progress)
	}
	p := report.Parts[0]
	if report.Seed != 3 || len(p.Rows) != 6 || len(p.Fits) != 1 {
		t.Fatalf("report %+v, want seed 3, 6 rows and 1 fit", report)
	}
	if f := p.Fits[0]; f.Quantity != "square" || math.Abs(f.Exponent-2) > 1e-9 || math.Abs(f.Factor-1) > 1e-9 || f.Sizes != 3 {
		t.Errorf("fit %+v, want exponent 2 and factor 1 over 3 sizes", f)
	}
}

// Run reports invalid options and sizes that need too much memory before it measures anything.
func TestRunRejectsInvalidOptions(t *testing.T) {
	var measured []int
	parts := []Part{squares(&measured), {Name: "other"}}
	for _, c := range []struct {
		o     Options
		field string
	}{
		{Options{Names: []string{"circles"}}, "part"},
		{Options{Names: []string{"squares"}, Sizes: []int{5, 0}}, "sizes"},
		{Options{Names: []string{"squares"}, Sizes: []int{-1}}, "sizes"},
		{Options{Names: []string{"squares"}, Sizes: []int{math.MaxInt}}, "sizes"},
		{Options{Sizes: []int{5}}, "sizes"},
	} {
		c.o.Parts = parts
		_, err := Run(t.Context(), c.o)
		var input *InputError
		if !errors.As(err, &input) || input.Field != c.field {
			t.Errorf("%+v: error %v, want an InputError for %s", c.o, err, c.field)
		}
	}
	_, err := Run(t.Context(), Options{Parts: parts[:1], Memory: 1e6})
	var memory *MemoryError
	if !errors.As(err, &memory) || *memory != (MemoryError{Part: "squares", Size: 1000, Need: 1e6, Limit: 5e5, Memory: 1e6}) {
		t.Errorf("error %v, want a MemoryError", err)
	}
	for _, word := range []string{"squares", "1000", "1.00 MB", "500.00 kB"} {
		if err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("error %v does not contain %q", err, word)
		}
	}
	if len(measured) > 0 {
		t.Errorf("measured sizes %v, want none", measured)
	}
}

// An interrupted run returns the report of the rows measured so far, and says where it was interrupted.
func TestRunInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	interrupted := squares(nil)
	measure := interrupted.Measure
	interrupted.Measure = func(ctx context.Context, size int, env Env) ([]Row, error) {
		rows, _ := measure(ctx, size, env)
		if size == 100 {
			cancel()
			return rows[:1], ctx.Err()
		}
		return rows, nil
	}
	report, err := Run(ctx, Options{Parts: []Part{interrupted, {Name: "other", Memory: func(int) uint64 { return 0 }}}})
	if err != nil {
		t.Fatal(err)
	}
	if report.Ended == "" || len(report.Parts) != 1 || len(report.Parts[0].Rows) != 3 {
		t.Errorf("report %+v, want an interrupted one with 3 rows of one part", report)
	}
	var out bytes.Buffer
	if err := report.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"10000 s", "100 s", "interrupted while measuring squares"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}

// If a part fails, Run returns its error with the part and the size, and the report so far.
func TestRunReturnsPartError(t *testing.T) {
	failing := squares(nil)
	failing.Measure = func(context.Context, int, Env) ([]Row, error) { return nil, errors.New("no servers") }
	report, err := Run(t.Context(), Options{Parts: []Part{failing}})
	if err == nil || err.Error() != "squares: size 10: no servers" || report == nil {
		t.Errorf("report %v, error %v, want a report and error \"squares: size 10: no servers\"", report, err)
	}
}

// A report can be written as text, JSON and plots. JSON can be decoded again.
func TestReportFormats(t *testing.T) {
	report, err := Run(t.Context(), Options{Parts: []Part{squares(nil)}})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(text.String(), "\n")
	for i, want := range []string{"squares: Squares", "things 10 100 1000 grows as", "square 100 s 10000 s 1000000 s n^2.00 (r2 1.00)", "nought 0 0 0"} {
		if got := strings.Join(strings.Fields(lines[i]), " "); got != want {
			t.Errorf("line %d is %q, want %q", i, got, want)
		}
	}
	written, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal(written, &decoded); err != nil || len(decoded.Parts) != 1 || decoded.Parts[0].Rows[0] != report.Parts[0].Rows[0] {
		t.Errorf("decoding %s: error %v, got %+v, want %+v", written, err, decoded, *report)
	}
	paths, err := report.WritePlots(t.TempDir())
	if err != nil || len(paths) != 1 {
		t.Fatalf("plots %v, error %v, want one plot", paths, err)
	}
	chart, err := os.ReadFile(paths[0])
	if err != nil || !strings.Contains(string(chart), "<svg") || !strings.Contains(string(chart), "square") {
		t.Errorf("%s is not an SVG plot of the squares: %v", paths[0], err)
	}
}

// A part with a single size has no curves. WritePlots skips it without an error.
func TestNoPlotForSingleSize(t *testing.T) {
	report, err := Run(t.Context(), Options{Parts: []Part{squares(nil)}, Sizes: []int{7}})
	if err != nil {
		t.Fatal(err)
	}
	if paths, err := report.WritePlots(t.TempDir()); err != nil || len(paths) > 0 {
		t.Errorf("plots %v, error %v, want neither", paths, err)
	}
}

func TestFormatValue(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  string
		want  string
	}{
		{0.0000123, "s", "12.3 us"},
		{4.5, "s", "4.5 s"},
		{0.0605, "s", "60.5 ms"},
		{4.2e-8, "s", "42 ns"},
		{0, "s", "0 ns"},
		{2500, "s", "2500 s"},
		{76e6, "B", "76.00 MB"},
		{256, "B", "256 B"},
		{19500, "B/s", "19.50 kB/s"},
		{0.1234, "share", "12.34 %"},
		{62478, "", "62478"},
		{1.5121951219512195, "", "1.51"},
		{150.65341463414634, "", "151"},
		{340.4, "1/s", "340 1/s"},
		{9.876, "1/s", "9.88 1/s"},
	} {
		if got := formatValue(c.value, c.unit); got != c.want {
			t.Errorf("%v %s: got %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

// All fields of every part are set, names are unique, and there are at least four sizes in ascending order.
func TestPartsAreComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, p := range Parts() {
		if p.Name == "" || seen[p.Name] || p.Title == "" || p.Size == "" || p.Measure == nil || p.Memory == nil {
			t.Errorf("part %+v: a field is not set, or the name is a duplicate", p)
		}
		seen[p.Name] = true
		if len(p.Sizes) < 4 || len(p.TestSizes) == 0 {
			t.Errorf("%s: sizes %v, test sizes %v, want at least 4 and 1", p.Name, p.Sizes, p.TestSizes)
		}
		for i := 1; i < len(p.Sizes); i++ {
			if p.Sizes[i] <= p.Sizes[i-1] {
				t.Errorf("%s: sizes %v are not in ascending order", p.Name, p.Sizes)
			}
		}
	}
}
