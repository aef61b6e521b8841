package registry

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// The numbers of changes and tombstones are bounded: the oldest ones are dropped.
func TestHistoryIsBounded(t *testing.T) {
	s := NewState(0)
	for n := range 2*maxTombstones + 10 {
		id := fmt.Sprint("s-", n)
		s.Apply(Command{Kind: Register, Entry: entry(id, 1), Incarnation: 1})
		s.Apply(Command{Kind: Remove, ID: id, Incarnation: 1})
	}
	if len(s.changes) != maxChanges || len(s.tombstones) != maxTombstones || len(s.tombstoneOrder) != maxTombstones || s.Len() != 0 {
		t.Errorf("%d changes, want %d; %d tombstones, %d in tombstoneOrder, want %d; %d entries, want 0",
			len(s.changes), maxChanges, len(s.tombstones), len(s.tombstoneOrder), maxTombstones, s.Len())
	}
	if _, ok := s.ChangesSince(s.Generation() - maxChanges); !ok {
		t.Error("the oldest retained change is not returned")
	}
	if _, ok := s.ChangesSince(s.Generation() - maxChanges - 1); ok {
		t.Error("a dropped change is returned")
	}
}

// An invalid registration is rejected with the name of the field, and changes nothing.
func TestInvalidRegistrations(t *testing.T) {
	for field, change := range map[string]func(*Command){
		"instanceId":  func(c *Command) { c.Entry.ID = strings.Repeat("x", 1<<20) },
		"hostPort":    func(c *Command) { c.Entry.Addr = "nowhere" },
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
			t.Errorf("invalid %s: %+v, want code invalid, a message with the field and generation 0", field, o)
		}
	}
	s := NewState(0)
	s.Apply(Command{Kind: Register, Entry: entry("s-a", 1), Incarnation: 1})
	if o := s.Apply(Command{Kind: Register, Entry: entry("s-b", 1), Incarnation: 1}); o.Code != AddressConflict || !strings.Contains(o.Message, "s-a") {
		t.Errorf("registration of an address in use: %+v, want code taken and a message with s-a", o)
	}
}

// Callers can get the name of the field from the error of an invalid registration.
func TestFieldErrors(t *testing.T) {
	c := Command{Kind: Register, Entry: entry("s-a", 1)}
	var field *FieldError
	if err := ValidateRegistration(c); !errors.As(err, &field) || field.Field != "incarnation" || field.Reason == "" {
		t.Errorf("error %v, want a FieldError for incarnation", err)
	}
	c.Entry.ID, c.Entry.Zone = "", "a\nb"
	err := ValidateRegistration(c)
	if !errors.As(err, &field) || field.Field != "instanceId" || !strings.Contains(err.Error(), "zone: ") {
		t.Errorf("two invalid names: error %v, want both fields", err)
	}
}

// The list has room for the largest fleet and a quarter more. An entry above the maximum is rejected with an
// error that contains the maximum, and accepted after another entry has been removed.
func TestListCapacity(t *testing.T) {
	if MaxEntries < maxFleetEntries*5/4 {
		t.Errorf("the maximum is %d entries, want a quarter more than %d", MaxEntries, maxFleetEntries)
	}
	s := NewState(0)
	fillList(t, s, MaxEntries)
	next := Command{Kind: Register, Entry: numberedEntry(MaxEntries), Incarnation: 1}
	before := s.Generation()
	if o := s.Apply(next); o.Code != ListFull || !strings.Contains(o.Message, fmt.Sprint(MaxEntries)) || s.Generation() != before || s.Len() != MaxEntries {
		t.Errorf("one entry above the maximum: %+v, %d entries; want code too-many with %d entries", o, s.Len(), MaxEntries)
	}
	again := numberedEntry(0) // a registered instance
	if o := s.Apply(Command{Kind: Register, Entry: again, Incarnation: 2}); o.Code != Done {
		t.Errorf("new incarnation of a registered instance: %+v, want code done", o)
	}
	s.Apply(Command{Kind: Remove, ID: again.ID})
	if o := s.Apply(next); o.Code != Done || s.Len() != MaxEntries {
		t.Errorf("after the removal of another entry: %+v, %d entries; want code done with %d entries", o, s.Len(), MaxEntries)
	}
}
