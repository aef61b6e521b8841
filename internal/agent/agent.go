package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config is what an agent is started with.
type Config struct {
	Replicas []string // HTTP addresses of the list service
	Listen   string   // for the edge node beside it
	Name     string   // of this machine
	Rules    Rules
	Seed     uint64
	Log      *slog.Logger
}

const (
	maxLine           = 8 << 20 // bytes of a message; 5,000 entries are about 1 MB
	heartbeatInterval = 2 * time.Second
	nodeWriteTimeout  = 5 * time.Second // a node that takes nothing for so long is dropped
	nodeHeaderTimeout = 3 * time.Second
	maxHistory        = 512 // messages that a node may have missed
)

// Status is what an agent says of itself.
type Status struct {
	Generation     uint64  `json:"generation"`
	Endpoints      int     `json:"servers"`
	Watching       bool    `json:"watching"`       // a replica's watch is open
	AgeSeconds     float64 `json:"secondsOld"`     // since a replica was last heard
	Suspecting     bool    `json:"doubting"`       // a list is not taken at face value yet
	ReplicaCalls   uint64  `json:"calls"`          // of replicas, so far
	NodeWatches    int64   `json:"watches"`        // of nodes
	ListsPublished uint64  `json:"listsPublished"` // to them
}

// Agent follows the list service and serves what it holds to the edge nodes beside it.
type Agent struct {
	cfg        Config
	log        *slog.Logger
	origin     time.Time
	events     chan func(now time.Duration)
	client     *http.Client
	listener   net.Listener
	server     *http.Server
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	follower   *Follower // of the goroutine that runs
	closeWatch context.CancelFunc

	mu             sync.Mutex
	snapshot       []byte // the whole list as a line; nil: nothing is held yet
	generation     uint64 // its generation
	history        []published
	updated        chan struct{} // closed at the next message
	heartbeats     bool          // the service is heard: beats go to the nodes
	status         Status
	replicaCalls   atomic.Uint64
	nodeWatches    atomic.Int64
	listsPublished atomic.Uint64
}

// published is one message as a node gets it that holds the version before.
type published struct {
	before, generation uint64
	text               []byte
}

// Start starts an agent; Close ends it.
func Start(ctx context.Context, cfg Config) (*Agent, error) {
	if len(cfg.Replicas) == 0 {
		return nil, errors.New("replicas: none is named; addresses of the list service are wanted")
	}
	for _, r := range cfg.Replicas {
		if _, port, err := net.SplitHostPort(r); err != nil || port == "" {
			return nil, fmt.Errorf("replicas: %q is no address such as 127.0.0.1:8500", r)
		}
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a := &Agent{cfg: cfg, log: cfg.Log, origin: time.Now(), events: make(chan func(time.Duration)), listener: ln, updated: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: cfg.Rules.DialTimeout}).DialContext,
			ResponseHeaderTimeout: cfg.Rules.DialTimeout}}}
	a.ctx, a.stop = context.WithCancel(ctx)
	a.follower = NewFollower(0, cfg.Name, cfg.Replicas, cfg.Rules, cfg.Seed)
	a.server = &http.Server{Handler: a.routes(), ReadHeaderTimeout: nodeHeaderTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	a.goroutines.Go(a.run)
	a.goroutines.Go(func() {
		if err := a.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("the agent's listener ended", "err", err)
		}
	})
	a.log.Info("agent", "listen", a.Addr(), "replicas", cfg.Replicas)
	return a, nil
}

// Addr is the address for nodes.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent and its watches.
func (a *Agent) Close() error {
	a.stop()
	err := a.server.Close()
	a.goroutines.Wait()
	return err
}

// Status says how the agent is.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.status
	s.ReplicaCalls, s.NodeWatches, s.ListsPublished = a.replicaCalls.Load(), a.nodeWatches.Load(), a.listsPublished.Load()
	return s
}

// run owns the follower: it takes in what the calls meet and does what the follower wants.
func (a *Agent) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.ctx.Done():
			if a.closeWatch != nil {
				a.closeWatch()
			}
			return
		case event := <-a.events:
			event(time.Since(a.origin))
		case <-timer.C:
		}
		now := time.Since(a.origin)
		a.follower.Tick(now)
		for _, act := range a.follower.DrainActions() {
			a.perform(act)
		}
		a.updateStatus(now)
		timer.Reset(max(min(a.follower.NextTick()-now, time.Second), time.Millisecond)) // the age is shown each second
	}
}

// show takes down how the follower is.
func (a *Agent) updateStatus(now time.Duration) {
	generation, servers, age := a.follower.Status(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = Status{Generation: generation, Endpoints: servers, Watching: a.follower.Watching(), AgeSeconds: age.Seconds(), Suspecting: a.follower.Suspecting()}
	a.heartbeats = a.follower.Watching() || age < a.cfg.Rules.SilenceTimeout
}

// tell hands an event to the goroutine that runs.
func (a *Agent) post(event func(now time.Duration)) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

func (a *Agent) perform(act Action) {
	switch act.Kind {
	case CloseWatch:
		if a.closeWatch != nil {
			a.closeWatch()
			a.closeWatch = nil
		}
	case OpenWatch:
		ctx, cancel := context.WithCancel(a.ctx)
		a.closeWatch = cancel
		a.replicaCalls.Add(1)
		a.goroutines.Go(func() {
			defer cancel()
			retryAfter, err := a.followWatch(ctx, act)
			a.post(func(now time.Duration) { a.follower.CallFailed(now, act.Call, retryAfter, err.Error()) })
		})
	case FetchSnapshot:
		a.replicaCalls.Add(1)
		a.goroutines.Go(func() {
			m, err := a.fetchSnapshot(act.Replica)
			a.post(func(now time.Duration) { a.follower.SnapshotReceived(now, act.Replica, m, err) })
		})
	case PublishList:
		a.publish(act.List)
	case LogEvent:
		a.log.Warn("list service", "note", act.Text)
	}
}

// get calls a replica; the answer is one of 200.
func (a *Agent) get(ctx context.Context, url string) (resp *http.Response, retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err = a.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 && s <= 60 {
			retryAfter = time.Duration(s) * time.Second
		}
		return nil, retryAfter, fmt.Errorf("answers %s", resp.Status)
	}
	return resp, 0, nil
}

// follow follows a watch to its end, which always has a reason.
func (a *Agent) followWatch(ctx context.Context, act Action) (retryAfter time.Duration, err error) {
	resp, retryAfter, err := a.get(ctx, fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", act.Replica, act.From))
	if err != nil {
		return retryAfter, err
	}
	defer resp.Body.Close()
	a.post(func(now time.Duration) { a.follower.WatchOpened(now, act.Call) })
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			a.post(func(now time.Duration) { a.follower.HeartbeatReceived(now, act.Call) })
			continue
		}
		var m Message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return 0, fmt.Errorf("malformed line: %w", err)
		}
		a.post(func(now time.Duration) { a.follower.MessageReceived(now, act.Call, m) })
	}
	if err := lines.Err(); err != nil {
		return 0, err
	}
	return 0, errors.New("ended the watch")
}

// ask gets a replica's whole list.
func (a *Agent) fetchSnapshot(replica string) (m Message, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Rules.SilenceTimeout)
	defer cancel()
	resp, _, err := a.get(ctx, "http://"+replica+"/registry/instances")
	if err != nil {
		return m, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}

// publish hands a message on to the nodes, encoded once for all.
func (a *Agent) publish(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		a.log.Error("a list can't be written", "err", err) // not with what check lets through
		return
	}
	whole, err := json.Marshal(a.follower.Published())
	if err != nil {
		a.log.Error("a list can't be written", "err", err)
		return
	}
	a.listsPublished.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Reset {
		a.history = nil
	} else {
		if len(a.history) == maxHistory {
			a.history = append(a.history[:0], a.history[1:]...)
		}
		a.history = append(a.history, published{a.generation, m.Generation, append(text, '\n')})
	}
	a.snapshot, a.generation = append(whole, '\n'), m.Generation
	close(a.updated)
	a.updated = make(chan struct{})
}

// since is what a node gets that holds a version: lines and the version after them. One that
// holds more than this agent, or where nothing is held, gets nothing: it is never shown the past.
func (a *Agent) updatesSince(from uint64) (lines [][]byte, at uint64, more chan struct{}, speaks bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, more, speaks = a.generation, a.updated, a.heartbeats && a.generation > 0
	switch {
	case a.generation == 0, from > a.generation:
		return nil, from, more, speaks && a.generation > 0 && from <= a.generation
	case from == a.generation:
		return nil, at, more, speaks
	}
	for i, p := range a.history {
		if p.before == from {
			for _, q := range a.history[i:] {
				lines = append(lines, q.text)
			}
			return lines, at, more, speaks
		}
	}
	return [][]byte{a.snapshot}, at, more, speaks
}

func (a *Agent) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /registry/instances", a.serveInstances)
	m.HandleFunc("GET /agent/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(a.Status())
	})
	return m
}

// serve answers the platform's discovery protocol. While nothing is held it is silent.
func (a *Agent) serveInstances(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	send := func(lines ...[]byte) bool {
		if rc.SetWriteDeadline(time.Now().Add(nodeWriteTimeout)) != nil {
			return false
		}
		for _, l := range lines {
			if _, err := w.Write(l); err != nil {
				return false
			}
		}
		return rc.Flush() == nil
	}
	q := r.URL.Query()
	var from uint64
	if text := q.Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "from: a generation is wanted", http.StatusBadRequest)
			return
		}
	}
	watch := q.Get("watch") != ""
	if watch {
		a.nodeWatches.Add(1)
		defer a.nodeWatches.Add(-1)
	}
	beat := time.NewTimer(heartbeatInterval/2 + time.Duration(rand.Int64N(int64(heartbeatInterval/2)))) // not in step with others
	defer beat.Stop()
	for {
		lines, at, more, speaks := a.updatesSince(from)
		if len(lines) > 0 && !send(lines...) || len(lines) > 0 && !watch {
			return
		}
		from = at
		select {
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		case <-beat.C:
			beat.Reset(heartbeatInterval)
			if watch && speaks && !send([]byte{'\n'}) {
				return
			}
		case <-more:
		}
	}
}
