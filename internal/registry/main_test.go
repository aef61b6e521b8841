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

// replicaEnv is the environment variable that makes the test binary run as a replica. Its value is a
// [replicaSettings] in JSON.
const replicaEnv = "OPALHOOK_REGISTRY_REPLICA"

func TestMain(m *testing.M) {
	for name, run := range map[string]func(string) error{replicaEnv: runReplica, watchersEnv: runWatchers, encoderEnv: runEncoder} {
		if text := os.Getenv(name); text != "" {
			if name != watchersEnv {
				go exitWithParent()
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

// exitWithParent ends this process when standard input ends, which happens when the parent process ends.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}

// replicaSettings are the parts of a [Config] that can be passed to another process.
type replicaSettings struct {
	Dir, Listen, Raft, Join string
	DialVia                 map[string]string
	WatchOpensPerSecond     float64
}

// runReplica runs a replica until SIGTERM. text is the value of replicaEnv.
func runReplica(text string) error {
	var settings replicaSettings
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return err
	}
	cfg := Config{
		Dir:                 settings.Dir,
		Listen:              settings.Listen,
		Raft:                settings.Raft,
		DialVia:             settings.DialVia,
		Join:                settings.Join,
		WatchOpensPerSecond: settings.WatchOpensPerSecond,
		Logger:              slog.New(slog.NewTextHandler(os.Stderr, nil)),
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s, err := Start(ctx, cfg)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
