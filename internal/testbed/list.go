package testbed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Entry is the entry of an app server in the list, in the format of the platform's protocol.
type Entry struct {
	InstanceID  string    `json:"instanceId"`
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Lifecycle   lifecycle `json:"lifecycle"`
	Weight      float64   `json:"weight"`
	StartedAtMs int64     `json:"startedAtMs"`

	number int // index of the app server in the environment
}

// lifecycle is the state of an app server in the list.
type lifecycle string

// Lifecycle states, as encoded in the discovery protocol.
const (
	lifecycleUp       lifecycle = "up"
	lifecycleDraining lifecycle = "draining" // finishes its current requests and rejects new ones
	lifecycleRemoved  lifecycle = "removed"
)

// listMessage is a message of discovery: the full list or the changes since an earlier generation.
type listMessage struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"` // the message contains the full list
	Instances  []Entry `json:"instances"`
}

// Timing of the platform's discovery. After the grace periods, the rules hold a node also to changes that it
// has not received directly.
const (
	heartbeatInterval = 2 * time.Second // interval of the empty lines that a watch sends as heartbeats

	// silentWatchGrace is the time from the beginning of a watch's silence to the time at which a node must
	// know the changes that the watch did not deliver.
	silentWatchGrace = 6 * time.Second
	// moveGrace is the time from SIGHUP to the time at which a node must know the list of its new agent.
	moveGrace = 4 * time.Second
	// pollInterval is the interval at which a node without a watch has to poll, if lists are polled.
	pollInterval = 10 * time.Second
	// failedPollFactor multiplies pollInterval after a failed call.
	failedPollFactor = 4
	// silenceDetectionTime is the time after which a node can detect that a watch is silent, because a
	// heartbeat is overdue.
	silenceDetectionTime = 2500 * time.Millisecond

	maxCallWait  = 2 * time.Second // longest time for which a call may queue at the service
	trickleChunk = 48              // bytes per write of a message with the encoding "trickle"
)

// list emulates discovery: it holds one versioned list of app servers and publishes changes with a delay. If
// the scenario uses the project's list service, list forwards the changes to the service, which then
// provides the list.
type list struct {
	env *environment

	mu             sync.Mutex
	generation     uint64
	entries        map[string]Entry        // servers that are not removed, by instance id
	history        []Entry                 // history[i] created generation i+1
	changes        chan struct{}           // closed at the next change
	extraDelay     time.Duration           // added to the scenario's ListDelay by a fault
	down           bool                    // discovery does not respond
	encoding       string                  // one of listEncodings; "": each message on one line
	listAtRunStart listMessage             // list at the start of the run
	nextCallAt     time.Time               // time at which the service will have processed its queued calls
	service        *listService            // service that provides the list; nil: the testbed's agents do
	eventTimes     map[listEvent]time.Time // time at which each change was applied
	serverNumbers  map[string]int          // index of the app server, by each instance id that it has had
	startedAgents  atomic.Int64            // number of the project's agents that were started
	agents         []*agent                // all agents of the run, including closed ones
	rollbacks      atomic.Int64            // number of messages with an older generation than the one before
	delays         *hdrhistogram.Histogram // from a change to its delivery to a node, in microseconds
}

// listEvent identifies a change of an app server's lifecycle state.
type listEvent struct {
	id        string
	lifecycle lifecycle
	started   int64 // start time of the server's process, in Unix milliseconds; 0: unknown
}

// newList returns an empty list.
func newList(env *environment) *list {
	return &list{env: env, entries: map[string]Entry{}, changes: make(chan struct{}), eventTimes: map[listEvent]time.Time{}, serverNumbers: map[string]int{}, delays: newHistogram()}
}

// publishLater publishes an entry after the delay with which discovery detects changes.
func (l *list) publishLater(e Entry) {
	l.mu.Lock()
	delay := time.Duration(l.env.scenario.Fleet.ListDelay) + l.extraDelay
	l.mu.Unlock()
	l.env.after(delay, func() { l.publish(e) })
}

// publish applies an entry as the next generation. If the agents have it at once, it counts as delivered.
func (l *list) publish(e Entry) {
	if l.apply(e) {
		l.markDelivered(listMessage{Instances: []Entry{e}})
	}
}

// apply applies an entry as the next generation. It reports whether the agents have the entry at once, which
// is not the case if a list service provides the list or if discovery is down.
func (l *list) apply(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	l.history = append(l.history, e)
	l.eventTimes[listEvent{e.InstanceID, e.Lifecycle, e.StartedAtMs}], l.serverNumbers[e.InstanceID] = time.Now(), e.number
	if l.service != nil {
		l.service.enqueue(e)
	}
	if e.Lifecycle == lifecycleRemoved {
		delete(l.entries, e.InstanceID)
	} else {
		l.entries[e.InstanceID] = e
	}
	close(l.changes)
	l.changes = make(chan struct{})
	return l.service == nil && !l.down
}

// markDelivered records a message that the agents have. The message counts as delivered to the nodes after
// their grace periods, even if a node has not received it.
func (l *list) markDelivered(m listMessage) {
	for _, n := range l.env.nodes {
		n.configMu.Lock()
		l.markDeliveredTo(n, m)
		n.configMu.Unlock()
	}
}

// markDeliveredTo is markDelivered for a single node. The caller holds n.configMu.
func (l *list) markDeliveredTo(n *edgeNode, m listMessage) {
	if at, ok := n.agent.deliveredAt(l.env.now(), n.movedAt); ok {
		l.env.recordDeliveredAt(n.number, m, at)
	}
}

// changesSince returns the changes after a generation, and a channel that is closed at the next change. It
// returns the full list instead if full is true or if the generation is 0 or unknown.
func (l *list) changesSince(from uint64, full bool) (listMessage, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := listMessage{Generation: l.generation, Reset: full || from == 0 || from > l.generation, Instances: []Entry{}}
	if m.Reset {
		for _, e := range l.entries {
			m.Instances = append(m.Instances, e)
		}
		return m, l.changes
	}
	position := map[string]int{} // in m.Instances
	for _, e := range l.history[from:] {
		if i, seen := position[e.InstanceID]; seen {
			m.Instances[i] = e
			continue
		}
		position[e.InstanceID] = len(m.Instances)
		m.Instances = append(m.Instances, e)
	}
	return m, l.changes
}

// nodeStartList returns the list that a node starts with. If the list service provides the list, its
// generation is 0: the service has its own generations, and sends the full list to a node that has
// generation 0.
func (l *list) nodeStartList() listMessage {
	m, _ := l.changesSince(0, true)
	if l.service != nil {
		m.Generation = 0
	}
	return m
}

// recordDelay records the delays of the changes that a message delivers to a node. The entries of a full list
// do not count as changes.
func (l *list) recordDelay(m listMessage) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range m.Instances {
		if at, ok := l.eventTimes[listEvent{e.InstanceID, e.Lifecycle, e.StartedAtMs}]; ok && !m.Reset {
			recordDuration(l.delays, now.Sub(at))
		}
	}
}

// upToDateNodes returns the number of nodes to which the current list was delivered.
func (l *list) upToDateNodes() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.env.checker.mu.Lock()
	defer l.env.checker.mu.Unlock()
	for _, delivered := range l.env.checker.delivered {
		same := true
		for id, d := range delivered {
			e, listed := l.entries[id]
			same = same && (listed && e.Lifecycle == d.state || !listed && d.state == lifecycleRemoved)
		}
		for id := range l.entries {
			_, known := delivered[id]
			same = same && known
		}
		if same {
			n++
		}
	}
	return n
}

// setExtraDelay sets a delay of changes in addition to the scenario's delay, or removes it if end is true.
func (l *list) setExtraDelay(delay time.Duration, end bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extraDelay = delay; end {
		l.extraDelay = 0
	}
}

// setDown begins or ends an outage of discovery. During the outage, the open watches are silent. The changes
// that the agents get at its end count as delivered at once, unless the outage was too short for a node to
// detect the silence of its watch.
func (l *list) setDown(down bool) {
	l.mu.Lock()
	restored := l.service == nil && l.down && !down
	l.down = down
	agents := slices.Clone(l.agents)
	l.mu.Unlock()
	if down {
		l.breakWatches(true)
	}
	if restored {
		for _, a := range agents {
			a.mu.Lock()
			if a.silentAt > 0 && l.env.now()-a.silentAt > silenceDetectionTime {
				a.silentAt = 0
			}
			a.mu.Unlock()
		}
		full, _ := l.changesSince(0, true)
		l.markDelivered(full)
	}
}

// breakWatches breaks all open watches. If silent is true, they stop sending; otherwise their connections are
// reset.
func (l *list) breakWatches(silent bool) {
	l.mu.Lock()
	agents := slices.Clone(l.agents)
	l.mu.Unlock()
	for _, a := range agents {
		a.mu.Lock()
		for w := range a.watches {
			delete(a.watches, w)
			if silent {
				a.silentAt = l.env.now()
				close(w.silent)
			} else {
				close(w.reset)
			}
		}
		a.mu.Unlock()
	}
}

// admitCall waits until the service can process a call, at the scenario's maximum rate. It returns false if
// the service rejects the call because the wait would exceed maxCallWait, or if ctx or the run ends first.
func (l *list) admitCall(ctx context.Context) bool {
	rate := l.env.scenario.Fleet.ListCallsPerS
	if rate == 0 {
		return true
	}
	l.mu.Lock()
	now := time.Now()
	if l.nextCallAt.Before(now) {
		l.nextCallAt = now
	}
	wait := l.nextCallAt.Sub(now)
	if wait > maxCallWait {
		l.mu.Unlock()
		return false
	}
	l.nextCallAt = l.nextCallAt.Add(time.Duration(float64(time.Second) / rate))
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
	case <-l.env.done:
	}
	return false
}

// isDown reports whether discovery has an outage.
func (l *list) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// close closes all agents of the run. Agents from which a node has moved may still be open.
func (l *list) close() {
	l.mu.Lock()
	agents := l.agents
	l.mu.Unlock()
	for _, a := range agents {
		a.close()
	}
}
