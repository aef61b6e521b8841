package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// An instance is registered, renewed, drained, removed and registered again over HTTP. Watches and readers
// see each change.
func TestInstanceLifecycle(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		code                     Code
	}{
		{"registered", "POST", "", registration("s-a", 1, 5, 0), 200, Done},
		{"sent again", "POST", "", registration("s-a", 1, 5, 0), 200, Unchanged},
		{"older incarnation", "POST", "", registration("s-a", 1, 4, 0), 409, StaleIncarnation},
		{"address of another", "POST", "", registration("s-b", 1, 1, 0), 409, AddressConflict},
		{"renewed", "POST", "/s-a/renew?incarnation=5", "", 200, Done},
		{"renewed by an older one", "POST", "/s-a/renew?incarnation=4", "", 409, StaleIncarnation},
		{"renewed without a registration", "POST", "/s-z/renew?incarnation=1", "", 404, NotFound},
		{"drained", "POST", "/s-a/drain?incarnation=5", "", 200, Done},
		{"drained again", "POST", "/s-a/drain?incarnation=5", "", 200, Unchanged},
		{"removed by an older one", "DELETE", "/s-a?incarnation=4", "", 409, StaleIncarnation},
		{"removed", "DELETE", "/s-a?incarnation=5", "", 200, Done},
		{"removed again", "DELETE", "/s-a?incarnation=5", "", 200, Unchanged},
		{"registered after its removal", "POST", "", registration("s-a", 1, 5, 0), 409, StaleIncarnation},
		{"registered with the next incarnation", "POST", "", registration("s-a", 1, 6, 0), 200, Done},
	} {
		status, text := call(t, c.method, base+c.path, c.body)
		var o Outcome
		if err := json.Unmarshal([]byte(text), &o); err != nil || status != c.status || o.Code != c.code {
			t.Errorf("%s: %d %s, want %d %s", c.name, status, text, c.status, c.code)
		}
	}
	w := startWatch(t, s.Addr(), 1)
	var seen []string
	for range 3 {
		m := w.next(t)
		seen = append(seen, fmt.Sprintf("%d %v %s", m.Generation, m.Snapshot, m.Entries[0].Lifecycle))
	}
	if got, want := fmt.Sprint(seen), "[2 false draining 3 false removed 4 false up]"; got != want {
		t.Errorf("the watch gets %s, want %s", got, want)
	}
	if m := startWatch(t, s.Addr(), 0).next(t); !m.Snapshot || m.Generation != 4 || len(m.Entries) != 1 {
		t.Errorf("a new watch gets %+v, want the full list of 1 entry at generation 4", m)
	}
	// The leader never had this generation. It belongs to another list, and the reader gets the full list of
	// this one.
	if m := startWatch(t, s.Addr(), 1<<40).next(t); !m.Snapshot || m.Generation != 4 {
		t.Errorf("a reader of another list gets %+v, want the full list at generation 4", m)
	}
}

// An invalid request is rejected with an error and changes nothing.
func TestInvalidRequests(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "", "{", 400},
		{"POST", "", `{"colour":1}`, 400},
		{"POST", "", registration("s-b", 2, 1, 0) + "{}", 400},
		{"POST", "", `{"instanceId":"` + strings.Repeat("x", 1<<20) + `"}`, 413},
		{"POST", "", `{"instanceId":"s-b","weight":-1}`, 400},
		{"POST", "", strings.Replace(registration("s-b", 2, 1, 0), `"up"`, `"odd"`, 1), 400},
		{"POST", "", strings.Replace(registration("s-b", 2, 1, 0), `"leaseMs":0`, `"leaseMs":9223372036854775807`, 1), 400},
		{"POST", "/s-a/renew?incarnation=-1", "", 400},
		{"POST", "/s-a/renew", "", 400},
		{"DELETE", "/s-a?incarnation=x", "", 400},
		{"GET", "?watch=1&from=-1", "", 400},
		{"PUT", "", "", 405},
		{"GET", "/s-a/b/c", "", 404},
		{"POST", "/" + strings.Repeat("y", 300) + "/renew?incarnation=1", "", 400},
	} {
		if status, text := call(t, c.method, base+c.path, c.body); status != c.status {
			t.Errorf("%s %.60s %.60s: %d %.200s, want %d", c.method, c.path, c.body, status, text, c.status)
		}
	}
	if g := s.fsm.generation(); g != 1 {
		t.Errorf("generation %d after invalid requests, want 1", g)
	}
}

// An entry whose lease is not renewed is removed. The entries whose leases have not expired are kept.
func TestLeasesOverHTTP(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for n := range 5 {
		call(t, "POST", base, registration(fmt.Sprint("s-", n), n+1, 1, time.Hour))
	}
	call(t, "POST", base, registration("s-short", 99, 1, time.Second))
	w := startWatch(t, s.Addr(), 6)
	if m := w.next(t); len(m.Entries) != 1 || m.Entries[0].ID != "s-short" || m.Entries[0].Lifecycle != Removed {
		t.Errorf("the watch gets %+v, want the removal of s-short", m)
	}
	if status, text := call(t, "POST", base+"/s-short/renew?incarnation=1", ""); status != http.StatusConflict {
		t.Errorf("renewal of an expired lease: %d %s, want 409", status, text)
	}
}

// Every request body is either rejected with a 4xx status or leads to a list that can be encoded and decoded.
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
			t.Fatalf("%q: encoded and decoded: %v, %d entries", body, err, again.Len())
		}
	})
}
