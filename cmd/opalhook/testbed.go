package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/testbed"
)

// testbedCommand returns the group of commands that run real edge nodes under load and faults.
func testbedCommand(s *globalFlags) *cobra.Command {
	c := &cobra.Command{
		Use:     "testbed",
		Aliases: []string{"lab"}, // the name in earlier versions
		Short:   "Run real edge nodes under load and faults, and check their behavior",
		Example: "  opalhook testbed list\n  opalhook testbed run scenarios/killed.toml --seed 7\n  opalhook testbed report runs/killed-7",
		Args:    cobra.NoArgs, // otherwise cobra accepts an unknown subcommand
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

// testbedRun returns the command that runs a scenario.
func testbedRun(s *globalFlags) *cobra.Command {
	var f runFlags
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run a scenario and store its result in a folder",
		Long: "Run a scenario with real edge nodes.\n\nExit codes: 0 if no rule was violated, no node crashed and all expectations were met, 3 otherwise,\n" +
			"2 if the scenario or --runs is invalid, 1 if the scenario could not be run, 130 after a signal.",
		Example: "  opalhook testbed run scenarios/zone-cut.toml --seed 7\n  opalhook testbed run scenarios/killed.toml --runs 4 --dir runs/new\n" +
			"  opalhook testbed run scenarios/killed.toml --node-binary old/edge-node --runs 4 --dir runs/old",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, s, args[0]) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random choices; further runs use the following seeds")
	c.Flags().IntVar(&f.runs, "runs", 1, "number of runs, each with a different seed")
	c.Flags().StringVar(&f.control, "control", "", "loopback `address` for Prometheus metrics and for the command \"opalhook testbed fault\", for example 127.0.0.1:9911 (default: none)")
	c.Flags().StringVar(&f.binary, "node-binary", "", "path of the edge node's binary (default: built from this repository)")
	c.Flags().StringVar(&f.dir, "dir", "", "folder to write the results to (default: runs/NAME-SEED)")
	return c
}

// run runs a scenario f.runs times and writes a summary of each run. It returns errChecksFailed unless all
// runs passed, see [testbed.Result.OK].
func (f *runFlags) run(c *cobra.Command, s *globalFlags, file string) error {
	scenario, err := testbed.LoadScenario(file)
	if err != nil {
		return usageError{err}
	}
	if f.runs < 1 {
		return usageError{fmt.Errorf("--runs: must be at least 1, got %d", f.runs)}
	}
	if f.dir == "" {
		f.dir = filepath.Join("runs", fmt.Sprintf("%s-%d", scenario.Name, f.seed))
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding the path of this program: %w", err)
	}
	node, err := testbed.FindNode(c.Context(), f.binary, f.dir)
	if err != nil {
		return err
	}
	var results []*testbed.Result
	for i := range f.runs {
		o := testbed.Options{
			Seed: f.seed + uint64(i), Binary: node, Service: program, Dir: f.dir, Log: s.logger(), Control: f.control, OnProgress: showProgress(os.Stderr),
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
		return errChecksFailed
	}
	return nil
}

// testbedFault returns the command that injects a fault into a running scenario.
func testbedFault(s *globalFlags) *cobra.Command {
	var addr string
	var f testbed.CommandedFault
	var duration, delay time.Duration
	c := &cobra.Command{
		Use:     "fault KIND [TARGET]",
		Short:   "Inject a fault into a running scenario",
		Long:    "Inject a fault into a scenario that was started with --control. TARGET is the number of an edge node or app server.\n\nKinds:\n" + faultHelp(),
		Example: "  opalhook up --control 127.0.0.1:9911\n  opalhook testbed fault slow 3 --size 5 --for 10s\n  opalhook testbed fault kill 0 --for 4s",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			f.Kind, f.For, f.Delay = testbed.FaultKind(args[0]), testbed.Duration(duration), testbed.Duration(delay)
			if len(args) > 1 {
				n, err := strconv.Atoi(args[1])
				if err != nil {
					return fmt.Errorf("TARGET: must be the number of an edge node or app server, got %q", args[1])
				}
				f.Target = n
			}
			description, err := testbed.InjectFault(c.Context(), addr, f)
			if err != nil {
				return err
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), map[string]string{"fault": description})
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), description)
			return err
		},
	}
	c.Flags().StringVar(&addr, "at", "127.0.0.1:9911", "control address of the running scenario")
	c.Flags().DurationVar(&duration, "for", 0, "duration of the fault; 0: until the end of the run")
	c.Flags().DurationVar(&delay, "late", 0, "delay that the fault adds")
	c.Flags().Float64Var(&f.Size, "size", 0, "size of the fault: a slowdown factor, a fraction or a rate in bytes per second, depending on its kind")
	c.Flags().StringVar(&f.Zone, "zone", "", "zone, for faults that affect a zone")
	c.Flags().StringVar(&f.Direction, "way", "", "direction of a cut: both, in or out")
	c.Flags().StringVar(&f.From, "from", "", "source of the link, for link faults")
	c.Flags().StringVar(&f.To, "to", "", "destination of the link, for link faults")
	c.Flags().StringVar(&f.Effect, "does", "", "effect of a link fault: silence, reset, refuse, loss, delay or rate")
	return c
}

// faultHelp returns the description of the kinds of faults for the help text.
func faultHelp() string {
	kinds := testbed.FaultKinds()
	var b strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&b, "  %-12s %s\n", kind, kinds[kind])
	}
	return b.String()
}

// scenarioRow describes a scenario file. Error is set instead of Name and About if the file is invalid.
type scenarioRow struct {
	File  string `json:"file"`
	Name  string `json:"name"`
	About string `json:"about"`
	Error string `json:"error,omitempty"`
}

func testbedList(s *globalFlags) *cobra.Command {
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
			rows, errs := readScenarios(dir)
			if len(rows) == 0 {
				return errs
			}
			if s.json() {
				return errors.Join(writeJSON(c.OutOrStdout(), rows), errs)
			}
			var table strings.Builder
			for _, r := range rows {
				fmt.Fprintf(&table, "%s\t%s\n", r.File, r.About)
			}
			return errors.Join(writeTable(c.OutOrStdout(), table.String()), errs)
		},
	}
}

// readScenarios reads the scenario files of a folder. An invalid file yields a row with an error and is part
// of the returned error; the other files are read nevertheless.
func readScenarios(dir string) (rows []scenarioRow, errs error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no scenario files (*.toml) in folder %s; name the folder that contains them", dir)
	}
	for _, p := range paths {
		scenario, err := testbed.LoadScenario(p)
		if err != nil {
			errs = errors.Join(errs, err)
			rows = append(rows, scenarioRow{File: p, Error: err.Error()})
			continue
		}
		rows = append(rows, scenarioRow{File: p, Name: scenario.Name, About: scenario.About})
	}
	return rows, errs
}

func testbedReport(s *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "report DIR",
		Short:   "Write a report of a run in Markdown, with charts",
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

func testbedCompare(s *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "compare DIR DIR",
		Short:   "Compare two runs or two folders of runs",
		Long:    "Compare the figures of two runs, with the ratio of the second run to the first.\nA folder may hold runs with several seeds; the comparison then shows their range as well. A figure is marked as apart\nif the ranges of the two folders do not overlap.",
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
			fmt.Fprintln(&table, "figure\tfirst (min to max)\tsecond (min to max)\tratio\t")
			for _, r := range rows {
				note := ""
				if r.Disjoint {
					note = "apart"
				}
				fmt.Fprintf(&table, "%s\t%.4g (%.4g to %.4g)\t%.4g (%.4g to %.4g)\t%.3f\t%s\n", r.Figure, r.A.Mean, r.A.Min, r.A.Max, r.B.Mean, r.B.Min, r.B.Max, r.Ratio, note)
			}
			return writeTable(c.OutOrStdout(), table.String())
		},
	}
}
