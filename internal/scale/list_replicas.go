package scale

import (
	"context"
	"errors"
	"time"
)

// Parameters of a service of several replicas.
const (
	serviceReplicas        = 3
	defaultElectionTimeout = 500 * time.Millisecond // default of the list service
)

// joinReplicas adds replicas to a service of one replica until it has serviceReplicas.
func joinReplicas(ctx context.Context, leader *listReplica) (followers []*listReplica, err error) {
	defer func() {
		if err != nil {
			err = errors.Join(err, closeReplicas(followers))
		}
	}()
	for range serviceReplicas - 1 {
		follower, err := joinReplica(ctx, leader)
		if err != nil {
			return followers, err
		}
		followers = append(followers, follower)
	}
	return followers, nil
}

// joinReplica adds a replica to a service and waits until it has the leader's list.
func joinReplica(ctx context.Context, leader *listReplica) (r *listReplica, err error) {
	if r, err = newReplica(leader.electionTimeout); err != nil {
		return nil, err
	}
	if err = r.start(ctx, leader.Addr()); err == nil {
		err = awaitCondition(ctx, "a new replica to receive the list", func() bool { return r.Generation() == leader.Generation() })
	}
	if err != nil {
		err = errors.Join(err, r.close())
	}
	return r, err
}

// closeReplicas stops replicas and removes their folders.
func closeReplicas(replicas []*listReplica) error {
	var errs []error
	for _, r := range replicas {
		errs = append(errs, r.close())
	}
	return errors.Join(errs...)
}
