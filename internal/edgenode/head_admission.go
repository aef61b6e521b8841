package edgenode

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"opalhook/internal/edgenode/memorybudget"
)

// costlyHead is the memory of a parsed head, in bytes, from which on it has to be admitted. Heads of usual requests
// and those of a few long lines need less.
const costlyHead = 32 << 10

// Time limits of the admission of a head.
const (
	headAdmissionTimeout = time.Second           // longest wait
	maxHeadPause         = 50 * time.Millisecond // longest time for which the memory is kept after the parsing
)

// errHeadsWaiting: too many costly heads wait already.
var errHeadsWaiting = errors.New("too many heads wait to be parsed")

// headAdmission limits what the parsing of costly heads takes from other requests: memory, since net/http needs up to
// twenty times the text of a head, and the core, since it needs a thousand times as long for thousands of lines as for
// those of a usual request. Costly heads wait until those admitted before have been parsed and dropped. After each one
// the core is left to other requests for as long as it took.
type headAdmission struct {
	memory     *memorybudget.Budget
	timeout    time.Duration // longest wait
	maxWaiting int           // most memory that the connections with waiting heads may occupy, in bytes
	waiting    atomic.Int64  // memory that they occupy, in bytes
}

// admittedHead is a head that net/http may parse.
type admittedHead struct {
	bytes int // of memory
	since time.Time
}

// newHeadAdmission returns an admission for heads that need at most maxMemory bytes together, while connections that
// occupy at most maxWaiting bytes wait.
func newHeadAdmission(maxMemory, maxWaiting int) *headAdmission {
	return &headAdmission{
		memory: memorybudget.New(maxMemory), timeout: headAdmissionTimeout, maxWaiting: maxWaiting,
	}
}

// admit waits until a head that needs a number of bytes may be parsed. Its connection occupies a number of bytes
// meanwhile. Heads are admitted in the order of the calls.
func (a *headAdmission) admit(bytes, connBytes int) (*admittedHead, error) {
	defer a.waiting.Add(-int64(connBytes))
	if a.waiting.Add(int64(connBytes)) > int64(a.maxWaiting) {
		return nil, errHeadsWaiting
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	acquired, err := a.memory.Acquire(ctx, bytes)
	if err != nil {
		return nil, err
	}
	return &admittedHead{bytes: acquired, since: time.Now()}, nil
}

// done reports that a head was parsed and is not referenced any more.
func (a *headAdmission) done(head *admittedHead) {
	pause := min(time.Since(head.since), maxHeadPause)
	time.AfterFunc(pause, func() { a.memory.Release(head.bytes) })
}

// admitHead records that a whole head has arrived, and waits until net/http may parse it. If it takes too long,
// admitHead rejects the request and returns an error for which net/http sends no response.
func (c *clientConn) admitHead() error {
	if c.arrivedAt.IsZero() {
		c.arrivedAt = time.Now()
		c.setComplete(true)
	}
	memory := c.buffer.ParserMemory()
	if memory < costlyHead || c.head.Load() != nil {
		return nil
	}
	head, err := c.table.heads.admit(memory, connMemory+c.bufferHeld)
	if err != nil {
		c.table.logRejectedHead(err)
		return c.rejectForMemory()
	}
	c.head.Store(head)
	return nil
}

// headDropped reports that the head of the request is not referenced any more.
func (c *clientConn) headDropped() {
	if head := c.head.Swap(nil); head != nil {
		c.table.heads.done(head)
	}
}
