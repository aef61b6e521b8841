package edgenode

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// How a listener closes: once its queue has been empty for queueEmptyFor, or after maxQueueWait.
const (
	queueEmptyFor = 20 * time.Millisecond
	maxQueueWait  = 200 * time.Millisecond
	maxAcceptWait = time.Second // the HTTP library waits as long after an Accept that failed
)

// clientListener adds the connections that it accepts to a table.
type clientListener struct {
	*net.TCPListener
	table        *connTable
	closingSince atomic.Pointer[time.Time] // nil: it is not to close
	closed       chan struct{}             // closed once it has
}

func newClientListener(ln *net.TCPListener, t *connTable) *clientListener {
	return &clientListener{TCPListener: ln, table: t, closed: make(chan struct{})}
}

// closeWhenQueueEmpty closes the listener with nothing in its queue: the system resets connections that were made and
// not accepted by then, with the requests on them. Those that come between the last look and the close have no
// response; nothing of theirs was read.
func (l *clientListener) closeWhenQueueEmpty() {
	now := time.Now()
	l.closingSince.Store(&now)
	_ = l.SetDeadline(now) // wakes Accept; fails if the listener is closed, as it should be
	select {
	case <-l.closed:
	case <-time.After(maxQueueWait + maxAcceptWait):
		_ = l.Close()
	}
}

// Accept accepts the next connection that the table has room for.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(nc, l.table)
		if err != nil {
			_ = nc.Close() // nothing was read on it
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

// accept accepts the next connection, or closes the listener where that is due.
func (l *clientListener) accept() (net.Conn, error) {
	for {
		closingSince, now := l.closingSince.Load(), time.Now()
		if closingSince != nil {
			_ = l.SetDeadline(now.Add(queueEmptyFor)) // fails if the listener is closed, which Accept reports
		}
		if closingSince == nil || now.Sub(*closingSince) <= maxQueueWait {
			nc, err := l.TCPListener.Accept()
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return nc, err
			}
			if closingSince == nil || time.Since(now) >= 2*queueEmptyFor {
				continue // so much later it may have met its deadline before it looked
			}
		}
		_ = l.Close() // nothing more is accepted, whatever the close meets
		close(l.closed)
		return nil, net.ErrClosed
	}
}
