// Command opalhook is the operators' command: it runs the testbed and the fleet's own processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// errNotMet ends the command with exitNotMet; what was not met has been told.
var errNotMet = errors.New("not met")

// badInput is an error of what was asked for: a scenario, a range, a name that can't be.
type badInput struct{ error }

func (e badInput) Unwrap() error { return e.error }

// Exit codes.
const (
	exitError  = 1 // it could not be done
	exitUsage  = 2 // what was asked for can't be
	exitNotMet = 3 // it was done, and a rule or an expectation was not met
	exitSignal = 130
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errNotMet):
		os.Exit(exitNotMet)
	case ctx.Err() != nil:
		fmt.Fprintln(os.Stderr, "opalhook: ended by a signal")
		os.Exit(exitSignal)
	default:
		fmt.Fprintln(os.Stderr, "opalhook:", err)
		if errors.As(err, new(badInput)) {
			os.Exit(exitUsage)
		}
		os.Exit(exitError)
	}
}

// sharedFlags are the flags that all subcommands share.
type sharedFlags struct {
	output  string
	verbose bool
}

func (s *sharedFlags) json() bool { return s.output == "json" }

func (s *sharedFlags) logger() *slog.Logger {
	level := slog.LevelWarn
	if s.verbose {
		level = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func root() *cobra.Command {
	var s sharedFlags
	c := &cobra.Command{
		Use:           "opalhook",
		Short:         "Run, watch and test a fleet of opalhook edge nodes",
		Example:       "  opalhook up\n  opalhook testbed run scenarios/quiet.toml --seed 1",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if s.output != "text" && s.output != "json" {
				return fmt.Errorf("--output: %q is none of text, json", s.output)
			}
			return nil
		},
	}
	c.PersistentFlags().StringVarP(&s.output, "output", "o", "text", "how results are written: text or json")
	c.PersistentFlags().BoolVarP(&s.verbose, "verbose", "v", false, "log what goes on, not only what goes wrong")
	c.AddCommand(agentCommand(&s), testbedCommand(&s), registryCommand(&s), upCommand(&s))
	return c
}
