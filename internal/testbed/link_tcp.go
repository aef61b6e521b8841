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

// retransmitDelay is the time after which TCP retransmits a lost packet.
const retransmitDelay = 200 * time.Millisecond

// tcpRelay is the TCP link from one party to another. It listens in place of the target and forwards the data
// of each connection. Each direction has its own state.
type tcpRelay struct {
	clock  runClock
	addr   string
	target string

	mu      sync.Mutex
	rng     *rand.Rand
	out     LinkState     // from the connecting party to the target
	back    LinkState     // from the target to the connecting party
	refuse  bool          // new connections are reset
	changed time.Duration // time at which a fault last began or ended; 0: never
	ln      *net.TCPListener
	conns   map[*relayedConn]bool
	fillers []net.Conn // connections that fill the listener's queue while the link is cut
	closed  bool
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	client, server net.Conn
	dataDropped    bool // data or a close was not forwarded; the two ends are inconsistent
}

// startTCPRelay starts a relay that listens on addr and forwards connections to target. The seed and the
// stream determine its random numbers.
func startTCPRelay(clock runClock, seed uint64, addr, target string, stream int) (*tcpRelay, error) {
	r := &tcpRelay{clock: clock, addr: addr, target: target, rng: random(seed, streamLinks<<16|stream), conns: map[*relayedConn]bool{}}
	return r, r.listen()
}

// listen opens the relay's listener and starts to accept connections.
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

// accept accepts connections and starts to forward them, until the listener is closed or its deadline passes.
// It resets a connection that the link refuses. If the link is cut, it holds the connection open instead of
// forwarding it.
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
		if cut { // the connection was established while the link was being cut
			r.clock.spawn(func() {
				r.blackhole(&relayedConn{client: c})
			})
			continue
		}
		r.clock.spawn(func() { r.relay(c) })
	}
}

// blackhole holds a connection open without forwarding data, until the connection ends.
func (r *tcpRelay) blackhole(p *relayedConn) {
	p.dataDropped = true
	defer r.remove(p)
	if !r.add(p) {
		return
	}
	_, _ = io.Copy(io.Discard, p.client) // any error means that the connection has ended
}

// add registers a connection, so that close closes it. It returns false if the relay is already closed; the
// caller then has to close the connection.
func (r *tcpRelay) add(p *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[p] = true
	return true
}

// remove unregisters a connection and closes both ends.
func (r *tcpRelay) remove(p *relayedConn) {
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// relay forwards one connection to the target. If the target refuses the connection, the client gets a reset.
func (r *tcpRelay) relay(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	p := &relayedConn{client: client, server: server}
	defer r.remove(p)
	if !r.add(p) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copyOneWay(p, client, server, func() LinkState { return r.out }) })
	directions.Go(func() { r.copyOneWay(p, server, client, func() LinkState { return r.back }) })
	directions.Wait()
}

// copyOneWay forwards data in one direction until one side closes the connection. It forwards a reset as a
// reset and a close as a close. state returns the direction's current state; it is called with r.mu held.
func (r *tcpRelay) copyOneWay(p *relayedConn, from, to net.Conn, state func() LinkState) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		st := state()
		lost := st.Loss > 0 && r.rng.Float64() < st.Loss
		delay := st.Delay + time.Duration(r.rng.Float64()*0.5*float64(st.Delay))
		p.dataDropped = p.dataDropped || st.Cut
		r.mu.Unlock()
		if st.Cut {
			if err != nil {
				return // a cut link does not forward the close either: the other side stays open
			}
			continue
		}
		if lost {
			delay += retransmitDelay
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

// setFault sets whether the link resets new connections (refuse). If resetOpen is true, it also resets the
// open connections.
func (r *tcpRelay) setFault(refuse, resetOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse, r.changed = refuse, r.clock.now()
	if !resetOpen {
		return
	}
	for p := range r.conns {
		reset(p.client)
		if p.server != nil {
			reset(p.server)
		}
	}
}

// healthySince reports whether the link has had no fault since the given time.
func (r *tcpRelay) healthySince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out == (LinkState{}) && r.back == (LinkState{}) && !r.refuse && (r.changed == 0 || r.changed < since)
}

// set changes the state of the link. While a direction is cut, new connections are not established. When the
// link is restored, set resets the connections on which data was dropped.
func (r *tcpRelay) set(change func(out, back *LinkState)) error {
	r.mu.Lock()
	wasCut := r.out.Cut || r.back.Cut
	change(&r.out, &r.back)
	r.changed = r.clock.now()
	isCut := r.out.Cut || r.back.Cut
	ln := r.ln
	r.mu.Unlock()
	switch {
	case isCut && !wasCut:
		return r.block(ln)
	case wasCut && !isCut:
		return r.unblock(ln)
	}
	return nil
}

// block fills the listener's accept queue, so that the kernel drops connection requests without a reply, as
// if the target machine did not exist.
func (r *tcpRelay) block(ln *net.TCPListener) error {
	if err := setBacklog(ln, 0); err != nil {
		return fmt.Errorf("relay to %s: %w", r.target, err)
	}
	// The accept goroutine takes connections out of the queue until a deadline in the past ends it. It may
	// still take one of the connections below, so more than one is made.
	_ = ln.SetDeadline(time.Unix(1, 0)) // fails only on a closed listener, which accepts nothing
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

// unblock accepts connections again after block, and resets the connections on which data was dropped.
func (r *tcpRelay) unblock(ln *net.TCPListener) error {
	if err := setBacklog(ln, 128); err != nil {
		return fmt.Errorf("relay to %s: %w", r.target, err)
	}
	r.mu.Lock()
	for _, c := range r.fillers {
		reset(c)
	}
	r.fillers = nil
	for p := range r.conns {
		if p.dataDropped {
			reset(p.client)
			if p.server != nil {
				reset(p.server)
			}
		}
	}
	r.mu.Unlock()
	_ = ln.SetDeadline(time.Time{})        // fails only on a closed listener; accept then returns at once
	r.clock.spawn(func() { r.accept(ln) }) // the deadline in block ended the previous accept goroutine
	return nil
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// close closes the relay's listener and all its connections.
func (r *tcpRelay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
	closeAll(r.fillers)
	for p := range r.conns {
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
