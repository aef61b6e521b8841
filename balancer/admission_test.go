package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A request whose client gives up before responses usually come is rejected at once.
func TestShortTimeoutIsRejected(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	c := &b.latency.classes[b.classIndex["safe"]]
	c.samples, c.mean, c.deviation = minBaselineSamples, 0.2, 0.01
	q := newRequest(1, "safe", "rate", 1)
	q.Timeout = 100 * ms
	b.RequestArrived(testStart, q, r)
	if r.count("reject") != 1 {
		t.Errorf("%v", r.actions)
	}
}

// A request whose client has waited for longer than the latency objective gives way where its tenant is over its
// quota, and only there: the units go to requests that can still be answered in time.
func TestLateRequestsGiveWay(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(9)...)
	objective := b.settings.Classes[b.classIndex["safe"]].LatencyObjective
	old := newRequest(0, "safe", "rate", 1)
	old.Timeout -= objective + objective/10
	send := func(n int, q Request, at time.Duration) bool {
		q.ID = fmt.Sprint("t", n)
		r.actions = nil
		b.RequestArrived(at, q, r)
		sent := r.count("send") == 1
		if sent {
			b.AttemptFinished(at+ms, Outcome{ID: q.ID, Result: OK, Answered: true}, r)
		}
		return sent
	}
	fresh := newRequest(0, "safe", "rate", 1)
	n, at := 0, testStart
	if send(n, fresh, at); !send(n+1, old, at+ms) {
		t.Error("a late request was rejected with capacity for all")
	}
	for n = 2; send(n, fresh, at+2*ms); n++ { // until the bucket is empty
	}
	p := b.settings.Plans[b.planIndex["rate"]]
	for refill := time.Duration(2.5 / p.Rate * float64(time.Second)); n < 100; n += 4 {
		send(n, fresh, at+2*ms) // rejected
		at = b.now + refill
		b.quotas.buckets[1].congestedUntil = at + time.Second
		if send(n+1, old, at) {
			t.Fatal("a late request took the units of a congested tenant")
		}
		if !send(n+2, fresh, at+ms) {
			t.Fatal("a fresh request was rejected in its place")
		}
		send(n+3, fresh, at+2*ms)
	}
}

// The initial timeout of a class follows what most clients have, not the longest that one has.
func TestOneLongTimeoutMakesNobodyLate(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings())
	for range 1000 {
		b.arrivesTooLate(0, time.Second)
	}
	b.arrivesTooLate(0, time.Hour)
	if b.arrivesTooLate(0, time.Second) {
		t.Error("all others count as late after one long timeout")
	}
}
