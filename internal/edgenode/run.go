package edgenode

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Run runs an edge node until ctx ends, then drains it. At each signal on reload it
// reads its configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger) error {
	return runWithListener(ctx, cfg, reload, logger, func() (*net.TCPListener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	})
}

// runWithListener is Run on the listener that listen opens.
func runWithListener(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger, listen func() (*net.TCPListener, error)) error {
	life, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(life, cfg, logger)
	if err != nil {
		return err
	}
	var side sync.WaitGroup
	defer side.Wait()
	if cfg.PeerListen.IsValid() {
		if n.peers, err = listenPeers(cfg); err != nil {
			return err
		}
		defer n.peers.conn.Close()
	}
	if len(cfg.knownErrors) > 0 {
		logger.Warn("known: some of the list is spoilt", "count", len(cfg.knownErrors), "first", cfg.knownErrors[0])
	}
	n.startBalancer()
	if n.peers != nil {
		side.Go(func() { n.peers.receive(n.receivePeerMessage) })
	}
	reg := newDiscoveryClient(cfg.Discovery, follower{pushed: !cfg.Settings.PollEndpoints, fleetSize: cfg.Settings.NodeCount,
		pollInterval: cfg.Settings.PollInterval, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.CachedList.Generation)),
		version: cfg.CachedList.Generation}, n.receiveList, logger)
	side.Go(func() { reg.run(life) })
	side.Go(func() { n.upstream.reapIdle(life) })
	defer stop() // before the wait for what life owns

	at := cfg.Discovery
	reread := func() { at = reloadConfig(life, n, reg, at) }
	if !waitForList(ctx, cfg.listWait, reg.responded, reload, reread, logger) {
		logger.Info("ended before it was ready", "node", cfg.Name)
		stop()
		n.close()
		return nil
	}
	tcp, err := listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer tcp.Close()
	f := newFrontend(n)
	ln := newClientListener(tcp, f.conns)
	failed := make(chan error, 1)
	side.Go(func() { failed <- f.serve(ln) })
	f.ready.Store(true)
	logger.Info("ready", "node", cfg.Name, "listen", cfg.Listen, "servers", len(cfg.CachedList.Servers),
		"pushed", !cfg.Settings.PollEndpoints)
	ending := ctx.Done()
	drained := make(chan struct{})
	for {
		select {
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-reload: // also while it drains: it still chooses servers
			reread()
		case <-ending:
			ending = nil
			logger.Info("draining", "node", cfg.Name)
			side.Go(func() { f.drain(ln); close(drained) })
		case <-drained:
			stop()
			n.close()
			logger.Info("drained", "node", cfg.Name)
			return nil
		}
	}
}

// waitForList waits until discovery has told what it has, for some time at most. The saved list may be old, and what
// discovery has counts from the first moment. Clients are refused meanwhile: the wait of a request that stands in
// the listener's line passes unseen. A reload does not make the wait longer. It returns false if ctx has ended.
func waitForList(ctx context.Context, most time.Duration, heard <-chan struct{}, reload <-chan os.Signal, reread func(), logger *slog.Logger) bool {
	waited := time.NewTimer(most)
	defer waited.Stop()
	for {
		select {
		case <-heard:
			return true
		case <-waited.C:
			logger.Warn("discovery has told nothing yet: the saved list holds")
			return true
		case <-reload:
			reread()
		case <-ctx.Done():
			return false
		}
	}
}

// reloadConfig reads the configuration again and follows the list at the discovery that it names; what
// else it says holds from the next start. A configuration that can't be is logged, and the one in
// force stays. It returns where the list is followed.
func reloadConfig(ctx context.Context, n *Node, reg *discoveryClient, at netip.AddrPort) netip.AddrPort {
	cfg, err := n.cfg.reload()
	if err != nil {
		n.log.Error("reload: the configuration in force stays", "err", err)
		return at
	}
	if cfg.Discovery == at {
		n.log.Info("reload: discovery stays", "at", at)
	} else {
		n.log.Info("reload: discovery moves", "from", at, "to", cfg.Discovery)
	}
	reg.move(ctx, cfg.Discovery)
	return cfg.Discovery
}
