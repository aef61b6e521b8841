package testbed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Entry is an app server in the list, in the form of the platform's protocol.
type Entry struct {
	InstanceID  string    `json:"instanceId"`
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Lifecycle   lifecycle `json:"lifecycle"`
	Weight      float64   `json:"weight"`
	StartedAtMs int64     `json:"startedAtMs"`

	number int // of the server
}

// lifecycle is what discovery says of an app server.
type lifecycle string

// Lifecycles, as discovery's protocol writes them.
const (
	lifecycleUp       lifecycle = "up"
	lifecycleDraining lifecycle = "draining" // finishes what it has
	lifecycleRemoved  lifecycle = "removed"
)

// listMessage is one message of discovery.
type listMessage struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Figures of the platform's discovery.
const (
	heartbeatInterval = 2 * time.Second         // the pace of a watch's empty lines
	silentWatchGrace  = 6 * time.Second         // what a silent watch misses counts as told so long after it fell silent
	moveGrace         = 4 * time.Second         // after SIGHUP, what the new discovery has
	pollInterval      = 10 * time.Second        // where lists are asked for: a node without a watch has to ask so often
	failedPollFactor  = 4                       // and so many times more seldom after a failed call
	silenceNoticed    = 2500 * time.Millisecond // in which a watch's silence can be noticed: an empty line is late
	maxCallWait       = 2 * time.Second         // a call waits in the service's line, and is turned away then
	trickleChunk      = 48                      // bytes of a chunk of a message that trickles
)

// list is the stand-in for discovery: one versioned list, told late.
type list struct {
	env *environment

	mu            sync.Mutex
	generation    uint64
	entries       map[string]Entry // all that are not removed
	history       []Entry          // history[i] made generation i+1
	changes       chan struct{}    // closed at the next change
	extraDelay    time.Duration    // beyond the scenario's own
	down          bool
	encoding      string                  // how changes are encoded; "": on one line
	atStart       listMessage             // the list of the run's start
	nextCallAt    time.Time               // when the service has served the calls in its line
	service       *listService            // where the list is kept if not here; nil: here
	eventTimes    map[listEvent]time.Time // when the list took each change in
	serverNumbers map[string]int          // of the servers, by the names that they have had
	projectAgents atomic.Int64            // of the project, that were started
	agents        []*agent
	rollbacks     atomic.Int64            // messages that took a node's list back
	delays        *hdrhistogram.Histogram // microseconds from there to each node's being told
}

// listEvent is one change of one start of an app server.
type listEvent struct {
	id        string
	lifecycle lifecycle
	started   int64
}

func newList(env *environment) *list {
	return &list{env: env, entries: map[string]Entry{}, changes: make(chan struct{}), eventTimes: map[listEvent]time.Time{}, serverNumbers: map[string]int{}, delays: newHistogram()}
}

// publishLater takes in an entry, once discovery has noticed.
func (l *list) publishLater(e Entry) {
	l.mu.Lock()
	late := time.Duration(l.env.scenario.Fleet.ListDelay) + l.extraDelay
	l.mu.Unlock()
	l.env.after(late, func() { l.publish(e) })
}

// publish makes an entry the next generation.
func (l *list) publish(e Entry) {
	if l.apply(e) {
		l.markDelivered(listMessage{Instances: []Entry{e}})
	}
}

// apply makes an entry the next generation and tells whether the agents have it at once.
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

// markDelivered books what the agents have: it counts as told, whether or not it has come to the nodes.
func (l *list) markDelivered(m listMessage) {
	for _, n := range l.env.nodes {
		n.config.Lock()
		l.markDeliveredTo(n, m)
		n.config.Unlock()
	}
}

// markDeliveredTo is markDelivered for one node, whose configuration is locked.
func (l *list) markDeliveredTo(n *edgeNode, m listMessage) {
	if at, ok := n.agent.deliveredAt(l.env.now(), n.movedAt); ok {
		l.env.recordDeliveredAt(n.number, m, at)
	}
}

// since is what has changed after a generation, or the whole list where that is not known,
// and a channel that is closed at the next change.
func (l *list) since(from uint64, whole bool) (listMessage, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := listMessage{Generation: l.generation, Reset: whole || from == 0 || from > l.generation, Instances: []Entry{}}
	if m.Reset {
		for _, e := range l.entries {
			m.Instances = append(m.Instances, e)
		}
		return m, l.changes
	}
	last := map[string]int{}
	for _, e := range l.history[from:] {
		if i, seen := last[e.InstanceID]; seen {
			m.Instances[i] = e
			continue
		}
		last[e.InstanceID] = len(m.Instances)
		m.Instances = append(m.Instances, e)
	}
	return m, l.changes
}

// initial is the list that a node starts with. The list service numbers its versions itself, and
// tells the whole list to one that holds none.
func (l *list) initial() listMessage {
	m, _ := l.since(0, true)
	if l.service != nil {
		m.Generation = 0
	}
	return m
}

// recordDelay books how late a node was told of changes; what comes as a whole list is none.
func (l *list) recordDelay(m listMessage) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range m.Instances {
		if at, ok := l.eventTimes[listEvent{e.InstanceID, e.Lifecycle, e.StartedAtMs}]; ok && !m.Reset {
			record(l.delays, now.Sub(at))
		}
	}
}

// upToDate counts the nodes that have been told of the list as it is.
func (l *list) upToDate() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.env.checker.mu.Lock()
	defer l.env.checker.mu.Unlock()
	for _, told := range l.env.checker.delivered {
		same := true
		for id, k := range told {
			e, listed := l.entries[id]
			same = same && (listed && e.Lifecycle == k.state || !listed && k.state == lifecycleRemoved)
		}
		for id := range l.entries {
			_, known := told[id]
			same = same && known
		}
		if same {
			n++
		}
	}
	return n
}

// setExtraDelay has discovery tell of changes so much later than the scenario says, until that ends.
func (l *list) setExtraDelay(delay time.Duration, end bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extraDelay = delay; end {
		l.extraDelay = 0
	}
}

// setDown ends or begins service. The open watches fall silent. What the agents get at the return
// counts at once, unless the outage was shorter than a silent watch takes to be noticed.
func (l *list) setDown(down bool) {
	l.mu.Lock()
	back := l.service == nil && l.down && !down
	l.down = down
	started := slices.Clone(l.agents)
	l.mu.Unlock()
	if down {
		l.breakWatches(true)
	}
	if back {
		for _, a := range started {
			a.mu.Lock()
			if a.silentAt > 0 && l.env.now()-a.silentAt > silenceNoticed {
				a.silentAt = 0
			}
			a.mu.Unlock()
		}
		whole, _ := l.since(0, true)
		l.markDelivered(whole)
	}
}

// breakWatches resets or silences all open watches.
func (l *list) breakWatches(silent bool) {
	l.mu.Lock()
	all := slices.Clone(l.agents)
	l.mu.Unlock()
	for _, a := range all {
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

// admitCall has a call wait for its turn at the service; it is false where the call is turned away.
func (l *list) admitCall(ctx context.Context) bool {
	perS := l.env.scenario.Fleet.ListCallsPerS
	if perS == 0 {
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
	l.nextCallAt = l.nextCallAt.Add(time.Duration(float64(time.Second) / perS))
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
	case <-l.env.over:
	}
	return false
}

func (l *list) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// close ends all agents that were ever started: one that a node has left may be open still.
func (l *list) close() {
	l.mu.Lock()
	all := l.agents
	l.mu.Unlock()
	for _, a := range all {
		a.close()
	}
}
