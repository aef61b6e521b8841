package discovery

import (
	"errors"
	"strings"
	"testing"
)

// drainingEntry is a valid entry.
const drainingEntry = `{"instanceId":"g","hostPort":"127.0.0.1:9","lifecycle":"draining","weight":1}`

// A malformed entry hides nothing of the rest of its message.
func TestParseLenientMalformedEntries(t *testing.T) {
	for _, c := range []struct {
		entry     string
		id        string // "": the entry is left out
		lifecycle string
		field     string
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
		m, faults, err := ParseLenient([]byte(`{"generation":8,"reset":true,"instances":[` + c.entry + `,` + drainingEntry + `]}`))
		if err != nil || len(faults) == 0 || !strings.Contains(errors.Join(faults...).Error(), "instances[0]."+c.field+": ") {
			t.Errorf("%s: error %v, faults %v, want %s named", c.entry, err, faults, c.field)
		}
		last := len(m.Entries) - 1
		if last < 0 || m.Entries[last].ID != "g" || m.Entries[last].Lifecycle != Draining {
			t.Errorf("%s: hides the drain of another: %v", c.entry, m.Entries)
			continue
		}
		if c.id == "" && last != 0 || c.id != "" && (last != 1 || m.Entries[0].ID != c.id || m.Entries[0].Lifecycle != c.lifecycle) {
			t.Errorf("%s: read as %+v", c.entry, m.Entries[:last])
		}
	}
}
