package balancer

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// recorder keeps actions as text.
type recorder struct {
	acts   []string
	timers []timerSet
	tells  map[int][][]byte
}

type timerSet struct {
	token uint64
	after time.Duration
}

func (r *recorder) SendAttempt(id, server string, d, by time.Duration) {
	r.add("send %s %s", id, server)
}

func (r *recorder) Reject(id string, d time.Duration) { r.add("refuse %s", id) }

func (r *recorder) Fail(id string) { r.add("fail %s", id) }

func (r *recorder) CancelAttempt(id string, n int) { r.add("cancel %s %d", id, n) }

func (r *recorder) SetTimer(token uint64, d time.Duration) {
	r.timers = append(r.timers, timerSet{token, d})
}

func (r *recorder) HealthCheck(server string) { r.add("probe %s", server) }

func (r *recorder) WatchEndpoints(on bool) { r.add("watch %v", on) }

func (r *recorder) Log(slog.Level, string, ...slog.Attr) {}

func (r *recorder) SendPeer(p int, m []byte) {
	if r.tells == nil {
		r.tells = map[int][][]byte{}
	}
	r.tells[p] = append(r.tells[p], append([]byte(nil), m...))
}

func (r *recorder) add(f string, a ...any) { r.acts = append(r.acts, fmt.Sprintf(f, a...)) }

func (r *recorder) count(prefix string) int {
	n := 0
	for _, a := range r.acts {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

func (r *recorder) last() string {
	if len(r.acts) == 0 {
		return ""
	}
	return r.acts[len(r.acts)-1]
}

const t0 = 1000 * time.Second

func newGate(t *testing.T, s Settings, servers ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	g.Start(t0, r)
	g.EndpointsUpdated(t0, UpdateCached, servers, r)
	return g, r
}

func newRequest(n int, class, plan string, customer uint64) Request {
	return Request{
		ID: fmt.Sprintf("r%d", n), Class: class, Plan: plan, Tenant: customer,
		Timeout: 2 * time.Second, Units: 1, EntryNodes: 1,
	}
}

func fleet(n int) (list []Endpoint) {
	for i := 0; i < n; i++ {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), MachineType: "k", Zone: "a", Cell: 1})
	}
	return list
}

// flood offers n requests of one customer at once and returns how many were sent.
func flood(g *Balancer, r *recorder, now time.Duration, n int, q Request) int {
	before := r.count("send")
	for i := 0; i < n; i++ {
		q.ID = fmt.Sprintf("%s-%d-%v-%d", q.Class, q.Tenant, now, i)
		q.Units = max(q.Units, 1)
		g.concurrency.inFlight = 0 // the quota alone is looked at
		g.RequestArrived(now, q, r)
	}
	return r.count("send") - before
}

// answer gives an OK to each request that is out.
func answer(g *Balancer, r *recorder, now, took time.Duration, res Result) {
	for _, a := range r.acts {
		var id, server string
		if n, _ := fmt.Sscanf(a, "send %s %s", &id, &server); n == 2 {
			g.AttemptFinished(now, Outcome{ID: id, Result: res, EndpointID: server, Answered: res == OK, Elapsed: took}, r)
		}
	}
	r.acts = nil
}

func probing() Settings {
	s := testSettings()
	s.HealthChecks, s.LoadReports = true, LoadReportsInHealthChecks
	return s
}
