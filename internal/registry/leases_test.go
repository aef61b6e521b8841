package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func leases(n int, term time.Duration) (ls []Lease) {
	for i := range n {
		ls = append(ls, Lease{InstanceRef{fmt.Sprintf("s-%02d", i), 1}, term})
	}
	return ls
}

// A lease runs out a full term after its last renewal or after the leader began, and not
// before; a renewal by another incarnation does not count.
func TestLeaseExpiry(t *testing.T) {
	l := NewLeases(100*time.Second, leases(20, 10*time.Second), defaultSelfPreservation)
	if due := l.Due(109 * time.Second); due != nil {
		t.Errorf("due before a full term: %v", due)
	}
	for i := range 20 {
		if i > 0 && !l.Renew(109*time.Second, InstanceRef{fmt.Sprintf("s-%02d", i), 1}) {
			t.Errorf("renewal %d refused", i)
		}
	}
	if l.Renew(109*time.Second, InstanceRef{"s-00", 2}) {
		t.Error("another incarnation renewed")
	}
	due := l.Due(110 * time.Second)
	if !slices.Equal(due, []InstanceRef{{"s-00", 1}}) {
		t.Fatalf("due %v", due)
	}
	if l.Renew(110*time.Second, due[0]) {
		t.Error("renewed while its expiry is under way")
	}
	if again := l.Due(111 * time.Second); again != nil {
		t.Errorf("due again while under way: %v", again)
	}
	l.ExpiryFailed(due)
	if again := l.Due(112 * time.Second); len(again) != 1 {
		t.Errorf("after a failed commit due %v", again)
	}
	l.Drop("s-00")
}

// When everybody's lease runs out at once it is the service that is ill: nobody is expired for
// a while, then one by one; what is renewed meanwhile stays.
func TestMassExpirySuspends(t *testing.T) {
	l := NewLeases(0, leases(20, 10*time.Second), defaultSelfPreservation)
	now, gone := 10*time.Second, 0
	if due := l.Due(now); due != nil {
		t.Fatalf("all at once: %v", due)
	}
	if !l.Suspended() {
		t.Fatal("not paused")
	}
	for now += time.Second; now < 30*time.Second; now += time.Second {
		due := l.Due(now)
		if len(due) > 1 || now < 20*time.Second && len(due) > 0 {
			t.Errorf("at %v: %v", now, due)
		}
		for _, o := range due {
			gone++
			l.Drop(o.ID)
		}
	}
	if gone < 3 || gone > 6 {
		t.Errorf("%d gone in the ten seconds after the pause, one for each two seconds wanted", gone)
	}
	for i := range 20 {
		l.Renew(now, InstanceRef{fmt.Sprintf("s-%02d", i), 1})
	}
	if l.Due(now); l.Suspended() {
		t.Error("still paused when all is well")
	}
}

// The leases' queue tells what a scan of all of them tells, after any grants, renewals, expiries
// that fail and instances that go.
func TestLeaseQueueMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLeases(0, leases(4, 10*time.Second), SelfPreservation{MaxExpiringFraction: 1, Window: time.Second, SlowInterval: time.Second, MinLeases: 5}), time.Duration(0)
		var out []InstanceRef
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			o := InstanceRef{fmt.Sprintf("s-%02d", rapid.IntRange(0, 7).Draw(t, "instance")), rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.Grant(now, Lease{o, time.Duration(rapid.IntRange(1, 12).Draw(t, "term")) * time.Second})
			case 1, 2:
				l.Renew(now, o)
			case 3:
				l.Drop(o.ID)
			case 4:
				l.ExpiryFailed(out)
				out = nil
			case 5:
				var want []InstanceRef
				for _, h := range sortedLeases(l) {
					if !h.expiring && h.expiresAt <= now {
						want = append(want, h.InstanceRef)
					}
				}
				due := l.Due(now)
				if fmt.Sprint(due) != fmt.Sprint(want) {
					t.Fatalf("due at %v: %v, a scan finds %v", now, due, want)
				}
				out = append(out, due...)
			}
			first, waiting := time.Duration(-1), 0
			for _, h := range l.entries {
				if !h.expiring {
					waiting++
					if first < 0 || h.expiresAt < first {
						first = h.expiresAt
					}
				}
			}
			at, ok := l.NextDue(now)
			if ok != (waiting > 0) || ok && at != max(first, now) || len(l.queue) != waiting {
				t.Fatalf("next at %v (%v), a scan finds %v; %d of %d in the queue", at, ok, first, len(l.queue), waiting)
			}
		}
	})
}

// leasesOf lists what is held, sorted by instance.
func sortedLeases(l *Leases) (all []*leaseEntry) {
	for n := range 8 {
		if h := l.entries[fmt.Sprintf("s-%02d", n)]; h != nil {
			all = append(all, h)
		}
	}
	return all
}

// A zone of the plan that dies runs out together and is taken out together; so is a region of four.
// Only what is larger is taken for an illness of the service.
func TestLostZoneDoesNotSuspendExpiry(t *testing.T) {
	const term, entries = 10 * time.Second, planEntries / 10
	for name, c := range map[string]struct {
		share  int // one instance in so many is lost
		paused bool
	}{"zone": {15, false}, "region": {4, false}, "half": {2, true}} {
		l := NewLeases(0, nil, defaultSelfPreservation)
		var lost []InstanceRef
		for n := range entries {
			o := InstanceRef{numberedEntry(n).InstanceID, 1}
			l.Grant(0, Lease{o, term})
			if n%c.share == 0 {
				lost = append(lost, o)
			}
		}
		for at := term / 3; at < term; at += term / 3 {
			for n := range entries {
				if n%c.share != 0 && !l.Renew(at, InstanceRef{numberedEntry(n).InstanceID, 1}) {
					t.Fatalf("%s: %d is not renewed", name, n)
				}
			}
			if due := l.Due(at); due != nil {
				t.Fatalf("%s: %d due at %v", name, len(due), at)
			}
		}
		due := l.Due(term)
		if paused := l.Suspended(); paused != c.paused {
			t.Errorf("%s: expiry is paused: %v", name, paused)
		}
		if c.paused {
			lost = nil
		}
		if !slices.Equal(due, lost) {
			t.Errorf("%s: %d are due, %d were lost", name, len(due), len(lost))
		}
	}
}

// What the leader looks at after each change of a list of 200,000 leases: the lease that runs out
// first, by the queue and, as a measure, by a scan of all.
func BenchmarkNextLease(b *testing.B) {
	l := NewLeases(0, nil, defaultSelfPreservation)
	for n := range planEntries {
		l.Grant(time.Duration(n)*time.Microsecond, Lease{InstanceRef{numberedEntry(n).InstanceID, 1}, 10 * time.Second})
	}
	b.Run("queue", func(b *testing.B) {
		for b.Loop() {
			l.NextDue(time.Second)
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			first := time.Duration(-1)
			for _, h := range l.entries {
				if !h.expiring && (first < 0 || h.expiresAt < first) {
					first = h.expiresAt
				}
			}
		}
	})
}
