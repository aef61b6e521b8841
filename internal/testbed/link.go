package testbed

import (
	"sync"
	"time"
)

// LinkState is the state of one direction of a link. The zero value is a link without faults.
type LinkState struct {
	Cut   bool          // data is dropped without an error; open connections stay open
	Delay time.Duration // minimum delay of each chunk of data; on TCP, up to half is added at random
	Loss  float64       // fraction of the packets lost; on TCP, a loss delays the data by a retransmission
	Rate  float64       // bytes per second, only on TCP; 0: unlimited
}

// runClock provides the time of a run and starts its goroutines.
type runClock interface {
	now() time.Duration
	sleep(d time.Duration) bool // returns false if the run ends first
	spawn(f func())             // the run's end waits for f to return
}

// Link is a TCP relay for tests that need a link without a run of the testbed.
type Link struct {
	relay *tcpRelay
	clock *linkClock
}

// linkClock is the [runClock] of a [Link].
type linkClock struct {
	origin     time.Time
	done       chan struct{} // closed when the link is closed
	goroutines sync.WaitGroup
}

func (c *linkClock) now() time.Duration { return time.Since(c.origin) }
func (c *linkClock) spawn(f func())     { c.goroutines.Go(f) }

func (c *linkClock) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}

// NewLink starts a link to a target address, on a loopback port that the kernel chooses. The seed determines
// the random delays and losses.
func NewLink(target string, seed uint64) (*Link, error) {
	l := &Link{clock: &linkClock{origin: time.Now(), done: make(chan struct{})}}
	var err error
	l.relay, err = startTCPRelay(l.clock, seed, "127.0.0.1:0", target, 0)
	return l, err
}

// Addr returns the address to connect to instead of the target.
func (l *Link) Addr() string {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	return l.relay.addr
}

// Set changes the state of both directions: out is from the connecting side to the target.
func (l *Link) Set(out, back LinkState) error {
	return l.relay.set(func(o, b *LinkState) { *o, *b = out, back })
}

// Close closes the link and its connections, and waits for their goroutines to return.
func (l *Link) Close() {
	close(l.clock.done)
	l.relay.close()
	l.clock.goroutines.Wait()
}
