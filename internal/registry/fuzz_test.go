package registry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// FuzzRegistration: whatever a client sends, it is turned down or makes a list that can be
// written, read again and told.
func FuzzRegistration(f *testing.F) {
	f.Add(registration("s-a", 1, 1, 0))
	f.Add(`{"instanceId":"s\u0000","hostPort":"[::1]:80","lifecycle":"up","weight":1e-320,"incarnation":9223372036854775807,"leaseMs":-1}`)
	f.Add(`{"instanceId":"` + strings.Repeat("x", 200) + `"}`)
	f.Add(`[{"a":`)
	f.Fuzz(func(t *testing.T, body string) {
		w := httptest.NewRecorder()
		var reg Registration
		if !decodeBody(w, httptest.NewRequest(http.MethodPost, "/registry/instances", strings.NewReader(body)), &reg) {
			if w.Code < 400 || w.Code >= 500 {
				t.Fatalf("%q: status %d", body, w.Code)
			}
			return
		}
		s := NewState(0)
		o := s.Apply(Command{Kind: Register, Entry: reg.Entry, Incarnation: reg.Incarnation})
		if (o.Code == Done) != (s.Len() == 1) {
			t.Fatalf("%q: %+v with %d entries", body, o, s.Len())
		}
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var again State
		if err := json.Unmarshal(text, &again); err != nil || again.Generation() != s.Generation() || again.Len() != s.Len() {
			t.Fatalf("%q: written and read again: %v, %d entries", body, err, again.Len())
		}
	})
}
