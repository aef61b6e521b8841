package edgenode

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Timing of closeWhenQueueEmpty.
const (
	queueEmptyFor = 20 * time.Millisecond  // time without a connection that marks the queue as empty
	maxQueueWait  = 200 * time.Millisecond // longest wait, even if connections still arrive
	maxAcceptWait = time.Second            // longest time for which net/http pauses after a failed Accept
)

// clientListener is a listener that adds the connections that it accepts to a table.
type clientListener struct {
	*net.TCPListener
	table        *connTable
	closingSince atomic.Pointer[time.Time] // time of the call of closeWhenQueueEmpty; nil before it
	closed       chan struct{}             // closed once Accept has closed the listener
}

func newClientListener(ln *net.TCPListener, t *connTable) *clientListener {
	return &clientListener{TCPListener: ln, table: t, closed: make(chan struct{})}
}

// closeWhenQueueEmpty closes the listener once its accept queue is empty, or after maxQueueWait. The system
// resets the connections that are in the queue when the listener closes, together with the requests sent on
// them. A connection that arrives between the last check of the queue and the close is still reset; none of
// its bytes were read.
//
// The goroutine that calls Accept does the closing. If it does not, closeWhenQueueEmpty closes the listener
// itself after maxQueueWait + maxAcceptWait.
func (l *clientListener) closeWhenQueueEmpty() {
	now := time.Now()
	l.closingSince.Store(&now)
	_ = l.SetDeadline(now) // wakes Accept; fails only if the listener is already closed
	select {
	case <-l.closed:
	case <-time.After(maxQueueWait + maxAcceptWait):
		_ = l.Close()
	}
}

// Accept returns the next connection that the table has room for. If the table evicts another connection to
// make room, Accept closes that one. If the table can evict no other, Accept closes the new connection and
// waits for the next one.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(nc, l.table)
		if err != nil {
			_ = nc.Close() // no request was read from it
			continue
		}
		evicted := l.table.add(c)
		if evicted != nil {
			_ = evicted.Conn.Close() // no request is in flight on it
		}
		if evicted != c {
			return c, nil
		}
	}
}

// accept returns the next connection. Once closeWhenQueueEmpty has been called, accept closes the listener
// when the queue is empty or maxQueueWait is over.
func (l *clientListener) accept() (net.Conn, error) {
	for {
		closingSince, now := l.closingSince.Load(), time.Now()
		if closingSince != nil {
			_ = l.SetDeadline(now.Add(queueEmptyFor)) // fails if the listener is closed; Accept reports that
		}
		if closingSince == nil || now.Sub(*closingSince) <= maxQueueWait {
			nc, err := l.TCPListener.Accept()
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return nc, err
			}
			if closingSince == nil || time.Since(now) >= 2*queueEmptyFor {
				// Either closeWhenQueueEmpty has just set the deadline, or this goroutine resumed so late
				// that the deadline may have passed before Accept checked the queue.
				continue
			}
		}
		_ = l.Close() // an error changes nothing: no further connection is accepted
		close(l.closed)
		return nil, net.ErrClosed
	}
}
