package edgenode

import (
	"sync"
	"time"
)

// connTable bounds the connections of clients, so that descriptors never run out. A new connection is accepted first;
// if it is one too many, the one that is easiest to spare is evicted, and never one with a request in flight.
//
// How the states of connections guard a request against a close that crosses it:
//
//   - What has come is taken in, and the state changed, in one step under the mutex ([clientConn.receive]). So a
//     connection that is closed was looked at with nothing read in between, and what comes later stays unread, by
//     which its client can tell that it may send again.
//   - A connection is idle once the HTTP library asks for the next request, that is once the response before it was
//     written to its end; a response being written closes nothing.
//   - One that ends with something unread behind its response lingers: a close would reset it, and the reset takes what
//     its client has not received.
type connTable struct {
	max int

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	newConns int // of them, those on which nothing has come
}

// connState is the state of a client's connection.
type connState int

const (
	connNew        connState = iota // nothing has come on it
	connReading                     // something has come, but no whole request
	connActive                      // a request is in flight
	connResponding                  // its response is known, and on its way
	connIdle                        // the response has gone out, and the next request is waited for
	connLingering                   // the sending side is closed: what was written last is on its way
	connClosed
)

// Ages past which a connection is evicted more easily.
const (
	newConnGrace = 100 * time.Millisecond // clients that mean to send do so as soon as they have connected
	idleGrace    = 2 * time.Second
	readingGrace = 500 * time.Millisecond // a header comes in one piece
	writtenGrace = 100 * time.Millisecond // a response may take this long through the network
)

// Order of eviction: a higher rank goes first, rankNever never goes.
const (
	rankNever = iota
	rankIdle
	rankNew
	rankSlow // slow to send a header or to read a response
	rankIdleLong
	rankSilent // new for long
	rankLingering
)

func newConnTable(n int) *connTable {
	return &connTable{max: n, conns: map[*clientConn]struct{}{}}
}

// nearlyFull tells whether responses should close their connections. To evict one that has been idle for a moment costs
// its client the next request, and a new connection, for which another would be evicted; one that is told of the close
// with its response loses nothing. New connections don't count: they are evicted at no cost.
func (t *connTable) nearlyFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (len(t.conns)-t.newConns)*4 >= t.max*3
}

// add adds a new connection and returns the one that it evicts, if any, which the caller has to close. It is the new
// one where no other can be spared.
func (t *connTable) add(c *clientConn) (evicted *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for evicted == nil && len(t.conns) >= t.max {
		candidate := t.easiestToSpare(now)
		switch {
		case candidate == nil:
			c.state = connClosed
			return c
		case (candidate.state == connNew || candidate.state == connIdle) && candidate.hasUnread():
			// A request has come that was not read yet.
			t.changeState(candidate, connReading)
			candidate.stateSince = now
		default:
			t.remove(candidate)
			evicted = candidate
		}
	}
	t.conns[c] = struct{}{}
	t.newConns++
	return evicted
}

// easiestToSpare returns the connection of the highest rank, among equals the longest in its state; nil if all ranks
// are rankNever. Called under the mutex.
func (t *connTable) easiestToSpare(now time.Time) (candidate *clientConn) {
	highest := rankNever
	for c := range t.conns {
		rank := c.evictionRank(now)
		if rank > highest || rank == highest && rank > rankNever && c.stateSince.Before(candidate.stateSince) {
			highest, candidate = rank, c
		}
	}
	return candidate
}

// closeIdle closes the connections on which no request is in flight or coming, and returns how many are left. What
// comes on a closed one is not read, so that its client may send it again.
func (t *connTable) closeIdle() (left int) {
	idle, left := t.removeIdle()
	for _, c := range idle {
		_ = c.Conn.Close() // nothing is in flight on it
	}
	return left
}

func (t *connTable) removeIdle() (idle []*clientConn, left int) {
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

// remove removes a connection, which is closed from then on. Called under the mutex.
func (t *connTable) remove(c *clientConn) {
	t.changeState(c, connClosed)
	delete(t.conns, c)
}

// changeState changes the state of a connection in the table. Called under the mutex.
func (t *connTable) changeState(c *clientConn, to connState) {
	if c.state == connNew {
		t.newConns--
	}
	c.state = to
}

// evictionRank tells how easily a connection is spared. New ones that came by hundreds and say nothing go first, then
// what has been idle for long or is slow, and only then the rest. Called under the mutex.
func (c *clientConn) evictionRank(now time.Time) int {
	age := now.Sub(c.stateSince)
	switch {
	case c.state == connLingering:
		return rankLingering
	case c.state == connNew && age >= newConnGrace:
		return rankSilent
	case c.state == connIdle && age >= idleGrace:
		return rankIdleLong
	case c.state == connReading && age >= readingGrace, c.state == connResponding && age >= idleGrace:
		return rankSlow
	case c.state == connNew:
		return rankNew
	case c.state == connIdle && age >= writtenGrace:
		return rankIdle
	}
	return rankNever
}
