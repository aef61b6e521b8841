package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/testbed"
)

// upCommand is the first thing that a newcomer runs.
func upCommand(s *settings) *cobra.Command {
	var binary, control string
	var last time.Duration
	c := &cobra.Command{
		Use:   "up",
		Short: "Run a small fleet on this machine, with load, until Ctrl-C",
		Long: "Run a small fleet of edge nodes on loopback addresses, with emulated app servers, list agents and\n" +
			"clients, and show a line a second. Nothing is left running at the end.",
		Example: "  opalhook up\n  opalhook up --for 10s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			sc, err := testbed.Demo(last)
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "opalhook-up-")
			if err != nil {
				return fmt.Errorf("folder of the run: %w", err)
			}
			defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "building the edge node; then %d nodes and %d app servers run until Ctrl-C\n", sc.Fleet.Nodes, sc.Fleet.Servers)
			path, err := testbed.FindNode(c.Context(), binary, dir)
			if err != nil {
				return err
			}
			r, err := testbed.Run(c.Context(), sc, testbed.Options{Seed: uint64(time.Now().UnixNano()), Binary: path, Dir: dir, Log: s.logger(), Control: control, Live: live(os.Stderr)})
			if errors.Is(err, context.Canceled) {
				_, _ = fmt.Fprintln(c.ErrOrStderr(), "\nended: no process is left")
				return nil
			}
			if err != nil {
				return err
			}
			if err := summary(c.OutOrStdout(), r, "the run's files are removed"); err != nil {
				return err
			}
			if !r.OK() {
				return errNotMet
			}
			return nil
		},
	}
	c.Flags().StringVar(&control, "control", "", "loopback address for Prometheus and for `opalhook testbed fault`, such as 127.0.0.1:9911")
	c.Flags().StringVar(&binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().DurationVar(&last, "for", time.Hour, "how long it runs at most")
	return c
}
