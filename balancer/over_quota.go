package balancer

import (
	"cmp"
	"time"
)

const (
	// overQuotaThreshold is the granted fraction below which a tenant counts as over its quota.
	overQuotaThreshold = 0.95
	// overQuotaRetention is how long a report is relied on.
	overQuotaRetention = 10 * time.Second
	// maxOverQuotaEntries bounds the reports in one message.
	maxOverQuotaEntries = 5
)

// overQuotaTable holds what is known of tenants whose demand is over their quota, from owners and from other
// nodes. It decides in place of an owner that doesn't answer. Its keys are hashes, as in messages.
type overQuotaTable map[uint16]overQuotaTenant

type overQuotaTenant struct {
	grantedFraction float64 // of its demand
	at              time.Duration
}

// record enters the fraction of a tenant's demand that its owner can grant. A tenant within its quota is left
// out unless it was over it before.
func (t overQuotaTable) record(now time.Duration, tenant uint64, grantedFraction float64) {
	if _, known := t[tenantHash(tenant)]; known || grantedFraction < overQuotaThreshold {
		t[tenantHash(tenant)] = overQuotaTenant{grantedFraction, now}
	}
}

// receive enters another node's reports where they are newer than what is known.
func (t overQuotaTable) receive(now time.Duration, reports []overQuotaReport) {
	for _, report := range reports {
		at := now - report.age - peerMessageDelay
		// Within the precision of ages a report may be what is known already.
		if known, ok := t[report.tenantHash]; !ok || at > known.at+ageUnit+peerMessageDelay {
			t[report.tenantHash] = overQuotaTenant{report.grantedFraction, at}
		}
	}
}

// grantedFraction is the fraction of a tenant's demand that can be granted, as far as is known: a tenant of
// which nothing is reported is within its quota.
func (t overQuotaTable) grantedFraction(tenant uint64) float64 {
	if known, ok := t[tenantHash(tenant)]; ok {
		return known.grantedFraction
	}
	return 1
}

// appendNewest appends the newest reports that fit into a message, the newest first.
func (t overQuotaTable) appendNewest(reports []overQuotaReport, now time.Duration) []overQuotaReport {
	for hash, known := range t {
		if age := now - known.at; age < loadGossipMaxAge {
			report := overQuotaReport{hash, known.grantedFraction, age}
			reports = insertBounded(reports, report, maxOverQuotaEntries, compareOverQuotaReports)
		}
	}
	return reports
}

func compareOverQuotaReports(a, b overQuotaReport) int {
	return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.tenantHash, b.tenantHash))
}

// expire drops reports that are no longer relied on.
func (t overQuotaTable) expire(now time.Duration) {
	for hash, known := range t {
		if now-known.at > overQuotaRetention {
			delete(t, hash)
		}
	}
}

// insertBounded inserts an element into a sorted slice, of which the first limit elements are kept.
func insertBounded[T any](sorted []T, element T, limit int, compare func(a, b T) int) []T {
	at := len(sorted)
	for at > 0 && compare(element, sorted[at-1]) < 0 {
		at--
	}
	if at == limit {
		return sorted
	}
	if len(sorted) < limit {
		sorted = append(sorted, element)
	}
	copy(sorted[at+1:], sorted[at:])
	sorted[at] = element
	return sorted
}
