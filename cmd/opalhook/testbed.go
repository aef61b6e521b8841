package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"opalhook/internal/testbed"
)

// testbedCommand is the group of the experiments.
func testbedCommand(s *settings) *cobra.Command {
	c := &cobra.Command{
		Use:     "testbed",
		Aliases: []string{"lab"}, // the name in earlier versions
		Short:   "Run real edge nodes under load and faults, and judge them",
		Example: "  opalhook testbed list\n  opalhook testbed run scenarios/killed.toml --seed 7\n  opalhook testbed report runs/killed-7",
		Args:    cobra.NoArgs, // or a word that is no subcommand would pass
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(testbedRun(s), testbedFault(s), testbedList(s), testbedReport(s), testbedCompare(s), testbedSweep(s), testbedScale(s))
	return c
}

func testbedRun(s *settings) *cobra.Command {
	var seed uint64
	var binary, dir, control string
	var runs int
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play a scenario and leave its result in a folder",
		Long: "Play a scenario with real edge nodes.\n\nThe exit code is 0 where no rule was broken, no node crashed and every expectation held,\n" +
			"3 where not, 2 where the scenario can't be, 1 where it could not be played.",
		Example: "  opalhook testbed run scenarios/zone-cut.toml --seed 7\n  opalhook testbed run scenarios/killed.toml --runs 4 --dir runs/new\n" +
			"  opalhook testbed run scenarios/killed.toml --node-binary old/edge-node --runs 4 --dir runs/old",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := testbed.LoadScenario(args[0])
			if err != nil {
				return badInput{err}
			}
			if runs < 1 {
				return badInput{fmt.Errorf("--runs: %d is below 1", runs)}
			}
			if dir == "" {
				dir = filepath.Join("runs", fmt.Sprintf("%s-%d", sc.Name, seed))
			}
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("this program's path: %w", err)
			}
			path, err := testbed.FindNode(c.Context(), binary, dir)
			if err != nil {
				return err
			}
			met := true
			var results []*testbed.Result
			for i := range runs {
				at := dir
				if runs > 1 {
					at = filepath.Join(dir, strconv.FormatUint(seed+uint64(i), 10))
				}
				r, err := testbed.Run(c.Context(), sc, testbed.Options{Seed: seed + uint64(i), Binary: path, Service: self, Dir: at, Log: s.logger(), Control: control, Live: live(os.Stderr)})
				if err != nil {
					return err
				}
				met = met && r.OK()
				results = append(results, r)
				if !s.json() {
					if err := summary(c.OutOrStdout(), r, at); err != nil {
						return err
					}
				}
			}
			if s.json() {
				if err := writeJSON(c.OutOrStdout(), results); err != nil {
					return err
				}
			}
			if !met {
				return errNotMet
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of everything that is drawn; further runs take the next ones")
	c.Flags().IntVar(&runs, "runs", 1, "how many runs, each with a seed of its own")
	c.Flags().StringVar(&control, "control", "", "loopback address for Prometheus and for `opalhook testbed fault`, such as 127.0.0.1:9911")
	c.Flags().StringVar(&binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().StringVar(&dir, "dir", "", "folder of the run (default: runs/NAME-SEED)")
	return c
}

func testbedFault(s *settings) *cobra.Command {
	var at string
	var f testbed.Commanded
	var last, late time.Duration
	c := &cobra.Command{
		Use:     "fault KIND [TARGET]",
		Short:   "Begin a fault in a run that goes on",
		Long:    "Begin a fault in a run that was started with --control. The target is the number of a node or an app server.",
		Example: "  opalhook up --control 127.0.0.1:9911\n  opalhook testbed fault slow 3 --size 5 --for 10s\n  opalhook testbed fault kill 0 --for 4s",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			f.Kind, f.For, f.Late = args[0], testbed.Duration(last), testbed.Duration(late)
			if len(args) > 1 {
				n, err := strconv.Atoi(args[1])
				if err != nil {
					return fmt.Errorf("target: %q is no number of a node or an app server", args[1])
				}
				f.Target = n
			}
			what, err := testbed.Command(c.Context(), at, f)
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

// live returns a function that shows progress: one line that is written over on a terminal,
// a line a second elsewhere.
func live(out *os.File) func(testbed.Progress) {
	terminal := term.IsTerminal(int(out.Fd()))
	return func(p testbed.Progress) {
		text := fmt.Sprintf("%5.0f of %.0f s  asked %5d  served %5d  refused %4d  failed %3d  p50 %4d ms  p99 %5d ms  nodes up %d  rules broken %d",
			p.At.Seconds(), p.Of.Seconds(), p.Asked, p.Served, p.Refused, p.Failed, p.P50.Milliseconds(), p.P99.Milliseconds(), p.NodesUp, p.Violations)
		if terminal {
			text = "\r\x1b[K" + text
			if p.At >= p.Of-time.Second {
				text += "\n"
			}
		} else {
			text += "\n"
		}
		_, _ = out.WriteString(text) // progress that nobody can read is no reason to stop the run
	}
}

// summary writes how a run came out.
func summary(out io.Writer, r *testbed.Result, dir string) error {
	var text strings.Builder
	verdict := "passed"
	if !r.OK() {
		verdict = "FAILED"
	}
	fmt.Fprintf(&text, "%s seed %d: %s  goodput %.3f  served %.3f  refused %.3f  p99 %.0f ms  schedule %s\n", r.Scenario, r.Seed, verdict,
		r.Figures["goodput"], r.Figures["served"], r.Figures["refused"], r.Figures["p99_ms"], r.Digest)
	if r.Behind {
		fmt.Fprintf(&text, "  the generator fell behind by %.1f ms (99th percentile): this machine is too small for the load\n", r.Figures["lateness_ms"])
	}
	for _, v := range r.Violations[:min(len(r.Violations), 5)] {
		fmt.Fprintln(&text, " ", v)
	}
	for _, k := range r.Checks {
		if !k.OK {
			fmt.Fprintf(&text, "  expected %s %s, got %.4g\n", k.Expect.Figure, k.Expect.Bound(), k.Got)
		}
	}
	fmt.Fprintf(&text, "  %s\n", dir)
	_, err := io.WriteString(out, text.String())
	return err
}

func testbedList(s *settings) *cobra.Command {
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
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil || len(paths) == 0 {
				return fmt.Errorf("no scenario in %s: name the folder that holds *.toml files", dir)
			}
			type row struct {
				File  string `json:"file"`
				Name  string `json:"name"`
				About string `json:"about"`
				Error string `json:"error,omitempty"`
			}
			var rows []row
			var bad error
			for _, p := range paths {
				sc, err := testbed.LoadScenario(p)
				if err != nil {
					bad = errors.Join(bad, err)
					rows = append(rows, row{File: p, Error: err.Error()})
					continue
				}
				rows = append(rows, row{File: p, Name: sc.Name, About: sc.About})
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

func testbedReport(s *settings) *cobra.Command {
	return &cobra.Command{
		Use:     "report DIR",
		Short:   "Write a run's report: Markdown with pictures",
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

func testbedCompare(s *settings) *cobra.Command {
	return &cobra.Command{
		Use:     "compare DIR DIR",
		Short:   "Hold two runs, or two folders of runs, against each other",
		Long:    "Hold two runs against each other, figure by figure, as the ratio of the second to the first.\nA folder of runs over several seeds shows the spread as well.",
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
