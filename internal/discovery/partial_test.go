package discovery

import (
	"strings"
	"testing"
)

// From a text that is no message, the entries of endpoints that leave are read.
func TestParsePartial(t *testing.T) {
	for _, text := range []string{
		`{"generation":8,"instances":[{"instanceId":"a,"lifecycle":"up"},` + drainingEntry + `]}`,
		`{"generation":8,"instances":[` + drainingEntry + `,{"instanceId":`,
		`{{{{` + drainingEntry,
	} {
		if _, _, err := ParseLenient([]byte(text)); err == nil {
			t.Errorf("%s is a message", text)
		}
		if got := ParsePartial([]byte(text)); len(got) != 1 || got[0].ID != "g" {
			t.Errorf("%s: got %v, want the drain of g", text, got)
		}
	}
	if got := ParsePartial([]byte(strings.Repeat("{", 1<<20))); len(got) != 0 {
		t.Errorf("got %v from noise", got)
	}
}
