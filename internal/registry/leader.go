package registry

import (
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// What the replica that leads does: it takes the leases over and expires those that have run out.

// leader is the HTTP address of the leader, "" where none is known.
func (s *Server) leaderAddress() string {
	_, id := s.raft.LeaderWithID()
	_, addr, _ := strings.Cut(string(id), "@")
	return addr
}

// Leads tells whether this replica leads and has taken its leadership over.
func (s *Server) IsLeader() bool { return s.raft.State() == raft.Leader && s.hasTakenOver() }

// lead watches over leadership: a leader takes the leases over, each with a full term, and
// expires what has run out.
func (s *Server) runLeadership() {
	for {
		var again <-chan time.Time // a leader that has not taken over yet
		if s.raft.State() == raft.Leader && !s.hasTakenOver() {
			again = time.After(takeOverRetryInterval)
		}
		select {
		case <-s.ctx.Done():
			return
		case leads := <-s.raft.LeaderCh():
			s.mu.Lock()
			s.leases = nil
			s.mu.Unlock()
			if !leads {
				s.logger.Info("leads no more", "replica", s.id)
				continue
			}
			s.takeOver()
		case <-again:
			s.takeOver()
		case <-s.leasesChanged:
		case <-time.After(s.untilExpiryCheck()):
		}
		s.expireLeases()
	}
}

// ready tells whether this replica has taken over the leadership that it is in: it has applied
// all that was committed before, and its leases are no earlier leadership's. Whether it still
// leads only its quorum can say.
func (s *Server) hasTakenOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases != nil && s.leadershipTerm == s.raft.CurrentTerm()
}

// takeOver begins a leader's work once all that its predecessors committed is applied here.
func (s *Server) takeOver() {
	term := s.raft.CurrentTerm()
	err := s.raft.Barrier(applyTimeout).Error()
	if err == nil {
		err = s.loadRestored()
	}
	if err != nil {
		s.logger.Warn("taking over", "err", err)
		return
	}
	held := 0
	s.fsm.withState(func(st *State) { // no change may come between the look and the leases
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leases, s.leadershipTerm = NewLeases(s.now(), st.Leases(), defaultSelfPreservation), term
		held = len(s.leases.entries)
	})
	s.logger.Info("leads", "replica", s.id, "term", term, "generation", s.fsm.generation(), "leases", held)
}

// untilDue is how long the leases need no look.
func (s *Server) untilExpiryCheck() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return time.Hour
	}
	now := s.now()
	at, ok := s.leases.NextDue(now)
	if !ok {
		return time.Hour
	}
	return max(at, s.lastExpiryCheck+expiryCheckInterval) - now
}

// expireDue brings what has run out through the log.
func (s *Server) expireLeases() {
	s.mu.Lock()
	l, term := s.leases, s.leadershipTerm
	if l == nil {
		s.mu.Unlock()
		return
	}
	now := s.now()
	if now < s.lastExpiryCheck+expiryCheckInterval { // what runs out meanwhile goes together: a change wakes every watch
		s.mu.Unlock()
		return
	}
	s.lastExpiryCheck = now
	_, was := l.Suspended()
	due := l.Due(now)
	_, is := l.Suspended()
	s.mu.Unlock()
	if is != was {
		s.logger.Warn("expiry of leases", "paused", is, "why", "more leases run out at once than instances die at once")
	}
	if len(due) == 0 {
		return
	}
	o, err := s.commit(Command{Kind: Expire, Expired: due, Term: term})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || o.Code != Done {
		if s.leases == l {
			l.ExpiryFailed(due)
		}
		return
	}
	s.expiredCount.Add(float64(len(due)))
	s.logger.Info("expired", "instances", len(due), "first", due[0].ID, "generation", o.Generation)
}

// taken keeps the leader's leases in step with the list. Called under the machine's mutex.
func (s *Server) trackLeases(c Command, _ Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return
	}
	switch c.Kind {
	case Register:
		if c.Lease > 0 {
			s.leases.Grant(s.now(), Lease{InstanceRef{c.Entry.InstanceID, c.Incarnation}, c.Lease})
		} else {
			s.leases.Drop(c.Entry.InstanceID)
		}
	case Remove:
		s.leases.Drop(c.ID)
	case Expire:
		for _, o := range c.Expired {
			s.leases.Drop(o.ID)
		}
	}
	select {
	case s.leasesChanged <- struct{}{}:
	default:
	}
}

func (s *Server) expirySuspended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		return false
	}
	_, paused := s.leases.Suspended()
	return paused
}
