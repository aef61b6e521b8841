package registry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second // time between the empty lines of a watch
	heartbeatGroups   = 64              // number of groups of watches that get heartbeats in turn
)

// heartbeat wakes a group of watches to send an empty line. With a timer per watch, all watches would contend
// for the lock of the runtime's timers at every change.
type heartbeat struct{ current atomic.Pointer[chan struct{}] }

// signal returns the channel that the next broadcast closes. broadcast must have been called at least once.
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

// runHeartbeats broadcasts to one group after another, and to all groups when the replica closes.
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
