package balancer

import (
	"cmp"
	"time"
)

const (
	// overQuotaThreshold is the granted fraction below which a tenant counts as over its quota.
	overQuotaThreshold = 0.95
	// overQuotaRetention is the time for which a report is used.
	overQuotaRetention = 10 * time.Second
	// maxOverQuotaEntries is the maximum number of reports in one message.
	maxOverQuotaEntries = 5
)

// overQuotaTable contains the granted fractions of tenants whose demand exceeds their quota, as reported by
// owners and other nodes. If the owner does not answer a quota request, the granted fraction is the
// probability with which the request is admitted. The keys are tenant hashes, as in messages.
type overQuotaTable map[uint16]overQuotaTenant

type overQuotaTenant struct {
	grantedFraction float64       // granted fraction of the demand, from 0 to 1
	reportedAt      time.Duration // time of the owner's report
}

// record stores the fraction of a tenant's demand that its owner can grant. A tenant within its quota is not
// stored, unless an earlier entry has to be corrected.
func (t overQuotaTable) record(now time.Duration, tenant uint64, grantedFraction float64) {
	if _, known := t[tenantHash(tenant)]; known || grantedFraction < overQuotaThreshold {
		t[tenantHash(tenant)] = overQuotaTenant{grantedFraction, now}
	}
}

// merge stores the reports of another node that are newer than the known ones.
func (t overQuotaTable) merge(now time.Duration, reports []overQuotaReport) {
	for _, report := range reports {
		at := now - report.age - peerMessageDelay
		// A difference within the precision of encoded ages does not count: it may be the same report.
		if known, ok := t[report.tenantHash]; !ok || at > known.reportedAt+ageUnit+peerMessageDelay {
			t[report.tenantHash] = overQuotaTenant{report.grantedFraction, at}
		}
	}
}

// grantedFraction returns the fraction of a tenant's demand that its quota can grant, or 1 for a tenant
// without a report.
func (t overQuotaTable) grantedFraction(tenant uint64) float64 {
	if known, ok := t[tenantHash(tenant)]; ok {
		return known.grantedFraction
	}
	return 1
}

// appendNewest appends the newest reports, at most [maxOverQuotaEntries], the newest first.
func (t overQuotaTable) appendNewest(reports []overQuotaReport, now time.Duration) []overQuotaReport {
	for hash, known := range t {
		if age := now - known.reportedAt; age < loadGossipMaxAge {
			report := overQuotaReport{hash, known.grantedFraction, age}
			reports = insertBounded(reports, report, maxOverQuotaEntries, compareOverQuotaReports)
		}
	}
	return reports
}

func compareOverQuotaReports(a, b overQuotaReport) int {
	return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.tenantHash, b.tenantHash))
}

// expire deletes the reports that are older than [overQuotaRetention].
func (t overQuotaTable) expire(now time.Duration) {
	for hash, known := range t {
		if now-known.reportedAt > overQuotaRetention {
			delete(t, hash)
		}
	}
}

// insertBounded inserts an element into a sorted slice and keeps at most the first limit elements.
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
