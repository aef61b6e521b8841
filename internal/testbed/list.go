package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Entry is an app server in the list, in the form of the platform's protocol.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`

	number int // of the server
}

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
	trickleChunk      = 48                      // bytes in a piece of a message that trickles
)

// Ways in which changes may be worded.
var listEncodings = []string{"indent", "trickle", "half", "noise", "entry"}

// list is the stand-in for discovery: one versioned list, told late.
type list struct {
	env *environment

	mu            sync.Mutex
	generation    uint64
	entries       map[string]Entry // all that are not removed
	history       []Entry          // log[i] made generation i+1
	changes       chan struct{}    // closed at the next change
	extraDelay    time.Duration    // beyond the scenario's own
	down          bool
	encoding      string                  // how changes are worded; "": on one line
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
	id, lifecycle string
	started       int64
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
	if e.Lifecycle == "removed" {
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

// markDeliveredTo is has for one node, whose configuration is locked.
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
			same = same && (listed && e.Lifecycle == k.state || !listed && k.state == "removed")
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

// setEncoding sets how changes are worded.
func (l *list) setEncoding(how string) {
	l.mu.Lock()
	l.encoding = how
	l.mu.Unlock()
}

// encode is a message as it is written, in pieces.
func (l *list) encode(m listMessage) ([][]byte, error) {
	l.mu.Lock()
	how := l.encoding
	l.mu.Unlock()
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if m.Reset && how != "indent" && how != "trickle" {
		how = "" // what can't be read can be made up for by the whole list
	}
	switch how {
	case "indent":
		var b bytes.Buffer
		if err := json.Indent(&b, text, "", "\t"); err != nil {
			return nil, err
		}
		text = b.Bytes()
	case "half":
		text = text[:len(text)/2]
	case "noise":
		text = append([]byte("\x00\xff{]"), text...)
	case "entry":
		text = bytes.Replace(text, []byte(`"instances":[`), []byte(`"instances":[{"instanceId":17,"lifecycle":{}},`), 1)
	}
	text = append(text, '\n')
	if how == "trickle" {
		return slices.Collect(slices.Chunk(text, trickleChunk)), nil
	}
	return [][]byte{text}, nil
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

// agentPort is below the ports of the project's agents.
const agentPort = 20000

// agent is the discovery agent on one node's machine.
type agent struct {
	list *list
	node int
	srv  *http.Server
	addr string

	sources        []string // addresses of the list service's replicas, or that of the project's agent
	proc           *process // of that; nil: none
	lastGeneration uint64   // version that the node was told last

	mu             sync.Mutex
	watches        map[*openWatch]struct{}
	silentAt       time.Duration // when the open watch fell silent, until discovery is called again; 0: it has not
	lastCallFailed bool          // the latest call was turned away or met an outage
}

// openWatch is a watch that works.
type openWatch struct {
	reset, silent chan struct{} // closed to have it broken
}

// deliveredAt is when what the agent gets now counts as told to its node. Where lists are asked for
// and the node has a watch that works, it counts when it is written, and ok is false.
func (a *agent) deliveredAt(now, moved time.Duration) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at = now
	switch {
	case a.silentAt > 0:
		at = max(at, a.silentAt+silentWatchGrace)
	case a.list.env.scenario.Fleet.ListPolled && len(a.watches) > 0:
		return 0, false
	case a.list.env.scenario.Fleet.ListPolled && a.lastCallFailed:
		at += failedPollFactor * pollInterval
	case a.list.env.scenario.Fleet.ListPolled:
		at += pollInterval
	}
	if moved > 0 {
		at = max(at, moved+moveGrace)
	}
	return at, true
}

// recordCall notes that the node has called, and whether it is answered.
func (a *agent) recordCall(answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastCallFailed = !answered; answered {
		a.silentAt = 0
	}
}

// addWatch notes a watch that works, until its end.
func (a *agent) addWatch() (w *openWatch, end func()) {
	w = &openWatch{make(chan struct{}), make(chan struct{})}
	a.mu.Lock()
	a.watches[w] = struct{}{}
	a.mu.Unlock()
	return w, func() {
		a.mu.Lock()
		delete(a.watches, w)
		a.mu.Unlock()
	}
}

// startAgent opens an agent for a node.
func startAgent(l *list, node int, addr string) (*agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("list agent of node %d: %w", node, err)
	}
	a := &agent{list: l, node: node, addr: ln.Addr().String(), watches: map[*openWatch]struct{}{}}
	a.srv = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	if l.service != nil {
		a.sources = l.service.addresses()
	}
	if l.env.scenario.Fleet.ListAgents {
		own := fmt.Sprintf("%s:%d", l.env.addresses.addr(11, node%250), agentPort+l.projectAgents.Add(1)) // a node that moves has a second one
		if a.proc, err = l.service.startAgent(node, own); err != nil {
			return nil, err
		}
		a.sources = []string{own}
	}
	l.mu.Lock()
	l.agents = append(l.agents, a)
	l.mu.Unlock()
	l.env.work.Go(func() {
		if err := a.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.env.fail(fmt.Errorf("list agent of node %d: %w", node, err))
		}
	})
	return a, nil
}

// ServeHTTP answers the list or a watch of it.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	if a.list.isDown() {
		a.recordCall(false)
		a.staySilent(r.Context())
		return
	}
	a.list.env.listCalls.Add(1)
	if !a.list.admitCall(r.Context()) {
		a.recordCall(false)
		http.Error(w, "the line is full", http.StatusServiceUnavailable)
		return
	}
	a.recordCall(true)
	whole := r.URL.Query().Get("watch") == ""
	if whole && a.list.service != nil {
		a.relay(w, r, 0, true)
		return
	}
	if whole {
		m, _ := a.list.since(0, true)
		a.send(w, m)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a generation is wanted", http.StatusBadRequest)
		return
	}
	if a.list.service != nil {
		a.relay(w, r, from, false)
		return
	}
	rc := http.NewResponseController(w)
	open, end := a.addWatch()
	defer end()
	m, more := a.list.since(from, false)
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		if a.list.isDown() {
			a.staySilent(r.Context())
			return
		}
		if m.Reset || len(m.Instances) > 0 {
			if !a.send(w, m) {
				return
			}
			from = m.Generation
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.list.env.over:
			return
		case <-open.reset:
			panic(http.ErrAbortHandler) // net/http's way to break a connection off
		case <-open.silent:
			a.staySilent(r.Context())
			return
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			m = listMessage{}
		case <-more:
			m, more = a.list.since(from, false)
		}
	}
}

// relay tells the node what the list service's replicas say; while none does it is silent. Where
// only the whole list is asked for, it ends with that.
func (a *agent) relay(w http.ResponseWriter, r *http.Request, from uint64, whole bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(a.list.env.ctx, cancel)()
	rc := http.NewResponseController(w)
	if !whole && rc.Flush() != nil {
		return
	}
	a.list.service.follow(ctx, a.sources, a.node, from, func(m *listMessage) bool {
		switch {
		case a.list.isDown():
			a.staySilent(ctx)
			return false
		case whole && (m == nil || !m.Reset):
			return true
		case m == nil:
			_, err := w.Write([]byte("\n"))
			return err == nil && rc.Flush() == nil
		}
		a.list.mu.Lock()
		if m.Generation < a.lastGeneration {
			a.list.rollbacks.Add(1)
		}
		a.lastGeneration = m.Generation
		for i := range m.Instances {
			m.Instances[i].number = a.list.serverNumbers[m.Instances[i].InstanceID]
		}
		a.list.mu.Unlock()
		return a.send(w, *m) && !whole
	})
}

// staySilent is silence on an open connection.
func (a *agent) staySilent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.list.env.over:
	}
}

// send sends one message with the addresses that this node must use, and books that the
// node was told.
func (a *agent) send(w http.ResponseWriter, m listMessage) bool {
	m = a.list.env.addressedFor(a.node, m)
	pieces, err := a.list.encode(m)
	if err != nil {
		a.list.env.fail(fmt.Errorf("list: %w", err))
		return false
	}
	for _, text := range pieces {
		if _, err := w.Write(text); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	a.list.env.recordDelivered(a.node, m)
	a.list.recordDelay(m)
	return true
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

// close ends the agent and its watches.
func (a *agent) close() {
	_ = a.srv.Close()
	if a.proc != nil {
		a.proc.stop(stopWithin)
	}
}
