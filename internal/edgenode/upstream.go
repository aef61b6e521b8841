package edgenode

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"opalhook/balancer"
	"opalhook/internal/settings"
)

// staleResetWindow is the time from the write to the reset of a connection that was given up.
const staleResetWindow = 20 * time.Millisecond

// upstream holds the connections to app servers. net/http's own client is not used:
// it silently sends a request again when a kept connection turns out dead, which
// would be a second copy. Here one call of exchange writes a request once at most.
type upstream struct {
	dialer  net.Dialer
	maxIdle time.Duration
	maxOpen int // connections open at once, descriptors being limited

	mu       sync.Mutex
	backends map[string]*backend
	open     int
}

// backend is an app server, as the list describes it, and its idle connections, the latest used
// last. What makes it another one to a request that was decided on makes it another backend.
type backend struct {
	addr      netip.AddrPort
	startedAt time.Duration
	zone      string
	cell      int
	up        bool
	idle      []*conn

	keepIdle      time.Duration // for which its idle connections have proved good, from keepAt; 0: for maxIdle
	keepIdleSetAt time.Time
}

// newUpstream returns an upstream without servers that opens so many connections at most.
func newUpstream(t settings.Transport, most int) *upstream {
	return &upstream{
		dialer:   net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1},
		maxIdle:  time.Duration(idleFraction * float64(t.ConnIdle)),
		maxOpen:  most,
		backends: map[string]*backend{},
	}
}

// update takes in entries of the list and returns the idle connections that are of
// no more use, for the caller to close. A server that drains, moved, restarted or
// vanished from the list keeps none.
func (u *upstream) update(entries []Instance, full bool) (stale []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		if e.State == balancer.Removed {
			if b := u.backends[e.ID]; b != nil {
				stale = append(stale, u.remove(e.ID, b)...)
			}
			continue
		}
		listed[e.ID] = true
		b := u.backends[e.ID]
		if b != nil && (b.addr != e.Addr || b.startedAt != e.StartedAt || b.zone != e.Zone || b.cell != e.Cell) {
			stale = append(stale, u.remove(e.ID, b)...)
			b = nil
		}
		if b == nil {
			b = &backend{addr: e.Addr, startedAt: e.StartedAt, zone: e.Zone, cell: e.Cell}
			u.backends[e.ID] = b
		}
		if b.up = e.State == balancer.Up; !b.up {
			stale, b.idle = append(stale, b.idle...), nil
		}
	}
	if full {
		for id, b := range u.backends {
			if !listed[id] {
				stale = append(stale, u.remove(id, b)...)
			}
		}
	}
	u.open -= len(stale)
	return stale
}

// remove removes a backend and returns its idle connections.
func (u *upstream) remove(id string, b *backend) []*conn {
	idle := b.idle
	b.up, b.idle = false, nil
	delete(u.backends, id)
	return idle
}

// lookup is the server as it is now.
func (u *upstream) lookup(server string) *backend {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.backends[server]
}

// exchange writes the message to the server, once at most, and reads the whole
// answer. It gives up when ctx ends, by closing the connection before it returns.
func (u *upstream) exchange(ctx context.Context, server string, m *message, to writeLimits) (serverResponse, balancer.Result) {
	if until, ok := ctx.Deadline(); ok {
		to.startBefore = until
	}
	var c *conn
	var req *http.Request
	var stop func() bool
	for {
		var err error
		c, err = u.acquire(ctx, server, to.backend)
		if errors.Is(err, errNoDescriptor) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return serverResponse{}, balancer.NotSent // no fault of the server's
		}
		if err != nil {
			return serverResponse{}, unsentResult(ctx)
		}
		c.reader.reset(ctx)
		stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		req = m.httpRequest(ctx)
		var out bytes.Buffer
		if err = req.Write(&out); err == nil {
			err = u.writeRequest(ctx, c, m, to, out.Bytes())
		}
		if err == nil {
			break
		}
		// A server begins a request when its last byte has come, and that was not written.
		stop()
		u.discard(c)
		switch {
		case errors.Is(err, errConnStale) && c.rested > 0: // since it was taken: another one may do
		case errors.Is(err, errAnswered), errors.Is(err, errTooLate):
			return serverResponse{}, balancer.NotSent
		default:
			return serverResponse{}, unsentResult(ctx)
		}
	}
	written := time.Now()
	rep, result, reuse := c.readResponse(req)
	if result == balancer.Reset && !c.reader.started && c.rested >= minKeepIdle && time.Since(written) < staleResetWindow {
		u.shortenKeepIdle(c)
	}
	// stop is false once the deadline has been tampered with.
	if stop() && reuse {
		u.release(c)
	} else {
		u.discard(c)
	}
	if result == balancer.Reset && ctx.Err() != nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			result = balancer.Cancelled
		case c.reader.started: // half an answer is no silence
			result = balancer.ErrorResponse
		default:
			result = balancer.TimedOut
		}
	}
	switch result {
	case balancer.TimedOut:
		u.closeIdle(c.backend)
	case balancer.OK, balancer.Overloaded, balancer.ErrorResponse:
		rep.connectedAt = c.connectedAt
	}
	return rep, result
}

// unsentResult is the result of an attempt whose last byte was not written. Where its
// own time ended first, that says nothing of the server.
func unsentResult(ctx context.Context) balancer.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case ctx.Err() != nil:
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// close closes all idle connections.
func (u *upstream) close() {
	stale := u.update(nil, true)
	closeAll(stale)
}
