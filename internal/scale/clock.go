package scale

import (
	"container/heap"
	"context"
	"time"
)

// clock is a simulated clock with a queue of scheduled events. Events scheduled for the same time run in the
// order in which they were scheduled. It is not safe for concurrent use.
type clock struct {
	now    time.Duration
	events eventHeap
	count  uint64 // events scheduled so far
}

type event struct {
	at    time.Duration
	order uint64 // breaks ties between events scheduled for the same time
	run   func()
}

// after schedules an event to run after a delay. A negative delay counts as 0.
func (c *clock) after(delay time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), order: c.count, run: run})
}

// runUntil runs all events scheduled up to and including end and sets the clock to end. It returns the
// context's error if the context is cancelled between events.
func (c *clock) runUntil(ctx context.Context, end time.Duration) error {
	for len(c.events) > 0 && c.events[0].at <= end {
		if err := ctx.Err(); err != nil {
			return err
		}
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
	return nil
}

// eventHeap implements [heap.Interface], with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // lets the garbage collector free the closure
	*h = old[:len(old)-1]
	return last
}
