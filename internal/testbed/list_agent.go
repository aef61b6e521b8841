package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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
	if !a.admit(w, r) {
		return
	}
	watch := r.URL.Query().Get("watch") != ""
	switch {
	case !watch && a.list.service != nil:
		a.relay(w, r, 0, true)
		return
	case !watch:
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
	a.watch(w, r, from)
}

// admit takes a call, unless discovery is down, when it says nothing, or too many wait.
func (a *agent) admit(w http.ResponseWriter, r *http.Request) bool {
	if a.list.isDown() {
		a.recordCall(false)
		a.staySilent(r.Context())
		return false
	}
	a.list.env.listCalls.Add(1)
	if !a.list.admitCall(r.Context()) {
		a.recordCall(false)
		http.Error(w, "the line is full", http.StatusServiceUnavailable)
		return false
	}
	a.recordCall(true)
	return true
}

// watch tells the node the changes after a generation as they come.
func (a *agent) watch(w http.ResponseWriter, r *http.Request, from uint64) {
	rc := http.NewResponseController(w)
	open, end := a.addWatch()
	defer end()
	m, changes := a.list.since(from, false)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
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
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			m = listMessage{}
		case <-changes:
			m, changes = a.list.since(from, false)
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

// close ends the agent and its watches.
func (a *agent) close() {
	_ = a.srv.Close()
	if a.proc != nil {
		a.proc.stop(stopWithin)
	}
}
