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

// lingerPeriod is how long a connection stays open for the client to receive what was written last.
const lingerPeriod = 500 * time.Millisecond

// What is read ahead of a connection's requests, in bytes.
const (
	maxReadAhead   = 16 << 10
	readAheadChunk = 512
)

var errReadAheadFull = errors.New("more behind a request in flight than is read ahead")

// clientConn is a client's connection, in the table until it is closed.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	table      *connTable
	state      connState // guarded by table.mu, as are the next two
	stateSince time.Time
	err        error // how the client's side has ended

	readAhead []byte // what has come behind the request in flight; owned by the goroutine that reads
}

func newClientConn(nc net.Conn, t *connTable) (*clientConn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("accept: %T is no TCP connection", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &clientConn{Conn: tcp, raw: raw, table: t}, nil
}

// Read returns what has come. While a request is in flight the HTTP library reads a single byte, to learn that the
// client has left, and stops watching once one has come; nothing else reads so little. There whatever comes is put by,
// so that the watching lasts until the client leaves or the library ends it.
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

// watchForClose reads ahead until the client's side ends, or the deadline that the library sets to end it.
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

// receive reads from the socket, and nothing from a connection that was closed or evicted. The error that it returns
// there is one to which the HTTP library gives no response. nextRequest tells that the next request is waited for.
func (c *clientConn) receive(p []byte, nextRequest bool) (n int, err error) {
	failed := c.raw.Read(func(fd uintptr) (done bool) {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		n, err, done = c.receiveOnce(fd, p, nextRequest)
		return done
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// receiveOnce reads without waiting; done is false if there is nothing to read yet. Called under the mutex.
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

// readOnce reads what a socket has.
func readOnce(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return n, err
		}
	}
}

// hasUnread tells whether something has come that was not read. It does not wait for the goroutine that reads.
func (c *clientConn) hasUnread() bool {
	unread := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// transition changes the state; it is false once the connection has ended. What comes while a request is in flight, or
// while a header is being read, changes nothing.
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

// setState changes the state of a connection in the table, from now on. Called under the mutex.
func (c *clientConn) setState(to connState) {
	c.table.changeState(c, to)
	c.stateSince = time.Now()
}

// Close ends the connection, at once or, where that would reset it, once its client has had the time to receive what
// was written.
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

// mustLinger tells whether something unread may stand behind a response. Called under the mutex.
func (c *clientConn) mustLinger() bool {
	switch c.state {
	case connClosed, connIdle, connNew:
		return false
	}
	return c.err == nil && c.hasUnread()
}

// CloseWrite closes the sending side.
func (c *clientConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// closeNow closes the connection and removes it from the table.
func (c *clientConn) closeNow() {
	c.table.mu.Lock()
	if c.state != connClosed {
		c.table.remove(c)
	}
	c.table.mu.Unlock()
	_ = c.Conn.Close() // also of one that was evicted, and is closed already
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn lets a request find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *clientConn {
	return r.Context().Value(connKey{}).(*clientConn)
}
