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

// Config is what an agent is started with.
type Config struct {
	Replicas []string // addresses of the list service, host:port
	Listen   string   // address for the nodes, host:port
	Name     string   // of this machine; it must differ from machine to machine
	Rules    Rules
	Seed     uint64 // of the random backoffs
	Log      *slog.Logger
}

// Status is what an agent reports of itself at /agent/status.
type Status struct {
	Generation     uint64  `json:"generation"`     // that nodes are sent
	Endpoints      int     `json:"servers"`        // in the list that nodes are sent
	Watching       bool    `json:"watching"`       // a replica's watch is open
	AgeSeconds     float64 `json:"secondsOld"`     // since a replica last confirmed the list
	Suspecting     bool    `json:"doubting"`       // a newer list is suspect and not accepted yet
	ReplicaCalls   uint64  `json:"calls"`          // of replicas, since the start
	NodeWatches    int64   `json:"watches"`        // that are open
	ListsPublished uint64  `json:"listsPublished"` // messages to the nodes, since the start
}

// statusInterval is how often the status is renewed when nothing happens.
const statusInterval = time.Second

// minTimer keeps the follower's timer from firing in a loop.
const minTimer = time.Millisecond

// Agent follows the list service and serves the list to the nodes on its machine. [Start] starts one.
type Agent struct {
	log    *slog.Logger
	origin time.Time // of the follower's clock

	listener   net.Listener
	server     *http.Server
	replicas   *replicaClient
	feed       *feed
	ctx        context.Context // of all that the agent has started
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	// Of the goroutine of run.
	follower       *Follower
	silenceTimeout time.Duration
	closeWatch     context.CancelFunc
	events         chan func(now time.Duration)

	mu           sync.Mutex
	status       FollowerStatus
	replicaCalls atomic.Uint64
	nodeWatches  atomic.Int64
}

// Start starts an agent. It runs until [Agent.Close]; when ctx ends it follows no replica any more and ends the watches
// of nodes.
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

// validate returns an error that names the first field that an agent can't work with.
func (c Config) validate() error {
	if len(c.Replicas) == 0 {
		return errors.New("replicas: none is named; addresses of the list service are wanted")
	}
	for _, replica := range c.Replicas {
		if _, port, err := net.SplitHostPort(replica); err != nil || port == "" {
			return fmt.Errorf("replicas: %q is no address such as 127.0.0.1:8500", replica)
		}
	}
	return nil
}

// Addr returns the address for nodes.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent and its watches. It returns the error of closing the listener.
func (a *Agent) Close() error {
	a.stop()
	err := a.server.Close()
	a.goroutines.Wait()
	return err
}

// Status returns what the agent reports of itself.
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

// run owns the follower: it takes in what calls bring and carries out the follower's actions, until the agent ends.
func (a *Agent) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.ctx.Done():
			a.endWatch()
			return
		case event := <-a.events:
			event(a.now())
		case <-timer.C:
		}
		now := a.now()
		a.follower.Tick(now)
		for _, action := range a.follower.DrainActions() {
			a.perform(action)
		}
		a.updateStatus(now)
		timer.Reset(max(min(a.follower.NextTick()-now, statusInterval), minTimer))
	}
}

// now returns the time on the follower's clock.
func (a *Agent) now() time.Duration { return time.Since(a.origin) }

// updateStatus publishes the state of the follower.
func (a *Agent) updateStatus(now time.Duration) {
	status := a.follower.Status(now)
	a.feed.setLive(status.Watching || status.Age < a.silenceTimeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

// post hands an event to the goroutine of run.
func (a *Agent) post(event func(now time.Duration)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// perform carries out an action of the follower.
func (a *Agent) perform(action Action) {
	switch action.Kind {
	case OpenWatch:
		a.openWatch(action)
	case CloseWatch:
		a.endWatch()
	case FetchSnapshot:
		a.openFetch(action.Replica)
	case PublishList:
		a.publish(action)
	case LogEvent:
		a.log.LogAttrs(a.ctx, action.Event.Level, action.Event.Message, action.Event.Attrs...)
	}
}

// openWatch starts a goroutine that follows a watch to its end.
func (a *Agent) openWatch(action Action) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.closeWatch = cancel
	a.replicaCalls.Add(1)
	a.goroutines.Go(func() {
		defer cancel()
		err := a.followWatch(ctx, action)
		a.post(func(now time.Duration) { a.follower.CallFailed(now, action.CallID, retryAfterOf(err), err) })
	})
}

// endWatch closes the current watch, if there is one.
func (a *Agent) endWatch() {
	if a.closeWatch != nil {
		a.closeWatch()
		a.closeWatch = nil
	}
}

// followWatch hands what a watch brings to the follower until the watch ends. It always returns an error.
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

// openFetch starts a goroutine that fetches a replica's complete list.
func (a *Agent) openFetch(replica string) {
	a.replicaCalls.Add(1)
	a.goroutines.Go(func() {
		m, err := a.replicas.fetch(a.ctx, replica)
		a.post(func(now time.Duration) { a.follower.SnapshotReceived(now, replica, m, err) })
	})
}

// publish makes a message of the follower what nodes are sent.
func (a *Agent) publish(action Action) {
	if err := a.feed.publish(action.List, a.follower.Published()); err != nil {
		a.log.Error("list not encoded", "generation", action.List.Generation, "err", err)
	}
}
