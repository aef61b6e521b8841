// Package node is the real edge node: the host of a [balancer.Gateway] on sockets.
// It moves bytes, keeps the clock and enforces what the module relies on; what is
// sent where, refused or tried again is decided in package choice alone.
package edgenode

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"opalhook/balancer"
)

// Node hosts the gateway of one edge node. Its events come from many goroutines;
// one mutex makes them one sequence. The gateway's actions change the books under
// the mutex; what does I/O runs after it is released or in a goroutine of its own.
type Node struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx       context.Context
	upstream  *upstream
	peers     *peerSocket // nil where edge nodes don't message each other

	mu         sync.Mutex
	balancer   *balancer.Balancer
	inflight   map[string]*inflightRequest
	deferred   []func() // what the event under way leaves to do without the mutex
	closed     bool     // no more events
	background sync.WaitGroup
}

// inflightRequest is a request of a client until it is answered and its attempts have ended.
type inflightRequest struct {
	id          string
	message     message
	deadline    time.Time
	response    chan clientResponse // takes the one final answer
	answered    bool
	attempts    []*attempt
	attemptsOut int // attempts that have not ended
}

// attempt is one attempt of a flight.
type attempt struct {
	number     int
	endpointID string
	sentAt     time.Duration
	limits     writeLimits
	cancel     context.CancelFunc
}

// clientResponse is a final answer.
type clientResponse struct {
	kind       responseKind
	retryAfter time.Duration  // of a refusal
	server     serverResponse // of a served one
}

type responseKind int

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// newNode makes a node whose goroutines end with ctx.
func newNode(ctx context.Context, cfg *Config, logger *slog.Logger) (*Node, error) {
	gw, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &Node{
		cfg: cfg, log: logger, startedAt: time.Now(), ctx: ctx, balancer: gw, inflight: map[string]*inflightRequest{},
		upstream: newUpstream(cfg.Transport, maxServerConns(cfg.Sockets)),
	}, nil
}

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (n *Node) now() time.Duration {
	return time.Duration(n.startedAt.UnixNano()) + time.Since(n.startedAt)
}

// event runs one event of the gateway, then what its actions left to do. It tells
// whether the event came through: a panic of the module is logged, with the stack
// that names its cause, and costs the one event.
func (n *Node) handleEvent(f func(now time.Duration, out balancer.Actions)) bool {
	n.mu.Lock()
	ok := !n.closed && n.runGuarded(f)
	after := n.deferred
	n.deferred = nil
	n.mu.Unlock()
	for _, do := range after {
		do()
	}
	return ok
}

func (n *Node) runGuarded(f func(now time.Duration, out balancer.Actions)) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			stack := string(debug.Stack())
			n.deferred = append(n.deferred, func() { n.log.Error("panic of the module", "cause", p, "stack", stack) })
		}
	}()
	f(n.now(), (*actions)(n))
	return true
}

// close ends the node's events, then waits for its attempts and probes, whose context
// has ended.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.background.Wait()
	n.upstream.close()
}

// boot starts the gateway with the saved list.
func (n *Node) startBalancer() {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.Start(now, out) })
	n.updateEndpoints(n.cfg.CachedList, balancer.UpdateCached)
}

// updateEndpoints hands a list to the connections and to the gateway, as one event.
func (n *Node) updateEndpoints(l List, form balancer.UpdateKind) {
	servers := make([]balancer.Endpoint, len(l.Servers))
	for i, s := range l.Servers {
		servers[i] = s.Endpoint
	}
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		stale := n.upstream.update(l.Servers, form != balancer.UpdateDelta)
		n.deferred = append(n.deferred, func() { closeAll(stale) })
		n.balancer.EndpointsUpdated(now, form, servers, out)
	})
}

// heard hands a message of discovery on.
func (n *Node) receiveList(l List) {
	form := balancer.UpdateDelta
	if l.Full {
		form = balancer.UpdateSnapshot
	}
	n.updateEndpoints(l, form)
}

// receivePeerMessage hands a message of a peer on.
func (n *Node) receivePeerMessage(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.PeerMessage(now, from, message, out) })
}

// startRequest takes a request of a client. It returns nil if its id is in use. The final
// answer comes on the flight's channel, also where the gateway gives none in time.
func (n *Node) startRequest(q balancer.Request, m message, deadline time.Time) *inflightRequest {
	fl := &inflightRequest{id: q.ID, message: m, deadline: deadline, response: make(chan clientResponse, 1)}
	taken := false
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		if taken = n.inflight[q.ID] != nil; taken {
			return
		}
		n.inflight[q.ID] = fl
		n.balancer.RequestArrived(now, q, out)
	})
	if taken {
		return nil
	}
	if !ok {
		n.abortRequest(fl)
	}
	return fl
}

// abortRequest ends a flight whose client has gone or for which no answer was given in time. The flight
// has its answer then, also where the node is closed and takes no more events.
func (n *Node) abortRequest(fl *inflightRequest) {
	ok := n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.finishRequest(fl, clientResponse{kind: responseFailed})
		n.balancer.ClientGone(now, fl.id, out)
	})
	if !ok {
		n.mu.Lock()
		n.finishRequest(fl, clientResponse{kind: responseFailed})
		n.mu.Unlock()
	}
}

// end gives a flight its final answer unless it has one. Called under the mutex.
func (n *Node) finishRequest(fl *inflightRequest, a clientResponse) {
	if fl.answered {
		return
	}
	fl.answered = true
	n.upstream.withdraw(&fl.message) // before the answer: an attempt whose connection comes up late is not sent behind it
	fl.response <- a
	n.releaseRequest(fl)
}

// releaseRequest drops a flight once it is over in every respect. Called under the mutex.
func (n *Node) releaseRequest(fl *inflightRequest) {
	if fl.answered && fl.attemptsOut == 0 && n.inflight[fl.id] == fl {
		delete(n.inflight, fl.id)
	}
}

// runAttempt carries out one attempt and brings its outcome to the gateway.
func (n *Node) runAttempt(ctx context.Context, fl *inflightRequest, a *attempt) {
	defer n.background.Done()
	rep, result := n.upstream.exchange(ctx, a.endpointID, &fl.message, a.limits)
	a.cancel()
	units := rep.settledUnits(n.cfg.Settings.MaxUnits)
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		if result == balancer.OK {
			n.finishRequest(fl, clientResponse{kind: responseServed, server: rep})
		}
		fl.attemptsOut--
		n.balancer.AttemptFinished(now, balancer.Outcome{ID: fl.id, Attempt: a.number, Answered: fl.answered, Result: result,
			EndpointID: a.endpointID, Elapsed: now - a.sentAt, Units: units, LoadReport: rep.loadReport, ConnectedAt: n.connectedAt(rep)}, out)
		n.releaseRequest(fl)
	})
}

// since is the clock's reading when the connection of an answer was made, 0 where there was none.
func (n *Node) connectedAt(rep serverResponse) time.Duration {
	if rep.connectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.startedAt.UnixNano()) + rep.connectedAt.Sub(n.startedAt)
}

// runHealthCheck asks a server for its load.
func (n *Node) runHealthCheck(server string) {
	defer n.background.Done()
	ctx, cancel := context.WithTimeout(n.ctx, healthCheckTimeout)
	defer cancel()
	rep, result := n.upstream.exchange(ctx, server, &message{method: "GET", target: loadPath}, writeLimits{})
	load := rep.loadReport
	if load == nil {
		load = parseLoadReport(string(rep.body))
	}
	n.handleEvent(func(now time.Duration, out balancer.Actions) {
		n.balancer.HealthChecked(now, server, result, load, out)
	})
}

// actions carries out what the gateway asks for. All are called under the mutex.
type actions Node

// SendAttempt starts an attempt, bounded by its timeout and by the client's deadline.
func (a *actions) SendAttempt(id, server string, timeout, by time.Duration) {
	n := (*Node)(a)
	fl := n.inflight[id]
	if fl == nil || fl.answered {
		n.logDeferred(slog.LevelError, "the module sends a request that is not open", "id", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, until)
	at := &attempt{number: len(fl.attempts), endpointID: server, sentAt: n.now(), cancel: cancel}
	at.limits.backend = n.upstream.lookup(server)
	if by != 0 {
		at.limits.completeBefore = n.startedAt.Add(by - time.Duration(n.startedAt.UnixNano()))
	}
	fl.attempts = append(fl.attempts, at)
	fl.attemptsOut++
	n.background.Add(1)
	go n.runAttempt(ctx, fl, at)
}

func (a *actions) Reject(id string, retryAfter time.Duration) {
	if fl := a.inflight[id]; fl != nil {
		(*Node)(a).finishRequest(fl, clientResponse{kind: responseRejected, retryAfter: retryAfter})
	}
}

func (a *actions) Fail(id string) {
	if fl := a.inflight[id]; fl != nil {
		(*Node)(a).finishRequest(fl, clientResponse{kind: responseFailed})
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if fl := a.inflight[id]; fl != nil && attempt >= 0 && attempt < len(fl.attempts) {
		a.upstream.cancelAttempt(fl.attempts[attempt].cancel)
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.handleEvent(func(now time.Duration, out balancer.Actions) { n.balancer.TimerFired(now, token, out) })
	})
}

func (a *actions) HealthCheck(server string) {
	n := (*Node)(a)
	n.background.Add(1)
	go n.runHealthCheck(server)
}

func (a *actions) SendPeer(peer int, message []byte) {
	n := (*Node)(a)
	message = append([]byte(nil), message...)
	if n.peers != nil {
		n.deferred = append(n.deferred, func() { n.peers.sendMessage(peer, message, n.log) })
	}
}

// WatchEndpoints has nothing to do: the list is always watched.
func (a *actions) WatchEndpoints(bool) {}

func (a *actions) Log(level slog.Level, message string, attributes ...slog.Attr) {
	n := (*Node)(a)
	n.deferred = append(n.deferred, func() { n.log.LogAttrs(n.ctx, level, message, attributes...) })
}

func (n *Node) logDeferred(level slog.Level, text string, attrs ...any) {
	n.deferred = append(n.deferred, func() { n.log.Log(n.ctx, level, text, attrs...) })
}
