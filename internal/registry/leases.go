package registry

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Lease is the lease of an entry.
type Lease struct {
	InstanceRef
	Term time.Duration
}

// SelfPreservation says when the service suspects itself or the network rather than its instances: when more than
// MaxExpiringFraction of all leases would expire within Window. Expiry is then suspended for Window, and afterwards
// limited to one entry each SlowInterval until no lease is due.
type SelfPreservation struct {
	MaxExpiringFraction float64
	Window              time.Duration
	SlowInterval        time.Duration
	MinLeases           int // with fewer leases a fraction means nothing
}

// defaultSelfPreservation is the setting of [Server].
var defaultSelfPreservation = SelfPreservation{
	MaxExpiringFraction: 0.3,
	Window:              10 * time.Second,
	SlowInterval:        2 * time.Second,
	MinLeases:           5,
}

// Leases is the leader's record of leases, by its own monotonic clock. It removes nothing from the list: an expiry goes
// through the log. A new leader makes a new one, in which each lease begins with a full term. It is not safe for
// concurrent use.
type Leases struct {
	selfPreservation SelfPreservation
	entries          map[string]*leaseEntry // by instance
	queue            leaseQueue             // of the entries that are not expiring
	suspendedAt      time.Duration          // since when expiry is suspended; 0: it is not
	lastExpiry       time.Duration          // while expiry is slow
}

// leaseEntry is a lease with its deadline.
type leaseEntry struct {
	Lease
	expiresAt  time.Duration
	queueKey   time.Duration // the position in the queue: expiresAt, or an earlier value of it
	queueIndex int
	expiring   bool // its expiry is on its way through the log; it is not in the queue
}

// expiresSoon reports whether the lease has expired, or will within a window and is in the later half of its term.
func (e *leaseEntry) expiresSoon(now, window time.Duration) bool {
	left := e.expiresAt - now
	return left <= 0 || left <= window && left < e.Term/2
}

// NewLeases returns the leases of a new leader, each with a full term.
func NewLeases(now time.Duration, leases []Lease, selfPreservation SelfPreservation) *Leases {
	l := &Leases{selfPreservation: selfPreservation, entries: map[string]*leaseEntry{}}
	for _, lease := range leases {
		l.Grant(now, lease)
	}
	return l
}

// Grant records the lease of a newly registered incarnation.
func (l *Leases) Grant(now time.Duration, lease Lease) {
	l.Drop(lease.ID)
	entry := &leaseEntry{Lease: lease, expiresAt: now + lease.Term}
	l.entries[lease.ID] = entry
	l.queue.add(entry)
}

// Renew extends a lease to a full term from now. It reports false for another incarnation's lease, and for one whose
// expiry is on its way.
func (l *Leases) Renew(now time.Duration, ref InstanceRef) bool {
	entry := l.entries[ref.ID]
	if entry == nil || entry.Incarnation != ref.Incarnation || entry.expiring {
		return false
	}
	entry.expiresAt = now + entry.Term
	return true
}

// Drop forgets the lease of an instance that was removed.
func (l *Leases) Drop(id string) {
	if entry := l.entries[id]; entry != nil && !entry.expiring {
		heap.Remove(&l.queue, entry.queueIndex)
	}
	delete(l.entries, id)
}

// ExpiryFailed makes leases due again whose expiry did not get through the log.
func (l *Leases) ExpiryFailed(refs []InstanceRef) {
	for _, ref := range refs {
		entry := l.entries[ref.ID]
		if entry != nil && entry.Incarnation == ref.Incarnation && entry.expiring {
			entry.expiring = false
			l.queue.add(entry)
		}
	}
}

// Suspended reports whether expiry is suspended, or slow after a suspension.
func (l *Leases) Suspended() bool { return l.suspendedAt > 0 }

// Due returns the leases that have expired and may be removed now, sorted by instance. They are not due again unless
// [Leases.ExpiryFailed] is called.
func (l *Leases) Due(now time.Duration) []InstanceRef {
	if earliest := l.queue.earliest(); earliest == nil || earliest.expiresAt > now {
		l.suspendedAt = 0
		return nil
	}
	expired, soon := l.scan(now)
	due := l.limit(now, expired, soon)
	for _, ref := range due {
		entry := l.entries[ref.ID]
		heap.Remove(&l.queue, entry.queueIndex)
		entry.expiring = true
	}
	return due
}

// scan returns the expired leases, sorted by instance, and the number of those that have expired or will soon.
func (l *Leases) scan(now time.Duration) (expired []InstanceRef, soon int) {
	for _, entry := range l.entries {
		if entry.expiring {
			continue
		}
		if entry.expiresSoon(now, l.selfPreservation.Window) {
			soon++
		}
		if entry.expiresAt <= now {
			expired = append(expired, entry.InstanceRef)
		}
	}
	slices.SortFunc(expired, func(a, b InstanceRef) int { return cmp.Compare(a.ID, b.ID) })
	return expired, soon
}

// limit returns the part of the expired leases that self-preservation lets go now, and begins a suspension.
func (l *Leases) limit(now time.Duration, expired []InstanceRef, soon int) []InstanceRef {
	p := l.selfPreservation
	total := len(l.entries)
	suspect := total >= p.MinLeases && float64(soon) > p.MaxExpiringFraction*float64(total)
	switch {
	case !l.Suspended() && suspect:
		l.suspendedAt, l.lastExpiry = now, now
		return nil
	case !l.Suspended():
		return expired
	case now-l.suspendedAt < p.Window || now-l.lastExpiry < p.SlowInterval:
		return nil
	}
	l.lastExpiry = now
	return expired[:1]
}

// NextDue returns when [Leases.Due] may have something new; ok is false where there is no lease to expire.
func (l *Leases) NextDue(now time.Duration) (at time.Duration, ok bool) {
	earliest := l.queue.earliest()
	if earliest == nil {
		return now, false
	}
	at = earliest.expiresAt
	if l.Suspended() {
		at = max(at, l.lastExpiry+l.selfPreservation.SlowInterval)
	}
	return max(at, now), true
}
