package edgenode

import (
	"math/rand/v2"
	"time"
)

// Follower is the state machine that keeps an edge node on the list, for a host that brings a
// clock and discovery of its own: a measurement of many edge nodes. Times count from any origin.
type Follower struct{ state follower }

// Command is a call that a [Follower] wants opened or ended.
type Command struct {
	Open  bool
	Watch bool // of one to be opened: a watch, not a fetch of the whole list
	ID    uint64
	From  uint64 // of a watch: the version that it goes on from, 0 for the whole list
}

// NewFollower returns the follower of an edge node that asks a list service which the whole fleet
// shares. It holds the list of a version, 0 for none; within is how often it has to ask without a
// watch, as the settings have it.
func NewFollower(fleet int, within time.Duration, version uint64, rng *rand.Rand) *Follower {
	return &Follower{follower{fleetSize: fleet, pollInterval: within, version: version, rng: rng}}
}

// Start begins, with a list that may be old.
func (f *Follower) Start(now time.Duration) { f.state.start(now) }

// Step returns the orders that are due and the time by which it has to be called again.
func (f *Follower) Step(now time.Duration) (due []Command, wake time.Duration) {
	orders, wake := f.state.advance(now)
	for _, o := range orders {
		due = append(due, Command{Open: o.open, Watch: o.kind == watchCall, ID: o.id, From: o.from})
	}
	return due, wake
}

// Got tells that the head of a call's answer has come, or part of a message.
func (f *Follower) Got(now time.Duration, id uint64, partial bool) {
	f.state.received(now, id, partial)
}

// Message tells that a message without a fault has come whole, and returns whether it is to be
// applied.
func (f *Follower) Message(now time.Duration, id, version uint64, whole bool) (take bool) {
	return f.state.message(now, id, version, whole, false)
}

// Ended tells that a call has ended by itself. turnedAway means that discovery had no room for it,
// with the pause that it asks for.
func (f *Follower) Ended(now time.Duration, id uint64, turnedAway bool, pause time.Duration) {
	f.state.ended(now, id, turnedAway, pause)
}
