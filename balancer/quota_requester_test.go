package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestUnansweredOwners(t *testing.T) {
	requester := newQuotaRequester(5)
	for range maxUnansweredQuotaRequests - 1 {
		requester.recordUnanswered(1)
	}
	if !requester.waitsFor(1) || requester.mayRepeat(1, false) || !requester.mayRepeat(2, false) ||
		requester.mayRepeat(2, true) || requester.isolated() {
		t.Errorf("%+v: want to wait without repeats", requester)
	}
	requester.recordMessage()
	if requester.recordUnanswered(1); requester.waitsFor(1) || !requester.waitsFor(2) || requester.isolated() {
		t.Errorf("%+v: want to wait for any but 1", requester)
	}
	requester.recordGrant(1)
	if !requester.waitsFor(1) || !requester.mayRepeat(1, false) {
		t.Errorf("%+v: want to wait for 1 after its grant", requester)
	}
}

// Without a message of any peer, the owners need not be the same.
func TestIsolatedRequester(t *testing.T) {
	requester := newQuotaRequester(5)
	for owner := range maxUnansweredQuotaRequests {
		if requester.isolated() {
			t.Errorf("isolated after %d requests", owner)
		}
		requester.recordUnanswered(owner)
	}
	if !requester.isolated() || requester.waitsFor(4) {
		t.Errorf("%+v: want no waiting", requester)
	}
	if requester.recordMessage(); requester.isolated() || !requester.waitsFor(4) {
		t.Errorf("%+v: want to wait after a message", requester)
	}
}

func TestUnansweredAdmission(t *testing.T) {
	for _, c := range []struct {
		sent                    bool
		granted, rejected, half float64 // what the owner has to add; half at even odds of a grant
	}{{true, 0, -8, -6}, {false, 8, 0, 2}} {
		admission := unansweredAdmission{units: 8, sent: c.sent}
		if got := admission.unreconciledUnits(true); got != c.granted {
			t.Errorf("sent %v, granted: %v units, want %v", c.sent, got, c.granted)
		}
		if got := admission.unreconciledUnits(false); got != c.rejected {
			t.Errorf("sent %v, rejected: %v units, want %v", c.sent, got, c.rejected)
		}
		if got := admission.expectUnits(0.5); got != c.half {
			t.Errorf("sent %v, unknown: %v units, want %v", c.sent, got, c.half)
		}
	}
}

func TestAdmissionsAreTakenOnceAndExpire(t *testing.T) {
	requester := newQuotaRequester(5)
	for number := range uint64(2) {
		requester.recordAdmission(number, unansweredAdmission{quotaOwner: 3, at: testStart})
	}
	if _, ok := requester.takeAdmission(0, 4); ok {
		t.Error("taken for a grant of another node")
	}
	if _, ok := requester.takeAdmission(0, 3); !ok {
		t.Error("not taken for the owner's grant")
	}
	if _, ok := requester.takeAdmission(0, 3); ok {
		t.Error("taken twice")
	}
	requester.expire(testStart + unansweredAdmissionRetention)
	if len(requester.admissions) != 1 {
		t.Error("expired before its time")
	}
	if requester.expire(testStart + unansweredAdmissionRetention + 1); len(requester.admissions) != 0 {
		t.Error("kept past its time")
	}
}

// The owner is told whole units. What rounding leaves is told later.
func TestReconciliationReports(t *testing.T) {
	state := requesterState{incarnation: 5}
	for _, step := range []struct {
		units, want, unreported float64
	}{{0.4, 0, 0.4}, {0.4, 1, -0.2}, {3, 4, -0.2}} {
		state.correct(step.units)
		if got := state.report(); got != (reconciliation{5, step.want}) {
			t.Errorf("%v more: reports %+v, want %v", step.units, got, step.want)
		}
		if got := state.unreported(); got < step.unreported-1e-9 || got > step.unreported+1e-9 {
			t.Errorf("%v more: %v unreported, want %v", step.units, got, step.unreported)
		}
	}
}

// A sum that a message cannot hold is begun anew in another incarnation.
func TestReconciliationIsRenewed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	state := requesterState{incarnation: maxIncarnation}
	state.correct(-maxReconciledUnits)
	if state.renew(random); state.incarnation != maxIncarnation || state.reconciled != -maxReconciledUnits {
		t.Errorf("renewed at the bound: %+v", state)
	}
	state.correct(-1)
	if state.renew(random); state.incarnation == maxIncarnation || state.report().units != 0 {
		t.Errorf("not renewed beyond the bound: %+v", state)
	}
}

func TestLocalRejections(t *testing.T) {
	var state requesterState
	if _, rejected := state.rejects(testStart); rejected {
		t.Error("rejects without a rejection")
	}
	state.rejectUntil(testStart + time.Second)
	if remaining, rejected := state.rejects(testStart); !rejected || remaining != time.Second {
		t.Errorf("%v for %v", rejected, remaining)
	}
	if _, rejected := state.rejects(testStart + time.Second); rejected {
		t.Error("rejects at the end of the time")
	}
	state.recordRejected(2)
	state.recordRejected(3)
	if got := state.takeRejected(); got != 5 || state.takeRejected() != 0 {
		t.Errorf("%v units, want 5, once", got)
	}
}
