package balancer

import (
	"testing"
	"time"
)

func TestOverQuotaThreshold(t *testing.T) {
	table := overQuotaTable{}
	for _, step := range []struct {
		recorded, want float64
		entries        int
	}{
		{overQuotaThreshold, 1, 0}, // within its quota: not stored
		{0.5, 0.5, 1},              // over its quota: stored
		{0.99, 0.99, 1},            // within its quota again: replaces the earlier entry
	} {
		table.record(testStart, 1, step.recorded)
		if got := table.grantedFraction(1); got != step.want || len(table) != step.entries {
			t.Errorf("recorded %v: granted fraction %v, want %v; %d entries, want %d",
				step.recorded, got, step.want, len(table), step.entries)
		}
	}
	if got := table.grantedFraction(2); got != 1 {
		t.Errorf("granted fraction %v of an unknown tenant, want 1", got)
	}
}

func TestOverQuotaReportsExpire(t *testing.T) {
	table := overQuotaTable{}
	table.record(testStart, 1, 0.5)
	if table.expire(testStart + overQuotaRetention); len(table) != 1 {
		t.Error("report expired too early")
	}
	if table.expire(testStart + overQuotaRetention + 1); len(table) != 0 {
		t.Error("report did not expire")
	}
}

// Guards against counting a report as new when its age differs from that of the known report only within the
// precision of encoded ages.
func TestOverQuotaAppliesOnlyNewerReports(t *testing.T) {
	const precision = ageUnit + peerMessageDelay
	for at, want := range map[time.Duration]float64{testStart + precision: 0.5, testStart + precision + 1: 0.2} {
		table := overQuotaTable{}
		table.record(testStart, 1, 0.5)
		table.merge(at+peerMessageDelay, []overQuotaReport{{tenantHash(1), 0.2, 0}})
		if got := table.grantedFraction(1); got != want {
			t.Errorf("granted fraction %v after a report %v later, want %v", got, at-testStart, want)
		}
	}
}

func TestNewestOverQuotaReportsAreSent(t *testing.T) {
	table := overQuotaTable{}
	for hash := range uint16(20) {
		table[hash] = overQuotaTenant{0.5, testStart - time.Duration(hash/2)*ms}
	}
	table[100] = overQuotaTenant{0.5, testStart - loadGossipMaxAge}
	got := table.appendNewest(nil, testStart)
	if len(got) != maxOverQuotaEntries {
		t.Fatalf("%d reports, want %d", len(got), maxOverQuotaEntries)
	}
	for i, report := range got {
		if want := (overQuotaReport{uint16(i), 0.5, time.Duration(i/2) * ms}); report != want {
			t.Errorf("report %d is %+v, want %+v", i, report, want)
		}
	}
	clear(table)
	table[100] = overQuotaTenant{0.5, testStart - loadGossipMaxAge}
	if got := table.appendNewest(nil, testStart); len(got) != 0 {
		t.Errorf("reports %+v are too old to be sent", got)
	}
}
