package registry

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

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
		t.Error("the oldest change that is kept is not returned")
	}
	if _, ok := s.ChangesSince(s.Generation() - maxChanges - 1); ok {
		t.Error("a change that is not kept is returned")
	}
}

// An invalid registration is rejected with the field's name, and changes nothing.
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

// The error of an invalid registration holds the field's name for callers.
func TestFieldErrors(t *testing.T) {
	c := Command{Kind: Register, Entry: entry("s-a", 1)}
	var field *FieldError
	if err := ValidateRegistration(c); !errors.As(err, &field) || field.Field != "incarnation" || field.Reason == "" {
		t.Errorf("error %v", err)
	}
	c.Entry.InstanceID, c.Entry.Zone = "", "a\nb"
	err := ValidateRegistration(c)
	if !errors.As(err, &field) || field.Field != "instanceId" || !strings.Contains(err.Error(), "zone: ") {
		t.Errorf("of two invalid names: %v", err)
	}
}

// The plan's list is accepted, with headroom; one entry more than the bound is rejected with the bound, and accepted when
// another was removed.
func TestListCapacity(t *testing.T) {
	if MaxEntries < planEntries*5/4 {
		t.Errorf("the bound is %d entries, the plan's are %d", MaxEntries, planEntries)
	}
	s := NewState(0)
	fillList(t, s, MaxEntries)
	next := Command{Kind: Register, Entry: numberedEntry(MaxEntries), Incarnation: 1}
	before := s.Generation()
	if o := s.Apply(next); o.Code != ListFull || !strings.Contains(o.Message, fmt.Sprint(MaxEntries)) || s.Generation() != before || s.Len() != MaxEntries {
		t.Errorf("one more than the bound: %+v, %d entries", o, s.Len())
	}
	again := numberedEntry(0) // of an instance that is there
	if o := s.Apply(Command{Kind: Register, Entry: again, Incarnation: 2}); o.Code != Done {
		t.Errorf("a new start of one that is there: %+v", o)
	}
	s.Apply(Command{Kind: Remove, ID: again.InstanceID})
	if o := s.Apply(next); o.Code != Done || s.Len() != MaxEntries {
		t.Errorf("after another has gone: %+v, %d entries", o, s.Len())
	}
}
