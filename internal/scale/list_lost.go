package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"opalhook/internal/registry"
)

// reconnectStream are the draws of the replicas at which watches come back, beside those of the seed.
const reconnectStream = 0x105e

// ListLostReplica measures a service of three replicas that loses one with all its watches.
func ListLostReplica() Part {
	return Part{
		Name: "list-lost-replica",
		Title: "A service of three replicas over loopback in one process, with the plan's share of watches at one that follows: it ends, its watches " +
			"come back at once at the other two, drawn, while 64 clients remove a zone one entry after another, over a connection each, at whichever replica leads.",
		Size:    "entries in the list",
		Sizes:   listSizes,
		Small:   listSmall,
		Memory:  func(size int) uint64 { return listServiceMemory(serviceReplicas, size) },
		Measure: inSteps("list-lost-replica", 4, measureLostReplica),
	}
}

func measureLostReplica(at *listSteps, rows *rowsOf) (err error) {
	leader, err := at.restore(rows.size, listLease, serviceElection)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, leader.close()) }()
	if err := at.next("adding replicas"); err != nil {
		return err
	}
	followers, err := joinReplicas(at.ctx, leader)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeReplicas(followers)) }()
	run := lostRun{at: at, rows: rows, leader: leader, lost: followers[0], stays: followers[1]}
	run.client.Replicas = []string{leader.Addr(), run.stays.Addr()}
	return run.measure()
}

// lostRun is the measurement of one loss of a replica.
type lostRun struct {
	at     *listSteps
	rows   *rowsOf
	leader *listReplica // when the other is lost
	lost   *listReplica // a follower; the watches are open there at first
	stays  *listReplica // the other one
	client registry.Client
}

func (r *lostRun) measure() error {
	watches, err := r.open()
	if err != nil {
		return err
	}
	defer watches.close()
	return r.lose(watches)
}

// open opens watches at the replica that will be lost, and lets them be told a change there.
func (r *lostRun) open() (*listWatches, error) {
	if err := r.at.next("opening watches"); err != nil {
		return nil, err
	}
	starts := startsAt(r.lost.Addr(), watchesOf(r.rows.size), r.leader.Generation())
	watches, err := openWatches(r.at.ctx, starts, r.at.env.Seed)
	if err != nil {
		return nil, err
	}
	change, err := r.client.Drain(r.at.ctx, owner(lostZone+1))
	if err == nil {
		_, err = watches.awaitGeneration(r.at.ctx, change.Generation)
	}
	if err != nil {
		watches.close()
		return nil, err
	}
	r.rows.count("watches", len(watches.all))
	return watches, nil
}

// lose ends the replica while the zone's entries are removed, and opens its watches at the others.
func (r *lostRun) lose(watches *listWatches) error {
	if err := r.at.next("losing a replica"); err != nil {
		return err
	}
	before := watches.count()
	generation := r.leader.Generation() + uint64(zoneEntries(r.rows.size)) // once all are removed
	loss := r.begin()
	watches.awaitEnd()
	loss.ended = time.Now()
	starts := r.drawReconnects(watches)
	back, err := openWatches(r.at.ctx, starts, r.at.env.Seed)
	if err != nil {
		return errors.Join(err, loss.wait())
	}
	defer back.close()
	loss.open = time.Now()
	if err := r.reach(back, loss, generation); err != nil {
		return err
	}
	loss.addRows(r.rows)
	r.rows.count("another replica leads than before", oneIf(!r.leader.IsLeader()))
	r.countReconnects(starts)
	return r.countReceived(watches, back, before.maxBytes)
}

// reach waits until all watches that came back have the list as it is, and until they have it without the zone.
func (r *lostRun) reach(back *listWatches, loss *replicaLoss, generation uint64) (err error) {
	loss.upToDate, err = back.awaitGeneration(r.at.ctx, r.leader.Generation())
	if err := errors.Join(err, loss.wait()); err != nil {
		return err
	}
	loss.last, err = back.awaitGeneration(r.at.ctx, generation)
	return err
}

// replicaLoss is the end of a replica, and of a zone meanwhile.
type replicaLoss struct {
	began    time.Time
	ended    time.Time // all watches had
	open     time.Time // all were again
	upToDate time.Time // all had the list of when the last was opened
	written  time.Time // all removals were
	last     time.Time // all had the list without the zone

	work             sync.WaitGroup
	stopped, removed error
	mu               sync.Mutex
	longest          time.Duration // of the removals, with all attempts
}

// addRows adds how long it took.
func (l *replicaLoss) addRows(rows *rowsOf) {
	since := func(quantity string, at time.Time) { rows.time(quantity, at.Sub(l.began)) }
	since("replica lost, until the last of its watches has ended", l.ended)
	since("replica lost, until all are open at the others", l.open)
	since("replica lost, until the last has the list of when all were open", l.upToDate)
	since("replica lost, until the last has the list without the zone", l.last)
	rows.count("zone lost meanwhile, entries", zoneEntries(rows.size))
	since("zone lost meanwhile, all removals written", l.written)
	rows.time("zone lost meanwhile, longest of the removals", l.longest)
	rows.time("zone lost meanwhile, from the last removal to the last watch", max(l.last.Sub(l.written), 0))
}

func (r *lostRun) begin() *replicaLoss {
	loss := &replicaLoss{began: time.Now()}
	loss.work.Go(func() { loss.stopped = r.lost.stop() })
	loss.work.Go(func() {
		loss.removed = r.removeZone(loss)
		loss.written = time.Now()
	})
	return loss
}

// removeZone removes the zone's instances. A client goes to the replica that leads, and tries again
// where the leader changes.
func (r *lostRun) removeZone(loss *replicaLoss) error {
	ctx, cancel := context.WithTimeout(r.at.ctx, serviceWithin)
	defer cancel()
	return eachOfZone(ctx, r.rows.size, func(ctx context.Context, n int) (uint64, error) {
		began := time.Now()
		removed, err := r.client.Remove(ctx, owner(n))
		loss.took(time.Since(began))
		return removed.Generation, err
	})
}

// owner is an instance as it is at the start.
func owner(n int) registry.InstanceRef {
	return registry.InstanceRef{ID: listEntry(n).InstanceID, Incarnation: firstIncarnation}
}

func (l *replicaLoss) took(removal time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = max(l.longest, removal)
}

func (l *replicaLoss) wait() error {
	l.work.Wait()
	return errors.Join(l.stopped, l.removed)
}

// drawReconnects draws a replica for each watch that has ended. It goes on from what it was told last.
func (r *lostRun) drawReconnects(watches *listWatches) []watchStart {
	rng := rand.New(rand.NewPCG(r.at.env.Seed, reconnectStream))
	others := []string{r.leader.Addr(), r.stays.Addr()}
	starts := make([]watchStart, len(watches.all))
	for i, w := range watches.all {
		starts[i] = watchStart{others[rng.IntN(len(others))], w.received.Load().at}
	}
	return starts
}

// countReconnects counts the watches that come back at each replica.
func (r *lostRun) countReconnects(starts []watchStart) {
	leads := 0
	for _, start := range starts {
		leads += oneIf(start.addr == r.leader.Addr())
	}
	r.rows.count("come back, at the replica that leads", leads)
	r.rows.count("come back, at the replica that follows", len(starts)-leads)
}

// countReceived counts what was told to watches at the replica that was lost and then at the others.
func (r *lostRun) countReceived(watches, back *listWatches, before uint64) error {
	var most uint64
	for i, w := range watches.all {
		most = max(most, w.received.Load().bytes+back.all[i].received.Load().bytes)
	}
	old, now := watches.count(), back.count()
	r.rows.bytes("come back, most to a watch from the loss on", most-before)
	r.rows.count("come back, whole lists", int(old.snapshots+now.snapshots))
	r.rows.count("come back, told otherwise than each change once and in order", old.outOfOrder+now.outOfOrder)
	return errors.Join(old.firstError, now.firstError)
}
