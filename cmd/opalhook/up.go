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

// upRejects says why the demonstration rejects requests; docs/testbed.md has the figures.
const upRejects = "Rejections are by design: some of the tenants drawn ask for three times their quota, and most of what is beyond\n" +
	"a quota is rejected, in all from a tenth to a third of the requests."

// upFlags are the flags of `up`.
type upFlags struct {
	binary, control string
	duration        time.Duration
}

// upCommand is the first thing that a newcomer runs.
func upCommand(s *sharedFlags) *cobra.Command {
	var f upFlags
	c := &cobra.Command{
		Use:   "up",
		Short: "Run a small fleet on this machine, with load, until Ctrl-C",
		Long: "Run a small fleet of edge nodes on loopback addresses, with emulated app servers, list agents and\n" +
			"clients, and show a line a second. Nothing is left running at the end.\n\n" + upRejects,
		Example: "  opalhook up\n  opalhook up --for 10s",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.run(c, s) },
	}
	c.Flags().StringVar(&f.control, "control", "", "loopback address for Prometheus and for `opalhook testbed fault`, such as 127.0.0.1:9911")
	c.Flags().StringVar(&f.binary, "node-binary", "", "edge node to run (default: built from this repository)")
	c.Flags().DurationVar(&f.duration, "for", time.Hour, "how long it runs at most")
	return c
}

// run builds an edge node if none is named, runs the demonstration and removes its files.
func (f *upFlags) run(c *cobra.Command, s *sharedFlags) error {
	scenario, err := testbed.Demo(f.duration)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "opalhook-up-")
	if err != nil {
		return fmt.Errorf("folder of the run: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	// What is said on the way is no reason to stop when nobody can read it.
	_, _ = fmt.Fprintf(c.ErrOrStderr(), "building the edge node; then %d nodes and %d app servers run until Ctrl-C\n%s\n",
		scenario.Fleet.Nodes, scenario.Fleet.Servers, upRejects)
	node, err := testbed.FindNode(c.Context(), f.binary, dir)
	if err != nil {
		return err
	}
	r, err := testbed.Run(c.Context(), scenario, testbed.Options{
		Seed: uint64(time.Now().UnixNano()), Binary: node, Dir: dir, Log: s.logger(), Control: f.control, Live: showProgress(os.Stderr),
	})
	if errors.Is(err, context.Canceled) {
		_, _ = fmt.Fprintln(c.ErrOrStderr(), "\nended: no process is left")
		return nil
	}
	if err != nil {
		return err
	}
	if err := writeSummary(c.OutOrStdout(), r, "the run's files are removed"); err != nil {
		return err
	}
	if !r.OK() {
		return errNotMet
	}
	return nil
}
