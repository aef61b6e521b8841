package follower

import "time"

// Times that the discovery protocol sets.
const (
	// heartbeatInterval is the interval of the empty lines that an idle watch receives.
	heartbeatInterval = 2 * time.Second
	// deliveryLimit is the time from the start of a watch's silence until the changes that it misses count
	// as delivered.
	deliveryLimit = 6 * time.Second
)

// CallTimeout is the time limit for connecting, for a fetch, for silence on the watch of an agent, and for
// each message on that watch.
const CallTimeout = 3 * time.Second

// Timing of the calls. Pushed stands for calls to an agent, polled for calls to the service or to an agent
// that rejects calls.
const (
	// Silence after which a pushed watch is suspect, and a polled watch is closed.
	pushedIdleTimeout = heartbeatInterval + 300*time.Millisecond
	polledIdleTimeout = heartbeatInterval + time.Second

	// Time limits for the first byte of a response, and for each message once it has begun. The first one is
	// also the longest silence on a fetch.
	pushedMessageTimeout = 200 * time.Millisecond
	polledMessageTimeout = 3 * time.Second

	maxFetchInterval    = 150 * time.Millisecond // random wait between calls to an agent; at least half
	responseAllowance   = time.Second            // part of deliveryLimit left for a call's response
	fleetCallInterval   = 100 * time.Millisecond // mean interval between calls over the whole fleet
	smallFleetMaxWindow = time.Second            // largest backoff window of a small fleet
	maxWindowFactor     = 2                      // ratio of the largest to the first window of a large fleet
	maxRereadInterval   = time.Minute            // between readings of a list that stays malformed
	defaultPollInterval = 10 * time.Second       // used if the settings give none
)

// schedule collects the decisions of one call to Advance.
type schedule struct {
	now      time.Duration
	commands []Command
	next     time.Duration // latest time of the next call to Advance
}

// due reports whether a time has been reached. If not, due limits next to that time, so that Advance is
// called again by then.
func (s *schedule) due(at time.Duration) bool {
	if at > s.now {
		s.next = min(s.next, at)
	}
	return at <= s.now
}

// Advance returns the commands that are due and the latest time at which it must be called again.
func (f *Follower) Advance(now time.Duration) (commands []Command, next time.Duration) {
	s := &schedule{now: now, next: now + CallTimeout}
	f.rereadIfDue(s)
	f.closeWatchIfDue(s)
	f.closeFetchIfDue(s)
	f.openFetchIfDue(s)
	f.openWatchIfDue(s)
	if f.fetch.id != 0 {
		s.due(f.fetch.lastActivity + pushedMessageTimeout)
	}
	return s.commands, s.next
}

// rereadIfDue requests the complete list again after one with malformed entries.
func (f *Follower) rereadIfDue(s *schedule) {
	if f.rereadAt != 0 && s.due(f.rereadAt) {
		f.rereadAt = 0
		f.suspect(snapshotNeeded)
		f.reopenWatch = f.rateLimited()
	}
}

// closeWatchIfDue closes the watch if it is to be reopened or has been silent for too long.
func (f *Follower) closeWatchIfDue(s *schedule) {
	if f.reopenWatch && f.watch.id != 0 {
		f.close(s, &f.watch)
	}
	f.reopenWatch = false
	switch {
	case f.watch.id == 0:
	case f.rateLimited():
		f.closePolledWatchIfDue(s)
	default:
		f.closePushedWatchIfDue(s)
	}
}

// closePolledWatchIfDue closes a polled watch that is silent or takes too long for one message.
func (f *Follower) closePolledWatchIfDue(s *schedule) {
	w := &f.watch
	silent := w.lastActivity + polledMessageTimeout
	if w.confirmed {
		silent = w.lastActivity + polledIdleTimeout
	}
	if s.due(silent) || w.partial && s.due(w.messageStarted+polledMessageTimeout) {
		f.abandonWatch(s)
	}
}

// closePushedWatchIfDue marks the list as suspect when the watch of an agent becomes suspect, so that a fetch
// begins. It closes the watch only after CallTimeout, because the agent may merely be late.
func (f *Follower) closePushedWatchIfDue(s *schedule) {
	w := &f.watch
	if s.due(w.suspectDeadline()) {
		f.suspect(listSuspect)
		if w.confirmed {
			f.markUnreachable()
		}
	}
	if s.due(w.lastActivity+CallTimeout) || w.partial && s.due(w.messageStarted+CallTimeout) {
		f.abandonWatch(s)
	}
}

// abandonWatch closes a silent watch and schedules the next one.
func (f *Follower) abandonWatch(s *schedule) {
	opened := f.watch.opened
	f.close(s, &f.watch)
	f.scheduleReopen(s.now, opened)
}

func (f *Follower) closeFetchIfDue(s *schedule) {
	c := &f.fetch
	if c.id != 0 &&
		(s.due(c.lastActivity+pushedMessageTimeout) || s.due(c.opened+CallTimeout) || f.rateLimited()) {
		f.close(s, c)
	}
}

func (f *Follower) openFetchIfDue(s *schedule) {
	if f.freshness != listCurrent && f.fetch.id == 0 && !f.rateLimited() && s.due(f.fetchAt) {
		f.fetchAt = s.now + f.fetchInterval()
		f.fetch = f.open(s, fetchCall, 0)
	}
}

func (f *Follower) openWatchIfDue(s *schedule) {
	if f.watch.id != 0 || !s.due(f.watchAt) {
		return
	}
	from := f.generation
	if f.freshness == snapshotNeeded {
		from = 0
	}
	f.watch = f.open(s, watchCall, from)
	if !f.rateLimited() {
		s.due(f.watch.suspectDeadline())
	}
}

// suspectDeadline returns the time at which a watch of an agent becomes suspect if it receives nothing more.
func (w *call) suspectDeadline() time.Duration {
	switch {
	case w.partial:
		return w.messageStarted + pushedMessageTimeout
	case !w.answered:
		return w.opened + pushedMessageTimeout
	}
	return w.lastActivity + pushedIdleTimeout
}

func (f *Follower) open(s *schedule, kind callKind, from uint64) call {
	f.lastID++
	s.commands = append(s.commands, Command{Open: true, Watch: kind == watchCall, ID: f.lastID, From: from})
	return call{id: f.lastID, kind: kind, from: from, opened: s.now, lastActivity: s.now}
}

func (f *Follower) close(s *schedule, c *call) {
	s.commands = append(s.commands, Command{ID: c.id})
	*c = call{}
}

// scheduleReopen sets the time at which the watch is reopened after it has ended or timed out. opened is when
// the watch was opened. Discovery may have become reachable again at any time after that, or after the last
// contact if that is later. A polled watch is reopened early enough for the response to arrive within
// deliveryLimit of that time.
func (f *Follower) scheduleReopen(now, opened time.Duration) {
	f.markUnreachable()
	f.suspect(listSuspect)
	if !f.rateLimited() {
		f.watchAt = now + f.fetchInterval()
		return
	}
	latest := max(opened, f.lastContact) + deliveryLimit - responseAllowance
	f.watchAt = now + f.randomDuration(min(f.nextBackoffWindow(now), max(latest-now, smallFleetMaxWindow)))
}

// scheduleReopenAfterRejection sets the time at which the watch is reopened after discovery has rejected a
// call. The wait is at least retryAfter, up to the longest backoff.
func (f *Follower) scheduleReopenAfterRejection(now, retryAfter time.Duration) {
	f.suspect(listSuspect)
	f.watchAt = now + max(f.randomDuration(f.nextBackoffWindow(now)), min(retryAfter, f.maxBackoff()))
}

// scheduleReread sets the time at which a list with malformed entries is read again. A pushed list is first
// read again at once. The interval then doubles with each malformed message, from maxFetchInterval up to
// maxRereadInterval.
func (f *Follower) scheduleReread(now time.Duration, u Update) {
	switch {
	case u.Malformed:
		wait := f.rereadInterval
		if f.rateLimited() { // the whole fleet may have received the message, so the calls are spread
			wait = max(wait, f.randomDuration(min(f.firstBackoffWindow(), deliveryLimit-responseAllowance)))
		}
		f.rereadAt = now + wait + 1 // never 0, which means that no reread is scheduled
		f.rereadInterval = min(max(2*wait, maxFetchInterval), maxRereadInterval)
	case u.Snapshot:
		f.rereadAt, f.rereadInterval = 0, 0
	}
}

// nextBackoffWindow returns the window from now in which the next call is made at a random time. It grows
// with the size of the fleet and with each failed call.
func (f *Follower) nextBackoffWindow(now time.Duration) time.Duration {
	first := f.firstBackoffWindow()
	largest := min(max(smallFleetMaxWindow, maxWindowFactor*first), f.maxBackoff())
	window := f.backoffWindow
	if window == 0 { // first failure since the last contact: the response is still due within deliveryLimit
		window = min(first, max(f.lastContact+deliveryLimit-responseAllowance-now, smallFleetMaxWindow))
	}
	f.backoffWindow = min(max(2*window, min(first, largest)), largest)
	return window
}

// maxBackoff returns the longest backoff: two poll intervals. If the call after a backoff fails too, the
// next one follows within four poll intervals of the first failure.
func (f *Follower) maxBackoff() time.Duration {
	if f.config.PollInterval <= 0 {
		return 2 * defaultPollInterval
	}
	return 2 * f.config.PollInterval
}

// firstBackoffWindow returns the first backoff window of rate-limited calls. It is proportional to the fleet
// size, so that the fleet as a whole makes one call per fleetCallInterval on average.
func (f *Follower) firstBackoffWindow() time.Duration {
	return time.Duration(f.config.FleetSize) * fleetCallInterval
}

// fetchInterval returns a random interval between two calls to an agent.
func (f *Follower) fetchInterval() time.Duration {
	return f.randomDuration(maxFetchInterval/2) + maxFetchInterval/2
}

// randomDuration returns a random duration from 0 up to, but not including, limit.
func (f *Follower) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.config.Rand.Int64N(int64(limit)))
}
