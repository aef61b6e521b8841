// Package agent follows the list service for the edge nodes beside it and survives the
// service's failures.
//
// # Rooms
//
// [Follower] is the state machine of one follower of the list: what was heard from which replica
// goes in, what is to be done comes out. It has no clock, no socket and no source of chance but
// what it is given. Agent is its host: it opens watches and serves the platform's discovery
// protocol on a loopback address.
//
// # What is believed
//
// Versions never go back within an epoch, whichever replica is asked: one that says less than
// is held is left for another. A new epoch, that of a restored list, is taken as a whole list,
// once. A list that is empty, or that has lost more than a set share of its servers within a
// window, is not taken at face value: it waits until a second replica agrees or time has passed.
// While nothing is heard, what is held stays.
//
// A server that is gone and was not told to drain may be back at once. Its removal is kept for a
// moment, so that a flap does not make every node drop and open its connections.
//
// # What it costs the service
//
// Replicas are ranked for each follower by rendezvous hashing (Thaler and Ravishankar 1998), so
// that followers spread evenly, also those of a replica that is gone. Pauses between calls are
// drawn from a span that doubles, Retry-After is kept, and all further calls of a process,
// whatever for, share one token bucket.
//
// The package imports the standard library and this module alone, so that the edge node, which
// is built with no download, may use it: bucket and hashing are written here for that reason.
package agent

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"opalhook/internal/discovery"
)

// Lifecycles of an entry.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Entry is an app server, and Message one message, of the platform's discovery.
type (
	Entry   = discovery.Entry
	Message = discovery.Message
)

// check returns an error for a message that no list service sends; it names the field.
func check(m Message) error {
	if m.Generation == 0 {
		return errors.New("generation: is 0")
	}
	for i, e := range m.Instances {
		field := fmt.Sprintf("instances[%d].", i)
		switch {
		case e.InstanceID == "":
			return errors.New(field + "instanceId: is empty")
		case e.Lifecycle != Up && e.Lifecycle != Draining && (e.Lifecycle != Removed || m.Reset):
			return fmt.Errorf("%slifecycle: %q is not expected here", field, e.Lifecycle)
		case !(e.Weight >= 0) || math.IsInf(e.Weight, 0):
			return fmt.Errorf("%sweight: %v is no weight", field, e.Weight)
		}
		if _, err := netip.ParseAddrPort(e.HostPort); err != nil && e.Lifecycle != Removed {
			return fmt.Errorf("%shostPort: %q is no address", field, e.HostPort)
		}
	}
	return nil
}

// Rules are the figures by which a Follower goes. Its zero value is not useful; see DefaultRules.
type Rules struct {
	SilenceTimeout    time.Duration // a watch on which no line comes for so long is left
	DialTimeout       time.Duration // within which a call must be answered
	InitialBackoff    time.Duration // span of the first pause after a failure
	MaxBackoff        time.Duration // and of the longest
	StartWindow       time.Duration // span from which the first call is drawn: machines start together
	CallsPerSecond    float64       // further calls a second, of one process
	CallBurst         float64
	MaxLossFraction   float64       // of the servers whose loss within Window is doubted
	LossWindow        time.Duration // of that
	SuspectTimeout    time.Duration // after which a doubted list is taken that no other replica contradicts
	RollbackTolerance time.Duration // after which a list is taken whose versions went back at every replica
	RemovalDelay      time.Duration // that the removal of a server is kept which was not draining
	PreferredReturn   time.Duration // from which a follower goes back to the replica that ranks first
}

// DefaultRules are the service's own.
func DefaultRules() Rules {
	return Rules{SilenceTimeout: 5 * time.Second, DialTimeout: 2 * time.Second, InitialBackoff: 200 * time.Millisecond, MaxBackoff: 8 * time.Second,
		StartWindow: 200 * time.Millisecond, CallsPerSecond: 0.5, CallBurst: 6, MaxLossFraction: 0.3, LossWindow: 10 * time.Second, SuspectTimeout: 30 * time.Second,
		RollbackTolerance: 10 * time.Minute, RemovalDelay: time.Second, PreferredReturn: time.Minute}
}

// ActionKind says what the host has to do.
type ActionKind int

// Kinds of actions.
const (
	OpenWatch     ActionKind = iota // open a watch at Replica from From, as call Call
	CloseWatch                      // end call Call
	FetchSnapshot                   // ask Replica for its whole list
	PublishList                     // hand List on to the nodes
	LogEvent                        // tell the log Text
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Replica string
	Call    uint64
	From    uint64
	List    Message
	Text    string
}

// view is a list at a version.
type view struct {
	generation uint64
	entries    map[string]Entry
}

func (v view) upCount() (n int) {
	for _, e := range v.entries {
		if e.Lifecycle == Up {
			n++
		}
	}
	return n
}

// after is the view with a message applied.
func (v view) apply(m Message) view {
	n := view{generation: m.Generation, entries: map[string]Entry{}}
	if !m.Reset {
		maps.Copy(n.entries, v.entries)
	}
	for _, e := range m.Instances {
		if e.Lifecycle == Removed {
			delete(n.entries, e.InstanceID)
		} else {
			n.entries[e.InstanceID] = e
		}
	}
	return n
}

// list is the whole view as a message, sorted by instance.
func (v view) snapshot() Message {
	m := Message{Generation: v.generation, Reset: true, Instances: slices.Collect(maps.Values(v.entries))}
	sortEntries(m.Instances)
	return m
}

func sortEntries(es []Entry) {
	slices.SortFunc(es, func(a, b Entry) int { return cmp.Compare(a.InstanceID, b.InstanceID) })
}

// since is what makes v of an older view of the same epoch.
func (v view) deltaFrom(old view) Message {
	m := Message{Generation: v.generation, Instances: []Entry{}}
	for id, e := range v.entries {
		if was, ok := old.entries[id]; !ok || was != e {
			m.Instances = append(m.Instances, e)
		}
	}
	for id, e := range old.entries {
		if _, ok := v.entries[id]; !ok {
			e.Lifecycle = Removed
			m.Instances = append(m.Instances, e)
		}
	}
	sortEntries(m.Instances)
	return m
}

// Follower is the state machine of one follower of the list. Times are since any fixed moment,
// by a clock that never goes back. It is not safe for concurrent use.
type Follower struct {
	rules    Rules
	replicas []string // as they rank for this follower
	rng      *rand.Rand
	actions  []Action

	callID        uint64 // the latest; what comes of earlier ones is late
	rank          int    // rank of the replica of that
	watching      bool   // it was answered
	inBackoff     bool   // no call is under way: the next one is due at until
	backoffUntil  time.Duration
	backoffWindow time.Duration // of the next pause
	failures      int           // calls that came to nothing since anything was heard
	returnAt      time.Duration // when to go back to the first
	callTokens    float64       // tokens for further calls
	refilledAt    time.Duration
	lastReceived  time.Duration // or when the call began: silence counts from there
	lastHealthy   time.Duration // when a replica was last heard

	held          view
	published     view
	removedAt     map[string]time.Duration // servers that were up when published: since when they are not held
	baseline      int                      // most servers up within the window
	baselineAt    time.Duration
	suspect       *suspectList
	rollbackSince time.Duration // since when every replica has said less than is held
	rollingBack   bool
}

// doubt is a list that waits for a second opinion.
type suspectList struct {
	view
	since     time.Duration
	replica   string
	consulted int // replicas asked, by rank
}

// NewFollower returns a follower of some name, which is to differ from machine to machine.
func NewFollower(now time.Duration, name string, replicas []string, rules Rules, seed uint64) *Follower {
	f := &Follower{rules: rules, replicas: Rank(name, replicas), rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), inBackoff: true,
		callTokens: rules.CallBurst, refilledAt: now, backoffWindow: rules.InitialBackoff, removedAt: map[string]time.Duration{}, lastReceived: now, lastHealthy: now}
	f.backoffUntil = now + f.randomDuration(rules.StartWindow)
	return f
}

// Rank orders replicas for a follower: each is first for about as many followers, and where one
// is gone its followers spread over the others.
func Rank(name string, replicas []string) []string {
	score := func(r string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(r + "\x00" + name))
		x := h.Sum64() // FNV's high bits hardly change with the last bytes
		x ^= x >> 32
		x *= 0xd6e8feb86659fd93
		x ^= x >> 32
		return x
	}
	out := slices.Clone(replicas)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return slices.Compact(out)
}

func (f *Follower) randomDuration(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(span)))
}

// Take returns what is to be done, in order, and forgets it.
func (f *Follower) DrainActions() []Action {
	out := f.actions
	f.actions = nil
	return out
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

func (f *Follower) log(format string, args ...any) {
	f.emit(Action{Kind: LogEvent, Text: fmt.Sprintf(format, args...)})
}

// Held is the list as it was last published, as a whole.
func (f *Follower) Published() Message { return f.published.snapshot() }

// Standing is the version and the size of that list, and how long ago a replica was heard.
func (f *Follower) Status(now time.Duration) (generation uint64, servers int, age time.Duration) {
	return f.published.generation, len(f.published.entries), now - f.lastHealthy
}

// Doubts tells whether a list is not taken at face value.
func (f *Follower) Suspecting() bool { return f.suspect != nil }

// Watching tells whether a watch is open.
func (f *Follower) Watching() bool { return f.watching }

// Next is when Tick wants to be called at the latest.
func (f *Follower) NextTick() time.Duration {
	next := time.Duration(math.MaxInt64)
	if f.inBackoff {
		next = f.backoffUntil
	} else {
		next = f.lastReceived + f.rules.SilenceTimeout
	}
	if f.suspect != nil {
		next = min(next, f.suspect.since+f.rules.SuspectTimeout)
	}
	if f.watching && f.rank > 0 {
		next = min(next, f.returnAt)
	}
	if at, ok := f.removalsDue(); ok {
		next = min(next, at)
	}
	return next
}

// Tick does what is due.
func (f *Follower) Tick(now time.Duration) {
	if d := f.suspect; d != nil && now >= d.since+f.rules.SuspectTimeout {
		f.log("a list of %d servers in place of %d is taken: no replica contradicts it", len(d.entries), len(f.held.entries))
		f.accept(now, d.view)
	}
	switch {
	case f.inBackoff && now >= f.backoffUntil:
		f.dial(now)
	case !f.inBackoff && now >= f.lastReceived+f.rules.SilenceTimeout:
		f.abandonCall(now, 0, "silent for too long")
	case f.watching && f.rank > 0 && now >= f.returnAt && f.takeCallToken(now):
		f.rank = 0 // what is held bridges the moment in between
		f.emit(Action{Kind: CloseWatch, Call: f.callID})
		f.openWatch(now)
	}
	f.publish(now)
}

// spend takes a token for a further call, if there is one.
func (f *Follower) takeCallToken(now time.Duration) bool {
	f.callTokens = min(f.callTokens+f.rules.CallsPerSecond*(now-f.refilledAt).Seconds(), f.rules.CallBurst)
	f.refilledAt = now
	if f.callTokens < 1 {
		return false
	}
	f.callTokens--
	return true
}

// dial opens a watch when the budget has a call left, or waits for it.
func (f *Follower) dial(now time.Duration) {
	if f.callID > 0 && !f.takeCallToken(now) {
		f.backoffUntil = now + time.Duration((1-f.callTokens)/f.rules.CallsPerSecond*float64(time.Second)) + time.Millisecond
		return
	}
	f.openWatch(now)
}

func (f *Follower) openWatch(now time.Duration) {
	f.callID++
	f.inBackoff, f.watching, f.lastReceived = false, false, now
	f.emit(Action{Kind: OpenWatch, Replica: f.replicas[f.rank], Call: f.callID, From: f.latest().generation})
}

// current is what is known, taken or not.
func (f *Follower) latest() view {
	if f.suspect != nil {
		return f.suspect.view
	}
	return f.held
}

// fail leaves a call and waits before the next one, at another replica.
func (f *Follower) abandonCall(now, retryAfter time.Duration, why string) {
	f.emit(Action{Kind: CloseWatch, Call: f.callID})
	f.failures++
	if f.failures == 1 { // one line for an outage
		f.log("%s: %s", f.replicas[f.rank], why)
	}
	f.rank = (f.rank + 1) % len(f.replicas)
	pause := f.backoffWindow/4 + f.randomDuration(f.backoffWindow)
	if retryAfter > 0 {
		pause = retryAfter + f.randomDuration(retryAfter)
	}
	if f.failures%len(f.replicas) == 0 { // all of them
		f.backoffWindow = min(2*f.backoffWindow, f.rules.MaxBackoff)
	}
	f.watching, f.inBackoff, f.backoffUntil = false, true, now+pause
}

// Opened takes in that a call was answered with a watch.
func (f *Follower) WatchOpened(now time.Duration, call uint64) {
	if call != f.callID || f.inBackoff {
		return
	}
	f.watching, f.lastReceived, f.returnAt = true, now, now+f.rules.PreferredReturn/2+f.randomDuration(f.rules.PreferredReturn)
}

// Failed takes in that a call came to nothing or that its watch ended; retryAfter is what the
// replica advises, 0 for nothing.
func (f *Follower) CallFailed(now time.Duration, call uint64, retryAfter time.Duration, why string) {
	if call == f.callID && !f.inBackoff {
		f.abandonCall(now, retryAfter, why)
	}
}

// Beat takes in an empty line.
func (f *Follower) HeartbeatReceived(now time.Duration, call uint64) {
	if call == f.callID && f.watching {
		f.markHealthy(now)
	}
}

func (f *Follower) markHealthy(now time.Duration) {
	if f.failures > 0 {
		f.log("%s: followed again", f.replicas[f.rank])
	}
	f.lastReceived, f.lastHealthy, f.failures, f.backoffWindow = now, now, 0, f.rules.InitialBackoff
	f.rollingBack = false // here is one that took the version that is held
}

// Heard takes in a message of a watch.
func (f *Follower) MessageReceived(now time.Duration, call uint64, m Message) {
	if call != f.callID || !f.watching {
		return
	}
	cur := f.latest()
	was, is := discovery.Epoch(cur.generation), discovery.Epoch(m.Generation)
	back := is < was || is == was && m.Generation < cur.generation
	if err := check(m); err != nil {
		f.abandonCall(now, 0, err.Error())
		return
	}
	switch {
	case m.Reset && back:
		if f.rollingBack && now-f.rollbackSince >= f.rules.RollbackTolerance {
			f.log("versions went back to %d at every replica for %v: another list is taken", m.Generation, f.rules.RollbackTolerance)
			break
		}
		if !f.rollingBack {
			f.rollingBack, f.rollbackSince = true, now
		}
		f.abandonCall(now, 0, fmt.Sprintf("says version %d, %d is held", m.Generation, cur.generation))
		return
	case !m.Reset && (cur.generation == 0 || is != was || m.Generation <= cur.generation):
		f.abandonCall(now, 0, fmt.Sprintf("tells a change to version %d, %d is held", m.Generation, cur.generation))
		return
	}
	f.markHealthy(now)
	f.consider(now, cur.apply(m))
	f.publish(now)
}

// tooSmall tells whether a list has lost more servers than die at once: all of them, or more
// than the share and one, so that a single server of a few is not doubted.
func (f *Follower) lostTooMany(v view) bool {
	n := v.upCount()
	return f.baseline > 0 && n == 0 || float64(n) < (1-f.rules.MaxLossFraction)*float64(f.baseline)-1
}

// consider takes a list, or doubts it.
func (f *Follower) consider(now time.Duration, v view) {
	if now-f.baselineAt >= f.rules.LossWindow {
		f.baseline, f.baselineAt = f.held.upCount(), now
	}
	if !f.lostTooMany(v) {
		f.accept(now, v)
		return
	}
	if f.suspect == nil {
		f.log("%s lists %d servers up where %d were: another replica is asked", f.replicas[f.rank], v.upCount(), f.baseline)
		f.suspect = &suspectList{since: now, replica: f.replicas[f.rank], consulted: f.rank}
		f.suspect.view = v
		f.consultNextReplica(now)
		return
	}
	f.suspect.view = v
}

// askAnother asks the next replica what it holds, if the budget and the number allow.
func (f *Follower) consultNextReplica(now time.Duration) {
	d := f.suspect
	d.consulted = (d.consulted + 1) % len(f.replicas)
	if r := f.replicas[d.consulted]; r != d.replica && f.takeCallToken(now) {
		f.emit(Action{Kind: FetchSnapshot, Replica: r})
	}
}

// Answered takes in what a replica answered that was asked for its whole list; err where it did
// not.
func (f *Follower) SnapshotReceived(now time.Duration, replica string, m Message, err error) {
	d := f.suspect
	if d == nil || replica == d.replica {
		return
	}
	v := view{}.apply(m)
	switch {
	case err != nil || check(m) != nil || !m.Reset || discovery.Epoch(m.Generation) < discovery.Epoch(d.generation):
		f.consultNextReplica(now)
	case f.lostTooMany(v):
		f.log("%s agrees: %d servers are taken in place of %d", replica, d.upCount(), f.held.upCount())
		f.accept(now, d.view)
		f.publish(now)
	case m.Generation >= d.generation:
		f.log("%s contradicts it: %s is left", replica, d.replica)
		f.suspect = nil
		f.rank = slices.Index(f.replicas, replica)
		f.emit(Action{Kind: CloseWatch, Call: f.callID})
		f.watching, f.inBackoff, f.backoffUntil = false, true, now+f.randomDuration(f.rules.InitialBackoff)
	}
}

// take makes a view the one that is held.
func (f *Follower) accept(now time.Duration, v view) {
	f.held, f.suspect = v, nil
	f.baseline = max(f.baseline, v.upCount())
	if v.upCount() < f.baseline && f.lostTooMany(v) {
		f.baseline, f.baselineAt = v.upCount(), now // agreed on
	}
	for id, e := range f.published.entries {
		_, here := v.entries[id]
		if _, known := f.removedAt[id]; here || e.Lifecycle != Up {
			delete(f.removedAt, id)
		} else if !known {
			f.removedAt[id] = now
		}
	}
}

// settles is when what is kept back may be published: when no removal is new, or the oldest has
// waited for twice the time.
func (f *Follower) removalsDue() (at time.Duration, ok bool) {
	var first, last time.Duration
	for _, t := range f.removedAt {
		if !ok || t < first {
			first = t
		}
		last = max(last, t)
		ok = true
	}
	return min(last+f.rules.RemovalDelay, first+2*f.rules.RemovalDelay), ok
}

// publish hands on what is held, once it has settled.
func (f *Follower) publish(now time.Duration) {
	if f.held.generation == f.published.generation {
		return
	}
	whole := f.published.generation == 0 || discovery.Epoch(f.held.generation) != discovery.Epoch(f.published.generation) || f.held.generation < f.published.generation
	if at, ok := f.removalsDue(); ok && now < at && !whole {
		return
	}
	m := f.held.deltaFrom(f.published)
	if whole {
		m = f.held.snapshot()
	}
	clear(f.removedAt)
	if len(m.Instances) == 0 && !whole { // a flap that came to nothing
		return
	}
	f.published = f.held
	f.emit(Action{Kind: PublishList, List: m})
}
