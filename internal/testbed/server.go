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
	hang                bool
	errors, resets, bad float64 // shares of the requests
}

// appServer is one app server on a loopback address of its own: the sockets around a model.
type appServer struct {
	w      *world
	number int
	addr   string

	mu     sync.Mutex
	rng    *rand.Rand
	id     string
	state  string // up, draining, removed
	boot   time.Duration
	m      *model
	faults serverFaults
	ln     net.Listener
	conns  map[net.Conn]bool
	wake   *time.Timer
	loads  []loadSample
	closed bool
}

// loadSample is what a server held from a time on.
type loadSample struct {
	at   time.Duration
	held int
}

// startServer opens an app server's address. A boot below 0 is a warm one.
func startServer(w *world, number int, addr string) (*appServer, error) {
	s := &appServer{
		w: w, number: number, addr: addr, id: fmt.Sprintf("s-%08x", w.ids.Uint32()), state: "up", boot: -1,
		rng: random(w.seed, streamServers<<16|number), conns: map[net.Conn]bool{},
	}
	s.m = newModel(&w.s.Fleet, w.s.Load.WorkMS/1000, w.now(), -1)
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *appServer) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	// The one before is closed for good only when its accepting goroutine has noticed.
	for end := time.Now().Add(stopWithin); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end) && s.w.sleep(time.Millisecond); {
		ln, err = net.Listen("tcp", s.addr)
	}
	if err != nil {
		return fmt.Errorf("app server %d: %w", s.number, err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.w.work.Go(func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				s.w.fail(fmt.Errorf("app server %d: %w", s.number, err))
				return
			}
			s.w.work.Go(func() { s.serve(c) })
		}
	})
	return nil
}

// serve answers the requests of one connection until it ends.
func (s *appServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	if s.closed || s.state == "removed" {
		s.mu.Unlock()
		return
	}
	s.conns[c] = true
	crowded := len(s.conns) > s.w.s.Fleet.Connections
	s.m.handshake(s.w.now())
	s.plan()
	s.mu.Unlock()
	s.w.connections.Add(1)
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(s.w.s.Fleet.ConnIdle)))
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

// answer serves one request that has come whole; it is false where the connection ends.
func (s *appServer) answer(c net.Conn, r *http.Request, body string, crowded bool) bool {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return s.say(c, "404 Not Found", "", "no id")
	}
	now := s.w.now()
	t, attempt, ok := s.w.ref.arrived(s.name(), id, r.Method, r.RequestURI, body, now)
	if !ok {
		return s.say(c, "400 Bad Request", "", "no client sent this")
	}
	s.mu.Lock()
	f, state := s.faults, s.state
	failing := s.rng.Float64() < f.errors
	resets := s.rng.Float64() < f.resets
	spoilt := s.rng.Float64() < f.bad
	kind := s.rng.IntN(4)
	j := &job{work: s.w.d.Arrivals[t.arrival].Work}
	ran := make(chan struct{})
	j.ended = func() { close(ran) }
	taken, fell := false, false
	if !f.hang && !failing && state == "up" && !crowded {
		was := s.m.fell
		taken = s.m.arrive(now, j)
		fell = s.m.fell && !was
		s.noteLoad(now)
		s.plan()
	}
	s.mu.Unlock()
	if fell {
		s.w.serversFell.Add(1)
		s.w.ref.fell(s.name(), now)
		s.die()
	}
	switch {
	case f.hang:
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c) // until the node gives up
		return false
	case failing:
		return s.say(c, "500 Internal Server Error", "", "failed")
	case !taken:
		s.w.ref.turnedAway(t, attempt)
		if !s.say(c, "503 Service Unavailable", "X-Never-Ran: 1\r\n", "full") {
			return false
		}
		return !crowded
	}
	select {
	case <-ran:
	case <-s.w.over:
		return false
	}
	if resets {
		reset(c)
		return false
	}
	now = s.w.now()
	answer := fmt.Sprintf("quote %s %s %d\n", id, s.name(), attempt)
	a := &s.w.d.Arrivals[t.arrival]
	if spoilt {
		_, _ = io.WriteString(c, spoil(kind, answer)) // the node may have given up
		if kind != 0 {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(io.Discard, c)
		}
		return false
	}
	s.w.ref.made(t, attempt, answer, now)
	return s.say(c, "200 OK", fmt.Sprintf("X-Settled: %.0f\r\n", a.Units), answer)
}

// spoil words an answer that can't be read.
func spoil(kind int, answer string) string {
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

// say writes one whole answer in one piece, with the load report.
func (s *appServer) say(c net.Conn, status, headers, body string) bool {
	s.mu.Lock()
	held := s.reported(s.w.now())
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\nEndpoint-Load-Metrics: TEXT inflight=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, held, headers, len(body), body)
	return err == nil
}

// plan sets the timer for when a request next ends. Called under the mutex.
func (s *appServer) plan() {
	if s.wake != nil {
		s.wake.Stop()
	}
	if d, ok := s.m.next(); ok {
		s.wake = time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := s.w.now()
			s.m.advance(now)
			s.noteLoad(now)
			s.plan()
		})
	}
}

// noteLoad keeps what the server holds, for reports that come late. Called under the mutex.
func (s *appServer) noteLoad(now time.Duration) {
	s.loads = append(s.loads, loadSample{now, s.m.held()})
	old := now - time.Duration(s.w.s.Fleet.ReportEvery+s.w.s.Fleet.ReportLate) - time.Second
	for len(s.loads) > 1 && s.loads[1].at < old {
		s.loads = s.loads[1:]
	}
}

// reported is what a load report says now: refreshed now and then, and late. Called under
// the mutex.
func (s *appServer) reported(now time.Duration) int {
	at := now - time.Duration(s.w.s.Fleet.ReportLate)
	if every := time.Duration(s.w.s.Fleet.ReportEvery); every > 0 {
		at -= at % every
	}
	held := 0
	for _, l := range s.loads {
		if l.at > at {
			break
		}
		held = l.held
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
		InstanceID: s.id, HostPort: s.addr, Zone: s.w.s.Fleet.zoneOf(s.number), MachineType: "std-4c", Cell: s.number / 6,
		Lifecycle: s.state, Weight: 1, number: s.number,
	}
	if s.boot >= 0 {
		e.StartedAtMs = s.w.wall(s.boot).UnixMilli()
	}
	return e
}

// fault changes what goes wrong at the server.
func (s *appServer) fault(change func(f *serverFaults, m *model)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.advance(s.w.now())
	change(&s.faults, s.m)
	s.plan()
}

// drain makes the server finish what it holds and turn away what comes.
func (s *appServer) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.w.list.changed(s.entry())
}

// die ends the process: its connections are reset, new ones refused.
func (s *appServer) die() {
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
}

// gone ends the process for good.
func (s *appServer) gone() {
	s.die()
	s.mu.Lock()
	s.state = "removed"
	s.mu.Unlock()
	s.w.list.changed(s.entry())
}

// revive starts the process again, cold, under the same id or as another one.
func (s *appServer) revive(anew bool) error {
	s.mu.Lock()
	now := s.w.now()
	if anew {
		s.id = fmt.Sprintf("s-%08x", s.w.ids.Uint32())
	}
	s.state, s.boot, s.faults, s.loads = "up", now, serverFaults{}, nil
	s.m = newModel(&s.w.s.Fleet, s.w.s.Load.WorkMS/1000, now, now)
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	if err := s.listen(); err != nil {
		return err
	}
	s.w.list.changed(s.entry())
	return nil
}

// shut ends the server with the run.
func (s *appServer) shut() {
	s.mu.Lock()
	s.closed = true
	if s.wake != nil {
		s.wake.Stop()
	}
	s.mu.Unlock()
	s.die()
}

// reset closes a connection so that the other side sees it break.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a connection that is gone alone
	}
	_ = c.Close()
}
