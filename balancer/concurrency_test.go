package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against rejections by the concurrency limit in the first second after a start, when the averaged
// response rate would still be too low.
func TestResponseRateIsKnownSoonAfterStart(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	for i := 0; i < 200; i++ {
		now := testStart + time.Duration(i)*ms
		b.RequestArrived(now, newRequest(i, "safe", "rate", uint64(i)), r)
		respondToAll(b, r, now, ms)
		if i%100 == 99 {
			b.TimerFired(now, timerControlInterval, r)
		}
	}
	if b.concurrency.responseRate < 500 {
		t.Errorf("response rate %v after 200 ms with 1000 responses a second, want at least 500",
			b.concurrency.responseRate)
	}
}

// Guards against work that piles up at silent endpoints: without responses, no latency shows the overload.
func TestRequestsAreRejectedWithoutResponses(t *testing.T) {
	s := testSettings()
	s.Plans[1].Burst = 1e6
	b, r := newTestBalancer(t, s, equalEndpoints(4)...)
	sent := 0
	for i := 0; i < 200; i++ {
		b.RequestArrived(testStart+time.Duration(i)*ms, newRequest(i, "safe", "rate", 1), r)
	}
	if sent = r.count("send"); sent == 0 || sent > 8 {
		t.Errorf("%d requests sent to 4 silent endpoints, want 1 to 8", sent)
	}
	if r.count("reject") != 200-sent {
		t.Errorf("%d requests rejected, want %d", r.count("reject"), 200-sent)
	}
}

// Guards against attempts that wait at one silent endpoint being counted as overload of all endpoints.
func TestOldAttemptsAreNotRecent(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	b.RequestArrived(testStart, newRequest(1, "safe", "rate", 1), r)
	objective := b.settings.Classes[b.classIndex["safe"]].LatencyObjective
	if n := b.recentAttempts(recentAttemptFraction); n != 1 {
		t.Errorf("%v recent attempts after the start of one, want 1", n)
	}
	b.now = testStart + objective
	if n := b.recentAttempts(recentAttemptFraction); n != 0 {
		t.Errorf("%v recent attempts after the latency objective, want 0", n)
	}
}

// Attempts at unreachable endpoints do not load the other endpoints, so the concurrency limit ignores them.
func TestUnreachableEndpointsDoNotCountAsOverload(t *testing.T) {
	b, _ := newTestBalancer(t, healthCheckSettings(), equalEndpoints(2)...)
	b.endpoints.trackedByID["s0"].inFlight, b.concurrency.inFlight = 9, 9
	if !b.exceedsConcurrencyLimit(0) {
		t.Fatal("9 attempts in flight at two endpoints do not exceed the limit")
	}
	b.endpoints.trackedByID["s0"].health.unreachable = true
	if b.exceedsConcurrencyLimit(0) {
		t.Error("attempts at an unreachable endpoint exceed the limit")
	}
}

// The floor of the concurrency limit depends on the reachable endpoints and their warm-up. It must not depend
// on the endpoint list, which reports a lost zone only seconds later.
func TestConcurrencyFloorFollowsReachableEndpoints(t *testing.T) {
	const n = 12
	b, _ := newTestBalancer(t, healthCheckSettings(), equalEndpoints(n)...)
	highest := func() (inFlight int) {
		for b.concurrency.inFlight = 0; !b.exceedsConcurrencyLimit(0); b.concurrency.inFlight++ {
		}
		return b.concurrency.inFlight
	}
	if got := highest(); got != minConcurrencyPerEndpoint*n {
		t.Errorf("%d attempts allowed in flight with all endpoints up, want %v", got,
			minConcurrencyPerEndpoint*n)
	}
	for i := range n / 2 {
		b.endpoints.trackedByID[fmt.Sprintf("s%d", i)].health.unreachable = true
	}
	if got := highest(); got != minConcurrencyPerEndpoint*n/2 {
		t.Errorf("%d attempts allowed in flight with half of the endpoints unreachable, want %v", got,
			minConcurrencyPerEndpoint*n/2)
	}
	b.now = testStart
	for _, s := range b.endpoints.tracked {
		s.health.unreachable = false
		if s.ID < "s5" {
			s.restarts.latest = testStart
		}
	}
	if got := highest(); got >= minConcurrencyPerEndpoint*n {
		t.Errorf("%d attempts allowed in flight with some endpoints cold, want less than %v", got,
			minConcurrencyPerEndpoint*n)
	}
}

// With few responses, pooled means distinguish overload from chance, but they lag by seconds. Guards
// against a burst that is sent in full before the pooled means show it.
func TestBurstIsLimitedBeforePooledMeansShowIt(t *testing.T) {
	const n = 4
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(n)...)
	b.inbox.rate = 10
	for i := range 200 {
		q := newRequest(i, "safe", "rate", uint64(i))
		q.EntryNodes = 1
		b.RequestArrived(testStart, q, r)
	}
	if got := r.count("send"); got <= minConcurrencyPerEndpoint*n ||
		got > certainExcessFactor*minConcurrencyPerEndpoint*n {
		t.Errorf("%d requests of a burst sent, want more than %v and at most %v", got,
			minConcurrencyPerEndpoint*n, certainExcessFactor*minConcurrencyPerEndpoint*n)
	}
}
