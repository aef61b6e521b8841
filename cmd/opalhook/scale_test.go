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

// What can't be measured is bad input, which ends the command with its own exit code.
func TestScaleBadInput(t *testing.T) {
	for _, args := range [][]string{
		{"--part", "moons"},
		{"--part", "quota", "--sizes", "0"},
		{"--part", "quota", "--sizes", "x"},
		{"--sizes", "5"},
		{"--part", "node-list", "--sizes", "2000000000"},
		{"--part", "node-list", "--sizes", "9223372036854775807"},
	} {
		out, err := call(t, append([]string{"lab", "scale", "--dir", t.TempDir()}, args...)...)
		if !errors.As(err, new(usageError)) {
			t.Errorf("%v: error %v is no bad input", args, err)
		}
		if out != "" {
			t.Errorf("%v: wrote %q", args, out)
		}
	}
	_, err := call(t, "lab", "scale", "--part", "node-list", "--sizes", "2000000000")
	var memory *scale.MemoryError
	if !errors.As(err, &memory) || memory.Part != "node-list" || memory.Size != 2000000000 {
		t.Errorf("error %v", err)
	}
}

// A person gets a table and plots, with the progress apart from both.
func TestScaleTable(t *testing.T) {
	dir := t.TempDir()
	c := root()
	var out, progress strings.Builder
	c.SetOut(&out)
	c.SetErr(&progress)
	c.SetArgs([]string{"lab", "scale", "--part", "node-list", "--sizes", "60,50", "--dir", dir})
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	picture := filepath.Join(dir, "node-list.svg")
	for _, want := range []string{"node-list: ", "servers in the list", "request, server chosen, p50", picture} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
	if !strings.Contains(progress.String(), "node-list at 60: 4 of 4") || strings.Contains(out.String(), "4 of 4") {
		t.Errorf("progress %q", progress.String())
	}
	if info, err := os.Stat(picture); err != nil || info.Size() == 0 {
		t.Errorf("plot: %v", err)
	}
}

// A script gets the rows.
func TestScaleForScripts(t *testing.T) {
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
		t.Errorf("report %+v", report)
	}
}

// cutOff cancels a context as soon as a text has been written.
type cutOff struct {
	text   string
	cancel context.CancelFunc
}

func (c cutOff) Write(b []byte) (int, error) {
	if strings.Contains(string(b), c.text) {
		c.cancel()
	}
	return len(b), nil
}

// A signal leaves the table of what was measured, and is told as one.
func TestScaleCutOffLeavesTheTable(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := root()
	var out strings.Builder
	c.SetOut(&out)
	c.SetErr(cutOff{"node-list at 60: 0 of 4", cancel})
	c.SetArgs([]string{"lab", "scale", "--part", "node-list", "--sizes", "50,60,70", "--dir", t.TempDir()})
	if err := c.ExecuteContext(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	for _, want := range []string{"one change, p99", "cut off while node-list was measured"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}
