// Package edgenode implements the edge node: it hosts a [balancer.Balancer] and connects it to clients, app
// servers, discovery and peers over sockets. The package does the I/O, provides the clock and timers, and
// enforces the limits that the balancer relies on, such as deadlines. Package balancer alone decides which
// endpoint receives a request, and whether the request is rejected or retried.
//
// A request passes through the package in these steps:
//
//   - The client listener accepts the connection and adds it to the connection table.
//   - The frontend parses the request and passes it to the [Node], which passes it to the balancer.
//   - The balancer starts attempts through its actions. Each attempt is one exchange of the upstream pool.
//   - The frontend writes the final response to the client: the first successful response of an app server,
//     the rejection or failure that the balancer decided on, or a failure at the deadline.
//
// Meanwhile a discovery client keeps the endpoint list up to date.
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

// Node hosts the balancer of one edge node. Many goroutines send events to the balancer; a mutex serializes
// them. The balancer's actions change the state of the node with the mutex held. Actions that do I/O run
// after the mutex is released, or in goroutines of their own.
type Node struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time // origin of the node's clock, see now
	ctx       context.Context
	upstream  *upstream.Pool
	peers     *peerSocket // nil if edge nodes exchange no messages

	repeatable map[string]bool // classes whose requests may run more than once, by name

	mu         sync.Mutex
	balancer   *balancer.Balancer
	inflight   map[string]*inflightRequest // by request id
	recent     recentIDs                   // ids of requests that have ended
	addresses  endpointlist.AddressIndex   // of the latest list
	deferred   []func()                    // work of the current event to run once the mutex is released
	closed     bool                        // the node handles no more events
	background sync.WaitGroup              // goroutines of attempts and health checks
}

// newNode returns a node whose attempts and health checks end when ctx ends. It fails if the settings are
// invalid.
func newNode(ctx context.Context, cfg *Config, logger *slog.Logger) (*Node, error) {
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, settings.PlatformError(err)
	}
	pool := upstream.New(cfg.Transport, maxServerConns(cfg.Sockets))
	pool.LimitResponseMemory(maxResponseMemory(cfg.MemoryMB))
	return &Node{
		cfg:        cfg,
		log:        logger,
		startedAt:  time.Now(),
		ctx:        ctx,
		balancer:   b,
		inflight:   map[string]*inflightRequest{},
		recent:     newRecentIDs(max(longestWait(&cfg.Settings), minIDWindow), maxRecentIDs(cfg.MemoryMB)),
		repeatable: repeatableClasses(&cfg.Settings),
		upstream:   pool,
	}, nil
}

// repeatableClasses returns the names of the classes whose requests may run more than once.
func repeatableClasses(s *balancer.Settings) map[string]bool {
	repeatable := map[string]bool{}
	for _, c := range s.Classes {
		repeatable[c.Name] = c.Idempotency == balancer.Idempotent
	}
	return repeatable
}

// longestWait returns the longest time from a request's arrival to the deadline of its final response.
func longestWait(s *balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + s.ResponseSlack
}

// now returns the time of the node's clock, as the time since the Unix epoch, so that it can be compared with
// the start times in endpoint lists. The clock is monotonic: it adds the monotonic time since startedAt to
// startedAt.
func (n *Node) now() time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + time.Since(n.startedAt)
}

// handleEvent runs one event of the balancer with the mutex held, then the work that its actions deferred. It
// returns false if the node is closed or the balancer panicked. It logs a panic with its stack; later events
// are still handled.
func (n *Node) handleEvent(event func(now time.Duration, out balancer.Actions)) bool {
	n.mu.Lock()
	ok := !n.closed && n.runWithRecover(event)
	deferred := n.deferred
	n.deferred = nil
	n.mu.Unlock()
	for _, do := range deferred {
		do()
	}
	return ok
}

// runWithRecover runs an event. If it panics, runWithRecover logs the panic and returns false. The caller
// holds the mutex.
func (n *Node) runWithRecover(event func(now time.Duration, out balancer.Actions)) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := string(debug.Stack())
			n.logDeferred(slog.LevelError, "panic in the balancer", "err", cause, "stack", stack)
		}
	}()
	event(n.now(), (*actions)(n))
	return true
}

// logDeferred writes a log record once the mutex is released. The caller holds the mutex.
func (n *Node) logDeferred(level slog.Level, message string, attributes ...any) {
	n.deferred = append(n.deferred, func() { n.log.Log(n.ctx, level, message, attributes...) })
}

// close stops the handling of events, waits for the attempts and health checks to end, and closes the idle
// connections to app servers. The context of the node must have ended before.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.background.Wait()
	n.upstream.Close()
}

// startBalancer starts the balancer and gives it the cached list.
func (n *Node) startBalancer() {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.Start(now, out) })
	n.updateEndpoints(n.cfg.CachedList, balancer.UpdateCached)
}

// updateEndpoints passes a list to the upstream pool and to the balancer in one event.
func (n *Node) updateEndpoints(l endpointlist.List, kind balancer.UpdateKind) {
	complete := kind != balancer.UpdateDelta
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		entries := n.addresses.Resolve(l.Endpoints, complete)
		endpoints := make([]balancer.Endpoint, len(entries))
		for i, s := range entries {
			endpoints[i] = s.Endpoint
		}
		n.deferred = append(n.deferred, n.upstream.Update(entries, complete))
		n.balancer.EndpointsUpdated(now, kind, endpoints, out)
	})
}

// receiveList applies a list received from discovery.
func (n *Node) receiveList(l endpointlist.List) {
	kind := balancer.UpdateDelta
	if l.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	n.updateEndpoints(l, kind)
}

// receivePeerMessage passes a message of a peer to the balancer. from is the node index of the peer.
func (n *Node) receivePeerMessage(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.PeerMessage(now, from, message, out) })
}
