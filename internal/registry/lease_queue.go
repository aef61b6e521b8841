package registry

import "container/heap"

// leaseQueue is a heap of leases ordered by queueKey; it implements [heap.Interface]. A renewal does not move
// a lease in the queue. The lease is moved when it reaches the front, at most once per renewal.
type leaseQueue []*leaseEntry

// Len implements sort.Interface.
func (q leaseQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q leaseQueue) Less(i, j int) bool { return q[i].queueKey < q[j].queueKey }

// Swap implements sort.Interface.
func (q leaseQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *leaseQueue) Push(x any) {
	entry := x.(*leaseEntry)
	entry.queueIndex = len(*q)
	*q = append(*q, entry)
}

// Pop implements heap.Interface.
func (q *leaseQueue) Pop() any {
	last := len(*q) - 1
	entry := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return entry
}

func (q *leaseQueue) add(entry *leaseEntry) {
	entry.queueKey = entry.expiresAt
	heap.Push(q, entry)
}

// earliest returns the lease that expires first, or nil if the queue is empty. It first moves leases that
// have been renewed from the front to their new positions.
func (q leaseQueue) earliest() *leaseEntry {
	for len(q) > 0 && q[0].queueKey < q[0].expiresAt {
		q[0].queueKey = q[0].expiresAt
		heap.Fix(&q, 0)
	}
	if len(q) == 0 {
		return nil
	}
	return q[0]
}
