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

// Bounds of waits; none is expected to come near them.
const (
	serviceWithin = time.Minute
	servicePoll   = time.Millisecond
)

// electionTimeout of a service of one replica: it has nobody to hear from.
const electionTimeout = 100 * time.Millisecond

// listLease is the plan's lease; the measurements end before a full one has passed or renew none.
const listLease = time.Hour

// listEntry is the instance of a number. Its zone is its number's, so that a zone is spread over
// the list.
func listEntry(n int) registry.Entry {
	return registry.Entry{
		InstanceID:  fmt.Sprintf("server-%06d", n),
		HostPort:    fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&0xff, n&0xff),
		Zone:        fmt.Sprintf("zone-%02d", n%planZones),
		MachineType: "standard-8",
		Cell:        n % 64,
		Lifecycle:   registry.Up,
		Weight:      1,
		StartedAtMs: 1_790_000_000_000 + int64(n),
	}
}

// firstIncarnation is the incarnation of every instance at the start.
const firstIncarnation = 1

// listState is a list of that many entries. Those of the zone that may be lost have a lease of their own.
func listState(entries int, zoneLease time.Duration) (*registry.State, error) {
	state := registry.NewState(0)
	for n := range entries {
		lease := listLease
		if n%planZones == lostZone {
			lease = zoneLease
		}
		o := state.Apply(registry.Command{Kind: registry.Register, Entry: listEntry(n), Incarnation: firstIncarnation, Lease: lease})
		if o.Code != registry.Done {
			return nil, fmt.Errorf("entry %d: %s: %s", n, o.Code, o.Message)
		}
	}
	return state, nil
}

// listReplica is a replica of the list service with a folder of its own.
type listReplica struct {
	*registry.Server
	dir          string
	listen, raft string
	timeout      time.Duration
}

// newReplica makes a replica that is not started yet.
func newReplica(timeout time.Duration) (*listReplica, error) {
	dir, err := os.MkdirTemp("", "opalhook-scale-")
	if err != nil {
		return nil, fmt.Errorf("folder of a replica: %w", err)
	}
	return &listReplica{dir: dir, listen: "127.0.0.1:0", raft: "127.0.0.1:0", timeout: timeout}, nil
}

// startReplica starts a service of one replica that begins with a backup, and waits until it leads.
func startReplica(ctx context.Context, image []byte) (*listReplica, error) {
	return startFirst(ctx, image, electionTimeout)
}

// startFirst is startReplica with the time without a word of the leader after which an election begins.
func startFirst(ctx context.Context, image []byte, timeout time.Duration) (r *listReplica, err error) {
	if r, err = newReplica(timeout); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.close())
		}
	}()
	if _, err := registry.Restore(r.state(), bytes.NewReader(image), 1); err != nil {
		return r, err
	}
	if err := r.start(ctx, ""); err != nil {
		return r, err
	}
	return r, awaitReplica(ctx, "the replica to lead", r.IsLeader)
}

func (r *listReplica) state() string { return filepath.Join(r.dir, "state") }

// start starts the replica, at the address that it had if it was started before.
func (r *listReplica) start(ctx context.Context, join string) error {
	server, err := registry.Start(ctx, registry.Config{Dir: r.state(), Listen: r.listen, Raft: r.raft, Join: join, ElectionTimeout: r.timeout, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	r.Server, r.listen = server, server.Addr()
	return nil
}

// stop ends the replica; its state stays.
func (r *listReplica) stop() (err error) {
	if r.Server != nil {
		err = r.Close()
		r.Server = nil
	}
	return err
}

// close ends the replica and removes its state.
func (r *listReplica) close() error {
	return errors.Join(r.stop(), os.RemoveAll(r.dir))
}

// awaitReplica waits until a condition holds.
func awaitReplica(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, serviceWithin)
	defer cancel()
	tick := time.NewTicker(servicePoll)
	defer tick.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// restore starts a service of one replica with a list of that many entries.
func (s *listSteps) restore(entries int, zoneLease, election time.Duration) (*listReplica, error) {
	if err := s.next("restoring a list"); err != nil {
		return nil, err
	}
	image, err := listSnapshot(entries, zoneLease)
	if err != nil {
		return nil, err
	}
	return startFirst(s.ctx, image, election)
}

// listSnapshot is the backup of a list of that many entries.
func listSnapshot(entries int, zoneLease time.Duration) ([]byte, error) {
	state, err := listState(entries, zoneLease)
	if err != nil {
		return nil, err
	}
	return json.Marshal(state)
}
