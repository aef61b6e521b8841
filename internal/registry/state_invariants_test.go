package registry

import (
	"encoding/json"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
