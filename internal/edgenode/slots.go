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
type slots struct {
	most int

	mu     sync.Mutex
	conns  map[*slotConn]struct{}
	silent int // of them, those on which nothing has come
}

// crowded tells whether answers should close their connections. To close one that has
// been idle for a moment costs its client the next request, and a new connection, for
// which another would be closed; one that is told of the close with its answer loses
// nothing. Silent connections don't count: they give way at no cost.
func (s *slots) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (len(s.conns)-s.silent)*4 >= s.most*3
}

// slotState is what a client's connection is at.
type slotState int

const (
	silent    slotState = iota // new: nothing has come on it
	reading                    // something has come, but no whole request
	open                       // a request is open
	answering                  // its answer is known, and on its way
	idle                       // the answer has gone out, and the next request is waited for
	lingering                  // the sending side is closed: what was written last is on its way
	ended                      // closed
)

// How the states guard a request against the close that crosses it:
//
//   - What has come is taken in, and the state changed, in one step under the mutex ([slotConn.receive]).
//     So a connection that is given up was looked at with nothing read in between, and what comes
//     later stays unread, by which its client can tell that it may ask again.
//   - A connection is idle from when the HTTP library asks for the next request, that is once the
//     answer before it was written to its end; an answer under way closes nothing.
//   - One that ends with something unread behind its answer lingers: a close would reset it, and the
//     reset takes what its client has not received.

// Ages past which a connection is spared more easily.
const (
	silentFor  = 100 * time.Millisecond // clients that mean to ask do so as soon as they have connected
	idleFor    = 2 * time.Second        // a client's due
	readingFor = 500 * time.Millisecond // a head comes in one piece
	writtenFor = 100 * time.Millisecond // so long an answer may be on its way through the network
)

// lingerFor is how long a connection stays open for the client to receive what was written last.
const lingerFor = 500 * time.Millisecond

func newSlots(n int) *slots {
	return &slots{most: n, conns: map[*slotConn]struct{}{}}
}

// add takes in a new connection and returns the one to be closed for it, if any,
// which is the new one where no other can be spared.
func (s *slots) add(c *slotConn) (spare *slotConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c.since = now
	for spare == nil && len(s.conns) >= s.most {
		best := 0
		for o := range s.conns {
			if r := o.rank(now); r > best || r == best && r > 0 && o.since.Before(spare.since) {
				best, spare = r, o
			}
		}
		switch {
		case spare == nil:
			c.state = ended
			return c
		case (spare.state == silent || spare.state == idle) && spare.waiting():
			// A request has come that was not read yet: one client more that means to ask.
			s.leave(spare, reading)
			spare.since, spare = now, nil
		default:
			s.leave(spare, ended)
			delete(s.conns, spare)
		}
	}
	s.conns[c] = struct{}{}
	s.silent++
	return spare
}

// closeIdle closes the connections on which no request is open or coming, and returns how many
// are left. What comes on a closed one is not taken in, so that its client may send it again.
func (s *slots) closeIdle() (left int) {
	s.mu.Lock()
	var spare []*slotConn
	for c := range s.conns {
		if (c.state == idle || c.state == silent) && !c.waiting() {
			s.leave(c, ended)
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

// leave changes the state of a connection that counts. Called under the mutex.
func (s *slots) leave(c *slotConn, to slotState) {
	if c.state == silent {
		s.silent--
	}
	c.state = to
}

// rank tells how easily a connection is spared; 0 is never. Those that came by hundreds
// and say nothing go first, then what has been idle for its due or is slow to send, and
// only then the rest. Called under the mutex.
func (c *slotConn) rank(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case c.state == lingering:
		return 6
	case c.state == silent && age >= silentFor:
		return 5
	case c.state == idle && age >= idleFor:
		return 4
	case c.state == reading && age >= readingFor, c.state == answering && age >= idleFor: // it does not read
		return 3
	case c.state == silent:
		return 2
	case c.state == idle && age >= writtenFor:
		return 1
	}
	return 0
}

// waiting tells whether something has come that was not read. It does not wait for the
// goroutine that reads.
func (c *slotConn) waiting() bool {
	waiting := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

// slotListener counts what it accepts.
type slotListener struct {
	*net.TCPListener
	slots  *slots
	last   atomic.Pointer[time.Time] // since when it is to close
	closed chan struct{}             // closed once it has
}

// How a listener closes: once its queue has been empty for lastLook, or after lastMost.
const (
	lastLook = 20 * time.Millisecond
	lastMost = 200 * time.Millisecond
)

func newSlotListener(ln *net.TCPListener, s *slots) *slotListener {
	return &slotListener{TCPListener: ln, slots: s, closed: make(chan struct{})}
}

// closeEmpty closes the listener with nobody in its queue: the system resets connections that were made and
// not accepted by then, with the requests on them. Those who come between the last look and the close
// have no answer; nothing of theirs was read.
func (l *slotListener) closeEmpty() {
	now := time.Now()
	l.last.Store(&now)
	l.SetDeadline(now) // wakes Accept
	select {
	case <-l.closed:
	case <-time.After(lastMost + time.Second): // the library waits as long after an Accept that failed
		l.Close()
	}
}

// accept takes the next connection, or closes the listener where that is due.
func (l *slotListener) accept() (net.Conn, error) {
	for {
		since, now := l.last.Load(), time.Now()
		if since != nil {
			l.SetDeadline(now.Add(lastLook))
		}
		if since == nil || now.Sub(*since) <= lastMost {
			nc, err := l.TCPListener.Accept()
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return nc, err
			}
			if since == nil || time.Since(now) >= 2*lastLook {
				continue // so much later it may have met its deadline before it looked
			}
		}
		l.Close()
		close(l.closed)
		return nil, net.ErrClosed
	}
}

func (l *slotListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		c, err := newSlotConn(nc, l.slots)
		if err != nil {
			nc.Close()
			continue
		}
		spare := l.slots.add(c)
		if spare != nil {
			spare.Conn.Close()
		}
		if spare != c {
			return c, nil
		}
	}
}

// slotConn is a connection that counts until it is closed.
type slotConn struct {
	net.Conn
	raw   syscall.RawConn
	slots *slots
	state slotState // under slots.mu
	since time.Time // of the state, under slots.mu
	err   error     // how the client's side has ended, set under slots.mu

	ahead []byte // what has come behind the open request; of the goroutine that reads
}

// mostAhead bounds what is read ahead of a connection's requests.
const mostAhead = 16 << 10

var errAhead = errors.New("more behind an open request than is read ahead")

func newSlotConn(nc net.Conn, s *slots) (*slotConn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("accept: %T is no TCP connection", nc)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &slotConn{Conn: tcp, raw: raw, slots: s}, nil
}

// Read hands on what has come. The HTTP library reads a single byte while a request is open, to learn that
// the client has left, and looks no more once one has come; nothing else reads so little. There whatever
// comes is put by, so that the look lasts until the client leaves or the library ends it.
func (c *slotConn) Read(p []byte) (n int, err error) {
	if len(p) == 1 {
		return 0, c.watch()
	}
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.become(reading)
		return n, nil
	}
	return c.receive(p, true)
}

// watch reads ahead until the client's side ends, or the deadline that the library sets to end the look.
func (c *slotConn) watch() error {
	var piece [512]byte
	for len(c.ahead) <= mostAhead {
		n, err := c.receive(piece[:], false)
		if c.ahead = append(c.ahead, piece[:n]...); err != nil {
			return err
		}
	}
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	c.err = errAhead
	return c.err
}

// receive reads from the socket, and nothing of a connection that was given up. What it returns of that is
// an error to which the HTTP library gives no answer. next tells that the next request is waited for.
func (c *slotConn) receive(p []byte, next bool) (n int, err error) {
	failed := c.raw.Read(func(fd uintptr) bool {
		c.slots.mu.Lock()
		defer c.slots.mu.Unlock()
		switch {
		case c.state >= lingering:
			err = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
			return true
		case c.err != nil:
			err = c.err
			return true
		case c.state == answering && next:
			c.enter(idle)
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
		case c.state == silent || c.state == idle:
			c.enter(reading)
		}
		err = c.err
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// become changes the state; it is false once the connection has ended. What comes while
// a request is open, or while a head is being read, changes nothing.
func (c *slotConn) become(state slotState) bool {
	c.slots.mu.Lock()
	defer c.slots.mu.Unlock()
	if c.state >= lingering {
		return false
	}
	if state != reading || c.state == silent || c.state == idle || c.state == answering {
		c.enter(state)
	}
	return true
}

// enter changes the state of a connection that counts, at this moment. Called under the mutex.
func (c *slotConn) enter(state slotState) {
	c.slots.leave(c, state)
	c.since = time.Now()
}

// Close ends the connection, at once or, where that would reset it, once its client has had the time to
// receive what was written.
func (c *slotConn) Close() error {
	c.slots.mu.Lock()
	switch {
	case c.state == lingering:
		c.slots.mu.Unlock()
		return nil
	case c.state != ended && c.state != idle && c.state != silent && c.err == nil && c.waiting():
		c.enter(lingering)
		c.slots.mu.Unlock()
		time.AfterFunc(lingerFor, c.end)
		return c.CloseWrite()
	}
	c.slots.mu.Unlock()
	c.end()
	return nil
}

// CloseWrite closes the sending side.
func (c *slotConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// end closes the connection and gives its slot back.
func (c *slotConn) end() {
	c.slots.mu.Lock()
	if c.state != ended {
		c.slots.leave(c, ended)
		delete(c.slots.conns, c)
	}
	c.slots.mu.Unlock()
	c.Conn.Close()
}

type slotKey struct{}

// withSlot lets a request find its connection.
func withSlot(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, slotKey{}, c)
}

// slotOf returns the connection of a request.
func slotOf(r *http.Request) *slotConn {
	return r.Context().Value(slotKey{}).(*slotConn)
}
