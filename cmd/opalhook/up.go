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

// rejectionsNote explains why the demonstration rejects requests; docs/testbed.md has the figures.
const rejectionsNote = "Rejections are expected: some tenants request three times their quota, and most requests beyond a quota are\n" +
	"rejected. In total, a tenth to a third of all requests are rejected."

// upFlags are the flags of `up`.
type upFlags struct {
	binary, control string
	duration        time.Duration
}

// upCommand returns the command that runs a demonstration. It works without any flags or files.
func upCommand(s *globalFlags) *cobra.Command {
	var f upFlags
	c := &cobra.Command{
		Use:   "up",
		Short: "Run a small fleet with load on this machine",
		Long: "Run a small fleet of edge nodes on loopback addresses, with emulated app servers, list agents and clients, until\n" +
			"Ctrl-C. One progress line is printed per second. All processes are stopped at the end.\n\n" + rejectionsNote,
		Example: "  opalhook up\n  opalhook up --for 10s",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.run(c, s) },
	}
	c.Flags().StringVar(&f.control, "control", "", "loopback `address` for Prometheus metrics and for the command \"opalhook testbed fault\", for example 127.0.0.1:9911 (default: none)")
	c.Flags().StringVar(&f.binary, "node-binary", "", "path of the edge node's binary (default: built from this repository)")
	c.Flags().DurationVar(&f.duration, "for", time.Hour, "maximum duration")
	return c
}

// run runs the demonstration and removes its files. It builds an edge node unless --node-binary names one.
func (f *upFlags) run(c *cobra.Command, s *globalFlags) error {
	scenario, err := testbed.Demo(f.duration)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "opalhook-up-")
	if err != nil {
		return fmt.Errorf("creating the folder of the run: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	// Errors of writing to stderr are ignored: they must not stop the run.
	_, _ = fmt.Fprintf(c.ErrOrStderr(), "preparing the edge node's binary, then running %d nodes and %d app servers until Ctrl-C\n%s\n",
		scenario.Fleet.Nodes, scenario.Fleet.Servers, rejectionsNote)
	node, err := testbed.FindNode(c.Context(), f.binary, dir)
	if err != nil {
		return err
	}
	r, err := testbed.Run(c.Context(), scenario, testbed.Options{
		Seed: uint64(time.Now().UnixNano()), Binary: node, Dir: dir, Log: s.logger(), Control: f.control, OnProgress: showProgress(os.Stderr),
	})
	if errors.Is(err, context.Canceled) {
		_, _ = fmt.Fprintln(c.ErrOrStderr(), "\nstopped: all processes have ended")
		return nil
	}
	if err != nil {
		return err
	}
	if err := writeSummary(c.OutOrStdout(), r, "the run's files have been removed"); err != nil {
		return err
	}
	if !r.OK() {
		return errChecksFailed
	}
	return nil
}
