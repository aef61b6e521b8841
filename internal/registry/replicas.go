package registry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// The replicas of the service: which there are, how they stand, and a backup of what they hold.

// Replica is a member of the service.
type Replica struct {
	ID     string `json:"id"` // its name, "@" and its HTTP address
	Raft   string `json:"raft"`
	Leader bool   `json:"leader"`
}

// Status is what a replica says of itself and of the service.
type Status struct {
	Replica                   string    `json:"replica"`
	State                     string    `json:"state"` // leader, follower, candidate
	Leader                    string    `json:"leader"`
	Epoch                     uint64    `json:"epoch"`
	Generation                uint64    `json:"generation"`
	Entries                   int       `json:"entries"`
	Leases                    int       `json:"leases"`
	Watches                   int64     `json:"watches"`
	ExpirySuspended           bool      `json:"expiryPaused"`
	AppliedIndex              uint64    `json:"appliedIndex"`
	SecondsSinceLeaderContact float64   `json:"secondsSinceLeader"` // since the leader was heard, by a follower
	Replicas                  []Replica `json:"replicas"`
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	st := Status{Replica: s.id, State: map[raft.RaftState]string{raft.Leader: "leader", raft.Follower: "follower", raft.Candidate: "candidate"}[s.raft.State()],
		Leader: s.leaderAddress(), Watches: s.openWatches.Load(), ExpirySuspended: s.expirySuspended(), AppliedIndex: s.raft.AppliedIndex()}
	if st.State == "follower" {
		st.SecondsSinceLeaderContact = time.Since(s.raft.LastContact()).Seconds()
	}
	s.fsm.withState(func(m *State) {
		st.Epoch, st.Generation, st.Entries, st.Leases = m.Epoch(), m.Generation(), m.Len(), m.LeaseCount()
	})
	f := s.raft.GetConfiguration()
	if f.Error() == nil {
		_, lead := s.raft.LeaderWithID()
		for _, r := range f.Configuration().Servers {
			st.Replicas = append(st.Replicas, Replica{ID: string(r.ID), Raft: string(r.Address), Leader: r.ID == lead})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(st)
}

// backup answers with the state, as the leader has it.
func (s *Server) handleBackup(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) {
		return
	}
	if !s.confirmLeadership(w) {
		return
	}
	var text []byte
	var err error
	s.fsm.withState(func(m *State) { text, err = json.Marshal(m) })
	if err != nil {
		writeError(w, http.StatusInternalServerError, "failed", "backup: %v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

func (s *Server) handleAddReplica(w http.ResponseWriter, r *http.Request) {
	var rep Replica
	if !decodeBody(w, r, &rep) || !s.requireLeader(w, r) {
		return
	}
	if rep.ID == "" || rep.Raft == "" {
		writeError(w, http.StatusBadRequest, Invalid, "id, raft: both are wanted")
		return
	}
	at, _, _ := strings.Cut(rep.Raft, addressNameSeparator)
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, x := range f.Configuration().Servers {
			if other, _, _ := strings.Cut(string(x.Address), addressNameSeparator); other == at && string(x.ID) != rep.ID {
				writeError(w, http.StatusConflict, AddressConflict, "%s is the address of %s; if that is gone: opalhook registry dismiss %s", at, x.ID, x.ID)
				return
			}
		}
	}
	if err := s.raft.AddVoter(raft.ServerID(rep.ID), raft.ServerAddress(rep.Raft), 0, applyTimeout).Error(); err != nil {
		writeUnavailable(w, "adding %s: %v", rep.ID, err)
		return
	}
	s.logger.Info("replica added", "replica", rep.ID)
	json.NewEncoder(w).Encode(rep)
}

func (s *Server) handleRemoveReplica(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) {
		return
	}
	id := r.PathValue("id")
	known := false
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, x := range f.Configuration().Servers {
			known = known || string(x.ID) == id
		}
	}
	if !known {
		writeError(w, http.StatusNotFound, NotFound, "%s is no replica; `opalhook registry status` lists them", truncate(id))
		return
	}
	if err := s.raft.RemoveServer(raft.ServerID(id), 0, applyTimeout).Error(); err != nil {
		writeUnavailable(w, "removing %s: %v", id, err)
		return
	}
	s.logger.Info("replica removed", "replica", id)
	json.NewEncoder(w).Encode(Outcome{Code: Done, Generation: s.fsm.generation()})
}
