package balancer

import (
	"math"
	"testing"
	"time"
)

// The expected load decays with the age of the report toward the mean over the endpoints.
func TestExpectedLoadOfOtherNodes(t *testing.T) {
	reported := endpointLoad{}
	reported.record(9, 2, testStart)
	for _, test := range []struct {
		name string
		load endpointLoad
		age  time.Duration
		want float64
	}{
		{"never reported", newEndpoint(Endpoint{}).load, 0, 0},
		{"just reported", reported, 0, 7},
		{"a time constant ago", reported, loadGossipDecay, 4 + 3/math.E},
		{"long ago", reported, time.Hour, 4},
	} {
		if got := test.load.expectedOtherRequests(testStart+test.age, 4); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestEndpointLoad(t *testing.T) {
	var load endpointLoad
	load.record(3, 5, testStart)
	if load.requests != 3 || load.otherRequests != 0 || load.reportedAt != testStart || !load.known() {
		t.Errorf("fewer requests than this node's own: got %+v, want 3 requests, none of them by other nodes",
			load)
	}
	load.recordError(testStart + ms)
	if !load.lastResponseFailed || load.reportedAt != testStart+ms || load.requests != 3 || !load.known() {
		t.Errorf("after an error: got %+v, want a failed response and an unchanged, known load", load)
	}
	load.recordRefusal(testStart + 2*ms)
	if !load.refusesConnections || load.reportedAt != testStart+2*ms || load.known() {
		t.Errorf("after a refused connection: got %+v, want an unknown load reported 2ms later", load)
	}
	load.record(1, 0, testStart+3*ms)
	if load.refusesConnections || load.lastResponseFailed || !load.known() {
		t.Errorf("after another report: got %+v, want a known load without an error or refusal", load)
	}
	if load.reset(); load.known() || load.reportedAt != 0 || load.queued >= 0 {
		t.Errorf("after a reset: got %+v, want an unreported load", load)
	}
}

// A load report may contain only some of its fields. The others keep their value.
func TestLoadReportFields(t *testing.T) {
	e := newEndpoint(Endpoint{ID: "s0"})
	e.recordLoadReport(&LoadReport{InFlight: -1, Queued: 2, Utilization: -1}, testStart)
	if e.load.queued != 2 || e.load.known() || e.load.utilizationReportedAt != 0 {
		t.Errorf("queued only: got %+v, want 2 queued and no other field reported", e.load)
	}
	e.recordLoadReport(&LoadReport{InFlight: 4, Queued: -1, Utilization: 0}, testStart+ms)
	if e.load.queued != 2 || e.load.requests != 4 || e.load.utilizationReportedAt != testStart+ms {
		t.Errorf("all but queued: got %+v, want 2 queued as before, 4 requests and a utilization", e.load)
	}
}

// A load or error reported by a peer counts like a response to this node. A refused connection reported by a
// peer ejects the endpoint, unless it is ejected already.
func TestPeerLoad(t *testing.T) {
	e := newEndpoint(Endpoint{ID: "s0"})
	e.recordPeerLoad(4, true, testStart)
	if e.load.requests != 4 || !e.load.lastResponseFailed || e.health.errorRate != errorSmoothing {
		t.Errorf("after a peer's error: got %+v and error rate %v, want 4 requests, a failed response and %v",
			e.load, e.health.errorRate, errorSmoothing)
	}
	e.recordPeerRefusal(testStart+ms, testStart)
	if !e.health.ejected(testStart+ms) || e.health.consecutiveEjections != 1 || e.load.reportedAt != testStart {
		t.Errorf("after a peer's refused connection: got %+v, want one ejection", e.health)
	}
	if e.recordPeerRefusal(testStart+2*ms, testStart+ms); e.health.consecutiveEjections != 1 {
		t.Errorf("%d ejections, want no further one during the first", e.health.consecutiveEjections)
	}
}
