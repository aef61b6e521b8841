package registry

import (
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

const (
	takeOverRetryInterval = time.Second
	idleCheckInterval     = time.Hour // time until the next expiry check if no lease can expire
)

// IsLeader reports whether this replica is the leader and has taken over the leases. The result may be
// outdated: only a quorum can confirm that the replica is still the leader.
func (s *Server) IsLeader() bool { return s.raft.State() == raft.Leader && s.hasTakenOver() }

// leaderAddress returns the HTTP address of the leader, or "" if no leader is known.
func (s *Server) leaderAddress() string {
	_, id := s.raft.LeaderWithID()
	_, addr, _ := strings.Cut(string(id), "@")
	return addr
}

// runLeadership follows the leadership of this replica until the server closes. When the replica becomes
// leader, it takes over the leases, each with a full term, and from then on removes the expired ones.
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
			s.leadership.end()
			if !leads {
				s.logger.Info("leadership lost", "replica", s.id)
				continue
			}
			s.takeOver()
		case <-retryTakeOver:
			s.takeOver()
		case <-s.leadership.changed:
		case <-time.After(s.leadership.untilExpiryCheck(s.now())):
		}
		s.expireLeases()
	}
}

// hasTakenOver reports whether this replica has taken over in the current Raft term: it has applied
// everything that earlier leaders committed, and it tracks the leases in this term.
func (s *Server) hasTakenOver() bool { return s.leadership.activeIn(s.raft.CurrentTerm()) }

// takeOver starts the work of a leader, once everything that earlier leaders committed has been applied.
func (s *Server) takeOver() {
	term := s.raft.CurrentTerm()
	err := s.raft.Barrier(operationTimeout).Error()
	if err == nil {
		err = s.loadRestored()
	}
	if err != nil {
		s.logger.Warn("leadership takeover failed", "replica", s.id, "term", term, "err", err)
		return
	}
	leases := 0
	// The FSM's mutex is held, so that no change is missed between reading the leases and tracking them.
	s.fsm.withState(func(st *State) {
		leases = s.leadership.begin(term, s.now(), st.Leases())
	})
	s.logger.Info("leadership acquired", "replica", s.id, "term", term, "generation", s.fsm.generation(), "leases", leases)
}

// expireLeases commits the removal of expired leases, if a check is due.
func (s *Server) expireLeases() {
	batch, ok := s.leadership.checkExpired(s.now())
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
		s.leadership.expiryFailed(batch)
		return
	}
	s.metrics.expired.Add(float64(len(batch.due)))
	s.logger.Info("leases expired", "replica", s.id, "count", len(batch.due), "first", batch.due[0].ID, "generation", o.Generation)
}
