package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/testbed"
)

// sweepFlags are the flags of `testbed sweep`.
type sweepFlags struct {
	seeds, rule, binary, mutant, dir string
	options                          testbed.SweepOptions
}

// testbedSweep returns the command that runs scenarios generated from seeds.
func testbedSweep(s *globalFlags) *cobra.Command {
	var f sweepFlags
	c := &cobra.Command{
		Use:   "sweep",
		Short: "Run generated scenarios and list the seeds that violated a rule",
		Long: "Generate a scenario (a deployment and a timeline of faults) for each seed of a range, run it with real edge nodes, and\n" +
			"check the rules. A scenario that violates a rule is reduced to fewer faults, processes and seconds, as long as it still\n" +
			"violates the rule. A scenario for which this machine is too slow is reported as not judged, which does not count as\n" +
			"passed. After Ctrl-C, the report contains the scenarios that were run.\n\n" +
			"Exit codes: 0 if no rule was violated, 3 if a rule was violated or a scenario could not be run, 2 if the value of a flag\n" +
			"is invalid, 1 if the sweep could not be run, 130 after a signal.",
		Example: "  opalhook testbed sweep --seeds 1-200 --jobs 6\n  opalhook testbed sweep --seeds 1-40 --rule drains --budget 5m -o json\n" +
			"  opalhook testbed sweep --seeds 1-20 --rule drains --broken late-watch",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.sweep(c, s) },
	}
	c.Flags().StringVar(&f.seeds, "seeds", "1-20", "range of seeds (A-B), or a single seed")
	c.Flags().StringVar(&f.rule, "rule", "", "rule that the scenarios should stress: "+strings.Join(testbed.TargetRules, ", ")+" (default: any)")
	c.Flags().IntVar(&f.options.Jobs, "jobs", 4, "number of scenarios to run at the same time; each uses one to two cores")
	c.Flags().DurationVar(&f.options.Budget, "budget", 0, "time after which no further scenario is started; 0: no limit")
	c.Flags().IntVar(&f.options.Reduce, "reduce", 12, "maximum number of runs to reduce a failing scenario; 0: do not reduce")
	c.Flags().StringVar(&f.binary, "node-binary", "", "path of the edge node's binary (default: built from this repository)")
	c.Flags().StringVar(&f.mutant, "broken", "", "run a mutant (a node with an injected defect) to verify that the sweep detects it: "+mutantNames())
	c.Flags().StringVar(&f.dir, "dir", filepath.Join("runs", "sweep"), "folder to write the results to")
	return c
}

// sweep runs the scenarios of the seeds and writes the report. It returns errChecksFailed if a scenario
// violated a rule or could not be run.
func (f *sweepFlags) sweep(c *cobra.Command, s *globalFlags) error {
	if err := f.check(); err != nil {
		return usageError{err}
	}
	var err error
	if f.options.Binary, err = findSweepNode(c.Context(), f.binary, f.mutant, f.dir); err != nil {
		return err
	}
	f.options.Rule, f.options.Dir, f.options.Log, f.options.OnRun = f.rule, f.dir, s.logger(), sweepProgress(os.Stderr)
	r, err := testbed.Sweep(c.Context(), f.options)
	if err != nil {
		return err
	}
	if s.json() {
		err = writeJSON(c.OutOrStdout(), r)
	} else {
		err = writeSweep(c.OutOrStdout(), r, f.dir)
	}
	switch {
	case err != nil:
		return err
	case c.Context().Err() != nil:
		return c.Context().Err()
	case !r.OK():
		return errChecksFailed
	}
	return nil
}

// check parses the range of seeds and validates the other flags.
func (f *sweepFlags) check() error {
	o := &f.options
	var err error
	if o.From, o.To, err = testbed.ParseSeeds(f.seeds); err != nil {
		return fmt.Errorf("--%w", err)
	}
	if f.rule != "" && !slices.Contains(testbed.TargetRules, f.rule) {
		return fmt.Errorf("--rule: got %q, must be one of %s", f.rule, strings.Join(testbed.TargetRules, ", "))
	}
	if o.Jobs < 1 || o.Reduce < 0 || o.Budget < 0 {
		return fmt.Errorf("--jobs: got %d, must be at least 1; --reduce: got %d, must be at least 0; --budget: got %v, must be at least 0", o.Jobs, o.Reduce, o.Budget)
	}
	if f.dir == "" {
		f.dir = filepath.Join("runs", "sweep")
	}
	return nil
}

// mutantNames returns the names that --broken accepts, separated by commas.
func mutantNames() string {
	return strings.Join(slices.Sorted(maps.Keys(testbed.Mutants())), ", ")
}

// findSweepNode returns the path of the edge node's binary to run: the given one, a newly built mutant, or
// one built from this repository.
func findSweepNode(ctx context.Context, binary, mutant, dir string) (string, error) {
	switch {
	case mutant == "":
		return testbed.FindNode(ctx, binary, dir)
	case binary != "":
		return "", usageError{fmt.Errorf("--broken: cannot be combined with --node-binary, because it builds its own node")}
	case testbed.Mutants()[mutant] == "":
		return "", usageError{fmt.Errorf("--broken: got %q, must be one of %s", mutant, mutantNames())}
	}
	return testbed.BuildMutant(ctx, mutant, dir)
}

// sweepProgress returns a function that writes a line for each finished scenario. Write errors are ignored:
// they must not stop the sweep.
func sweepProgress(out io.Writer) func(done, total int, run testbed.GeneratedRun) {
	start := time.Now()
	return func(done, total int, run testbed.GeneratedRun) {
		_, _ = fmt.Fprintf(out, "%5.0f s  %d of %d  seed %d: %s%s\n", time.Since(start).Seconds(), done, total, run.Seed, run.Outcome, failureReason(run))
	}
}

// failureReason formats why a scenario did not pass: the violated rules with the number of violations, and
// the reason that the sweep reports. The text begins with a colon. It is empty if there is neither.
func failureReason(run testbed.GeneratedRun) string {
	var reasons []string
	for _, rule := range slices.Sorted(maps.Keys(run.Rules)) {
		reasons = append(reasons, fmt.Sprintf("%s %d times", rule, run.Rules[rule]))
	}
	if run.Reason != "" {
		reasons = append(reasons, run.Reason)
	}
	if len(reasons) == 0 {
		return ""
	}
	return ": " + strings.Join(reasons, ", ")
}

// writeSweep writes the scenarios that failed, the number of scenarios by outcome, and the path of the
// report.
func writeSweep(out io.Writer, r *testbed.SweepReport, dir string) error {
	var table strings.Builder
	headerWritten := false
	for _, run := range r.Runs {
		if run.Outcome != testbed.BrokeRule && run.Outcome != testbed.NotRun {
			continue
		}
		if !headerWritten {
			headerWritten = true
			fmt.Fprintln(&table, "seed\tverdict\tdeployment\treproduce with")
		}
		fmt.Fprintf(&table, "%d\t%s%s\t%s\t%s\n", run.Seed, run.Outcome, failureReason(run), run.Size, run.Command)
		if run.FirstViolation != "" {
			fmt.Fprintf(&table, "\t  %s\t\t\n", strings.TrimSpace(run.FirstViolation))
		}
		if run.Reduced != "" {
			fmt.Fprintf(&table, "\t  reduced\t%s\t\n", run.Reduced)
		}
	}
	if err := writeTable(out, table.String()); err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d scenarios run of seeds %d-%d: %d passed, %d broke a rule, %d not judged, %d not played\n", r.Completed, r.From, r.To,
		r.Counts[testbed.Passed], r.Counts[testbed.BrokeRule], r.Counts[testbed.NotJudged], r.Counts[testbed.NotRun])
	if r.Ended != "" {
		fmt.Fprintln(&text, r.Ended)
	}
	fmt.Fprintln(&text, filepath.Join(dir, "sweep.json"))
	_, err := io.WriteString(out, text.String())
	return err
}
