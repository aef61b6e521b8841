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

// Clients' habits that the platform states and scenarios don't change.
const (
	lateResponseWait  = 500 * time.Millisecond // after its deadline a client still listens, to see who answers late
	defaultRetryPause = 100 * time.Millisecond // pause before a repeat where no advice came
	maxRetryAfter     = 500 * time.Millisecond // the longest Retry-After that a client keeps to
	readinessInterval = 200 * time.Millisecond // between looks at a node that the load generator holds to be down
	sigtermNotice     = 300 * time.Millisecond // after SIGTERM new connections still come for so long
	connKeepAlive     = 20 * time.Second       // a client's connection is kept idle at most so long
	maxNap            = 50 * time.Millisecond  // of the pace, which sees the run's end in between
)

// loadGenerator is the clients of all nodes and what deals their requests to nodes.
type loadGenerator struct {
	env      *environment
	nodes    []*targetNode
	attempts sync.WaitGroup
}

// targetNode is a node as clients see it.
type targetNode struct {
	addr string

	mu           sync.Mutex
	up           bool
	failingSince time.Duration // first connection that failed since it was last up; 0: none
	idle         []*clientConn
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	br    *bufio.Reader
	since time.Time
}

func newLoadGenerator(env *environment, addrs []string) *loadGenerator {
	g := &loadGenerator{env: env}
	for _, a := range addrs {
		g.nodes = append(g.nodes, &targetNode{addr: a, up: true})
	}
	return g
}

// run sends the schedule, each arrival when it is due, and returns when all are over.
func (g *loadGenerator) run() {
	g.env.work.Go(g.readmitNodes)
	// The runtime's timers share their thread with the sockets of thousands of connections and come late
	// by a millisecond and more under load: the pace has a thread and a kernel timer of its own.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range g.env.schedule.Arrivals {
		if !g.waitUntil(g.env.schedule.Arrivals[i].At) {
			break
		}
		g.attempts.Go(func() { g.playArrival(i) })
	}
	g.attempts.Wait()
}

// waitUntil waits on the calling thread; it is false where the run ends first.
func (g *loadGenerator) waitUntil(at time.Duration) bool {
	for {
		select {
		case <-g.env.over:
			return false
		default:
		}
		d := at - g.env.now()
		if d <= 0 {
			return true
		}
		nap := syscall.NsecToTimespec(int64(min(d, maxNap)))
		_ = syscall.Nanosleep(&nap, nil) // one cut short by a signal is slept anew
	}
}

// readmitNodes admits nodes again that the load generator holds to be down, once they are ready.
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
			g.env.work.Go(func() {
				if isReady(client, n.addr) {
					n.setUp(true)
				}
			})
		}
	}
}

func (n *targetNode) setUp(up bool) {
	n.mu.Lock()
	n.up, n.failingSince = up, 0
	n.mu.Unlock()
}

// recordUnreachable notes that a connection could not be made; the load generator sees late that a node
// has died.
func (n *targetNode) recordUnreachable(now, seesAfter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failingSince == 0 {
		n.failingSince = now
	}
	if now-n.failingSince >= seesAfter {
		n.up = false
	}
}

// playArrival is one arrival: its first attempt and the repeats.
func (g *loadGenerator) playArrival(i int) {
	a := &g.env.schedule.Arrivals[i]
	c := &g.env.schedule.Tenants[a.Tenant]
	rng := rand.New(rand.NewPCG(g.env.seed, streamClients<<32|uint64(i)))
	last := a.At + time.Duration(g.env.scenario.Load.Deadline)
	node := a.Node
	for number := 0; ; number++ {
		t := &clientAttempt{id: a.ID, arrival: i, number: number, node: g.reachable(c, node)}
		if number > 0 {
			t.id = fmt.Sprintf("%s-%d", a.ID, number)
		}
		now := g.env.now()
		wait := min(a.Wait, last-now)
		if number == 0 {
			wait = min(a.Wait, last-a.At)
		}
		if wait <= 0 {
			return
		}
		t.deadline = now + wait
		result := g.attempt(t, a, c)
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
		node = c.pick(rng.Float64(), rng.IntN(c.EntryNodes), g.env.scenario.Fleet.Nodes)
	}
}

// reachable is the node, or another of the tenant's where the load generator holds it to be down.
func (g *loadGenerator) reachable(c *Tenant, node int) int {
	for i := range c.EntryNodes {
		n := (c.FirstEntryNode + (node-c.FirstEntryNode+i+g.env.scenario.Fleet.Nodes)%g.env.scenario.Fleet.Nodes%c.EntryNodes) % g.env.scenario.Fleet.Nodes
		g.nodes[n].mu.Lock()
		up := g.nodes[n].up
		g.nodes[n].mu.Unlock()
		if up {
			return n
		}
	}
	return node
}

// attemptOutcome is how an attempt ended, for its client.
type attemptOutcome int

const (
	attemptServed attemptOutcome = iota
	attemptRejected
	attemptFailed
	attemptUnreached // it came to no node
)

// attemptResult is what a client knows of an attempt that has ended.
type attemptResult struct {
	outcome    attemptOutcome
	retryAfter time.Duration // that a rejection told; 0: none
}

// mayRetry tells whether a client may repeat a request of a class after this.
func (r attemptResult) mayRetry(class *Class) bool {
	switch r.outcome {
	case attemptRejected, attemptUnreached:
		return true
	case attemptFailed:
		return !class.NonIdempotent
	}
	return false
}

// attempt sends one request and reads its answer.
func (g *loadGenerator) attempt(t *clientAttempt, a *Arrival, c *Tenant) attemptResult {
	class := g.env.scenario.Classes[a.Class]
	t.method, t.target = class.method(), fmt.Sprintf("/%s?customer=%016x", class.Name, c.ID)
	if class.NonIdempotent {
		t.body = "order " + t.id
	}
	g.env.checker.attemptStarted(t, g.env.now())
	n := g.nodes[t.node]
	limit := g.env.wall(t.deadline + lateResponseWait + g.env.slack(t.node))
	for isRetry := false; ; isRetry = true {
		cc, reused, err := n.getConn(limit, isRetry)
		if err != nil {
			n.recordUnreachable(g.env.now(), time.Duration(g.env.scenario.Load.FailureDetection))
			return g.unreached(t)
		}
		_ = cc.SetDeadline(limit)
		// The wait counts from when the request is sent, and a connection may have come up late.
		left := t.deadline - g.env.now()
		if left <= 0 {
			n.putConn(cc)
			return g.unreached(t)
		}
		if _, err = io.WriteString(cc, g.encodeRequest(t, a, c, left)); err != nil {
			_ = cc.Close()
			if reused && !isRetry {
				continue
			}
			return g.unreached(t)
		}
		g.env.checker.attemptSent(t, g.env.now())
		if err = g.awaitResponse(t, cc); err != nil && reused && !isRetry && !timedOut(err) {
			_ = cc.Close() // the node closed it as the request came: sent once more, as the protocol says
			continue
		}
		return g.readResponse(t, n, cc, !reused)
	}
}

// unreached books an attempt that came to no node.
func (g *loadGenerator) unreached(t *clientAttempt) attemptResult {
	g.env.checker.attemptUnanswered(t, g.env.now(), noResponse{})
	return attemptResult{outcome: attemptUnreached}
}

// awaitResponse waits for an answer's first byte, for as long as the client and then the machine
// give: what a node was starved of meanwhile is not held against it.
func (g *loadGenerator) awaitResponse(t *clientAttempt, cc *clientConn) error {
	for {
		_, err := cc.br.Peek(1)
		if err == nil || !timedOut(err) {
			return err
		}
		limit := g.env.wall(t.deadline + lateResponseWait + g.env.slack(t.node))
		if !limit.After(time.Now()) {
			return err
		}
		_ = cc.SetDeadline(limit)
	}
}

// encodeRequest encodes a request whose client waits for so long.
func (g *loadGenerator) encodeRequest(t *clientAttempt, a *Arrival, c *Tenant, wait time.Duration) string {
	class := g.env.scenario.Classes[a.Class]
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Contract: %s\r\nX-Expires-In: %.3f\r\n"+
		"X-Metering: units=%.0f,spread=%d,first=%d\r\n", t.method, t.target, t.id, class.Name, g.env.scenario.Plans[c.Plan].Name, wait.Seconds(), a.Guess, c.EntryNodes, c.FirstEntryNode)
	if t.number > 0 && g.env.scenario.Load.MarkRetry {
		text += "X-Second-Try: 1\r\n"
	}
	if class.NonIdempotent {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	return text + "\r\n" + t.body
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readResponse takes the final answer.
func (g *loadGenerator) readResponse(t *clientAttempt, n *targetNode, cc *clientConn, fresh bool) attemptResult {
	resp, err := http.ReadResponse(cc.br, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	}
	now := g.env.now()
	if err != nil {
		_ = cc.Close()
		g.env.checker.attemptUnanswered(t, now, noResponse{
			answerable: g.env.answerable(t.node, t.sent), closedNewConn: fresh && !timedOut(err), why: err.Error(),
		})
		return attemptResult{outcome: attemptFailed}
	}
	g.env.checker.attemptAnswered(t, now, resp.StatusCode, string(body), g.env.answerable(t.node, t.sent))
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

// retryAfter is the pause that a rejection tells, 0 where it tells none that can be kept to.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// getConn is a connection to the node, reused or new; fresh wants a new one.
func (n *targetNode) getConn(limit time.Time, fresh bool) (cc *clientConn, reused bool, err error) {
	n.mu.Lock()
	for len(n.idle) > 0 && !fresh {
		cc = n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(cc.since) < connKeepAlive {
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

func (n *targetNode) putConn(cc *clientConn) {
	cc.since = time.Now()
	n.mu.Lock()
	n.idle = append(n.idle, cc)
	n.mu.Unlock()
}

// close ends all connections that stand idle.
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
