package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"opalhook/internal/discovery"
)

// ErrSilent is the reason for which a watch is closed that has brought no complete line within its timeout.
var ErrSilent = errors.New("silent for too long")

// VersionError is the reason for which a replica is left whose generations do not go on from what is held.
type VersionError struct {
	Generation uint64 // of the replica's message
	Held       uint64
	Snapshot   bool // the message is a complete list
}

// Error implements error.
func (e *VersionError) Error() string {
	kind := "changes"
	if e.Snapshot {
		kind = "complete list"
	}
	return fmt.Sprintf("%s of generation %d while %d is held", kind, e.Generation, e.Held)
}

// callState is what a follower's current call has come to.
type callState int

const (
	backingOff callState = iota // there is none; the next one is due at Follower.callAt
	calling                     // the replica has not answered yet
	watching                    // the watch is open
)

// rollback is a time in which no replica accepted the generation that is held.
type rollback struct {
	active bool
	since  time.Duration
}

// Follower is the state machine of one follower of the list. Times count from any fixed moment on a monotonic clock. It
// is not safe for concurrent use.
type Follower struct {
	rules    Rules
	replicas []string // in the order of preference
	rng      *rand.Rand
	actions  []Action

	callID       uint64 // of the latest call; what earlier ones bring is ignored
	rank         int    // of the replica of that call
	state        callState
	callAt       time.Duration // when the next call is due
	returnAt     time.Duration // when to return to the first replica
	lastReceived time.Duration // when a complete line came last, or the call began
	lastHealthy  time.Duration // when a replica last confirmed what is held

	budget  callBudget
	backoff backoff

	held      view
	rollback  rollback
	losses    lossDetector
	suspect   *suspectList // nil: none
	publisher publisher
}

// NewFollower returns a follower whose first call is due within the start window. Its name must differ from machine to
// machine, as replicas are ranked by it; seed is that of its random backoffs.
func NewFollower(now time.Duration, name string, replicas []string, rules Rules, seed uint64) *Follower {
	const secondSeed = 0x9e3779b97f4a7c15 // makes the generator's two words differ
	rng := rand.New(rand.NewPCG(seed, seed^secondSeed))
	return &Follower{
		rules:        rules,
		replicas:     Rank(name, replicas),
		rng:          rng,
		callAt:       now + randomDuration(rng, rules.StartWindow),
		lastReceived: now,
		lastHealthy:  now,
		budget:       newCallBudget(now, rules),
		backoff:      newBackoff(rules, rng),
		losses:       lossDetector{maxFraction: rules.MaxLossFraction, window: rules.LossWindow},
		publisher:    newPublisher(rules),
	}
}

// Published returns the list as nodes have it, complete.
func (f *Follower) Published() discovery.Message { return f.publisher.published.snapshot() }

// FollowerStatus describes a follower.
type FollowerStatus struct {
	Generation uint64        // that is published
	Endpoints  int           // in the published list
	Age        time.Duration // since a replica last confirmed what is held
	Watching   bool          // a watch is open
	Suspecting bool          // a list is suspect
}

// Status describes the follower at a time.
func (f *Follower) Status(now time.Duration) FollowerStatus {
	return FollowerStatus{
		Generation: f.publisher.published.generation,
		Endpoints:  len(f.publisher.published.entries),
		Age:        now - f.lastHealthy,
		Watching:   f.state == watching,
		Suspecting: f.suspect != nil,
	}
}

// NextTick returns when [Follower.Tick] is due at the latest.
func (f *Follower) NextTick() time.Duration {
	next := f.lastReceived + f.rules.SilenceTimeout
	if f.state == backingOff {
		next = f.callAt
	}
	if f.suspect != nil {
		next = min(next, f.suspect.since+f.rules.SuspectTimeout)
	}
	if f.state == watching && f.rank > 0 {
		next = min(next, f.returnAt)
	}
	if at, ok := f.publisher.due(); ok {
		next = min(next, at)
	}
	return next
}

// Tick does what is due.
func (f *Follower) Tick(now time.Duration) {
	f.acceptUncontradicted(now)
	switch {
	case f.state == backingOff && now >= f.callAt:
		f.call(now)
	case f.state != backingOff && now >= f.lastReceived+f.rules.SilenceTimeout:
		f.abandonCall(now, 0, ErrSilent)
	case f.state == watching && f.rank > 0 && now >= f.returnAt && f.budget.spend(now):
		f.rank = 0 // what is held stays while the new watch opens
		f.emit(Action{Kind: CloseWatch, CallID: f.callID})
		f.openWatch(now)
	}
	f.publish(now)
}

// call opens a watch if the budget has a call left, or waits for one. The first call of a process is free.
func (f *Follower) call(now time.Duration) {
	if f.callID > 0 && !f.budget.spend(now) {
		f.callAt = now + f.budget.untilNext()
		return
	}
	f.openWatch(now)
}

func (f *Follower) openWatch(now time.Duration) {
	f.callID++
	f.state, f.lastReceived = calling, now
	f.emit(Action{Kind: OpenWatch, Replica: f.replica(), CallID: f.callID, From: f.latest().generation})
}

// replica returns the one that is followed.
func (f *Follower) replica() string { return f.replicas[f.rank] }

// latest returns the newest list that replicas have sent, accepted or suspect.
func (f *Follower) latest() view {
	if f.suspect != nil {
		return f.suspect.view
	}
	return f.held
}

// abandonCall closes a call that failed and backs off before the next one, to another replica.
func (f *Follower) abandonCall(now, retryAfter time.Duration, cause error) {
	f.emit(Action{Kind: CloseWatch, CallID: f.callID})
	wait := f.backoff.fail(len(f.replicas), retryAfter)
	if f.backoff.failures == 1 { // one line for an outage
		f.warn("replica left", slog.String("replica", f.replica()), slog.Any("err", cause))
	}
	f.rank = (f.rank + 1) % len(f.replicas)
	f.callAfter(now, wait)
}

func (f *Follower) callAfter(now, wait time.Duration) { f.state, f.callAt = backingOff, now+wait }

// WatchOpened takes in that a replica has answered a call with a watch.
func (f *Follower) WatchOpened(now time.Duration, callID uint64) {
	if callID != f.callID || f.state == backingOff {
		return
	}
	f.state, f.lastReceived = watching, now
	f.returnAt = now + f.rules.PreferredReturn/2 + randomDuration(f.rng, f.rules.PreferredReturn)
}

// CallFailed takes in that a call failed or that its watch ended, with the cause; retryAfter is what the replica
// advises, 0 for nothing.
func (f *Follower) CallFailed(now time.Duration, callID uint64, retryAfter time.Duration, cause error) {
	if callID == f.callID && f.state != backingOff {
		f.abandonCall(now, retryAfter, cause)
	}
}

// HeartbeatReceived takes in an empty line of a watch.
func (f *Follower) HeartbeatReceived(now time.Duration, callID uint64) {
	if callID == f.callID && f.state == watching {
		f.markHealthy(now)
	}
}

// markHealthy notes that the replica has the generation that is held, or a later one.
func (f *Follower) markHealthy(now time.Duration) {
	if f.backoff.failures > 0 {
		f.warn("replica followed again", slog.String("replica", f.replica()))
	}
	f.backoff.reset()
	f.lastReceived, f.lastHealthy = now, now
	f.rollback.active = false
}

// MessageReceived takes in a message of a watch.
func (f *Follower) MessageReceived(now time.Duration, callID uint64, m discovery.Message) {
	if callID != f.callID || f.state != watching {
		return
	}
	err := m.Validate()
	if err == nil {
		err = f.checkGeneration(now, m)
	}
	if err != nil {
		f.abandonCall(now, 0, err)
		return
	}
	f.markHealthy(now)
	f.consider(now, f.latest().apply(m))
	f.publish(now)
}

// checkGeneration returns a [*VersionError] for a message that does not go on from what is held. A complete list of an
// earlier generation is let through once every replica has had no later one for the rollback tolerance, which begins
// with the first such list. That it was let through is logged.
func (f *Follower) checkGeneration(now time.Duration, m discovery.Message) error {
	held := f.latest().generation
	if !m.Reset {
		if held == 0 || discovery.Epoch(m.Generation) != discovery.Epoch(held) || m.Generation <= held {
			return &VersionError{Generation: m.Generation, Held: held}
		}
		return nil
	}
	if m.Generation >= held {
		return nil
	}
	if !f.rollback.active {
		f.rollback = rollback{active: true, since: now}
	} else if now-f.rollback.since >= f.rules.RollbackTolerance {
		f.warn("rollback accepted", slog.String("replica", f.replica()), slog.Uint64("generation", m.Generation),
			slog.Uint64("previous_generation", held))
		return nil
	}
	return &VersionError{Generation: m.Generation, Held: held, Snapshot: true}
}

// publish sends what is held to the nodes, if it is due.
func (f *Follower) publish(now time.Duration) {
	if m, ok := f.publisher.next(now, f.held); ok {
		f.emit(Action{Kind: PublishList, List: m})
	}
}
