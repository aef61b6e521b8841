package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"opalhook/internal/registry"
)

// reconnectStream is the second word of the random seed for choosing the replicas to which watches reconnect.
// The first word is the seed of the run.
const reconnectStream = 0x105e

// listLostReplicaPart returns the part that measures the loss of one of three replicas, which serves all
// watches until then.
func listLostReplicaPart() Part {
	return Part{
		Name: "list-lost-replica",
		Title: "Loss of a replica in a service of three, over loopback in one process, with watches as planned at a follower. The follower stops and its watches " +
			"reconnect at once to a random one of the other two, while 64 clients remove a zone entry by entry at the leader, with a new connection for each removal.",
		Size:      "entries in the list",
		Sizes:     listSizes,
		TestSizes: listTestSizes,
		Memory:    func(size int) uint64 { return listServiceMemory(serviceReplicas, size) },
		Measure:   measureInSteps("list-lost-replica", 4, measureLostReplica),
	}
}

func measureLostReplica(steps *listSteps, rows *listRows) (err error) {
	leader, err := steps.restore(rows.size, listLease, defaultElectionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, leader.close()) }()
	if err := steps.next("adding replicas"); err != nil {
		return err
	}
	followers, err := joinReplicas(steps.ctx, leader)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeReplicas(followers)) }()
	run := lostRun{steps: steps, rows: rows, leader: leader, lost: followers[0], remaining: followers[1]}
	run.client.Replicas = []string{leader.Addr(), run.remaining.Addr()}
	return run.measure()
}

// lostRun is a measurement of [listLostReplicaPart] at one size.
type lostRun struct {
	steps     *listSteps
	rows      *listRows
	leader    *listReplica // the leader at the time of the loss
	lost      *listReplica // the follower that is stopped; it serves the watches until then
	remaining *listReplica // the other follower
	client    registry.Client
}

func (r *lostRun) measure() error {
	watches, err := r.open()
	if err != nil {
		return err
	}
	defer watches.close()
	return r.measureLoss(watches)
}

// open opens the watches at the replica that will be lost, and waits until all of them have received a first
// change.
func (r *lostRun) open() (*watchSet, error) {
	if err := r.steps.next("opening watches"); err != nil {
		return nil, err
	}
	starts := startsAt(r.lost.Addr(), watchesOf(r.rows.size), r.leader.Generation())
	watches, err := openWatches(r.steps.ctx, starts, r.steps.env.Seed)
	if err != nil {
		return nil, err
	}
	change, err := r.client.Drain(r.steps.ctx, instanceRef(lostZone+1))
	if err == nil {
		_, err = watches.awaitGeneration(r.steps.ctx, change.Generation)
	}
	if err != nil {
		watches.close()
		return nil, err
	}
	r.rows.count("watches", len(watches.all))
	return watches, nil
}

// measureLoss stops the replica while the zone's entries are removed, and reconnects its watches to the other
// replicas.
func (r *lostRun) measureLoss(watches *watchSet) error {
	if err := r.steps.next("losing a replica"); err != nil {
		return err
	}
	before := watches.totals()
	generation := r.leader.Generation() + uint64(zoneEntries(r.rows.size)) // after all removals
	loss := r.startLoss()
	watches.awaitEnd()
	loss.watchesEnded = time.Now()
	starts := r.chooseReconnects(watches)
	reconnected, err := openWatches(r.steps.ctx, starts, r.steps.env.Seed)
	if err != nil {
		return errors.Join(err, loss.wait())
	}
	defer reconnected.close()
	loss.watchesReopened = time.Now()
	if err := r.awaitCatchUp(reconnected, loss, generation); err != nil {
		return err
	}
	loss.addRows(r.rows)
	r.rows.count("another replica leads than before", boolToInt(!r.leader.IsLeader()))
	r.countReconnects(starts)
	return r.countReceived(watches, reconnected, before.maxBytes)
}

// awaitCatchUp waits until all reconnected watches have the current list, and then until they have the given
// generation, which is that of the list without the zone.
func (r *lostRun) awaitCatchUp(reconnected *watchSet, loss *replicaLoss, generation uint64) (err error) {
	loss.caughtUp, err = reconnected.awaitGeneration(r.steps.ctx, r.leader.Generation())
	if err := errors.Join(err, loss.wait()); err != nil {
		return err
	}
	loss.complete, err = reconnected.awaitGeneration(r.steps.ctx, generation)
	return err
}

// replicaLoss records the times of the loss of a replica, and of the removal of a zone in the meantime.
type replicaLoss struct {
	start           time.Time // start of the shutdown of the replica and of the removals
	watchesEnded    time.Time // all watches at the lost replica had ended
	watchesReopened time.Time // all watches were open again
	caughtUp        time.Time // all watches had the list as it was when the last of them was open again
	zoneRemoved     time.Time // all removals had been written
	complete        time.Time // all watches had the list without the zone

	running            sync.WaitGroup
	stopErr, removeErr error // errors of stopping the replica and of removing the zone
	mu                 sync.Mutex
	longestRemoval     time.Duration // longest removal, including retries; guarded by mu
}

// addRows adds the durations of the loss.
func (l *replicaLoss) addRows(rows *listRows) {
	since := func(quantity string, at time.Time) { rows.time(quantity, at.Sub(l.start)) }
	since("replica lost, until the last of its watches has ended", l.watchesEnded)
	since("replica lost, until all are open at the others", l.watchesReopened)
	since("replica lost, until the last has the list of when all were open", l.caughtUp)
	since("replica lost, until the last has the list without the zone", l.complete)
	rows.count("zone lost meanwhile, entries", zoneEntries(rows.size))
	since("zone lost meanwhile, all removals written", l.zoneRemoved)
	rows.time("zone lost meanwhile, longest of the removals", l.longestRemoval)
	rows.time("zone lost meanwhile, from the last removal to the last watch", max(l.complete.Sub(l.zoneRemoved), 0))
}

// startLoss stops the replica and starts to remove the zone, both in the background.
func (r *lostRun) startLoss() *replicaLoss {
	loss := &replicaLoss{start: time.Now()}
	loss.running.Go(func() { loss.stopErr = r.lost.stop() })
	loss.running.Go(func() {
		loss.removeErr = r.removeZone(loss)
		loss.zoneRemoved = time.Now()
	})
	return loss
}

// removeZone removes the zone's instances at the leader. The client retries if the leader changes.
func (r *lostRun) removeZone(loss *replicaLoss) error {
	ctx, cancel := context.WithTimeout(r.steps.ctx, serviceTimeout)
	defer cancel()
	return forEachInZone(ctx, r.rows.size, func(ctx context.Context, n int) (uint64, error) {
		start := time.Now()
		removed, err := r.client.Remove(ctx, instanceRef(n))
		loss.recordRemoval(time.Since(start))
		return removed.Generation, err
	})
}

// instanceRef returns a reference to the first incarnation of the instance with the given number.
func instanceRef(n int) registry.InstanceRef {
	return registry.InstanceRef{ID: listEntry(n).ID, Incarnation: firstIncarnation}
}

func (l *replicaLoss) recordRemoval(removal time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestRemoval = max(l.longestRemoval, removal)
}

// wait waits until the replica has stopped and the zone is removed.
func (l *replicaLoss) wait() error {
	l.running.Wait()
	return errors.Join(l.stopErr, l.removeErr)
}

// chooseReconnects chooses one of the two other replicas at random for each watch. The watch continues after
// the last generation that it received.
func (r *lostRun) chooseReconnects(watches *watchSet) []watchStart {
	rng := rand.New(rand.NewPCG(r.steps.env.Seed, reconnectStream))
	candidates := []string{r.leader.Addr(), r.remaining.Addr()}
	starts := make([]watchStart, len(watches.all))
	for i, w := range watches.all {
		starts[i] = watchStart{candidates[rng.IntN(len(candidates))], w.published.Load().generation}
	}
	return starts
}

// countReconnects adds the numbers of watches that reconnect to the leader and to the follower.
func (r *lostRun) countReconnects(starts []watchStart) {
	atLeader := 0
	for _, start := range starts {
		atLeader += boolToInt(start.addr == r.leader.Addr())
	}
	r.rows.count("come back, at the replica that leads", atLeader)
	r.rows.count("come back, at the replica that follows", len(starts)-atLeader)
}

// countReceived adds rows for the messages that the watches receive at the lost replica and, after the loss,
// at the others. before is the largest number of bytes that a watch had received before the loss. It returns
// an error if a watch did not receive each change once and in order.
func (r *lostRun) countReceived(watches, reconnected *watchSet, before uint64) error {
	var maxBytes uint64
	for i, w := range watches.all {
		maxBytes = max(maxBytes, w.published.Load().bytes+reconnected.all[i].published.Load().bytes)
	}
	beforeLoss, afterLoss := watches.totals(), reconnected.totals()
	r.rows.bytes("come back, most to a watch from the loss on", maxBytes-before)
	r.rows.count("come back, whole lists", int(beforeLoss.snapshots+afterLoss.snapshots))
	r.rows.count("come back, told otherwise than each change once and in order", beforeLoss.outOfOrder+afterLoss.outOfOrder)
	return errors.Join(beforeLoss.firstError, afterLoss.firstError)
}
