package edgenode

import "time"

// stalledGrace is how long a client that has sent part of a request may send nothing before its connection can
// be evicted to free memory.
const stalledGrace = 100 * time.Millisecond

// noMemoryLogInterval is the shortest time between two log records of a lack of memory.
const noMemoryLogInterval = time.Second

// heldPart is a part of the memory that is held for a client.
type heldPart int

const (
	heldBuffer   heldPart = iota // received bytes that were not passed on to net/http yet
	heldRequest                  // the request that net/http has read, and its body
	heldResponse                 // the body of the response that is being written
	heldParts                    // number of parts
)

// hold sets the memory that a connection holds for its client. If the connections would occupy more than
// maxMemory, hold evicts others that have stalled. If that does not free enough, it changes nothing and
// returns false. A call that does not increase the memory always succeeds.
func (t *connTable) hold(c *clientConn, part heldPart, bytes int) bool {
	evicted, ok := t.tryHold(c, part, bytes)
	for _, e := range evicted {
		_ = e.Conn.Close() // no request is in flight on it
	}
	return ok
}

// tryHold does the work of hold. It returns the evicted connections, which the caller must close.
func (t *connTable) tryHold(c *clientConn, part heldPart, bytes int) (evicted []*clientConn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.state >= connLingering {
		return nil, true
	}
	growth := bytes - c.held[part]
	for now := time.Now(); growth > 0 && t.memory+growth > t.maxMemory; {
		e := t.evictForMemory(now, c)
		if e == nil {
			return evicted, false
		}
		evicted = append(evicted, e)
		if e == c {
			return evicted, true
		}
	}
	c.held[part] = bytes
	t.memory += growth
	return evicted, true
}

// releaseAll releases the memory that a connection holds for its client, except that of the connection itself. The
// caller holds the mutex.
func (t *connTable) releaseAll(c *clientConn) {
	t.memory -= c.memory() - connMemory
	c.held = [heldParts]int{}
}

// evictForMemory removes a connection to free memory for c and returns it, or nil if none can be removed. It
// prefers one that lingers, and then one on which part of a request was received, but nothing more for at least
// stalledGrace. The caller holds the mutex.
func (t *connTable) evictForMemory(now time.Time, c *clientConn) *clientConn {
	t.logNoMemory(now)
	for {
		candidate := t.stalledCandidate(now, c)
		if candidate == nil || t.lingering > 0 {
			return t.evict(now)
		}
		if !candidate.hasUnread() {
			t.remove(candidate)
			return candidate
		}
		candidate.receivedAt = now // its goroutine has not run yet
	}
}

// logNoMemory logs that the memory for clients is used up, at most once per noMemoryLogInterval. The caller
// holds the mutex, so a goroutine writes the log record.
func (t *connTable) logNoMemory(now time.Time) {
	if now.Sub(t.memoryLogged) < noMemoryLogInterval {
		return
	}
	t.memoryLogged = now
	go t.log.Warn("memory for clients is used up", "connections", len(t.conns), "bytes", t.memory, "limit", t.maxMemory)
}

// logRejectedHead logs that costly heads are rejected, at most once per noMemoryLogInterval.
func (t *connTable) logRejectedHead(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.headLogged) < noMemoryLogInterval {
		return
	}
	t.headLogged = now
	go t.log.Warn("costly heads are rejected", "err", cause, "waiting", t.heads.memory.Waiters())
}

// stalledCandidate returns the connection other than c that has stalled for at least stalledGrace, or nil. If
// there are several, it returns the one for which the product of the memory that it holds and that time is
// largest: slow clients need little memory and send again soon. A connection that holds nothing besides its own
// memory is none: its client would lose a request, and little would be freed. The caller holds the mutex.
func (t *connTable) stalledCandidate(now time.Time, c *clientConn) (candidate *clientConn) {
	largest := 0.0
	for other := range t.conns {
		silence := now.Sub(other.receivedAt)
		if other == c || other.state != connReading || other.complete || silence < stalledGrace {
			continue
		}
		if product := float64(other.memory()-connMemory) * silence.Seconds(); product > largest {
			largest, candidate = product, other
		}
	}
	return candidate
}

// memory returns the memory that the connection occupies, in bytes. The caller holds table.mu.
func (c *clientConn) memory() int {
	total := connMemory
	for _, bytes := range c.held {
		total += bytes
	}
	return total
}
