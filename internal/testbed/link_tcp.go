package testbed

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// resend is the pause after which TCP sends what was lost again.
const resend = 200 * time.Millisecond

// tcpRelay is the link from one party to another for TCP: a listener in the place of the
// target. Each direction has a state of its own.
type tcpRelay struct {
	clock  runClock
	addr   string
	target string

	mu      sync.Mutex
	rng     *rand.Rand
	out     LinkState // from the one that connects
	back    LinkState
	refuse  bool
	changed time.Duration // when a fault last began or ended
	ln      *net.TCPListener
	open    map[*relayedConn]bool
	fillers []net.Conn // that keep the listener's queue full while the link is cut
	closed  bool
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	client, server net.Conn
	missed         bool // bytes or an end were withheld: the ends no longer agree
}

func startTCPRelay(clock runClock, seed uint64, addr, target string, stream int) (*tcpRelay, error) {
	r := &tcpRelay{clock: clock, addr: addr, target: target, rng: random(seed, streamLinks<<16|stream), open: map[*relayedConn]bool{}}
	return r, r.listen()
}

// listen begins to listen, or does so again.
func (r *tcpRelay) listen() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return fmt.Errorf("relay to %s: %w", r.target, err)
	}
	r.mu.Lock()
	r.ln = ln.(*net.TCPListener)
	r.addr = ln.Addr().String()
	r.mu.Unlock()
	r.clock.spawn(func() { r.accept(ln) })
	return nil
}

func (r *tcpRelay) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut, refuse, closed := r.out.Cut || r.back.Cut, r.refuse, r.closed
		r.mu.Unlock()
		if refuse || closed {
			reset(c)
			continue
		}
		if cut { // it came up as the link went down
			r.clock.spawn(func() {
				r.blackhole(&relayedConn{client: c})
			})
			continue
		}
		r.clock.spawn(func() { r.carry(c) })
	}
}

// blackhole keeps a connection open and silent until it is reset.
func (r *tcpRelay) blackhole(p *relayedConn) {
	p.missed = true
	defer r.remove(p)
	if !r.add(p) {
		return
	}
	_, _ = io.Copy(io.Discard, p.client) // ends with any error: the connection is over
}

// add enters a connection, so that close ends it. It returns false if the relay is closed already: then nobody
// else will.
func (r *tcpRelay) add(p *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.open[p] = true
	return true
}

func (r *tcpRelay) remove(p *relayedConn) {
	r.mu.Lock()
	delete(r.open, p)
	r.mu.Unlock()
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// carry relays one connection. A target that refuses shows as a reset.
func (r *tcpRelay) carry(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	p := &relayedConn{client: near, server: far}
	defer r.remove(p)
	if !r.add(p) {
		return
	}
	var ends sync.WaitGroup
	ends.Go(func() { r.pass(p, near, far, func() LinkState { return r.out }) })
	ends.Go(func() { r.pass(p, far, near, func() LinkState { return r.back }) })
	ends.Wait()
}

// pass moves bytes one way until an end closes. An end is passed on as it was: a reset as a
// reset, a close as a close.
func (r *tcpRelay) pass(p *relayedConn, from, to net.Conn, state func() LinkState) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		st := state()
		lost := st.Loss > 0 && r.rng.Float64() < st.Loss
		delay := st.Delay + time.Duration(r.rng.Float64()*0.5*float64(st.Delay))
		p.missed = p.missed || st.Cut
		r.mu.Unlock()
		if st.Cut {
			if err != nil {
				return // the end is withheld as well: the other side stays open until the link is back
			}
			continue
		}
		if lost {
			delay += resend
		}
		if st.Rate > 0 {
			delay += time.Duration(float64(n) / st.Rate * float64(time.Second))
		}
		if delay > 0 {
			r.clock.sleep(delay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				reset(to)
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// setFault makes the link refuse new connections, or take them again; the open ones are reset
// where asked for.
func (r *tcpRelay) setFault(refuse, resetOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse, r.changed = refuse, r.clock.now()
	if !resetOpen {
		return
	}
	for p := range r.open {
		reset(p.client)
		if p.server != nil {
			reset(p.server)
		}
	}
}

// healthySince tells whether the link has been without a fault since a time.
func (r *tcpRelay) healthySince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out == (LinkState{}) && r.back == (LinkState{}) && !r.refuse && (r.changed == 0 || r.changed < since)
}

// set changes the link. While a direction is cut, new connections never come up; once it is
// back, connections that missed something are reset.
func (r *tcpRelay) set(change func(out, back *LinkState)) error {
	r.mu.Lock()
	was := r.out.Cut || r.back.Cut
	change(&r.out, &r.back)
	r.changed = r.clock.now()
	is := r.out.Cut || r.back.Cut
	ln := r.ln
	r.mu.Unlock()
	switch {
	case is && !was:
		return r.block(ln)
	case was && !is:
		return r.unblock(ln)
	}
	return nil
}

// block fills the listener's queue, so that the kernel drops what knocks, as a machine does
// that is not there.
func (r *tcpRelay) block(ln *net.TCPListener) error {
	if err := backlog(ln, 0); err != nil {
		return fmt.Errorf("relay to %s: %w", r.target, err)
	}
	// The accepting goroutine takes what it can; it is parked in accept, so the queue must be
	// filled past it.
	_ = ln.SetDeadline(time.Unix(1, 0)) // fails on a closed listener alone, which takes nobody anyway
	var fillers []net.Conn
	for range 3 {
		c, err := net.DialTimeout("tcp", r.addr, 5*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, c)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		closeAll(fillers)
		return nil
	}
	r.fillers = fillers
	return nil
}

func (r *tcpRelay) unblock(ln *net.TCPListener) error {
	if err := backlog(ln, 128); err != nil {
		return fmt.Errorf("relay to %s: %w", r.target, err)
	}
	r.mu.Lock()
	for _, c := range r.fillers {
		reset(c)
	}
	r.fillers = nil
	for p := range r.open {
		if p.missed {
			reset(p.client)
			if p.server != nil {
				reset(p.server)
			}
		}
	}
	r.mu.Unlock()
	_ = ln.SetDeadline(time.Time{})        // fails on a closed listener alone; accept then ends at once
	r.clock.spawn(func() { r.accept(ln) }) // the one before ended with the deadline
	return nil
}

// backlog changes the length of a listener's queue.
func backlog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var lerr error
	if err := raw.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return lerr
}

// close ends the relay and all that goes through it.
func (r *tcpRelay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
	closeAll(r.fillers)
	for p := range r.open {
		_ = p.client.Close()
		if p.server != nil {
			_ = p.server.Close()
		}
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
