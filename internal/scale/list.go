package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"opalhook/internal/registry"
)

// Sizes of the list in entries. The largest is that of the planned fleet.
var (
	listSizes     = []int{2_000, 20_000, 100_000, 200_000}
	listTestSizes = []int{600}
)

// Planned fleet: 200,000 app servers in 15 zones, and 4,100 edge nodes that watch the list.
const (
	plannedEntries = 200_000
	plannedWatches = 4_100
	plannedZones   = 15
)

// Memory estimates in bytes. They are higher than the measured values.
const (
	listEntryMemory = 6 << 10   // per entry: its state, and its encoded forms in memory and in a snapshot
	listWatchMemory = 256 << 10 // per watch: the buffers of both ends, including the kernel's socket buffers
	listBaseMemory  = 64 << 20  // independent of the size
)

// listMemory estimates the memory of a number of replicas, each with a list of the given number of entries,
// in bytes.
func listMemory(replicas, entries int) uint64 {
	return listBaseMemory + uint64(replicas)*uint64(entries)*listEntryMemory
}

// listServiceMemory is like listMemory, and includes the watches of the list.
func listServiceMemory(replicas, entries int) uint64 {
	return listMemory(replicas, entries) + uint64(watchesOf(entries))*listWatchMemory
}

// listRows is a rowWriter with methods for counts, sizes in bytes and durations.
type listRows struct {
	rowWriter
}

func (r *listRows) count(quantity string, n int) { r.add(quantity, float64(n), "") }
func (r *listRows) bytes(quantity string, n uint64) {
	r.add(quantity, float64(n), "B")
}
func (r *listRows) time(quantity string, d time.Duration) { r.add(quantity, d.Seconds(), "s") }

// listSteps reports the progress of a measurement that consists of steps, and stops it when its context is
// cancelled.
type listSteps struct {
	ctx         context.Context
	env         Env
	done, total int
}

// next reports the start of a step. It returns an error if the context is cancelled.
func (s *listSteps) next(doing string) error {
	s.env.Progress(s.done, s.total, doing)
	s.done++
	return s.ctx.Err()
}

// measureInSteps returns the [Part.Measure] function of a measurement that consists of a number of steps.
func measureInSteps(part string, steps int, measure func(*listSteps, *listRows) error) func(context.Context, int, Env) ([]Row, error) {
	return func(ctx context.Context, size int, env Env) ([]Row, error) {
		rows := listRows{rowWriter{part: part, size: size}}
		err := measure(&listSteps{ctx: ctx, env: env, total: steps}, &rows)
		return rows.rows, err
	}
}

// listStatePart returns the part that measures the memory, snapshots and recovery of a replica without
// clients.
func listStatePart() Part {
	return Part{
		Name:      "list-state",
		Title:     "Memory, snapshot, restore and recovery of one replica of the list service, on loopback and with its log on disk.",
		Size:      "entries in the list, each with a lease",
		Sizes:     listSizes,
		TestSizes: listTestSizes,
		Memory:    func(size int) uint64 { return listMemory(1, size) },
		Measure:   measureInSteps("list-state", 4, measureState),
	}
}

func measureState(steps *listSteps, rows *listRows) (err error) {
	backup, err := measureEncoding(steps, rows)
	if err != nil {
		return err
	}
	replica, err := measureRestore(steps, rows, backup)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, replica.close()) }()
	if err := measureSnapshot(steps, rows, replica); err != nil {
		return err
	}
	return measureRecovery(steps, rows, replica)
}

// measureEncoding creates a list, encodes it and decodes it again. It returns the encoded list.
func measureEncoding(steps *listSteps, rows *listRows) (backup []byte, err error) {
	if err := steps.next("creating the list"); err != nil {
		return nil, err
	}
	before := heapInUse()
	state, err := listState(rows.size, listLease)
	if err != nil {
		return nil, err
	}
	rows.bytes("heap of the state", heapGrowth(before))
	start := time.Now()
	if backup, err = json.Marshal(state); err != nil {
		return nil, err
	}
	rows.time("snapshot, to encode", time.Since(start))
	rows.bytes("snapshot", uint64(len(backup)))
	start = time.Now()
	if err := json.Unmarshal(backup, new(registry.State)); err != nil {
		return nil, err
	}
	rows.time("snapshot, to decode", time.Since(start))
	runtime.KeepAlive(state)
	return backup, nil
}

// measureRestore starts a replica with the list of a backup.
func measureRestore(steps *listSteps, rows *listRows, backup []byte) (*listReplica, error) {
	if err := steps.next("restoring a backup"); err != nil {
		return nil, err
	}
	before := heapInUse()
	start := time.Now()
	replica, err := startReplica(steps.ctx, backup)
	if err != nil {
		return nil, err
	}
	rows.time("restore of a backup, until the replica leads", time.Since(start))
	rows.bytes("heap of a replica", heapGrowth(before))
	runtime.KeepAlive(backup)
	return replica, nil
}

// measureSnapshot measures how long a replica takes to write a snapshot.
func measureSnapshot(steps *listSteps, rows *listRows, replica *listReplica) error {
	if err := steps.next("writing a snapshot"); err != nil {
		return err
	}
	start := time.Now()
	if err := replica.Snapshot(); err != nil {
		return err
	}
	rows.time("snapshot, to its file", time.Since(start))
	return nil
}

// measureRecovery stops a replica and starts it again from its snapshot.
func measureRecovery(steps *listSteps, rows *listRows, replica *listReplica) error {
	if err := steps.next("recovering"); err != nil {
		return err
	}
	generation := replica.Generation()
	if err := replica.stop(); err != nil {
		return err
	}
	start := time.Now()
	if err := replica.start(steps.ctx, ""); err != nil {
		return err
	}
	rows.time("recovery from a snapshot", time.Since(start))
	if got := replica.Generation(); got != generation {
		return fmt.Errorf("replica recovered at generation %d, want %d", got, generation)
	}
	return nil
}

// heapGrowth returns the growth of the live heap in bytes, or 0 if it has shrunk.
func heapGrowth(before uint64) uint64 {
	if now := heapInUse(); now > before {
		return now - before
	}
	return 0
}

// Parameters of the measurements with watches.
const (
	singleChanges      = 3   // number of changes written one after another
	zoneClients        = 64  // number of concurrent clients that remove the entries of the lost zone
	maxSnapshotReaders = 128 // maximum number of watches that receive a complete list at the same time
	lostZone           = 0   // number of the zone that is lost
)

// listWatchesPart returns the part that measures how a replica delivers changes and complete lists to its
// watches. The ratio of watches to entries is that of the planned fleet.
func listWatchesPart() Part {
	return Part{
		Name: "list-watches",
		Title: "Watches of one replica of the list service, over loopback in one process, with 41 watches per 2,000 entries as planned: " +
			"single changes, the removal of a zone entry by entry, the reconnection of all watches from the generation before it, and complete lists to at most 128 watches.",
		Size:      "entries in the list",
		Sizes:     listSizes,
		TestSizes: listTestSizes,
		Memory:    func(size int) uint64 { return listServiceMemory(1, size) },
		Measure:   measureInSteps("list-watches", 6, measureWatches),
	}
}

// watchesOf returns the number of watches of a list, in the proportion of the planned fleet.
func watchesOf(entries int) int { return max(entries*plannedWatches/plannedEntries, 1) }

func measureWatches(steps *listSteps, rows *listRows) (err error) {
	replica, err := steps.restore(rows.size, listLease, singleElectionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, replica.close()) }()
	run := watchesRun{steps: steps, rows: rows, replica: replica, writer: newListWriter(replica.Addr()), watches: watchesOf(rows.size)}
	defer run.writer.close()
	return errors.Join(run.measureOpenWatches(), run.measureReconnects(), run.measureSnapshots())
}

// watchesRun is a measurement of [listWatchesPart] at one size.
type watchesRun struct {
	steps      *listSteps
	rows       *listRows
	replica    *listReplica
	writer     *listWriter
	watches    int
	beforeZone uint64 // generation before the first entry of the zone is removed
}

// measureOpenWatches measures the delivery of changes to open watches.
func (r *watchesRun) measureOpenWatches() error {
	if err := r.steps.next("opening watches"); err != nil {
		return err
	}
	start := time.Now()
	watches, err := openWatches(r.steps.ctx, startsAt(r.replica.Addr(), r.watches, r.replica.Generation()), r.steps.env.Seed)
	if err != nil {
		return err
	}
	defer watches.close()
	r.rows.count("watches", r.watches)
	r.rows.time("watches, until all are open", time.Since(start))
	if err := r.measureSingleChanges(watches); err != nil {
		return err
	}
	return r.measureZoneLoss(watches)
}

// measureSingleChanges measures the delivery of changes that are written one after another.
func (r *watchesRun) measureSingleChanges(watches *watchSet) error {
	if err := r.steps.next("writing single changes"); err != nil {
		return err
	}
	var delays []time.Duration
	for n := range singleChanges {
		start := time.Now()
		generation, err := r.writer.drain(r.steps.ctx, n*plannedZones+lostZone+1)
		if err != nil {
			return err
		}
		last, err := watches.awaitGeneration(r.steps.ctx, generation)
		if err != nil {
			return err
		}
		delays = append(delays, last.Sub(start))
	}
	r.rows.time("first change, to the last watch", delays[0])
	r.rows.time("next two changes, most to the last watch", slices.Max(delays[1:]))
	received := watches.totals()
	r.rows.bytes("one change, most to a watch", received.maxBytes/singleChanges)
	return received.firstError
}

// measureZoneLoss measures the delivery of the removals of a zone, each a separate change.
func (r *watchesRun) measureZoneLoss(watches *watchSet) error {
	if err := r.steps.next("removing a zone"); err != nil {
		return err
	}
	r.beforeZone = r.replica.Generation()
	before := watches.totals()
	start := time.Now()
	lost := zoneEntries(r.rows.size)
	if err := r.writer.removeZone(r.steps.ctx, r.rows.size); err != nil {
		return err
	}
	written := time.Since(start)
	last, err := watches.awaitGeneration(r.steps.ctx, r.beforeZone+uint64(lost))
	if err != nil {
		return err
	}
	r.rows.count("zone lost, entries", lost)
	r.rows.time("zone lost, all removals written", written)
	r.rows.time("zone lost, from the first removal to the last watch", last.Sub(start))
	r.rows.time("zone lost, from the last removal to the last watch", max(last.Sub(start)-written, 0))
	received := watches.totals()
	r.rows.bytes("zone lost, most to a watch", received.maxBytes-before.maxBytes)
	r.rows.count("watches told otherwise than each change once and in order", received.outOfOrder)
	r.rows.count("whole lists to watches that were open", int(received.snapshots))
	return received.firstError
}

// syncNewWatches opens n watches that start after a generation, waits until all of them have the current
// list, and closes them. It returns the totals of the watches and the time until the last of them had the
// list.
func (r *watchesRun) syncNewWatches(n int, from uint64) (received watchTotals, took time.Duration, err error) {
	start := time.Now()
	watches, err := openWatches(r.steps.ctx, startsAt(r.replica.Addr(), n, from), r.steps.env.Seed)
	if err != nil {
		return received, 0, err
	}
	defer watches.close()
	last, err := watches.awaitGeneration(r.steps.ctx, r.replica.Generation())
	if err != nil {
		return received, 0, err
	}
	return watches.totals(), last.Sub(start), nil
}

// measureReconnects measures how all watches catch up if they reconnect at the same time, starting from the
// generation before the zone was lost.
func (r *watchesRun) measureReconnects() error {
	if err := r.steps.next("reconnecting all watches"); err != nil {
		return err
	}
	received, took, err := r.syncNewWatches(r.watches, r.beforeZone)
	if err != nil {
		return err
	}
	r.rows.time("all come back, until the last has the list", took)
	r.rows.bytes("all come back, most to a watch", received.maxBytes)
	r.rows.count("all come back, whole lists", int(received.snapshots))
	r.rows.count("all come back, told otherwise than each change once and in order", received.outOfOrder)
	return received.firstError
}

// measureSnapshots measures the delivery of complete lists to new watches.
func (r *watchesRun) measureSnapshots() error {
	if err := r.steps.next("sending complete lists"); err != nil {
		return err
	}
	readers := min(r.watches, maxSnapshotReaders)
	received, took, err := r.syncNewWatches(readers, 0)
	if err != nil {
		return err
	}
	r.rows.count("whole list, watches that take it at once", readers)
	r.rows.add("whole list, factor from these to all watches", float64(r.watches)/float64(readers), "")
	r.rows.time("whole list, until the last of these has it", took)
	r.rows.bytes("whole list, most to a watch", received.maxBytes)
	r.rows.count("whole list, whole lists told", int(received.snapshots))
	return received.firstError
}
