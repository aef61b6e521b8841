package simwire

import (
	"time"

	"opalhook/balancer"
)

// Event is a parsed message of the simulator: a [Clock], a [Commit] or a [NodeEvent].
type Event interface{ isEvent() }

// NodeEvent is an event that concerns one of the nodes that the process hosts.
type NodeEvent interface {
	Event
	// NodeNumber returns the simulator's number of the node.
	NodeNumber() int
}

// nodeEvent implements [NodeEvent] for the events that embed it.
type nodeEvent struct{ Node int }

func (nodeEvent) isEvent() {}

// NodeNumber returns the simulator's number of the node.
func (n nodeEvent) NodeNumber() int { return n.Node }

// Clock begins a batch of events. Now is the time of all of them, since the simulation's start.
type Clock struct{ Now time.Duration }

// Commit ends a batch. The simulator then waits for the reply to it.
type Commit struct{}

func (Clock) isEvent()  {}
func (Commit) isEvent() {}

// StartNode starts a node. It replaces an earlier node with the same number.
type StartNode struct {
	nodeEvent
	Seed     uint64 // seed of the node's random decisions
	Settings balancer.Settings
}

// StopNode stops a node immediately, without a drain.
type StopNode struct{ nodeEvent }

// EndpointList is an update of the endpoint list, with the entries of the table that the message refers to.
type EndpointList struct {
	nodeEvent
	Kind      balancer.UpdateKind
	Endpoints []balancer.Endpoint // shared by all updates from the table; nil for balancer.UpdateFailed
}

// RequestArrived is the arrival of a client's request.
type RequestArrived struct {
	nodeEvent
	Request balancer.Request
}

// ResponseStarted is the arrival of the headers of a streamed response to an attempt.
type ResponseStarted struct {
	nodeEvent
	ID      string // request ID
	Attempt int    // number of the attempt, from 0
}

// AttemptFinished is the end of an attempt.
type AttemptFinished struct {
	nodeEvent
	Outcome balancer.Outcome
}

// ClientGone means that a client no longer waits for the response to its request.
type ClientGone struct {
	nodeEvent
	ID string // request ID
}

// TimerFired is the expiry of a timer that the node has set.
type TimerFired struct {
	nodeEvent
	Token uint64
}

// HealthChecked is the end of a health check.
type HealthChecked struct {
	nodeEvent
	EndpointID string
	Result     balancer.Result
	Elapsed    time.Duration
	LoadReport *balancer.LoadReport // nil if there was none
}

// PeerMessage is a message from another node.
type PeerMessage struct {
	nodeEvent
	From    int // the sender's number in the fleet
	Payload []byte
}

// CounterRead is a reading of the platform's shared counter, which the balancer does not use.
type CounterRead struct{ nodeEvent }
