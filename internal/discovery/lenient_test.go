package discovery

import (
	"errors"
	"strings"
	"testing"
)

// drainingEntry is a valid entry of a draining endpoint with the ID g.
const drainingEntry = `{"instanceId":"g","hostPort":"127.0.0.1:9","lifecycle":"draining","weight":1}`

// A malformed entry does not affect the other entries of its message. The error names the malformed field.
func TestParseLenientMalformedEntries(t *testing.T) {
	for _, c := range []struct {
		entry     string
		id        string // expected ID; "" if the entry is left out
		lifecycle string // expected lifecycle
		field     string // malformed field that must be reported
	}{
		{`{}`, "", "", "instanceId"},
		{`7`, "", "", "instanceId"},
		{`{"instanceId":7,"lifecycle":"draining"}`, "", "", "instanceId"},
		{`{"instanceId":"a","lifecycle":"odd","hostPort":"127.0.0.1:1"}`, "a", Draining, "lifecycle"},
		{`{"instanceId":"a","lifecycle":["up"],"hostPort":"127.0.0.1:1"}`, "a", Draining, "lifecycle"},
		{`{"instanceId":"a","hostPort":"127.0.0.1:1"}`, "a", Draining, "lifecycle"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"nowhere"}`, "a", Draining, "hostPort"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":7}`, "a", Draining, "hostPort"},
		{`{"instanceId":"a","lifecycle":"draining","hostPort":7,"weight":"x","cell":[],"startedAtMs":{}}`, "a", Draining, "hostPort"},
		{`{"instanceId":"a","lifecycle":"removed","weight":"x"}`, "a", Removed, "weight"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","weight":"x"}`, "a", Up, "weight"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","weight":-1}`, "a", Up, "weight"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","weight":1e300}`, "a", Up, "weight"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","zone":4,"cell":"c"}`, "a", Up, "zone"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","startedAtMs":1e300}`, "a", Draining, "startedAtMs"},
		{`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","startedAtMs":"soon"}`, "a", Draining, "startedAtMs"},
	} {
		m, fieldErrors, err := ParseLenient([]byte(`{"generation":8,"reset":true,"instances":[` + c.entry + `,` + drainingEntry + `]}`))
		if err != nil || len(fieldErrors) == 0 || !strings.Contains(errors.Join(fieldErrors...).Error(), "instances[0]."+c.field+": ") {
			t.Errorf("%s: error %v, field errors %v, want one for %s", c.entry, err, fieldErrors, c.field)
		}
		last := len(m.Entries) - 1
		if last < 0 || m.Entries[last].ID != "g" || m.Entries[last].Lifecycle != Draining {
			t.Errorf("%s: the last entry is not the draining endpoint g: %v", c.entry, m.Entries)
			continue
		}
		if c.id == "" && last != 0 || c.id != "" && (last != 1 || m.Entries[0].ID != c.id || m.Entries[0].Lifecycle != c.lifecycle) {
			t.Errorf("%s: parsed as %+v, want ID %q and lifecycle %q", c.entry, m.Entries[:last], c.id, c.lifecycle)
		}
	}
}
