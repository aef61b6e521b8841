// Package memorybudget limits the memory that many goroutines occupy together. A goroutine that needs more than is
// free waits, so that peers of the process cannot make it exceed its memory limit.
package memorybudget

import (
	"context"
	"slices"
	"sync"
)

// Budget is a number of bytes that can be acquired and released. It is granted in the order of the calls to
// Acquire. Its methods are safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	total   int // bytes of the budget
	used    int // bytes that were acquired and not released
	waiting []*waiter
}

// waiter is a call to Acquire that waits.
type waiter struct {
	bytes   int
	granted chan struct{} // closed once the bytes are acquired
}

// New returns a budget of a number of bytes.
func New(bytes int) *Budget { return &Budget{total: bytes} }

// Used returns the number of bytes that were acquired and not released.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Waiters returns the number of calls to Acquire that wait.
func (b *Budget) Waiters() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Acquire waits until the bytes are free, or all bytes if the budget has fewer in total. It returns the number
// of bytes acquired, or the error of ctx if that ends first.
func (b *Budget) Acquire(ctx context.Context, bytes int) (acquired int, err error) {
	b.mu.Lock()
	bytes = min(bytes, b.total)
	if len(b.waiting) == 0 && bytes <= b.total-b.used {
		b.used += bytes
		b.mu.Unlock()
		return bytes, nil
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return bytes, nil
	case <-ctx.Done():
		b.abandon(w)
		return 0, ctx.Err()
	}
}

// abandon ends the wait of a call to Acquire. If the bytes were granted in the meantime, they are released.
func (b *Budget) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			b.grant()
			return
		}
	}
	b.used -= w.bytes
	b.grant()
}

// Release gives bytes back that were acquired.
func (b *Budget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grant()
}

// grant ends the waits for which there are free bytes. The caller holds the mutex.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.waiting[0].bytes <= b.total-b.used {
		b.used += b.waiting[0].bytes
		close(b.waiting[0].granted)
		b.waiting = b.waiting[1:]
	}
}
