package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A request is rejected at once if its timeout is shorter than the mean latency of its class.
func TestShortTimeoutIsRejected(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(4)...)
	c := &b.latency.classes[b.classIndex["safe"]]
	c.samples, c.mean, c.deviation = minBaselineSamples, 0.2, 0.01
	q := newRequest(1, "safe", "rate", 1)
	q.Timeout = 100 * ms
	b.RequestArrived(testStart, q, r)
	if r.count("reject") != 1 {
		t.Errorf("got actions %q, want one rejection", r.actions)
	}
}

// Guards against late requests using up the quota of a congested tenant. If the client has waited for longer
// than the latency objective, its request is rejected, so that the units go to requests that can still be
// answered in time. The request is admitted while the tenant is not congested.
func TestLateRequestsYieldQuota(t *testing.T) {
	b, r := newTestBalancer(t, testSettings(), equalEndpoints(9)...)
	objective := b.settings.Classes[b.classIndex["safe"]].LatencyObjective
	late := newRequest(0, "safe", "rate", 1)
	late.Timeout -= objective + objective/10
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
	if send(n, fresh, at); !send(n+1, late, at+ms) {
		t.Error("late request rejected although the quota covers it")
	}
	for n = 2; send(n, fresh, at+2*ms); n++ { // until the bucket is empty
	}
	p := b.settings.Plans[b.planIndex["rate"]]
	for refill := time.Duration(2.5 / p.Rate * float64(time.Second)); n < 100; n += 4 {
		send(n, fresh, at+2*ms) // rejected
		at = b.now + refill
		b.quotas.buckets[1].congestedUntil = at + time.Second
		if send(n+1, late, at) {
			t.Fatal("late request of a congested tenant was sent")
		}
		if !send(n+2, fresh, at+ms) {
			t.Fatal("request in time was rejected after a late one")
		}
		send(n+3, fresh, at+2*ms)
	}
}

// Guards against a single long timeout raising the initial timeout of a class, which would make all other
// requests count as late.
func TestOneLongTimeoutMakesNoOtherRequestLate(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings())
	for range 1000 {
		b.arrivesTooLate(0, time.Second)
	}
	b.arrivesTooLate(0, time.Hour)
	if b.arrivesTooLate(0, time.Second) {
		t.Error("request counts as late after one long timeout of another request")
	}
}
