// Command edge-node runs one edge node. The environment variable PROXY_CONFIG names its configuration file.
// On SIGHUP the program reads the file again. On SIGTERM or SIGINT it drains the node and exits with status
// 0. If the configuration is invalid or the node fails, it exits with status 1.
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

// Settings of the garbage collector. The heap has a few megabytes, so that letting it grow fivefold between
// collections costs little memory. The memory limit makes collections more frequent before the node uses up
// its memory.
const (
	gcPercent      = 400 // heap growth between collections, in percent of the live heap
	memoryFraction = 0.6 // Go memory limit, as a fraction of the memory that the node may use
)

func main() {
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// The handler must be installed before anything else, because SIGHUP ends a program that does not handle
	// it. The command in the deploy file ignores SIGHUP until then; nothing is lost, because the file has not
	// been read yet. A SIGHUP during a reload stays in the channel, and the file is read once more.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := edgenode.LoadConfig(os.Getenv)
	if err != nil {
		logger.Error("invalid configuration", "err", err)
		os.Exit(1)
	}
	runtime.GOMAXPROCS(1) // an edge node has one core
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(cfg.MemoryMB) * (1 << 20)))
	}
	if err := edgenode.Run(ctx, cfg, reload, logger); err != nil {
		logger.Error("edge node failed", "err", err)
		os.Exit(1)
	}
}
