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
	givesUp     = 500 * time.Millisecond // after its deadline a client still listens, to see who answers late
	noAdvice    = 100 * time.Millisecond // pause before a repeat where no advice came
	mostAdvice  = 500 * time.Millisecond // the longest Retry-After that a client keeps to
	frontChecks = 200 * time.Millisecond // between looks at a node that the front holds to be down
	termNotice  = 300 * time.Millisecond // after SIGTERM new connections still come for so long
	keepsFor    = 20 * time.Second       // a client's connection is kept idle at most so long
	longestNap  = 50 * time.Millisecond  // of the pace, which sees the run's end in between
)

// front is the clients of all nodes and what deals their requests to nodes.
type front struct {
	w     *world
	nodes []*frontNode
	work  sync.WaitGroup
}

// frontNode is a node as clients see it.
type frontNode struct {
	addr string

	mu     sync.Mutex
	up     bool
	failed time.Duration // first connection that failed since it was last up; 0: none
	idle   []*clientConn
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	br    *bufio.Reader
	since time.Time
}

func newFront(w *world, addrs []string) *front {
	f := &front{w: w}
	for _, a := range addrs {
		f.nodes = append(f.nodes, &frontNode{addr: a, up: true})
	}
	return f
}

// run sends the schedule, each arrival when it is due, and returns when all are over.
func (f *front) run() {
	f.w.work.Go(f.watchNodes)
	// The runtime's timers share their thread with the sockets of thousands of connections and come late
	// by a millisecond and more under load: the pace has a thread and a kernel timer of its own.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range f.w.d.Arrivals {
		if !f.until(f.w.d.Arrivals[i].At) {
			break
		}
		f.work.Go(func() { f.play(i) })
	}
	f.work.Wait()
}

// until waits on the calling thread; it is false where the run ends first.
func (f *front) until(at time.Duration) bool {
	for {
		select {
		case <-f.w.over:
			return false
		default:
		}
		d := at - f.w.now()
		if d <= 0 {
			return true
		}
		nap := syscall.NsecToTimespec(int64(min(d, longestNap)))
		_ = syscall.Nanosleep(&nap, nil) // one cut short by a signal is slept anew
	}
}

// watchNodes admits nodes again that the front holds to be down, once they are ready.
func (f *front) watchNodes() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for f.w.sleep(frontChecks) {
		for _, n := range f.nodes {
			n.mu.Lock()
			up := n.up
			n.mu.Unlock()
			if up {
				continue
			}
			f.w.work.Go(func() {
				if resp, err := client.Get("http://" + n.addr + "/health/ready"); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						n.setUp(true)
					}
				}
			})
		}
	}
}

func (n *frontNode) setUp(up bool) {
	n.mu.Lock()
	n.up, n.failed = up, 0
	n.mu.Unlock()
}

// unreachable notes that a connection could not be made; the front sees late that a node
// has died.
func (n *frontNode) unreachable(now, seesAfter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed == 0 {
		n.failed = now
	}
	if now-n.failed >= seesAfter {
		n.up = false
	}
}

// play is one arrival: its first try and the repeats.
func (f *front) play(i int) {
	a := &f.w.d.Arrivals[i]
	c := &f.w.d.Customers[a.Customer]
	rng := rand.New(rand.NewPCG(f.w.seed, streamClients<<32|uint64(i)))
	last := a.At + time.Duration(f.w.s.Load.Deadline)
	node := a.Node
	for number := 0; ; number++ {
		t := &try{id: a.ID, arrival: i, number: number, node: f.reachable(c, node)}
		if number > 0 {
			t.id = fmt.Sprintf("%s-%d", a.ID, number)
		}
		now := f.w.now()
		wait := min(a.Wait, last-now)
		if number == 0 {
			wait = min(a.Wait, last-a.At)
		}
		if wait <= 0 {
			return
		}
		t.deadline = now + wait
		verdict, advice := f.try(t, a, c)
		repeats := verdict == triedRefused || verdict == triedUnreached || verdict == triedFailed && !f.w.s.Classes[a.Class].Unsafe
		if number >= f.w.s.Load.Retries || !repeats {
			return
		}
		pause := noAdvice
		if advice > 0 && rng.Float64() < f.w.s.Load.Honour {
			pause = min(advice, mostAdvice)
		}
		if !f.w.sleep(pause) {
			return
		}
		node = c.pick(rng.Float64(), rng.IntN(c.Spread), f.w.s.Fleet.Nodes)
	}
}

// reachable is the node, or another of the customer's where the front holds it to be down.
func (f *front) reachable(c *Customer, node int) int {
	for i := range c.Spread {
		n := (c.First + (node-c.First+i+f.w.s.Fleet.Nodes)%f.w.s.Fleet.Nodes%c.Spread) % f.w.s.Fleet.Nodes
		f.nodes[n].mu.Lock()
		up := f.nodes[n].up
		f.nodes[n].mu.Unlock()
		if up {
			return n
		}
	}
	return node
}

// How a try ended, for its client.
type tried int

const (
	triedServed tried = iota
	triedRefused
	triedFailed
	triedUnreached // it came to no node
)

// try sends one request and reads its answer.
func (f *front) try(t *try, a *Arrival, c *Customer) (verdict tried, advice time.Duration) {
	class := f.w.s.Classes[a.Class]
	t.method, t.target = class.method(), fmt.Sprintf("/%s?customer=%016x", class.Name, c.ID)
	if class.Unsafe {
		t.body = "order " + t.id
	}
	f.w.ref.ask(t, f.w.now())
	n := f.nodes[t.node]
	limit := f.w.wall(t.deadline + givesUp + f.w.slack(t.node))
	for again := false; ; again = true {
		cc, kept, err := n.take(limit, again)
		if err != nil {
			n.unreachable(f.w.now(), time.Duration(f.w.s.Load.FrontSees))
			f.w.ref.unanswered(t, f.w.now(), false, false, "")
			return triedUnreached, 0
		}
		_ = cc.SetDeadline(limit)
		// The wait counts from when the request is sent, and a connection may have come up late.
		left := t.deadline - f.w.now()
		if left <= 0 {
			n.give(cc)
			f.w.ref.unanswered(t, f.w.now(), false, false, "")
			return triedUnreached, 0
		}
		if _, err = io.WriteString(cc, f.word(t, a, c, left)); err != nil {
			_ = cc.Close()
			if kept && !again {
				continue
			}
			f.w.ref.unanswered(t, f.w.now(), false, false, "")
			return triedUnreached, 0
		}
		f.w.ref.sent(t, f.w.now())
		if err = f.awaitAnswer(t, cc); err != nil && kept && !again && !timedOut(err) {
			_ = cc.Close() // the node closed it as the request came: sent once more, as the protocol says
			continue
		}
		return f.read(t, n, cc, !kept)
	}
}

// awaitAnswer waits for an answer's first byte, for as long as the client and then the machine
// give: what a node was starved of meanwhile is not held against it.
func (f *front) awaitAnswer(t *try, cc *clientConn) error {
	for {
		_, err := cc.br.Peek(1)
		if err == nil || !timedOut(err) {
			return err
		}
		limit := f.w.wall(t.deadline + givesUp + f.w.slack(t.node))
		if !limit.After(time.Now()) {
			return err
		}
		_ = cc.SetDeadline(limit)
	}
}

// word words a request whose client waits for so long.
func (f *front) word(t *try, a *Arrival, c *Customer, wait time.Duration) string {
	class := f.w.s.Classes[a.Class]
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Contract: %s\r\nX-Expires-In: %.3f\r\n"+
		"X-Metering: units=%.0f,spread=%d,first=%d\r\n", t.method, t.target, t.id, class.Name, f.w.s.Plans[c.Plan].Name, wait.Seconds(), a.Guess, c.Spread, c.First)
	if t.number > 0 && f.w.s.Load.MarkRetry {
		text += "X-Second-Try: 1\r\n"
	}
	if class.Unsafe {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	return text + "\r\n" + t.body
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// read takes the final answer.
func (f *front) read(t *try, n *frontNode, cc *clientConn, fresh bool) (verdict tried, advice time.Duration) {
	resp, err := http.ReadResponse(cc.br, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	}
	now := f.w.now()
	if err != nil {
		_ = cc.Close()
		f.w.ref.unanswered(t, now, f.w.answerable(t.node, t.sent), fresh && !timedOut(err), err.Error())
		return triedFailed, 0
	}
	f.w.ref.answered(t, now, resp.StatusCode, string(body), f.w.answerable(t.node, t.sent))
	if resp.Close {
		_ = cc.Close()
	} else {
		n.give(cc)
	}
	switch resp.StatusCode {
	case 200:
		return triedServed, 0
	case 429, 503:
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && !math.IsInf(s, 0) {
			advice = time.Duration(s * float64(time.Second))
		}
		return triedRefused, advice
	}
	return triedFailed, 0
}

// take is a connection to the node, kept or new; fresh wants a new one.
func (n *frontNode) take(limit time.Time, fresh bool) (cc *clientConn, kept bool, err error) {
	n.mu.Lock()
	for len(n.idle) > 0 && !fresh {
		cc = n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(cc.since) < keepsFor {
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

func (n *frontNode) give(cc *clientConn) {
	cc.since = time.Now()
	n.mu.Lock()
	n.idle = append(n.idle, cc)
	n.mu.Unlock()
}

// close ends all connections that stand idle.
func (f *front) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		for _, c := range n.idle {
			_ = c.Close()
		}
		n.idle = nil
		n.mu.Unlock()
	}
}
