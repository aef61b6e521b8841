package registry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
)

// routes returns the handler of the HTTP API.
func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /registry/instances", s.handleList)
	m.HandleFunc("POST /registry/instances", s.handleRegister)
	m.HandleFunc("GET /registry/instances/{id}", s.handleShow)
	m.HandleFunc("POST /registry/instances/{id}/renew", s.handleRenew)
	m.HandleFunc("POST /registry/instances/{id}/drain", s.handleChange(Drain))
	m.HandleFunc("DELETE /registry/instances/{id}", s.handleChange(Remove))
	m.HandleFunc("GET /registry/status", s.handleStatus)
	m.HandleFunc("GET /registry/backup", s.handleBackup)
	m.HandleFunc("POST /registry/replicas", s.handleAddReplica)
	m.HandleFunc("DELETE /registry/replicas/{id}", s.handleRemoveReplica)
	m.Handle("GET /metrics", s.metrics.handler())
	return m
}

// requireLeader reports whether this replica is the leader. If it is not, it redirects the client to the
// leader, or responds with 503 if no leader is known.
func (s *Server) requireLeader(w http.ResponseWriter, r *http.Request) bool {
	if s.raft.State() == raft.Leader {
		return true
	}
	leader := s.leaderAddress()
	if leader == "" || leader == s.Addr() {
		writeUnavailable(w, "no leader is known; retry, or try another replica")
		return false
	}
	w.Header().Set("Location", "http://"+leader+r.URL.RequestURI())
	writeError(w, http.StatusTemporaryRedirect, NotLeader, "%s is the leader", leader)
	return false
}

// confirmLeadership confirms with a quorum that this replica is still the leader, and that it has applied
// everything that earlier leaders committed. If this fails, it responds with 503 and returns false.
func (s *Server) confirmLeadership(w http.ResponseWriter) bool {
	if s.raft.VerifyLeader().Error() == nil && s.hasTakenOver() {
		return true
	}
	writeUnavailable(w, "the leader has changed; retry")
	return false
}

// commitAndRespond commits a command and responds with its outcome. If the commit fails, the outcome is
// unknown.
func (s *Server) commitAndRespond(w http.ResponseWriter, c Command) {
	o, err := s.commit(c)
	if err != nil {
		s.metrics.writes.WithLabelValues(c.Kind, failedOutcome).Inc()
		writeRetryable(w, OutcomeUnknown, "%v; the write may have been executed, and may be sent again", err)
		return
	}
	s.metrics.writes.WithLabelValues(c.Kind, string(o.Code)).Inc()
	writeJSON(w, statusByCode[o.Code], o)
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if !decodeBody(w, r, &registration) {
		return
	}
	// Checked before the conversion to a time.Duration, which could overflow.
	if registration.LeaseMs < 0 || registration.LeaseMs > MaxLease.Milliseconds() {
		writeError(w, http.StatusBadRequest, Invalid, "leaseMs: got %d, must be from 0 to %d", registration.LeaseMs, MaxLease.Milliseconds())
		return
	}
	if registration.Lifecycle == "" {
		registration.Lifecycle = Up
	}
	c := registration.command()
	if err := ValidateRegistration(c); err != nil {
		writeError(w, http.StatusBadRequest, Invalid, "%v", err)
		return
	}
	if s.requireLeader(w, r) {
		s.commitAndRespond(w, c)
	}
}

// handleChange returns the handler of Drain or Remove requests.
func (s *Server) handleChange(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ref, ok := parseInstanceRef(w, r, incarnationOptional)
		if ok && s.requireLeader(w, r) {
			s.commitAndRespond(w, Command{Kind: kind, ID: ref.ID, Incarnation: ref.Incarnation})
		}
	}
}

// handleRenew extends a lease. A renewal does not change the list and is not written to the log, so the
// handler confirms the leadership with a quorum: a leader that has been replaced must not accept renewals.
func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	ref, ok := parseInstanceRef(w, r, incarnationRequired)
	if !ok || !s.requireLeader(w, r) {
		return
	}
	at := s.now() // before the quorum check, so that its duration does not extend the lease
	if !s.confirmLeadership(w) {
		return
	}
	code := s.renew(w, at, ref)
	s.metrics.writes.WithLabelValues(renewKind, string(code)).Inc()
}

// renew extends a lease from the given time to its full term and responds with the outcome. The returned code
// says whether the incarnation is registered.
func (s *Server) renew(w http.ResponseWriter, at time.Duration, ref InstanceRef) Code {
	var term time.Duration
	var code Code
	s.fsm.withState(func(st *State) { term, code = st.LeaseTerm(ref) })
	renewed := s.leadership.renew(at, ref, term)
	switch {
	case code != Done:
		writeError(w, statusByCode[code], code, "%s: incarnation %d is not registered; register it", ref.ID, ref.Incarnation)
	case !renewed:
		writeUnavailable(w, "the leader is taking over the lease, or the lease has expired; renew again, or register")
	default:
		writeJSON(w, http.StatusOK, Outcome{Code: Done, Generation: s.fsm.generation()})
	}
	return code
}

// handleShow responds with the state of one instance. The state includes all writes that were acknowledged
// before the request.
func (s *Server) handleShow(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) || !s.confirmLeadership(w) {
		return
	}
	id := r.PathValue("id")
	var status InstanceStatus
	registered := false
	s.fsm.withState(func(st *State) {
		status.Registration, registered = st.Find(id)
		status.Generation = st.Generation()
	})
	if !registered {
		writeError(w, http.StatusNotFound, NotFound, "%s is not registered", truncate(id))
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// InstanceStatus is the state of an instance at a generation of the list.
type InstanceStatus struct {
	Registration
	Generation uint64 `json:"generation"`
}

// incarnationRule says whether a request must specify an incarnation.
type incarnationRule int

const (
	incarnationOptional incarnationRule = iota
	incarnationRequired
)

// parseInstanceRef parses the instance and the incarnation of a request. Incarnation 0 means any. If ok is
// false, parseInstanceRef has responded with an error.
func parseInstanceRef(w http.ResponseWriter, r *http.Request, rule incarnationRule) (ref InstanceRef, ok bool) {
	ref.ID = r.PathValue("id")
	text := r.URL.Query().Get("incarnation")
	if text == "" && rule == incarnationOptional {
		return ref, true
	}
	incarnation, err := strconv.ParseUint(text, 10, 63)
	if err != nil || incarnation == 0 || len(ref.ID) > maxIDLength {
		writeError(w, http.StatusBadRequest, Invalid, "incarnation: %q is no number from 1, or the instance's name is too long", truncate(text))
		return ref, false
	}
	ref.Incarnation = incarnation
	return ref, true
}
