package registry

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Lease is an entry's lease.
type Lease struct {
	InstanceRef
	Term time.Duration
}

// Doubt is when the service doubts itself rather than its instances. When more than Share of
// all leases would run out within Window, the service or the network is ill: expiry pauses for
// Window, then goes on with one entry for each Slow, until nothing more is due.
type SelfPreservation struct {
	MaxExpiringFraction float64
	Window              time.Duration
	SlowInterval        time.Duration
	MinLeases           int // leases below which a share means nothing
}

// defaultDoubt is the service's own.
var defaultSelfPreservation = SelfPreservation{MaxExpiringFraction: 0.3, Window: 10 * time.Second, SlowInterval: 2 * time.Second, MinLeases: 5}

// Leases is what the leader keeps of leases, by its own clock. It decides nothing about the
// list: what has run out goes through the log. A new leader makes a new one, which gives every
// lease a full term first. It is not safe for concurrent use.
type Leases struct {
	selfPreservation SelfPreservation
	entries          map[string]*leaseEntry
	queue            leaseQueue    // of those that are not sent
	suspendedAt      time.Duration // expiry is paused since then; 0: it is not
	lastExpiry       time.Duration // last expiry while slow
}

type leaseEntry struct {
	Lease
	expiresAt  time.Duration
	queueKey   time.Duration // until, or earlier: by what it stands in the queue
	queueIndex int           // in the queue
	expiring   bool          // its expiry is on its way through the log; it is not in the queue
}

// leaseQueue is a heap of leases by when they run out, as [heap.Interface] has it. A renewal does
// not move a lease in it: one that comes to the front is put where it belongs then, once in a term.
type leaseQueue []*leaseEntry

func (q leaseQueue) Len() int           { return len(q) }
func (q leaseQueue) Less(i, j int) bool { return q[i].queueKey < q[j].queueKey }
func (q leaseQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

func (q *leaseQueue) Push(x any) {
	h := x.(*leaseEntry)
	h.queueIndex = len(*q)
	*q = append(*q, h)
}

func (q *leaseQueue) Pop() any {
	last := len(*q) - 1
	h := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return h
}

func (q *leaseQueue) add(h *leaseEntry) {
	h.queueKey = h.expiresAt
	heap.Push(q, h)
}

// first is the lease that runs out first, nil where there is none.
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

// NewLeases returns the leases of a new leader.
func NewLeases(now time.Duration, held []Lease, doubt SelfPreservation) *Leases {
	l := &Leases{selfPreservation: doubt, entries: map[string]*leaseEntry{}}
	for _, h := range held {
		l.Grant(now, h)
	}
	return l
}

// Grant books a registered or renewed lease.
func (l *Leases) Grant(now time.Duration, h Lease) {
	l.Drop(h.ID)
	held := &leaseEntry{Lease: h, expiresAt: now + h.Term}
	l.entries[h.ID] = held
	l.queue.add(held)
}

// Renew extends a lease that is held; it is false for another incarnation's, or one whose
// expiry is under way.
func (l *Leases) Renew(now time.Duration, o InstanceRef) bool {
	h := l.entries[o.ID]
	if h == nil || h.Incarnation != o.Incarnation || h.expiring {
		return false
	}
	h.expiresAt = now + h.Term
	return true
}

// Drop forgets the lease of an instance that is gone.
func (l *Leases) Drop(id string) {
	if h := l.entries[id]; h != nil && !h.expiring {
		heap.Remove(&l.queue, h.queueIndex)
	}
	delete(l.entries, id)
}

// Failed takes in that the expiry of these did not go through: they are due again.
func (l *Leases) ExpiryFailed(os []InstanceRef) {
	for _, o := range os {
		if h := l.entries[o.ID]; h != nil && h.Incarnation == o.Incarnation && h.expiring {
			h.expiring = false
			l.queue.add(h)
		}
	}
}

// Paused tells since when expiry is held back, and whether it is.
func (l *Leases) Suspended() (time.Duration, bool) { return l.suspendedAt, l.suspendedAt > 0 }

// Due returns what has run out and may be expired now, sorted by instance.
func (l *Leases) Due(now time.Duration) (due []InstanceRef) {
	if first := l.queue.earliest(); first == nil || first.expiresAt > now {
		l.suspendedAt = 0
		return nil
	}
	soon := 0
	for _, h := range l.entries {
		if h.expiring {
			continue
		}
		if h.expiresAt <= now+l.selfPreservation.Window {
			soon += b2i(h.expiresAt <= now || h.expiresAt-now < h.Term/2)
		}
		if h.expiresAt <= now {
			due = append(due, h.InstanceRef)
		}
	}
	slices.SortFunc(due, func(a, b InstanceRef) int { return cmp.Compare(a.ID, b.ID) })
	ill := len(l.entries) >= l.selfPreservation.MinLeases && float64(soon) > l.selfPreservation.MaxExpiringFraction*float64(len(l.entries))
	switch {
	case l.suspendedAt == 0 && ill:
		l.suspendedAt, l.lastExpiry = now, now
		return nil
	case l.suspendedAt > 0:
		if now-l.suspendedAt < l.selfPreservation.Window || now-l.lastExpiry < l.selfPreservation.SlowInterval {
			return nil
		}
		l.lastExpiry, due = now, due[:1]
	}
	for _, o := range due {
		h := l.entries[o.ID]
		heap.Remove(&l.queue, h.queueIndex)
		h.expiring = true
	}
	return due
}

// Next is when Due may have something new; ok is false where nothing is held.
func (l *Leases) NextDue(now time.Duration) (at time.Duration, ok bool) {
	first := l.queue.earliest()
	if first == nil {
		return now, false
	}
	at = first.expiresAt
	if l.suspendedAt > 0 {
		at = max(at, l.lastExpiry+l.selfPreservation.SlowInterval)
	}
	return max(at, now), true
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
