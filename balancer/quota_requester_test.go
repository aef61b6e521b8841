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
		t.Errorf("%+v: must wait for owner 1 without repeats", requester)
	}
	requester.recordMessage()
	if requester.recordUnanswered(1); requester.waitsFor(1) || !requester.waitsFor(2) || requester.isolated() {
		t.Errorf("%+v: must wait for every owner except 1", requester)
	}
	requester.recordAnswer(1)
	if !requester.waitsFor(1) || !requester.mayRepeat(1, false) {
		t.Errorf("%+v: must wait for owner 1 after its answer", requester)
	}
}

// Unanswered quota requests to different owners also isolate a node if no peer sends a message.
func TestIsolatedRequester(t *testing.T) {
	requester := newQuotaRequester(5)
	for owner := range maxUnansweredQuotaRequests {
		if requester.isolated() {
			t.Errorf("isolated after %d unanswered requests", owner)
		}
		requester.recordUnanswered(owner)
	}
	if !requester.isolated() || requester.waitsFor(4) {
		t.Errorf("%+v: must not wait while isolated", requester)
	}
	if requester.recordMessage(); requester.isolated() || !requester.waitsFor(4) {
		t.Errorf("%+v: must wait again after a message from a peer", requester)
	}
}

func TestUnansweredDecisionCorrections(t *testing.T) {
	for _, c := range []struct {
		sent                        bool
		granted, rejected, expected float64 // corrections; expected is for a granted fraction of 0.5
	}{{true, 0, -8, -6}, {false, 8, 0, 2}} {
		decision := unansweredDecision{units: 8, sent: c.sent}
		if got := decision.correction(true); got != c.granted {
			t.Errorf("sent %v, granted: %v units, want %v", c.sent, got, c.granted)
		}
		if got := decision.correction(false); got != c.rejected {
			t.Errorf("sent %v, rejected: %v units, want %v", c.sent, got, c.rejected)
		}
		if got := decision.expectedCorrection(0.5); got != c.expected {
			t.Errorf("sent %v, unknown: %v units, want %v", c.sent, got, c.expected)
		}
	}
}

func TestUnansweredDecisionsAreTakenOnceAndExpire(t *testing.T) {
	requester := newQuotaRequester(5)
	for number := range uint64(2) {
		requester.recordDecision(number, unansweredDecision{quotaOwner: 3, decidedAt: testStart})
	}
	if _, ok := requester.takeDecision(0, 4); ok {
		t.Error("the decision was taken for a grant from another node")
	}
	if _, ok := requester.takeDecision(0, 3); !ok {
		t.Error("the decision was not taken for the owner's grant")
	}
	if _, ok := requester.takeDecision(0, 3); ok {
		t.Error("the decision was taken twice")
	}
	requester.expire(testStart + unansweredDecisionRetention)
	if len(requester.decisions) != 1 {
		t.Error("the decision expired too early")
	}
	if requester.expire(testStart + unansweredDecisionRetention + 1); len(requester.decisions) != 0 {
		t.Error("the decision did not expire")
	}
}

// Corrections are reported to the owner as whole numbers. Guards against losing the rounding remainders,
// which later reports must include.
func TestReconciliationReports(t *testing.T) {
	state := requesterState{incarnation: 5}
	for _, step := range []struct {
		units, want, unreported float64
	}{{0.4, 0, 0.4}, {0.4, 1, -0.2}, {3, 4, -0.2}} {
		state.addCorrection(step.units)
		if got := state.report(); got != (reconciliation{5, step.want}) {
			t.Errorf("correction of %v: reported %+v, want %v units", step.units, got, step.want)
		}
		if got := state.unreported(); got < step.unreported-1e-9 || got > step.unreported+1e-9 {
			t.Errorf("correction of %v: %v unreported, want %v", step.units, got, step.unreported)
		}
	}
}

// Guards against a sum of corrections that is too large for a message. The sum must restart at 0 in a new
// incarnation.
func TestLargeCorrectionSumStartsNewIncarnation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	state := requesterState{incarnation: maxIncarnation}
	state.addCorrection(-maxCorrectionSum)
	if state.renewIncarnation(random); state.incarnation != maxIncarnation || state.correctionSum != -maxCorrectionSum {
		t.Errorf("a new incarnation was started at the maximum sum: %+v", state)
	}
	state.addCorrection(-1)
	if state.renewIncarnation(random); state.incarnation == maxIncarnation || state.report().units != 0 {
		t.Errorf("no new incarnation was started beyond the maximum sum: %+v", state)
	}
}

func TestLocalRejections(t *testing.T) {
	var state requesterState
	if _, rejected := state.rejects(testStart); rejected {
		t.Error("rejects requests without a rejection by the owner")
	}
	state.rejectUntil(testStart + time.Second)
	if remaining, rejected := state.rejects(testStart); !rejected || remaining != time.Second {
		t.Errorf("rejects %v, for %v; want true, for 1s", rejected, remaining)
	}
	if _, rejected := state.rejects(testStart + time.Second); rejected {
		t.Error("rejects requests after the retry delay")
	}
	state.recordRejected(2)
	state.recordRejected(3)
	if got := state.takeRejected(); got != 5 || state.takeRejected() != 0 {
		t.Errorf("%v rejected units, want 5 in the first call and 0 in the second", got)
	}
}
