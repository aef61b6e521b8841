package balancer

import (
	"fmt"
	"time"
)

// EndpointState is a server's state in the list.
type EndpointState int

const (
	Up       EndpointState = iota // takes work
	Draining                      // finishes what it has
	Removed                       // gone
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID          string
	State       EndpointState
	Weight      float64 // relative size; 0: not told
	MachineType string
	Zone        string
	Cell        int
	StartedAt   time.Duration // clock reading of its last start; 0: long ago
}

// UpdateKind says how a list relates to the one before.
type UpdateKind int

const (
	UpdateDelta    UpdateKind = iota // changed entries only
	UpdateSnapshot                   // the complete list
	UpdateCached                     // the complete list as last held, possibly old
	UpdateFailed                     // asking failed; the list before stays in force
)

// Request is one try of a client. Its id is never used again.
type Request struct {
	ID             string
	Class          string
	Plan           string
	Tenant         uint64
	Timeout        time.Duration // the client leaves after this
	Units          float64       // that it draws from the quota
	EntryNodes     int           // number of gateways the customer comes in through
	FirstEntryNode int           // number of the first of these; the others follow, counted round
}

// Result is how an attempt ended.
type Result int

const (
	OK            Result = iota
	ErrorResponse        // an error from the server; it may have run
	Overloaded           // rejected unseen: never ran
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection: never ran
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the gateway; it may have run
	NotSent              // not sent at all: never ran
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

// LoadReport is a server's load report. A value below 0 was not reported.
type LoadReport struct {
	InFlight    float64 // requests in hand
	Queued      float64 // requests waiting
	Utilization float64 // busy share of the CPU, 0 to 1
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          string
	Attempt     int  // number of the attempt, counted from 0 in the order of Send
	Answered    bool // the request has its final answer, by this outcome or before
	Result      Result
	EndpointID  string
	Elapsed     time.Duration // since the attempt was sent
	Units       float64       // with PostPaid: the true units, on the first OK; else 0
	LoadReport  *LoadReport   // nil: no report came
	ConnectedAt time.Duration // when the connection that brought an answer was made; 0: not told
}
