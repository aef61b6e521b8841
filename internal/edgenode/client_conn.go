package edgenode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"opalhook/internal/edgenode/httphead"
)

// lingerPeriod is how long a connection stays open after its sending side was closed, so that the client can
// receive the last response.
const lingerPeriod = 500 * time.Millisecond

// clientConn is a client's connection. It is in the table until it is closed. It overrides Read, Write and
// Close of the [net.Conn] that it embeds.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	table      *connTable
	state      connState      // guarded by table.mu, as are the next six fields
	stateSince time.Time      // time of the latest change of state
	receivedAt time.Time      // time at which the client last sent bytes or a head was read; zero: never
	held       [heldParts]int // memory held for the client, in bytes
	err        error          // error that ended reading, returned by every later read; nil: none
	rejected   bool           // the response was written before the request was read, whose rest may still arrive
	complete   bool           // the head, and the body once it is awaited, has arrived: the client is not awaited

	caughtUp chan struct{}                // receives a value when everything that has arrived is read, or reading has ended
	head     atomic.Pointer[admittedHead] // costly head that net/http has; nil: none

	// Used only by the goroutine that reads. net/http has one at a time.
	buffer        httphead.Buffer // received bytes that were not passed on to net/http yet
	bufferHeld    int             // copy of held[heldBuffer]
	inRequest     bool            // a head was read, and the next request is not awaited yet
	handled       bool            // the request was passed to the frontend: net/http does not answer it by itself
	bodyRemaining int64           // number of bytes of the request's body that were not passed on yet

	// Used only by the goroutine that serves the connection, which is also the one that reads a head.
	readDeadline time.Time // deadline that net/http has set; zero: none
	headDeadline time.Time // time by which the awaited head must be complete; zero: none of it has arrived
	behindHead   int       // number of bytes that had been received behind the head when that was read
	sentAhead    bool      // part of the next request had been received when the head was read
	arrivedAt    time.Time // time at which the whole head of the request had arrived; zero: it has not
}

// newClientConn returns the client connection on nc, which must be a *net.TCPConn. The caller adds it to the
// table.
func newClientConn(nc net.Conn, t *connTable) (*clientConn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("accept: must be a *net.TCPConn, got %T", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	c := &clientConn{Conn: tcp, raw: raw, table: t, caughtUp: make(chan struct{}, 1)}
	c.buffer.StartHead(maxHead)
	return c, nil
}

// hasUnread reports whether the socket holds received bytes that were not read. It does not wait for the
// reading goroutine.
func (c *clientConn) hasUnread() bool {
	n, err := c.peek()
	return n > 0 && err == nil
}

// clientHasLeft reports whether the client has closed the connection, or its sending side, or reset it. It waits until
// the bytes that have arrived behind a request are read, since the end of the connection is seen only behind them.
// net/http must watch the connection for its close meanwhile, and ctx must end when that fails.
func (c *clientConn) clientHasLeft(ctx context.Context) bool {
	for {
		closed, unread := c.checkClose()
		if !unread {
			return closed
		}
		select {
		case <-c.caughtUp:
		case <-ctx.Done():
			return true
		}
	}
}

// closedByClient is the same as clientHasLeft, but does not wait: it reports false while there are unread bytes.
func (c *clientConn) closedByClient() bool {
	closed, _ := c.checkClose()
	return closed
}

// checkClose reports whether reading has ended or the socket shows that the client has closed it, and otherwise whether
// there are unread bytes, behind which a close would not be seen.
func (c *clientConn) checkClose() (closed, unread bool) {
	if c.readError() != nil {
		return true, false
	}
	n, err := c.peek()
	return n == 0 && !errors.Is(err, syscall.EAGAIN), n > 0
}

// peek returns the number of received bytes that were not read, at most 1, without reading them. It returns EAGAIN if
// there are none, and no error if the client has closed its sending side.
func (c *clientConn) peek() (n int, err error) {
	var b [1]byte
	controlErr := c.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0), cmp.Or(controlErr, err)
}

// readError returns the error that ended reading, nil if it has not ended.
func (c *clientConn) readError() error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.err
}

// transition changes the state and returns true, or returns false if the connection is lingering or closed. A
// change to connReading has no effect while a request is being read or is in flight.
func (c *clientConn) transition(to connState) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state >= connLingering {
		return false
	}
	if to != connReading || c.state == connNew || c.state == connIdle || c.state == connResponding {
		c.setState(to)
	}
	return true
}

// setState changes the state and records the time of the change. The caller holds table.mu.
func (c *clientConn) setState(to connState) {
	c.table.changeState(c, to)
	c.stateSince = time.Now()
}

// Close closes the connection. If unread bytes would turn the close into a reset, it closes only the sending
// side first and the connection after lingerPeriod, so that the client can receive the last response.
func (c *clientConn) Close() error {
	c.headDropped()
	c.table.mu.Lock()
	switch {
	case c.state == connLingering:
		c.table.mu.Unlock()
		return nil
	case c.mustLinger():
		c.setState(connLingering)
		c.table.releaseAll(c)
		c.table.mu.Unlock()
		time.AfterFunc(lingerPeriod, c.closeNow)
		return c.CloseWrite()
	}
	c.table.mu.Unlock()
	c.closeNow()
	return nil
}

// mustLinger reports whether a close would reset the connection while the client may not have received all of
// its response. The caller holds table.mu.
func (c *clientConn) mustLinger() bool {
	switch c.state {
	case connClosed, connIdle, connNew:
		return false
	}
	return c.rejected || c.err == nil && c.hasUnread()
}

// CloseWrite closes the sending side of the connection.
func (c *clientConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// closeNow closes the connection and removes it from the table.
func (c *clientConn) closeNow() {
	c.table.mu.Lock()
	if c.state != connClosed {
		c.table.remove(c)
	}
	c.table.mu.Unlock()
	_ = c.Conn.Close() // fails if the connection was evicted and is already closed
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context of a connection's requests, from which connOf returns the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection on which a request was received.
func connOf(r *http.Request) *clientConn {
	return r.Context().Value(connKey{}).(*clientConn)
}
