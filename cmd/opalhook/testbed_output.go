package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"opalhook/internal/testbed"
)

// rewriteLine is the terminal escape sequence that clears the current line and returns to its start.
const rewriteLine = "\r\x1b[K"

// showProgress returns a function that shows the figures of the most recent second of a run. On a terminal it
// overwrites a single line; otherwise it writes a new line each time. Write errors are ignored: they must not
// stop the run.
func showProgress(out *os.File) func(testbed.Progress) {
	terminal := term.IsTerminal(int(out.Fd()))
	return func(p testbed.Progress) {
		line := progressLine(p)
		switch {
		case !terminal:
			line += "\n"
		case p.At >= p.Total-time.Second:
			line = rewriteLine + line + "\n"
		default:
			line = rewriteLine + line
		}
		_, _ = out.WriteString(line)
	}
}

// progressLine formats the figures of one second of a run. Requests count in the second in which they are
// due, their outcomes in the second in which they end.
func progressLine(p testbed.Progress) string {
	return fmt.Sprintf("%5.0f of %.0f s  requests %5d  served %5d  rejected %4d  failed %3d  p50 %4d ms  p99 %5d ms  nodes up %d  violations %d",
		p.At.Seconds(), p.Total.Seconds(), p.Requests, p.Served, p.Rejected, p.Failed, p.P50.Milliseconds(), p.P99.Milliseconds(), p.NodesUp, p.Violations)
}

// maxShownViolations is the maximum number of violations in a summary. The result file lists more.
const maxShownViolations = 5

// writeSummary writes the outcome of a run: its main figures, violations and failed expectations, and the
// location of its files.
func writeSummary(out io.Writer, r *testbed.Result, location string) error {
	outcome := "passed"
	if !r.OK() {
		outcome = "FAILED"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s seed %d: %s  goodput %.3f  requests served %.3f  attempts rejected %.3f  p99 %.0f ms  schedule %s\n", r.Scenario, r.Seed, outcome,
		r.Figures["goodput"], r.Figures["served"], r.Figures["refused"], r.Figures["p99_ms"], r.Digest)
	if r.GeneratorBehind {
		fmt.Fprintf(&text, "  the load generator fell behind by %.1f ms (99th percentile): this machine is too small for the load\n", r.Figures["lateness_ms"])
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxShownViolations)] {
		fmt.Fprintln(&text, " ", v)
	}
	for _, check := range r.Checks {
		if !check.OK {
			fmt.Fprintf(&text, "  expected %s %s, got %.4g\n", check.Expect.Figure, check.Expect.Bound(), check.Got)
		}
	}
	fmt.Fprintf(&text, "  %s\n", location)
	_, err := io.WriteString(out, text.String())
	return err
}
