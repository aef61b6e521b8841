package testbed

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Runs of different schedules can't be held against each other; those of one can.
func TestCompare(t *testing.T) {
	dir := t.TempDir()
	put := func(name, digest string, goodput float64) string {
		at := filepath.Join(dir, name)
		if err := os.MkdirAll(at, 0o755); err != nil {
			t.Fatal(err)
		}
		r := Result{Digest: digest, Figures: map[string]float64{"goodput": goodput}}
		if err := r.write(at); err != nil {
			t.Fatal(err)
		}
		return at
	}
	put("a/1", "d1", 0.5)
	put("a/2", "d2", 0.7)
	put("b/1", "d1", 0.9)
	put("b/2", "d2", 0.9)
	rows, err := Compare(filepath.Join(dir, "a"), filepath.Join(dir, "b"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Figure == "goodput" && (math.Abs(r.Ratio-1.5) > 1e-9 || !r.Apart || r.A.Min != 0.5 || r.A.Max != 0.7 || r.A.Runs != 2) {
			t.Errorf("%+v", r)
		}
	}
	if _, err := Compare(filepath.Join(dir, "a"), put("c", "d9", 1)); err == nil || !strings.Contains(err.Error(), "d9") {
		t.Errorf("error %v names no schedule", err)
	}
	if _, err := Compare(t.TempDir(), dir); err == nil {
		t.Error("a folder with no run was compared")
	}
}
