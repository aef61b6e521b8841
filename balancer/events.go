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
	Draining                      // finishes its requests in progress and accepts no new ones
	Removed                       // no longer exists
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	State       EndpointState
	Weight      float64 // relative capacity; 0: unknown
	MachineType string
	Zone        string
	Cell        int
	StartedAt   time.Duration // reading of the host's clock at the endpoint's last start; 0: long ago
}

// UpdateKind says how an update of the endpoint list relates to the previous list.
type UpdateKind int

// Kinds of updates.
const (
	UpdateDelta    UpdateKind = iota // the changed entries only
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list that this node last received, possibly outdated
	UpdateFailed                     // discovery could not be reached; the list does not change
)

// Request is one request of a client. Its ID is unique: a retry by the client has another one.
type Request struct {
	ID             string
	Class          string // name of a [Class]
	Plan           string // name of a [Plan]
	Tenant         uint64
	Timeout        time.Duration // time after which the client gives up
	Units          float64       // units of the tenant's quota that the request uses
	EntryNodes     int           // number of nodes through which the tenant's requests arrive
	FirstEntryNode int           // index of the first entry node; the others follow, modulo the node count
}

// Result says how an attempt ended.
type Result int

// Results of attempts.
const (
	OK            Result = iota
	ErrorResponse        // an error response; the request may have run
	Overloaded           // the endpoint rejected the request, which did not run
	TimedOut             // no response in time; the request may have run
	ConnectFailed        // no connection: the request did not run
	Reset                // the connection broke; the request may have run
	Cancelled            // cancelled by this node; the request may have run
	NotSent              // the request was not sent, and so did not run
)

// String returns the result as lower-case words for logs.
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

// NeverRan reports whether the result proves that the request did not run at the endpoint.
func (r Result) NeverRan() bool { return r == Overloaded || r == ConnectFailed || r == NotSent }

// LoadReport is the load that an endpoint reports. A negative field was not reported.
type LoadReport struct {
	InFlight    float64 // requests at the endpoint, running or queued
	Queued      float64 // queued requests
	Utilization float64 // busy fraction of the endpoint's CPU, from 0 to 1
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          string // request ID
	Attempt     int    // number of the attempt, from 0, in the order of [Actions.SendAttempt]
	Answered    bool   // the client has its final response, from this attempt or an earlier one
	Result      Result
	EndpointID  string
	Elapsed     time.Duration // time since the start of the attempt
	Units       float64       // units actually used, with [Settings.PostPaid] and the first OK; else 0
	LoadReport  *LoadReport   // nil: the endpoint reported none
	ConnectedAt time.Duration // clock reading when the response's connection was made; 0: unknown
}
