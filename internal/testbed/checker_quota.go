package testbed

import (
	"math"
	"time"
)

// quota is the truth of one tenant's stores.
type quota struct {
	at                      time.Duration
	tokens, hardLimitTokens float64
	offered                 float64 // of one node that saw all first attempts
	offeredAt               time.Duration
}

// refill brings a tenant's stores to a time. Called under the mutex.
func (r *checker) refill(customer int, at time.Duration) *quota {
	q, p := &r.quotas[customer], r.scenario.Plans[r.schedule.Tenants[customer].Plan]
	if dt := (at - q.at).Seconds(); dt > 0 {
		q.tokens = math.Min(q.tokens+p.Rate*dt, p.Burst)
		q.hardLimitTokens = math.Min(q.hardLimitTokens+p.HardLimitRate*dt, p.HardLimitBurst)
		q.at = at
	}
	return q
}

// chargeUnits takes an attempt's units from its tenant's stores as it is first sent on, and tells
// whether it is beyond the quota. Called under the mutex.
func (r *checker) chargeUnits(t *clientAttempt, at time.Duration) (beyond bool) {
	a := &r.schedule.Arrivals[t.arrival]
	p := r.scenario.Plans[r.schedule.Tenants[a.Tenant].Plan]
	q := r.refill(a.Tenant, at)
	if beyond = q.tokens < a.Guess; beyond {
		r.unitsOverQuota += a.Guess
	} else {
		q.tokens -= a.Guess
		r.unitsInQuota += a.Guess
	}
	if p.HardLimitRate > 0 {
		q.hardLimitTokens -= a.Guess
		// Attempts that two nodes sent within the lag may arrive in either order.
		lag := (ceilingLag + r.slack(t.node)).Seconds()
		if slack := p.HardLimitSlack + p.HardLimitRate*lag; q.hardLimitTokens < -slack {
			r.violate(at, RuleCeiling, t.node, t.id, "customer %016x is %.0f units below its ceiling's store", r.schedule.Tenants[a.Tenant].ID, -q.hardLimitTokens)
		}
	}
	return beyond
}

// responseMade books the answer that a server made, before its first byte is written, and the
// settlement of its units.
func (r *checker) responseMade(t *clientAttempt, attempt int, body string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	truth := &t.upstream[attempt]
	truth.response = body
	a := &r.schedule.Arrivals[t.arrival]
	if !truth.overQuota {
		q := r.refill(a.Tenant, at)
		q.tokens = math.Min(q.tokens+a.Guess-a.Units, r.scenario.Plans[r.schedule.Tenants[a.Tenant].Plan].Burst)
	}
}
