package follower

import "time"

// Figures of the protocol (section "Discovery" and the rules on sockets).
const (
	emptyLineInterval = 2 * time.Second // an idle watch that works brings an empty line this often
	reportedAfter     = 6 * time.Second // what a watch misses counts as reported this long after it fell silent
)

// MaxCallDuration is the time after which a call without an answer, or a suspect watch, is given up.
const MaxCallDuration = 3 * time.Second

// Timing of the calls.
const (
	pushedSilenceLimit   = emptyLineInterval + 300*time.Millisecond // silence after which a watch of an agent is suspect
	polledSilenceLimit   = emptyLineInterval + time.Second          // silence after which a watch of the service is broken
	pushedMessageTimeout = 200 * time.Millisecond                   // in which an agent writes a message, or answers a call
	polledMessageTimeout = 3 * time.Second                          // in which the service does
	maxFetchInterval     = 150 * time.Millisecond                   // from one fetch to the next; half of it at least
	responseReserve      = time.Second                              // of reportedAfter that is left for a call's answer
	fleetCallInterval    = 100 * time.Millisecond                   // from one edge node's call to the next one's, over the fleet
	smallFleetMaxWindow  = time.Second                              // largest backoff window of a small fleet
	maxWindowFactor      = 2                                        // largest backoff window of a large fleet, over its first
	maxRereadInterval    = time.Minute                              // from one reading of a malformed list to the next
	defaultPollInterval  = 10 * time.Second                         // where the settings don't give one
)

// schedule collects what one call of Advance decides.
type schedule struct {
	now      time.Duration
	commands []Command
	next     time.Duration // when Advance has to be called again
}

// due tells whether a time has come; if it has not, Advance is called again by then.
func (s *schedule) due(at time.Duration) bool {
	if at > s.now {
		s.next = min(s.next, at)
	}
	return at <= s.now
}

// Advance returns the commands that are due and the time by which it has to be called again.
func (f *Follower) Advance(now time.Duration) (commands []Command, next time.Duration) {
	s := &schedule{now: now, next: now + MaxCallDuration}
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

// rereadIfDue has a list of which some was malformed read again.
func (f *Follower) rereadIfDue(s *schedule) {
	if f.rereadAt != 0 && s.due(f.rereadAt) {
		f.rereadAt = 0
		f.suspect(snapshotNeeded)
		f.reopenWatch = f.rateLimited()
	}
}

// closeWatchIfDue closes a watch that is to be opened anew, or that has been silent for too long.
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

func (f *Follower) closePolledWatchIfDue(s *schedule) {
	w := &f.watch
	silent := w.lastActivity + polledMessageTimeout
	if w.confirmed {
		silent = w.lastActivity + polledSilenceLimit
	}
	if s.due(silent) || w.partial && s.due(w.messageStarted+polledMessageTimeout) {
		f.abandonWatch(s)
	}
}

func (f *Follower) closePushedWatchIfDue(s *schedule) {
	w := &f.watch
	if s.due(w.suspectDeadline()) {
		f.suspect(listSuspect)
		if w.confirmed {
			f.markDown()
		}
	}
	if s.due(w.lastActivity+MaxCallDuration) || w.partial && s.due(w.messageStarted+MaxCallDuration) {
		f.abandonWatch(s)
	}
}

// abandonWatch closes a watch that is silent and schedules the next one.
func (f *Follower) abandonWatch(s *schedule) {
	opened := f.watch.opened
	f.close(s, &f.watch)
	f.scheduleReopen(s.now, opened)
}

func (f *Follower) closeFetchIfDue(s *schedule) {
	c := &f.fetch
	if c.id != 0 && (s.due(c.lastActivity+pushedMessageTimeout) || s.due(c.opened+MaxCallDuration) || f.rateLimited()) {
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
	from := f.version
	if f.freshness == snapshotNeeded {
		from = 0
	}
	f.watch = f.open(s, watchCall, from)
	if !f.rateLimited() {
		s.due(f.watch.suspectDeadline())
	}
}

// suspectDeadline is when a watch of an agent becomes suspect unless something comes.
func (w *call) suspectDeadline() time.Duration {
	switch {
	case w.partial:
		return w.messageStarted + pushedMessageTimeout
	case !w.answered:
		return w.opened + pushedMessageTimeout
	}
	return w.lastActivity + pushedSilenceLimit
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

// scheduleReopen decides when the watch is opened anew after a call, opened at that time, has ended or been silent
// for too long. The call after it begins soon enough for its answer to come within reportedAfter of the moment in
// which discovery could be reached again, which may be any since that call was opened or discovery was heard.
func (f *Follower) scheduleReopen(now, opened time.Duration) {
	f.markDown()
	f.suspect(listSuspect)
	if !f.rateLimited() {
		f.watchAt = now + f.fetchInterval()
		return
	}
	latest := max(opened, f.lastHeard) + reportedAfter - responseReserve
	f.watchAt = now + f.randomDuration(min(f.nextBackoffWindow(now), max(latest-now, smallFleetMaxWindow)))
}

// scheduleReopenAfterRejection decides when the watch is opened anew after a call that discovery has rejected.
func (f *Follower) scheduleReopenAfterRejection(now, retryAfter time.Duration) {
	f.suspect(listSuspect)
	f.watchAt = now + max(f.randomDuration(f.nextBackoffWindow(now)), min(retryAfter, f.maxBackoff()))
}

// scheduleReread has a malformed list read again, the less often the longer it stays malformed.
func (f *Follower) scheduleReread(now time.Duration, u Update) {
	switch {
	case u.Malformed:
		wait := f.rereadInterval
		if f.rateLimited() { // all edge nodes may have had the same message
			wait = max(wait, f.randomDuration(min(f.firstBackoffWindow(), reportedAfter-responseReserve)))
		}
		f.rereadAt = now + wait + 1
		f.rereadInterval = min(max(2*wait, maxFetchInterval), maxRereadInterval)
	case u.Snapshot:
		f.rereadAt, f.rereadInterval = 0, 0
	}
}

// nextBackoffWindow is the time from now in which the next call is drawn. It grows with the fleet and with each
// call that is not answered.
func (f *Follower) nextBackoffWindow(now time.Duration) time.Duration {
	first := f.firstBackoffWindow()
	largest := min(max(smallFleetMaxWindow, maxWindowFactor*first), f.maxBackoff())
	window := f.backoffWindow
	if window == 0 { // the first after a watch that worked
		window = min(first, max(f.lastHeard+reportedAfter-responseReserve-now, smallFleetMaxWindow))
	}
	f.backoffWindow = min(max(2*window, min(first, largest)), largest)
	return window
}

// maxBackoff is the longest backoff: the one after it is over within four poll intervals of a failed call.
func (f *Follower) maxBackoff() time.Duration {
	if f.config.PollInterval <= 0 {
		return 2 * defaultPollInterval
	}
	return 2 * f.config.PollInterval
}

// firstBackoffWindow is the first window where calls are rate-limited.
func (f *Follower) firstBackoffWindow() time.Duration {
	return time.Duration(f.config.FleetSize) * fleetCallInterval
}

// fetchInterval draws the time from one call of an agent to the next.
func (f *Follower) fetchInterval() time.Duration {
	return f.randomDuration(maxFetchInterval/2) + maxFetchInterval/2
}

// randomDuration draws a time from 0 up to a limit.
func (f *Follower) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.config.Rand.Int64N(int64(limit)))
}
