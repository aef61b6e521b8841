package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against endpoints that count as cold after single failed connections. A response on an older
// connection or to a health check that was sent at once proves that the process was not restarted. Failures
// before that time stay suspected.
func TestResponseWithdrawsSuspectedRestart(t *testing.T) {
	fail := func(b *Balancer, r *hostRecorder, n int, at time.Duration) {
		r.actions = nil
		b.RequestArrived(at, newRequest(n, "unsafe", "rate", uint64(n)), r)
		b.AttemptFinished(at, Outcome{ID: fmt.Sprint("r", n), Result: ConnectFailed, EndpointID: "s0"}, r)
	}
	b, r := newTestBalancer(t, healthCheckSettings(), equalEndpoints(1)...)
	e := b.endpoints.tracked[0]
	fail(b, r, 1, testStart)
	if r.count("check s0") != 1 || b.warmUpFraction(e) == 1 {
		t.Errorf("after a failed connection: %d health checks, want 1; warm-up fraction %v, want below 1",
			r.count("check s0"), b.warmUpFraction(e))
	}
	if b.HealthChecked(testStart+5*ms, "s0", OK, nil, r); b.warmUpFraction(e) != 1 {
		t.Error("cold after the response to the health check that was sent at once")
	}
	if fail(b, r, 2, testStart+time.Second); r.count("check s0") != 1 {
		t.Errorf("%d health checks sent after the second failed connection, want 1", r.count("check s0"))
	}
	if b.HealthChecked(testStart+time.Second, "s0", ConnectFailed, nil, r); b.warmUpFraction(e) == 1 {
		t.Error("warm after a failed health check")
	}
	if b.HealthChecked(testStart+2*time.Second, "s0", OK, nil, r); b.warmUpFraction(e) == 1 {
		t.Error("warm after the response to a later health check: the process may have started since")
	}

	b, r = newTestBalancer(t, testSettings(), equalEndpoints(1)...)
	e = b.endpoints.tracked[0]
	for i := range 2 * maxSuspectedRestarts {
		e.restarts.suspect(testStart + time.Duration(i+1)*ms)
	}
	b.now, b.actions = testStart+time.Second, r
	b.recordLatency(0, e, ms) // so that the class has a mean latency
	q := &request{}
	b.recordOutcome(q, e, Outcome{Result: OK, Elapsed: ms, ConnectedAt: testStart + 3*ms/2})
	if e.restarts.latest != testStart+ms {
		t.Errorf("latest suspected restart at %v, want 1ms: the failure before the connection was made",
			e.restarts.latest-testStart)
	}
	if b.recordOutcome(q, e, Outcome{
		Result: OK, Elapsed: ms,
		ConnectedAt: testStart + ms/2,
	}); e.restarts.latest != 0 {
		t.Error("restart suspected after a response on a connection older than all failures")
	}
}

func TestRestartEvidence(t *testing.T) {
	suspectedAt := func(times ...time.Duration) (r restartEvidence) {
		for _, at := range times {
			r.suspect(at)
		}
		return r
	}
	for _, test := range []struct {
		name    string
		before  restartEvidence
		upSince time.Duration
		want    time.Duration
	}{
		{"nothing suspected", restartEvidence{}, testStart, 0},
		{"up before the failure", suspectedAt(testStart), testStart - ms, 0},
		{"up since the failure", suspectedAt(testStart), testStart, 0},
		{"up after the failure", suspectedAt(testStart), testStart + ms, testStart},
		{"up between failures", suspectedAt(testStart, testStart+2*ms), testStart + ms, testStart},
	} {
		test.before.confirmUpSince(test.upSince)
		if test.before.latest != test.want {
			t.Errorf("%s: suspected at %v, want %v", test.name, test.before.latest, test.want)
		}
	}
	var many restartEvidence
	for i := range 24 {
		many.suspect(testStart + time.Duration(i)*ms)
	}
	last := testStart + 23*ms
	if len(many.suspected) != 8 || many.latest != last {
		t.Errorf("%d suspected restarts stored, latest %v, want %d and %v", len(many.suspected), many.latest,
			8, last)
	}
	many.confirmUpSince(last)
	if want := testStart + 6*ms; many.latest != want {
		t.Errorf("latest %v, want %v: the earliest suspected restarts are kept", many.latest, want)
	}
}

// At most one confirming health check is pending, and only a response to it withdraws the suspicion.
func TestConfirmingRestart(t *testing.T) {
	var r restartEvidence
	r.suspect(testStart)
	r.confirm()
	if r.latest != testStart {
		t.Error("suspicion withdrawn, although no confirming health check is pending")
	}
	if !r.startConfirming(testStart) || r.startConfirming(testStart+ms) {
		t.Error("want exactly one confirming health check pending")
	}
	r.confirm()
	r.stopConfirming()
	if r.latest != 0 || !r.startConfirming(testStart+ms) {
		t.Errorf("after the response: got %+v, want no suspected restart and no pending health check", r)
	}
}
