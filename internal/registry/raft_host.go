package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	// operationTimeout limits the time until Raft starts a command, a barrier or a membership change. It also
	// limits a join request and I/O between replicas.
	operationTimeout = 5 * time.Second

	// maxCommitTimeout limits the delay after which an idle leader sends its commit index to the followers.
	maxCommitTimeout = 50 * time.Millisecond

	logLockTimeout        = 2 * time.Second // waiting time for another process to release the log file
	retainedSnapshots     = 2
	connectionsPerReplica = 3 // idle connections kept open to each other replica
)

// errLogInUse is the error of a log file that another process has open.
var errLogInUse = errors.New("the file is open in another process")

// discardLogger returns a logger that discards the messages of the Raft library. This package itself logs the
// events that operators need.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }

// raftStores contains the stores of the replicated log and of the replica's votes.
type raftStores struct {
	log    raft.LogStore
	stable raft.StableStore
}

// openLog opens the file that contains the replicated log and the replica's votes.
func (s *Server) openLog() (raftStores, error) {
	path := filepath.Join(s.cfg.Dir, logFile)
	var err error
	s.store, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: logLockTimeout}})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return raftStores{}, fmt.Errorf("%s: %w", path, errLogInUse)
	}
	if err != nil {
		return raftStores{}, damagedError(path, err)
	}
	stores := raftStores{s.store, s.store}
	if s.cfg.WrapStores != nil {
		stores.log, stores.stable = s.cfg.WrapStores(s.store, s.store)
	}
	return stores, nil
}

// startRaft starts Raft on the stores. known reports whether the replica had belonged to a service before.
// The first replica of a new service bootstraps it.
func (s *Server) startRaft(stores raftStores) (known bool, err error) {
	snapshots, err := raft.NewFileSnapshotStore(s.cfg.Dir, retainedSnapshots, io.Discard)
	if err != nil {
		return false, damagedError(filepath.Join(s.cfg.Dir, "snapshots"), err)
	}
	known, err = raft.HasExistingState(stores.log, stores.stable, snapshots)
	if err != nil {
		return false, damagedError(filepath.Join(s.cfg.Dir, logFile), err)
	}
	config := s.raftConfig()
	if s.raft, err = raft.NewRaft(config, s.fsm, stores.log, stores.stable, snapshots, s.transport); err != nil {
		return false, damagedError(s.cfg.Dir, err)
	}
	if known || s.cfg.Join != "" {
		return known, nil
	}
	self := raft.Server{ID: config.LocalID, Address: s.transport.LocalAddr()}
	if err := s.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{self}}).Error(); err != nil {
		return false, fmt.Errorf("bootstrapping the first replica: %w", err)
	}
	return false, nil
}

func (s *Server) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(s.id)
	config.Logger = discardLogger()
	config.HeartbeatTimeout = s.cfg.ElectionTimeout
	config.ElectionTimeout = s.cfg.ElectionTimeout
	config.LeaderLeaseTimeout = s.cfg.ElectionTimeout / 2
	config.CommitTimeout = min(s.cfg.ElectionTimeout/10, maxCommitTimeout)
	return config
}

// commit writes a command to the replicated log and returns its outcome. After an error the command may or
// may not have been executed, and it is safe to send it again.
func (s *Server) commit(c Command) (Outcome, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Outcome{}, fmt.Errorf("command: %w", err)
	}
	applied := s.raft.Apply(text, operationTimeout)
	if err := applied.Error(); err != nil {
		return Outcome{}, err
	}
	return applied.Response().(Outcome), nil
}

// Snapshot writes a snapshot of the state immediately. Raft also writes snapshots by itself from time to
// time.
func (s *Server) Snapshot() error {
	if err := s.raft.Snapshot().Error(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// members returns the replicas of the service as this replica knows them, or nil if Raft has shut down.
func (s *Server) members() []raft.Server {
	configuration := s.raft.GetConfiguration()
	if configuration.Error() != nil {
		return nil
	}
	return configuration.Configuration().Servers
}
