package balancer

import (
	"fmt"
	"time"
)

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// States of an endpoint.
const (
	Up       EndpointState = iota // accepts requests
	Draining                      // finishes the requests that it has
	Removed                       // is no longer there
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	State       EndpointState
	Weight      float64 // relative capacity; 0: unknown
	MachineType string
	Zone        string
	Cell        int
	StartedAt   time.Duration // reading of the host's clock at its last start; 0: long ago
}

// UpdateKind says how an update of the endpoint list relates to the list before.
type UpdateKind int

// Kinds of updates.
const (
	UpdateDelta    UpdateKind = iota // the changed entries only
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list as this node last had it, possibly old
	UpdateFailed                     // discovery could not be reached; the list stays as it is
)

// Request is one request of a client. Its ID is never used again, not even for a retry by the client.
type Request struct {
	ID             string
	Class          string // name of a [Class]
	Plan           string // name of a [Plan]
	Tenant         uint64
	Timeout        time.Duration // after which the client gives up
	Units          float64       // drawn from the tenant's quota
	EntryNodes     int           // number of nodes through which the tenant's requests enter
	FirstEntryNode int           // the first of them; the others follow by index, modulo the node count
}

// Result says how an attempt ended.
type Result int

// Results of attempts.
const (
	OK            Result = iota
	ErrorResponse        // an error response; the request may have run
	Overloaded           // rejected by the endpoint: the request did not run
	TimedOut             // no response in time; the request may have run
	ConnectFailed        // no connection: the request did not run
	Reset                // the connection broke; the request may have run
	Cancelled            // cancelled by this node; the request may have run
	NotSent              // the request was not sent, and so did not run
)

// String returns the result in words, for logs.
func (r Result) String() string {
	switch r {
	case OK:
		return "ok"
	case ErrorResponse:
		return "error response"
	case Overloaded:
		return "overloaded"
	case TimedOut:
		return "timed out"
	case ConnectFailed:
		return "connect failed"
	case Reset:
		return "reset"
	case Cancelled:
		return "cancelled"
	case NotSent:
		return "not sent"
	}
	return fmt.Sprintf("result %d", int(r))
}

// neverRan reports whether the result proves that the request did not run at the endpoint.
func (r Result) neverRan() bool { return r == Overloaded || r == ConnectFailed || r == NotSent }

// LoadReport is what an endpoint reports of its load. A field below 0 was not reported.
type LoadReport struct {
	InFlight    float64 // requests that it is working on or has queued
	Queued      float64 // requests that wait
	Utilization float64 // busy fraction of its CPU, from 0 to 1
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          string // of the request
	Attempt     int    // its number, from 0, in the order of [Actions.SendAttempt]
	Answered    bool   // the client has its final response, by this attempt or an earlier one
	Result      Result
	EndpointID  string
	Elapsed     time.Duration // since the attempt was started
	Units       float64       // with [Settings.PostPaid] and the first OK: the units really used; else 0
	LoadReport  *LoadReport   // nil: the endpoint reported none
	ConnectedAt time.Duration // clock reading when the response's connection was made; 0: unknown
}
