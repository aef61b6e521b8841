package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"opalhook/internal/testbed"
)

func TestProgressLine(t *testing.T) {
	got := progressLine(testbed.Progress{
		At: 3 * time.Second, Total: 12 * time.Second, Requests: 133, Served: 106, Rejected: 20, Failed: 2,
		P50: 59 * time.Millisecond, P99: 699 * time.Millisecond, NodesUp: 4, Violations: 1,
	})
	want := "    3 of 12 s  requests   133  served   106  rejected   20  failed   2  p50   59 ms  p99   699 ms  nodes up 4  violations 1"
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func TestWriteSummary(t *testing.T) {
	maxServed := 0.5
	passed := testbed.Result{
		Scenario: "quiet", Seed: 7, Digest: "0123456789abcdef",
		Figures: map[string]float64{"goodput": 0.976, "served": 0.898, "refused": 0.207, "p99_ms": 575},
	}
	failed := passed
	failed.GeneratorBehind = true
	failed.Violations = make([]testbed.Violation, maxShownViolations+2)
	failed.Checks = []testbed.ExpectResult{{Expect: testbed.Expect{Figure: "served", Max: &maxServed}, Got: 0.898}}
	for _, c := range []struct {
		name   string
		result *testbed.Result
		want   []string
		lines  int
	}{
		{"passed", &passed, []string{"quiet seed 7: passed  goodput 0.976  requests served 0.898  attempts rejected 0.207  p99 575 ms  schedule 0123456789abcdef\n", "  runs/a\n"}, 2},
		{"failed", &failed, []string{"quiet seed 7: FAILED", "too small for the load", "expected served at most 0.5, got 0.898", "  runs/a\n"}, 4 + maxShownViolations},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			if err := writeSummary(&out, c.result, "runs/a"); err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in:\n%s", want, out.String())
				}
			}
			if n := strings.Count(out.String(), "\n"); n != c.lines {
				t.Errorf("%d lines, want %d:\n%s", n, c.lines, out.String())
			}
		})
	}
}

// failingWriter is a writer whose writes all fail.
type failingWriter struct{}

var errWrite = errors.New("no space left")

func (failingWriter) Write([]byte) (int, error) { return 0, errWrite }

// Errors of writing the output are returned, so that the command fails.
func TestWriteErrorsAreReturned(t *testing.T) {
	for name, write := range map[string]func() error{
		"table":   func() error { return writeTable(failingWriter{}, "a\tb\n") },
		"json":    func() error { return writeJSON(failingWriter{}, 1) },
		"summary": func() error { return writeSummary(failingWriter{}, &testbed.Result{}, "") },
	} {
		if err := write(); !errors.Is(err, errWrite) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
