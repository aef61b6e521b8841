package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"golang.org/x/time/rate"
)

// Limits of the HTTP server.
const (
	requestHeaderTimeout = 3 * time.Second // also for the body of a write
	idleTimeout          = time.Minute     // of a connection between requests
	maxRequestHeader     = 8 << 10         // bytes
	maxRequestBody       = 16 << 10        // bytes
)

// Server is one replica of the service.
type Server struct {
	cfg       Config
	logger    *slog.Logger
	id        string    // its name, "@" and its HTTP address
	startedAt time.Time // origin of the monotonic clock of leases

	listener   net.Listener
	httpServer *http.Server
	transport  *transport
	store      *raftboltdb.BoltStore
	raft       *raft.Raft
	fsm        *fsm
	leader     leadership

	watchLimiter   *rate.Limiter
	heartbeats     [heartbeatGroups]heartbeat
	heartbeatChunk []byte
	shuttingDown   atomic.Bool // set before the last heartbeats
	openWatches    atomic.Int64
	metrics        *metrics

	ctx        context.Context // ends when the replica closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // awaited by Close
}

// Start starts a replica: the one that the data folder belongs to, the first one of a new service, or one that joins a
// service. It returns once the HTTP API is served and the replica has joined; ctx ends the replica's work, but only
// [Server.Close] waits for its end and closes its files.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	s := &Server{
		cfg:            cfg,
		logger:         cfg.Logger,
		startedAt:      time.Now(),
		leader:         newLeadership(),
		watchLimiter:   rate.NewLimiter(rate.Limit(cfg.WatchOpensPerSecond), max(int(cfg.WatchOpensPerSecond), 1)),
		heartbeatChunk: httpChunk([]byte{'\n'}),
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.fsm = newFSM(func(c Command, _ Outcome) { s.leader.track(s.now(), c) })
	if err := s.open(); err != nil {
		_ = s.Close() // what failed to start says more than what fails to end
		return nil, err
	}
	return s, nil
}

// open opens everything; Close closes what it opened.
func (s *Server) open() error {
	if err := s.listen(); err != nil {
		return err
	}
	stores, err := s.openLog()
	if err != nil {
		return err
	}
	known, err := s.startRaft(stores)
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
	s.logger.Info("replica started", "replica", s.id, "listen", s.Addr(), "raft", s.transport.LocalAddr())
	return nil
}

// listen opens both listeners. The replica's ID is loaded between them: it holds the HTTP address, and connections to
// the Raft address begin with its name.
func (s *Server) listen() error {
	httpListener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener = smallBufferListener{httpListener}
	raftListener, err := net.Listen("tcp", s.cfg.Raft)
	if err != nil {
		return fmt.Errorf("raft address: %w", err)
	}
	if s.id, err = loadIdentity(s.cfg.Dir, s.Addr()); err != nil {
		_ = raftListener.Close() // nothing was accepted
		return err
	}
	name, _, _ := strings.Cut(s.id, "@")
	s.transport = newTransport(&raft.NetworkTransportConfig{
		Stream:  streamLayer{raftListener, name, s.cfg.DialVia},
		MaxPool: connectionsPerReplica,
		Timeout: applyTimeout,
		Logger:  discardLogger(),
	})
	return nil
}

// startWork starts the goroutines that last as long as the replica.
func (s *Server) startWork() {
	for i := range s.heartbeats { // a watch waits for the next one, so there must be one
		s.heartbeats[i].broadcast()
	}
	s.httpServer = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: requestHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRequestHeader,
		ErrorLog:          slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
	}
	s.goroutines.Go(func() {
		if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("http server failed", "replica", s.id, "err", err)
		}
	})
	s.goroutines.Go(s.runHeartbeats)
	s.goroutines.Go(func() { s.fsm.runNotifier(s.ctx) })
	s.goroutines.Go(s.runLeadership)
}

// Addr is the HTTP address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Generation is the version of the list at this replica.
func (s *Server) Generation() uint64 { return s.fsm.generation() }

// now is the time on the monotonic clock that leases are measured by.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// Close ends the replica and waits for its work; its state stays in its folder. The errors of what it closes are
// joined.
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
