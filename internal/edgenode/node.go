// Package edgenode is the edge node: the host of a [balancer.Balancer] on sockets. It moves bytes, keeps the
// clock and enforces what the balancer relies on; where a request is sent, and whether it is rejected or retried,
// is decided in package balancer alone.
//
// A request passes through it as follows: a connection is accepted by the client listener and counted in the
// connection table; the frontend parses the request and starts it at the [Node], which hands it to the balancer;
// the balancer's actions start attempts, each of which is one exchange of the upstream; the first good response,
// or the balancer's rejection, goes back through the frontend. The discovery client keeps the list of endpoints
// current beside that.
package edgenode

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/upstream"
	"opalhook/internal/settings"
)

// Node hosts the balancer of one edge node. Its events come from many goroutines; one mutex makes them one
// sequence. The balancer's actions change the node's state under the mutex; what does I/O runs after it is
// released, or in a goroutine of its own.
type Node struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx       context.Context
	upstream  *upstream.Pool
	peers     *peerSocket // nil where edge nodes don't message each other

	mu         sync.Mutex
	balancer   *balancer.Balancer
	inflight   map[string]*inflightRequest // by request id
	deferred   []func()                    // what the current event leaves to do without the mutex
	closed     bool                        // no more events
	background sync.WaitGroup              // attempts and health checks
}

// newNode makes a node whose goroutines end with ctx.
func newNode(ctx context.Context, cfg *Config, logger *slog.Logger) (*Node, error) {
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, settings.PlatformError(err)
	}
	return &Node{
		cfg:       cfg,
		log:       logger,
		startedAt: time.Now(),
		ctx:       ctx,
		balancer:  b,
		inflight:  map[string]*inflightRequest{},
		upstream:  upstream.New(cfg.Transport, maxServerConns(cfg.Sockets)),
	}, nil
}

// now reads the clock: Unix time, so that the start times in lists compare to it, that never goes back.
func (n *Node) now() time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + time.Since(n.startedAt)
}

// handleEvent runs one event of the balancer, then what its actions deferred. It reports whether the event was
// handled: a panic in the balancer is logged, with its stack, and costs this event only.
func (n *Node) handleEvent(event func(now time.Duration, out balancer.Actions)) bool {
	n.mu.Lock()
	ok := !n.closed && n.runGuarded(event)
	deferred := n.deferred
	n.deferred = nil
	n.mu.Unlock()
	for _, do := range deferred {
		do()
	}
	return ok
}

func (n *Node) runGuarded(event func(now time.Duration, out balancer.Actions)) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := string(debug.Stack())
			n.logDeferred(slog.LevelError, "panic in the balancer", "err", cause, "stack", stack)
		}
	}()
	event(n.now(), (*actions)(n))
	return true
}

// logDeferred logs once the mutex is released. Called under the mutex.
func (n *Node) logDeferred(level slog.Level, message string, attributes ...any) {
	n.deferred = append(n.deferred, func() { n.log.Log(n.ctx, level, message, attributes...) })
}

// close ends the node's events, then waits for its attempts and health checks, whose context has ended.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.background.Wait()
	n.upstream.Close()
}

// startBalancer starts the balancer with the cached list.
func (n *Node) startBalancer() {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.Start(now, out) })
	n.updateEndpoints(n.cfg.CachedList, balancer.UpdateCached)
}

// updateEndpoints applies a list to the upstream's connections and to the balancer, as one event.
func (n *Node) updateEndpoints(l endpointlist.List, kind balancer.UpdateKind) {
	endpoints := make([]balancer.Endpoint, len(l.Endpoints))
	for i, s := range l.Endpoints {
		endpoints[i] = s.Endpoint
	}
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.deferred = append(n.deferred, n.upstream.Update(l.Endpoints, kind != balancer.UpdateDelta))
		n.balancer.EndpointsUpdated(now, kind, endpoints, out)
	})
}

// receiveList applies a message of discovery.
func (n *Node) receiveList(l endpointlist.List) {
	kind := balancer.UpdateDelta
	if l.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	n.updateEndpoints(l, kind)
}

// receivePeerMessage passes a message of a peer on.
func (n *Node) receivePeerMessage(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.PeerMessage(now, from, message, out) })
}
