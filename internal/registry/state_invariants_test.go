package registry

import (
	"encoding/json"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawCommand chooses from few instances, addresses and incarnations, so that commands conflict.
func drawCommand(t *rapid.T) Command {
	id := rapid.SampledFrom([]string{"s-a", "s-b", "s-c", "s-d"}).Draw(t, "id")
	incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	switch rapid.SampledFrom([]string{Register, Register, Drain, Remove, Expire}).Draw(t, "kind") {
	case Register:
		e := entry(id, rapid.IntRange(1, 5).Draw(t, "port"))
		lease := rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "lease")
		return Command{Kind: Register, Entry: e, Incarnation: incarnation, Lease: lease}
	case Drain:
		return Command{Kind: Drain, ID: id, Incarnation: incarnation - 1}
	case Remove:
		return Command{Kind: Remove, ID: id, Incarnation: incarnation - 1}
	}
	return Command{Kind: Expire, Expired: []InstanceRef{{id, incarnation}, {"s-a", 1}}}
}

// changeReader follows the list by changes from its last generation. It reads the full list if they are not
// retained.
type changeReader struct {
	generation uint64
	list       map[string]Entry
}

// catchUp advances the reader to the current generation.
func (r *changeReader) catchUp(s *State) {
	changes, ok := s.ChangesSince(r.generation)
	if !ok {
		r.list = map[string]Entry{}
		for _, e := range s.List() {
			r.list[e.ID] = e
		}
	}
	for _, c := range changes {
		for _, e := range c.Entries {
			if r.list[e.ID] = e; e.Lifecycle == Removed {
				delete(r.list, e.ID)
			}
		}
	}
	r.generation = s.Generation()
}

// invariantChecker applies commands to a state machine and checks its invariants after each of them.
type invariantChecker struct {
	apply   func(*State, Command) Outcome
	state   *State
	replica *State            // gets the same commands, each twice, or is replaced by a snapshot
	seen    map[uint64]string // list in JSON, by generation
	newest  map[string]uint64 // largest registered incarnation, by instance
	reader  *changeReader
}

// checkInvariants executes random commands with apply. It returns the first violated invariant, or "".
func checkInvariants(t *rapid.T, apply func(*State, Command) Outcome) (violated string) {
	checker := &invariantChecker{
		apply:   apply,
		state:   NewState(0),
		replica: NewState(0),
		seen:    map[uint64]string{},
		newest:  map[string]uint64{},
		reader:  &changeReader{list: map[string]Entry{}},
	}
	for range rapid.IntRange(1, 60).Draw(t, "commands") {
		if violated := checker.step(t, drawCommand(t)); violated != "" {
			return violated
		}
	}
	return checker.checkReader()
}

// step executes one command and checks the invariants.
func (ch *invariantChecker) step(t *rapid.T, c Command) (violated string) {
	before := ch.state.Generation()
	o := ch.apply(ch.state, c)
	if violated := ch.checkGeneration(t, before, o); violated != "" {
		return violated
	}
	if violated := ch.checkIncarnations(c, o); violated != "" {
		return violated
	}
	if again := ch.apply(ch.state, c); again.Code == Done && c.Incarnation > 0 {
		return "a repeated command changes the list"
	}
	if violated := ch.checkAddresses(); violated != "" {
		return violated
	}
	if rapid.Bool().Draw(t, "reconnects") { // any sequence of reconnections gives the same list
		ch.reader.catchUp(ch.state)
	}
	if rapid.Bool().Draw(t, "snapshot") { // snapshot and rest of the log must equal the full log
		ch.replica = copyState(t, ch.state)
	} else {
		ch.apply(ch.replica, c)
		ch.apply(ch.replica, c)
	}
	if mustJSON(t, ch.state) != mustJSON(t, ch.replica) {
		return "a snapshot and the log after it give a different state"
	}
	return ""
}

func (ch *invariantChecker) checkGeneration(t *rapid.T, before uint64, o Outcome) (violated string) {
	after := ch.state.Generation()
	text, err := json.Marshal(ch.state.List())
	if err != nil {
		t.Fatal(err)
	}
	list := string(text)
	switch {
	case o.Generation != after || after < before:
		return "the generation decreases, or the outcome has another generation"
	case (o.Code == Done) != (after == before+1) || o.Code != Done && after != before:
		return "a change does not create exactly one generation"
	case ch.seen[after] != "" && ch.seen[after] != list:
		return "a generation identifies two states"
	}
	ch.seen[after] = list
	return ""
}

func (ch *invariantChecker) checkIncarnations(c Command, o Outcome) (violated string) {
	const violation = "an older incarnation affects a newer one"
	if c.Kind == Register && o.Code == Done {
		if c.Incarnation < ch.newest[c.Entry.ID] {
			return violation
		}
		ch.newest[c.Entry.ID] = c.Incarnation
	}
	for id, r := range ch.state.records {
		if r.Incarnation < ch.newest[id] {
			return violation
		}
	}
	return ""
}

func (ch *invariantChecker) checkAddresses() (violated string) {
	used := map[string]bool{}
	for _, e := range ch.state.List() {
		if used[e.Addr] {
			return "two instances have the same address"
		}
		used[e.Addr] = true
	}
	return ""
}

// checkReader compares the list of the reader, which follows the changes, with the full list.
func (ch *invariantChecker) checkReader() (violated string) {
	ch.reader.catchUp(ch.state)
	full := &changeReader{generation: math.MaxUint64}
	full.catchUp(ch.state)
	if !maps.Equal(ch.reader.list, full.list) {
		return "the changes give a different list than the full list"
	}
	return ""
}

// copyState returns a copy of the state that is encoded and decoded like a snapshot.
func copyState(t *rapid.T, s *State) *State {
	restored := &State{}
	if err := json.Unmarshal([]byte(mustJSON(t, s)), restored); err != nil {
		t.Fatal(err)
	}
	return restored
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
		if violated := checkInvariants(t, (*State).Apply); violated != "" {
			t.Fatal(violated)
		}
	})
}

// The invariants must detect each of these faulty state machines.
func TestInvariantsDetectFaultyStates(t *testing.T) {
	for name, apply := range map[string]func(*State, Command) Outcome{
		"older incarnation accepted": func(s *State, c Command) Outcome {
			if r := s.records[c.Entry.ID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
				r.Incarnation = c.Incarnation
				r.Entry.Weight++
				return s.appendChange(r.Entry)
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
		"tombstones dropped": func(s *State, c Command) Outcome {
			o := s.Apply(c)
			clear(s.tombstones)
			s.tombstoneOrder = nil
			return o
		},
		"change without entries": func(s *State, c Command) Outcome {
			o := s.Apply(c)
			if o.Code == Done && c.Kind == Remove {
				s.changes[len(s.changes)-1].Entries = nil
			}
			return o
		},
	} {
		detected := ""
		for seed := 0; seed < 300 && detected == ""; seed++ {
			g := rapid.Custom(func(t *rapid.T) string { return checkInvariants(t, apply) })
			detected = g.Example(seed)
		}
		if detected == "" {
			t.Errorf("%s: not detected", name)
		}
	}
}
