package agent

import (
	"fmt"
	"time"

	"opalhook/internal/discovery"
)

// testEntry is an endpoint by number.
func testEntry(n int, lifecycle string) discovery.Entry {
	return discovery.Entry{InstanceID: fmt.Sprint("s-", n), HostPort: fmt.Sprintf("127.0.0.1:%d", 1000+n), Lifecycle: lifecycle, Weight: 1}
}

// snapshotOf is a complete list of the first n endpoints, all of them up.
func snapshotOf(generation uint64, n int) discovery.Message {
	m := discovery.Message{Generation: generation, Reset: true}
	for i := range n {
		m.Instances = append(m.Instances, testEntry(i, discovery.Up))
	}
	return m
}

// testingT is what a rig needs of a test, of the standard library's or of rapid's.
type testingT interface {
	Helper()
	Fatal(...any)
	Errorf(string, ...any)
}

// followerHarness drives a follower in the place of its host.
type followerHarness struct {
	t         testingT
	f         *Follower
	now       time.Duration
	watches   []Action
	fetches   []Action
	published []discovery.Message
	events    []Event
}

func newFollowerHarness(t testingT, replicas ...string) *followerHarness {
	r := &followerHarness{t: t, f: NewFollower(0, "m", replicas, DefaultRules(), 1)}
	r.drain()
	return r
}

// drain takes the actions of the follower.
func (r *followerHarness) drain() {
	for _, a := range r.f.DrainActions() {
		switch a.Kind {
		case OpenWatch:
			r.watches = append(r.watches, a)
		case FetchSnapshot:
			r.fetches = append(r.fetches, a)
		case PublishList:
			r.published = append(r.published, a.List)
		case LogEvent:
			r.events = append(r.events, a.Event)
		}
	}
}

// wait lets time pass in small steps.
func (r *followerHarness) wait(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = max(min(end, r.f.NextTick()), r.now+time.Millisecond)
		r.f.Tick(r.now)
		r.drain()
	}
}

// connect waits for the next call and answers it.
func (r *followerHarness) connect() Action {
	r.t.Helper()
	for n := len(r.watches); len(r.watches) == n; r.wait(10 * time.Millisecond) {
		if r.now > time.Hour {
			r.t.Fatal("no call in an hour")
		}
	}
	a := r.watches[len(r.watches)-1]
	r.f.WatchOpened(r.now, a.CallID)
	return a
}

// receive hands over a message of the current watch.
func (r *followerHarness) receive(m discovery.Message) {
	r.f.MessageReceived(r.now, r.f.callID, m)
	r.drain()
}

// expectPublished checks the list that nodes have.
func (r *followerHarness) expectPublished(endpoints int, generation uint64) {
	r.t.Helper()
	m := r.f.Published()
	if len(m.Instances) != endpoints || m.Generation != generation {
		r.t.Errorf("%d endpoints at generation %d are published, want %d at %d; events %v", len(m.Instances), m.Generation, endpoints, generation, r.events)
	}
}
