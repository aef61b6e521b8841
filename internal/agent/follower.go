package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"opalhook/internal/discovery"
)

// ErrSilenceTimeout means that a call was closed because the replica sent no complete line within
// [Rules.SilenceTimeout].
var ErrSilenceTimeout = errors.New("no complete line within the silence timeout")

// GenerationError means that a replica's message does not follow the latest list of the follower.
type GenerationError struct {
	Generation uint64 // generation of the replica's message
	Latest     uint64 // generation of the latest list, accepted or suspect; 0: none
	Snapshot   bool   // whether the message is a complete list
}

// Error implements error.
func (e *GenerationError) Error() string {
	kind := "changes"
	if e.Snapshot {
		kind = "complete list"
	}
	return fmt.Sprintf("%s: generation %d does not follow generation %d", kind, e.Generation, e.Latest)
}

// callState is the state of a follower's current call.
type callState int

const (
	backingOff callState = iota // no call; the next one is due at Follower.callAt
	calling                     // call sent, no response yet
	watching                    // watch open
)

// rollback tracks a period in which replicas offered complete lists older than the latest one, and none
// confirmed the latest one.
type rollback struct {
	active bool
	since  time.Duration
}

// Follower is the state machine that follows the list at one replica after the other. Its host calls
// [Follower.Tick] when it is due, reports the results of calls, and performs the actions of
// [Follower.TakeActions] after each of these. Times are those of a monotonic clock with any origin. A
// Follower is not safe for concurrent use.
type Follower struct {
	rules    Rules
	replicas []string // in order of preference
	rng      *rand.Rand
	actions  []Action

	callID       uint64 // ID of the latest call; events of earlier calls are ignored
	rank         int    // index in replicas of the replica that is followed or called next
	state        callState
	callAt       time.Duration // time of the next call while backing off
	returnAt     time.Duration // time to return to the preferred replica, replicas[0]
	lastReceived time.Duration // time of the last complete line, or of the start of the call
	lastHealthy  time.Duration // time at which a replica last confirmed the latest list

	budget  callBudget
	backoff backoff

	accepted  view
	rollback  rollback
	losses    lossDetector
	suspect   *suspectList // nil if no list is suspect
	publisher publisher
}

// NewFollower returns a follower whose first call is due within [Rules.StartWindow]. It ranks the replicas by
// [Rank] with name, which must be unique among the machines. The seed determines all random delays.
func NewFollower(now time.Duration, name string, replicas []string, rules Rules, seed uint64) *Follower {
	const secondSeed = 0x9e3779b97f4a7c15 // makes the two seed words of the generator differ
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

// Published returns the complete list that has been published to nodes.
func (f *Follower) Published() discovery.Message { return f.publisher.published.snapshot() }

// FollowerStatus is the status of a [Follower].
type FollowerStatus struct {
	Generation uint64        // generation of the published list
	Endpoints  int           // number of endpoints in the published list
	Age        time.Duration // time since a replica last confirmed the latest list
	Watching   bool          // whether a watch is open
	Suspecting bool          // whether a newer list is suspect
}

// Status returns the follower's status.
func (f *Follower) Status(now time.Duration) FollowerStatus {
	return FollowerStatus{
		Generation: f.publisher.published.generation,
		Endpoints:  len(f.publisher.published.entries),
		Age:        now - f.lastHealthy,
		Watching:   f.state == watching,
		Suspecting: f.suspect != nil,
	}
}

// NextTick returns the time at which [Follower.Tick] has to be called next.
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

// Tick performs the steps that are due: calls, timeouts, the return to the preferred replica and
// publications.
func (f *Follower) Tick(now time.Duration) {
	f.acceptAfterTimeout(now)
	switch {
	case f.state == backingOff && now >= f.callAt:
		f.call(now)
	case f.state != backingOff && now >= f.lastReceived+f.rules.SilenceTimeout:
		f.abandonCall(now, 0, ErrSilenceTimeout)
	case f.state == watching && f.rank > 0 && now >= f.returnAt && f.budget.spend(now):
		f.rank = 0 // the accepted list stays in use while the new watch opens
		f.emit(Action{Kind: CloseWatch, CallID: f.callID})
		f.openWatch(now)
	}
	f.publish(now)
}

// call opens a watch if the budget allows it, and otherwise postpones the call until the next token. The
// first call of a follower does not count against the budget.
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

// replica returns the address of the replica that is followed or called next.
func (f *Follower) replica() string { return f.replicas[f.rank] }

// latest returns the suspect list if there is one, or else the accepted list.
func (f *Follower) latest() view {
	if f.suspect != nil {
		return f.suspect.view
	}
	return f.accepted
}

// abandonCall closes a failed call and backs off before calling the next replica.
func (f *Follower) abandonCall(now, retryAfter time.Duration, cause error) {
	f.emit(Action{Kind: CloseWatch, CallID: f.callID})
	wait := f.backoff.fail(len(f.replicas), retryAfter)
	if f.backoff.failures == 1 { // log an outage only once
		f.warn("replica left", slog.String("replica", f.replica()), slog.Any("err", cause))
	}
	f.rank = (f.rank + 1) % len(f.replicas)
	f.scheduleCall(now, wait)
}

func (f *Follower) scheduleCall(now, wait time.Duration) { f.state, f.callAt = backingOff, now+wait }

// WatchOpened reports that a replica has answered a call and the watch is open.
func (f *Follower) WatchOpened(now time.Duration, callID uint64) {
	if callID != f.callID || f.state == backingOff {
		return
	}
	f.state, f.lastReceived = watching, now
	f.returnAt = now + f.rules.PreferredReturn/2 + randomDuration(f.rng, f.rules.PreferredReturn)
}

// CallFailed reports that a call failed or its watch ended, and the cause. retryAfter is the replica's
// Retry-After, or 0.
func (f *Follower) CallFailed(now time.Duration, callID uint64, retryAfter time.Duration, cause error) {
	if callID == f.callID && f.state != backingOff {
		f.abandonCall(now, retryAfter, cause)
	}
}

// HeartbeatReceived reports a heartbeat, an empty line of a watch.
func (f *Follower) HeartbeatReceived(now time.Duration, callID uint64) {
	if callID == f.callID && f.state == watching {
		f.markHealthy(now)
	}
}

// markHealthy records that the replica has the latest list or a newer one. It ends the backoff and a rollback
// period.
func (f *Follower) markHealthy(now time.Duration) {
	if f.backoff.failures > 0 {
		f.warn("replica followed again", slog.String("replica", f.replica()))
	}
	f.backoff.reset()
	f.lastReceived, f.lastHealthy = now, now
	f.rollback.active = false
}

// MessageReceived reports a message of a watch. If the message is invalid or its generation does not follow
// the latest one, the follower leaves the replica.
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
	f.acceptOrSuspect(now, f.latest().apply(m))
	f.publish(now)
}

// checkGeneration returns a [*GenerationError] for a message that does not follow the latest list. A complete
// list of an older generation is accepted, and logged, once [Rules.RollbackTolerance] has passed since the
// first such list and no replica has confirmed the latest list in the meantime.
func (f *Follower) checkGeneration(now time.Duration, m discovery.Message) error {
	current := f.latest().generation
	if !m.Snapshot {
		if current == 0 || discovery.Epoch(m.Generation) != discovery.Epoch(current) ||
			m.Generation <= current {
			return &GenerationError{Generation: m.Generation, Latest: current}
		}
		return nil
	}
	if m.Generation >= current {
		return nil
	}
	if !f.rollback.active {
		f.rollback = rollback{active: true, since: now}
	} else if now-f.rollback.since >= f.rules.RollbackTolerance {
		f.warn("rollback accepted", slog.String("replica", f.replica()),
			slog.Uint64("generation", m.Generation), slog.Uint64("previous_generation", current))
		return nil
	}
	return &GenerationError{Generation: m.Generation, Latest: current, Snapshot: true}
}

// publish emits the message that updates nodes to the accepted list, if one is due.
func (f *Follower) publish(now time.Duration) {
	if m, ok := f.publisher.next(now, f.accepted); ok {
		f.emit(Action{Kind: PublishList, List: m})
	}
}
