package registry

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func entry(id string, port int) Entry {
	return Entry{InstanceID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", port), Zone: "a", MachineType: "m", Lifecycle: Up, Weight: 1}
}

// drawCommand draws from few instances, addresses and incarnations, so that they meet.
func drawCommand(t *rapid.T) Command {
	id := rapid.SampledFrom([]string{"s-a", "s-b", "s-c", "s-d"}).Draw(t, "id")
	inc := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	switch rapid.SampledFrom([]string{Register, Register, Drain, Remove, Expire}).Draw(t, "kind") {
	case Register:
		e := entry(id, rapid.IntRange(1, 5).Draw(t, "port"))
		lease := rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "lease")
		return Command{Kind: Register, Entry: e, Incarnation: inc, Lease: lease}
	case Drain:
		return Command{Kind: Drain, ID: id, Incarnation: inc - 1}
	case Remove:
		return Command{Kind: Remove, ID: id, Incarnation: inc - 1}
	}
	return Command{Kind: Expire, Expired: []InstanceRef{{id, inc}, {"s-a", 1}}}
}

// follower is a reader of the list: by changes alone, from wherever it last was.
type changeReader struct {
	at   uint64
	list map[string]Entry
}

func (f *changeReader) catchUp(s *State) {
	changes, ok := s.ChangesSince(f.at)
	if !ok {
		f.list = map[string]Entry{}
		for _, e := range s.List() {
			f.list[e.InstanceID] = e
		}
	}
	for _, c := range changes {
		for _, e := range c.Entries {
			if f.list[e.InstanceID] = e; e.Lifecycle == Removed {
				delete(f.list, e.InstanceID)
			}
		}
	}
	f.at = s.Generation()
}

// laws checks what must hold of any state machine of the list, over any commands. It returns
// the first law that apply breaks.
func checkInvariants(t *rapid.T, apply func(*State, Command) Outcome) (broken string) {
	s, twin := NewState(0), NewState(0)
	seen := map[uint64]string{}   // what each generation was
	newest := map[string]uint64{} // incarnation that each instance has ever had
	f := &changeReader{list: map[string]Entry{}}
	for range rapid.IntRange(1, 60).Draw(t, "commands") {
		c := drawCommand(t)
		before := s.Generation()
		o := apply(s, c)
		list, _ := json.Marshal(s.List())
		switch {
		case o.Generation != s.Generation() || s.Generation() < before:
			return "a generation goes back"
		case (o.Code == Done) != (s.Generation() == before+1) || o.Code != Done && s.Generation() != before:
			return "a change is not one generation"
		case seen[s.Generation()] != "" && seen[s.Generation()] != string(list):
			return "a generation names two states"
		}
		seen[s.Generation()] = string(list)
		if c.Kind == Register && o.Code == Done {
			if c.Incarnation < newest[c.Entry.InstanceID] {
				return "an older incarnation touches a newer"
			}
			newest[c.Entry.InstanceID] = c.Incarnation
		}
		for id, r := range s.records {
			if r.Incarnation < newest[id] {
				return "an older incarnation touches a newer"
			}
		}
		if again := apply(s, c); again.Code == Done && c.Incarnation > 0 {
			return "a command sent again changes the list"
		}
		addrs := map[string]bool{}
		for _, e := range s.List() {
			if addrs[e.HostPort] {
				return "two instances have one address"
			}
			addrs[e.HostPort] = true
		}
		if rapid.Bool().Draw(t, "reconnects") { // by any chain of these the list is the same
			f.catchUp(s)
		}
		if rapid.Bool().Draw(t, "snapshot") { // log replayed equals snapshot and the rest of the log
			text, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			restored := &State{}
			if err := json.Unmarshal(text, restored); err != nil {
				t.Fatal(err)
			}
			twin = restored
		} else {
			apply(twin, c)
			apply(twin, c)
		}
		if a, b := mustJSON(t, s), mustJSON(t, twin); a != b {
			return "a snapshot and the rest of the log give another state"
		}
	}
	f.catchUp(s)
	if want := (&changeReader{list: map[string]Entry{}}); true {
		want.at = math.MaxUint64
		want.catchUp(s)
		if !maps.Equal(f.list, want.list) {
			return "changes give another list than the whole one"
		}
	}
	return ""
}

func mustJSON(t *rapid.T, s *State) string {
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := checkInvariants(t, (*State).Apply); broken != "" {
			t.Fatal(broken)
		}
	})
}

// A state machine that is wrong in one way is caught by the laws.
func TestInvariantsCatchBrokenStates(t *testing.T) {
	for name, apply := range map[string]func(*State, Command) Outcome{
		"older incarnation accepted": func(s *State, c Command) Outcome {
			if r := s.records[c.Entry.InstanceID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
				r.Incarnation = c.Incarnation
				r.Entry.Weight++
				return s.commit(r.Entry)
			}
			return s.Apply(c)
		},
		"generation used twice": func(s *State, c Command) Outcome {
			o := s.Apply(c)
			if o.Code == Done && c.Kind == Drain {
				s.changeCount--
				s.changes = s.changes[:len(s.changes)-1]
				o.Generation--
			}
			return o
		},
		"tombstones forgotten": func(s *State, c Command) Outcome {
			o := s.Apply(c)
			clear(s.tombstones)
			s.tombstoneOrder = nil
			return o
		},
		"change not told": func(s *State, c Command) Outcome {
			o := s.Apply(c)
			if o.Code == Done && c.Kind == Remove {
				s.changes[len(s.changes)-1].Entries = nil
			}
			return o
		},
	} {
		caught := ""
		for seed := 0; seed < 300 && caught == ""; seed++ {
			g := rapid.Custom(func(t *rapid.T) string { return checkInvariants(t, apply) })
			caught = g.Example(seed)
		}
		if caught == "" {
			t.Errorf("%s: not caught", name)
		}
	}
}

// A restored list begins an epoch: none of its generations was ever that of the list before,
// and no reader of that can go on from a change.
func TestRestoreStartsNewEpoch(t *testing.T) {
	s := NewState(0)
	for n := range 20 {
		s.Apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	r, err := s.RestoredInEpoch(3)
	if err != nil {
		t.Fatal(err)
	}
	if r.Generation() <= s.Generation() || !reflect.DeepEqual(r.List(), s.List()) {
		t.Errorf("generation %d after %d", r.Generation(), s.Generation())
	}
	for _, from := range []uint64{0, s.Generation(), s.Generation() + 1, r.Generation() + 1} {
		if _, ok := r.ChangesSince(from); ok {
			t.Errorf("a reader at %d goes on by changes", from)
		}
	}
	if _, err := r.RestoredInEpoch(3); err == nil {
		t.Error("an epoch was used twice")
	}
	if r.Generation() >= 1<<53 || uint64(MaxEpoch)<<epochBits+1<<epochBits-1 >= 1<<53 {
		t.Error("a generation is not exact in every JSON reader")
	}
}

// Old changes and tombstones are forgotten, within bounds.
func TestHistoryIsBounded(t *testing.T) {
	s := NewState(0)
	for n := range 2*maxTombstones + 10 {
		id := fmt.Sprint("s-", n)
		s.Apply(Command{Kind: Register, Entry: entry(id, 1), Incarnation: 1})
		s.Apply(Command{Kind: Remove, ID: id, Incarnation: 1})
	}
	if len(s.changes) != maxChanges || len(s.tombstones) != maxTombstones || len(s.tombstoneOrder) != maxTombstones || s.Len() != 0 {
		t.Errorf("%d changes, %d and %d tombstones, %d entries", len(s.changes), len(s.tombstones), len(s.tombstoneOrder), s.Len())
	}
	if _, ok := s.ChangesSince(s.Generation() - maxChanges); !ok {
		t.Error("the oldest change that is kept is not told")
	}
	if _, ok := s.ChangesSince(s.Generation() - maxChanges - 1); ok {
		t.Error("a change that is not kept is told")
	}
}

// What can't be registered is refused with the field's name, and changes nothing.
func TestInvalidRegistrations(t *testing.T) {
	for field, change := range map[string]func(*Command){
		"instanceId":  func(c *Command) { c.Entry.InstanceID = strings.Repeat("x", 1<<20) },
		"hostPort":    func(c *Command) { c.Entry.HostPort = "nowhere" },
		"zone":        func(c *Command) { c.Entry.Zone = "a\nb" },
		"machineType": func(c *Command) { c.Entry.MachineType = strings.Repeat("m", 65) },
		"lifecycle":   func(c *Command) { c.Entry.Lifecycle = "odd" },
		"weight":      func(c *Command) { c.Entry.Weight = -1 },
		"cell":        func(c *Command) { c.Entry.Cell = -1 },
		"startedAtMs": func(c *Command) { c.Entry.StartedAtMs = -1 },
		"incarnation": func(c *Command) { c.Incarnation = 0 },
		"leaseMs":     func(c *Command) { c.Lease = time.Millisecond },
	} {
		s := NewState(0)
		c := Command{Kind: Register, Entry: entry("s-a", 1), Incarnation: 1}
		change(&c)
		if o := s.Apply(c); o.Code != Invalid || !strings.HasPrefix(o.Message, field+":") || s.Generation() != 0 {
			t.Errorf("%s: %+v", field, o)
		}
	}
	s := NewState(0)
	s.Apply(Command{Kind: Register, Entry: entry("s-a", 1), Incarnation: 1})
	if o := s.Apply(Command{Kind: Register, Entry: entry("s-b", 1), Incarnation: 1}); o.Code != AddressConflict || !strings.Contains(o.Message, "s-a") {
		t.Errorf("one address twice: %+v", o)
	}
}

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
