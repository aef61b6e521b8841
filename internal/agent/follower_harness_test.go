package agent

import (
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// testEntry returns the entry of endpoint number n.
func testEntry(n int, lifecycle string) discovery.Entry {
	return discovery.Entry{ID: fmt.Sprint("s-", n), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+n), Lifecycle: lifecycle, Weight: 1}
}

// snapshotOf returns a message with a complete list: the first n endpoints, all of them up.
func snapshotOf(generation uint64, n int) discovery.Message {
	m := discovery.Message{Generation: generation, Snapshot: true}
	for i := range n {
		m.Entries = append(m.Entries, testEntry(i, discovery.Up))
	}
	return m
}

// testingT is the common interface of *testing.T and *rapid.T that a followerHarness uses.
type testingT interface {
	Helper()
	Fatal(...any)
	Errorf(string, ...any)
}

// followerHarness takes the place of a follower's host. It sets the time, reports the results of calls and
// collects the follower's actions by kind.
type followerHarness struct {
	t         testingT
	follower  *Follower
	now       time.Duration
	watches   []Action
	fetches   []Action
	published []discovery.Message
	records   []LogRecord
}

func newFollowerHarness(t testingT, replicas ...string) *followerHarness {
	h := &followerHarness{t: t, follower: NewFollower(0, "m", replicas, DefaultRules(), 1)}
	h.collectActions()
	return h
}

// collectActions collects the pending actions of the follower.
func (h *followerHarness) collectActions() {
	for _, a := range h.follower.TakeActions() {
		switch a.Kind {
		case OpenWatch:
			h.watches = append(h.watches, a)
		case FetchSnapshot:
			h.fetches = append(h.fetches, a)
		case PublishList:
			h.published = append(h.published, a.List)
		case WriteLog:
			h.records = append(h.records, a.Record)
		}
	}
}

// wait advances the time by d and calls Tick whenever it is due.
func (h *followerHarness) wait(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = max(min(end, h.follower.NextTick()), h.now+time.Millisecond)
		h.follower.Tick(h.now)
		h.collectActions()
	}
}

// connect waits until the follower opens a watch, reports it as open and returns the action.
func (h *followerHarness) connect() Action {
	h.t.Helper()
	for n := len(h.watches); len(h.watches) == n; h.wait(10 * time.Millisecond) {
		if h.now > time.Hour {
			h.t.Fatal("the follower has opened no watch, and its clock has passed one hour")
		}
	}
	a := h.watches[len(h.watches)-1]
	h.follower.WatchOpened(h.now, a.CallID)
	return a
}

// receive reports a message of the current watch.
func (h *followerHarness) receive(m discovery.Message) {
	h.follower.MessageReceived(h.now, h.follower.callID, m)
	h.collectActions()
}

// expectPublished checks the number of endpoints and the generation of the published list.
func (h *followerHarness) expectPublished(endpoints int, generation uint64) {
	h.t.Helper()
	m := h.follower.Published()
	if len(m.Entries) != endpoints || m.Generation != generation {
		h.t.Errorf("%d endpoints at generation %d are published, want %d at %d; log records %v", len(m.Entries), m.Generation, endpoints, generation, h.records)
	}
}
