package registry

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Lease is the lease of one incarnation of an instance.
type Lease struct {
	InstanceRef
	Term time.Duration // time until expiry without a renewal
}

// SelfPreservation configures the protection against mass expiry. If more than MaxExpiringFraction of all
// leases would expire within Window, the service or the network is more likely at fault than the instances.
// Expiry is then suspended for Window. Afterwards one entry expires per SlowInterval, until no lease is due.
type SelfPreservation struct {
	MaxExpiringFraction float64
	Window              time.Duration
	SlowInterval        time.Duration
	MinLeases           int // below this number of leases a fraction is not significant
}

// defaultSelfPreservation is the configuration that [Server] uses.
var defaultSelfPreservation = SelfPreservation{
	MaxExpiringFraction: 0.3,
	Window:              10 * time.Second,
	SlowInterval:        2 * time.Second,
	MinLeases:           5,
}

// Leases tracks leases on the leader, by its monotonic clock. It does not remove entries from the list: an
// expiry is a command in the log. A new leader creates new Leases, in which each lease begins with a full
// term. Leases is not safe for concurrent use.
type Leases struct {
	selfPreservation SelfPreservation
	entries          map[string]*leaseEntry // by instance ID
	queue            leaseQueue             // all entries except those with expiring set
	suspendedAt      time.Duration          // start of the suspension of expiry; 0: not suspended
	lastExpiry       time.Duration          // during a suspension: time of its last expiry, or of its start
}

// leaseEntry is a lease with its expiry time.
type leaseEntry struct {
	Lease
	expiresAt  time.Duration
	queueKey   time.Duration // position in the queue: expiresAt, or an earlier value of it
	queueIndex int
	expiring   bool // its expiry is being committed; the lease is not in the queue
}

// expiresSoon reports whether the lease has expired, or is in the second half of its term and will expire
// within the window.
func (e *leaseEntry) expiresSoon(now, window time.Duration) bool {
	left := e.expiresAt - now
	return left <= 0 || left <= window && left < e.Term/2
}

// NewLeases returns the leases of a new leader, each with a full term from now.
func NewLeases(now time.Duration, leases []Lease, selfPreservation SelfPreservation) *Leases {
	l := &Leases{selfPreservation: selfPreservation, entries: map[string]*leaseEntry{}}
	for _, lease := range leases {
		l.Grant(now, lease)
	}
	return l
}

// Grant records the lease of a newly registered incarnation. It replaces any earlier lease of the instance.
func (l *Leases) Grant(now time.Duration, lease Lease) {
	l.Drop(lease.ID)
	entry := &leaseEntry{Lease: lease, expiresAt: now + lease.Term}
	l.entries[lease.ID] = entry
	l.queue.add(entry)
}

// Renew extends a lease to a full term from now. It returns false if the incarnation has no lease, or if the
// expiry of the lease is being committed.
func (l *Leases) Renew(now time.Duration, ref InstanceRef) bool {
	entry := l.entries[ref.ID]
	if entry == nil || entry.Incarnation != ref.Incarnation || entry.expiring {
		return false
	}
	entry.expiresAt = now + entry.Term
	return true
}

// Drop deletes the lease of an instance, if it has one.
func (l *Leases) Drop(id string) {
	if entry := l.entries[id]; entry != nil && !entry.expiring {
		heap.Remove(&l.queue, entry.queueIndex)
	}
	delete(l.entries, id)
}

// ExpiryFailed makes leases due again after their expiry could not be committed.
func (l *Leases) ExpiryFailed(refs []InstanceRef) {
	for _, ref := range refs {
		entry := l.entries[ref.ID]
		if entry != nil && entry.Incarnation == ref.Incarnation && entry.expiring {
			entry.expiring = false
			l.queue.add(entry)
		}
	}
}

// Suspended reports whether expiry is suspended, or slowed down after a suspension.
func (l *Leases) Suspended() bool { return l.suspendedAt > 0 }

// Due returns the leases that have expired and may be removed now, sorted by instance ID. It does not return
// them again unless [Leases.ExpiryFailed] is called.
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

// scan returns the expired leases, sorted by instance ID, and the number of leases that have expired or will
// expire soon.
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

// limit returns the expired leases that self-preservation allows to be removed now. It begins a suspension if
// too many leases expire at once.
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

// NextDue returns the earliest time at which [Leases.Due] may return leases. ok is false if no lease can
// expire.
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
