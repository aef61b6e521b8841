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

// Sizes of the list in entries, up to the plan's.
var (
	listSizes = []int{2_000, 20_000, 100_000, 200_000}
	listSmall = []int{600}
)

// Proportions of the plan: 200,000 entries in 15 zones, watched by 4,100 edge nodes.
const (
	planEntries = 200_000
	planWatches = 4_100
	planZones   = 15
)

// Estimates of memory, with room above what was measured.
const (
	listEntryMemory = 6 << 10   // of an entry: its state, its encoded forms and those of a snapshot
	listWatchMemory = 256 << 10 // of a watch: both ends' buffers, also those of the system
	listBaseMemory  = 64 << 20
)

// listMemory estimates what replicas with a list of that many entries take.
func listMemory(replicas, entries int) uint64 {
	return listBaseMemory + uint64(replicas)*uint64(entries)*listEntryMemory
}

// listServiceMemory estimates what replicas take with the plan's share of watches.
func listServiceMemory(replicas, entries int) uint64 {
	return listMemory(replicas, entries) + uint64(watchesOf(entries))*listWatchMemory
}

// rowsOf collects the rows of one part at one size.
type rowsOf struct {
	rowWriter
}

func (r *rowsOf) count(quantity string, n int) { r.add(quantity, float64(n), "") }
func (r *rowsOf) bytes(quantity string, n uint64) {
	r.add(quantity, float64(n), "B")
}
func (r *rowsOf) time(quantity string, d time.Duration) { r.add(quantity, d.Seconds(), "s") }

// listSteps tells a measurement's progress and ends it when its context does.
type listSteps struct {
	ctx         context.Context
	env         Env
	done, total int
}

// next begins a step.
func (s *listSteps) next(doing string) error {
	s.env.Progress(s.done, s.total, doing)
	s.done++
	return s.ctx.Err()
}

// inSteps makes a part's Measure of a measurement that takes a number of steps.
func inSteps(part string, steps int, measure func(*listSteps, *rowsOf) error) func(context.Context, int, Env) ([]Row, error) {
	return func(ctx context.Context, size int, env Env) ([]Row, error) {
		rows := rowsOf{rowWriter{part: part, size: size}}
		err := measure(&listSteps{ctx: ctx, env: env, total: steps}, &rows)
		return rows.rows, err
	}
}

// ListState measures what a list costs a replica that nobody calls.
func ListState() Part {
	return Part{
		Name:    "list-state",
		Title:   "One replica of the list service, on loopback and with its log on disk: memory, snapshot, restore and recovery.",
		Size:    "entries in the list, each with a lease",
		Sizes:   listSizes,
		Small:   listSmall,
		Memory:  func(size int) uint64 { return listMemory(1, size) },
		Measure: inSteps("list-state", 4, measureState),
	}
}

func measureState(at *listSteps, rows *rowsOf) (err error) {
	image, err := measureEncoding(at, rows)
	if err != nil {
		return err
	}
	service, err := measureRestore(at, rows, image)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, service.close()) }()
	if err := measureSnapshot(at, rows, service); err != nil {
		return err
	}
	return measureRecovery(at, rows, service)
}

// measureEncoding fills a state, encodes it and decodes it again. It returns the encoded state.
func measureEncoding(at *listSteps, rows *rowsOf) (image []byte, err error) {
	if err := at.next("filling the list"); err != nil {
		return nil, err
	}
	before := heapInUse()
	state, err := listState(rows.size, listLease)
	if err != nil {
		return nil, err
	}
	rows.bytes("heap of the state", heapGrowth(before))
	began := time.Now()
	if image, err = json.Marshal(state); err != nil {
		return nil, err
	}
	rows.time("snapshot, to encode", time.Since(began))
	rows.bytes("snapshot", uint64(len(image)))
	began = time.Now()
	if err := json.Unmarshal(image, new(registry.State)); err != nil {
		return nil, err
	}
	rows.time("snapshot, to decode", time.Since(began))
	runtime.KeepAlive(state)
	return image, nil
}

// measureRestore starts a replica from a backup.
func measureRestore(at *listSteps, rows *rowsOf, image []byte) (*listReplica, error) {
	if err := at.next("restoring a backup"); err != nil {
		return nil, err
	}
	before := heapInUse()
	began := time.Now()
	service, err := startReplica(at.ctx, image)
	if err != nil {
		return nil, err
	}
	rows.time("restore of a backup, until the replica leads", time.Since(began))
	rows.bytes("heap of a replica", heapGrowth(before))
	runtime.KeepAlive(image)
	return service, nil
}

// measureSnapshot has a replica write its snapshot.
func measureSnapshot(at *listSteps, rows *rowsOf, service *listReplica) error {
	if err := at.next("writing a snapshot"); err != nil {
		return err
	}
	began := time.Now()
	if err := service.Snapshot(); err != nil {
		return err
	}
	rows.time("snapshot, to its file", time.Since(began))
	return nil
}

// measureRecovery ends a replica and starts it from its snapshot.
func measureRecovery(at *listSteps, rows *rowsOf, service *listReplica) error {
	if err := at.next("recovering"); err != nil {
		return err
	}
	generation := service.Generation()
	if err := service.stop(); err != nil {
		return err
	}
	began := time.Now()
	if err := service.start(at.ctx, ""); err != nil {
		return err
	}
	rows.time("recovery from a snapshot", time.Since(began))
	if got := service.Generation(); got != generation {
		return fmt.Errorf("recovered generation %d, not %d", got, generation)
	}
	return nil
}

// heapGrowth is what the live heap is larger than before.
func heapGrowth(before uint64) uint64 {
	if now := heapInUse(); now > before {
		return now - before
	}
	return 0
}

// Figures of the measurements of watches.
const (
	singleChanges  = 3   // that are told one after another
	zoneWriters    = 64  // clients that write a lost zone's removals at once
	wholeListReads = 128 // most watches that take the whole list at once
	lostZone       = 0
)

// ListService measures what a replica tells its watches. There are as many watches for each entry
// as in the plan.
func ListService() Part {
	return Part{
		Name: "list-watches",
		Title: "One replica of the list service with the plan's share of watches, 41 for each 2,000 entries, over loopback in one process: " +
			"a change, a zone lost one entry after another, all watches coming back from before it, and whole lists to at most 128 watches.",
		Size:    "entries in the list",
		Sizes:   listSizes,
		Small:   listSmall,
		Memory:  func(size int) uint64 { return listServiceMemory(1, size) },
		Measure: inSteps("list-watches", 6, measureService),
	}
}

// watchesOf is the number of watches of a list in the plan's proportions.
func watchesOf(entries int) int { return max(entries*planWatches/planEntries, 1) }

func measureService(at *listSteps, rows *rowsOf) (err error) {
	service, err := at.restore(rows.size, listLease, electionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, service.close()) }()
	run := serviceRun{at: at, rows: rows, service: service, writer: newListWriter(service.Addr()), watches: watchesOf(rows.size)}
	defer run.writer.close()
	return errors.Join(run.followed(), run.reconnects(), run.snapshots())
}

// serviceRun is the measurement of one list.
type serviceRun struct {
	at         *listSteps
	rows       *rowsOf
	service    *listReplica
	writer     *listWriter
	watches    int
	beforeZone uint64 // generation before the zone was lost
}

// followed measures changes that reach watches that are open.
func (r *serviceRun) followed() error {
	if err := r.at.next("opening watches"); err != nil {
		return err
	}
	began := time.Now()
	watches, err := openWatches(r.at.ctx, startsAt(r.service.Addr(), r.watches, r.service.Generation()), r.at.env.Seed)
	if err != nil {
		return err
	}
	defer watches.close()
	r.rows.count("watches", r.watches)
	r.rows.time("watches, until all are open", time.Since(began))
	if err := r.singles(watches); err != nil {
		return err
	}
	return r.zone(watches)
}

// singles measures changes that come one after another.
func (r *serviceRun) singles(watches *listWatches) error {
	if err := r.at.next("telling single changes"); err != nil {
		return err
	}
	var late []time.Duration
	for n := range singleChanges {
		began := time.Now()
		generation, err := r.writer.drain(r.at.ctx, n*planZones+lostZone+1)
		if err != nil {
			return err
		}
		last, err := watches.awaitGeneration(r.at.ctx, generation)
		if err != nil {
			return err
		}
		late = append(late, last.Sub(began))
	}
	r.rows.time("first change, to the last watch", late[0])
	r.rows.time("next two changes, most to the last watch", slices.Max(late[1:]))
	told := watches.count()
	r.rows.bytes("one change, most to a watch", told.maxBytes/singleChanges)
	return told.firstError
}

// zone measures the loss of a zone, one removal for each entry.
func (r *serviceRun) zone(watches *listWatches) error {
	if err := r.at.next("losing a zone"); err != nil {
		return err
	}
	r.beforeZone = r.service.Generation()
	before := watches.count()
	began := time.Now()
	lost := zoneEntries(r.rows.size)
	if err := r.writer.removeZone(r.at.ctx, r.rows.size); err != nil {
		return err
	}
	written := time.Since(began)
	last, err := watches.awaitGeneration(r.at.ctx, r.beforeZone+uint64(lost))
	if err != nil {
		return err
	}
	r.rows.count("zone lost, entries", lost)
	r.rows.time("zone lost, all removals written", written)
	r.rows.time("zone lost, from the first removal to the last watch", last.Sub(began))
	r.rows.time("zone lost, from the last removal to the last watch", max(last.Sub(began)-written, 0))
	told := watches.count()
	r.rows.bytes("zone lost, most to a watch", told.maxBytes-before.maxBytes)
	r.rows.count("watches told otherwise than each change once and in order", told.outOfOrder)
	r.rows.count("whole lists to watches that were open", int(told.snapshots))
	return told.firstError
}

// opened opens watches from a generation, waits until the last has the list, and closes them. It returns
// what they were told and how long that took.
func (r *serviceRun) opened(n int, from uint64) (told watchTotals, took time.Duration, err error) {
	began := time.Now()
	watches, err := openWatches(r.at.ctx, startsAt(r.service.Addr(), n, from), r.at.env.Seed)
	if err != nil {
		return told, 0, err
	}
	defer watches.close()
	last, err := watches.awaitGeneration(r.at.ctx, r.service.Generation())
	if err != nil {
		return told, 0, err
	}
	return watches.count(), last.Sub(began), nil
}

// reconnects measures all watches as they come back together, from before the zone was lost.
func (r *serviceRun) reconnects() error {
	if err := r.at.next("all watches come back"); err != nil {
		return err
	}
	told, took, err := r.opened(r.watches, r.beforeZone)
	if err != nil {
		return err
	}
	r.rows.time("all come back, until the last has the list", took)
	r.rows.bytes("all come back, most to a watch", told.maxBytes)
	r.rows.count("all come back, whole lists", int(told.snapshots))
	r.rows.count("all come back, told otherwise than each change once and in order", told.outOfOrder)
	return told.firstError
}

// snapshots measures whole lists to watches that begin anew.
func (r *serviceRun) snapshots() error {
	if err := r.at.next("telling whole lists"); err != nil {
		return err
	}
	readers := min(r.watches, wholeListReads)
	told, took, err := r.opened(readers, 0)
	if err != nil {
		return err
	}
	r.rows.count("whole list, watches that take it at once", readers)
	r.rows.add("whole list, factor from these to all watches", float64(r.watches)/float64(readers), "")
	r.rows.time("whole list, until the last of these has it", took)
	r.rows.bytes("whole list, most to a watch", told.maxBytes)
	r.rows.count("whole list, whole lists told", int(told.snapshots))
	return told.firstError
}
