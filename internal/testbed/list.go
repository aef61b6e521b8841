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
	beatEvery    = 2 * time.Second         // the pace of a watch's empty lines
	silentTold   = 6 * time.Second         // what a silent watch misses counts as told so long after it fell silent
	movedTold    = 4 * time.Second         // after SIGHUP, what the new discovery has
	askWithin    = 10 * time.Second        // where lists are asked for: a node without a watch has to ask so often
	failedTimes  = 4                       // and so many times more seldom after a failed call
	noticed      = 2500 * time.Millisecond // in which a watch's silence can be noticed: an empty line is late
	lineMost     = 2 * time.Second         // a call waits in the service's line, and is turned away then
	pieceOfWords = 48                      // bytes in a piece of a message that trickles
)

// Ways in which changes may be worded.
var listWords = []string{"indent", "trickle", "half", "noise", "entry"}

// list is the stand-in for discovery: one versioned list, told late.
type list struct {
	w *world

	mu         sync.Mutex
	generation uint64
	entries    map[string]Entry // all that are not removed
	log        []Entry          // log[i] made generation i+1
	more       chan struct{}    // closed at the next change
	late       time.Duration    // beyond the scenario's own
	down       bool
	words      string                  // how changes are worded; "": on one line
	first      listMessage             // the list of the run's start
	lineFree   time.Time               // when the service has served the calls in its line
	service    *service                // where the list is kept if not here; nil: here
	happened   map[happening]time.Time // when the list took each change in
	numbers    map[string]int          // of the servers, by the names that they have had
	agents     atomic.Int64            // of the project, that were started
	started    []*agent
	back       atomic.Int64            // messages that took a node's list back
	told       *hdrhistogram.Histogram // microseconds from there to each node's being told
}

// happening is one change of one start of an app server.
type happening struct {
	id, lifecycle string
	started       int64
}

func newList(w *world) *list {
	return &list{w: w, entries: map[string]Entry{}, more: make(chan struct{}), happened: map[happening]time.Time{}, numbers: map[string]int{}, told: newHistogram()}
}

// changed takes in an entry, once discovery has noticed.
func (l *list) changed(e Entry) {
	l.mu.Lock()
	late := time.Duration(l.w.s.Fleet.ListLate) + l.late
	l.mu.Unlock()
	l.w.after(late, func() { l.put(e) })
}

// put makes an entry the next generation.
func (l *list) put(e Entry) {
	if l.take(e) {
		l.has(listMessage{Instances: []Entry{e}})
	}
}

// take makes an entry the next generation and tells whether the agents have it at once.
func (l *list) take(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
	l.log = append(l.log, e)
	l.happened[happening{e.InstanceID, e.Lifecycle, e.StartedAtMs}], l.numbers[e.InstanceID] = time.Now(), e.number
	if l.service != nil {
		l.service.put(e)
	}
	if e.Lifecycle == "removed" {
		delete(l.entries, e.InstanceID)
	} else {
		l.entries[e.InstanceID] = e
	}
	close(l.more)
	l.more = make(chan struct{})
	return l.service == nil && !l.down
}

// has books what the agents have: it counts as told, whether or not it has come to the nodes.
func (l *list) has(m listMessage) {
	for _, n := range l.w.nodes {
		n.config.Lock()
		l.nodeHas(n, m)
		n.config.Unlock()
	}
}

// nodeHas is has for one node, whose configuration is locked.
func (l *list) nodeHas(n *nodeState, m listMessage) {
	if at, ok := n.agent.toldAt(l.w.now(), n.movedAt); ok {
		l.w.toldFrom(n.number, m, at)
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
		return m, l.more
	}
	last := map[string]int{}
	for _, e := range l.log[from:] {
		if i, seen := last[e.InstanceID]; seen {
			m.Instances[i] = e
			continue
		}
		last[e.InstanceID] = len(m.Instances)
		m.Instances = append(m.Instances, e)
	}
	return m, l.more
}

// known is the list that a node starts with. The list service numbers its versions itself, and
// tells the whole list to one that holds none.
func (l *list) known() listMessage {
	m, _ := l.since(0, true)
	if l.service != nil {
		m.Generation = 0
	}
	return m
}

// heard books how late a node was told of changes; what comes as a whole list is none.
func (l *list) heard(m listMessage) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range m.Instances {
		if at, ok := l.happened[happening{e.InstanceID, e.Lifecycle, e.StartedAtMs}]; ok && !m.Reset {
			record(l.told, now.Sub(at))
		}
	}
}

// right counts the nodes that have been told of the list as it is.
func (l *list) right() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.ref.mu.Lock()
	defer l.w.ref.mu.Unlock()
	for _, told := range l.w.ref.told {
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
	started := slices.Clone(l.started)
	l.mu.Unlock()
	if down {
		l.disturb(true)
	}
	if back {
		for _, a := range started {
			a.mu.Lock()
			if a.silentAt > 0 && l.w.now()-a.silentAt > noticed {
				a.silentAt = 0
			}
			a.mu.Unlock()
		}
		whole, _ := l.since(0, true)
		l.has(whole)
	}
}

// word sets how changes are worded.
func (l *list) word(how string) {
	l.mu.Lock()
	l.words = how
	l.mu.Unlock()
}

// worded is a message as it is written, in pieces.
func (l *list) worded(m listMessage) ([][]byte, error) {
	l.mu.Lock()
	how := l.words
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
		return slices.Collect(slices.Chunk(text, pieceOfWords)), nil
	}
	return [][]byte{text}, nil
}

// disturb resets or silences all open watches.
func (l *list) disturb(silent bool) {
	l.mu.Lock()
	all := slices.Clone(l.started)
	l.mu.Unlock()
	for _, a := range all {
		a.mu.Lock()
		for w := range a.watches {
			delete(a.watches, w)
			if silent {
				a.silentAt = l.w.now()
				close(w.silent)
			} else {
				close(w.reset)
			}
		}
		a.mu.Unlock()
	}
}

// line has a call wait for its turn at the service; it is false where the call is turned away.
func (l *list) line(ctx context.Context) bool {
	perS := l.w.s.Fleet.ListCallsPerS
	if perS == 0 {
		return true
	}
	l.mu.Lock()
	now := time.Now()
	if l.lineFree.Before(now) {
		l.lineFree = now
	}
	wait := l.lineFree.Sub(now)
	if wait > lineMost {
		l.mu.Unlock()
		return false
	}
	l.lineFree = l.lineFree.Add(time.Duration(float64(time.Second) / perS))
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
	case <-l.w.over:
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
	l    *list
	node int
	srv  *http.Server
	addr string

	follows []string // addresses of the list service's replicas, or that of the project's agent
	proc    *process // of that; nil: none
	last    uint64   // version that the node was told last

	mu       sync.Mutex
	watches  map[*openWatch]struct{}
	silentAt time.Duration // when the open watch fell silent, until discovery is called again; 0: it has not
	failed   bool          // the latest call was turned away or met an outage
}

// openWatch is a watch that works.
type openWatch struct {
	reset, silent chan struct{} // closed to have it broken
}

// toldAt is when what the agent gets now counts as told to its node. Where lists are asked for
// and the node has a watch that works, it counts when it is written, and ok is false.
func (a *agent) toldAt(now, moved time.Duration) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at = now
	switch {
	case a.silentAt > 0:
		at = max(at, a.silentAt+silentTold)
	case a.l.w.s.Fleet.ListAsked && len(a.watches) > 0:
		return 0, false
	case a.l.w.s.Fleet.ListAsked && a.failed:
		at += failedTimes * askWithin
	case a.l.w.s.Fleet.ListAsked:
		at += askWithin
	}
	if moved > 0 {
		at = max(at, moved+movedTold)
	}
	return at, true
}

// called notes that the node has called, and whether it is answered.
func (a *agent) called(answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failed = !answered; answered {
		a.silentAt = 0
	}
}

// open notes a watch that works, until its end.
func (a *agent) open() (w *openWatch, end func()) {
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
	a := &agent{l: l, node: node, addr: ln.Addr().String(), watches: map[*openWatch]struct{}{}}
	a.srv = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	if l.service != nil {
		a.follows = l.service.addresses()
	}
	if l.w.s.Fleet.ListAgents {
		own := fmt.Sprintf("%s:%d", l.w.block.addr(11, node%250), agentPort+l.agents.Add(1)) // a node that moves has a second one
		if a.proc, err = l.service.startAgent(node, own); err != nil {
			return nil, err
		}
		a.follows = []string{own}
	}
	l.mu.Lock()
	l.started = append(l.started, a)
	l.mu.Unlock()
	l.w.work.Go(func() {
		if err := a.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.w.fail(fmt.Errorf("list agent of node %d: %w", node, err))
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
	if a.l.isDown() {
		a.called(false)
		a.quiet(r.Context())
		return
	}
	a.l.w.listCalls.Add(1)
	if !a.l.line(r.Context()) {
		a.called(false)
		http.Error(w, "the line is full", http.StatusServiceUnavailable)
		return
	}
	a.called(true)
	whole := r.URL.Query().Get("watch") == ""
	if whole && a.l.service != nil {
		a.relay(w, r, 0, true)
		return
	}
	if whole {
		m, _ := a.l.since(0, true)
		a.write(w, m)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: a generation is wanted", http.StatusBadRequest)
		return
	}
	if a.l.service != nil {
		a.relay(w, r, from, false)
		return
	}
	rc := http.NewResponseController(w)
	open, end := a.open()
	defer end()
	m, more := a.l.since(from, false)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		if a.l.isDown() {
			a.quiet(r.Context())
			return
		}
		if m.Reset || len(m.Instances) > 0 {
			if !a.write(w, m) {
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
		case <-a.l.w.over:
			return
		case <-open.reset:
			panic(http.ErrAbortHandler) // net/http's way to break a connection off
		case <-open.silent:
			a.quiet(r.Context())
			return
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			m = listMessage{}
		case <-more:
			m, more = a.l.since(from, false)
		}
	}
}

// relay tells the node what the list service's replicas say; while none does it is silent. Where
// only the whole list is asked for, it ends with that.
func (a *agent) relay(w http.ResponseWriter, r *http.Request, from uint64, whole bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(a.l.w.ctx, cancel)()
	rc := http.NewResponseController(w)
	if !whole && rc.Flush() != nil {
		return
	}
	a.l.service.follow(ctx, a.follows, a.node, from, func(m *listMessage) bool {
		switch {
		case a.l.isDown():
			a.quiet(ctx)
			return false
		case whole && (m == nil || !m.Reset):
			return true
		case m == nil:
			_, err := w.Write([]byte("\n"))
			return err == nil && rc.Flush() == nil
		}
		a.l.mu.Lock()
		if m.Generation < a.last {
			a.l.back.Add(1)
		}
		a.last = m.Generation
		for i := range m.Instances {
			m.Instances[i].number = a.l.numbers[m.Instances[i].InstanceID]
		}
		a.l.mu.Unlock()
		return a.write(w, *m) && !whole
	})
}

// quiet is silence on an open connection.
func (a *agent) quiet(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.l.w.over:
	}
}

// write sends one message with the addresses that this node must use, and books that the
// node was told.
func (a *agent) write(w http.ResponseWriter, m listMessage) bool {
	m = a.l.w.seenFrom(a.node, m)
	pieces, err := a.l.worded(m)
	if err != nil {
		a.l.w.fail(fmt.Errorf("list: %w", err))
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
	a.l.w.told(a.node, m)
	a.l.heard(m)
	return true
}

// close ends all agents that were ever started: one that a node has left may be open still.
func (l *list) close() {
	l.mu.Lock()
	all := l.started
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
