package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverFaults describes the faults that an app server currently has.
type serverFaults struct {
	hang                      bool    // no request gets a response
	errors, resets, malformed float64 // fractions of the requests affected
}

// appServer is an emulated app server. It accepts connections on its own loopback address and executes
// requests in a [model].
type appServer struct {
	env    *environment
	number int
	addr   string

	mu        sync.Mutex
	rng       *rand.Rand
	id        string
	state     lifecycle
	startedAt time.Duration
	model     *model
	faults    serverFaults
	ln        net.Listener
	conns     map[net.Conn]bool
	wake      *time.Timer  // advances the model when the next running request ends
	loads     []loadSample // in order of time
	closed    bool
}

// loadSample is the number of requests at an app server at a point in time. It is valid until the next
// sample.
type loadSample struct {
	at       time.Duration
	inFlight int
}

// startServer starts a warm app server that listens on addr.
func startServer(env *environment, number int, addr string) (*appServer, error) {
	s := &appServer{
		env: env, number: number, addr: addr, id: fmt.Sprintf("s-%08x", env.ids.Uint32()), state: lifecycleUp, startedAt: -1,
		rng: random(env.seed, streamServers<<16|number), conns: map[net.Conn]bool{},
	}
	s.model = newModel(&env.scenario.Fleet, env.scenario.Load.WorkMS/1000, env.now(), -1)
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// listen opens the server's listener and starts to accept connections.
func (s *appServer) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	// After a restart the port is free only once the previous listener's accept goroutine has returned.
	for end := time.Now().Add(stopTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end) && s.env.sleep(time.Millisecond); {
		ln, err = net.Listen("tcp", s.addr)
	}
	if err != nil {
		return fmt.Errorf("app server %d: %w", s.number, err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.env.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				s.env.fail(fmt.Errorf("app server %d: %w", s.number, err))
				return
			}
			s.env.goroutines.Go(func() { s.serve(c) })
		}
	})
	return nil
}

// serve responds to the requests of one connection until it ends.
func (s *appServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	if s.closed || s.state == lifecycleRemoved {
		s.mu.Unlock()
		return
	}
	s.conns[c] = true
	overConnLimit := len(s.conns) > s.env.scenario.Fleet.Connections
	s.model.handshake(s.env.now())
	s.scheduleWake()
	s.mu.Unlock()
	s.env.connections.Add(1)
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(s.env.scenario.Fleet.ConnIdle)))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		if err != nil {
			return
		}
		if !s.handle(c, r, string(body), overConnLimit) {
			return
		}
	}
}

// requestFaults is the result of the random draws for one request. All values are drawn for every
// request and in this order, so that the sequence of random numbers does not depend on the outcome.
type requestFaults struct {
	fails, resets, malformed bool
	malformationKind         int // kind of malformed response, see malformedResponse
}

// drawRequestFaults draws the faults of one request. The caller holds s.mu.
func (s *appServer) drawRequestFaults() requestFaults {
	return requestFaults{
		fails:            s.rng.Float64() < s.faults.errors,
		resets:           s.rng.Float64() < s.faults.resets,
		malformed:        s.rng.Float64() < s.faults.malformed,
		malformationKind: s.rng.IntN(malformationKinds),
	}
}

// handle handles one complete request. It reports whether the connection stays open. overConnLimit reports
// whether the connection was opened beyond the server's limit; the server then executes none of its requests.
func (s *appServer) handle(c net.Conn, r *http.Request, body string, overConnLimit bool) bool {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return s.respond(c, "404 Not Found", "", "no id")
	}
	now := s.env.now()
	t, attempt, ok := s.env.checker.upstreamArrived(s.name(), id, r.Method, r.RequestURI, body, now)
	if !ok {
		return s.respond(c, "400 Bad Request", "", "no client sent this")
	}
	s.mu.Lock()
	hangs, faults := s.faults.hang, s.drawRequestFaults()
	var completed <-chan struct{}
	failed := false
	if !hangs && !faults.fails && s.state == lifecycleUp && !overConnLimit {
		completed, failed = s.accept(s.env.schedule.Arrivals[t.arrival].Work, now)
	}
	s.mu.Unlock()
	if failed {
		s.env.overloadFailures.Add(1)
		s.env.checker.serverOverloaded(s.name(), now)
		s.crash()
	}
	switch {
	case hangs:
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c) // returns when the node closes the connection
		return false
	case faults.fails:
		return s.respond(c, "500 Internal Server Error", "", "failed")
	case completed == nil:
		s.env.checker.upstreamRejected(t, attempt)
		return s.respond(c, "503 Service Unavailable", "X-Never-Ran: 1\r\n", "full") && !overConnLimit
	}
	select {
	case <-completed:
		return s.respondCompleted(c, t, attempt, faults)
	case <-s.env.done:
		return false
	}
}

// respondCompleted responds to an executed attempt. It reports whether the connection stays open.
func (s *appServer) respondCompleted(c net.Conn, t *clientAttempt, attempt int, faults requestFaults) bool {
	text := fmt.Sprintf("quote %s %s %d\n", t.id, s.name(), attempt)
	switch {
	case faults.resets:
		reset(c)
		return false
	case faults.malformed:
		s.respondMalformed(c, faults.malformationKind, text)
		return false
	}
	s.env.checker.responseMade(t, attempt, text, s.env.now())
	return s.respond(c, "200 OK", fmt.Sprintf("X-Settled: %.0f\r\n", s.env.schedule.Arrivals[t.arrival].Units), text)
}

// accept passes a request's work to the model. The completed channel is closed once the work has been
// executed; it is nil if the model rejected the request. failed reports whether this request overloaded
// the server to failure. The caller holds s.mu.
func (s *appServer) accept(work float64, now time.Duration) (completed <-chan struct{}, failed bool) {
	done := make(chan struct{})
	failedBefore := s.model.failed
	if s.model.arrive(now, &job{work: work, onComplete: func() { close(done) }}) {
		completed = done
	}
	s.recordLoad(now)
	s.scheduleWake()
	return completed, s.model.failed && !failedBefore
}

// respondMalformed writes a malformed response. A truncated response (kind 0) ends with the connection, which
// the caller closes at once. After a response of another kind, respondMalformed waits up to 1 s for the node
// to close the connection.
func (s *appServer) respondMalformed(c net.Conn, kind int, text string) {
	_, _ = io.WriteString(c, malformedResponse(kind, text)) // fails if the node has disconnected
	if kind != 0 {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
	}
}

// malformationKinds is the number of kinds of malformed responses.
const malformationKinds = 4

// malformedResponse returns a malformed response: truncated, not HTTP, with conflicting lengths, or
// with too long a header.
func malformedResponse(kind int, body string) string {
	switch kind {
	case 0:
		return "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + body
	case 1:
		return "\x85\x14\xe8 no HTTP at all\r\n\r\n"
	case 2:
		return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n" + body
	}
	return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppppppp\r\n", 4000)
}

// respond writes a complete response, including the load report, in a single write. It reports whether
// the write succeeded.
func (s *appServer) respond(c net.Conn, status, headers, body string) bool {
	s.mu.Lock()
	inFlight := s.reportedLoad(s.env.now())
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\nEndpoint-Load-Metrics: TEXT inflight=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, inFlight, headers, len(body), body)
	return err == nil
}

// scheduleWake sets the timer to the time at which the next running request ends. The caller holds s.mu.
func (s *appServer) scheduleWake() {
	if s.wake != nil {
		s.wake.Stop()
	}
	if d, ok := s.model.next(); ok {
		s.wake = time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := s.env.now()
			s.model.advance(now)
			s.recordLoad(now)
			s.scheduleWake()
		})
	}
}

// recordLoad records the current number of requests. Load reports are delayed, so samples are retained
// for as long as a report may refer to them. The caller holds s.mu.
func (s *appServer) recordLoad(now time.Duration) {
	s.loads = append(s.loads, loadSample{now, s.model.inFlight()})
	old := now - time.Duration(s.env.scenario.Fleet.ReportEvery+s.env.scenario.Fleet.ReportDelay) - time.Second
	for len(s.loads) > 1 && s.loads[1].at < old {
		s.loads = s.loads[1:]
	}
}

// reportedLoad returns the number of requests that a load report sent now contains. Reports are delayed
// by ReportDelay and updated every ReportEvery. The caller holds s.mu.
func (s *appServer) reportedLoad(now time.Duration) int {
	at := now - time.Duration(s.env.scenario.Fleet.ReportDelay)
	if every := time.Duration(s.env.scenario.Fleet.ReportEvery); every > 0 {
		at -= at % every
	}
	inFlight := 0
	for _, l := range s.loads {
		if l.at > at {
			break
		}
		inFlight = l.inFlight
	}
	return inFlight
}

// name returns the server's instance id.
func (s *appServer) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// entry returns the server's entry in the list of app servers.
func (s *appServer) entry() Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Entry{
		InstanceID: s.id, HostPort: s.addr, Zone: s.env.scenario.Fleet.zoneOf(s.number), MachineType: "std-4c", Cell: s.number / 6,
		Lifecycle: s.state, Weight: 1, number: s.number,
	}
	if s.startedAt >= 0 {
		e.StartedAtMs = s.env.wallTime(s.startedAt).UnixMilli()
	}
	return e
}

// changeFaults applies a change to the server's faults or to its model.
func (s *appServer) changeFaults(change func(f *serverFaults, m *model)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.advance(s.env.now())
	change(&s.faults, s.model)
	s.scheduleWake()
}

// drain puts the server into the draining state: it finishes its current requests and rejects new ones. The
// list shows the state after the delay of discovery.
func (s *appServer) drain() {
	s.mu.Lock()
	s.state = lifecycleDraining
	s.mu.Unlock()
	s.env.list.publishLater(s.entry())
}

// crash simulates a crash of the server's process: it resets the open connections and refuses new ones.
func (s *appServer) crash() {
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
}

// remove ends the server's process and removes the server from the list.
func (s *appServer) remove() {
	s.crash()
	s.mu.Lock()
	s.state = lifecycleRemoved
	s.mu.Unlock()
	s.env.list.publishLater(s.entry())
}

// restart starts the server's process again, in slow start and without faults. If newID is true, the server
// gets a new instance id.
func (s *appServer) restart(newID bool) error {
	s.mu.Lock()
	now := s.env.now()
	if newID {
		s.id = fmt.Sprintf("s-%08x", s.env.ids.Uint32())
	}
	s.state, s.startedAt, s.faults, s.loads = lifecycleUp, now, serverFaults{}, nil
	s.model = newModel(&s.env.scenario.Fleet, s.env.scenario.Load.WorkMS/1000, now, now)
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	s.env.list.publishLater(s.entry())
	return nil
}

// close stops the server at the end of the run.
func (s *appServer) close() {
	s.mu.Lock()
	s.closed = true
	if s.wake != nil {
		s.wake.Stop()
	}
	s.mu.Unlock()
	s.crash()
}

// reset closes a TCP connection with a reset (RST) instead of an orderly close.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close()
}
