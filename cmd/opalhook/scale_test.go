package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"opalhook/internal/scale"
)

// Invalid parts and sizes, and sizes that need too much memory, are usage errors, which have their own exit
// code.
func TestScaleUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"--part", "moons"},
		{"--part", "quota", "--sizes", "0"},
		{"--part", "quota", "--sizes", "x"},
		{"--sizes", "5"},
		{"--part", "node-list", "--sizes", "2000000000"},
		{"--part", "node-list", "--sizes", "9223372036854775807"},
	} {
		out, err := runCommand(t, append([]string{"lab", "scale", "--dir", t.TempDir()}, args...)...)
		if !errors.As(err, new(usageError)) {
			t.Errorf("%v: error %v, want a usageError", args, err)
		}
		if out != "" {
			t.Errorf("%v: wrote %q, want no output", args, out)
		}
	}
	_, err := runCommand(t, "lab", "scale", "--part", "node-list", "--sizes", "2000000000")
	var memory *scale.MemoryError
	if !errors.As(err, &memory) || memory.Part != "node-list" || memory.Size != 2000000000 {
		t.Errorf("error %v, want a MemoryError for node-list at 2000000000", err)
	}
}

// The text output has a table and the paths of the plots. Progress goes to stderr only.
func TestScaleText(t *testing.T) {
	dir := t.TempDir()
	c := root()
	var out, progress strings.Builder
	c.SetOut(&out)
	c.SetErr(&progress)
	c.SetArgs([]string{"lab", "scale", "--part", "node-list", "--sizes", "60,50", "--dir", dir})
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	plotPath := filepath.Join(dir, "node-list.svg")
	for _, want := range []string{"node-list: ", "servers in the list", "request, server chosen, p50", plotPath} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
	if !strings.Contains(progress.String(), "node-list at 60: 4 of 4") || strings.Contains(out.String(), "4 of 4") {
		t.Errorf("progress %q, output:\n%s", progress.String(), out.String())
	}
	if info, err := os.Stat(plotPath); err != nil || info.Size() == 0 {
		t.Errorf("plot: %v", err)
	}
}

// The JSON output is the report.
func TestScaleJSON(t *testing.T) {
	c := root()
	var out, progress strings.Builder
	c.SetOut(&out)
	c.SetErr(&progress)
	c.SetArgs([]string{"lab", "scale", "--part", "node-list", "--sizes", "50", "--seed", "4", "--dir", t.TempDir(), "-o", "json"})
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	var report scale.Report
	if err := json.Unmarshal([]byte(out.String()), &report); err != nil {
		t.Fatalf("%q: %v", out.String(), err)
	}
	if report.Seed != 4 || len(report.Parts) != 1 || len(report.Parts[0].Rows) == 0 || report.Parts[0].Rows[0].Size != 50 {
		t.Errorf("report %+v, want seed 4 and one part with rows of size 50", report)
	}
}

// cancelOnText is a writer that cancels a context as soon as a text is written to it.
type cancelOnText struct {
	text   string
	cancel context.CancelFunc
}

func (c cancelOnText) Write(b []byte) (int, error) {
	if strings.Contains(string(b), c.text) {
		c.cancel()
	}
	return len(b), nil
}

// An interrupted measurement writes the table of the sizes measured so far, and returns the context's error.
func TestScaleInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := root()
	var out strings.Builder
	c.SetOut(&out)
	c.SetErr(cancelOnText{"node-list at 60: 0 of 4", cancel})
	c.SetArgs([]string{"lab", "scale", "--part", "node-list", "--sizes", "50,60,70", "--dir", t.TempDir()})
	if err := c.ExecuteContext(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	for _, want := range []string{"one change, p99", "interrupted while measuring node-list"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}
