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

// testbedSweep plays deployments and faults drawn by seed.
func testbedSweep(s *settings) *cobra.Command {
	var seeds, aim, binary, broken, dir string
	o := testbed.SweepOptions{}
	c := &cobra.Command{
		Use:   "sweep",
		Short: "Play drawn deployments under drawn faults, and list the seeds that broke a rule",
		Long: "Draw a deployment and a time line of faults for each seed of a range, play it with real edge nodes, and hold them to the\n" +
			"rules. A seed that breaks one is reduced to fewer faults, processes and seconds while it still does. A draw for which the\n" +
			"machine was too slow is not judged, which is no pass. Ctrl-C leaves the report of what was played.\n\n" +
			"The exit code is 0 where no rule was broken, 3 where one was, 2 where the range or the rule can't be.",
		Example: "  opalhook testbed sweep --seeds 1-200 --jobs 6\n  opalhook testbed sweep --seeds 1-40 --rule drains --budget 5m -o json\n" +
			"  opalhook testbed sweep --seeds 1-20 --rule drains --broken late-watch",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.From, o.To, err = testbed.ParseSeeds(seeds); err != nil {
				return badInput{fmt.Errorf("--%w", err)}
			}
			if aim != "" && !slices.Contains(testbed.Aims, aim) {
				return badInput{fmt.Errorf("--rule: %q is none of %s", aim, strings.Join(testbed.Aims, ", "))}
			}
			if o.Jobs < 1 || o.Reduce < 0 || o.Budget < 0 {
				return badInput{fmt.Errorf("--jobs %d, --reduce %d, --budget %v: 1 job or more and nothing below 0 is wanted", o.Jobs, o.Reduce, o.Budget)}
			}
			if dir == "" {
				dir = filepath.Join("runs", "sweep")
			}
			if o.Binary, err = sweepNode(c.Context(), binary, broken, dir); err != nil {
				return err
			}
			o.Aim, o.Dir, o.Log, o.Live = aim, dir, s.logger(), sweepProgress(os.Stderr)
			r, err := testbed.Sweep(c.Context(), o)
			if err != nil {
				return err
			}
			if s.json() {
				err = writeJSON(c.OutOrStdout(), r)
			} else {
				err = sweepTable(c.OutOrStdout(), r, dir)
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
		},
	}
	c.Flags().StringVar(&seeds, "seeds", "1-20", "range of seeds, A-B, or one seed")
	c.Flags().StringVar(&aim, "rule", "", "rule to strain: "+strings.Join(testbed.Aims, ", ")+" (default: anything)")
	c.Flags().IntVar(&o.Jobs, "jobs", 4, "trials played at once; each takes one to two cores")
	c.Flags().DurationVar(&o.Budget, "budget", 0, "time after which no trial begins; 0: none")
	c.Flags().IntVar(&o.Reduce, "reduce", 12, "plays that the reduction of a failing seed may take; 0: it is not reduced")
	c.Flags().StringVar(&binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().StringVar(&broken, "broken", "", "run a node that is broken on purpose, to see that it is found: "+mutantNames())
	c.Flags().StringVar(&dir, "dir", "", "folder of the sweep (default: runs/sweep)")
	return c
}

func mutantNames() string {
	return strings.Join(slices.Sorted(maps.Keys(testbed.Mutants())), ", ")
}

// sweepNode is the node to run: one that is named, one that is broken on purpose, or the one
// built from this repository.
func sweepNode(ctx context.Context, binary, broken, dir string) (string, error) {
	switch {
	case broken == "":
		return testbed.FindNode(ctx, binary, dir)
	case binary != "":
		return "", badInput{fmt.Errorf("--broken: builds a node of its own; leave out --node-binary")}
	case testbed.Mutants()[broken] == "":
		return "", badInput{fmt.Errorf("--broken: %q is none of %s", broken, mutantNames())}
	}
	return testbed.BuildMutant(ctx, broken, dir)
}

// sweepProgress writes a line as each trial ends. Progress that nobody can read is no reason to stop the sweep.
func sweepProgress(out io.Writer) func(done, of int, t testbed.Trial) {
	began := time.Now()
	return func(done, of int, t testbed.Trial) {
		_, _ = fmt.Fprintf(out, "%5.0f s  %d of %d  seed %d: %s%s\n", time.Since(began).Seconds(), done, of, t.Seed, t.Verdict, because(t))
	}
}

func because(t testbed.Trial) string {
	var words []string
	for _, rule := range slices.Sorted(maps.Keys(t.Rules)) {
		words = append(words, fmt.Sprintf("%s %d times", rule, t.Rules[rule]))
	}
	if t.Why != "" {
		words = append(words, t.Why)
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
	for _, t := range r.Trials {
		if t.Verdict != testbed.Broke && t.Verdict != testbed.NotPlayed {
			continue
		}
		if !head {
			head = true
			fmt.Fprintln(&table, "seed\tverdict\tdeployment\tplay it again with")
		}
		fmt.Fprintf(&table, "%d\t%s%s\t%s\t%s\n", t.Seed, t.Verdict, because(t), t.Size, t.Again)
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
		r.Counts[testbed.Passed], r.Counts[testbed.Broke], r.Counts[testbed.NotJudged], r.Counts[testbed.NotPlayed])
	if r.Ended != "" {
		fmt.Fprintln(&text, r.Ended)
	}
	fmt.Fprintln(&text, filepath.Join(dir, "sweep.json"))
	_, err := io.WriteString(out, text.String())
	return err
}
