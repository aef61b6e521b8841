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

// testbedSweep plays deployments and faults drawn by seed.
func testbedSweep(s *sharedFlags) *cobra.Command {
	var f sweepFlags
	c := &cobra.Command{
		Use:   "sweep",
		Short: "Play generated scenarios, and list the seeds that broke a rule",
		Long: "Generate a scenario for each seed of a range, a deployment and a time line of faults, play it with real edge nodes, and\n" +
			"check them against the rules. A seed that breaks one is reduced to fewer faults, processes and seconds while it still does.\n" +
			"A scenario for which the machine was too slow is not judged, which is no pass. Ctrl-C leaves the report of what was played.\n\n" +
			"The exit code is 0 where no rule was broken, 3 where one was, 2 where the range or the rule can't be.",
		Example: "  opalhook testbed sweep --seeds 1-200 --jobs 6\n  opalhook testbed sweep --seeds 1-40 --rule drains --budget 5m -o json\n" +
			"  opalhook testbed sweep --seeds 1-20 --rule drains --broken late-watch",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.sweep(c, s) },
	}
	c.Flags().StringVar(&f.seeds, "seeds", "1-20", "range of seeds, A-B, or one seed")
	c.Flags().StringVar(&f.rule, "rule", "", "rule to strain: "+strings.Join(testbed.TargetRules, ", ")+" (default: anything)")
	c.Flags().IntVar(&f.options.Jobs, "jobs", 4, "scenarios played at once; each takes one to two cores")
	c.Flags().DurationVar(&f.options.Budget, "budget", 0, "time after which no scenario begins; 0: none")
	c.Flags().IntVar(&f.options.Reduce, "reduce", 12, "plays that the reduction of a failing seed may take; 0: it is not reduced")
	c.Flags().StringVar(&f.binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().StringVar(&f.mutant, "broken", "", "run a mutant, a node that is broken on purpose, to see that it is found: "+mutantNames())
	c.Flags().StringVar(&f.dir, "dir", filepath.Join("runs", "sweep"), "folder of the sweep")
	return c
}

// sweep plays the seeds and tells what came of them.
func (f *sweepFlags) sweep(c *cobra.Command, s *sharedFlags) error {
	if err := f.check(); err != nil {
		return badInput{err}
	}
	var err error
	if f.options.Binary, err = sweepNode(c.Context(), f.binary, f.mutant, f.dir); err != nil {
		return err
	}
	f.options.Rule, f.options.Dir, f.options.Log, f.options.Live = f.rule, f.dir, s.logger(), sweepProgress(os.Stderr)
	r, err := testbed.Sweep(c.Context(), f.options)
	if err != nil {
		return err
	}
	if s.json() {
		err = writeJSON(c.OutOrStdout(), r)
	} else {
		err = sweepTable(c.OutOrStdout(), r, f.dir)
	}
	switch {
	case err != nil:
		return err
	case c.Context().Err() != nil:
		return c.Context().Err()
	case !r.OK():
		return errNotMet
	}
	return nil
}

// check reads the range of seeds and checks the others.
func (f *sweepFlags) check() error {
	o := &f.options
	var err error
	if o.From, o.To, err = testbed.ParseSeeds(f.seeds); err != nil {
		return fmt.Errorf("--%w", err)
	}
	if f.rule != "" && !slices.Contains(testbed.TargetRules, f.rule) {
		return fmt.Errorf("--rule: %q is none of %s", f.rule, strings.Join(testbed.TargetRules, ", "))
	}
	if o.Jobs < 1 || o.Reduce < 0 || o.Budget < 0 {
		return fmt.Errorf("--jobs %d, --reduce %d, --budget %v: 1 job or more and nothing below 0 is wanted", o.Jobs, o.Reduce, o.Budget)
	}
	if f.dir == "" {
		f.dir = filepath.Join("runs", "sweep")
	}
	return nil
}

// mutantNames lists the nodes that `--broken` can name.
func mutantNames() string {
	return strings.Join(slices.Sorted(maps.Keys(testbed.Mutants())), ", ")
}

// sweepNode is the node to run: one that is named, a mutant, or the one built from this repository.
func sweepNode(ctx context.Context, binary, mutant, dir string) (string, error) {
	switch {
	case mutant == "":
		return testbed.FindNode(ctx, binary, dir)
	case binary != "":
		return "", badInput{fmt.Errorf("--broken: builds a node of its own; leave out --node-binary")}
	case testbed.Mutants()[mutant] == "":
		return "", badInput{fmt.Errorf("--broken: %q is none of %s", mutant, mutantNames())}
	}
	return testbed.BuildMutant(ctx, mutant, dir)
}

// sweepProgress writes a line as each generated scenario ends. Progress that nobody can read is no reason to stop the sweep.
func sweepProgress(out io.Writer) func(done, of int, t testbed.GeneratedRun) {
	began := time.Now()
	return func(done, of int, t testbed.GeneratedRun) {
		_, _ = fmt.Fprintf(out, "%5.0f s  %d of %d  seed %d: %s%s\n", time.Since(began).Seconds(), done, of, t.Seed, t.Verdict, because(t))
	}
}

// because tells why a generated scenario did not pass: the rules that it broke, or that it was not judged.
func because(t testbed.GeneratedRun) string {
	var words []string
	for _, rule := range slices.Sorted(maps.Keys(t.Rules)) {
		words = append(words, fmt.Sprintf("%s %d times", rule, t.Rules[rule]))
	}
	if t.Reason != "" {
		words = append(words, t.Reason)
	}
	if len(words) == 0 {
		return ""
	}
	return ": " + strings.Join(words, ", ")
}

// sweepTable writes what failed, and the counts.
func sweepTable(out io.Writer, r *testbed.SweepReport, dir string) error {
	var table strings.Builder
	head := false
	for _, t := range r.Runs {
		if t.Verdict != testbed.BrokeRule && t.Verdict != testbed.NotPlayed {
			continue
		}
		if !head {
			head = true
			fmt.Fprintln(&table, "seed\tverdict\tdeployment\tplay it again with")
		}
		fmt.Fprintf(&table, "%d\t%s%s\t%s\t%s\n", t.Seed, t.Verdict, because(t), t.Size, t.Command)
		if t.First != "" {
			fmt.Fprintf(&table, "\t  %s\t\t\n", strings.TrimSpace(t.First))
		}
		if t.Reduced != "" {
			fmt.Fprintf(&table, "\t  reduced\t%s\t\n", t.Reduced)
		}
	}
	if err := writeTable(out, table.String()); err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d played of seeds %d-%d: %d passed, %d broke a rule, %d not judged, %d not played\n", r.Played, r.From, r.To,
		r.Counts[testbed.Passed], r.Counts[testbed.BrokeRule], r.Counts[testbed.NotJudged], r.Counts[testbed.NotPlayed])
	if r.Ended != "" {
		fmt.Fprintln(&text, r.Ended)
	}
	fmt.Fprintln(&text, filepath.Join(dir, "sweep.json"))
	_, err := io.WriteString(out, text.String())
	return err
}
