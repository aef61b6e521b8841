package registry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second // of a watch's empty line
	heartbeatGroups   = 64              // of watches, whose heartbeats are spread over the interval
)

// heartbeat wakes a group of the watches for their empty line. A timer for each watch would make all of them wait for
// the lock of the runtime's timers at every change.
type heartbeat struct{ current atomic.Pointer[chan struct{}] }

// signal returns the channel that the next broadcast closes. There must have been a broadcast before.
func (h *heartbeat) signal() chan struct{} { return *h.current.Load() }

// broadcast wakes every goroutine that waits for the signal.
func (h *heartbeat) broadcast() {
	next := make(chan struct{})
	if previous := h.current.Swap(&next); previous != nil {
		close(*previous)
	}
}

// randomHeartbeat returns the heartbeat of a random group.
func (s *Server) randomHeartbeat() *heartbeat { return &s.heartbeats[rand.IntN(len(s.heartbeats))] }

// runHeartbeats broadcasts to each group in its turn, and to all of them when the replica ends.
func (s *Server) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval / heartbeatGroups)
	defer ticker.Stop()
	for group := 0; ; group = (group + 1) % heartbeatGroups {
		select {
		case <-s.ctx.Done():
			s.shuttingDown.Store(true)
			for i := range s.heartbeats {
				s.heartbeats[i].broadcast()
			}
			return
		case <-ticker.C:
			s.heartbeats[group].broadcast()
		}
	}
}
