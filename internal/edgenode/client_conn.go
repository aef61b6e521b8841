package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// lingerPeriod is how long a connection stays open after its sending side was closed, so that the client can
// receive the last response.
const lingerPeriod = 500 * time.Millisecond

// Sizes of the read-ahead buffer, which holds the bytes received while a request is in flight.
const (
	maxReadAhead   = 16 << 10 // bytes buffered before reading fails with errReadAheadFull
	readAheadChunk = 512      // bytes per read from the socket
)

// errReadAheadFull ends a connection whose client sends more than maxReadAhead bytes while its request is in
// flight.
var errReadAheadFull = errors.New("too many bytes received while a request is in flight")

// clientConn is a client's connection. It is in the table until it is closed. It overrides Read and Close of
// the [net.Conn] that it embeds.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	table      *connTable
	state      connState // guarded by table.mu, as are stateSince and err
	stateSince time.Time // time of the latest change of state
	err        error     // error that ended reading, returned by every later read; nil: none

	readAhead []byte // bytes received while a request is in flight; used only by the reading goroutine
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
	return &clientConn{Conn: tcp, raw: raw, table: t}, nil
}

// Read returns bytes received from the client, first those in the read-ahead buffer.
//
// A read of a single byte is special. net/http makes such a read, and no other one, while a request is in
// flight, to detect that the client has closed the connection; it stops detecting that once it has received a
// byte. Such a read therefore moves all received bytes to the read-ahead buffer and returns only when the
// client closes its side, net/http ends the read by a deadline, or the buffer is full.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 1 {
		return 0, c.watchForClose()
	}
	if len(c.readAhead) > 0 {
		n = copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
		c.transition(connReading)
		return n, nil
	}
	return c.receive(p, true)
}

// watchForClose reads into the read-ahead buffer until a read fails: because the client closed its side,
// because net/http set a deadline to stop the read, or because of a socket error. It returns errReadAheadFull
// once the buffer exceeds maxReadAhead.
func (c *clientConn) watchForClose() error {
	var chunk [readAheadChunk]byte
	for len(c.readAhead) <= maxReadAhead {
		n, err := c.receive(chunk[:], false)
		if c.readAhead = append(c.readAhead, chunk[:n]...); err != nil {
			return err
		}
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.err = errReadAheadFull
	return c.err
}

// receive waits for bytes and reads them from the socket. If the connection was closed or evicted, it reads
// nothing and returns an error for which net/http sends no response. nextRequest means that the caller is
// waiting for the next request, so that a connection whose response was written becomes idle.
func (c *clientConn) receive(p []byte, nextRequest bool) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) (done bool) {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		n, err, done = c.receiveOnce(fd, p, nextRequest)
		return done
	})
	if rawErr != nil {
		return 0, rawErr
	}
	return n, err
}

// receiveOnce reads from the socket without waiting. done is false if there is nothing to read yet. The
// caller holds table.mu.
func (c *clientConn) receiveOnce(fd uintptr, p []byte, nextRequest bool) (n int, err error, done bool) {
	switch {
	case c.state >= connLingering:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}, true
	case c.err != nil:
		return 0, c.err, true
	case c.state == connResponding && nextRequest:
		c.setState(connIdle)
	}
	n, err = readOnce(fd, p)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, nil, false
	case err != nil:
		n, c.err = 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	case n == 0:
		c.err = io.EOF
	case c.state == connNew || c.state == connIdle:
		c.setState(connReading)
	}
	return n, c.err, true
}

// readOnce calls read(2) and repeats the call if a signal interrupts it.
func readOnce(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return n, err
		}
	}
}

// hasUnread reports whether the socket holds received bytes that were not read. It does not wait for the
// reading goroutine.
func (c *clientConn) hasUnread() bool {
	unread := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
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
	c.table.mu.Lock()
	switch {
	case c.state == connLingering:
		c.table.mu.Unlock()
		return nil
	case c.mustLinger():
		c.setState(connLingering)
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
	return c.err == nil && c.hasUnread()
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
