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

// How long idle connections rest, and are kept.
const (
	idleFraction       = 0.8                   // of the settings' idle time, after which a connection is not used again
	minKeepIdle        = 50 * time.Millisecond // a connection idle for less is not reset for that
	minRest            = 20 * time.Millisecond // from a response to the next request: a second response may come that late
	keepDoublingPeriod = 10 * time.Second      // after which idle connections are kept for twice as long again
	maxKeepDoublings   = 20
)

// Idle connections are reaped this often.
const (
	reapsPerMaxIdle = 8
	minReapInterval = 10 * time.Millisecond
)

// Why there is no connection to a server.
var (
	errNotUp        = errors.New("server is not up in the list")
	errNoDescriptor = errors.New("no descriptor left for a connection")
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // over reader
	backend     *Backend      // to which it returns, unless the server has moved or restarted
	idleSince   time.Time
	connectedAt time.Time

	idleFor time.Duration // how long it was idle before the current exchange; 0 for a new one
}

// acquire returns a connection to the server: of the idle ones that have rested, or will have in a moment, the one used
// last, or else a new one. Whether it still lives, writeRequest tells. A server that is no longer what it was when it
// was selected gets none.
func (u *Pool) acquire(ctx context.Context, endpointID string, selected *Backend) (*conn, error) {
	for waited := false; ; {
		u.mu.Lock()
		b := u.backends[endpointID]
		if b == nil || !b.up || selected != nil && b != selected {
			u.mu.Unlock()
			return nil, errNotUp
		}
		if c := b.takeRested(time.Now()); c != nil {
			keep := u.keepIdleFor(b)
			u.mu.Unlock()
			if c.idleFor = time.Since(c.idleSince); c.idleFor < keep {
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
		evicted, err := u.reserve()
		u.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if evicted != nil {
			_ = evicted.Close() // it is not used again, whatever the close meets
		}
		c, err := u.dial(ctx, b)
		// A server that takes no new connection may still answer on one that rests for a moment.
		if err == nil || !u.awaitRested(ctx, b) {
			return c, err
		}
	}
}

// awaitRested waits until an idle connection of the backend has rested, and tells whether there is one.
func (u *Pool) awaitRested(ctx context.Context, b *Backend) bool {
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

// restedCount counts the idle connections that were not used a moment ago. They are the first ones. Called under the
// mutex.
func (b *Backend) restedCount(now time.Time) (n int) {
	for n = len(b.idle); n > 0 && now.Sub(b.idle[n-1].idleSince) < minRest; n-- {
	}
	return n
}

// takeRested takes the rested idle connection that was used last, nil if there is none. Called under the mutex.
func (b *Backend) takeRested(now time.Time) *conn {
	n := b.restedCount(now)
	if n == 0 {
		return nil
	}
	c := b.idle[n-1]
	b.idle = slices.Delete(b.idle, n-1, n)
	return c
}

// reserve counts a connection that is to be made. Where no more may be open it returns the idle one that is to be
// closed for it. Called under the mutex.
func (u *Pool) reserve() (evicted *conn, err error) {
	if u.open >= u.maxOpen {
		if evicted = u.takeLongestIdle(); evicted == nil {
			return nil, errNoDescriptor
		}
		u.open--
	}
	u.open++
	return evicted, nil
}

// takeLongestIdle takes the connection that has been idle for longest out of its pool, nil if there is none. Called
// under the mutex.
func (u *Pool) takeLongestIdle() *conn {
	var owner *Backend
	for _, b := range u.backends {
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

// dial makes a connection, which is already counted.
func (u *Pool) dial(ctx context.Context, b *Backend) (*conn, error) {
	nc, err := u.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		u.uncount()
		return nil, err
	}
	reader := &responseReader{conn: nc}
	c := &conn{Conn: nc, reader: reader, buffered: bufio.NewReader(reader), backend: b, connectedAt: time.Now()}
	if c.raw, err = nc.(syscall.Conn).SyscallConn(); err != nil {
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
func (u *Pool) uncount() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// discard closes a connection that is in no pool.
func (u *Pool) discard(c *conn) {
	_ = c.Close() // it is not used again, whatever the close meets
	u.uncount()
}

// release returns a connection whose exchange is over to its pool.
func (u *Pool) release(c *conn) {
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

// ReapIdle closes what has been idle for too long, at intervals until ctx ends.
func (u *Pool) ReapIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdle/reapsPerMaxIdle, minReapInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			closeAll(u.takeExpired())
		}
	}
}

// takeExpired takes the connections out of their pools that have been idle for too long.
func (u *Pool) takeExpired() (expired []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.backends {
		n := 0
		for n < len(b.idle) && time.Since(b.idle[n].idleSince) >= u.maxIdle {
			n++
		}
		expired = append(expired, b.idle[:n]...)
		b.idle = append([]*conn(nil), b.idle[n:]...)
	}
	u.open -= len(expired)
	return expired
}

// shortenKeepIdle learns from a kept connection that was reset as soon as it was written to: the server, or something
// on the way, gives idle connections up sooner than the settings say. A request that meets one may have run. From then
// on the server's connections are kept for half as long as this one was idle, which doubles again in time.
func (u *Pool) shortenKeepIdle(c *conn) {
	u.mu.Lock()
	b := c.backend
	b.keepIdle, b.keepIdleSetAt = max(c.idleFor/2, minKeepIdle), time.Now()
	u.mu.Unlock()
	u.closeIdle(b)
}

// keepIdleFor is how long an idle connection of the backend may be used again. Called under the mutex.
func (u *Pool) keepIdleFor(b *Backend) time.Duration {
	if b.keepIdle == 0 {
		return u.maxIdle
	}
	doublings := time.Since(b.keepIdleSetAt) / keepDoublingPeriod
	if doublings > maxKeepDoublings || b.keepIdle<<doublings >= u.maxIdle {
		b.keepIdle = 0
		return u.maxIdle
	}
	return b.keepIdle << doublings
}

// closeIdle closes a backend's idle connections after silence on one. A machine that vanished or is cut off leaves all
// of them open and silent; a request written to one more would time out as well and might have run, while a new
// connection that does not come up proves that it has not.
func (u *Pool) closeIdle(b *Backend) {
	u.mu.Lock()
	idle := b.idle
	b.idle = nil
	u.open -= len(idle)
	u.mu.Unlock()
	closeAll(idle)
}

// closeAll closes connections that are in no pool. The error of a close says nothing more of a connection that is not
// used again.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
