package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/scale"
)

// testbedScale measures how the program's parts grow with the fleet.
func testbedScale(s *sharedFlags) *cobra.Command {
	var names []string
	var sizes, dir string
	var seed uint64
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure how edge nodes and the list service grow with the fleet",
		Long: "Measure parts of the program at growing sizes: edge nodes without client sockets on a clock of their own, and the list\n" +
			"service. What is counted is the same for the same seed; what is timed is this machine's. Ctrl-C leaves what was measured.\n\n" +
			"Parts:\n" + scaleParts() + "\n" +
			"The exit code is 0 where all was measured, 2 where what was asked for can't be (a size that would pass half of this\n" +
			"machine's memory among it), 1 where it could not be measured, 130 where a signal ended it.",
		Example: "  opalhook testbed scale\n  opalhook testbed scale --part node-list --sizes 200,2000,20000\n  opalhook testbed scale --part quota --seed 7 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			counts, err := parseSizes(sizes)
			if err != nil {
				return err
			}
			report, err := scale.Run(c.Context(), scale.Options{
				Parts: scale.Parts(), Names: names, Sizes: counts, Seed: seed, Progress: scaleProgress(c.ErrOrStderr()),
			})
			if errors.As(err, new(*scale.InputError)) || errors.As(err, new(*scale.MemoryError)) {
				return badInput{fmt.Errorf("--%w", err)}
			}
			if report != nil {
				err = errors.Join(err, s.writeScale(c.OutOrStdout(), report, dir))
			}
			return errors.Join(err, c.Context().Err())
		},
	}
	c.Flags().StringSliceVar(&names, "part", nil, "parts to measure, one or more (default: all)")
	c.Flags().StringVar(&sizes, "sizes", "", "sizes to measure, apart by commas, of one part (default: the part's own, up to the plan's)")
	c.Flags().Uint64Var(&seed, "seed", 1, "of everything that is drawn")
	c.Flags().StringVar(&dir, "dir", filepath.Join("runs", "scale"), "folder of the plots")
	return c
}

// scaleParts describes the parts for the help.
func scaleParts() string {
	var b strings.Builder
	for _, p := range scale.Parts() {
		fmt.Fprintf(&b, "  %-12s %s (sizes: %s)\n", p.Name, p.Title, p.Size)
	}
	return b.String()
}

// parseSizes reads sizes apart by commas; none is none.
func parseSizes(text string) (sizes []int, err error) {
	if text == "" {
		return nil, nil
	}
	for _, word := range strings.Split(text, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil {
			return nil, badInput{fmt.Errorf("--sizes: %q is no whole number", word)}
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// progressGap is the shortest time between two lines of progress on one size.
const progressGap = time.Second

// scaleProgress writes a line as a size begins and ends, and now and then between. Progress that nobody can read is
// no reason to stop the measurement.
func scaleProgress(out io.Writer) func(scale.Progress) {
	began := time.Now()
	var last time.Duration
	return func(p scale.Progress) {
		now := time.Since(began)
		if p.Done > 0 && p.Done < p.Total && now-last < progressGap {
			return
		}
		last = now
		_, _ = fmt.Fprintf(out, "%5.0f s  %s at %d: %d of %d, %s\n", now.Seconds(), p.Part, p.Size, p.Done, p.Total, p.Doing)
	}
}

// writeScale writes the report and the plots.
func (s *sharedFlags) writeScale(out io.Writer, report *scale.Report, dir string) error {
	if s.json() {
		if err := writeJSON(out, report); err != nil {
			return err
		}
	} else if err := report.WriteText(out); err != nil {
		return err
	}
	paths, err := report.WritePlots(dir)
	if !s.json() {
		for _, path := range paths {
			_, werr := fmt.Fprintln(out, path)
			err = errors.Join(err, werr)
		}
	}
	return err
}
