// Package choice decides, for one edge node of a gateway tier, what happens to
// each request: whether its customer's quota admits it, whether the back end
// can take it, which server serves it, and what follows each outcome.
//
// The host owns the network, the clock and the timers. It makes one [Gateway]
// per edge node with [New], calls [Gateway.Start] once, then one method per
// event, and carries out what the gateway asks for through [Actions]. The
// decisions are in choice.go and subset.go; this file is the interface, with
// [Gateway.Stats].
//
// A Gateway is not safe for concurrent use: the host makes one call at a time.
// Actions are called synchronously, in the order they are to take effect, and
// must not call back into the gateway. Times passed in are readings of one
// clock that never goes backwards; its origin does not matter. Events that
// name an unknown or finished request, server, timer or attempt are ignored.
// The gateway keeps no reference to slices that it is given.
package balancer

import "time"

// Idempotency says what repeating a request of a class does.
type Idempotency int

const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // a repeat is dropped inside its group while remembered
	NonIdempotent                        // must never run twice
)

// DedupScope says which servers share the memory of a keyed class's requests.
type DedupScope int

const (
	DedupFleet DedupScope = iota // all servers
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope // for Keyed
	// for Keyed: how long a server remembers, from the first send that may have run
	DedupWindow        time.Duration
	LatencyObjective   time.Duration // answers up to here earn the full worth
	Deadline           time.Duration // the client's whole wait over all its tries
	PriorityWeight     float64       // of one request
	LateWeightFraction float64       // share of Worth earned between Aim and the deadline
	Stream             bool          // answers arrive as streams: see [Gateway.First]
}

// Plan describes the quotas of each customer of one plan, over all gateways together.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: no quota on the rate
	Burst          float64 // units the quota's store holds
	MaxConcurrent  int     // attempts out at once; 0: no such quota
	HardLimitRate  float64 // units per second of the hard ceiling; 0: none
	HardLimitBurst float64 // units the ceiling's store holds
	HardLimitSlack float64 // units the ceiling's store may fall below nought
	WeightFactor   float64 // factor on the worth
	OverQuotaValue float64 // share of the worth earned beyond the quota
	OverQuotaCost  float64 // share of the worth charged for each try sent beyond the quota
}

// LoadReportMode says how servers report their load.
type LoadReportMode int

const (
	NoLoadReports             LoadReportMode = iota // never
	LoadReportsInResponses                          // in outcomes and probe results
	LoadReportsInHealthChecks                       // in probe results only
)

// Settings is all that a gateway is told at its start. The zero value of a
// field means that the feature is absent, unless noted otherwise.
type Settings struct {
	NodeIndex int    // this gateway's number, from 0
	NodeCount int    // number of gateways, at least 1
	Zone      string // this gateway's zone
	Classes   []Class
	Plans     []Plan

	ResponseSlack            time.Duration // a final answer this late past the deadline still counts
	DrainTimeout             time.Duration // sends to a draining server must have stopped by then
	SlowStartInitialFraction float64       // a started server has at least this share of its capacity
	SlowStartDuration        time.Duration // and is warm within this time
	OverloadFactor           float64       // sent more than this multiple of its present capacity
	OverloadWindow           time.Duration // for this long, a cold server falls over

	MaxAttempts   int  // attempts per request; 0: no limit
	Hedging       bool // two attempts of one request may be out at once
	Cancellation  bool // [Actions.Cancel] is allowed
	Gossip        bool // [Actions.Tell] is allowed
	HealthChecks  bool // [Actions.Probe] is allowed
	RetryAfter    bool // clients receive the retry-after of a refusal
	MaxRetryAfter time.Duration

	LoadReports           LoadReportMode
	PollEndpoints         bool          // the list must be subscribed to with [Actions.Watch]
	PollInterval          time.Duration // with AskList: how often an unsubscribed gateway must ask
	PeerMessagesPerSecond float64       // peer messages per second that a gateway takes in
	PostPaid              bool          // units are a guess until the first good answer
	MaxUnits              float64       // of one request; 0: not told
	Tick                  time.Duration // the shortest time between events

	CrossZonePrice   float64 // points per attempt to another zone, as a share of requests
	PeerMessagePrice float64 // points per full peer message a request
	HealthCheckPrice float64 // points per probe a request
	WastedWorkPrice  float64 // points for wasted server work
}

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
	Customer       uint64
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

// AllPeers as the peer of a [Actions.Tell] means every other gateway.
const AllPeers = -1

// Actions is what a gateway asks of its host.
type Actions interface {
	// SendAttempt starts the request's next attempt. A timeout of 0 lasts to the client's deadline. Its last
	// byte
	// has to be on its way at the clock reading by, or the attempt is [Moot]; 0 sets no such bound.
	SendAttempt(id, server string, timeout, by time.Duration)
	// Reject is a final answer: nothing happened and trying again is harmless.
	Reject(id string, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id string)
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt(id string, attempt int)
	// SetTimer asks for one call of [Gateway.Timer] with the token.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck asks a server for its load; [Gateway.Probed] brings it.
	HealthCheck(server string)
	// SendPeer sends at most 256 bytes to a peer. The host copies what it keeps of the message.
	SendPeer(peer int, message []byte)
	// WatchEndpoints subscribes to changes of the list.
	WatchEndpoints(on bool)
	// Log adds a line for the operators.
	Log(text string)
}
