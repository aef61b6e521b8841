package registry

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/raft"
)

// Replica is a member of the service.
type Replica struct {
	ID     string `json:"id"`   // "NAME@HTTP-ADDRESS"
	Raft   string `json:"raft"` // "RAFT-ADDRESS#NAME"
	Leader bool   `json:"leader"`
}

// Status is a replica's report about itself and the service.
type Status struct {
	Replica                   string    `json:"replica"`
	State                     string    `json:"state"`  // leader, follower or candidate; "" during shutdown
	Leader                    string    `json:"leader"` // HTTP address; "": unknown
	Epoch                     uint64    `json:"epoch"`
	Generation                uint64    `json:"generation"`
	Entries                   int       `json:"entries"`
	Leases                    int       `json:"leases"`
	Watches                   int64     `json:"watches"`
	ExpirySuspended           bool      `json:"expiryPaused"`
	AppliedIndex              uint64    `json:"appliedIndex"`       // last applied entry of the Raft log
	SecondsSinceLeaderContact float64   `json:"secondsSinceLeader"` // 0 except on followers
	Replicas                  []Replica `json:"replicas"`
}

// stateNames maps Raft states to values of [Status].State.
var stateNames = map[raft.RaftState]string{
	raft.Leader:    "leader",
	raft.Follower:  "follower",
	raft.Candidate: "candidate",
}

// status returns the current report of the replica.
func (s *Server) status() Status {
	raftState := s.raft.State()
	status := Status{
		Replica:         s.id,
		State:           stateNames[raftState],
		Leader:          s.leaderAddress(),
		Watches:         s.openWatches.Load(),
		ExpirySuspended: s.leadership.expirySuspended(),
		AppliedIndex:    s.raft.AppliedIndex(),
	}
	if raftState == raft.Follower {
		status.SecondsSinceLeaderContact = time.Since(s.raft.LastContact()).Seconds()
	}
	s.fsm.withState(func(st *State) {
		status.Epoch, status.Generation = st.Epoch(), st.Generation()
		status.Entries, status.Leases = st.Len(), st.LeaseCount()
	})
	members := s.members()
	_, leader := s.raft.LeaderWithID()
	for _, member := range members {
		status.Replicas = append(status.Replicas, Replica{ID: string(member.ID), Raft: string(member.Address), Leader: member.ID == leader})
	}
	return status
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.status())
}

// handleBackup responds with the state of the leader.
func (s *Server) handleBackup(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) || !s.confirmLeadership(w) {
		return
	}
	var text []byte
	var err error
	s.fsm.withState(func(st *State) { text, err = json.Marshal(st) })
	if err != nil {
		writeError(w, http.StatusInternalServerError, Failed, "backup: %v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // fails only if the client has disconnected; a truncated backup cannot be decoded
}

func (s *Server) handleAddReplica(w http.ResponseWriter, r *http.Request) {
	var replica Replica
	if !decodeBody(w, r, &replica) || !s.requireLeader(w, r) {
		return
	}
	if replica.ID == "" || replica.Raft == "" {
		writeError(w, http.StatusBadRequest, Invalid, "id, raft: both are required")
		return
	}
	if other, used := s.addressOwner(replica); used {
		addr, _ := splitRaftAddress(raft.ServerAddress(replica.Raft))
		writeError(w, http.StatusConflict, AddressConflict, "%s is the address of %s; if that replica no longer exists: opalhook registry dismiss %s", addr, other, other)
		return
	}
	if err := s.raft.AddVoter(raft.ServerID(replica.ID), raft.ServerAddress(replica.Raft), 0, operationTimeout).Error(); err != nil {
		writeUnavailable(w, "adding %s: %v", replica.ID, err)
		return
	}
	s.logger.Info("replica added", "replica", replica.ID)
	encodeTo(w, replica)
}

// addressOwner returns the ID of another replica that has the same Raft address. used is false if there is
// none.
func (s *Server) addressOwner(replica Replica) (id raft.ServerID, used bool) {
	addr, _ := splitRaftAddress(raft.ServerAddress(replica.Raft))
	for _, member := range s.members() {
		memberAddr, _ := splitRaftAddress(member.Address)
		if memberAddr == addr && string(member.ID) != replica.ID {
			return member.ID, true
		}
	}
	return "", false
}

func (s *Server) handleRemoveReplica(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) {
		return
	}
	id := r.PathValue("id")
	if !slices.ContainsFunc(s.members(), func(member raft.Server) bool { return string(member.ID) == id }) {
		writeError(w, http.StatusNotFound, NotFound, "%s is not a replica; `opalhook registry status` lists the replicas", truncate(id))
		return
	}
	if err := s.raft.RemoveServer(raft.ServerID(id), 0, operationTimeout).Error(); err != nil {
		writeUnavailable(w, "removing %s: %v", id, err)
		return
	}
	s.logger.Info("replica removed", "replica", id)
	encodeTo(w, Outcome{Code: Done, Generation: s.fsm.generation()})
}
