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

// testbedScale returns the command that measures how the cost of parts of the program grows with the fleet.
func testbedScale(s *globalFlags) *cobra.Command {
	var parts []string
	var sizes, dir string
	var seed uint64
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure how edge nodes and the list service scale with the fleet",
		Long: "Measure parts of the program at increasing sizes: edge nodes without sockets on a simulated clock, and the list service.\n" +
			"On the simulated clock, counts depend only on the seed. Times of real calls, the heap and some counts of the list service\n" +
			"depend on this machine. After Ctrl-C, the report contains the sizes measured so far.\n\n" +
			"Parts:\n" + scalePartsHelp() + "\n" +
			"Exit codes: 0 if everything was measured, 2 if --part or --sizes is invalid or a size needs more than half of this\n" +
			"machine's memory, 1 if a measurement failed, 130 after a signal.",
		Example: "  opalhook testbed scale\n  opalhook testbed scale --part node-list --sizes 200,2000,20000\n  opalhook testbed scale --part quota --seed 7 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			sizeList, err := parseSizes(sizes)
			if err != nil {
				return err
			}
			report, err := scale.Run(c.Context(), scale.Options{
				Parts: scale.Parts(), Names: parts, Sizes: sizeList, Seed: seed, Progress: scaleProgress(c.ErrOrStderr()),
			})
			if errors.As(err, new(*scale.InputError)) || errors.As(err, new(*scale.MemoryError)) {
				return usageError{fmt.Errorf("--%w", err)}
			}
			if report != nil {
				err = errors.Join(err, s.writeScale(c.OutOrStdout(), report, dir))
			}
			return errors.Join(err, c.Context().Err())
		},
	}
	c.Flags().StringSliceVar(&parts, "part", nil, "parts to measure, separated by commas (default: all)")
	c.Flags().StringVar(&sizes, "sizes", "", "sizes to measure, separated by commas; needs exactly one --part (default: the sizes of each part)")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random choices")
	c.Flags().StringVar(&dir, "dir", filepath.Join("runs", "scale"), "folder to write the plots to")
	return c
}

// scalePartsHelp returns the description of the parts for the help text.
func scalePartsHelp() string {
	var b strings.Builder
	for _, p := range scale.Parts() {
		fmt.Fprintf(&b, "  %-12s %s (sizes: %s)\n", p.Name, p.Title, p.Size)
	}
	return b.String()
}

// parseSizes parses sizes separated by commas. An empty text yields no sizes.
func parseSizes(text string) (sizes []int, err error) {
	if text == "" {
		return nil, nil
	}
	for _, field := range strings.Split(text, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil, usageError{fmt.Errorf("--sizes: must be whole numbers separated by commas, got %q", field)}
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// progressInterval is the shortest time between two progress lines of the same size.
const progressInterval = time.Second

// scaleProgress returns a function that writes a progress line when a size starts, when it ends, and at most
// once per progressInterval in between. Write errors are ignored: they must not stop the measurement.
func scaleProgress(out io.Writer) func(scale.Progress) {
	start := time.Now()
	var last time.Duration
	return func(p scale.Progress) {
		now := time.Since(start)
		if p.Done > 0 && p.Done < p.Total && now-last < progressInterval {
			return
		}
		last = now
		_, _ = fmt.Fprintf(out, "%5.0f s  %s at %d: %d of %d, %s\n", now.Seconds(), p.Part, p.Size, p.Done, p.Total, p.Doing)
	}
}

// writeScale writes the report to out and the plots to dir.
func (s *globalFlags) writeScale(out io.Writer, report *scale.Report, dir string) error {
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
			_, writeErr := fmt.Fprintln(out, path)
			err = errors.Join(err, writeErr)
		}
	}
	return err
}
