package edgenode

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// How long idle connections rest, and are kept.
const (
	idleFraction       = 0.8                   // of connIdle after which an idle connection is not used again
	minKeepIdle        = 50 * time.Millisecond // one that rested for less is not reset for that
	minRest            = 20 * time.Millisecond // from an answer to the next request: a second answer may come that late
	keepDoublingPeriod = 10 * time.Second      // after which idle connections are kept for twice as long again
)

// Why a server gets no connection.
var (
	errNotUp        = errors.New("server is not up in the list")
	errNoDescriptor = errors.New("no descriptor left for a connection")
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // over in
	backend     *backend      // to which it may return; connections of a moved or restarted server belong to none
	idleSince   time.Time
	connectedAt time.Time

	rested time.Duration // how long it stood idle before the exchange under way; 0 for a new one
}

// take returns a connection to the server: of the idle ones that have rested, or will have in a
// moment, the one used last, or else a new one. Whether it still lives, write tells. A server that is
// not any more what it was when it was chosen gets none.
func (u *upstream) acquire(ctx context.Context, server string, of *backend) (*conn, error) {
	for waited := false; ; {
		u.mu.Lock()
		b := u.backends[server]
		if b == nil || !b.up || of != nil && b != of {
			u.mu.Unlock()
			return nil, errNotUp
		}
		if n := b.restedCount(time.Now()); n > 0 {
			c := b.idle[n-1]
			b.idle = append(b.idle[:n-1], b.idle[n:]...)
			keep := u.keepIdleFor(b)
			u.mu.Unlock()
			if c.rested = time.Since(c.idleSince); c.rested < keep {
				return c, nil
			}
			u.discard(c)
			continue
		}
		if len(b.idle) > 0 && !waited { // a moment's rest costs less than a new connection
			u.mu.Unlock()
			waited = true
			u.awaitRested(ctx, b)
			continue
		}
		var spare *conn
		if u.open >= u.maxOpen {
			if spare = u.takeLongestIdle(); spare == nil {
				u.mu.Unlock()
				return nil, errNoDescriptor
			}
			u.open--
		}
		u.open++
		u.mu.Unlock()
		if spare != nil {
			spare.Close()
		}
		c, err := u.dial(ctx, b)
		// A server that takes no new connection may still answer on one that rests for a moment.
		if err == nil || !u.awaitRested(ctx, b) {
			return c, err
		}
	}
}

// awaitRested waits until an idle connection of the backend has rested, and tells whether there is one.
func (u *upstream) awaitRested(ctx context.Context, b *backend) bool {
	u.mu.Lock()
	if len(b.idle) == 0 {
		u.mu.Unlock()
		return false
	}
	wait := time.NewTimer(minRest - time.Since(b.idle[0].idleSince))
	u.mu.Unlock()
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return b.restedCount(time.Now()) > 0
}

// restedCount counts the idle connections that were not used a moment ago. They are the first ones.
func (b *backend) restedCount(now time.Time) (n int) {
	for n = len(b.idle); n > 0 && now.Sub(b.idle[n-1].idleSince) < minRest; n-- {
	}
	return n
}

// takeLongestIdle takes the connection that has been idle for longest out of its pool,
// or returns nil. Called under the mutex.
func (u *upstream) takeLongestIdle() *conn {
	var of *backend
	for _, b := range u.backends {
		if len(b.idle) > 0 && (of == nil || b.idle[0].idleSince.Before(of.idle[0].idleSince)) {
			of = b
		}
	}
	if of == nil {
		return nil
	}
	c := of.idle[0]
	of.idle = of.idle[1:]
	return c
}

// dial makes a connection, which is already counted.
func (u *upstream) dial(ctx context.Context, b *backend) (*conn, error) {
	nc, err := u.dialer.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		u.uncount()
		return nil, err
	}
	in := &responseReader{conn: nc}
	c := &conn{Conn: nc, reader: in, buffered: bufio.NewReader(in), backend: b, connectedAt: time.Now()}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		u.discard(c)
		return nil, err
	}
	u.mu.Lock()
	up := b.up
	u.mu.Unlock()
	if !up {
		// The list changed while the connection came up: nothing new may go there.
		u.discard(c)
		return nil, errNotUp
	}
	return c, nil
}

// uncount takes a connection that was not made, or is closed, out of the count of the open ones.
func (u *upstream) uncount() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// discard closes a connection that is in no pool.
func (u *upstream) discard(c *conn) {
	c.Close()
	u.uncount()
}

// release returns a connection whose exchange is over to its pool.
func (u *upstream) release(c *conn) {
	u.mu.Lock()
	if c.backend.up {
		c.idleSince = time.Now()
		c.backend.idle = append(c.backend.idle, c)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	u.discard(c)
}

// reapIdle closes what has been idle for too long, once every period until ctx ends.
func (u *upstream) reapIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdle/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var stale []*conn
		u.mu.Lock()
		for _, b := range u.backends {
			fresh := 0
			for fresh < len(b.idle) && time.Since(b.idle[fresh].idleSince) >= u.maxIdle {
				fresh++
			}
			stale = append(stale, b.idle[:fresh]...)
			b.idle = append([]*conn(nil), b.idle[fresh:]...)
		}
		u.open -= len(stale)
		u.mu.Unlock()
		closeAll(stale)
	}
}

// shortenKeepIdle learns from a kept connection that was reset as soon as it was written to: the
// server, or something on the way, gives idle connections up sooner than it tells. A
// request that meets one may have run. From then on the server's connections are kept
// for half as long as this one stood idle, which doubles again in time.
func (u *upstream) shortenKeepIdle(c *conn) {
	u.mu.Lock()
	b := c.backend
	b.keepIdle, b.keepIdleSetAt = max(c.rested/2, minKeepIdle), time.Now()
	u.mu.Unlock()
	u.closeIdle(b)
}

// keepIdleFor is how long an idle connection of the backend may be used again. Called under
// the mutex.
func (u *upstream) keepIdleFor(b *backend) time.Duration {
	if b.keepIdle == 0 {
		return u.maxIdle
	}
	doubled := time.Since(b.keepIdleSetAt) / keepDoublingPeriod
	if doubled > 20 || b.keepIdle<<doubled >= u.maxIdle {
		b.keepIdle = 0
		return u.maxIdle
	}
	return b.keepIdle << doubled
}

// closeIdle closes a backend's idle connections after silence on one. A machine that
// vanished or is cut off leaves all of them open and silent; a request written to one
// more would time out as well and might have run, while a new connection that does
// not come up proves that it has not.
func (u *upstream) closeIdle(b *backend) {
	u.mu.Lock()
	stale := b.idle
	b.idle = nil
	u.open -= len(stale)
	u.mu.Unlock()
	closeAll(stale)
}

// closeAll closes connections that are no longer counted.
func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}
