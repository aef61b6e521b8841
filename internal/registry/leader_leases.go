package registry

import (
	"sync"
	"time"
)

// expiryCheckInterval is the time between checks for expired leases. Those that expire in between go together, since
// each change wakes every watch.
const expiryCheckInterval = 100 * time.Millisecond

// leadership is what a replica keeps while it leads: the leases, and the Raft term that they belong to. It is safe for
// concurrent use. The FSM calls it with its mutex held, so it must not call the FSM.
type leadership struct {
	changed chan struct{} // wakes the replica's leadership loop

	mu        sync.Mutex
	leases    *Leases // nil where the replica does not lead or has not taken over yet
	raftTerm  uint64  // of the leases
	lastCheck time.Duration
}

func newLeadership() leadership { return leadership{changed: make(chan struct{}, 1)} }

// begin starts the leases of a term and returns their number.
func (l *leadership) begin(term uint64, now time.Duration, leases []Lease) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.raftTerm = NewLeases(now, leases, defaultSelfPreservation), term
	return len(leases)
}

// end forgets the leases.
func (l *leadership) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases = nil
}

// isOf reports whether there are leases, and those of a term.
func (l *leadership) isOf(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && l.raftTerm == term
}

// renew extends an incarnation's lease. It reports whether the leader could: an entry without a lease needs no
// renewal.
func (l *leadership) renew(at time.Duration, ref InstanceRef, leaseLength time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && (leaseLength == 0 || l.leases.Renew(at, ref))
}

// expirySuspended reports whether expiry is suspended here.
func (l *leadership) expirySuspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && l.leases.Suspended()
}

// track keeps the leases in step with a change of the list, and wakes the leadership loop.
func (l *leadership) track(now time.Duration, c Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return
	}
	switch c.Kind {
	case Register:
		if c.Lease > 0 {
			l.leases.Grant(now, Lease{InstanceRef{c.Entry.InstanceID, c.Incarnation}, c.Lease})
		} else {
			l.leases.Drop(c.Entry.InstanceID)
		}
	case Remove:
		l.leases.Drop(c.ID)
	case Expire:
		for _, ref := range c.Expired {
			l.leases.Drop(ref.ID)
		}
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// untilExpiryCheck is the time until leases are to be checked again.
func (l *leadership) untilExpiryCheck(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return idleCheckInterval
	}
	at, ok := l.leases.NextDue(now)
	if !ok {
		return idleCheckInterval
	}
	return max(at, l.lastCheck+expiryCheckInterval) - now
}

// suspensionChange is what a check did to the suspension of expiry.
type suspensionChange int

const (
	suspensionUnchanged suspensionChange = iota
	expirySuspended
	expiryResumed
)

// expiryBatch is what a check for expired leases found.
type expiryBatch struct {
	due    []InstanceRef
	term   uint64  // of the leadership that found them
	leases *Leases // that they are of
	change suspensionChange
}

// expired checks for expired leases; ok is false where there are no leases, or the last check was too recent.
func (l *leadership) expired(now time.Duration) (batch expiryBatch, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil || now < l.lastCheck+expiryCheckInterval {
		return expiryBatch{}, false
	}
	l.lastCheck = now
	before := l.leases.Suspended()
	batch = expiryBatch{due: l.leases.Due(now), term: l.raftTerm, leases: l.leases}
	switch after := l.leases.Suspended(); {
	case after && !before:
		batch.change = expirySuspended
	case before && !after:
		batch.change = expiryResumed
	}
	return batch, true
}

// expiryFailed makes a batch due again, unless its leadership has ended.
func (l *leadership) expiryFailed(batch expiryBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == batch.leases {
		l.leases.ExpiryFailed(batch.due)
	}
}
