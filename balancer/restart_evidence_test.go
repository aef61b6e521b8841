package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A connection that failed is no restart where an answer on an older one, or to a probe sent
// at once, shows the process up. What failed before that is still in doubt.
func TestFailedConnectionIsConfirmed(t *testing.T) {
	fail := func(b *Balancer, r *recorder, n int, at time.Duration) {
		r.acts = nil
		b.RequestArrived(at, newRequest(n, "unsafe", "rate", uint64(n)), r)
		b.AttemptFinished(at, Outcome{ID: fmt.Sprint("r", n), Result: ConnectFailed, EndpointID: "s0"}, r)
	}
	b, r := newGate(t, probing(), fleet(1)...)
	s := b.endpoints.tracked[0]
	fail(b, r, 1, t0)
	if r.count("probe s0") != 1 || b.warmUpFraction(s) == 1 {
		t.Errorf("%d probes sent, warmth %v after a failed connection", r.count("probe s0"), b.warmUpFraction(s))
	}
	if b.HealthChecked(t0+5*ms, "s0", OK, nil, r); b.warmUpFraction(s) != 1 {
		t.Error("cold though a probe sent at once was answered")
	}
	if fail(b, r, 2, t0+time.Second); r.count("probe s0") != 1 {
		t.Errorf("%d probes sent", r.count("probe s0"))
	}
	if b.HealthChecked(t0+time.Second, "s0", ConnectFailed, nil, r); b.warmUpFraction(s) == 1 {
		t.Error("warm though the probe failed as well")
	}
	if b.HealthChecked(t0+2*time.Second, "s0", OK, nil, r); b.warmUpFraction(s) == 1 {
		t.Error("warm after a later probe's answer: the process may have started since")
	}

	b, r = newGate(t, testSettings(), fleet(1)...)
	s = b.endpoints.tracked[0]
	for i := range 2 * maxSuspectedRestarts {
		s.restarts.suspect(t0 + time.Duration(i+1)*ms)
	}
	b.now, b.actions = t0+time.Second, r
	b.recordLatency(0, s, ms) // its class is known
	q := &request{}
	b.recordOutcome(q, s, Outcome{Result: OK, Elapsed: ms, ConnectedAt: t0 + 3*ms/2})
	if s.restarts.latest != t0+ms {
		t.Errorf("in doubt since %v, want the failure before the connection was made", s.restarts.latest-t0)
	}
	if b.recordOutcome(q, s, Outcome{Result: OK, Elapsed: ms, ConnectedAt: t0 + ms/2}); s.restarts.latest != 0 {
		t.Error("cold after an answer on a connection older than all failures")
	}
}
