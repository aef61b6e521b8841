package registry

import (
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

const (
	takeOverRetryInterval = time.Second
	idleCheckInterval     = time.Hour // while there is no lease to expire
)

// IsLeader reports whether this replica leads and has taken its leadership over. Whether it still leads only its quorum
// can tell.
func (s *Server) IsLeader() bool { return s.raft.State() == raft.Leader && s.hasTakenOver() }

// leaderAddress is the HTTP address of the leader, "" where none is known.
func (s *Server) leaderAddress() string {
	_, id := s.raft.LeaderWithID()
	_, addr, _ := strings.Cut(string(id), "@")
	return addr
}

// runLeadership follows this replica's leadership until it closes: a leader takes over the leases, each with a full
// term, and expires them.
func (s *Server) runLeadership() {
	for {
		var retryTakeOver <-chan time.Time
		if s.raft.State() == raft.Leader && !s.hasTakenOver() {
			retryTakeOver = time.After(takeOverRetryInterval)
		}
		select {
		case <-s.ctx.Done():
			return
		case leads := <-s.raft.LeaderCh():
			s.leader.end()
			if !leads {
				s.logger.Info("leadership lost", "replica", s.id)
				continue
			}
			s.takeOver()
		case <-retryTakeOver:
			s.takeOver()
		case <-s.leader.changed:
		case <-time.After(s.leader.untilExpiryCheck(s.now())):
		}
		s.expireLeases()
	}
}

// hasTakenOver reports whether this replica has taken over the leadership that it is in: it has applied what was
// committed before, and its leases are not those of an earlier leadership.
func (s *Server) hasTakenOver() bool { return s.leader.isOf(s.raft.CurrentTerm()) }

// takeOver begins a leader's work once it has applied everything that its predecessors committed.
func (s *Server) takeOver() {
	term := s.raft.CurrentTerm()
	err := s.raft.Barrier(applyTimeout).Error()
	if err == nil {
		err = s.loadRestored()
	}
	if err != nil {
		s.logger.Warn("leadership takeover failed", "replica", s.id, "term", term, "err", err)
		return
	}
	leases := 0
	s.fsm.withState(func(st *State) { // no change may come between reading the leases and tracking them
		leases = s.leader.begin(term, s.now(), st.Leases())
	})
	s.logger.Info("leadership acquired", "replica", s.id, "term", term, "generation", s.fsm.generation(), "leases", leases)
}

// expireLeases brings the leases that have expired through the log.
func (s *Server) expireLeases() {
	batch, ok := s.leader.expired(s.now())
	if !ok {
		return
	}
	switch batch.change {
	case expirySuspended:
		s.logger.Warn("lease expiry suspended", "replica", s.id)
	case expiryResumed:
		s.logger.Warn("lease expiry resumed", "replica", s.id)
	}
	if len(batch.due) == 0 {
		return
	}
	o, err := s.commit(Command{Kind: Expire, Expired: batch.due, Term: batch.term})
	if err != nil || o.Code != Done {
		s.leader.expiryFailed(batch)
		return
	}
	s.metrics.expired.Add(float64(len(batch.due)))
	s.logger.Info("leases expired", "replica", s.id, "count", len(batch.due), "first", batch.due[0].ID, "generation", o.Generation)
}
