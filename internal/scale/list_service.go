package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"opalhook/internal/registry"
)

// Timeout and poll interval. A successful measurement stays far below the timeout.
const (
	serviceTimeout = time.Minute
	servicePoll    = time.Millisecond
)

// singleElectionTimeout is the election timeout of a service of one replica. It can be short, because there
// are no other replicas whose messages could be late.
const singleElectionTimeout = 100 * time.Millisecond

// listLease is the lease duration of instances that are not meant to expire. Measurements end before it has
// passed.
const listLease = time.Hour

// listEntry returns the entry of the instance with the given number. Zones alternate by number, so that the
// entries of a zone are spread over the list.
func listEntry(n int) registry.Entry {
	return registry.Entry{
		ID:          fmt.Sprintf("server-%06d", n),
		Addr:        fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&0xff, n&0xff),
		Zone:        fmt.Sprintf("zone-%02d", n%plannedZones),
		MachineType: "standard-8",
		Cell:        n % 64,
		Lifecycle:   registry.Up,
		Weight:      1,
		StartedAtMs: 1_790_000_000_000 + int64(n),
	}
}

// firstIncarnation is the incarnation of all instances.
const firstIncarnation = 1

// listState returns a list with a number of entries. The instances of the lost zone have the lease duration
// zoneLease, all others listLease.
func listState(entries int, zoneLease time.Duration) (*registry.State, error) {
	state := registry.NewState(0)
	for n := range entries {
		lease := listLease
		if n%plannedZones == lostZone {
			lease = zoneLease
		}
		o := state.Apply(registry.Command{Kind: registry.Register, Entry: listEntry(n), Incarnation: firstIncarnation, Lease: lease})
		if o.Code != registry.Done {
			return nil, fmt.Errorf("registering entry %d: %s: %s", n, o.Code, o.Message)
		}
	}
	return state, nil
}

// listReplica is a replica of the list service with its own temporary folder.
type listReplica struct {
	*registry.Server
	dir             string
	listen, raft    string // addresses to listen on
	electionTimeout time.Duration
}

// newReplica returns a replica that is not started yet, with the given election timeout.
func newReplica(timeout time.Duration) (*listReplica, error) {
	dir, err := os.MkdirTemp("", "opalhook-scale-")
	if err != nil {
		return nil, fmt.Errorf("creating the folder of a replica: %w", err)
	}
	return &listReplica{dir: dir, listen: "127.0.0.1:0", raft: "127.0.0.1:0", electionTimeout: timeout}, nil
}

// startReplica starts a service of one replica with the list of a backup, and waits until the replica is the
// leader.
func startReplica(ctx context.Context, backup []byte) (*listReplica, error) {
	return startReplicaWithTimeout(ctx, backup, singleElectionTimeout)
}

// startReplicaWithTimeout is like startReplica, with the given election timeout.
func startReplicaWithTimeout(ctx context.Context, backup []byte, timeout time.Duration) (r *listReplica, err error) {
	if r, err = newReplica(timeout); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.close())
		}
	}()
	if _, err := registry.Restore(r.stateDir(), bytes.NewReader(backup), 1); err != nil {
		return r, err
	}
	if err := r.start(ctx, ""); err != nil {
		return r, err
	}
	return r, awaitCondition(ctx, "the replica to become the leader", r.IsLeader)
}

// stateDir returns the folder of the replica's state.
func (r *listReplica) stateDir() string { return filepath.Join(r.dir, "state") }

// start starts the replica, which joins the service at the address join unless that is empty. A replica that
// is started again listens on the same address as before.
func (r *listReplica) start(ctx context.Context, join string) error {
	server, err := registry.Start(ctx, registry.Config{Dir: r.stateDir(), Listen: r.listen, Raft: r.raft, Join: join, ElectionTimeout: r.electionTimeout, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	r.Server, r.listen = server, server.Addr()
	return nil
}

// stop stops the replica and keeps its state.
func (r *listReplica) stop() (err error) {
	if r.Server != nil {
		err = r.Close()
		r.Server = nil
	}
	return err
}

// close stops the replica and removes its folder.
func (r *listReplica) close() error {
	return errors.Join(r.stop(), os.RemoveAll(r.dir))
}

// awaitCondition polls a condition until it holds, for at most serviceTimeout. what names the condition in
// errors.
func awaitCondition(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	tick := time.NewTicker(servicePoll)
	defer tick.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// restore starts a service of one replica with a list of the given number of entries.
func (s *listSteps) restore(entries int, zoneLease, electionTimeout time.Duration) (*listReplica, error) {
	if err := s.next("restoring a list"); err != nil {
		return nil, err
	}
	backup, err := listBackup(entries, zoneLease)
	if err != nil {
		return nil, err
	}
	return startReplicaWithTimeout(s.ctx, backup, electionTimeout)
}

// listBackup returns a backup of a list with the given number of entries.
func listBackup(entries int, zoneLease time.Duration) ([]byte, error) {
	state, err := listState(entries, zoneLease)
	if err != nil {
		return nil, err
	}
	return json.Marshal(state)
}
