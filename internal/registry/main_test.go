package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// asReplica names the variable that makes the test binary a replica: its value is the
// configuration.
const replicaEnv = "OPALHOOK_REGISTRY_REPLICA"

func TestMain(m *testing.M) {
	for name, run := range map[string]func(string) error{replicaEnv: runReplica, watchersEnv: runWatchers, encoderEnv: runEncoder} {
		if text := os.Getenv(name); text != "" {
			if name != watchersEnv {
				go func() { // standard input ends with the process that started this one
					io.Copy(io.Discard, os.Stdin)
					os.Exit(1)
				}()
			}
			if err := run(text); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			return
		}
	}
	os.Exit(m.Run())
}

func runReplica(text string) error {
	var cfg Config
	var plain struct {
		Dir, Listen, Raft, Join string
		Via                     map[string]string
		Joins                   float64
	}
	if err := json.Unmarshal([]byte(text), &plain); err != nil {
		return err
	}
	cfg.Dir, cfg.Listen, cfg.Raft, cfg.Join, cfg.DialVia, cfg.WatchOpensPerSecond = plain.Dir, plain.Listen, plain.Raft, plain.Join, plain.Via, plain.Joins
	cfg.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s, err := Start(ctx, cfg)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
