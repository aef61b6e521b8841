// Command edge-node is one edge node on real sockets. The environment variable PROXY_CONFIG names its
// configuration; SIGHUP has it read again, SIGTERM drains the node and ends it.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"opalhook/internal/edgenode"
)

// Garbage collection. The heap is a few megabytes, so that letting it grow fivefold between collections costs little
// memory; the limit, a fraction of what the node may use, makes collections more frequent before that runs out.
const (
	gcPercent      = 400
	memoryFraction = 0.6
)

func main() {
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// Before anything else: SIGHUP ends a program that does not handle it. One that comes during a reload is kept,
	// and the file is read once more. One that comes before this line is ignored by the deploy file's command, and
	// the file has not been read yet.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := edgenode.LoadConfig(os.Getenv)
	if err != nil {
		logger.Error("invalid configuration", "err", err)
		os.Exit(1)
	}
	runtime.GOMAXPROCS(1) // the node has one core
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(cfg.MemoryMB) * (1 << 20)))
	}
	if err := edgenode.Run(ctx, cfg, reload, logger); err != nil {
		logger.Error("edge node failed", "err", err)
		os.Exit(1)
	}
}
