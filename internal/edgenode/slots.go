package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// slots bounds the connections of clients, so that descriptors never run out. A new
// connection is accepted first; if it is one too many, the one that can best be spared
// is closed, and never one on which a request is open.
type connTable struct {
	max int

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	newConns int // of them, those on which nothing has come
}

// nearlyFull tells whether answers should close their connections. To close one that has
// been idle for a moment costs its client the next request, and a new connection, for
// which another would be closed; one that is told of the close with its answer loses
// nothing. Silent connections don't count: they give way at no cost.
func (s *connTable) nearlyFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (len(s.conns)-s.newConns)*4 >= s.max*3
}

// connState is what a client's connection is at.
type connState int

const (
	connNew        connState = iota // new: nothing has come on it
	connReading                     // something has come, but no whole request
	connActive                      // a request is open
	connResponding                  // its answer is known, and on its way
	connIdle                        // the answer has gone out, and the next request is waited for
	connLingering                   // the sending side is closed: what was written last is on its way
	connClosed                      // closed
)

// How the states guard a request against the close that crosses it:
//
//   - What has come is taken in, and the state changed, in one step under the mutex ([clientConn.receive]).
//     So a connection that is given up was looked at with nothing read in between, and what comes
//     later stays unread, by which its client can tell that it may ask again.
//   - A connection is idle from when the HTTP library asks for the next request, that is once the
//     answer before it was written to its end; an answer under way closes nothing.
//   - One that ends with something unread behind its answer lingers: a close would reset it, and the
//     reset takes what its client has not received.

// Ages past which a connection is spared more easily.
const (
	newConnGrace = 100 * time.Millisecond // clients that mean to ask do so as soon as they have connected
	idleGrace    = 2 * time.Second        // a client's due
	readingGrace = 500 * time.Millisecond // a head comes in one piece
	writtenGrace = 100 * time.Millisecond // so long an answer may be on its way through the network
)

// lingerPeriod is how long a connection stays open for the client to receive what was written last.
const lingerPeriod = 500 * time.Millisecond

func newConnTable(n int) *connTable {
	return &connTable{max: n, conns: map[*clientConn]struct{}{}}
}

// add takes in a new connection and returns the one to be closed for it, if any,
// which is the new one where no other can be spared.
func (s *connTable) add(c *clientConn) (spare *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for spare == nil && len(s.conns) >= s.max {
		best := 0
		for o := range s.conns {
			if r := o.evictionRank(now); r > best || r == best && r > 0 && o.stateSince.Before(spare.stateSince) {
				best, spare = r, o
			}
		}
		switch {
		case spare == nil:
			c.state = connClosed
			return c
		case (spare.state == connNew || spare.state == connIdle) && spare.hasUnread():
			// A request has come that was not read yet: one client more that means to ask.
			s.changeState(spare, connReading)
			spare.stateSince, spare = now, nil
		default:
			s.changeState(spare, connClosed)
			delete(s.conns, spare)
		}
	}
	s.conns[c] = struct{}{}
	s.newConns++
	return spare
}

// closeIdle closes the connections on which no request is open or coming, and returns how many
// are left. What comes on a closed one is not taken in, so that its client may send it again.
func (s *connTable) closeIdle() (left int) {
	s.mu.Lock()
	var spare []*clientConn
	for c := range s.conns {
		if (c.state == connIdle || c.state == connNew) && !c.hasUnread() {
			s.changeState(c, connClosed)
			delete(s.conns, c)
			spare = append(spare, c)
		}
	}
	left = len(s.conns)
	s.mu.Unlock()
	for _, c := range spare {
		c.Conn.Close()
	}
	return left
}

// changeState changes the state of a connection that counts. Called under the mutex.
func (s *connTable) changeState(c *clientConn, to connState) {
	if c.state == connNew {
		s.newConns--
	}
	c.state = to
}

// evictionRank tells how easily a connection is spared; 0 is never. Those that came by hundreds
// and say nothing go first, then what has been idle for its due or is slow to send, and
// only then the rest. Called under the mutex.
func (c *clientConn) evictionRank(now time.Time) int {
	age := now.Sub(c.stateSince)
	switch {
	case c.state == connLingering:
		return 6
	case c.state == connNew && age >= newConnGrace:
		return 5
	case c.state == connIdle && age >= idleGrace:
		return 4
	case c.state == connReading && age >= readingGrace, c.state == connResponding && age >= idleGrace: // it does not read
		return 3
	case c.state == connNew:
		return 2
	case c.state == connIdle && age >= writtenGrace:
		return 1
	}
	return 0
}

// hasUnread tells whether something has come that was not read. It does not wait for the
// goroutine that reads.
func (c *clientConn) hasUnread() bool {
	waiting := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

// clientListener counts what it accepts.
type clientListener struct {
	*net.TCPListener
	table        *connTable
	closingSince atomic.Pointer[time.Time] // since when it is to close
	closed       chan struct{}             // closed once it has
}

// How a listener closes: once its queue has been empty for lastLook, or after lastMost.
const (
	queueEmptyFor = 20 * time.Millisecond
	maxQueueWait  = 200 * time.Millisecond
)

func newClientListener(ln *net.TCPListener, s *connTable) *clientListener {
	return &clientListener{TCPListener: ln, table: s, closed: make(chan struct{})}
}

// closeWhenQueueEmpty closes the listener with nobody in its queue: the system resets connections that were made and
// not accepted by then, with the requests on them. Those who come between the last look and the close
// have no answer; nothing of theirs was read.
func (l *clientListener) closeWhenQueueEmpty() {
	now := time.Now()
	l.closingSince.Store(&now)
	l.SetDeadline(now) // wakes Accept
	select {
	case <-l.closed:
	case <-time.After(maxQueueWait + time.Second): // the library waits as long after an Accept that failed
		l.Close()
	}
}

// accept takes the next connection, or closes the listener where that is due.
func (l *clientListener) accept() (net.Conn, error) {
	for {
		since, now := l.closingSince.Load(), time.Now()
		if since != nil {
			l.SetDeadline(now.Add(queueEmptyFor))
		}
		if since == nil || now.Sub(*since) <= maxQueueWait {
			nc, err := l.TCPListener.Accept()
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return nc, err
			}
			if since == nil || time.Since(now) >= 2*queueEmptyFor {
				continue // so much later it may have met its deadline before it looked
			}
		}
		l.Close()
		close(l.closed)
		return nil, net.ErrClosed
	}
}

func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(nc, l.table)
		if err != nil {
			nc.Close()
			continue
		}
		spare := l.table.add(c)
		if spare != nil {
			spare.Conn.Close()
		}
		if spare != c {
			return c, nil
		}
	}
}

// clientConn is a connection that counts until it is closed.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	table      *connTable
	state      connState // under slots.mu
	stateSince time.Time // of the state, under slots.mu
	err        error     // how the client's side has ended, set under slots.mu

	readAhead []byte // what has come behind the open request; of the goroutine that reads
}

// maxReadAhead bounds what is read ahead of a connection's requests.
const maxReadAhead = 16 << 10

var errReadAheadFull = errors.New("more behind an open request than is read ahead")

func newClientConn(nc net.Conn, s *connTable) (*clientConn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("accept: %T is no TCP connection", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &clientConn{Conn: tcp, raw: raw, table: s}, nil
}

// Read hands on what has come. The HTTP library reads a single byte while a request is open, to learn that
// the client has left, and looks no more once one has come; nothing else reads so little. There whatever
// comes is put by, so that the look lasts until the client leaves or the library ends it.
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

// watchForClose reads ahead until the client's side ends, or the deadline that the library sets to end the look.
func (c *clientConn) watchForClose() error {
	var piece [512]byte
	for len(c.readAhead) <= maxReadAhead {
		n, err := c.receive(piece[:], false)
		if c.readAhead = append(c.readAhead, piece[:n]...); err != nil {
			return err
		}
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.err = errReadAheadFull
	return c.err
}

// receive reads from the socket, and nothing of a connection that was given up. What it returns of that is
// an error to which the HTTP library gives no answer. next tells that the next request is waited for.
func (c *clientConn) receive(p []byte, next bool) (n int, err error) {
	failed := c.raw.Read(func(fd uintptr) bool {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		switch {
		case c.state >= connLingering:
			err = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
			return true
		case c.err != nil:
			err = c.err
			return true
		case c.state == connResponding && next:
			c.setState(connIdle)
		}
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		switch {
		case err == syscall.EAGAIN:
			n, err = 0, nil
			return false
		case err != nil:
			n, c.err = 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
		case n == 0:
			c.err = io.EOF
		case c.state == connNew || c.state == connIdle:
			c.setState(connReading)
		}
		err = c.err
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// transition changes the state; it is false once the connection has ended. What comes while
// a request is open, or while a head is being read, changes nothing.
func (c *clientConn) transition(state connState) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state >= connLingering {
		return false
	}
	if state != connReading || c.state == connNew || c.state == connIdle || c.state == connResponding {
		c.setState(state)
	}
	return true
}

// setState changes the state of a connection that counts, at this moment. Called under the mutex.
func (c *clientConn) setState(state connState) {
	c.table.changeState(c, state)
	c.stateSince = time.Now()
}

// Close ends the connection, at once or, where that would reset it, once its client has had the time to
// receive what was written.
func (c *clientConn) Close() error {
	c.table.mu.Lock()
	switch {
	case c.state == connLingering:
		c.table.mu.Unlock()
		return nil
	case c.state != connClosed && c.state != connIdle && c.state != connNew && c.err == nil && c.hasUnread():
		c.setState(connLingering)
		c.table.mu.Unlock()
		time.AfterFunc(lingerPeriod, c.closeNow)
		return c.CloseWrite()
	}
	c.table.mu.Unlock()
	c.closeNow()
	return nil
}

// CloseWrite closes the sending side.
func (c *clientConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// closeNow closes the connection and gives its slot back.
func (c *clientConn) closeNow() {
	c.table.mu.Lock()
	if c.state != connClosed {
		c.table.changeState(c, connClosed)
		delete(c.table.conns, c)
	}
	c.table.mu.Unlock()
	c.Conn.Close()
}

type connKey struct{}

// withConn lets a request find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *clientConn {
	return r.Context().Value(connKey{}).(*clientConn)
}
