package edgenode

import (
	"math/rand/v2"
	"time"
)

// # How the list is followed
//
// A follower is the state machine that keeps an edge node on the list: what its calls of
// discovery bring goes in, the calls to be made come out. It has no clock, no socket and no
// source of chance but what it is given; [discoveryClient] is its host.
//
// There are two kinds of calls. A watch stays open and brings changes. A fetch brings the whole
// list, at once or not at all. Discovery comes in two kinds as well, which the settings tell:
//
//   - Lists are pushed: the address is an agent on the edge node's own machine. It answers at
//     once and at no cost, and what it has counts as told, whether or not a watch is open. So any
//     doubt whether the node has what the agent has is met at once by a fetch, and by another
//     each fetchEvery until one is answered, whatever the size of the fleet. Meanwhile one watch
//     stays open with more patience, for an agent that answers late.
//   - Lists are asked for: one service answers the calls of the whole fleet in turn, and its line
//     is short. Nodes that it drops all at once must not come back all at once, and those that
//     it turns away must come the more seldom the more they are. There is one call at a time, and
//     the pause before it is drawn from a span that grows with the fleet; but what a watch misses
//     counts as told toldAfter its silence began, so that the first new one comes before that.
//
// An agent that turns calls away has a line after all: then it is called as a service is.

// Figures of the platform's pages.
const (
	emptyLineInterval = 2 * time.Second // an empty line comes so often on a watch that works
	reportedAfter     = 6 * time.Second // what a watch misses counts as told so long after it fell silent
)

// Pace of the calls.
const (
	pushedSilenceLimit   = emptyLineInterval + 300*time.Millisecond // silence after which a pushed watch is in doubt
	polledSilenceLimit   = emptyLineInterval + time.Second          // and after which one of the service has broken
	pushedMessageTimeout = 200 * time.Millisecond                   // in which an agent writes a whole message, or answers a call
	polledMessageTimeout = 3 * time.Second                          // and the service
	maxCallDuration      = 3 * time.Second                          // after which a call without an answer, or a watch in doubt, is given up
	maxFetchInterval     = 150 * time.Millisecond                   // most pause from one fetch to the next; half of it at least
	responseReserve      = time.Second                              // of toldAfter that is left for the call's answer
	fleetCallInterval    = 100 * time.Millisecond                   // from one edge node's new try to the next one's, over the fleet
	smallFleetMaxWindow  = time.Second                              // of the pause of a small fleet
	maxWindowFactor      = 2                                        // most span of a large fleet, as a multiple of the first
	maxRereadInterval    = time.Minute                              // most pause from one reading of a spoilt list to the next
	defaultPollInterval  = 10 * time.Second                         // where the settings don't tell within what an edge node has to ask
)

// callKind is what a call asks for.
type callKind int

const (
	watchCall callKind = iota
	fetchCall
)

// call is a call of discovery that is out.
type call struct {
	id             uint64 // 0: there is none
	kind           callKind
	from           uint64 // of a watch: the version that it went on from
	opened         time.Duration
	answered       bool          // its head has come, with status 200
	confirmed      bool          // a message or an empty line has come whole
	lastActivity   time.Duration // when anything came last, or when it was opened
	messageStarted time.Duration // when the message began that is not whole
	partial        bool          // there is one
}

// command is what the host has to do: open a call, or end one.
type command struct {
	open bool
	kind callKind
	id   uint64
	from uint64 // of a watch: the version that it goes on from
}

// follower decides which calls are out. The zero value of its state is that of a new process.
type follower struct {
	pushed       bool
	fleetSize    int           // edge nodes
	pollInterval time.Duration // lists asked for: how often a node without a watch has to ask
	rng          *rand.Rand

	version      uint64 // of the list that is held
	stale        bool   // the node may not have what discovery has
	needSnapshot bool   // and only a whole list can mend that
	down         bool   // nothing has been heard since the latest call ended
	throttled    bool   // it turns calls away
	reopenWatch  bool   // the watch is to be opened anew, from the version that a fetch has told

	watch, fetch     call
	watchAt, fetchAt time.Duration // not before
	lastHeard        time.Duration // when discovery was last heard
	backoffWindow    time.Duration // from which the next pause is drawn; 0: the first
	rereadAt         time.Duration // when a list of which some was spoilt is read again; 0: never
	rereadInterval   time.Duration // from one such reading to the next; 0: the first
	lastID           uint64
}

// start begins with a list that may be old.
func (f *follower) start(now time.Duration) {
	f.lastHeard = now
	f.suspectStale(false)
	if !f.rateLimited() {
		f.watchAt = now + pushedMessageTimeout // the fetch tells the version to go on from
	}
}

// rateLimited tells whether calls cost those of others.
func (f *follower) rateLimited() bool { return !f.pushed || f.throttled }

// suspectStale notes that the node may not have what discovery has.
func (f *follower) suspectStale(whole bool) { f.stale, f.needSnapshot = true, f.needSnapshot || whole }

// addressChanged tells that another agent or service is to be followed, which counts its versions in
// its own way. The host ends the calls of the one before.
func (f *follower) addressChanged(now time.Duration) {
	*f = follower{pushed: f.pushed, fleetSize: f.fleetSize, pollInterval: f.pollInterval, rng: f.rng, lastID: f.lastID}
	f.start(now)
	f.needSnapshot = true
}

// refresh has the list read again where that is free.
func (f *follower) refresh() {
	if !f.rateLimited() {
		f.suspectStale(true)
	}
}

// advance gives the orders that are due and the time by which it has to be called again.
func (f *follower) advance(now time.Duration) (do []command, wake time.Duration) {
	end := func(c *call) {
		do = append(do, command{id: c.id})
		*c = call{}
	}
	wake = now + maxCallDuration
	until := func(t time.Duration) bool {
		if t > now {
			wake = min(wake, t)
		}
		return t <= now
	}
	if f.rereadAt != 0 && until(f.rereadAt) {
		f.rereadAt = 0
		f.suspectStale(true)
		f.reopenWatch = f.rateLimited()
	}
	if f.reopenWatch && f.watch.id != 0 {
		end(&f.watch)
	}
	f.reopenWatch = false
	if w := &f.watch; w.id != 0 {
		if f.rateLimited() {
			silent := w.lastActivity + polledMessageTimeout
			if w.confirmed {
				silent = w.lastActivity + polledSilenceLimit
			}
			if until(silent) || w.partial && until(w.messageStarted+polledMessageTimeout) {
				opened := w.opened
				end(w)
				f.scheduleReopen(now, opened)
			}
		} else {
			if until(f.suspectDeadline(w)) {
				f.suspectStale(false)
				f.down = f.down || w.confirmed
			}
			if gone := w.lastActivity + maxCallDuration; until(gone) || w.partial && until(w.messageStarted+maxCallDuration) {
				opened := w.opened
				end(w)
				f.scheduleReopen(now, opened)
			}
		}
	}
	if c := &f.fetch; c.id != 0 && (until(c.lastActivity+pushedMessageTimeout) || until(c.opened+maxCallDuration) || f.rateLimited()) {
		end(c)
	}
	if f.stale && f.fetch.id == 0 && !f.rateLimited() && until(f.fetchAt) {
		f.fetchAt = now + f.randomDuration(maxFetchInterval/2) + maxFetchInterval/2
		f.fetch = f.openCall(&do, now, fetchCall, 0)
	}
	if f.watch.id == 0 && until(f.watchAt) {
		from := f.version
		if f.needSnapshot {
			from = 0
		}
		f.watch = f.openCall(&do, now, watchCall, from)
		if !f.rateLimited() {
			until(f.suspectDeadline(&f.watch))
		}
	}
	if f.fetch.id != 0 {
		until(f.fetch.lastActivity + pushedMessageTimeout)
	}
	return do, wake
}

// suspectDeadline is when a pushed watch is in doubt unless something comes.
func (f *follower) suspectDeadline(w *call) time.Duration {
	switch {
	case w.partial:
		return w.messageStarted + pushedMessageTimeout
	case !w.answered:
		return w.opened + pushedMessageTimeout
	}
	return w.lastActivity + pushedSilenceLimit
}

func (f *follower) openCall(do *[]command, now time.Duration, kind callKind, from uint64) call {
	f.lastID++
	*do = append(*do, command{open: true, kind: kind, id: f.lastID, from: from})
	return call{id: f.lastID, kind: kind, from: from, opened: now, lastActivity: now}
}

// callByID returns the call of that number, or nil if it is no longer out.
func (f *follower) callByID(id uint64) *call {
	switch id {
	case 0:
	case f.watch.id:
		return &f.watch
	case f.fetch.id:
		return &f.fetch
	}
	return nil
}

// received tells that something has come on a call: its head, or part of a message.
func (f *follower) received(now time.Duration, id uint64, partial bool) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	c.answered, c.lastActivity = true, now
	if partial && !c.partial {
		c.partial, c.messageStarted = true, now
	}
}

// emptyLine tells that an empty line has come on a call.
func (f *follower) emptyLine(now time.Duration, id uint64) {
	if c := f.callByID(id); c != nil && c.kind == watchCall {
		f.watchConfirmed(now, c)
	}
}

// watchConfirmed notes that a watch works: the node has what it brings.
func (f *follower) watchConfirmed(now time.Duration, c *call) {
	c.answered, c.confirmed, c.lastActivity, c.partial = true, true, now, false
	f.markResponsive(now)
	if !f.needSnapshot || c.from == 0 { // changes from the beginning on are the whole list
		f.stale, f.needSnapshot = false, false
	}
}

// markResponsive notes that discovery answers.
func (f *follower) markResponsive(now time.Duration) {
	f.lastHeard, f.down, f.throttled, f.backoffWindow = now, false, false, 0
}

// message tells that a whole message has come on a call: its version, whether it is the whole
// list, and whether some of it could not be read. It is to be applied if take is true.
func (f *follower) message(now time.Duration, id uint64, version uint64, whole, spoilt bool) (take bool) {
	c := f.callByID(id)
	if c == nil {
		return false
	}
	if c.kind == fetchCall {
		asked := c.opened
		f.fetch = call{}
		f.markResponsive(now)
		if f.watch.confirmed && f.watch.lastActivity >= asked && version < f.version {
			return false // the watch has told more since
		}
		f.reopenWatch, f.watchAt = true, now // one that goes on from here takes its place
		whole = true
	} else {
		f.watchConfirmed(now, c)
	}
	if whole {
		f.stale, f.needSnapshot = false, false
	}
	f.version = version
	switch {
	case spoilt:
		pause := f.rereadInterval
		if f.rateLimited() { // all edge nodes may have been told the same
			pause = max(pause, f.randomDuration(min(f.firstBackoffWindow(), reportedAfter-responseReserve)))
		}
		f.rereadAt = now + pause + 1
		f.rereadInterval = min(max(2*pause, maxFetchInterval), maxRereadInterval)
	case whole:
		f.rereadAt, f.rereadInterval = 0, 0
	}
	return true
}

// malformed tells that what comes on a call can't be read on: some may be lost with it.
func (f *follower) malformed(now time.Duration, id uint64) {
	if f.callByID(id) != nil {
		f.suspectStale(true)
		f.ended(now, id, false, 0)
	}
}

// ended tells that a call has ended by itself. turnedAway means that discovery had no room for
// it, with the pause that it asks for.
func (f *follower) ended(now time.Duration, id uint64, turnedAway bool, pause time.Duration) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	watch, opened := c.kind == watchCall, c.opened
	*c = call{}
	f.throttled = f.throttled || turnedAway
	switch {
	case turnedAway:
		f.scheduleReopenAfterRejection(now, pause)
	case watch:
		f.scheduleReopen(now, opened)
	}
}

// scheduleReopen decides when the watch is opened anew after a call that was opened then has ended, or has said nothing
// for too long. The call after it begins soon enough for its answer to come within toldAfter of the moment in
// which discovery could be reached again, which may be any since that call was opened or discovery was heard.
func (f *follower) scheduleReopen(now, opened time.Duration) {
	f.watchBroken()
	if !f.rateLimited() {
		f.watchAt = now + f.randomDuration(maxFetchInterval/2) + maxFetchInterval/2
		return
	}
	due := max(opened, f.lastHeard) + reportedAfter - responseReserve
	f.watchAt = now + f.randomDuration(min(f.nextBackoffWindow(now), max(due-now, smallFleetMaxWindow)))
}

// turnedAway decides when the watch is opened anew after a call for which discovery had no room, with the pause
// that it asks for.
func (f *follower) scheduleReopenAfterRejection(now, pause time.Duration) {
	f.watchBroken()
	f.watchAt = now + max(f.randomDuration(f.nextBackoffWindow(now)), min(pause, f.maxBackoff()))
}

// nextBackoffWindow is the span from which the pause before the next call is drawn. It grows with the fleet and from one
// call without an answer to the next.
func (f *follower) nextBackoffWindow(now time.Duration) time.Duration {
	first := f.firstBackoffWindow()
	most := min(max(smallFleetMaxWindow, maxWindowFactor*first), f.maxBackoff())
	span := f.backoffWindow
	if span == 0 { // the first after a watch that worked
		span = min(first, max(f.lastHeard+reportedAfter-responseReserve-now, smallFleetMaxWindow))
	}
	f.backoffWindow = min(max(2*span, min(first, most)), most)
	return span
}

// maxBackoff is the longest pause: four times the period within which a node has to ask follows a failed call.
func (f *follower) maxBackoff() time.Duration {
	if f.pollInterval <= 0 {
		return 2 * defaultPollInterval
	}
	return 2 * f.pollInterval
}

// watchBroken notes that the watch is to be opened anew.
func (f *follower) watchBroken() {
	f.down = true
	f.suspectStale(false)
}

// firstBackoffWindow is the span of the first pause where calls are paced.
func (f *follower) firstBackoffWindow() time.Duration {
	return time.Duration(f.fleetSize) * fleetCallInterval
}

// randomDuration draws a time from 0 up to a span.
func (f *follower) randomDuration(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(span)))
}
