// Package upstream is an edge node's client of the app servers. A [Pool] holds connections and exchanges one
// request and its response at a time on each. It reports the result of each attempt, in particular whether
// the request may have run.
package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/memorybudget"
	"opalhook/internal/settings"
)

// staleResetWindow is the longest time from the write of a request to a reset that is attributed to the idle
// time of the connection: the server had dropped the connection before the request.
const staleResetWindow = 20 * time.Millisecond

// Pool holds the connections to app servers. It does not use the client of net/http, which silently sends a
// request again if a reused connection is broken. The request could then run twice. One call of
// [Pool.Exchange] writes a request at most once. The methods are safe for concurrent use.
type Pool struct {
	// DialContext opens the connections, which must implement [syscall.Conn]. It must not be changed after
	// the first use of the pool.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	maxIdle time.Duration        // idle time after which a connection is not used any more
	maxOpen int                  // limit on open connections, idle or not, because file descriptors are limited
	memory  *memorybudget.Budget // for responses

	mu       sync.Mutex
	backends map[string]*Backend // by endpoint id
	open     int                 // number of open connections, idle or not, and of those being opened
}

// Backend is an app server as the endpoint list describes it, with its idle connections. If the server's
// address, start time, zone or cell changes, it becomes another Backend, because the balancer's earlier
// selection of the server no longer applies. The fields are guarded by the pool's mutex.
type Backend struct {
	addr      netip.AddrPort
	startedAt time.Duration
	zone      string
	cell      int
	up        bool
	idle      []*conn // ordered by idleSince; the last one was used most recently

	// idleLimit is a reduced limit on the idle time of connections, as set at idleLimitSetAt. The limit in
	// effect doubles each idleLimitDoublingPeriod after that; see idleLimitFor. 0 means that maxIdle applies.
	idleLimit      time.Duration
	idleLimitSetAt time.Time
}

// New returns a pool without servers. It opens at most maxOpen connections. Idle connections are kept for a
// fraction of t.ConnIdle.
func New(t settings.Transport, maxOpen int) *Pool {
	return &Pool{
		DialContext: (&net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1}).DialContext,
		maxIdle:     time.Duration(idleFraction * float64(t.ConnIdle)),
		maxOpen:     maxOpen,
		memory:      memorybudget.New(math.MaxInt),
		backends:    map[string]*Backend{},
	}
}

// LimitResponseMemory limits the memory of the responses that are being received or were not released, in
// bytes. Further responses are received once memory is free. It must not be called after the first use of the
// pool.
func (p *Pool) LimitResponseMemory(bytes int) { p.memory = memorybudget.New(bytes) }

// Update applies entries of the endpoint list. If complete is set, servers that are not among the entries
// are removed. After Update has returned, no new request is written to a server that drains or was removed,
// nor to the previous process or address of one that has restarted or moved. The returned function closes
// the idle connections to these; the caller must call it.
func (p *Pool) Update(entries []endpointlist.Endpoint, complete bool) (closeUnused func()) {
	unused := p.update(entries, complete)
	return func() { closeAll(unused) }
}

// update does the work of [Pool.Update]. It returns the idle connections that are no longer used, which the
// caller must close.
func (p *Pool) update(entries []endpointlist.Endpoint, complete bool) (unused []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{} // by endpoint id
	for _, e := range entries {
		if e.State != balancer.Removed {
			listed[e.ID] = true
		}
		unused = append(unused, p.updateBackend(e)...)
	}
	if complete {
		for id := range p.backends {
			if !listed[id] {
				unused = append(unused, p.remove(id)...)
			}
		}
	}
	p.open -= len(unused)
	return unused
}

// updateBackend applies one entry and returns the idle connections that are no longer used. The caller must
// hold the mutex.
func (p *Pool) updateBackend(e endpointlist.Endpoint) (unused []*conn) {
	if e.State == balancer.Removed {
		return p.remove(e.ID)
	}
	b := p.backends[e.ID]
	if b != nil && !b.matches(e) {
		unused = p.remove(e.ID)
		b = nil
	}
	if b == nil {
		b = &Backend{addr: e.Addr, startedAt: e.StartedAt, zone: e.Zone, cell: e.Cell}
		p.backends[e.ID] = b
	}
	if b.up = e.State == balancer.Up; !b.up {
		unused, b.idle = append(unused, b.idle...), nil
	}
	return unused
}

// matches reports whether an entry describes the same server process in the same place.
func (b *Backend) matches(e endpointlist.Endpoint) bool {
	return b.addr == e.Addr && b.startedAt == e.StartedAt && b.zone == e.Zone && b.cell == e.Cell
}

// remove removes a backend, if it exists, and returns its idle connections. The caller must hold the mutex.
func (p *Pool) remove(id string) []*conn {
	b := p.backends[id]
	if b == nil {
		return nil
	}
	idle := b.idle
	b.up, b.idle = false, nil
	delete(p.backends, id)
	return idle
}

// Lookup returns the current Backend of an endpoint, nil if it is not in the list.
func (p *Pool) Lookup(endpointID string) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[endpointID]
}

// Exchange writes a message to an app server, at most once, and reads the complete response. If ctx ends
// first, it closes the connection before it returns. The caller must release the response. A response that could not be read is empty, except that
// ConnectedAt is set if the result is ErrorResponse.
func (p *Pool) Exchange(
	ctx context.Context, endpointID string, m *Message, limits WriteLimits,
) (Response, balancer.Result) {
	if deadline, ok := ctx.Deadline(); ok {
		limits.startBefore = deadline
	}
	sent, err := p.send(ctx, endpointID, m, limits)
	if err != nil {
		return Response{}, unsentResult(ctx, err)
	}
	return p.receive(ctx, sent)
}

// sentRequest is a request that was completely written.
type sentRequest struct {
	conn          *conn
	request       *http.Request
	writtenAt     time.Time
	stopInterrupt func() bool // detaches the connection from the context; false: the context has ended
}

// send writes a request on an idle or new connection. If an idle connection turns out to be closed or to have
// received unsolicited data before the first byte, it uses another one.
func (p *Pool) send(
	ctx context.Context, endpointID string, m *Message, limits WriteLimits,
) (sentRequest, error) {
	for {
		c, err := p.acquire(ctx, endpointID, limits.Backend)
		if err != nil {
			return sentRequest{}, err
		}
		c.reader.reset(ctx)
		stop := context.AfterFunc(ctx, c.interrupt)
		request, text, err := p.encode(ctx, m)
		if err == nil {
			err = p.writeRequest(ctx, c, m, limits, text)
		}
		if err == nil {
			return sentRequest{conn: c, request: request, writtenAt: time.Now(), stopInterrupt: stop}, nil
		}
		// The request has not run: a server begins it after its last byte, which was not written.
		stop()
		p.discard(c)
		if !errors.Is(err, errConnStale) || c.idleFor == 0 {
			return sentRequest{}, err
		}
	}
}

// receive reads the response to a request. It releases the connection or closes it.
func (p *Pool) receive(ctx context.Context, sent sentRequest) (Response, balancer.Result) {
	c := sent.conn
	response, result, reuse := c.readResponse(sent.request)
	if result == balancer.Reset && !c.reader.started && c.idleFor >= minIdleLimit &&
		time.Since(sent.writtenAt) < staleResetWindow {
		p.shortenIdleLimit(c)
	}
	if sent.stopInterrupt() && reuse {
		p.release(c)
	} else {
		p.discard(c)
	}
	if result == balancer.Reset && ctx.Err() != nil {
		result = contextEndResult(ctx, c)
	}
	switch result {
	case balancer.TimedOut:
		p.closeIdle(c.backend)
	case balancer.OK, balancer.Overloaded, balancer.ErrorResponse:
		response.ConnectedAt = c.connectedAt
	}
	return response, result
}

// contextEndResult returns the result of an exchange that the end of its context interrupted.
func contextEndResult(ctx context.Context, c *conn) balancer.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case c.reader.started: // part of a response was received, so the server is not silent
		return balancer.ErrorResponse
	}
	return balancer.TimedOut
}

// unsentResult returns the result of an attempt whose last byte was not written. It is ConnectFailed only if
// the server may be the cause. For local causes, and if the attempt's own time ended first, it is NotSent or
// Cancelled.
func unsentResult(ctx context.Context, err error) balancer.Result {
	switch {
	case errors.Is(err, errConnLimit), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return balancer.NotSent
	case errors.Is(err, errAnswered), errors.Is(err, errAbandoned), errors.Is(err, errTooLate):
		return balancer.NotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case ctx.Err() != nil:
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// Close removes all servers and closes their idle connections.
func (p *Pool) Close() { closeAll(p.update(nil, true)) }
