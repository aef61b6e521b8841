package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Limits on the idle time of connections.
const (
	// idleFraction is the part of the configured idle time after which a connection is not used any more.
	idleFraction = 0.8
	// minIdleLimit is the smallest idle limit that a backend gets after a reset. A connection that was idle
	// for less is not reset because of its idle time.
	minIdleLimit = 50 * time.Millisecond
	// reuseDelay is the shortest time between a response on a connection and the next request on it. A
	// server's erroneous second response to the same request may arrive this late.
	reuseDelay = 20 * time.Millisecond
	// idleLimitDoublingPeriod is the period in which a reduced idle limit doubles.
	idleLimitDoublingPeriod = 10 * time.Second
	// maxIdleLimitDoublings is the number of doublings after which maxIdle applies again. It keeps the shift
	// in idleLimitFor from overflowing.
	maxIdleLimitDoublings = 20
)

// Frequency at which expired idle connections are closed.
const (
	reapsPerMaxIdle = 8
	minReapInterval = 10 * time.Millisecond
)

// Reasons why there is no connection to an app server.
var (
	errNotUp     = errors.New("server is not up in the endpoint list")
	errConnLimit = errors.New("connection limit reached, and no connection is idle")
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // reads from reader
	backend     *Backend      // server of the connection
	idleSince   time.Time
	connectedAt time.Time

	idleFor time.Duration // idle time before the current exchange; 0 for a new connection
}

// acquire returns a connection to an app server. It takes the most recently used idle connection that is
// reusable, and waits up to reuseDelay for one. Otherwise it opens a new one. An idle connection may be
// broken, which writeRequest checks. acquire fails if the server is not up, or if selected is not nil and
// the server has become another [Backend] since it was selected.
func (p *Pool) acquire(ctx context.Context, endpointID string, selected *Backend) (*conn, error) {
	for waited := false; ; {
		p.mu.Lock()
		b := p.backends[endpointID]
		if b == nil || !b.up || selected != nil && b != selected {
			p.mu.Unlock()
			return nil, errNotUp
		}
		if c := b.takeReusable(time.Now()); c != nil {
			limit := p.idleLimitFor(b)
			p.mu.Unlock()
			if c.idleFor = time.Since(c.idleSince); c.idleFor < limit {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if len(b.idle) > 0 && !waited { // a wait of at most reuseDelay costs less than a new connection
			p.mu.Unlock()
			waited = true
			p.awaitReusable(ctx, b)
			continue
		}
		evicted, err := p.reserveSlot()
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if evicted != nil {
			_ = evicted.Close() // not used again, so an error does not matter
		}
		c, err := p.dial(ctx, b)
		// A server that accepts no new connection may still respond on an idle one that becomes reusable.
		if err == nil || !p.awaitReusable(ctx, b) {
			return c, err
		}
	}
}

// awaitReusable waits until the connection of the backend that has been idle for longest is reusable. It
// reports whether there is a reusable one then.
func (p *Pool) awaitReusable(ctx context.Context, b *Backend) bool {
	p.mu.Lock()
	if len(b.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	timer := time.NewTimer(reuseDelay - time.Since(b.idle[0].idleSince))
	p.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.countReusable(time.Now()) > 0
}

// countReusable returns the number of idle connections whose last response is at least reuseDelay ago. They
// are the first ones in b.idle. The caller must hold the pool's mutex.
func (b *Backend) countReusable(now time.Time) (n int) {
	for n = len(b.idle); n > 0 && now.Sub(b.idle[n-1].idleSince) < reuseDelay; n-- {
	}
	return n
}

// takeReusable removes and returns the most recently used of the reusable idle connections, nil if there is
// none. The caller must hold the pool's mutex.
func (b *Backend) takeReusable(now time.Time) *conn {
	n := b.countReusable(now)
	if n == 0 {
		return nil
	}
	c := b.idle[n-1]
	b.idle = slices.Delete(b.idle, n-1, n)
	return c
}

// reserveSlot counts a connection that is to be opened. If the connection limit is reached, it evicts an idle
// connection, which the caller must close. The caller must hold the mutex.
func (p *Pool) reserveSlot() (evicted *conn, err error) {
	if p.open >= p.maxOpen {
		if evicted = p.takeLongestIdle(); evicted == nil {
			return nil, errConnLimit
		}
		p.open--
	}
	p.open++
	return evicted, nil
}

// takeLongestIdle removes and returns the connection that has been idle for longest, nil if none is idle.
// The caller must hold the mutex.
func (p *Pool) takeLongestIdle() *conn {
	var owner *Backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (owner == nil || b.idle[0].idleSince.Before(owner.idle[0].idleSince)) {
			owner = b
		}
	}
	if owner == nil {
		return nil
	}
	c := owner.idle[0]
	owner.idle = owner.idle[1:]
	return c
}

// dial opens a connection for which the caller has reserved a slot.
func (p *Pool) dial(ctx context.Context, b *Backend) (*conn, error) {
	nc, err := p.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		p.freeSlot()
		return nil, err
	}
	reader := &responseReader{conn: nc, budget: p.memory}
	c := &conn{
		Conn: nc, reader: reader, buffered: bufio.NewReader(reader), backend: b, connectedAt: time.Now(),
	}
	if c.raw, err = nc.(syscall.Conn).SyscallConn(); err != nil {
		p.discard(c)
		return nil, err
	}
	p.mu.Lock()
	up := b.up
	p.mu.Unlock()
	if !up {
		// The list changed while the connection was being opened: the server must get no new requests.
		p.discard(c)
		return nil, errNotUp
	}
	return c, nil
}

// freeSlot frees the slot of a connection that could not be opened or is closed.
func (p *Pool) freeSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// discard closes a connection that is not idle, and frees its slot.
func (p *Pool) discard(c *conn) {
	_ = c.Close() // not used again, so an error does not matter
	p.freeSlot()
}

// release makes a connection idle after its exchange. If its server is no longer up, it closes the
// connection.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	if c.backend.up {
		c.idleSince = time.Now()
		c.backend.idle = append(c.backend.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// ReapIdle periodically closes connections that have been idle for too long. It returns when ctx ends.
func (p *Pool) ReapIdle(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdle/reapsPerMaxIdle, minReapInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			closeAll(p.takeExpired())
		}
	}
}

// takeExpired removes and returns the connections that have been idle for too long.
func (p *Pool) takeExpired() (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		n := 0
		for n < len(b.idle) && time.Since(b.idle[n].idleSince) >= p.maxIdle {
			n++
		}
		expired = append(expired, b.idle[:n]...)
		b.idle = append([]*conn(nil), b.idle[n:]...)
	}
	p.open -= len(expired)
	return expired
}

// shortenIdleLimit reduces the idle limit of a backend after a reused connection was reset as soon as a
// request was written to it. Such a reset means that the server, or a device in between, drops idle
// connections earlier than the settings say. The request may have run, so it may not be freely retried. The
// new limit is half the idle time of the connection. It doubles each idleLimitDoublingPeriod, up to the
// configured one. All idle connections of the backend are closed.
func (p *Pool) shortenIdleLimit(c *conn) {
	p.mu.Lock()
	b := c.backend
	b.idleLimit, b.idleLimitSetAt = max(c.idleFor/2, minIdleLimit), time.Now()
	p.mu.Unlock()
	p.closeIdle(b)
}

// idleLimitFor returns how long a connection of the backend may be idle and still be used again. The caller
// must hold the mutex.
func (p *Pool) idleLimitFor(b *Backend) time.Duration {
	if b.idleLimit == 0 {
		return p.maxIdle
	}
	doublings := time.Since(b.idleLimitSetAt) / idleLimitDoublingPeriod
	if doublings > maxIdleLimitDoublings || b.idleLimit<<doublings >= p.maxIdle {
		b.idleLimit = 0
		return p.maxIdle
	}
	return b.idleLimit << doublings
}

// closeIdle closes a backend's idle connections, in particular after a timeout on one connection. If the
// machine has crashed or is cut off from the network, all of its connections are open but silent. A request
// written to another of them would time out as well and might have run. A new connection that cannot be
// opened proves that the request has not run.
func (p *Pool) closeIdle(b *Backend) {
	p.mu.Lock()
	idle := b.idle
	b.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

// closeAll closes connections that were removed from the idle ones and from the count of open ones. Their
// errors do not matter, because the connections are not used again.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
