package discovery

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A watch of one message on each line is read line by line, to its end, its error or the first malformed line.
func TestLineReader(t *testing.T) {
	errBroken := errors.New("connection reset")
	const good = `{"generation":3,"reset":true,"instances":[]}`
	for _, c := range []struct {
		name, text string
		end        error // of the body; nil: io.EOF
		generation []uint64
		heartbeats int
		malformed  string // the line; "" for none
	}{
		{name: "empty", text: ""},
		{name: "heartbeats", text: "\n\r\n\n", heartbeats: 3},
		{name: "messages", text: "\n" + good + "\n\n" + `{"generation":4}` + "\n", generation: []uint64{3, 4}, heartbeats: 2},
		{name: "no line end at the end", text: good, generation: []uint64{3}},
		{name: "over two lines", text: "{\"generation\":3,\n\"instances\":[]}\n", malformed: `{"generation":3,`},
		{name: "cut", text: good + "\n" + good[:20], generation: []uint64{3}, malformed: good[:20]},
		{name: "blank", text: " \n", malformed: " "},
		{name: "wrong type", text: `{"generation":"3"}` + "\n", malformed: `{"generation":"3"}`},
		{name: "reset", text: good + "\n", end: errBroken, generation: []uint64{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var body io.Reader = strings.NewReader(c.text)
			wantEnd := io.EOF
			if c.end != nil {
				body, wantEnd = io.MultiReader(body, iotest.ErrReader(c.end)), c.end
			}
			lines := NewLineReader(body, 1000)
			heartbeats := 0
			var generations []uint64
			for {
				m, heartbeat, err := lines.Next()
				var malformed *MalformedLineError
				if errors.As(err, &malformed) {
					if malformed.Line != c.malformed {
						t.Errorf("malformed line %q, want %q", malformed.Line, c.malformed)
					}
					break
				}
				if err != nil {
					if !errors.Is(err, wantEnd) || c.malformed != "" {
						t.Errorf("ends with %v, want %v or malformed line %q", err, wantEnd, c.malformed)
					}
					break
				}
				if heartbeat {
					heartbeats++
				} else {
					generations = append(generations, m.Generation)
				}
			}
			if len(generations) != len(c.generation) || heartbeats != c.heartbeats {
				t.Errorf("generations %v and %d heartbeats, want %v and %d", generations, heartbeats, c.generation, c.heartbeats)
			}
		})
	}
	if _, _, err := NewLineReader(strings.NewReader(strings.Repeat("x", 1001)), 1000).Next(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a line beyond the bound: error %v", err)
	}
}

// A message that no list service writes is rejected, and the error names the field.
func TestValidate(t *testing.T) {
	good := Entry{InstanceID: "a", HostPort: "127.0.0.1:1", Lifecycle: Up, Weight: 1}
	message := func(reset bool, change func(e *Entry)) Message {
		e := good
		change(&e)
		return Message{Generation: 1, Reset: reset, Instances: []Entry{good, e}}
	}
	for _, c := range []struct {
		name  string
		m     Message
		field string // "": it is valid
	}{
		{"snapshot", message(true, func(*Entry) {}), ""},
		{"empty snapshot", Message{Generation: 1, Reset: true}, ""},
		{"removal without an address", message(false, func(e *Entry) { e.Lifecycle, e.HostPort = Removed, "" }), ""},
		{"no generation", Message{Reset: true}, "generation"},
		{"no id", message(true, func(e *Entry) { e.InstanceID = "" }), "instances[1].instanceId"},
		{"removal in a snapshot", message(true, func(e *Entry) { e.Lifecycle = Removed }), "instances[1].lifecycle"},
		{"unknown lifecycle", message(false, func(e *Entry) { e.Lifecycle = "odd" }), "instances[1].lifecycle"},
		{"negative weight", message(false, func(e *Entry) { e.Weight = -1 }), "instances[1].weight"},
		{"no address", message(false, func(e *Entry) { e.HostPort = "nowhere" }), "instances[1].hostPort"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.m.Validate()
			var field *FieldError
			switch {
			case c.field == "" && err != nil:
				t.Errorf("rejected: %v", err)
			case c.field != "" && (!errors.As(err, &field) || field.Field != c.field):
				t.Errorf("error %v, want one of %s", err, c.field)
			}
		})
	}
}
