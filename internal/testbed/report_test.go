package testbed

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Compare accepts sets of runs with the same schedules and rejects sets with different ones.
func TestCompare(t *testing.T) {
	dir := t.TempDir()
	writeRun := func(name, digest string, goodput float64) string {
		runDir := filepath.Join(dir, name)
		if err := os.MkdirAll(runDir, 0o755); err != nil {
			t.Fatal(err)
		}
		r := Result{Digest: digest, Figures: map[string]float64{"goodput": goodput}}
		if err := r.write(runDir); err != nil {
			t.Fatal(err)
		}
		return runDir
	}
	writeRun("a/1", "d1", 0.5)
	writeRun("a/2", "d2", 0.7)
	writeRun("b/1", "d1", 0.9)
	writeRun("b/2", "d2", 0.9)
	rows, err := Compare(filepath.Join(dir, "a"), filepath.Join(dir, "b"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Figure == "goodput" && (math.Abs(r.Ratio-1.5) > 1e-9 || !r.Disjoint || r.A.Min != 0.5 || r.A.Max != 0.7 || r.A.Runs != 2) {
			t.Errorf("comparison %+v, want ratio 1.5, disjoint ranges, and 2 runs in a from 0.5 to 0.7", r)
		}
	}
	if _, err := Compare(filepath.Join(dir, "a"), writeRun("c", "d9", 1)); err == nil || !strings.Contains(err.Error(), "d9") {
		t.Errorf("different schedules: error %v, want one that names digest d9", err)
	}
	if _, err := Compare(t.TempDir(), dir); err == nil {
		t.Error("directory without a run: no error")
	}
}
