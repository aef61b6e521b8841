package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Client behavior that the platform defines and that scenarios do not change.
const (
	lateResponseWait  = 500 * time.Millisecond // time after the deadline in which a late response is detected
	defaultRetryPause = 100 * time.Millisecond // pause before a retry without a Retry-After
	maxRetryAfter     = 500 * time.Millisecond // upper limit on the Retry-After that a client respects
	readinessInterval = 200 * time.Millisecond // interval of the readiness checks of a node that is down
	sigtermNotice     = 300 * time.Millisecond // time after SIGTERM in which clients still send to the node
	connKeepAlive     = 20 * time.Second       // time for which a client keeps an idle connection
	maxSleep          = 50 * time.Millisecond  // interval at which waitUntil checks for the run's end
)

// loadGenerator emulates the clients of all nodes and the load balancing in front of the nodes.
type loadGenerator struct {
	env      *environment
	nodes    []*targetNode
	arrivals sync.WaitGroup // goroutines of runArrival
}

// targetNode is the clients' view of a node.
type targetNode struct {
	addr string

	mu           sync.Mutex
	up           bool          // clients send to the node
	failingSince time.Duration // time of the first failed connection since the last setUp; 0: none
	idle         []*clientConn // most recently used last
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
}

// newLoadGenerator returns a load generator for the nodes with the given addresses. All nodes count as up.
func newLoadGenerator(env *environment, addrs []string) *loadGenerator {
	g := &loadGenerator{env: env}
	for _, a := range addrs {
		g.nodes = append(g.nodes, &targetNode{addr: a, up: true})
	}
	return g
}

// run starts each arrival of the schedule when it is due, and returns when all arrivals have ended.
func (g *loadGenerator) run() {
	g.env.goroutines.Go(g.readmitNodes)
	// Under load, the Go runtime's timers are late by a millisecond or more, because they share threads with
	// the sockets of thousands of connections. The pacing therefore uses its own thread and a kernel timer.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range g.env.schedule.Arrivals {
		if !g.waitUntil(g.env.schedule.Arrivals[i].At) {
			break
		}
		g.arrivals.Go(func() { g.runArrival(i) })
	}
	g.arrivals.Wait()
}

// waitUntil blocks the calling thread until the given time. It returns false if the run ends first.
func (g *loadGenerator) waitUntil(at time.Duration) bool {
	for {
		select {
		case <-g.env.done:
			return false
		default:
		}
		d := at - g.env.now()
		if d <= 0 {
			return true
		}
		duration := syscall.NsecToTimespec(int64(min(d, maxSleep)))
		_ = syscall.Nanosleep(&duration, nil) // the loop continues a sleep that a signal interrupts
	}
}

// readmitNodes checks the nodes that are down until the run ends, and marks them as up once they are ready.
func (g *loadGenerator) readmitNodes() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for g.env.sleep(readinessInterval) {
		for _, n := range g.nodes {
			n.mu.Lock()
			up := n.up
			n.mu.Unlock()
			if up {
				continue
			}
			g.env.goroutines.Go(func() {
				if isReady(client, n.addr) {
					n.setUp(true)
				}
			})
		}
	}
}

// setUp marks the node as up or down.
func (n *targetNode) setUp(up bool) {
	n.mu.Lock()
	n.up, n.failingSince = up, 0
	n.mu.Unlock()
}

// recordUnreachable records a failed connection. It marks the node as down if the first failed connection
// since the last setUp was at least detectionTime ago. Connections that succeeded since then do not matter.
func (n *targetNode) recordUnreachable(now, detectionTime time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failingSince == 0 {
		n.failingSince = now
	}
	if now-n.failingSince >= detectionTime {
		n.up = false
	}
}

// runArrival sends the first attempt of an arrival and its retries. It returns when the client has a final
// result or gives up.
func (g *loadGenerator) runArrival(i int) {
	a := &g.env.schedule.Arrivals[i]
	tenant := &g.env.schedule.Tenants[a.Tenant]
	rng := rand.New(rand.NewPCG(g.env.seed, streamClients<<32|uint64(i)))
	deadline := a.At + time.Duration(g.env.scenario.Load.Deadline)
	node := a.Node
	for number := 0; ; number++ {
		t := &clientAttempt{id: a.ID, arrival: i, number: number, node: g.reachableNode(tenant, node)}
		if number > 0 {
			t.id = fmt.Sprintf("%s-%d", a.ID, number)
		}
		now := g.env.now()
		wait := min(a.Timeout, deadline-now)
		if number == 0 {
			wait = min(a.Timeout, deadline-a.At)
		}
		if wait <= 0 {
			return
		}
		t.deadline = now + wait
		result := g.attempt(t, a, tenant)
		if number >= g.env.scenario.Load.Retries || !result.mayRetry(&g.env.scenario.Classes[a.Class]) {
			return
		}
		pause := defaultRetryPause
		if result.retryAfter > 0 && rng.Float64() < g.env.scenario.Load.RetryAfterShare {
			pause = min(result.retryAfter, maxRetryAfter)
		}
		if !g.env.sleep(pause) {
			return
		}
		node = tenant.pick(rng.Float64(), rng.IntN(tenant.EntryNodes), g.env.scenario.Fleet.Nodes)
	}
}

// reachableNode returns the given node if it is up, or else the tenant's next entry node that is up. If all
// of them are down, it returns the given node.
func (g *loadGenerator) reachableNode(tenant *Tenant, node int) int {
	for i := range tenant.EntryNodes {
		n := (tenant.FirstEntryNode + (node-tenant.FirstEntryNode+i+g.env.scenario.Fleet.Nodes)%g.env.scenario.Fleet.Nodes%tenant.EntryNodes) % g.env.scenario.Fleet.Nodes
		g.nodes[n].mu.Lock()
		up := g.nodes[n].up
		g.nodes[n].mu.Unlock()
		if up {
			return n
		}
	}
	return node
}

// attemptOutcome is the outcome of an attempt from the client's point of view.
type attemptOutcome int

const (
	attemptServed attemptOutcome = iota
	attemptRejected
	attemptFailed
	attemptUnreached // not sent to the node
)

// attemptResult is the result of an attempt that has ended, as the client knows it.
type attemptResult struct {
	outcome    attemptOutcome
	retryAfter time.Duration // Retry-After of a rejection; 0: none
}

// mayRetry reports whether a client may retry a request of the given class after this result.
func (r attemptResult) mayRetry(class *Class) bool {
	switch r.outcome {
	case attemptRejected, attemptUnreached:
		return true
	case attemptFailed:
		return !class.NonIdempotent
	}
	return false
}

// attempt sends one attempt and reads its response. If the node has closed a reused connection, attempt sends
// the request once more, on a new connection.
func (g *loadGenerator) attempt(t *clientAttempt, a *Arrival, tenant *Tenant) attemptResult {
	class := g.env.scenario.Classes[a.Class]
	t.method, t.target = class.method(), fmt.Sprintf("/%s?customer=%016x", class.Name, tenant.ID)
	if class.NonIdempotent {
		t.body = "order " + t.id
	}
	g.env.checker.attemptStarted(t, g.env.now())
	n := g.nodes[t.node]
	limit := g.env.wallTime(t.deadline + lateResponseWait + g.env.slack(t.node))
	for resent := false; ; resent = true {
		cc, reused, err := n.getConn(limit, resent)
		if err != nil {
			n.recordUnreachable(g.env.now(), time.Duration(g.env.scenario.Load.FailureDetection))
			return g.recordUnreached(t)
		}
		_ = cc.SetDeadline(limit)
		// The request contains the remaining time at the time of sending: connecting may have taken long.
		remaining := t.deadline - g.env.now()
		if remaining <= 0 {
			n.putConn(cc)
			return g.recordUnreached(t)
		}
		if _, err = io.WriteString(cc, g.encodeRequest(t, a, tenant, remaining)); err != nil {
			_ = cc.Close()
			if reused && !resent {
				continue
			}
			return g.recordUnreached(t)
		}
		g.env.checker.attemptSent(t, g.env.now())
		if err = g.awaitResponse(t, cc); err != nil && reused && !resent && !timedOut(err) {
			// The node closed the idle connection as the request arrived. The protocol requires a resend.
			_ = cc.Close()
			continue
		}
		return g.readResponse(t, n, cc, !reused)
	}
}

// recordUnreached records an attempt that was not sent, because the connection to the node failed or because
// connecting took longer than the client waits.
func (g *loadGenerator) recordUnreached(t *clientAttempt) attemptResult {
	g.env.checker.attemptUnanswered(t, g.env.now(), noResponse{})
	return attemptResult{outcome: attemptUnreached}
}

// awaitResponse waits for the first byte of a response. It waits lateResponseWait longer than the client, and
// extends the wait by the time in which the machine gave the node or the testbed no CPU.
func (g *loadGenerator) awaitResponse(t *clientAttempt, cc *clientConn) error {
	for {
		_, err := cc.br.Peek(1)
		if err == nil || !timedOut(err) {
			return err
		}
		limit := g.env.wallTime(t.deadline + lateResponseWait + g.env.slack(t.node))
		if !limit.After(time.Now()) {
			return err
		}
		_ = cc.SetDeadline(limit)
	}
}

// encodeRequest encodes an attempt whose client waits for the given time.
func (g *loadGenerator) encodeRequest(t *clientAttempt, a *Arrival, tenant *Tenant, wait time.Duration) string {
	class := g.env.scenario.Classes[a.Class]
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Contract: %s\r\nX-Expires-In: %.3f\r\n"+
		"X-Metering: units=%.0f,spread=%d,first=%d\r\n", t.method, t.target, t.id, class.Name, g.env.scenario.Plans[tenant.Plan].Name, wait.Seconds(), a.EstimatedUnits, tenant.EntryNodes, tenant.FirstEntryNode)
	if t.number > 0 && g.env.scenario.Load.MarkRetry {
		text += "X-Second-Try: 1\r\n"
	}
	if class.NonIdempotent {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	return text + "\r\n" + t.body
}

// timedOut reports whether an error is a network timeout.
func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readResponse reads the final response and records it. newConn reports whether the attempt was the first on
// its connection.
func (g *loadGenerator) readResponse(t *clientAttempt, n *targetNode, cc *clientConn, newConn bool) attemptResult {
	resp, err := http.ReadResponse(cc.br, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	}
	now := g.env.now()
	if err != nil {
		_ = cc.Close()
		g.env.checker.attemptUnanswered(t, now, noResponse{
			nodeAvailable: g.env.nodeAvailableSince(t.node, t.sent), closedNewConn: newConn && !timedOut(err), reason: err.Error(),
		})
		return attemptResult{outcome: attemptFailed}
	}
	g.env.checker.attemptAnswered(t, now, resp.StatusCode, string(body), g.env.nodeAvailableSince(t.node, t.sent))
	if resp.Close {
		_ = cc.Close()
	} else {
		n.putConn(cc)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return attemptResult{outcome: attemptServed}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return attemptResult{attemptRejected, retryAfter(resp.Header)}
	}
	return attemptResult{outcome: attemptFailed}
}

// retryAfter returns the Retry-After of a rejection, 0 if it is missing or not a positive number of seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// getConn returns an idle connection to the node, or opens a new one if there is none or if forceNew is true.
// limit is the time until which it tries to connect.
func (n *targetNode) getConn(limit time.Time, forceNew bool) (cc *clientConn, reused bool, err error) {
	n.mu.Lock()
	for len(n.idle) > 0 && !forceNew {
		cc = n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(cc.idleSince) < connKeepAlive {
			n.mu.Unlock()
			return cc, true, nil
		}
		_ = cc.Close()
	}
	n.mu.Unlock()
	d := net.Dialer{Deadline: limit}
	c, err := d.Dial("tcp", n.addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: c, br: bufio.NewReader(c)}, false, nil
}

// putConn makes a connection available for reuse.
func (n *targetNode) putConn(cc *clientConn) {
	cc.idleSince = time.Now()
	n.mu.Lock()
	n.idle = append(n.idle, cc)
	n.mu.Unlock()
}

// close closes all idle connections.
func (g *loadGenerator) close() {
	for _, n := range g.nodes {
		n.mu.Lock()
		for _, c := range n.idle {
			_ = c.Close()
		}
		n.idle = nil
		n.mu.Unlock()
	}
}
