package testbed

import (
	"math"
	"time"
)

// quota is the exact state of one tenant's token buckets over the whole fleet.
type quota struct {
	at                      time.Duration // time of the last refill
	tokens, hardLimitTokens float64
	offered                 float64 // tokens of the quota bucket if a single node admitted all first attempts
	offeredAt               time.Duration
}

// refill refills a tenant's buckets up to the given time. The caller holds r.mu.
func (r *checker) refill(tenant int, at time.Duration) *quota {
	q, p := &r.quotas[tenant], r.scenario.Plans[r.schedule.Tenants[tenant].Plan]
	if dt := (at - q.at).Seconds(); dt > 0 {
		q.tokens = math.Min(q.tokens+p.Rate*dt, p.Burst)
		q.hardLimitTokens = math.Min(q.hardLimitTokens+p.HardLimitRate*dt, p.HardLimitBurst)
		q.at = at
	}
	return q
}

// chargeUnits charges an attempt's units to its tenant's buckets when the attempt first reaches an app
// server. It reports whether the attempt is beyond the quota. The caller holds r.mu.
func (r *checker) chargeUnits(t *clientAttempt, at time.Duration) (overQuota bool) {
	a := &r.schedule.Arrivals[t.arrival]
	p := r.scenario.Plans[r.schedule.Tenants[a.Tenant].Plan]
	q := r.refill(a.Tenant, at)
	if overQuota = q.tokens < a.EstimatedUnits; overQuota {
		r.unitsOverQuota += a.EstimatedUnits
	} else {
		q.tokens -= a.EstimatedUnits
		r.unitsInQuota += a.EstimatedUnits
	}
	if p.HardLimitRate > 0 {
		q.hardLimitTokens -= a.EstimatedUnits
		// Attempts that two nodes send within the lag may arrive in either order.
		lag := (hardLimitLag + r.slack(t.node)).Seconds()
		if slack := p.HardLimitSlack + p.HardLimitRate*lag; q.hardLimitTokens < -slack {
			r.recordViolation(at, RuleHardLimit, t.node, t.id, "tenant %016x exceeds its hard limit by %.0f units", r.schedule.Tenants[a.Tenant].ID, -q.hardLimitTokens)
		}
	}
	return overQuota
}

// responseMade records the response of an app server, before its first byte is written. If the attempt is
// within the quota, it replaces the estimated units by the actual ones in the tenant's bucket.
func (r *checker) responseMade(t *clientAttempt, attempt int, body string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := &t.upstream[attempt]
	u.response = body
	a := &r.schedule.Arrivals[t.arrival]
	if !u.overQuota {
		q := r.refill(a.Tenant, at)
		q.tokens = math.Min(q.tokens+a.EstimatedUnits-a.Units, r.scenario.Plans[r.schedule.Tenants[a.Tenant].Plan].Burst)
	}
}
