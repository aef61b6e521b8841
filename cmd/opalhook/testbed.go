package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/testbed"
)

// testbedCommand is the group of experiments with real edge nodes.
func testbedCommand(s *sharedFlags) *cobra.Command {
	c := &cobra.Command{
		Use:     "testbed",
		Aliases: []string{"lab"}, // the name in earlier versions
		Short:   "Run real edge nodes under load and faults, and check what they did",
		Example: "  opalhook testbed list\n  opalhook testbed run scenarios/killed.toml --seed 7\n  opalhook testbed report runs/killed-7",
		Args:    cobra.NoArgs, // or a word that is no subcommand would pass
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(testbedRun(s), testbedFault(s), testbedList(s), testbedReport(s), testbedCompare(s), testbedSweep(s), testbedScale(s))
	return c
}

// runFlags are the flags of `testbed run`.
type runFlags struct {
	seed                 uint64
	runs                 int
	control, binary, dir string
}

func testbedRun(s *sharedFlags) *cobra.Command {
	var f runFlags
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play a scenario and leave its result in a folder",
		Long: "Play a scenario with real edge nodes.\n\nThe exit code is 0 where no rule was broken, no node crashed and every expectation held,\n" +
			"3 where not, 2 where the scenario can't be, 1 where it could not be played.",
		Example: "  opalhook testbed run scenarios/zone-cut.toml --seed 7\n  opalhook testbed run scenarios/killed.toml --runs 4 --dir runs/new\n" +
			"  opalhook testbed run scenarios/killed.toml --node-binary old/edge-node --runs 4 --dir runs/old",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return f.play(c, s, args[0]) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "of everything that is drawn; further runs take the next ones")
	c.Flags().IntVar(&f.runs, "runs", 1, "how many runs, each with a seed of its own")
	c.Flags().StringVar(&f.control, "control", "", "loopback address for Prometheus and for `opalhook testbed fault`, such as 127.0.0.1:9911")
	c.Flags().StringVar(&f.binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().StringVar(&f.dir, "dir", "", "folder of the run (default: runs/NAME-SEED)")
	return c
}

// play plays a scenario as often as asked for and tells how each run came out.
func (f *runFlags) play(c *cobra.Command, s *sharedFlags, file string) error {
	scenario, err := testbed.LoadScenario(file)
	if err != nil {
		return badInput{err}
	}
	if f.runs < 1 {
		return badInput{fmt.Errorf("--runs: %d is below 1", f.runs)}
	}
	if f.dir == "" {
		f.dir = filepath.Join("runs", fmt.Sprintf("%s-%d", scenario.Name, f.seed))
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("this program's path: %w", err)
	}
	node, err := testbed.FindNode(c.Context(), f.binary, f.dir)
	if err != nil {
		return err
	}
	var results []*testbed.Result
	for i := range f.runs {
		o := testbed.Options{
			Seed: f.seed + uint64(i), Binary: node, Service: program, Dir: f.dir, Log: s.logger(), Control: f.control, Live: showProgress(os.Stderr),
		}
		if f.runs > 1 {
			o.Dir = filepath.Join(f.dir, strconv.FormatUint(o.Seed, 10))
		}
		r, err := testbed.Run(c.Context(), scenario, o)
		if err != nil {
			return err
		}
		if results = append(results, r); s.json() {
			continue
		}
		if err := writeSummary(c.OutOrStdout(), r, o.Dir); err != nil {
			return err
		}
	}
	if s.json() {
		if err := writeJSON(c.OutOrStdout(), results); err != nil {
			return err
		}
	}
	if slices.ContainsFunc(results, func(r *testbed.Result) bool { return !r.OK() }) {
		return errNotMet
	}
	return nil
}

func testbedFault(s *sharedFlags) *cobra.Command {
	var at string
	var f testbed.CommandedFault
	var last, late time.Duration
	c := &cobra.Command{
		Use:     "fault KIND [TARGET]",
		Short:   "Inject a fault into a run that is under way",
		Long:    "Inject a fault into a run that was started with --control. The target is the number of a node or an app server.",
		Example: "  opalhook up --control 127.0.0.1:9911\n  opalhook testbed fault slow 3 --size 5 --for 10s\n  opalhook testbed fault kill 0 --for 4s",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			f.Kind, f.For, f.Delay = testbed.FaultKind(args[0]), testbed.Duration(last), testbed.Duration(late)
			if len(args) > 1 {
				n, err := strconv.Atoi(args[1])
				if err != nil {
					return fmt.Errorf("target: %q is no number of a node or an app server", args[1])
				}
				f.Target = n
			}
			what, err := testbed.InjectFault(c.Context(), at, f)
			if err != nil {
				return err
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), map[string]string{"fault": what})
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), what)
			return err
		},
	}
	c.Flags().StringVar(&at, "at", "127.0.0.1:9911", "control address of the run")
	c.Flags().DurationVar(&last, "for", 0, "how long; 0: for the rest of the run")
	c.Flags().DurationVar(&late, "late", 0, "of delays")
	c.Flags().Float64Var(&f.Size, "size", 0, "times slower, a share, or bytes a second")
	c.Flags().StringVar(&f.Zone, "zone", "", "of the faults of zones")
	c.Flags().StringVar(&f.Way, "way", "", "of cuts: both, in, out")
	c.Flags().StringVar(&f.From, "from", "", "of links")
	c.Flags().StringVar(&f.To, "to", "", "of links")
	c.Flags().StringVar(&f.Does, "does", "", "of links: silence, reset, refuse, loss, delay, rate")
	return c
}

// scenarioRow is a scenario file in a list. An Error stands in place of what can't be read.
type scenarioRow struct {
	File  string `json:"file"`
	Name  string `json:"name"`
	About string `json:"about"`
	Error string `json:"error,omitempty"`
}

func testbedList(s *sharedFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the scenarios in a folder",
		Example: "  opalhook testbed list\n  opalhook testbed list scenarios -o json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := "scenarios"
			if len(args) > 0 {
				dir = args[0]
			}
			rows, bad := readScenarios(dir)
			if len(rows) == 0 {
				return bad
			}
			if s.json() {
				return errors.Join(writeJSON(c.OutOrStdout(), rows), bad)
			}
			var table strings.Builder
			for _, r := range rows {
				fmt.Fprintf(&table, "%s\t%s\n", r.File, r.About)
			}
			return errors.Join(writeTable(c.OutOrStdout(), table.String()), bad)
		},
	}
}

// readScenarios reads the scenario files of a folder. A file that can't be read is a row and an error, and hides no other.
func readScenarios(dir string) (rows []scenarioRow, bad error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no scenario in %s: name the folder that holds *.toml files", dir)
	}
	for _, p := range paths {
		scenario, err := testbed.LoadScenario(p)
		if err != nil {
			bad = errors.Join(bad, err)
			rows = append(rows, scenarioRow{File: p, Error: err.Error()})
			continue
		}
		rows = append(rows, scenarioRow{File: p, Name: scenario.Name, About: scenario.About})
	}
	return rows, bad
}

func testbedReport(s *sharedFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "report DIR",
		Short:   "Write a run's report: Markdown with charts",
		Example: "  opalhook testbed report runs/zone-cut-7",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if s.json() {
				r, err := testbed.ReadResult(args[0])
				if err != nil {
					return err
				}
				return writeJSON(c.OutOrStdout(), r)
			}
			path, err := testbed.Report(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), path)
			return err
		},
	}
}

func testbedCompare(s *sharedFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "compare DIR DIR",
		Short:   "Compare two runs, or two folders of runs",
		Long:    "Compare two runs, figure by figure, as the ratio of the second to the first.\nA folder of runs over several seeds shows the spread as well.",
		Example: "  opalhook testbed compare runs/old runs/new",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := testbed.Compare(args[0], args[1])
			if err != nil {
				return err
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), rows)
			}
			var table strings.Builder
			fmt.Fprintln(&table, "figure\tfirst (least to most)\tsecond (least to most)\tratio\t")
			for _, r := range rows {
				note := ""
				if r.Apart {
					note = "apart"
				}
				fmt.Fprintf(&table, "%s\t%.4g (%.4g to %.4g)\t%.4g (%.4g to %.4g)\t%.3f\t%s\n", r.Figure, r.A.Mean, r.A.Min, r.A.Max, r.B.Mean, r.B.Min, r.B.Max, r.Ratio, note)
			}
			return writeTable(c.OutOrStdout(), table.String())
		},
	}
}
