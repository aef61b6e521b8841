package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// quietLogger silences the consensus library: what an operator needs is told by this package.
func discardLogger() hclog.Logger { return hclog.NewNullLogger() }

// Registration is the body of a register.
type Registration struct {
	Entry
	Incarnation uint64 `json:"incarnation"`
	LeaseMs     int64  `json:"leaseMs"`
}

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
	m.Handle("GET /metrics", s.metricsHandler())
	return m
}

// problem answers with an error that says what to do next.
func writeError(w http.ResponseWriter, status int, code Code, format string, args ...any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(Outcome{Code: code, Message: fmt.Sprintf(format, args...)})
}

// later turns a client away for a drawn while, so that those turned away together don't come
// back together. What it asked for was not done.
func writeUnavailable(w http.ResponseWriter, format string, args ...any) {
	writeRetryable(w, Unavailable, format, args...)
}

func writeRetryable(w http.ResponseWriter, code Code, format string, args ...any) {
	w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(3)))
	writeError(w, http.StatusServiceUnavailable, code, format, args...)
}

// statuses are the HTTP statuses of outcomes.
var statusByCode = map[Code]int{Done: http.StatusOK, Unchanged: http.StatusOK, StaleIncarnation: http.StatusConflict, NotFound: http.StatusNotFound,

	AddressConflict: http.StatusConflict, RegistrationConflict: http.StatusConflict, Invalid: http.StatusBadRequest, ListFull: http.StatusInsufficientStorage}

// toLeader tells whether this replica leads; if not, it names the leader or says that there is
// none.
func (s *Server) requireLeader(w http.ResponseWriter, r *http.Request) bool {
	if s.raft.State() == raft.Leader {
		return true
	}
	leader := s.leaderAddress()
	if leader == "" || leader == s.Addr() {
		writeUnavailable(w, "no leader is known; ask again, or another replica")
		return false
	}
	w.Header().Set("Location", "http://"+leader+r.URL.RequestURI())
	writeError(w, http.StatusTemporaryRedirect, "elsewhere", "%s leads", leader)
	return false
}

// write commits a command and answers with its outcome.
func (s *Server) commitAndRespond(w http.ResponseWriter, c Command) {
	o, err := s.commit(c)
	if err != nil {
		s.writeCount.WithLabelValues(c.Kind, "failed").Inc()
		writeRetryable(w, OutcomeUnknown, "%v; the write may have been done, and may be sent again", err)
		return
	}
	s.writeCount.WithLabelValues(c.Kind, string(o.Code)).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusByCode[o.Code])
	json.NewEncoder(w).Encode(o)
}

// decode reads a small JSON body strictly.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestHeaderTimeout))
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.Decode(&struct{}{}) != io.EOF {
		err = errors.New("more than one JSON value")
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusRequestEntityTooLarge, Invalid, "body: over %d bytes", maxRequestBody)
	case err != nil:
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusBadRequest, Invalid, "body: %v", err)
	}
	return err == nil
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var reg Registration
	if !decodeBody(w, r, &reg) {
		return
	}
	if reg.LeaseMs < 0 || reg.LeaseMs > MaxLease.Milliseconds() {
		writeError(w, http.StatusBadRequest, Invalid, "leaseMs: %d is not from 0 to %d", reg.LeaseMs, MaxLease.Milliseconds())
		return
	}
	if reg.Lifecycle == "" {
		reg.Lifecycle = Up
	}
	c := Command{Kind: Register, Entry: reg.Entry, Incarnation: reg.Incarnation, Lease: time.Duration(reg.LeaseMs) * time.Millisecond}
	if err := CheckRegister(c); err != nil {
		writeError(w, http.StatusBadRequest, Invalid, "%v", err)
		return
	}
	if s.requireLeader(w, r) {
		s.commitAndRespond(w, c)
	}
}

// owner reads whose entry a write is about.
func parseInstanceRef(w http.ResponseWriter, r *http.Request, must bool) (o InstanceRef, ok bool) {
	o.ID = r.PathValue("id")
	text := r.URL.Query().Get("incarnation")
	if text == "" && !must {
		return o, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || n == 0 || len(o.ID) > maxIDLength {
		writeError(w, http.StatusBadRequest, Invalid, "incarnation: %q is no number from 1, or the instance's name is too long", truncate(text))
		return o, false
	}
	o.Incarnation = n
	return o, true
}

func (s *Server) handleChange(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := parseInstanceRef(w, r, false)
		if ok && s.requireLeader(w, r) {
			s.commitAndRespond(w, Command{Kind: kind, ID: o.ID, Incarnation: o.Incarnation})
		}
	}
}

// renew books a lease with the leader. It is no change of the list and goes through no log: a
// leader that is one no more must not take it, so that its quorum is asked first.
func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	o, ok := parseInstanceRef(w, r, true)
	if !ok || !s.requireLeader(w, r) {
		return
	}
	at := s.now() // the lease runs from before the quorum was asked
	if !s.confirmLeadership(w) {
		return
	}
	var term time.Duration
	var code Code
	s.fsm.withState(func(st *State) { term, code = st.LeaseTerm(o) })
	s.mu.Lock()
	taken := s.leases != nil && (term == 0 || s.leases.Renew(at, o))
	s.mu.Unlock()
	switch {
	case code != Done:
		writeError(w, statusByCode[code], code, "%s: incarnation %d is not registered; register it", o.ID, o.Incarnation)
	case !taken:
		writeUnavailable(w, "the lease is being taken over or has run out; renew again, or register")
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(Outcome{Code: Done, Generation: s.fsm.generation()})
	}
	s.writeCount.WithLabelValues("renew", string(code)).Inc()
}

// confirmed asks the quorum whether this replica leads, after it was asked for something; if it
// does not, or has not applied yet what its predecessors committed, the client is told.
func (s *Server) confirmLeadership(w http.ResponseWriter) bool {
	if s.raft.VerifyLeader().Error() == nil && s.hasTakenOver() {
		return true
	}
	writeUnavailable(w, "the leader has changed; ask again")
	return false
}

// Standing is an instance as it stands at a generation.
type InstanceStatus struct {
	Registration
	Generation uint64 `json:"generation"`
}

// show answers with one instance as all writes have left it that were acknowledged before.
func (s *Server) handleShow(w http.ResponseWriter, r *http.Request) {
	if !s.requireLeader(w, r) || !s.confirmLeadership(w) {
		return
	}
	var st InstanceStatus
	known := false
	s.fsm.withState(func(m *State) {
		st.Registration, known = m.Find(r.PathValue("id"))
		st.Generation = m.Generation()
	})
	if !known {
		writeError(w, http.StatusNotFound, NotFound, "%s is not registered", truncate(r.PathValue("id")))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(st)
}
