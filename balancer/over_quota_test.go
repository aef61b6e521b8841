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
		{overQuotaThreshold, 1, 0}, // within its quota: not kept
		{0.5, 0.5, 1},              // over it
		{0.99, 0.99, 1},            // within it again: kept, to correct what was recorded before
	} {
		table.record(testStart, 1, step.recorded)
		if got := table.grantedFraction(1); got != step.want || len(table) != step.entries {
			t.Errorf("%v after %v was recorded, want %v; %d entries", got, step.recorded, step.want, len(table))
		}
	}
	if got := table.grantedFraction(2); got != 1 {
		t.Errorf("%v of a tenant that is unknown", got)
	}
}

func TestOverQuotaReportsExpire(t *testing.T) {
	table := overQuotaTable{}
	table.record(testStart, 1, 0.5)
	if table.expire(testStart + overQuotaRetention); len(table) != 1 {
		t.Error("dropped before its time")
	}
	if table.expire(testStart + overQuotaRetention + 1); len(table) != 0 {
		t.Error("retained past its time")
	}
}

// Within the precision of ages a report may be what is known already.
func TestOverQuotaTakesOnlyNewerReports(t *testing.T) {
	const precision = ageUnit + peerMessageDelay
	for at, want := range map[time.Duration]float64{testStart + precision: 0.5, testStart + precision + 1: 0.2} {
		table := overQuotaTable{}
		table.record(testStart, 1, 0.5)
		table.receive(at+peerMessageDelay, []overQuotaReport{{tenantHash(1), 0.2, 0}})
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
		t.Errorf("%+v are too old to send", got)
	}
}
