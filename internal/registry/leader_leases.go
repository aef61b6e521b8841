package registry

import (
	"sync"
	"time"
)

// expiryCheckInterval is the minimum time between checks for expired leases. Leases that expire in between
// are removed together, since each change wakes every watch.
const expiryCheckInterval = 100 * time.Millisecond

// leadership is the state that a replica has only while it is the leader: the leases, and the Raft term in
// which it took them over. It is safe for concurrent use. It must not call the FSM, because the FSM calls it
// with the mutex of the FSM held.
type leadership struct {
	changed chan struct{} // wakes the replica's leadership loop

	mu        sync.Mutex
	leases    *Leases       // nil if the replica is not the leader or has not taken over yet
	raftTerm  uint64        // Raft term in which the leases were taken over
	lastCheck time.Duration // time of the last check for expired leases
}

func newLeadership() leadership { return leadership{changed: make(chan struct{}, 1)} }

// begin starts tracking the leases in a Raft term, each with a full lease term, and returns their number.
func (l *leadership) begin(term uint64, now time.Duration, leases []Lease) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases, l.raftTerm = NewLeases(now, leases, defaultSelfPreservation), term
	return len(leases)
}

// end discards the leases.
func (l *leadership) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases = nil
}

// activeIn reports whether this replica tracks leases that it took over in the given Raft term.
func (l *leadership) activeIn(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && l.raftTerm == term
}

// renew extends an incarnation's lease from the given time. It returns false if no leases are being tracked
// or the lease cannot be renewed. An entry without a lease (leaseTerm 0) needs no renewal.
func (l *leadership) renew(at time.Duration, ref InstanceRef, leaseTerm time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && (leaseTerm == 0 || l.leases.Renew(at, ref))
}

// expirySuspended reports whether this replica tracks leases and has suspended their expiry.
func (l *leadership) expirySuspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases != nil && l.leases.Suspended()
}

// track applies a change of the list to the leases and wakes the leadership loop.
func (l *leadership) track(now time.Duration, c Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		return
	}
	switch c.Kind {
	case Register:
		if c.Lease > 0 {
			l.leases.Grant(now, Lease{InstanceRef{c.Entry.ID, c.Incarnation}, c.Lease})
		} else {
			l.leases.Drop(c.Entry.ID)
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

// untilExpiryCheck returns the time until the next check for expired leases is due.
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

// suspensionChange is the effect of a check on the suspension of expiry.
type suspensionChange int

const (
	suspensionUnchanged suspensionChange = iota
	expirySuspended
	expiryResumed
)

// expiryBatch is the result of a check for expired leases.
type expiryBatch struct {
	due    []InstanceRef // expired leases to be removed
	term   uint64        // Raft term of the leadership that made the check
	leases *Leases       // leases that were checked
	change suspensionChange
}

// checkExpired checks for expired leases. ok is false if no leases are being tracked, or if the last check
// was less than expiryCheckInterval ago.
func (l *leadership) checkExpired(now time.Duration) (batch expiryBatch, ok bool) {
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

// expiryFailed makes the leases of a batch due again, unless their leadership has ended.
func (l *leadership) expiryFailed(batch expiryBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == batch.leases {
		l.leases.ExpiryFailed(batch.due)
	}
}
