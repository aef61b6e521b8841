// Package upstream is an edge node's side towards the app servers: a [Pool] of connections, and on them exchanges of one
// request and its response each. It says of each attempt what came of it, and above all whether it may have run.
package upstream

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
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/settings"
)

// staleResetWindow is the time from the write of a request to the reset of a connection that the server had given up
// before.
const staleResetWindow = 20 * time.Millisecond

// Pool holds the connections to app servers. The client of net/http is not used: it silently sends a request again when
// a kept connection turns out dead, which would be a second copy. Here one call of Exchange writes a request once at
// most. Its methods may be called from many goroutines.
type Pool struct {
	// DialContext makes the connections, which have to be [syscall.Conn]; it is not to be changed once they are made.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	maxIdle time.Duration
	maxOpen int // connections, idle or not, as descriptors are limited

	mu       sync.Mutex
	backends map[string]*Backend // by endpoint id
	open     int
}

// Backend is an app server, as the list describes it, and its idle connections, the latest used last. What makes it
// another server to a request that was decided on makes it another Backend. Its fields are guarded by the pool's mutex.
type Backend struct {
	addr      netip.AddrPort
	startedAt time.Duration
	zone      string
	cell      int
	up        bool
	idle      []*conn

	keepIdle      time.Duration // for which idle connections were found good, at keepIdleSetAt; 0: maxIdle
	keepIdleSetAt time.Time
}

// New returns a pool without servers that opens at most maxOpen connections. Connections to an app server are kept for a
// part of the idle time of the settings.
func New(t settings.Transport, maxOpen int) *Pool {
	return &Pool{
		DialContext: (&net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1}).DialContext,
		maxIdle:     time.Duration(idleFraction * float64(t.ConnIdle)),
		maxOpen:     maxOpen,
		backends:    map[string]*Backend{},
	}
}

// Update applies entries of the list, all there are if it is complete. A server that drains, moved, restarted or left the
// list gets nothing new from then on. The returned function closes its idle connections.
func (u *Pool) Update(entries []endpointlist.Endpoint, complete bool) (closeUnused func()) {
	unused := u.update(entries, complete)
	return func() { closeAll(unused) }
}

// update applies entries of the list, all there are if it is complete, and returns the idle connections that are of no
// more use, for the caller to close. A server that drains, moved, restarted or left the list keeps none.
func (u *Pool) update(entries []endpointlist.Endpoint, complete bool) (unused []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		if e.State != balancer.Removed {
			listed[e.ID] = true
		}
		unused = append(unused, u.updateBackend(e)...)
	}
	if complete {
		for id := range u.backends {
			if !listed[id] {
				unused = append(unused, u.remove(id)...)
			}
		}
	}
	u.open -= len(unused)
	return unused
}

// updateBackend applies one entry and returns the idle connections that are of no more use. Called under the mutex.
func (u *Pool) updateBackend(e endpointlist.Endpoint) (unused []*conn) {
	if e.State == balancer.Removed {
		return u.remove(e.ID)
	}
	b := u.backends[e.ID]
	if b != nil && !b.describes(e) {
		unused = u.remove(e.ID)
		b = nil
	}
	if b == nil {
		b = &Backend{addr: e.Addr, startedAt: e.StartedAt, zone: e.Zone, cell: e.Cell}
		u.backends[e.ID] = b
	}
	if b.up = e.State == balancer.Up; !b.up {
		unused, b.idle = append(unused, b.idle...), nil
	}
	return unused
}

// describes tells whether an entry means the same server.
func (b *Backend) describes(e endpointlist.Endpoint) bool {
	return b.addr == e.Addr && b.startedAt == e.StartedAt && b.zone == e.Zone && b.cell == e.Cell
}

// remove removes a backend, if it is there, and returns its idle connections. Called under the mutex.
func (u *Pool) remove(id string) []*conn {
	b := u.backends[id]
	if b == nil {
		return nil
	}
	idle := b.idle
	b.up, b.idle = false, nil
	delete(u.backends, id)
	return idle
}

// Lookup returns the server as it is now, nil if it is not listed.
func (u *Pool) Lookup(endpointID string) *Backend {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.backends[endpointID]
}

// Exchange writes the message to the server, once at most, and reads the whole response. It gives up when ctx ends, by
// closing the connection before it returns.
func (u *Pool) Exchange(ctx context.Context, endpointID string, m *Message, limits WriteLimits) (Response, balancer.Result) {
	if deadline, ok := ctx.Deadline(); ok {
		limits.startBefore = deadline
	}
	sent, err := u.send(ctx, endpointID, m, limits)
	if err != nil {
		return Response{}, unsentResult(ctx, err)
	}
	return u.receive(ctx, sent)
}

// sentRequest is a request whose last byte was written.
type sentRequest struct {
	conn        *conn
	request     *http.Request
	writtenAt   time.Time
	keepRunning func() bool // the end of the exchange's context has no effect any more; false: it has had
}

// send writes a request on a connection, or on another one where an idle connection was closed before the first byte.
func (u *Pool) send(ctx context.Context, endpointID string, m *Message, limits WriteLimits) (sentRequest, error) {
	for {
		c, err := u.acquire(ctx, endpointID, limits.Backend)
		if err != nil {
			return sentRequest{}, err
		}
		c.reader.reset(ctx)
		stop := context.AfterFunc(ctx, c.interrupt)
		request := m.httpRequest(ctx)
		var text bytes.Buffer
		if err = request.Write(&text); err == nil {
			err = u.writeRequest(ctx, c, m, limits, text.Bytes())
		}
		if err == nil {
			return sentRequest{conn: c, request: request, writtenAt: time.Now(), keepRunning: stop}, nil
		}
		// A server begins a request when its last byte has come, and that was not written.
		stop()
		u.discard(c)
		if !errors.Is(err, errConnStale) || c.idleFor == 0 {
			return sentRequest{}, err
		}
	}
}

// receive reads the response to a request and gives its connection back or closes it.
func (u *Pool) receive(ctx context.Context, sent sentRequest) (Response, balancer.Result) {
	c := sent.conn
	response, result, reuse := c.readResponse(sent.request)
	if result == balancer.Reset && !c.reader.started && c.idleFor >= minKeepIdle && time.Since(sent.writtenAt) < staleResetWindow {
		u.shortenKeepIdle(c)
	}
	if sent.keepRunning() && reuse {
		u.release(c)
	} else {
		u.discard(c)
	}
	if result == balancer.Reset && ctx.Err() != nil {
		result = gaveUp(ctx, c)
	}
	switch result {
	case balancer.TimedOut:
		u.closeIdle(c.backend)
	case balancer.OK, balancer.Overloaded, balancer.ErrorResponse:
		response.ConnectedAt = c.connectedAt
	}
	return response, result
}

// gaveUp is the result of an exchange that its context ended.
func gaveUp(ctx context.Context, c *conn) balancer.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case c.reader.started: // half a response is no silence
		return balancer.ErrorResponse
	}
	return balancer.TimedOut
}

// unsentResult is the result of an attempt whose last byte was not written. Where that was no fault of the server's,
// or the attempt's own time ended first, it says nothing of the server.
func unsentResult(ctx context.Context, err error) balancer.Result {
	switch {
	case errors.Is(err, errNoDescriptor), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return balancer.NotSent
	case errors.Is(err, errAnswered), errors.Is(err, errTooLate):
		return balancer.NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case ctx.Err() != nil:
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// Close closes all idle connections.
func (u *Pool) Close() { closeAll(u.update(nil, true)) }
