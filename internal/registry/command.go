package registry

import (
	"time"

	"opalhook/internal/discovery"
)

// Lifecycles of an entry.
const (
	Up       = discovery.Up
	Draining = discovery.Draining
	Removed  = discovery.Removed
)

// Entry is an app server as the discovery protocol represents it.
type Entry = discovery.Entry

// Kinds of commands.
const (
	Register = "register"
	Drain    = "drain"
	Remove   = "remove"
	Expire   = "expire"
	Load     = "load" // loads a restored backup into a list that has never been changed
)

// Command is a request to change the list, as the replicated log stores it.
type Command struct {
	Kind        string        `json:"kind"`
	Entry       Entry         `json:"entry,omitzero"`        // Register
	ID          string        `json:"id,omitempty"`          // Drain and Remove: the instance
	Incarnation uint64        `json:"incarnation,omitempty"` // 0 with Drain and Remove: any incarnation
	Lease       time.Duration `json:"lease,omitempty"`       // Register; 0: the entry does not expire
	Expired     []InstanceRef `json:"expired,omitempty"`     // Expire
	Term        uint64        `json:"term,omitempty"`        // Expire: Raft term in which the leases expired
	Snapshot    *State        `json:"image,omitempty"`       // Load
}

// InstanceRef identifies one incarnation of an instance.
type InstanceRef struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Registration is the body of a request that registers an instance.
type Registration struct {
	Entry
	Incarnation uint64 `json:"incarnation"`
	LeaseMs     int64  `json:"leaseMs"` // milliseconds; 0: the entry does not expire
}

// command returns the Register command for the registration.
func (r Registration) command() Command {
	lease := time.Duration(r.LeaseMs) * time.Millisecond
	return Command{Kind: Register, Entry: r.Entry, Incarnation: r.Incarnation, Lease: lease}
}

// Code is the result of a command or request. The strings are part of the HTTP API.
type Code string

// Codes of outcomes.
const (
	Done                 Code = "done"      // executed; a command with this code has changed the list
	Unchanged            Code = "same"      // the list already was in the requested state
	StaleIncarnation     Code = "stale"     // incarnation removed or superseded; Expire: of an earlier term
	NotFound             Code = "missing"   // no such instance
	AddressConflict      Code = "taken"     // the address belongs to another instance
	RegistrationConflict Code = "conflict"  // incarnation has other properties; Load: list has been changed
	Invalid              Code = "invalid"   // the request or command is malformed
	ListFull             Code = "too-many"  // the list has MaxEntries entries
	Unavailable          Code = "later"     // not executed; the service is temporarily unavailable
	OutcomeUnknown       Code = "unknown"   // the command may have been executed, or may still be
	NotLeader            Code = "elsewhere" // another replica is the leader
	Failed               Code = "failed"    // an internal error
)

// Outcome is the result of a command or request.
type Outcome struct {
	Code       Code   `json:"code"`
	Generation uint64 `json:"generation"` // list generation after the request; 0 in some errors
	Message    string `json:"message,omitempty"`
}
