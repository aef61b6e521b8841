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

	"opalhook/internal/edgenode/follower"
)

// Run runs an edge node until ctx ends, then drains it. At each signal on reload it reads its configuration
// again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger) error {
	return runWithListener(ctx, cfg, reload, logger, func() (*net.TCPListener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	})
}

// process is an edge node that runs: its parts, and the goroutines that it awaits at its end.
type process struct {
	ctx       context.Context // ends with the node: later than the one that Run was given, by the drain
	stop      context.CancelFunc
	cfg       *Config
	log       *slog.Logger
	node      *Node
	discovery *follower.Client
	following netip.AddrPort // the address of discovery in force
	reload    <-chan os.Signal

	background sync.WaitGroup
}

// runWithListener is Run on the listener that listen opens.
func runWithListener(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger, listen func() (*net.TCPListener, error)) error {
	logger = logger.With("node", cfg.Name)
	nodeCtx, stop := context.WithCancel(context.Background())
	defer stop()
	node, err := newNode(nodeCtx, cfg, logger)
	if err != nil {
		return err
	}
	p := &process{ctx: nodeCtx, stop: stop, cfg: cfg, log: logger, node: node, following: cfg.Discovery, reload: reload}
	defer p.background.Wait()
	if cfg.PeerListen.IsValid() {
		if node.peers, err = listenPeers(cfg); err != nil {
			return err
		}
		defer node.peers.close() // ends its receiving goroutine, which is awaited after
	}
	p.start()
	defer stop() // before the wait for the goroutines that end with it

	if !p.waitForList(ctx) {
		logger.Info("stopped before ready")
		stop()
		node.close()
		return nil
	}
	return p.serve(ctx, listen)
}

// start begins with the cached list, and starts the goroutines that end with the node or with the peers' socket.
func (p *process) start() {
	if errs := p.cfg.cachedListErrors; len(errs) > 0 {
		p.log.Warn("cached list has malformed entries", "count", len(errs), "err", errs[0])
	}
	p.node.startBalancer()
	if p.node.peers != nil {
		p.background.Go(func() { p.node.peers.receive(p.node.receivePeerMessage) })
	}
	p.discovery = follower.NewClient(p.cfg.Discovery, p.newFollower(), p.node.receiveList, p.log)
	p.background.Go(func() { p.discovery.Run(p.ctx) })
	p.background.Go(func() { p.node.upstream.ReapIdle(p.ctx) })
}

// newFollower returns the follower of the configured discovery, from the cached list on.
func (p *process) newFollower() *follower.Follower {
	return follower.New(follower.Config{
		Pushed:       !p.cfg.Settings.PollEndpoints,
		FleetSize:    p.cfg.Settings.NodeCount,
		PollInterval: p.cfg.Settings.PollInterval,
		Version:      p.cfg.CachedList.Generation,
		Rand:         rand.New(rand.NewPCG(p.cfg.Seed, p.cfg.CachedList.Generation)),
	})
}

// waitForList waits until discovery has reported what it has, for the configured time at most: the cached list
// may be old, and what discovery has counts from the first moment. The listener opens after it, since time that
// a request spends in the listener's queue cannot be seen. A reload does not extend the wait. It returns false if
// ctx has ended.
func (p *process) waitForList(ctx context.Context) bool {
	timeout := time.NewTimer(p.cfg.listWait)
	defer timeout.Stop()
	for {
		select {
		case <-p.discovery.Responded():
			return true
		case <-timeout.C:
			p.log.Warn("no list from discovery yet, serving from the cached list",
				"generation", p.cfg.CachedList.Generation)
			return true
		case <-p.reload:
			p.reloadConfig()
		case <-ctx.Done():
			return false
		}
	}
}

// serve answers clients until ctx ends, then drains and ends the node.
func (p *process) serve(ctx context.Context, listen func() (*net.TCPListener, error)) error {
	tcp, err := listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = tcp.Close() }() // a drain has closed it already
	f := newFrontend(p.node)
	listener := newClientListener(tcp, f.conns)
	served := make(chan error, 1)
	p.background.Go(func() { served <- f.serve(listener) })
	f.ready.Store(true)
	p.log.Info("ready", "listen", p.cfg.Listen, "endpoints", len(p.cfg.CachedList.Endpoints),
		"pushed", !p.cfg.Settings.PollEndpoints)

	ending := ctx.Done()
	drained := make(chan struct{})
	for {
		select {
		case err := <-served:
			if err != nil {
				return err
			}
		case <-p.reload: // also in a drain, in which endpoints are still selected
			p.reloadConfig()
		case <-ending:
			ending = nil
			p.log.Info("draining")
			p.background.Go(func() {
				f.drain(listener)
				close(drained)
			})
		case <-drained:
			p.stop()
			p.node.close()
			p.log.Info("drained")
			return nil
		}
	}
}

// reloadConfig reads the configuration again and follows the list at the discovery address that it names; the
// rest of it takes effect at the next start. If it is invalid, the one in force stays.
func (p *process) reloadConfig() {
	cfg, err := p.cfg.reload()
	if err != nil {
		p.log.Error("reload failed, configuration in force stays", "err", err)
		return
	}
	p.log.Info("reloaded", "discovery", cfg.Discovery, "previous", p.following)
	p.discovery.Move(p.ctx, cfg.Discovery)
	p.following = cfg.Discovery
}
