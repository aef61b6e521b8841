package simwire

import (
	"time"

	"opalhook/balancer"
)

// Event is one message of the simulator: [Clock], [Commit] or a [NodeEvent].
type Event interface{ isEvent() }

// NodeEvent is an event that concerns one of the nodes that the process hosts.
type NodeEvent interface {
	Event
	// NodeNumber is the simulator's number of the node.
	NodeNumber() int
}

// forNode makes an event a NodeEvent.
type forNode struct{ Node int }

func (forNode) isEvent() {}

// NodeNumber is the simulator's number of the node.
func (n forNode) NodeNumber() int { return n.Node }

// Clock begins a batch of events, all of which happen at one time.
type Clock struct{ Now time.Duration } // since the simulation's start

// Commit ends a batch and asks for the reply.
type Commit struct{}

func (Clock) isEvent()  {}
func (Commit) isEvent() {}

// StartNode starts a node, in place of one that bore its number.
type StartNode struct {
	forNode
	Seed     uint64 // of everything that the node draws
	Settings balancer.Settings
}

// StopNode ends a node at once, without a drain.
type StopNode struct{ forNode }

// EndpointList is an update of the endpoint list, with the entries of its table resolved.
type EndpointList struct {
	forNode
	Kind      balancer.UpdateKind
	Endpoints []balancer.Endpoint // shared by all updates that name the table; nil with UpdateFailed
}

// RequestArrived is a client's request.
type RequestArrived struct {
	forNode
	Request balancer.Request
}

// ResponseStarted is the head of a streamed response to an attempt.
type ResponseStarted struct {
	forNode
	ID      string // of the request
	Attempt int    // from 0
}

// AttemptFinished is the end of an attempt.
type AttemptFinished struct {
	forNode
	Outcome balancer.Outcome
}

// ClientGone says that a client waits no longer.
type ClientGone struct {
	forNode
	ID string // of the request
}

// TimerFired is the end of a timer that the node has set.
type TimerFired struct {
	forNode
	Token uint64
}

// HealthChecked is the end of a health check.
type HealthChecked struct {
	forNode
	EndpointID string
	Result     balancer.Result
	Took       time.Duration
	LoadReport *balancer.LoadReport // nil: none came
}

// PeerMessage is a message of another node.
type PeerMessage struct {
	forNode
	From    int // the sender's number in the fleet
	Payload []byte
}

// CounterRead is a reading of the platform's shared counter, which the balancer does not use.
type CounterRead struct{ forNode }
