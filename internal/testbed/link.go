package testbed

import (
	"sync"
	"time"
)

// LinkState is how one direction of a link is. The zero value is a link as it should be.
type LinkState struct {
	Cut   bool          // nothing passes and nothing tells: open and mute
	Delay time.Duration // of each packet, with up to half as much again
	Loss  float64       // share of the packets lost; TCP sends them again
	Rate  float64       // bytes a second; 0: no bound
}

// runClock is the time of a run, and its goroutines.
type runClock interface {
	now() time.Duration
	sleep(d time.Duration) bool // false where the run ends first
	spawn(f func())             // f ends with the run
}

// Link is a relay for TCP by itself, between parties that a test names.
type Link struct {
	relay *tcpRelay
	clock *linkClock
}

// linkClock is the [runClock] of a link that belongs to no run.
type linkClock struct {
	origin time.Time
	over   chan struct{}
	work   sync.WaitGroup
}

func (c *linkClock) now() time.Duration { return time.Since(c.origin) }
func (c *linkClock) spawn(f func())     { c.work.Go(f) }

func (c *linkClock) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.over:
		return false
	}
}

// NewLink opens a link to a target, at an address of its own; what it draws comes from the
// seed.
func NewLink(target string, seed uint64) (*Link, error) {
	l := &Link{clock: &linkClock{origin: time.Now(), over: make(chan struct{})}}
	var err error
	l.relay, err = startTCPRelay(l.clock, seed, "127.0.0.1:0", target, 0)
	return l, err
}

// Addr is where to connect instead of to the target.
func (l *Link) Addr() string {
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	return l.relay.addr
}

// Set changes both directions: there is from who connects to the target.
func (l *Link) Set(there, back LinkState) error {
	return l.relay.set(func(out, in *LinkState) { *out, *in = there, back })
}

// Close ends the link and what goes through it.
func (l *Link) Close() {
	close(l.clock.over)
	l.relay.close()
	l.clock.work.Wait()
}
