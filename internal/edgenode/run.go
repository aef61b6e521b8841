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

	"opalhook/internal/discovery"
	"opalhook/internal/edgenode/follower"
)

// Run runs an edge node until ctx ends, then drains it and returns nil. It returns an error if the node
// cannot start or its listener fails. On each signal from reload it reads the configuration file again, and
// follows the discovery address in it.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger) error {
	return runWithListener(ctx, cfg, reload, logger, func() (*net.TCPListener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	})
}

// process is a running edge node: its components and its goroutines.
type process struct {
	ctx           context.Context    // ends after the drain, which begins when the context given to Run ends
	stop          context.CancelFunc // ends ctx
	cfg           *Config            // configuration read at the start
	log           *slog.Logger
	node          *Node
	discovery     *follower.Client
	discoveryAddr netip.AddrPort // discovery address in use; a reload changes it
	reload        <-chan os.Signal

	background sync.WaitGroup // goroutines that must end before Run returns
}

// runWithListener implements [Run]. It calls listen to open the listener for clients.
func runWithListener(ctx context.Context, cfg *Config, reload <-chan os.Signal, logger *slog.Logger, listen func() (*net.TCPListener, error)) error {
	logger = logger.With("node", cfg.Name)
	nodeCtx, stop := context.WithCancel(context.Background())
	defer stop()
	node, err := newNode(nodeCtx, cfg, logger)
	if err != nil {
		return err
	}
	p := &process{
		ctx: nodeCtx, stop: stop, cfg: cfg, log: logger, node: node,
		discoveryAddr: cfg.Discovery, reload: reload,
	}
	defer p.background.Wait()
	if cfg.PeerListen.IsValid() {
		if node.peers, err = listenPeers(cfg); err != nil {
			return err
		}
		defer node.peers.close() // ends the receiving goroutine, for which background.Wait waits
	}
	p.start()
	defer stop() // runs before background.Wait, whose goroutines end with this context

	if !p.waitForList(ctx) {
		logger.Info("stopped before ready")
		stop()
		node.close()
		return nil
	}
	return p.serve(ctx, listen)
}

// start starts the balancer with the cached list, and the goroutines that end when p.ctx ends or the peer
// socket is closed.
func (p *process) start() {
	if errs := p.cfg.cachedListErrors; len(errs) > 0 {
		p.log.Warn("cached list has malformed entries", "count", discovery.CountFieldErrors(errs), "err", errs[0])
	}
	p.node.startBalancer()
	if p.node.peers != nil {
		p.background.Go(func() { p.node.peers.receive(p.node.receivePeerMessage) })
	}
	p.discovery = follower.NewClient(p.cfg.Discovery, p.newFollower(), p.node.receiveList, p.log)
	p.discovery.MaxMessage = maxListMessage(p.cfg.MemoryMB)
	p.background.Go(func() { p.discovery.Run(p.ctx) })
	p.background.Go(func() { p.node.upstream.ReapIdle(p.ctx) })
}

// newFollower returns a follower that begins at the generation of the cached list.
func (p *process) newFollower() *follower.Follower {
	return follower.New(follower.Config{
		Pushed:       !p.cfg.Settings.PollEndpoints,
		FleetSize:    p.cfg.Settings.NodeCount,
		PollInterval: p.cfg.Settings.PollInterval,
		Generation:   p.cfg.CachedList.Generation,
		Rand:         rand.New(rand.NewPCG(p.cfg.Seed, p.cfg.CachedList.Generation)),
	})
}

// waitForList waits for the first response of discovery, for at most cfg.listWait. The cached list may be out
// of date, and the node must use the list of discovery from its first request on. The listener opens only
// after the wait: a request in the listener's queue would use up its deadline unnoticed. A reload does not
// extend the wait. waitForList returns false if ctx ended before the wait was over.
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

// serve opens the listener and serves clients until ctx ends. Then it drains and closes the node. It returns
// early with an error if the listener fails.
func (p *process) serve(ctx context.Context, listen func() (*net.TCPListener, error)) error {
	tcp, err := listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = tcp.Close() }() // fails after a drain, which has already closed it
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
		case <-p.reload: // also during a drain, because the requests in flight still need the current list
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

// reloadConfig reads the configuration file again and moves the discovery client to the address in it. All
// other changes take effect at the next start. If the file is invalid, nothing changes.
func (p *process) reloadConfig() {
	cfg, err := p.cfg.reload()
	if err != nil {
		p.log.Error("reload failed, keeping the current configuration", "err", err)
		return
	}
	p.log.Info("reloaded", "discovery", cfg.Discovery, "previous", p.discoveryAddr)
	p.discovery.SetAddress(p.ctx, cfg.Discovery)
	p.discoveryAddr = cfg.Discovery
}
