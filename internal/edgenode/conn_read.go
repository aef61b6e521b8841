package edgenode

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Sizes of the buffer of a connection, in bytes.
const (
	maxReadAhead    = 16 << 10               // buffered while a request is in flight, before reading fails with errReadAheadFull
	maxHead         = maxHeaderBytes + 4<<10 // buffered of a head; net/http rejects longer ones
	readAheadChunk  = 512                    // per read while a request is in flight
	uncountedBuffer = 1 << 10                // buffer that a usual request fits into
)

// pipelinePause is the time between a response and the next request if that arrived together with the request. Clients
// send one request at a time; one that sends them at full speed would occupy the core without a break, and the runtime
// looks for other connections that are ready only in breaks.
const pipelinePause = time.Millisecond

// Errors that end the connection of a client.
var (
	// errReadAheadFull: the client sends more than maxReadAhead bytes while its request is in flight.
	errReadAheadFull = errors.New("too many bytes received while a request is in flight")
	// errNoMemory: the table has no memory left for what the client sends.
	errNoMemory = errors.New("no memory left for clients")
	// errRequestRejected: the request was rejected, and the rest of it is not read.
	errRequestRejected = errors.New("request was rejected before it was read")
)

// httpStateChanged records what net/http reads next from a connection: the rest of a request whose head it
// has read, or the next head. It is the ConnState hook of the server.
func httpStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	switch state {
	case http.StateActive:
		c.inRequest, c.handled, c.bodyRemaining = true, false, 0
		c.headDeadline = time.Time{}
		c.behindHead = c.buffer.Len()
		c.buffer.EndHead()
		c.holdBuffer()
		c.progressed()
	case http.StateIdle:
		c.headDropped()
		c.setComplete(false)
		c.inRequest, c.arrivedAt = false, time.Time{}
		c.buffer.StartHead(maxHead)
		c.holdBuffer()
		c.table.hold(c, heldRequest, 0)
		if c.sentAhead {
			c.table.sleep(pipelinePause)
		}
		if c.buffer.Len() > 0 {
			c.progressed()
			c.transition(connReading)
		}
	}
}

// progressed records that the client has not stalled: what it sent earlier is read now.
func (c *clientConn) progressed() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.receivedAt = time.Now()
}

// expectBody tells that the frontend handles the request whose head was read, and the length of its body, -1 if that is
// not known. It must be called before the body is read or a response is written.
func (c *clientConn) expectBody(length int64) {
	c.handled = true
	c.sentAhead = length >= 0 && int64(c.behindHead) > length
	switch {
	case length < 0:
		c.bodyRemaining = math.MaxInt64 // such a request is rejected, and is the last one of its connection
	case length > 0: // net/http reads concurrently if there is no body
		c.bodyRemaining = length
	}
}

// Read returns bytes received from the client. It holds a head back until it is complete, so that an
// unfinished one takes no more memory than its bytes, and returns no byte of the next head before that is
// awaited.
//
// Once net/http has the whole request, it reads on to detect that the client has closed the connection, and
// stops detecting that when it receives a byte. Read therefore keeps what it receives then, and returns only
// when the client closes its side, net/http ends the read by a deadline, or the buffer is full.
func (c *clientConn) Read(p []byte) (n int, err error) {
	switch {
	case !c.inRequest:
		return c.readHead(p)
	case c.bodyRemaining > 0:
		return c.readBody(p)
	}
	return 0, c.watchForClose()
}

// readHead returns bytes of a head that may be passed on.
func (c *clientConn) readHead(p []byte) (n int, err error) {
	for {
		if c.buffer.HeadEnded() {
			if err := c.admitHead(); err != nil {
				return 0, err
			}
		}
		if n = c.buffer.Next(p); n > 0 {
			return n, nil
		}
		if c.buffer.Len() > 0 && c.headDeadline.IsZero() {
			c.headDeadline = time.Now().Add(headerTimeout)
			if err := c.SetReadDeadline(c.readDeadline); err != nil {
				return 0, err
			}
		}
		if err := c.receiveHead(p); err != nil {
			return 0, err
		}
	}
}

// readBody returns bytes of a body.
func (c *clientConn) readBody(p []byte) (n int, err error) {
	p = p[:min(int64(len(p)), c.bodyRemaining)]
	if n = c.buffer.Next(p); n == 0 {
		n, err = c.receive(p)
	}
	c.bodyRemaining -= int64(n)
	return n, err
}

// SetReadDeadline sets the deadline of reads. While part of a head is held back, the deadline is headDeadline at
// the latest: net/http does not know yet that a request has begun, and would wait as long as for its first byte.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	if !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// setComplete records whether everything that the node awaits from the client has arrived.
func (c *clientConn) setComplete(complete bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.complete = complete
}

// receiveHead reads the next part of a head into the buffer, through p. If there is no memory for it,
// receiveHead rejects the request and returns an error for which net/http sends no response.
func (c *clientConn) receiveHead(p []byte) error {
	if err := c.receiveIntoBuffer(p); err != nil {
		return err
	}
	if c.holdBuffer() {
		return nil
	}
	return c.rejectForMemory()
}

// holdBuffer reports the memory of the buffer, and of the part of a head that net/http has, to the table. It returns
// false if there is no memory for it.
func (c *clientConn) holdBuffer() bool {
	size := c.buffer.Size() + c.buffer.Passed()
	if size <= uncountedBuffer {
		size = 0
	}
	if size != c.bufferHeld {
		if !c.table.hold(c, heldBuffer, size) {
			return false
		}
		c.bufferHeld = size
	}
	return true
}

// receiveIntoBuffer waits for bytes and adds them to the buffer. It uses p to receive them.
func (c *clientConn) receiveIntoBuffer(p []byte) error {
	n, err := c.receive(p)
	c.buffer.Receive(p[:n])
	return err
}

// watchForClose reads into the buffer until a read fails: because the client closed its side, because net/http
// set a deadline to stop the read, or because of a socket error. It fails once the buffer has more than
// maxReadAhead bytes or there is no memory for them.
func (c *clientConn) watchForClose() error {
	var chunk [readAheadChunk]byte
	for c.buffer.Len() <= maxReadAhead {
		if err := c.receiveIntoBuffer(chunk[:]); err != nil {
			return err
		}
		if !c.holdBuffer() {
			return c.fail(errNoMemory)
		}
	}
	return c.fail(errReadAheadFull)
}

// fail makes every later read return an error, and returns the error. net/http may read on after an error.
func (c *clientConn) fail(err error) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.err = err
	c.signalCaughtUp()
	return err
}

// signalCaughtUp sends a value to caughtUp, unless there is one.
func (c *clientConn) signalCaughtUp() {
	select {
	case c.caughtUp <- struct{}{}:
	default:
	}
}

// receive waits for bytes and reads them from the socket. If the connection was closed or evicted, it reads
// nothing and returns an error for which net/http sends no response. A connection whose response was written
// becomes idle when the next head is awaited.
func (c *clientConn) receive(p []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) (done bool) {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		n, err, done = c.receiveOnce(fd, p)
		return done
	})
	if rawErr != nil {
		return 0, rawErr
	}
	return n, err
}

// receiveOnce reads from the socket without waiting. done is false if there is nothing to read yet. The
// caller holds table.mu.
func (c *clientConn) receiveOnce(fd uintptr, p []byte) (n int, err error, done bool) {
	switch {
	case c.state >= connLingering:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}, true
	case c.err != nil:
		return 0, c.err, true
	case c.state == connResponding && !c.inRequest:
		c.setState(connIdle)
	}
	n, err = readOnce(fd, p)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		c.signalCaughtUp()
		return 0, nil, false
	case err != nil:
		n, c.err = 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	case n == 0:
		c.err = io.EOF
	default:
		c.receivedAt = time.Now()
		if c.state == connNew || c.state == connIdle {
			c.setState(connReading)
		}
	}
	if c.err != nil {
		c.signalCaughtUp()
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
