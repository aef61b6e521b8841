package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Leases can be renewed and expire only between the beginning and the end of a leadership, and only in its
// own term.
func TestLeadershipBeginsAndEnds(t *testing.T) {
	l := newLeadership()
	ref := InstanceRef{"s-00", 1}
	if l.activeIn(3) || l.renew(0, ref, time.Second) || l.expirySuspended() || l.untilExpiryCheck(0) != idleCheckInterval {
		t.Error("leases are tracked before the leadership begins")
	}
	if _, ok := l.checkExpired(time.Minute); ok {
		t.Error("leases expire before the leadership begins")
	}
	if n := l.begin(3, 0, leases(4, 10*time.Second)); n != 4 {
		t.Errorf("%d leases taken over, want 4", n)
	}
	if !l.activeIn(3) || l.activeIn(2) {
		t.Error("the leases are not those of term 3")
	}
	if !l.renew(time.Second, ref, 10*time.Second) || l.renew(time.Second, InstanceRef{"s-99", 1}, 10*time.Second) {
		t.Error("the renewal of a lease fails, or the renewal of an unknown one succeeds")
	}
	if !l.renew(time.Second, InstanceRef{"s-99", 1}, 0) {
		t.Error("the renewal of an entry without a lease fails")
	}
	l.end()
	if l.activeIn(3) || l.renew(2*time.Second, ref, 10*time.Second) {
		t.Error("leases are tracked after the leadership has ended")
	}
}

// Registrations, removals and expiries in the list are applied to the leases.
func TestLeadershipTracksChanges(t *testing.T) {
	l := newLeadership()
	l.begin(1, 0, nil)
	register := func(id string, incarnation uint64, lease time.Duration) {
		l.track(0, Command{Kind: Register, Entry: entry(id, 1), Incarnation: incarnation, Lease: lease})
	}
	register("s-a", 1, time.Second)
	register("s-b", 1, time.Second)
	register("s-c", 1, time.Second)
	register("s-d", 1, time.Second)
	l.track(0, Command{Kind: Remove, ID: "s-a"})
	l.track(0, Command{Kind: Expire, Expired: []InstanceRef{{"s-b", 1}}})
	register("s-c", 2, 0) // the new incarnation has no lease
	select {
	case <-l.changed:
	default:
		t.Error("the leadership loop is not woken")
	}
	if batch, ok := l.checkExpired(time.Second); !ok || !slices.Equal(batch.due, []InstanceRef{{"s-d", 1}}) || batch.term != 1 {
		t.Errorf("expired: %+v, %v, want s-d in term 1", batch, ok)
	}
}

// Checks are at least expiryCheckInterval apart. A batch that could not be committed is due again, unless
// another leadership has begun.
func TestExpiryBatches(t *testing.T) {
	l := newLeadership()
	l.begin(1, 0, leases(4, time.Second))
	batch, ok := l.checkExpired(time.Second)
	if !ok || len(batch.due) != 4 || batch.change != suspensionUnchanged {
		t.Fatalf("when all leases expire: %+v, %v, want 4 leases due", batch, ok)
	}
	l.expiryFailed(batch)
	if _, ok := l.checkExpired(time.Second + expiryCheckInterval - 1); ok {
		t.Error("checked again within the interval")
	}
	if wait := l.untilExpiryCheck(time.Second); wait != expiryCheckInterval {
		t.Errorf("the next check is in %v, want %v", wait, expiryCheckInterval)
	}
	again, ok := l.checkExpired(time.Second + expiryCheckInterval)
	if !ok || len(again.due) != 4 {
		t.Errorf("after a failed commit: %+v, %v, want 4 leases due", again, ok)
	}
	l.begin(2, 2*time.Second, leases(4, time.Second))
	l.expiryFailed(again)
	if next, ok := l.checkExpired(2 * time.Second); !ok || len(next.due) != 0 || next.term != 2 {
		t.Errorf("in the next leadership: %+v, %v, want none due in term 2", next, ok)
	}
}

// A batch reports when expiry is suspended and when it is resumed.
func TestExpiryBatchReportsSuspension(t *testing.T) {
	l := newLeadership()
	l.begin(1, 0, leases(10, time.Second))
	if batch, ok := l.checkExpired(time.Second); !ok || batch.change != expirySuspended || len(batch.due) != 0 || !l.expirySuspended() {
		t.Errorf("when all leases expire: %+v, %v, want a suspension", batch, ok)
	}
	if batch, ok := l.checkExpired(2 * time.Second); !ok || batch.change != suspensionUnchanged {
		t.Errorf("while suspended: %+v, %v, want no change of the suspension", batch, ok)
	}
	for n := range 10 {
		if !l.renew(2*time.Second, InstanceRef{fmt.Sprintf("s-%02d", n), 1}, time.Second) {
			t.Errorf("renewal %d fails", n)
		}
	}
	if batch, ok := l.checkExpired(2*time.Second + expiryCheckInterval); !ok || batch.change != expiryResumed || l.expirySuspended() {
		t.Errorf("after the renewals: %+v, %v, want the end of the suspension", batch, ok)
	}
}
