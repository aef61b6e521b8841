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
	requestReadTimeout = 3 * time.Second // limit for a request's header, and again for its JSON body
	idleTimeout        = time.Minute     // limit for a connection between requests
	maxRequestHeader   = 8 << 10         // bytes
	maxRequestBody     = 16 << 10        // bytes
)

// Server is one replica of the service.
type Server struct {
	cfg       Config
	logger    *slog.Logger
	id        string    // "NAME@HTTP-ADDRESS"
	startedAt time.Time // origin of the monotonic clock of leases

	listener   net.Listener
	httpServer *http.Server
	transport  *transport
	store      *raftboltdb.BoltStore
	raft       *raft.Raft
	fsm        *fsm
	leadership leadership

	watchLimiter   *rate.Limiter
	heartbeats     [heartbeatGroups]heartbeat
	heartbeatChunk []byte
	shuttingDown   atomic.Bool // set before the final broadcast of all heartbeats
	openWatches    atomic.Int64
	metrics        *metrics

	ctx        context.Context // ends when the replica closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // awaited by Close
}

// Start starts the replica whose state is in the data folder, the first replica of a new service, or a
// replica that joins a service. It returns when the HTTP API is being served and the replica has joined. When
// ctx ends, the watches and the replica's background goroutines stop, except the HTTP server. Only
// [Server.Close] also stops the HTTP server and Raft, waits for the goroutines and closes the files.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	s := &Server{
		cfg:            cfg,
		logger:         cfg.Logger,
		startedAt:      time.Now(),
		leadership:     newLeadership(),
		watchLimiter:   rate.NewLimiter(rate.Limit(cfg.WatchOpensPerSecond), max(int(cfg.WatchOpensPerSecond), 1)),
		heartbeatChunk: httpChunk([]byte{'\n'}),
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.fsm = newFSM(func(c Command, _ Outcome) { s.leadership.track(s.now(), c) })
	if err := s.open(); err != nil {
		_ = s.Close() // the error of open is returned
		return nil, err
	}
	return s, nil
}

// open opens the listeners and the log, starts Raft and the replica's goroutines, and joins the service if
// the replica is new and Config.Join is set. After an error, Close closes what open has opened.
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

// listen opens both listeners and creates the transport. It loads the replica's ID after the HTTP listener is
// open, since the ID contains the HTTP address, and before it creates the transport, since connections to the
// Raft address begin with the replica's name.
func (s *Server) listen() error {
	httpListener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("http listener: %w", err)
	}
	s.listener = smallBufferListener{httpListener}
	raftListener, err := net.Listen("tcp", s.cfg.Raft)
	if err != nil {
		return fmt.Errorf("raft listener: %w", err)
	}
	if s.id, err = loadIdentity(s.cfg.Dir, s.Addr()); err != nil {
		_ = raftListener.Close() // it has not accepted any connections
		return err
	}
	name, _, _ := strings.Cut(s.id, "@")
	s.transport = newTransport(&raft.NetworkTransportConfig{
		Stream:  streamLayer{raftListener, name, s.cfg.DialVia},
		MaxPool: connectionsPerReplica,
		Timeout: operationTimeout,
		Logger:  discardLogger(),
	})
	return nil
}

// startWork starts the goroutines that run until the replica closes.
func (s *Server) startWork() {
	for i := range s.heartbeats { // heartbeat.signal requires an earlier broadcast
		s.heartbeats[i].broadcast()
	}
	s.httpServer = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: requestReadTimeout,
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

// Addr returns the HTTP address of the replica.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Generation returns the generation of the list at this replica.
func (s *Server) Generation() uint64 { return s.fsm.generation() }

// now returns the time on the monotonic clock of leases.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// Close stops the replica and waits for its goroutines. Its state remains in the data folder. Close returns
// the joined errors of everything it closes.
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
