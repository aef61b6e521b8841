package discovery

import (
	"errors"
	"testing"
)

// Validate rejects messages that a list service would not write. The error names the field.
func TestValidate(t *testing.T) {
	good := Entry{ID: "a", Addr: "127.0.0.1:1", Lifecycle: Up, Weight: 1}
	message := func(snapshot bool, change func(e *Entry)) Message {
		e := good
		change(&e)
		return Message{Generation: 1, Snapshot: snapshot, Entries: []Entry{good, e}}
	}
	for _, c := range []struct {
		name  string
		m     Message
		field string // field named by the error; "" if the message is valid
	}{
		{"snapshot", message(true, func(*Entry) {}), ""},
		{"empty snapshot", Message{Generation: 1, Snapshot: true}, ""},
		{"removal without an address", message(false, func(e *Entry) { e.Lifecycle, e.Addr = Removed, "" }), ""},
		{"no generation", Message{Snapshot: true}, "generation"},
		{"no id", message(true, func(e *Entry) { e.ID = "" }), "instances[1].instanceId"},
		{"removal in a snapshot", message(true, func(e *Entry) { e.Lifecycle = Removed }), "instances[1].lifecycle"},
		{"unknown lifecycle", message(false, func(e *Entry) { e.Lifecycle = "odd" }), "instances[1].lifecycle"},
		{"negative weight", message(false, func(e *Entry) { e.Weight = -1 }), "instances[1].weight"},
		{"no address", message(false, func(e *Entry) { e.Addr = "nowhere" }), "instances[1].hostPort"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.m.Validate()
			var field *FieldError
			switch {
			case c.field == "" && err != nil:
				t.Errorf("rejected: %v", err)
			case c.field != "" && (!errors.As(err, &field) || field.Field != c.field):
				t.Errorf("error %v, want one for field %s", err, c.field)
			}
		})
	}
}
