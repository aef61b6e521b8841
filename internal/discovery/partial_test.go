package discovery

import (
	"strings"
	"testing"
)

// ParsePartial finds the entry of a draining endpoint in malformed and truncated messages.
func TestParsePartial(t *testing.T) {
	for _, text := range []string{
		`{"generation":8,"instances":[{"instanceId":"a,"lifecycle":"up"},` + drainingEntry + `]}`,
		`{"generation":8,"instances":[` + drainingEntry + `,{"instanceId":`,
		`{{{{` + drainingEntry,
	} {
		if _, _, err := ParseLenient([]byte(text)); err == nil {
			t.Errorf("%s is a valid message", text)
		}
		if got := ParsePartial([]byte(text)); len(got) != 1 || got[0].ID != "g" {
			t.Errorf("%s: got %v, want the entry of g", text, got)
		}
	}
	if got := ParsePartial([]byte(strings.Repeat("{", 1<<20))); len(got) != 0 {
		t.Errorf("got %v from a text of opening braces, want none", got)
	}
}
