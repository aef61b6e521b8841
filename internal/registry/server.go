package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/time/rate"
)

// Config is what a replica of the list service is started with.
type Config struct {
	Dir                 string            // of its state; made if it is not there
	Listen              string            // HTTP: readers and writers
	Raft                string            // the other replicas
	DialVia             map[string]string // where this replica reaches another's Raft address, if not there
	Join                string            // HTTP address of a replica of a service to join; "": its own state, or a new service
	WatchOpensPerSecond float64           // watches that may be opened a second; 0: defaultJoins
	ElectionTimeout     time.Duration     // without a word of the leader after which an election begins; 0: defaultTimeout
	Logger              *slog.Logger
	WrapStores          func(raft.LogStore, raft.StableStore) (raft.LogStore, raft.StableStore) // around the durable ones; nil: as they are
}

const (
	defaultWatchOpensPerSecond = 2000
	defaultElectionTimeout     = 500 * time.Millisecond
	applyTimeout               = 5 * time.Second
	readerAheadTimeout         = 2 * time.Second        // that a reader ahead of this replica is let wait
	writeTimeout               = 5 * time.Second        // for a reader to take a piece of what it is told; one that doesn't is dropped
	maxWriteSize               = 32 << 10               // bytes of a piece: a reader of 7 KB a second keeps up
	notifyInterval             = 200 * time.Millisecond // from one waking of the watches to the next: what changes in between goes together
	expiryCheckInterval        = 100 * time.Millisecond // from one look at the leases that have run out to the next
	requestHeaderTimeout       = 3 * time.Second        // for a request's head
	heartbeatInterval          = 2 * time.Second        // a watch's empty line
	heartbeatGroups            = 64                     // into which the watches fall for it, so that they are not told in step
	maxRequestBody             = 16 << 10               // bytes of a write
	logLockTimeout             = 2 * time.Second        // for the log's file to be free
	maxCommitTimeout           = 50 * time.Millisecond  // pause after which a leader tells an idle follower what is committed, at most
	takeOverRetryInterval      = time.Second            // pause before a leader that could not take over tries again
	retainedSnapshots          = 2
	connectionsPerReplica      = 3 // to each other replica
)

// Server is one replica of the list service.
type Server struct {
	cfg          Config
	logger       *slog.Logger
	id           string
	raft         *raft.Raft
	fsm          *fsm
	store        *raftboltdb.BoltStore
	transport    *transport
	listener     net.Listener
	httpServer   *http.Server
	watchLimiter *rate.Limiter
	startedAt    time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup

	mu              sync.Mutex
	leases          *Leases       // nil where this replica does not lead
	leadershipTerm  uint64        // of the leadership that the leases are of
	lastExpiryCheck time.Duration // at what has run out, last
	leasesChanged   chan struct{}

	heartbeats      [heartbeatGroups]heartbeat
	heartbeatChunk  []byte      // as a chunk
	shuttingDown    atomic.Bool // watches end; set before the last beats are struck
	openWatches     atomic.Int64
	droppedWatches  prometheus.Counter
	rejectedWatches prometheus.Counter
	writeCount      *prometheus.CounterVec
	expiredCount    prometheus.Counter
	metrics         *prometheus.Registry
}

// Start starts a replica: the one of the folder, a new service's first one, or one that joins.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	if cfg.WatchOpensPerSecond == 0 {
		cfg.WatchOpensPerSecond = defaultWatchOpensPerSecond
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = defaultElectionTimeout
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	s := &Server{cfg: cfg, logger: cfg.Logger, watchLimiter: rate.NewLimiter(rate.Limit(cfg.WatchOpensPerSecond), max(int(cfg.WatchOpensPerSecond), 1)), startedAt: time.Now(), leasesChanged: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.fsm, s.heartbeatChunk = newFSM(s.trackLeases), httpChunk([]byte{'\n'})
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// start opens everything; Close closes what it opened.
func (s *Server) open() error {
	if err := s.listen(); err != nil {
		return err
	}
	logs, stable, err := s.openLog()
	if err != nil {
		return err
	}
	known, err := s.startRaft(logs, stable)
	if err != nil {
		return err
	}
	s.registerMetrics()
	s.startWork()
	if !known && s.cfg.Join != "" {
		if err := s.join(string(s.transport.LocalAddr())); err != nil {
			return err
		}
	}
	s.logger.Info("list service", "replica", s.id, "listen", s.Addr(), "raft", s.transport.LocalAddr())
	return nil
}

// listen opens both listeners. The replica's name is read or drawn between them, since it holds the one address and
// connections to the other one begin with it.
func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener = smallBufferListener{ln}
	between, err := net.Listen("tcp", s.cfg.Raft)
	if err != nil {
		return fmt.Errorf("raft address: %w", err)
	}
	if s.id, err = loadIdentity(s.cfg.Dir, s.Addr()); err != nil {
		between.Close()
		return err
	}
	name, _, _ := strings.Cut(s.id, "@")
	s.transport = newTransport(&raft.NetworkTransportConfig{
		Stream:  streamLayer{between, name, s.cfg.DialVia},
		MaxPool: connectionsPerReplica,
		Timeout: applyTimeout,
		Logger:  discardLogger(),
	})
	return nil
}

// openLog opens the replicated log and the store of what the replica voted.
func (s *Server) openLog() (raft.LogStore, raft.StableStore, error) {
	path := filepath.Join(s.cfg.Dir, logFile)
	var err error
	s.store, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: logLockTimeout}})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, nil, damagedError(path, err)
	}
	if s.cfg.WrapStores != nil {
		logs, stable := s.cfg.WrapStores(s.store, s.store)
		return logs, stable, nil
	}
	return s.store, s.store, nil
}

// startRaft starts Raft on the log. It tells whether the replica belonged to a service before; the first one of a new
// service begins it.
func (s *Server) startRaft(logs raft.LogStore, stable raft.StableStore) (known bool, err error) {
	snapshots, err := raft.NewFileSnapshotStore(s.cfg.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return false, damagedError(filepath.Join(s.cfg.Dir, "snapshots"), err)
	}
	known, err = raft.HasExistingState(logs, stable, snapshots)
	if err != nil {
		return false, damagedError(filepath.Join(s.cfg.Dir, logFile), err)
	}
	config := s.raftConfig()
	if s.raft, err = raft.NewRaft(config, s.fsm, logs, stable, snapshots, s.transport); err != nil {
		return false, damagedError(s.cfg.Dir, err)
	}
	if known || s.cfg.Join != "" {
		return known, nil
	}
	alone := raft.Configuration{Servers: []raft.Server{{ID: config.LocalID, Address: s.transport.LocalAddr()}}}
	if err := s.raft.BootstrapCluster(alone).Error(); err != nil {
		return false, fmt.Errorf("first replica: %w", err)
	}
	return false, nil
}

func (s *Server) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = raft.ServerID(s.id), discardLogger()
	config.HeartbeatTimeout, config.ElectionTimeout = s.cfg.ElectionTimeout, s.cfg.ElectionTimeout
	config.LeaderLeaseTimeout, config.CommitTimeout = s.cfg.ElectionTimeout/2, min(s.cfg.ElectionTimeout/10, maxCommitTimeout)
	return config
}

// serve starts the work that lasts as long as the replica.
func (s *Server) startWork() {
	for i := range s.heartbeats { // a watch waits for the next
		s.heartbeats[i].broadcast()
	}
	s.httpServer = &http.Server{Handler: s.routes(), ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug)}
	s.goroutines.Go(func() {
		if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("the service ended", "err", err)
		}
	})
	s.goroutines.Go(s.runHeartbeats)
	s.goroutines.Go(func() { s.fsm.runNotifier(s.ctx) })
	s.goroutines.Go(s.runLeadership)
}

// Addr is the HTTP address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// commit brings a command through the log. After an error it may or may not have been done: it
// may be sent again.
func (s *Server) commit(c Command) (Outcome, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Outcome{}, fmt.Errorf("command: %w", err)
	}
	f := s.raft.Apply(text, applyTimeout)
	if err := f.Error(); err != nil {
		return Outcome{}, err
	}
	return f.Response().(Outcome), nil
}

// join asks the service to take this replica in.
func (s *Server) join(raftAddr string) error {
	body, err := json.Marshal(Replica{ID: s.id, Raft: raftAddr})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: applyTimeout}
	for {
		resp, err := client.Post("http://"+s.cfg.Join+"/registry/replicas", "application/json", strings.NewReader(string(body)))
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRequestBody))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("joining %s: %s: %s", s.cfg.Join, resp.Status, strings.TrimSpace(string(text)))
			}
			err = fmt.Errorf("%s", resp.Status)
		}
		s.logger.Warn("joining", "at", s.cfg.Join, "err", err)
		select {
		case <-s.ctx.Done():
			return fmt.Errorf("joining %s: %w", s.cfg.Join, s.ctx.Err())
		case <-time.After(time.Second):
		}
	}
}

// Generation is the version of the list as this replica has it.
func (s *Server) Generation() uint64 { return s.fsm.generation() }

// Snapshot writes the state down at once, as the replica does by itself from time to time.
func (s *Server) Snapshot() error {
	if err := s.raft.Snapshot().Error(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Close ends the replica; its state stays in its folder.
func (s *Server) Close() error {
	s.cancel()
	var errs []error
	if s.httpServer != nil {
		errs = append(errs, s.httpServer.Close())
	} else if s.listener != nil {
		errs = append(errs, s.listener.Close())
	}
	if s.raft != nil {
		errs = append(errs, s.raft.Shutdown().Error())
	}
	if s.transport != nil {
		errs = append(errs, s.transport.Close())
	}
	s.goroutines.Wait()
	if s.store != nil {
		errs = append(errs, s.store.Close())
	}
	return errors.Join(errs...)
}
