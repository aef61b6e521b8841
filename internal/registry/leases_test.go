package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leases returns n leases with the given term, of instances s-00, s-01 and so on.
func leases(n int, term time.Duration) (ls []Lease) {
	for i := range n {
		ls = append(ls, Lease{InstanceRef{fmt.Sprintf("s-%02d", i), 1}, term})
	}
	return ls
}

// A lease expires exactly one term after its last renewal, or after the leader began. A renewal by another
// incarnation has no effect.
func TestLeaseExpiry(t *testing.T) {
	l := NewLeases(100*time.Second, leases(20, 10*time.Second), defaultSelfPreservation)
	if due := l.Due(109 * time.Second); due != nil {
		t.Errorf("due before a full term: %v", due)
	}
	for i := range 20 {
		if i > 0 && !l.Renew(109*time.Second, InstanceRef{fmt.Sprintf("s-%02d", i), 1}) {
			t.Errorf("renewal %d failed", i)
		}
	}
	if l.Renew(109*time.Second, InstanceRef{"s-00", 2}) {
		t.Error("renewed by another incarnation")
	}
	due := l.Due(110 * time.Second)
	if !slices.Equal(due, []InstanceRef{{"s-00", 1}}) {
		t.Fatalf("due: %v, want s-00", due)
	}
	if l.Renew(110*time.Second, due[0]) {
		t.Error("renewed while its expiry is being committed")
	}
	if again := l.Due(111 * time.Second); again != nil {
		t.Errorf("due again while its expiry is being committed: %v", again)
	}
	l.ExpiryFailed(due)
	if again := l.Due(112 * time.Second); len(again) != 1 {
		t.Errorf("due after a failed commit: %v, want one lease", again)
	}
	l.Drop("s-00")
}

// When all leases expire at once, none is due during the suspension, and afterwards one after another. Leases
// that are renewed in the meantime do not expire.
func TestMassExpiryIsSuspended(t *testing.T) {
	l := NewLeases(0, leases(20, 10*time.Second), defaultSelfPreservation)
	now, expired := 10*time.Second, 0
	if due := l.Due(now); due != nil {
		t.Fatalf("due when all leases expire at once: %v, want none", due)
	}
	if !l.Suspended() {
		t.Fatal("expiry is not suspended")
	}
	for now += time.Second; now < 30*time.Second; now += time.Second {
		due := l.Due(now)
		if len(due) > 1 || now < 20*time.Second && len(due) > 0 {
			t.Errorf("due at %v: %v, want none before 20 s and one at most afterwards", now, due)
		}
		for _, ref := range due {
			expired++
			l.Drop(ref.ID)
		}
	}
	if expired < 3 || expired > 6 {
		t.Errorf("%d leases expired in the ten seconds after the suspension, want one every two seconds", expired)
	}
	for i := range 20 {
		l.Renew(now, InstanceRef{fmt.Sprintf("s-%02d", i), 1})
	}
	if l.Due(now); l.Suspended() {
		t.Error("expiry is still suspended after all leases have been renewed")
	}
}

// The queue finds the same leases as a scan of all leases, after any sequence of grants, renewals, failed
// expiries and removals.
func TestLeaseQueueMatchesScan(t *testing.T) {
	neverSuspends := SelfPreservation{MaxExpiringFraction: 1, Window: time.Second, SlowInterval: time.Second, MinLeases: 5}
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLeases(0, leases(4, 10*time.Second), neverSuspends), time.Duration(0)
		var expiring []InstanceRef
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprintf("s-%02d", rapid.IntRange(0, 7).Draw(t, "instance"))
			ref := InstanceRef{id, rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.Grant(now, Lease{ref, time.Duration(rapid.IntRange(1, 12).Draw(t, "term")) * time.Second})
			case 1, 2:
				l.Renew(now, ref)
			case 3:
				l.Drop(ref.ID)
			case 4:
				l.ExpiryFailed(expiring)
				expiring = nil
			case 5:
				expiring = append(expiring, checkDue(t, l, now)...)
			}
			checkNextDue(t, l, now)
		}
	})
}

// checkDue compares the leases that are due with the result of a scan, and returns them.
func checkDue(t *rapid.T, l *Leases, now time.Duration) []InstanceRef {
	var want []InstanceRef
	for _, entry := range sortedLeases(l) {
		if !entry.expiring && entry.expiresAt <= now {
			want = append(want, entry.InstanceRef)
		}
	}
	due := l.Due(now)
	if fmt.Sprint(due) != fmt.Sprint(want) {
		t.Fatalf("due at %v: %v, want %v as a scan finds", now, due, want)
	}
	return due
}

// checkNextDue compares the earliest due time and the length of the queue with the result of a scan.
func checkNextDue(t *rapid.T, l *Leases, now time.Duration) {
	first, waiting := time.Duration(-1), 0
	for _, entry := range l.entries {
		if entry.expiring {
			continue
		}
		waiting++
		if first < 0 || entry.expiresAt < first {
			first = entry.expiresAt
		}
	}
	at, ok := l.NextDue(now)
	if ok != (waiting > 0) || ok && at != max(first, now) || len(l.queue) != waiting {
		t.Fatalf("next due at %v (%v), want %v as a scan finds; %d leases in the queue, want %d", at, ok, first, len(l.queue), waiting)
	}
}

// sortedLeases returns all leases, sorted by instance.
func sortedLeases(l *Leases) (all []*leaseEntry) {
	for n := range 8 {
		if entry := l.entries[fmt.Sprintf("s-%02d", n)]; entry != nil {
			all = append(all, entry)
		}
	}
	return all
}

// When a zone of the largest fleet or one of four regions is lost, all of its leases must be due together.
// Only a larger loss suspends expiry.
func TestLostZoneDoesNotSuspendExpiry(t *testing.T) {
	const term, entries = 10 * time.Second, maxFleetEntries / 10
	for name, c := range map[string]struct {
		lostOneIn int // one in lostOneIn instances is lost
		suspended bool
	}{"zone": {15, false}, "region": {4, false}, "half": {2, true}} {
		l := NewLeases(0, nil, defaultSelfPreservation)
		var lost []InstanceRef
		for n := range entries {
			ref := InstanceRef{numberedEntry(n).ID, 1}
			l.Grant(0, Lease{ref, term})
			if n%c.lostOneIn == 0 {
				lost = append(lost, ref)
			}
		}
		for at := term / 3; at < term; at += term / 3 {
			for n := range entries {
				if n%c.lostOneIn != 0 && !l.Renew(at, InstanceRef{numberedEntry(n).ID, 1}) {
					t.Fatalf("%s: %d is not renewed", name, n)
				}
			}
			if due := l.Due(at); due != nil {
				t.Fatalf("%s: %d due at %v", name, len(due), at)
			}
		}
		due := l.Due(term)
		if suspended := l.Suspended(); suspended != c.suspended {
			t.Errorf("%s: expiry is suspended: %v, want %v", name, suspended, c.suspended)
		}
		if c.suspended {
			lost = nil
		}
		if !slices.Equal(due, lost) {
			t.Errorf("%s: %d leases due, want %d", name, len(due), len(lost))
		}
	}
}

// Measures how long the leader takes to find the lease that expires first among 200,000 leases, which it does
// after each change: with the queue and, for comparison, with a scan of all leases.
func BenchmarkNextLease(b *testing.B) {
	l := NewLeases(0, nil, defaultSelfPreservation)
	for n := range maxFleetEntries {
		l.Grant(time.Duration(n)*time.Microsecond, Lease{InstanceRef{numberedEntry(n).ID, 1}, 10 * time.Second})
	}
	b.Run("queue", func(b *testing.B) {
		for b.Loop() {
			l.NextDue(time.Second)
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			first := time.Duration(-1)
			for _, entry := range l.entries {
				if !entry.expiring && (first < 0 || entry.expiresAt < first) {
					first = entry.expiresAt
				}
			}
		}
	})
}
