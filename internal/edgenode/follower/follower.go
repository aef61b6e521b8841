// Package follower keeps an edge node's list of endpoints current. [Follower] is a pure state machine that
// decides which calls to discovery are open: it takes events and returns commands. [Client] is its host and
// supplies the clock and the sockets.
package follower

import (
	"math/rand/v2"
	"time"
)

// Follower is the state machine that keeps an edge node's endpoint list current. Its host reports the events
// of discovery calls to it and carries out the commands that [Follower.Advance] returns. It has no socket and
// no clock: the host passes the current time to the methods, as a duration since an arbitrary origin. Its
// only source of randomness is [Config.Rand]. [Client] is its host in an edge node. A Follower must not be
// used concurrently.
//
// There are two kinds of calls. A watch stays open and delivers changes. A fetch returns the complete list,
// either at once or not at all. There are also two kinds of discovery, which the settings choose:
//
//   - Lists are pushed. The address is that of an agent on the edge node's own machine, which answers at
//     once and at no cost. A change that the agent has counts as delivered to the node, whether or not a
//     watch is open. Whenever the node may lack a change that the agent has, it therefore sends a fetch at
//     once, whatever the size of the fleet. If the fetch fails or times out, the next one follows at once,
//     but no earlier than a random wait of at most maxFetchInterval after the previous one began. This
//     repeats until a fetch is answered. Meanwhile one watch stays open with a longer timeout, for an agent
//     that answers late.
//   - Lists are polled. One service answers the calls of the whole fleet one after the other and has a short
//     queue. Nodes whose watches it drops all at once must not return all at once, and rejected nodes must
//     call less often the larger the fleet is. A node makes one call at a time, at a random time within a
//     backoff window that grows with the fleet. A change that a watch misses counts as delivered once the
//     watch has been silent for deliveryLimit, so the first new call is made before that.
//
// An agent that rejects calls evidently has a queue, so the node then calls it like a service.
type Follower struct {
	config Config

	generation   uint64 // generation of the list that the node has
	freshness    freshness
	reachability reachability
	reopenWatch  bool // replace the open watch by one from the current generation or from 0

	watch, fetch     call
	watchAt, fetchAt time.Duration // earliest time at which the next watch or fetch is opened
	lastContact      time.Duration // time of the latest message or heartbeat, at first that of Start
	backoffWindow    time.Duration // window for the random time of the next call; 0: the first window
	rereadAt         time.Duration // when a malformed list is read again; 0: never
	rereadInterval   time.Duration // wait before a malformed list is next read again; 0: none
	lastID           uint64        // id of the latest call
}

// Config configures a [Follower].
type Config struct {
	Pushed       bool          // an agent on the node's machine pushes the list; false: it is polled
	FleetSize    int           // number of edge nodes
	PollInterval time.Duration // how often a node without a watch must poll the service; 0: not set
	Generation   uint64        // generation of the list that the node has at the start; 0: none
	Rand         *rand.Rand    // source of the random times; not shared with others
}

// freshness is the state of the node's list: whether it may be outdated.
type freshness int

const (
	listCurrent    freshness = iota
	listSuspect              // discovery may have changes that the node lacks
	snapshotNeeded           // the same, and the node needs the complete list
)

// reachability is the state of discovery as the latest calls show it.
type reachability int

const (
	discoveryReachable   reachability = iota
	discoveryUnreachable              // a watch failed or was silent since the last contact
	discoveryRejecting                // a call was rejected since the last contact
)

// callKind is the kind of a call.
type callKind int

const (
	watchCall callKind = iota
	fetchCall
)

// call is an open call to discovery. The zero value stands for no call.
type call struct {
	id             uint64 // 0: no call
	kind           callKind
	from           uint64        // generation from which a watch continues; 0: the complete list
	opened         time.Duration // when the call was opened
	answered       bool          // a response with status 200 has begun
	confirmed      bool          // a complete message or a heartbeat was received
	lastActivity   time.Duration // when data was last received, or when the call was opened
	partial        bool          // part of a message was received
	messageStarted time.Duration // when the first part of that message was received
}

// Command is one call that the host must open or close.
type Command struct {
	Open  bool   // open the call; false: close it
	Watch bool   // open a watch; false: fetch the complete list
	ID    uint64 // id of the call
	From  uint64 // generation from which a watch continues; 0: the complete list
}

// Update describes a complete message.
type Update struct {
	Generation uint64 // generation of the list after the message
	Snapshot   bool   // the message is the complete list
	Malformed  bool   // some of its fields could not be read
}

// New returns a follower. It does nothing until [Follower.Start] is called.
func New(c Config) *Follower { return &Follower{config: c, generation: c.Generation} }

// Start starts the follower. The list that the node has may be outdated.
func (f *Follower) Start(now time.Duration) {
	f.lastContact = now
	f.suspect(listSuspect)
	if !f.rateLimited() {
		f.watchAt = now + pushedMessageTimeout // leaves time for the fetch, from which the watch continues
	}
}

// AddressChanged makes the follower follow another agent or service. Its generations are unrelated to those
// of the previous one, so the complete list is read. The host closes the calls to the previous address.
func (f *Follower) AddressChanged(now time.Duration) {
	*f = Follower{config: f.config, lastID: f.lastID}
	f.Start(now)
	f.suspect(snapshotNeeded)
}

// Refresh requests the complete list again if calls cost other nodes nothing.
func (f *Follower) Refresh() {
	if !f.rateLimited() {
		f.suspect(snapshotNeeded)
	}
}

// rateLimited reports whether the node has to limit its calls because they take up capacity that other nodes
// need. That is the case for a polled service, and for an agent that rejects calls.
func (f *Follower) rateLimited() bool {
	return !f.config.Pushed || f.reachability == discoveryRejecting
}

// suspect records that the list may be outdated. A worse state that was recorded earlier stays.
func (f *Follower) suspect(by freshness) { f.freshness = max(f.freshness, by) }

// callByID returns the open call with an id, or nil if there is none.
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

// The host reports the events of calls with the following methods. Events of calls that are no longer open
// are ignored.

// Received reports that data was received on a call: the headers of its response or, if partial is set, part
// of a message.
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

// Heartbeat reports that an empty line was received on a call. On a fetch it has no meaning and is ignored.
func (f *Follower) Heartbeat(now time.Duration, id uint64) {
	if c := f.callByID(id); c != nil && c.kind == watchCall {
		f.confirmWatch(now, c)
	}
}

// confirmWatch records that a watch works: the node has all changes that discovery has sent on it. The list
// is current, unless the complete list is needed and this watch did not begin with it.
func (f *Follower) confirmWatch(now time.Duration, w *call) {
	w.answered, w.confirmed, w.lastActivity, w.partial = true, true, now, false
	f.markReachable(now)
	if f.freshness != snapshotNeeded || w.from == 0 { // a watch from 0 begins with the complete list
		f.freshness = listCurrent
	}
}

// markReachable records that discovery responds, and ends the backoff.
func (f *Follower) markReachable(now time.Duration) {
	f.lastContact, f.reachability, f.backoffWindow = now, discoveryReachable, 0
}

// markUnreachable records that discovery does not respond. The state discoveryRejecting stays.
func (f *Follower) markUnreachable() { f.reachability = max(f.reachability, discoveryUnreachable) }

// Message reports that a complete message was received on a call. It returns whether the host is to apply the
// message.
func (f *Follower) Message(now time.Duration, id uint64, u Update) (apply bool) {
	c := f.callByID(id)
	if c == nil {
		return false
	}
	if c.kind == fetchCall {
		u.Snapshot = true
		if !f.completeFetch(now, u.Generation) {
			return false
		}
	} else {
		f.confirmWatch(now, c)
	}
	if u.Snapshot {
		f.freshness = listCurrent
	}
	f.generation = u.Generation
	f.scheduleReread(now, u)
	return true
}

// completeFetch ends the fetch after a list of the given generation was received on it. It returns false if
// the watch has delivered a later generation since the fetch was opened.
func (f *Follower) completeFetch(now time.Duration, generation uint64) bool {
	openedAt := f.fetch.opened
	f.fetch = call{}
	f.markReachable(now)
	if f.watch.confirmed && f.watch.lastActivity >= openedAt && generation < f.generation {
		return false
	}
	f.reopenWatch, f.watchAt = true, now // a watch from this generation replaces the open one
	return true
}

// Malformed reports that a call has ended because its data is not a valid message. Changes may have been
// lost, so the complete list is needed.
func (f *Follower) Malformed(now time.Duration, id uint64) {
	if f.callByID(id) != nil {
		f.suspect(snapshotNeeded)
		f.Ended(now, id)
	}
}

// Ended reports that a call has ended without a command to close it: its response is complete, or it failed.
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

// Rejected reports that discovery has rejected a call with status 503 or 429. The wait until the watch is
// reopened is at least retryAfter, up to the longest backoff. retryAfter is 0 if the response did not give
// it.
func (f *Follower) Rejected(now time.Duration, id uint64, retryAfter time.Duration) {
	c := f.callByID(id)
	if c == nil {
		return
	}
	*c = call{}
	f.reachability = discoveryRejecting
	f.scheduleReopenAfterRejection(now, retryAfter)
}
