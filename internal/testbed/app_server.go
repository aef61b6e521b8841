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

// serverFaults is what goes wrong at an app server at the moment.
type serverFaults struct {
	hang                      bool
	errors, resets, malformed float64 // shares of the requests
}

// appServer is one app server on a loopback address of its own: the sockets around a model.
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
	wake      *time.Timer
	loads     []loadSample
	closed    bool
}

// loadSample is what a server held from a time on.
type loadSample struct {
	at       time.Duration
	inFlight int
}

// startServer opens an app server's address. A boot below 0 is a warm one.
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

func (s *appServer) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	// The one before is closed for good only when its accepting goroutine has noticed.
	for end := time.Now().Add(stopWithin); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end) && s.env.sleep(time.Millisecond); {
		ln, err = net.Listen("tcp", s.addr)
	}
	if err != nil {
		return fmt.Errorf("app server %d: %w", s.number, err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.env.work.Go(func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				s.env.fail(fmt.Errorf("app server %d: %w", s.number, err))
				return
			}
			s.env.work.Go(func() { s.serve(c) })
		}
	})
	return nil
}

// serve answers the requests of one connection until it ends.
func (s *appServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	if s.closed || s.state == lifecycleRemoved {
		s.mu.Unlock()
		return
	}
	s.conns[c] = true
	crowded := len(s.conns) > s.env.scenario.Fleet.Connections
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
		if !s.answer(c, r, string(body), crowded) {
			return
		}
	}
}

// chances are what was drawn for one request, in this order whatever comes of it.
type chances struct {
	fails, resets, malformed bool
	malformation             int
}

// drawChances draws what goes wrong with a request. Called under the mutex.
func (s *appServer) drawChances() chances {
	return chances{
		fails:        s.rng.Float64() < s.faults.errors,
		resets:       s.rng.Float64() < s.faults.resets,
		malformed:    s.rng.Float64() < s.faults.malformed,
		malformation: s.rng.IntN(malformations),
	}
}

// answer serves one request that has come whole; it is false where the connection ends.
func (s *appServer) answer(c net.Conn, r *http.Request, body string, crowded bool) bool {
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
	hangs, drawn := s.faults.hang, s.drawChances()
	var ran <-chan struct{}
	failed := false
	if !hangs && !drawn.fails && s.state == lifecycleUp && !crowded {
		ran, failed = s.accept(s.env.schedule.Arrivals[t.arrival].Work, now)
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
		_, _ = io.Copy(io.Discard, c) // until the node gives up
		return false
	case drawn.fails:
		return s.respond(c, "500 Internal Server Error", "", "failed")
	case ran == nil:
		s.env.checker.upstreamRejected(t, attempt)
		return s.respond(c, "503 Service Unavailable", "X-Never-Ran: 1\r\n", "full") && !crowded
	}
	select {
	case <-ran:
		return s.answerRun(c, t, attempt, drawn)
	case <-s.env.over:
		return false
	}
}

// answerRun answers an attempt that has run; it is false where the connection ends.
func (s *appServer) answerRun(c net.Conn, t *clientAttempt, attempt int, drawn chances) bool {
	text := fmt.Sprintf("quote %s %s %d\n", t.id, s.name(), attempt)
	switch {
	case drawn.resets:
		reset(c)
		return false
	case drawn.malformed:
		s.respondMalformed(c, drawn.malformation, text)
		return false
	}
	s.env.checker.responseMade(t, attempt, text, s.env.now())
	return s.respond(c, "200 OK", fmt.Sprintf("X-Settled: %.0f\r\n", s.env.schedule.Arrivals[t.arrival].Units), text)
}

// accept hands work to the model. ran is closed when it has run, and nil where it was rejected unseen; failed tells
// that it was what overloaded the server to failure. Called under the mutex.
func (s *appServer) accept(work float64, now time.Duration) (ran <-chan struct{}, failed bool) {
	ended := make(chan struct{})
	before := s.model.failed
	if s.model.arrive(now, &job{work: work, ended: func() { close(ended) }}) {
		ran = ended
	}
	s.recordLoad(now)
	s.scheduleWake()
	return ran, s.model.failed && !before
}

// respondMalformed writes a response that can't be read, and waits a little for the node to give up where that is for
// the node to notice.
func (s *appServer) respondMalformed(c net.Conn, malformation int, text string) {
	_, _ = io.WriteString(c, malformedResponse(malformation, text)) // the node may have given up
	if malformation != 0 {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
	}
}

// malformations is the number of ways in which malformedResponse spoils a response.
const malformations = 4

// malformedResponse is a response that can't be read.
func malformedResponse(kind int, answer string) string {
	switch kind {
	case 0:
		return "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + answer
	case 1:
		return "\x85\x14\xe8 no HTTP at all\r\n\r\n"
	case 2:
		return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n" + answer
	}
	return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppppppp\r\n", 4000)
}

// respond writes one whole answer in one piece, with the load report.
func (s *appServer) respond(c net.Conn, status, headers, body string) bool {
	s.mu.Lock()
	held := s.reportedLoad(s.env.now())
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\nEndpoint-Load-Metrics: TEXT inflight=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, held, headers, len(body), body)
	return err == nil
}

// scheduleWake sets the timer for when a request next ends. Called under the mutex.
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

// recordLoad keeps what the server holds, for reports that come late. Called under the mutex.
func (s *appServer) recordLoad(now time.Duration) {
	s.loads = append(s.loads, loadSample{now, s.model.inFlight()})
	old := now - time.Duration(s.env.scenario.Fleet.ReportEvery+s.env.scenario.Fleet.ReportDelay) - time.Second
	for len(s.loads) > 1 && s.loads[1].at < old {
		s.loads = s.loads[1:]
	}
}

// reportedLoad is what a load report says now: refreshed now and then, and late. Called under
// the mutex.
func (s *appServer) reportedLoad(now time.Duration) int {
	at := now - time.Duration(s.env.scenario.Fleet.ReportDelay)
	if every := time.Duration(s.env.scenario.Fleet.ReportEvery); every > 0 {
		at -= at % every
	}
	held := 0
	for _, l := range s.loads {
		if l.at > at {
			break
		}
		held = l.inFlight
	}
	return held
}

func (s *appServer) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// entry is the server as the list has it.
func (s *appServer) entry() Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Entry{
		InstanceID: s.id, HostPort: s.addr, Zone: s.env.scenario.Fleet.zoneOf(s.number), MachineType: "std-4c", Cell: s.number / 6,
		Lifecycle: s.state, Weight: 1, number: s.number,
	}
	if s.startedAt >= 0 {
		e.StartedAtMs = s.env.wall(s.startedAt).UnixMilli()
	}
	return e
}

// fault changes what goes wrong at the server.
func (s *appServer) fault(change func(f *serverFaults, m *model)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.advance(s.env.now())
	change(&s.faults, s.model)
	s.scheduleWake()
}

// drain makes the server finish what it holds and turn away what comes.
func (s *appServer) drain() {
	s.mu.Lock()
	s.state = lifecycleDraining
	s.mu.Unlock()
	s.env.list.publishLater(s.entry())
}

// crash ends the process: its connections are reset, new ones refused.
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

// remove ends the process for good.
func (s *appServer) remove() {
	s.crash()
	s.mu.Lock()
	s.state = lifecycleRemoved
	s.mu.Unlock()
	s.env.list.publishLater(s.entry())
}

// restart starts the process again, cold, under the same id or as another one.
func (s *appServer) restart(anew bool) error {
	s.mu.Lock()
	now := s.env.now()
	if anew {
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

// close ends the server with the run.
func (s *appServer) close() {
	s.mu.Lock()
	s.closed = true
	if s.wake != nil {
		s.wake.Stop()
	}
	s.mu.Unlock()
	s.crash()
}

// reset closes a connection so that the other side sees it break.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a connection that is gone alone
	}
	_ = c.Close()
}
