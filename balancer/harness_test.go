package balancer

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// hostRecorder is a host that records the actions of a balancer: timers and peer messages by value, all
// others except log lines as text.
type hostRecorder struct {
	actions  []string
	timers   []timerRequest
	messages map[int][][]byte // by receiving node
}

// timerRequest is one call of SetTimer.
type timerRequest struct {
	token uint64
	after time.Duration
}

func (r *hostRecorder) SendAttempt(id, endpoint string, _, _ time.Duration) {
	r.add("send %s %s", id, endpoint)
}

func (r *hostRecorder) Reject(id string, _ time.Duration) { r.add("reject %s", id) }

func (r *hostRecorder) Fail(id string) { r.add("fail %s", id) }

func (r *hostRecorder) CancelAttempt(id string, attempt int) { r.add("cancel %s %d", id, attempt) }

func (r *hostRecorder) SetTimer(token uint64, after time.Duration) {
	r.timers = append(r.timers, timerRequest{token, after})
}

func (r *hostRecorder) HealthCheck(endpoint string) { r.add("check %s", endpoint) }

func (r *hostRecorder) WatchEndpoints(on bool) { r.add("watch %v", on) }

func (r *hostRecorder) Log(slog.Level, string, ...slog.Attr) {}

func (r *hostRecorder) SendPeer(node int, message []byte) {
	if r.messages == nil {
		r.messages = map[int][][]byte{}
	}
	r.messages[node] = append(r.messages[node], append([]byte(nil), message...))
}

func (r *hostRecorder) add(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, args...))
}

// count returns the number of recorded actions with the prefix.
func (r *hostRecorder) count(prefix string) int {
	n := 0
	for _, a := range r.actions {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

// last returns the last recorded action, or "".
func (r *hostRecorder) last() string {
	if len(r.actions) == 0 {
		return ""
	}
	return r.actions[len(r.actions)-1]
}

// testStart is the clock reading at which tests start their balancers.
const testStart = 1000 * time.Second

// newTestBalancer starts a balancer with the endpoints. It returns the balancer and its host.
func newTestBalancer(t *testing.T, s Settings, endpoints ...Endpoint) (*Balancer, *hostRecorder) {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &hostRecorder{}
	b.Start(testStart, r)
	b.EndpointsUpdated(testStart, UpdateCached, endpoints, r)
	return b, r
}

// newRequest returns a request of one unit, of a tenant with one entry node.
func newRequest(n int, class, plan string, tenant uint64) Request {
	return Request{
		ID: fmt.Sprintf("r%d", n), Class: class, Plan: plan, Tenant: tenant,
		Timeout: 2 * time.Second, Units: 1, EntryNodes: 1,
	}
}

// equalEndpoints returns n endpoints that differ only in their IDs.
func equalEndpoints(n int) (list []Endpoint) {
	for i := 0; i < n; i++ {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), MachineType: "k", Zone: "a", Cell: 1})
	}
	return list
}

// sendBurst passes n copies of a request to the balancer at once and returns how many were forwarded.
func sendBurst(b *Balancer, r *hostRecorder, now time.Duration, n int, q Request) int {
	before := r.count("send")
	for i := 0; i < n; i++ {
		q.ID = fmt.Sprintf("%s-%d-%v-%d", q.Class, q.Tenant, now, i)
		q.Units = max(q.Units, 1)
		b.concurrency.inFlight = 0 // no rejection by the concurrency limit: the quota decides
		b.RequestArrived(now, q, r)
	}
	return r.count("send") - before
}

// respondToAll ends each recorded attempt with an OK and clears the recorded actions.
func respondToAll(b *Balancer, r *hostRecorder, now, elapsed time.Duration) {
	for _, a := range r.actions {
		var id, endpoint string
		if n, _ := fmt.Sscanf(a, "send %s %s", &id, &endpoint); n == 2 {
			b.AttemptFinished(now, Outcome{
				ID: id, Result: OK, EndpointID: endpoint, Answered: true, Elapsed: elapsed,
			}, r)
		}
	}
	r.actions = nil
}

// healthCheckSettings returns settings with health checks that report the load.
func healthCheckSettings() Settings {
	s := testSettings()
	s.HealthChecks, s.LoadReports = true, LoadReportsInHealthChecks
	return s
}
