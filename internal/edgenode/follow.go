package edgenode

import (
	"math/rand/v2"
	"time"
)

// # How the list is followed
//
// A follower is the state machine that keeps an edge node on the list: what its calls of
// discovery bring goes in, the calls to be made come out. It has no clock, no socket and no
// source of chance but what it is given; [registry] is its host.
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
	lineEvery = 2 * time.Second // an empty line comes so often on a watch that works
	toldAfter = 6 * time.Second // what a watch misses counts as told so long after it fell silent
)

// Pace of the calls.
const (
	pushSilent = lineEvery + 300*time.Millisecond // silence after which a pushed watch is in doubt
	askSilent  = lineEvery + time.Second          // and after which one of the service has broken
	pushWhole  = 200 * time.Millisecond           // in which an agent writes a whole message, or answers a call
	askWhole   = 3 * time.Second                  // and the service
	callMost   = 3 * time.Second                  // after which a call without an answer, or a watch in doubt, is given up
	fetchEvery = 150 * time.Millisecond           // most pause from one fetch to the next; half of it at least
	callRoom   = time.Second                      // of toldAfter that is left for the call's answer
	callGap    = 100 * time.Millisecond           // from one edge node's new try to the next one's, over the fleet
	spanMost   = time.Second                      // of the pause of a small fleet
	spanTimes  = 2                                // most span of a large fleet, as a multiple of the first
	rereadMost = time.Minute                      // most pause from one reading of a spoilt list to the next
	askWithin  = 10 * time.Second                 // where the settings don't tell within what an edge node has to ask
)

// callKind is what a call asks for.
type callKind int

const (
	watchCall callKind = iota
	fetchCall
)

// call is a call of discovery that is out.
type call struct {
	id       uint64 // 0: there is none
	kind     callKind
	from     uint64 // of a watch: the version that it went on from
	opened   time.Duration
	answered bool          // its head has come, with status 200
	heard    bool          // a message or an empty line has come whole
	last     time.Duration // when anything came last, or when it was opened
	begun    time.Duration // when the message began that is not whole
	partial  bool          // there is one
}

// order is what the host has to do: open a call, or end one.
type order struct {
	open bool
	kind callKind
	id   uint64
	from uint64 // of a watch: the version that it goes on from
}

// follower decides which calls are out. The zero value of its state is that of a new process.
type follower struct {
	pushed bool
	fleet  int           // edge nodes
	within time.Duration // lists asked for: how often a node without a watch has to ask
	rng    *rand.Rand

	version uint64 // of the list that is held
	behind  bool   // the node may not have what discovery has
	whole   bool   // and only a whole list can mend that
	down    bool   // nothing has been heard since the latest call ended
	lined   bool   // it turns calls away
	deaf    bool   // the watch is to be opened anew, from the version that a fetch has told

	watch, fetch     call
	watchAt, fetchAt time.Duration // not before
	heardAt          time.Duration // when discovery was last heard
	span             time.Duration // from which the next pause is drawn; 0: the first
	rereadAt         time.Duration // when a list of which some was spoilt is read again; 0: never
	rereadPause      time.Duration // from one such reading to the next; 0: the first
	ids              uint64
}

// start begins with a list that may be old.
func (f *follower) start(now time.Duration) {
	f.heardAt = now
	f.doubt(false)
	if !f.paced() {
		f.watchAt = now + pushWhole // the fetch tells the version to go on from
	}
}

// paced tells whether calls cost those of others.
func (f *follower) paced() bool { return !f.pushed || f.lined }

// doubt notes that the node may not have what discovery has.
func (f *follower) doubt(whole bool) { f.behind, f.whole = true, f.whole || whole }

// moved tells that another agent or service is to be followed, which counts its versions in
// its own way. The host ends the calls of the one before.
func (f *follower) moved(now time.Duration) {
	*f = follower{pushed: f.pushed, fleet: f.fleet, within: f.within, rng: f.rng, ids: f.ids}
	f.start(now)
	f.whole = true
}

// refresh has the list read again where that is free.
func (f *follower) refresh() {
	if !f.paced() {
		f.doubt(true)
	}
}

// step gives the orders that are due and the time by which it has to be called again.
func (f *follower) step(now time.Duration) (do []order, wake time.Duration) {
	end := func(c *call) {
		do = append(do, order{id: c.id})
		*c = call{}
	}
	wake = now + callMost
	until := func(t time.Duration) bool {
		if t > now {
			wake = min(wake, t)
		}
		return t <= now
	}
	if f.rereadAt != 0 && until(f.rereadAt) {
		f.rereadAt = 0
		f.doubt(true)
		f.deaf = f.paced()
	}
	if f.deaf && f.watch.id != 0 {
		end(&f.watch)
	}
	f.deaf = false
	if w := &f.watch; w.id != 0 {
		if f.paced() {
			silent := w.last + askWhole
			if w.heard {
				silent = w.last + askSilent
			}
			if until(silent) || w.partial && until(w.begun+askWhole) {
				opened := w.opened
				end(w)
				f.failed(now, opened)
			}
		} else {
			if until(f.doubtAt(w)) {
				f.doubt(false)
				f.down = f.down || w.heard
			}
			if gone := w.last + callMost; until(gone) || w.partial && until(w.begun+callMost) {
				opened := w.opened
				end(w)
				f.failed(now, opened)
			}
		}
	}
	if c := &f.fetch; c.id != 0 && (until(c.last+pushWhole) || until(c.opened+callMost) || f.paced()) {
		end(c)
	}
	if f.behind && f.fetch.id == 0 && !f.paced() && until(f.fetchAt) {
		f.fetchAt = now + f.draw(fetchEvery/2) + fetchEvery/2
		f.fetch = f.open(&do, now, fetchCall, 0)
	}
	if f.watch.id == 0 && until(f.watchAt) {
		from := f.version
		if f.whole {
			from = 0
		}
		f.watch = f.open(&do, now, watchCall, from)
		if !f.paced() {
			until(f.doubtAt(&f.watch))
		}
	}
	if f.fetch.id != 0 {
		until(f.fetch.last + pushWhole)
	}
	return do, wake
}

// doubtAt is when a pushed watch is in doubt unless something comes.
func (f *follower) doubtAt(w *call) time.Duration {
	switch {
	case w.partial:
		return w.begun + pushWhole
	case !w.answered:
		return w.opened + pushWhole
	}
	return w.last + pushSilent
}

func (f *follower) open(do *[]order, now time.Duration, kind callKind, from uint64) call {
	f.ids++
	*do = append(*do, order{open: true, kind: kind, id: f.ids, from: from})
	return call{id: f.ids, kind: kind, from: from, opened: now, last: now}
}

// of returns the call of that number, or nil if it is no longer out.
func (f *follower) of(id uint64) *call {
	switch id {
	case 0:
	case f.watch.id:
		return &f.watch
	case f.fetch.id:
		return &f.fetch
	}
	return nil
}

// got tells that something has come on a call: its head, or part of a message.
func (f *follower) got(now time.Duration, id uint64, partial bool) {
	c := f.of(id)
	if c == nil {
		return
	}
	c.answered, c.last = true, now
	if partial && !c.partial {
		c.partial, c.begun = true, now
	}
}

// beat tells that an empty line has come on a call.
func (f *follower) beat(now time.Duration, id uint64) {
	if c := f.of(id); c != nil && c.kind == watchCall {
		f.hear(now, c)
	}
}

// hear notes that a watch works: the node has what it brings.
func (f *follower) hear(now time.Duration, c *call) {
	c.answered, c.heard, c.last, c.partial = true, true, now, false
	f.back(now)
	if !f.whole || c.from == 0 { // changes from the beginning on are the whole list
		f.behind, f.whole = false, false
	}
}

// back notes that discovery answers.
func (f *follower) back(now time.Duration) {
	f.heardAt, f.down, f.lined, f.span = now, false, false, 0
}

// message tells that a whole message has come on a call: its version, whether it is the whole
// list, and whether some of it could not be read. It is to be applied if take is true.
func (f *follower) message(now time.Duration, id uint64, version uint64, whole, spoilt bool) (take bool) {
	c := f.of(id)
	if c == nil {
		return false
	}
	if c.kind == fetchCall {
		asked := c.opened
		f.fetch = call{}
		f.back(now)
		if f.watch.heard && f.watch.last >= asked && version < f.version {
			return false // the watch has told more since
		}
		f.deaf, f.watchAt = true, now // one that goes on from here takes its place
		whole = true
	} else {
		f.hear(now, c)
	}
	if whole {
		f.behind, f.whole = false, false
	}
	f.version = version
	switch {
	case spoilt:
		pause := f.rereadPause
		if f.paced() { // all edge nodes may have been told the same
			pause = max(pause, f.draw(min(f.first(), toldAfter-callRoom)))
		}
		f.rereadAt = now + pause + 1
		f.rereadPause = min(max(2*pause, fetchEvery), rereadMost)
	case whole:
		f.rereadAt, f.rereadPause = 0, 0
	}
	return true
}

// malformed tells that what comes on a call can't be read on: some may be lost with it.
func (f *follower) malformed(now time.Duration, id uint64) {
	if f.of(id) != nil {
		f.doubt(true)
		f.ended(now, id, false, 0)
	}
}

// ended tells that a call has ended by itself. turnedAway means that discovery had no room for
// it, with the pause that it asks for.
func (f *follower) ended(now time.Duration, id uint64, turnedAway bool, pause time.Duration) {
	c := f.of(id)
	if c == nil {
		return
	}
	watch, opened := c.kind == watchCall, c.opened
	*c = call{}
	f.lined = f.lined || turnedAway
	switch {
	case turnedAway:
		f.turnedAway(now, pause)
	case watch:
		f.failed(now, opened)
	}
}

// failed decides when the watch is opened anew after a call that was opened then has ended, or has said nothing
// for too long. The call after it begins soon enough for its answer to come within toldAfter of the moment in
// which discovery could be reached again, which may be any since that call was opened or discovery was heard.
func (f *follower) failed(now, opened time.Duration) {
	f.broke()
	if !f.paced() {
		f.watchAt = now + f.draw(fetchEvery/2) + fetchEvery/2
		return
	}
	due := max(opened, f.heardAt) + toldAfter - callRoom
	f.watchAt = now + f.draw(min(f.nextSpan(now), max(due-now, spanMost)))
}

// turnedAway decides when the watch is opened anew after a call for which discovery had no room, with the pause
// that it asks for.
func (f *follower) turnedAway(now, pause time.Duration) {
	f.broke()
	f.watchAt = now + max(f.draw(f.nextSpan(now)), min(pause, f.pauseMost()))
}

// nextSpan is the span from which the pause before the next call is drawn. It grows with the fleet and from one
// call without an answer to the next.
func (f *follower) nextSpan(now time.Duration) time.Duration {
	first := f.first()
	most := min(max(spanMost, spanTimes*first), f.pauseMost())
	span := f.span
	if span == 0 { // the first after a watch that worked
		span = min(first, max(f.heardAt+toldAfter-callRoom-now, spanMost))
	}
	f.span = min(max(2*span, min(first, most)), most)
	return span
}

// pauseMost is the longest pause: four times the period within which a node has to ask follows a failed call.
func (f *follower) pauseMost() time.Duration {
	if f.within <= 0 {
		return 2 * askWithin
	}
	return 2 * f.within
}

// broke notes that the watch is to be opened anew.
func (f *follower) broke() {
	f.down = true
	f.doubt(false)
}

// first is the span of the first pause where calls are paced.
func (f *follower) first() time.Duration { return time.Duration(f.fleet) * callGap }

// draw draws a time from 0 up to a span.
func (f *follower) draw(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(span)))
}
