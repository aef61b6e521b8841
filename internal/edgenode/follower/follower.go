// Package follower keeps an edge node's list of endpoints current. [Follower] decides which calls of discovery are open:
// a pure state machine, events in, commands out. [Client] is its host, with clock and sockets.
package follower

import (
	"math/rand/v2"
	"time"
)

// Follower is the state machine that keeps an edge node on the endpoint list: what its calls of discovery bring
// goes in, the calls to be made come out. It has no clock, no socket and no source of chance but what it is given;
// [Client] is its host in an edge node. Times count from any origin.
//
// There are two kinds of calls. A watch stays open and brings changes. A fetch brings the whole list, at once or
// not at all. There are two kinds of discovery as well, by the settings:
//
//   - Lists are pushed: the address is an agent on the edge node's own machine. It answers at once and at no cost,
//     and what it has counts as reported, whether or not a watch is open. So any suspicion that the node lacks
//     what the agent has is met at once by a fetch, and by another each maxFetchInterval until one is answered,
//     whatever the size of the fleet. Meanwhile one watch stays open with more patience, for an agent that
//     answers late.
//   - Lists are polled: one service answers the calls of the whole fleet in turn, and has a short queue. Nodes that
//     it drops all at once must not return all at once, and those that it rejects must call the less often the
//     more they are. There is one call at a time, after a random time within a backoff window that grows with the
//     fleet; but what a watch misses counts as reported reportedAfter its silence began, so the first new call
//     comes before that.
//
// An agent that rejects calls has a queue after all: then it is called as a service is.
type Follower struct {
	config Config

	version      uint64 // of the list that is held
	freshness    freshness
	reachability reachability
	reopenWatch  bool // the watch is to be opened anew, from the version that a fetch has brought

	watch, fetch     call
	watchAt, fetchAt time.Duration // not before
	lastHeard        time.Duration // when discovery last answered
	backoffWindow    time.Duration // in which the next call is drawn; 0: the first window
	rereadAt         time.Duration // when a malformed list is read again; 0: never
	rereadInterval   time.Duration // from one such reading to the next; 0: the first
	lastID           uint64        // of the calls so far
}

// Config is what a follower is told.
type Config struct {
	Pushed       bool          // lists are pushed by an agent on the node's machine, not polled from a service
	FleetSize    int           // edge nodes
	PollInterval time.Duration // lists polled: how often a node without a watch has to call; 0: not told
	Version      uint64        // of the list that the node holds at the start; 0: none
	Rand         *rand.Rand    // of the times drawn; used by the follower alone
}

// freshness is what the node knows of its list.
type freshness int

const (
	listCurrent    freshness = iota
	listSuspect              // it may lack what discovery has
	snapshotNeeded           // and only a complete list can mend that
)

// reachability is what the latest calls say of discovery.
type reachability int

const (
	discoveryUp        reachability = iota
	discoveryDown                   // no answer since the latest call ended
	discoveryThrottled              // it rejects calls
)

// callKind is what a call asks for.
type callKind int

const (
	watchCall callKind = iota
	fetchCall
)

// call is a call of discovery that is open.
type call struct {
	id             uint64 // 0: there is none
	kind           callKind
	from           uint64 // of a watch: the version that it went on from
	opened         time.Duration
	answered       bool          // its response has begun, with status 200
	confirmed      bool          // a whole message or an empty line has come
	lastActivity   time.Duration // when anything came last, or when it was opened
	partial        bool          // part of a message has come
	messageStarted time.Duration // when the first part of it did
}

// Command is what the host has to do: open a call, or close one.
type Command struct {
	Open  bool
	Watch bool // of one to be opened: a watch, not a fetch of the complete list
	ID    uint64
	From  uint64 // of a watch: the version that it goes on from, 0 for the complete list
}

// Update describes a message that has come whole.
type Update struct {
	Version   uint64
	Snapshot  bool // the complete list
	Malformed bool // some of its entries could not be read
}

// New returns a follower, which is to be started.
func New(c Config) *Follower { return &Follower{config: c, version: c.Version} }

// Start begins with a list that may be old.
func (f *Follower) Start(now time.Duration) {
	f.lastHeard = now
	f.suspect(listSuspect)
	if !f.rateLimited() {
		f.watchAt = now + pushedMessageTimeout // the fetch brings the version to go on from
	}
}

// AddressChanged reports that another agent or service is followed from now on, which counts its versions in its
// own way. The host closes the calls to the previous one.
func (f *Follower) AddressChanged(now time.Duration) {
	*f = Follower{config: f.config, lastID: f.lastID}
	f.Start(now)
	f.suspect(snapshotNeeded)
}

// Refresh has the list read again where that costs nothing.
func (f *Follower) Refresh() {
	if !f.rateLimited() {
		f.suspect(snapshotNeeded)
	}
}

// rateLimited tells whether calls cost other nodes theirs.
func (f *Follower) rateLimited() bool {
	return !f.config.Pushed || f.reachability == discoveryThrottled
}

// suspect notes that the list may be outdated.
func (f *Follower) suspect(by freshness) { f.freshness = max(f.freshness, by) }

// callByID returns an open call, or nil if it is no longer open.
func (f *Follower) callByID(id uint64) *call {
	switch id {
	case 0:
	case f.watch.id:
		return &f.watch
	case f.fetch.id:
		return &f.fetch
	}
	return nil
}

// What the host reports of the calls, by their ids. Reports on a call that is no longer open are ignored.

// Received reports that something has come on a call: the head of its response, or part of a message.
func (f *Follower) Received(now time.Duration, id uint64, partial bool) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	c.answered, c.lastActivity = true, now
	if partial && !c.partial {
		c.partial, c.messageStarted = true, now
	}
}

// EmptyLine reports that an empty line has come on a call.
func (f *Follower) EmptyLine(now time.Duration, id uint64) {
	if c := f.callByID(id); c != nil && c.kind == watchCall {
		f.confirmWatch(now, c)
	}
}

// confirmWatch notes that a watch works: the node has what it brings.
func (f *Follower) confirmWatch(now time.Duration, w *call) {
	w.answered, w.confirmed, w.lastActivity, w.partial = true, true, now, false
	f.markUp(now)
	if f.freshness != snapshotNeeded || w.from == 0 { // changes from the beginning on are the complete list
		f.freshness = listCurrent
	}
}

// markUp notes that discovery answers.
func (f *Follower) markUp(now time.Duration) {
	f.lastHeard, f.reachability, f.backoffWindow = now, discoveryUp, 0
}

// markDown notes that discovery does not answer.
func (f *Follower) markDown() { f.reachability = max(f.reachability, discoveryDown) }

// Message reports that a whole message has come on a call. It returns whether the message is to be applied.
func (f *Follower) Message(now time.Duration, id uint64, u Update) (apply bool) {
	c := f.callByID(id)
	if c == nil {
		return false
	}
	if c.kind == fetchCall {
		u.Snapshot = true
		if !f.fetched(now, u.Version) {
			return false
		}
	} else {
		f.confirmWatch(now, c)
	}
	if u.Snapshot {
		f.freshness = listCurrent
	}
	f.version = u.Version
	f.scheduleReread(now, u)
	return true
}

// fetched notes that the fetch is answered by a version. It returns false if the watch has brought more since.
func (f *Follower) fetched(now time.Duration, version uint64) bool {
	asked := f.fetch.opened
	f.fetch = call{}
	f.markUp(now)
	if f.watch.confirmed && f.watch.lastActivity >= asked && version < f.version {
		return false
	}
	f.reopenWatch, f.watchAt = true, now // a watch that goes on from this version replaces the open one
	return true
}

// Malformed reports that what comes on a call can't be read any further: some of the list may be lost with it.
func (f *Follower) Malformed(now time.Duration, id uint64) {
	if f.callByID(id) != nil {
		f.suspect(snapshotNeeded)
		f.Ended(now, id)
	}
}

// Ended reports that a call has ended by itself.
func (f *Follower) Ended(now time.Duration, id uint64) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	kind, opened := c.kind, c.opened
	*c = call{}
	if kind == watchCall {
		f.scheduleReopen(now, opened)
	}
}

// Rejected reports that discovery has rejected a call, by 503 or 429, and asks to be left alone for retryAfter.
func (f *Follower) Rejected(now time.Duration, id uint64, retryAfter time.Duration) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	*c = call{}
	f.reachability = discoveryThrottled
	f.scheduleReopenAfterRejection(now, retryAfter)
}
