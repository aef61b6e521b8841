package agent

import (
	"log/slog"
	"slices"
	"time"

	"opalhook/internal/discovery"
)

// lossDetector tells a list that has lost more endpoints than fail at once.
type lossDetector struct {
	maxFraction float64
	window      time.Duration

	baseline   int // the most endpoints up within the window
	baselineAt time.Duration
}

// refresh starts a new window from the number of endpoints that are up, once the current one has passed.
func (d *lossDetector) refresh(now time.Duration, up int) {
	if now-d.baselineAt >= d.window {
		d.baseline, d.baselineAt = up, now
	}
}

// suspects reports whether a list with so many endpoints up has lost too many: all of them, or more than the fraction
// and one, so that the loss of one endpoint out of a few is not suspect.
func (d *lossDetector) suspects(up int) bool {
	return d.baseline > 0 && up == 0 || float64(up) < (1-d.maxFraction)*float64(d.baseline)-1
}

// accepted notes the number of endpoints up in a list that was accepted. One that was suspect is the new baseline.
func (d *lossDetector) accepted(now time.Duration, up int) {
	d.baseline = max(d.baseline, up)
	if up < d.baseline && d.suspects(up) {
		d.baseline, d.baselineAt = up, now
	}
}

// suspectList is a list that waits for a second replica.
type suspectList struct {
	view
	since     time.Duration
	replica   string // that has it
	consulted int    // rank of the replica that was consulted last
}

// consider accepts a list or suspects it.
func (f *Follower) consider(now time.Duration, v view) {
	f.losses.refresh(now, f.held.upCount())
	switch {
	case !f.losses.suspects(v.upCount()):
		f.accept(now, v)
	case f.suspect != nil:
		f.suspect.view = v
	default:
		f.warn("list suspected", slog.String("replica", f.replica()), slog.Uint64("generation", v.generation),
			slog.Int("endpoints", v.upCount()), slog.Int("previous_endpoints", f.losses.baseline))
		f.suspect = &suspectList{view: v, since: now, replica: f.replica(), consulted: f.rank}
		f.consultNextReplica(now)
	}
}

// consultNextReplica fetches the list of the next replica, if there is another one and the budget allows it.
func (f *Follower) consultNextReplica(now time.Duration) {
	f.suspect.consulted = (f.suspect.consulted + 1) % len(f.replicas)
	replica := f.replicas[f.suspect.consulted]
	if replica != f.suspect.replica && f.budget.spend(now) {
		f.emit(Action{Kind: FetchSnapshot, Replica: replica})
	}
}

// SnapshotReceived takes in what a replica answered to a fetch of its complete list, or the error that the fetch ended
// with.
func (f *Follower) SnapshotReceived(now time.Duration, replica string, m discovery.Message, err error) {
	suspect := f.suspect
	if suspect == nil || replica == suspect.replica {
		return
	}
	switch {
	case err != nil || m.Validate() != nil || !m.Reset || discovery.Epoch(m.Generation) < discovery.Epoch(suspect.generation):
		f.consultNextReplica(now)
	case f.losses.suspects(view{}.apply(m).upCount()):
		f.warn("suspect list confirmed", slog.String("replica", replica), slog.Uint64("generation", suspect.generation),
			slog.Int("endpoints", suspect.upCount()), slog.Int("previous_endpoints", f.held.upCount()))
		f.accept(now, suspect.view)
		f.publish(now)
	case m.Generation >= suspect.generation:
		f.warn("suspect list contradicted", slog.String("replica", replica), slog.String("suspect_replica", suspect.replica),
			slog.Uint64("generation", m.Generation))
		f.suspect = nil
		f.rank = slices.Index(f.replicas, replica)
		f.emit(Action{Kind: CloseWatch, CallID: f.callID})
		f.callAfter(now, randomDuration(f.rng, f.rules.InitialBackoff))
	}
}

// acceptUncontradicted accepts a list that has been suspect for long enough.
func (f *Follower) acceptUncontradicted(now time.Duration) {
	if f.suspect == nil || now < f.suspect.since+f.rules.SuspectTimeout {
		return
	}
	f.warn("suspect list accepted after timeout", slog.Uint64("generation", f.suspect.generation),
		slog.Int("endpoints", len(f.suspect.entries)), slog.Int("previous_endpoints", len(f.held.entries)))
	f.accept(now, f.suspect.view)
}

// accept makes a view the one that is held.
func (f *Follower) accept(now time.Duration, v view) {
	f.held, f.suspect = v, nil
	f.losses.accepted(now, v.upCount())
	f.publisher.trackRemovals(now, v)
}
