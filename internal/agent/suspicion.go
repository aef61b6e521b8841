package agent

import (
	"log/slog"
	"slices"
	"time"

	"opalhook/internal/discovery"
)

// lossDetector detects lists that have lost more endpoints than are expected to fail at the same time.
type lossDetector struct {
	maxFraction float64
	window      time.Duration

	baseline   int           // largest number of endpoints up in accepted lists of the window
	baselineAt time.Duration // start of the window
}

// refresh starts a new window after the current one has ended. Its baseline is the number of endpoints up.
func (d *lossDetector) refresh(now time.Duration, up int) {
	if now-d.baselineAt >= d.window {
		d.baseline, d.baselineAt = up, now
	}
}

// suspects reports whether a list with the given number of endpoints up has lost too many: all of them, or
// more than one plus maxFraction of the baseline. The additional one keeps the loss of one endpoint out of a
// few from being suspect.
func (d *lossDetector) suspects(up int) bool {
	return d.baseline > 0 && up == 0 || float64(up) < (1-d.maxFraction)*float64(d.baseline)-1
}

// recordAccepted records the number of endpoints up in an accepted list. After a suspect list it starts a new
// window with that number as the baseline.
func (d *lossDetector) recordAccepted(now time.Duration, up int) {
	d.baseline = max(d.baseline, up)
	if up < d.baseline && d.suspects(up) {
		d.baseline, d.baselineAt = up, now
	}
}

// suspectList is a list that has to be confirmed by a second replica or wait for the timeout.
type suspectList struct {
	view
	since     time.Duration
	replica   string // replica that sent the list
	consulted int    // rank of the replica that was consulted last
}

// acceptOrSuspect accepts a list, or marks it as suspect and consults another replica.
func (f *Follower) acceptOrSuspect(now time.Duration, v view) {
	f.losses.refresh(now, f.accepted.upCount())
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

// consultNextReplica fetches the list of the next replica. It makes no call if the next one is the replica
// that sent the suspect list or if the call budget is used up.
func (f *Follower) consultNextReplica(now time.Duration) {
	f.suspect.consulted = (f.suspect.consulted + 1) % len(f.replicas)
	replica := f.replicas[f.suspect.consulted]
	if replica != f.suspect.replica && f.budget.spend(now) {
		f.emit(Action{Kind: FetchSnapshot, Replica: replica})
	}
}

// SnapshotReceived reports the result of a fetch: a replica's complete list, or the error of the fetch. A
// list that has lost too many endpoints as well confirms the suspect list. Any other list of the same or a
// later generation contradicts it, and its replica is followed instead. An older list of the same epoch has
// no effect. After a failed or unusable response the follower consults the next replica.
func (f *Follower) SnapshotReceived(now time.Duration, replica string, m discovery.Message, err error) {
	suspect := f.suspect
	if suspect == nil || replica == suspect.replica {
		return
	}
	switch {
	case err != nil || m.Validate() != nil || !m.Snapshot ||
		discovery.Epoch(m.Generation) < discovery.Epoch(suspect.generation):
		f.consultNextReplica(now)
	case f.losses.suspects(view{}.apply(m).upCount()):
		f.warn("suspect list confirmed", slog.String("replica", replica),
			slog.Uint64("generation", suspect.generation), slog.Int("endpoints", suspect.upCount()),
			slog.Int("previous_endpoints", f.accepted.upCount()))
		f.accept(now, suspect.view)
		f.publish(now)
	case m.Generation >= suspect.generation:
		f.warn("suspect list contradicted", slog.String("replica", replica),
			slog.String("suspect_replica", suspect.replica), slog.Uint64("generation", m.Generation))
		f.suspect = nil
		f.rank = slices.Index(f.replicas, replica)
		f.emit(Action{Kind: CloseWatch, CallID: f.callID})
		f.scheduleCall(now, randomDuration(f.rng, f.rules.InitialBackoff))
	}
}

// acceptAfterTimeout accepts a list that has been suspect for [Rules.SuspectTimeout].
func (f *Follower) acceptAfterTimeout(now time.Duration) {
	if f.suspect == nil || now < f.suspect.since+f.rules.SuspectTimeout {
		return
	}
	f.warn("suspect list accepted after timeout", slog.Uint64("generation", f.suspect.generation),
		slog.Int("endpoints", len(f.suspect.entries)),
		slog.Int("previous_endpoints", len(f.accepted.entries)))
	f.accept(now, f.suspect.view)
}

// accept makes v the accepted list.
func (f *Follower) accept(now time.Duration, v view) {
	f.accepted, f.suspect = v, nil
	f.losses.recordAccepted(now, v.upCount())
	f.publisher.trackRemovals(now, v)
}
