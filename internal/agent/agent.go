package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures an [Agent].
type Config struct {
	Replicas []string // addresses of the list service's replicas, host:port
	Listen   string   // address on which nodes are served, host:port
	Name     string   // name of this machine, unique among the machines of the list service
	Rules    Rules
	Seed     uint64 // seed of the follower's random delays
	Log      *slog.Logger
}

// Status is the agent's report about itself, served at [StatusPath].
type Status struct {
	Generation     uint64  `json:"generation"`     // generation of the list published to nodes
	Endpoints      int     `json:"servers"`        // number of endpoints in the published list
	Watching       bool    `json:"watching"`       // whether a watch at a replica is open
	AgeSeconds     float64 `json:"secondsOld"`     // time since a replica last confirmed the list
	Suspecting     bool    `json:"doubting"`       // whether a newer list is suspect and not yet accepted
	ReplicaCalls   uint64  `json:"calls"`          // number of calls to replicas since the start
	NodeWatches    int64   `json:"watches"`        // number of open watches of nodes
	ListsPublished uint64  `json:"listsPublished"` // number of messages published to nodes since the start
}

// statusInterval is the longest time between two updates of the status.
const statusInterval = time.Second

// minTimer is the shortest delay until the next tick of the follower if no event arrives. It prevents a busy
// loop when a tick is overdue.
const minTimer = time.Millisecond

// Agent follows the list service and serves the list to the nodes on its machine. Use [Start] to create one.
// Its methods are safe for concurrent use.
type Agent struct {
	log    *slog.Logger
	origin time.Time // zero of the follower's clock

	listener   net.Listener
	server     *http.Server
	replicas   *replicaClient
	feed       *feed
	ctx        context.Context // ends the goroutines and calls that the agent started
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	// Used only by the goroutine that executes run, except for sending to events.
	follower       *Follower
	silenceTimeout time.Duration
	cancelWatch    context.CancelFunc // ends the current watch; nil if there is none
	events         chan func(now time.Duration)

	mu           sync.Mutex
	status       FollowerStatus // guarded by mu
	replicaCalls atomic.Uint64
	nodeWatches  atomic.Int64
}

// Start starts an agent, which runs until [Agent.Close]. When ctx ends, the agent stops following replicas
// and ends the watches of nodes, but its server keeps listening until Close. Start returns an error if cfg is
// invalid or the address is not available.
func Start(ctx context.Context, cfg Config) (*Agent, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a := &Agent{
		log:            cfg.Log,
		origin:         time.Now(),
		listener:       listener,
		replicas:       newReplicaClient(cfg.Rules),
		feed:           newFeed(),
		follower:       NewFollower(0, cfg.Name, cfg.Replicas, cfg.Rules, cfg.Seed),
		silenceTimeout: cfg.Rules.SilenceTimeout,
		events:         make(chan func(time.Duration)),
	}
	a.ctx, a.stop = context.WithCancel(ctx)
	a.server = a.newServer()
	a.goroutines.Go(a.run)
	a.goroutines.Go(func() {
		if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("listener failed", "err", err)
		}
	})
	a.log.Info("agent started", "listen", a.Addr(), "replicas", cfg.Replicas)
	return a, nil
}

// validate returns an error that names the first invalid field.
func (c Config) validate() error {
	if len(c.Replicas) == 0 {
		return errors.New("replicas: must name at least one address of the list service, host:port")
	}
	for _, replica := range c.Replicas {
		if _, port, err := net.SplitHostPort(replica); err != nil || port == "" {
			return fmt.Errorf("replicas: must be addresses such as 127.0.0.1:8500, got %q", replica)
		}
	}
	return nil
}

// Addr returns the address on which the agent serves nodes, host:port.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close stops the agent, ends all watches and waits for its goroutines. It returns the error of closing the
// listener.
func (a *Agent) Close() error {
	a.stop()
	err := a.server.Close()
	a.goroutines.Wait()
	return err
}

// Status returns the agent's current status.
func (a *Agent) Status() Status {
	a.mu.Lock()
	follower := a.status
	a.mu.Unlock()
	return Status{
		Generation:     follower.Generation,
		Endpoints:      follower.Endpoints,
		Watching:       follower.Watching,
		AgeSeconds:     follower.Age.Seconds(),
		Suspecting:     follower.Suspecting,
		ReplicaCalls:   a.replicaCalls.Load(),
		NodeWatches:    a.nodeWatches.Load(),
		ListsPublished: a.feed.published.Load(),
	}
}

// run owns the follower. It passes the results of calls to the follower and performs the follower's actions
// until the agent is stopped.
func (a *Agent) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.ctx.Done():
			a.closeWatch()
			return
		case event := <-a.events:
			event(a.now())
		case <-timer.C:
		}
		now := a.now()
		a.follower.Tick(now)
		for _, action := range a.follower.TakeActions() {
			a.perform(action)
		}
		a.updateStatus(now)
		timer.Reset(max(min(a.follower.NextTick()-now, statusInterval), minTimer))
	}
}

// now returns the time on the follower's clock.
func (a *Agent) now() time.Duration { return time.Since(a.origin) }

// updateStatus stores the follower's status, and reports to the feed whether the list service is reachable.
func (a *Agent) updateStatus(now time.Duration) {
	status := a.follower.Status(now)
	a.feed.setLive(status.Watching || status.Age < a.silenceTimeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

// post sends an event, which reports the result of a call to the follower, to the run goroutine. It drops the
// event if the agent has been stopped.
func (a *Agent) post(event func(now time.Duration)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// perform executes an action of the follower.
func (a *Agent) perform(action Action) {
	switch action.Kind {
	case OpenWatch:
		a.openWatch(action)
	case CloseWatch:
		a.closeWatch()
	case FetchSnapshot:
		a.startFetch(action.Replica)
	case PublishList:
		a.publish(action)
	case WriteLog:
		a.log.LogAttrs(a.ctx, action.Record.Level, action.Record.Message, action.Record.Attrs...)
	}
}

// openWatch starts a goroutine that opens a watch, follows it and reports its end to the follower.
func (a *Agent) openWatch(action Action) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.cancelWatch = cancel
	a.replicaCalls.Add(1)
	a.goroutines.Go(func() {
		defer cancel()
		err := a.followWatch(ctx, action)
		a.post(func(now time.Duration) { a.follower.CallFailed(now, action.CallID, retryAfterOf(err), err) })
	})
}

// closeWatch closes the current watch, if there is one.
func (a *Agent) closeWatch() {
	if a.cancelWatch != nil {
		a.cancelWatch()
		a.cancelWatch = nil
	}
}

// followWatch opens a watch and passes its messages and heartbeats to the follower until the watch ends. It
// always returns a non-nil error.
func (a *Agent) followWatch(ctx context.Context, action Action) error {
	watch, err := a.replicas.watch(ctx, action.Replica, action.From)
	if err != nil {
		return err
	}
	defer watch.close()
	a.post(func(now time.Duration) { a.follower.WatchOpened(now, action.CallID) })
	for {
		m, heartbeat, err := watch.next()
		if err != nil {
			return err
		}
		a.post(func(now time.Duration) {
			if heartbeat {
				a.follower.HeartbeatReceived(now, action.CallID)
			} else {
				a.follower.MessageReceived(now, action.CallID, m)
			}
		})
	}
}

// startFetch starts a goroutine that fetches a replica's complete list for the follower.
func (a *Agent) startFetch(replica string) {
	a.replicaCalls.Add(1)
	a.goroutines.Go(func() {
		m, err := a.replicas.fetch(a.ctx, replica)
		a.post(func(now time.Duration) { a.follower.SnapshotReceived(now, replica, m, err) })
	})
}

// publish sends a message of the follower to all nodes.
func (a *Agent) publish(action Action) {
	if err := a.feed.publish(action.List, a.follower.Published()); err != nil {
		a.log.Error("list not encoded", "generation", action.List.Generation, "err", err)
	}
}
