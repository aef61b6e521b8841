package balancer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against an endpoint that attracts requests because it fails fast and so looks idle. The only
// endpoint left gets requests even if it is ejected.
func TestFastErrorsAttractNoRequests(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	toFailing := 0
	for i := 0; i < 400; i++ {
		now := testStart + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		b.RequestArrived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			toFailing++
			b.AttemptFinished(now+ms, Outcome{
				ID: q.ID, Result: ErrorResponse, EndpointID: "s0",
				Elapsed: ms,
			}, r)
		} else {
			b.AttemptFinished(now+10*ms, Outcome{
				ID: q.ID, Result: OK, Answered: true, EndpointID: a[2],
				Elapsed: 50 * ms,
			}, r)
		}
	}
	if toFailing > 20 {
		t.Errorf("%d of 400 requests went to the failing endpoint, want at most 20", toFailing)
	}
	b.EndpointsUpdated(testStart+9*time.Second, UpdateSnapshot, equalEndpoints(1), r)
	b.RequestArrived(testStart+9*time.Second, newRequest(1000, "safe", "rate", 5000), r)
	if r.last() != "send r1000 s0" {
		t.Errorf("the only endpoint is not used: %q", r.last())
	}
}

// An endpoint that does not respond to the attempts in flight is avoided, since the time without a response
// counts as latency.
func TestSilentEndpointIsAvoided(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(2)...)
	toSilent := 0
	for i := 0; i < 200; i++ {
		now := testStart + time.Duration(i)*20*ms
		q := newRequest(i, "unsafe", "rate", uint64(i))
		b.RequestArrived(now, q, r)
		a := strings.Fields(r.last())
		if a[0] == "send" && a[2] == "s0" {
			toSilent++
		} else {
			b.AttemptFinished(now+10*ms, Outcome{
				ID: q.ID, Result: OK, Answered: true, EndpointID: a[2],
				Elapsed: 50 * ms,
			}, r)
		}
	}
	if toSilent > 10 {
		t.Errorf("%d of 200 requests went to the silent endpoint, want at most 10", toSilent)
	}
}

// Each symptom of an endpoint in trouble raises its cost above that of an otherwise equal endpoint.
func TestSymptomsRaiseCost(t *testing.T) {
	for name, affect := range map[string]func(*endpoint){
		"silent":    func(e *endpoint) { e.lastProgress = testStart - time.Second },
		"failing":   func(e *endpoint) { e.health.errorRate = 0.3 },
		"slow":      func(e *endpoint) { e.latencyRatio = 2 },
		"cold":      func(e *endpoint) { e.StartedAt = testStart - ms },
		"queueing":  func(e *endpoint) { e.load.queued = 3 },
		"busy":      func(e *endpoint) { e.inFlight = 2 },
		"restarted": func(e *endpoint) { e.restarts.latest = testStart },
	} {
		b, _ := newTestBalancer(t, testSettings(), equalEndpoints(2)...)
		healthy, affected := b.endpoints.tracked[0], b.endpoints.tracked[1]
		for _, e := range b.endpoints.tracked {
			e.inFlight, e.lastProgress = 1, testStart
		}
		b.latency.classes[0].mean = 0.1
		affect(affected)
		if b.cost(affected) < 1.3*b.cost(healthy) {
			t.Errorf("%s: cost %v, want at least 1.3 times %v", name, b.cost(affected), b.cost(healthy))
		}
	}
}

// Guards against a selection that ends after deprioritized endpoints have used up its samples, so that the
// endpoints in service are not compared with each other.
func TestDeprioritizedEndpointsUseNoSamples(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(12)...)
	b.settings.NodeCount = 6
	for i := range 9 {
		b.endpoints.trackedByID[fmt.Sprintf("s%d", i)].health.ejectedUntil = testStart + time.Hour
	}
	for _, id := range []string{"s9", "s10"} {
		b.endpoints.trackedByID[id].inFlight, b.endpoints.trackedByID[id].lastProgress = 9, testStart
	}
	toBusy := 0
	for i := range 100 {
		b.actions, b.now = r, testStart
		if e := b.selectEndpoint(&request{number: uint64(i)}); e.ID != "s11" {
			toBusy++
		}
	}
	if toBusy > 5 {
		t.Errorf("%d of 100 selections missed the idle one of three endpoints, want at most 5", toBusy)
	}
}

// An endpoint at which the request has failed costs failedEndpointFactor times as much. One that has
// answered the request does not.
func TestFailedEndpointCostsMore(t *testing.T) {
	failed, answered := newEndpoint(Endpoint{ID: "s0"}), newEndpoint(Endpoint{ID: "s1"})
	untried := newEndpoint(Endpoint{ID: "s2"})
	r := &request{attempts: []attempt{{endpoint: failed, result: Reset}, {endpoint: answered, result: OK}}}
	for _, test := range []struct {
		name       string
		cost       float64 // cost of the other endpoint
		other      *endpoint
		wantFailed bool
	}{
		{"slightly less than the factor", failedEndpointFactor - 0.1, untried, false},
		{"slightly more than the factor", failedEndpointFactor + 0.1, untried, true},
		{"answered", failedEndpointFactor - 0.1, answered, false},
	} {
		s := selection{request: r, bestCost: math.Inf(1)}
		s.consider(failed, 1, false)
		s.consider(test.other, test.cost, false)
		if got := s.best == failed; got != test.wantFailed {
			t.Errorf("%s: the failed endpoint is the best: %v, want %v", test.name, got, test.wantFailed)
		}
	}
}

// The additional costs rise from tier to tier: sampled from the subset, not sampled, outside the subset,
// deprioritized. Only endpoints of the subset use up samples.
func TestTierCosts(t *testing.T) {
	b, r := newTestBalancer(t, subsetSettings(100), testEndpoints(400)...)
	b.now, b.actions = testStart, r
	var outside *endpoint
	for slot := range b.endpoints.list.entries {
		if b.endpoints.trackedAt(slotIndex(slot)) == nil {
			outside = b.endpoints.trackFromReserve(testStart, slotIndex(slot))
			break
		}
	}
	ejected := newEndpoint(Endpoint{ID: "ejected"})
	ejected.health.eject(testStart)
	s := selection{criteria: b.healthCriteria(), samples: 3}
	if cost, deprioritized := b.tierCost(&s, outside); cost != outsideSubsetCost || deprioritized ||
		s.outsideSubset != 1 {
		t.Errorf("outside the subset: cost %v, deprioritized %v, %d counted, want %v, false and 1", cost,
			deprioritized, s.outsideSubset, float64(outsideSubsetCost))
	}
	if cost, deprioritized := b.tierCost(&s, ejected); cost != deprioritizedCost || !deprioritized {
		t.Errorf("ejected: cost %v, deprioritized %v, want %v and true", cost, deprioritized,
			float64(deprioritizedCost))
	}
	if s.samples != 3 {
		t.Errorf("%d samples left, want 3: no endpoint was of the subset", s.samples)
	}
	var largest *endpoint
	for _, e := range b.endpoints.tracked {
		if e.inSubset && (largest == nil || e.weight() > largest.weight()) {
			largest = e
		}
	}
	if cost, _ := b.tierCost(&s, largest); cost != 0 || s.samples != 2 {
		t.Errorf("largest endpoint of the subset: cost %v, %d samples left, want 0 and 2", cost, s.samples)
	}
	if notSampledCost >= outsideSubsetCost || outsideSubsetCost >= deprioritizedCost {
		t.Error("the additional costs do not rise from tier to tier")
	}
}
