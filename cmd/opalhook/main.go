// Command opalhook is the operators' command line. It runs replicas and agents of the list service, reads and
// changes the list of app servers, and runs the testbed.
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

// errChecksFailed ends the command with exitChecksFailed. main prints no message for it: the command has
// already reported the failed runs, with the violated rules and the failed expectations.
var errChecksFailed = errors.New("a rule was violated or an expectation was not met")

// usageError is an error in the user's input, such as an invalid scenario, range or name. It ends the command
// with exitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Exit codes.
const (
	exitError        = 1   // the command failed
	exitUsage        = 2   // invalid input
	exitChecksFailed = 3   // completed, but a run failed its checks, or a sweep could not run a scenario
	exitSignal       = 130 // terminated by a signal, as shells report SIGINT
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errChecksFailed):
		os.Exit(exitChecksFailed)
	case ctx.Err() != nil:
		fmt.Fprintln(os.Stderr, "opalhook: interrupted by a signal")
		os.Exit(exitSignal)
	default:
		fmt.Fprintln(os.Stderr, "opalhook:", err)
		if errors.As(err, new(usageError)) {
			os.Exit(exitUsage)
		}
		os.Exit(exitError)
	}
}

// globalFlags are the flags that all subcommands share.
type globalFlags struct {
	output  string
	verbose bool
}

func (s *globalFlags) json() bool { return s.output == "json" }

func (s *globalFlags) logger() *slog.Logger {
	level := slog.LevelWarn
	if s.verbose {
		level = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func root() *cobra.Command {
	var s globalFlags
	c := &cobra.Command{
		Use:           "opalhook",
		Short:         "Operate and test a fleet of opalhook edge nodes",
		Example:       "  opalhook up\n  opalhook testbed run scenarios/quiet.toml --seed 1",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if s.output != "text" && s.output != "json" {
				return fmt.Errorf("--output: must be text or json, got %q", s.output)
			}
			return nil
		},
	}
	c.PersistentFlags().StringVarP(&s.output, "output", "o", "text", "output format: text or json")
	c.PersistentFlags().BoolVarP(&s.verbose, "verbose", "v", false, "log informational messages, not only warnings and errors")
	c.AddCommand(agentCommand(&s), testbedCommand(&s), registryCommand(&s), upCommand(&s))
	return c
}
