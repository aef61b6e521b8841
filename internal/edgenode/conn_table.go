package edgenode

import (
	"log/slog"
	"math"
	"sync"
	"time"
)

// connTable limits the number of client connections, so that the process never runs out of file descriptors,
// and the memory that they occupy; see [connTable.hold]. The listener accepts every new connection. If that
// exceeds a limit, the table evicts the connection with
// the highest eviction rank, but never one with a request in flight. If no other connection can be evicted,
// the new one is closed. The table's methods are safe for concurrent use, except those whose caller holds the
// mutex.
//
// The states of connections ensure that no request is lost when the node closes a connection just as the
// request arrives:
//
//   - Reading bytes and changing the state are one step under the mutex ([clientConn.receiveOnce]). No bytes
//     can therefore be read between the check of a connection and its close. Bytes that arrive later stay
//     unread, so the client may send the request again.
//   - A connection becomes idle only when net/http starts to read the next request, which is after the
//     response was written completely. A connection whose response is being written is not closed as idle.
//   - A connection that ends with unread bytes after its response lingers: an immediate close would reset it,
//     and a reset discards the part of the response that the client has not received yet.
type connTable struct {
	max       int                 // largest number of connections
	maxMemory int                 // most memory that all connections may occupy, in bytes
	heads     *headAdmission      // of the heads that net/http parses
	sleep     func(time.Duration) // [time.Sleep], but for tests
	log       *slog.Logger

	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	newConns  int // number of connections in the state connNew
	lingering int // number of connections in the state connLingering
	memory    int // memory that the connections occupy, in bytes

	memoryLogged time.Time // time at which the lack of memory was logged last; zero: never
	headLogged   time.Time // time at which the rejection of a costly head was logged last; zero: never
}

// connState is the state of a client's connection.
type connState int

const (
	connNew        connState = iota // no bytes received yet
	connReading                     // part of a request received
	connActive                      // request in flight
	connResponding                  // response being written
	connIdle                        // response written, waiting for the next request
	connLingering                   // sending side closed, last response perhaps not received yet
	connClosed                      // removed from the table
)

// Times in a state after which the eviction rank of a connection rises.
const (
	newConnGrace     = 100 * time.Millisecond // clients with a request send it as soon as they have connected
	idleGrace        = 2 * time.Second        // for idle connections, and for responses being written
	justWrittenGrace = 100 * time.Millisecond // a response may need this long to reach the client
)

// readingGrace is how long a client that has sent part of a request may send nothing before its connection can be evicted
// for want of another one.
const readingGrace = time.Second

// Eviction ranks. The connection with the highest rank is evicted first, one with rankNever is never evicted.
const (
	rankNever     = iota // request being received or in flight, or response on its way
	rankStalled          // stopped in the middle of a request for at least readingGrace
	rankIdle             // idle for at least justWrittenGrace
	rankNew              // new for less than newConnGrace
	rankSlow             // slow to read a response
	rankIdleLong         // idle for at least idleGrace
	rankSilent           // new for at least newConnGrace
	rankLingering        // lingering
)

// newConnTable returns a table for at most maxConns connections that occupy at most maxMemory bytes. The memory of
// parsed heads is not limited.
func newConnTable(maxConns, maxMemory int) *connTable {
	return &connTable{
		max: maxConns, maxMemory: maxMemory, heads: newHeadAdmission(math.MaxInt, math.MaxInt), sleep: time.Sleep,
		log: slog.New(slog.DiscardHandler), conns: map[*clientConn]struct{}{},
	}
}

// nearlyFull reports whether the connections that are neither new nor lingering reach three quarters of the
// limit. Responses then announce the close of their connections. A client whose idle connection is evicted can
// lose its next request, and has to open a new connection, for which yet another one is evicted. A client that
// learns of the close from its response loses nothing. New and lingering connections do not count, because
// their eviction costs nothing.
func (t *connTable) nearlyFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (len(t.conns)-t.newConns-t.lingering)*4 >= t.max*3
}

// add adds a new connection. It returns the connection that was evicted, or nil; the caller must close it. If
// no other connection can be evicted, add returns c itself and does not add it.
func (t *connTable) add(c *clientConn) (evicted *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	full, noMemory := len(t.conns) >= t.max, t.memory+connMemory > t.maxMemory
	switch {
	case full:
		evicted = t.evict(now)
	case noMemory:
		evicted = t.evictForMemory(now, c)
	}
	if (full || noMemory) && evicted == nil {
		c.state = connClosed
		return c
	}
	t.conns[c] = struct{}{}
	t.newConns++
	t.memory += connMemory
	return evicted
}

// evict removes the connection with the highest eviction rank and returns it, or nil if all ranks are
// rankNever. The caller holds the mutex.
func (t *connTable) evict(now time.Time) *clientConn {
	for {
		candidate := t.evictionCandidate(now)
		switch {
		case candidate == nil:
			return nil
		case candidate.awaitsRequest() && candidate.hasUnread():
			// Received bytes have not been read yet: a request is coming.
			t.changeState(candidate, connReading)
			candidate.stateSince, candidate.receivedAt = now, now
		default:
			t.remove(candidate)
			return candidate
		}
	}
}

// evictionCandidate returns the connection with the highest eviction rank, and among those the one that has
// been in its state for longest. It returns nil if all ranks are rankNever. The caller holds the mutex.
func (t *connTable) evictionCandidate(now time.Time) (candidate *clientConn) {
	highest := rankNever
	for c := range t.conns {
		rank := c.evictionRank(now)
		if rank > highest || rank == highest && rank > rankNever && c.stateSince.Before(candidate.stateSince) {
			highest, candidate = rank, c
		}
	}
	return candidate
}

// awaitsRequest reports whether no complete request was received since the last response. The caller holds
// table.mu.
func (c *clientConn) awaitsRequest() bool {
	return c.state == connNew || c.state == connReading || c.state == connIdle
}

// closeIdle closes the idle and the new connections that have no unread bytes, and returns the number of the
// others. A request that arrives on a closed connection is not read, so that its client may send it again.
func (t *connTable) closeIdle() (remaining int) {
	idle, remaining := t.removeIdle()
	for _, c := range idle {
		_ = c.Conn.Close() // no request is in flight on it
	}
	return remaining
}

// removeIdle removes the connections that closeIdle closes from the table. It returns them and the number of
// the others.
func (t *connTable) removeIdle() (idle []*clientConn, remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if (c.state == connIdle || c.state == connNew) && !c.hasUnread() {
			t.remove(c)
			idle = append(idle, c)
		}
	}
	return idle, len(t.conns)
}

// remove removes a connection from the table and marks it as closed. The caller holds the mutex.
func (t *connTable) remove(c *clientConn) {
	t.changeState(c, connClosed)
	delete(t.conns, c)
	t.memory -= c.memory()
}

// changeState changes the state of a connection and keeps the counts of states up to date. The caller holds the
// mutex.
func (t *connTable) changeState(c *clientConn, to connState) {
	switch c.state {
	case connNew:
		t.newConns--
	case connLingering:
		t.lingering--
	}
	if to == connLingering {
		t.lingering++
	}
	c.state = to
}

// evictionRank returns the eviction rank of a connection. Connections that are lingering or have sent nothing
// for newConnGrace are evicted first, because clients may open hundreds of them without sending anything.
// Connections that have been idle for long or are slow to read follow, then the other new and idle ones. A
// client that is sending a request loses it if its connection is evicted, while others may connect again: one
// that has stopped comes last. The caller holds table.mu.
func (c *clientConn) evictionRank(now time.Time) int {
	age := now.Sub(c.stateSince)
	switch {
	case c.state == connLingering:
		return rankLingering
	case c.state == connNew && age >= newConnGrace:
		return rankSilent
	case c.state == connIdle && age >= idleGrace:
		return rankIdleLong
	case c.state == connResponding && age >= idleGrace:
		return rankSlow
	case c.state == connNew:
		return rankNew
	case c.state == connIdle && age >= justWrittenGrace:
		return rankIdle
	case c.state == connReading && !c.complete && now.Sub(c.receivedAt) >= readingGrace:
		return rankStalled
	}
	return rankNever
}
