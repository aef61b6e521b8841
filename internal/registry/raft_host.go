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
	applyTimeout          = 5 * time.Second       // for a command, a barrier, a change of the replicas, and I/O between replicas
	logLockTimeout        = 2 * time.Second       // for another process to release the log's file
	maxCommitTimeout      = 50 * time.Millisecond // of an idle leader before it tells followers what is committed
	retainedSnapshots     = 2
	connectionsPerReplica = 3 // kept open to each other replica
)

// errLogInUse is the error of a log that another process has open.
var errLogInUse = errors.New("another process has it open")

// discardLogger discards the log of the Raft library: this package logs what an operator needs.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }

// raftStores are the stores of the replicated log and of the replica's votes.
type raftStores struct {
	log    raft.LogStore
	stable raft.StableStore
}

// openLog opens the file of the replicated log and of the replica's votes.
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

// startRaft starts Raft on the stores. It reports whether the replica belonged to a service before; the first replica
// of a new service bootstraps it.
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
		return false, fmt.Errorf("first replica: %w", err)
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

// commit brings a command through the log and returns its outcome. After an error it may or may not have been done, and
// may be sent again.
func (s *Server) commit(c Command) (Outcome, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Outcome{}, fmt.Errorf("command: %w", err)
	}
	applied := s.raft.Apply(text, applyTimeout)
	if err := applied.Error(); err != nil {
		return Outcome{}, err
	}
	return applied.Response().(Outcome), nil
}

// Snapshot writes a snapshot of the state at once, as the replica does by itself from time to time.
func (s *Server) Snapshot() error {
	if err := s.raft.Snapshot().Error(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// members returns the replicas of the service as this one knows them, nil where Raft has ended.
func (s *Server) members() []raft.Server {
	configuration := s.raft.GetConfiguration()
	if configuration.Error() != nil {
		return nil
	}
	return configuration.Configuration().Servers
}
