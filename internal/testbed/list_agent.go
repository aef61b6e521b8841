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

// agentBasePort is the base of the ports of the project's agents. The first agent gets the port after it.
const agentBasePort = 20000

// agent is the emulated discovery agent on one node's machine. It serves the list that the testbed holds, or
// relays that of the list service or of the project's own agent.
type agent struct {
	list *list
	node int // number of the node
	srv  *http.Server
	addr string

	sources        []string // addresses of the list service's replicas, or of the project's agent
	proc           *process // process of the project's agent; nil: none
	lastGeneration uint64   // last generation relayed to the node; guarded by list.mu

	mu             sync.Mutex
	watches        map[*openWatch]struct{}
	silentAt       time.Duration // time at which a watch fell silent; 0: none, or a call succeeded since then
	lastCallFailed bool          // the latest call was rejected or happened during an outage
}

// openWatch is a working watch. [list.breakWatches] closes one of its channels to break it.
type openWatch struct {
	reset, silent chan struct{}
}

// deliveredAt returns the time from which a change that the agent gets now counts as delivered to its node.
// moved is the time at which the node moved to this agent, 0 if it did not. ok is false if lists are polled
// and the node has a working watch; the change then counts as delivered when it is written to the watch.
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

// recordCall records a call of the node, and whether it is answered.
func (a *agent) recordCall(answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastCallFailed = !answered; answered {
		a.silentAt = 0
	}
}

// addWatch registers a working watch. The caller calls end when the watch ends.
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

// startAgent starts a discovery agent for a node. If the scenario uses the project's agents, it also starts
// the process of one, to which the emulated agent connects.
func startAgent(l *list, node int, addr string) (*agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery agent of node %d: %w", node, err)
	}
	a := &agent{list: l, node: node, addr: ln.Addr().String(), watches: map[*openWatch]struct{}{}}
	a.srv = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	if l.service != nil {
		a.sources = l.service.addresses()
	}
	if l.env.scenario.Fleet.ListAgents {
		// A node that moves gets another agent, so each agent of the run has its own port.
		own := fmt.Sprintf("%s:%d", l.env.addresses.addr(11, node%250), agentBasePort+l.startedAgents.Add(1))
		if a.proc, err = l.service.startAgent(node, own); err != nil {
			return nil, err
		}
		a.sources = []string{own}
	}
	l.mu.Lock()
	l.agents = append(l.agents, a)
	l.mu.Unlock()
	l.env.goroutines.Go(func() {
		if err := a.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.env.fail(fmt.Errorf("discovery agent of node %d: %w", node, err))
		}
	})
	return a, nil
}

// ServeHTTP serves the list or a watch of it.
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
		m, _ := a.list.changesSince(0, true)
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

// admit reports whether a call is served. During an outage of discovery it holds the call open without a
// response. If too many calls wait, it rejects the call.
func (a *agent) admit(w http.ResponseWriter, r *http.Request) bool {
	if a.list.isDown() {
		a.recordCall(false)
		a.holdOpen(r.Context())
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

// watch sends the changes after a generation to the node as they occur, and empty lines as heartbeats.
func (a *agent) watch(w http.ResponseWriter, r *http.Request, from uint64) {
	rc := http.NewResponseController(w)
	open, end := a.addWatch()
	defer end()
	m, changes := a.list.changesSince(from, false)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		if a.list.isDown() {
			a.holdOpen(r.Context())
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
		case <-a.list.env.done:
			return
		case <-open.reset:
			panic(http.ErrAbortHandler) // makes net/http abort the connection
		case <-open.silent:
			a.holdOpen(r.Context())
			return
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			m = listMessage{}
		case <-changes:
			m, changes = a.list.changesSince(from, false)
		}
	}
}

// relay forwards the messages of the list service, or of the project's agent, to the node. It sends nothing
// while no source responds. If fullOnly is true, it sends the first full list and returns.
func (a *agent) relay(w http.ResponseWriter, r *http.Request, from uint64, fullOnly bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(a.list.env.ctx, cancel)()
	rc := http.NewResponseController(w)
	if !fullOnly && rc.Flush() != nil {
		return
	}
	a.list.service.follow(ctx, a.sources, a.node, from, func(m *listMessage) bool {
		switch {
		case a.list.isDown():
			a.holdOpen(ctx)
			return false
		case fullOnly && (m == nil || !m.Reset):
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
		return a.send(w, *m) && !fullOnly
	})
}

// holdOpen keeps a connection open without sending anything, until ctx or the run ends.
func (a *agent) holdOpen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-a.list.env.done:
	}
}

// send sends a message with the addresses that this node must use, and records the delivery. It reports
// whether the message was written.
func (a *agent) send(w http.ResponseWriter, m listMessage) bool {
	m = a.list.env.withNodeAddresses(a.node, m)
	chunks, err := a.list.encode(m)
	if err != nil {
		a.list.env.fail(fmt.Errorf("encoding a list message: %w", err))
		return false
	}
	for _, chunk := range chunks {
		if _, err := w.Write(chunk); err != nil {
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

// close closes the agent and its watches, and stops the process of the project's agent, if there is one.
func (a *agent) close() {
	_ = a.srv.Close()
	if a.proc != nil {
		a.proc.stop(stopTimeout)
	}
}
