package testbed

import (
	"slices"
	"strings"
)

// Scenario describes one experiment: the fleet, the load on it, the faults with their times, and the expected
// results.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`
	Duration Duration `toml:"duration"` // time until the last arrival; open requests are completed after it
	Fleet    Fleet    `toml:"fleet"`
	Load     Load     `toml:"load"`
	Classes  []Class  `toml:"class"` // default: one idempotent and one non-idempotent class
	Plans    []Plan   `toml:"plan"`  // default: the three plans of the platform's deployment
	Faults   []Fault  `toml:"fault"`
	Expect   []Expect `toml:"expect"`
}

// Class is a class of requests.
type Class struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`  // share of the requests, from 0 to 1
	NonIdempotent  bool    `toml:"unsafe"` // a request must never be executed twice
	PriorityWeight float64 `toml:"worth"`  // value of a request per unit, before the plan's factor
}

// method returns the HTTP method of the class's requests.
func (c *Class) method() string {
	if c.NonIdempotent {
		return "POST"
	}
	return "GET"
}

// Plan is a tenant's quota terms. Rates are in units per second, bursts and the slack in units.
type Plan struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"` // share of the load within quotas, from 0 to 1
	Rate           float64 `toml:"rate"`
	Burst          float64 `toml:"burst"`
	HardLimitRate  float64 `toml:"ceiling_rate"` // 0: no hard limit
	HardLimitBurst float64 `toml:"ceiling_burst"`
	HardLimitSlack float64 `toml:"slack"`
	WeightFactor   float64 `toml:"price"`      // factor on the value of a request
	OverQuotaValue float64 `toml:"over_worth"` // factor on the value of a request over quota
	OverQuotaCost  float64 `toml:"over_cost"`
}

// Fleet describes the edge nodes, the app servers behind them, and discovery.
type Fleet struct {
	Nodes   int      `toml:"nodes"`
	Servers int      `toml:"servers"`
	Zones   []string `toml:"zones"` // nodes and app servers are assigned to these in turn

	// Capacity of an app server.

	Cores          int     `toml:"cores"`
	SlotsPerCore   int     `toml:"slots_per_core"` // requests executed at the same time, per core
	QueuePerCore   int     `toml:"queue_per_core"` // maximum number of waiting requests, per core
	ContentionLoss float64 `toml:"thrash"`         // efficiency loss per request per core above thrash_at
	ContentionFrom float64 `toml:"thrash_at"`      // requests per core above which efficiency falls

	// Slow start of an app server. A server in slow start fails if it receives more work within fall_for than
	// fall_multiple times what it can execute in that time, with an allowance for random variation.

	SlowStartInitialFraction float64  `toml:"cold_from"` // share of the capacity at the start
	SlowStartDuration        Duration `toml:"ramp"`
	OverloadFactor           float64  `toml:"fall_multiple"`
	OverloadWindow           Duration `toml:"fall_for"`

	// Connections to an app server and its load reports.

	Connections   int      `toml:"connections"`    // requests on further connections are rejected
	HandshakeWork Duration `toml:"handshake_work"` // core time that a new connection takes
	ConnIdle      Duration `toml:"conn_idle"`      // time after which the server closes an idle connection
	ReportEvery   Duration `toml:"report_every"`   // interval of updates of the reported load; 0: none
	ReportDelay   Duration `toml:"report_late"`    // age of the reported load

	// Discovery.

	ListDelay      Duration `toml:"list_late"`        // delay until agents send a change of a server
	ListReplicas   int      `toml:"list_replicas"`    // replicas of the real list service; 0: it is emulated
	ListAgents     bool     `toml:"list_agents"`      // run the real agent between list service and node
	ListPolled     bool     `toml:"list_asked"`       // nodes poll one service instead of an agent each
	ListCallsPerS  float64  `toml:"list_calls_per_s"` // calls that this service can answer; 0: unlimited
	StaleStartList bool     `toml:"stale_known"`      // restarted nodes begin with the run's first list

	// Gossip among nodes.

	NoGossip              bool     `toml:"no_peers"`    // nodes must not send messages to one another
	PeerMessagesPerSecond float64  `toml:"inbox_per_s"` // datagrams per second that a node accepts
	PeerLoss              float64  `toml:"peer_loss"`   // share of the datagrams lost
	PeerDelay             Duration `toml:"peer_delay"`  // delay of a datagram

	// Links between nodes and app servers in different zones.

	CrossDelay Duration `toml:"cross_delay"` // one-way delay; needs relays

	// Resource limits of a node.

	MemoryMB int `toml:"memory_mb"`
	Sockets  int `toml:"sockets"`
}

// Load describes the requests of the clients.
type Load struct {
	Rate             float64  `toml:"rate"`     // requests per second within quotas
	WorkMS           float64  `toml:"work_ms"`  // mean core time of a request, in milliseconds
	LatencyObjective Duration `toml:"aim"`      // latency within which a response counts as goodput
	Deadline         Duration `toml:"deadline"` // longest time that a client waits, over all attempts

	// Retries by clients.

	Retries         int     `toml:"retries"`    // maximum number of retries of a request
	RetryAfterShare float64 `toml:"honour"`     // share of retries that respect Retry-After
	MarkRetry       bool    `toml:"mark_retry"` // retries carry a header that identifies them as such

	// Distribution over classes, tenants and nodes.

	NonIdempotentShare float64  `toml:"unsafe"`      // share of the non-idempotent one of the default classes
	Skew               float64  `toml:"skew"`        // imbalance between a tenant's nodes; 0: balanced
	EntryNodeShare     float64  `toml:"spread"`      // share of nodes per tenant; 0: two to four nodes
	OverQuotaTenants   float64  `toml:"heavy"`       // share of tenants that request three times their quota
	FailureDetection   Duration `toml:"front_sees"`  // time until clients avoid an unreachable node
	ShiftEvery         Duration `toml:"shift_every"` // interval at which a tenant's busiest node changes
	Bursts             []Burst  `toml:"burst"`
}

// Burst multiplies the request rate for a limited time.
type Burst struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"` // 0: until the end of the run
	Factor float64  `toml:"times"`
}

// Fault describes a fault: its kind, its targets, and when it begins and ends.
type Fault struct {
	At        Duration  `toml:"at"`
	For       Duration  `toml:"for"` // duration; 0: until the end of the run
	Kind      FaultKind `toml:"kind"`
	Zone      string    `toml:"zone"`  // zone to which the fault applies, or in which its targets are chosen
	Count     int       `toml:"count"` // number of targets; one if neither count nor share is set
	Share     float64   `toml:"share"` // share of the nodes or app servers that are targets
	Size      float64   `toml:"size"`  // slowdown factor, affected share or bytes per second, by kind
	Step      Duration  `toml:"step"`  // delay between one target and the next
	Delay     Duration  `toml:"late"`  // delay added by list-late and by links with does = "delay"
	Direction string    `toml:"way"`   // cut-zone and cut-node: both, in or out, relative to the zone or node

	// Link faults: the parties, and the effect on the data sent from one to the other.

	From   string `toml:"from"` // clients, node:N, nodes or zone:Z
	To     string `toml:"to"`   // node:N, nodes, server:N, servers, zone:Z or agent
	Effect string `toml:"does"` // silence, reset, refuse, loss, delay or rate; for list-words an encoding
}

// Expect bounds a figure of the run. The figures goodput, served, refused, refused_room, failed, answers,
// p50_ms, p99_ms, lateness_ms and worst_second are computed over the requests that are due in a window of
// time. All other figures always cover the whole run.
type Expect struct {
	Figure string   `toml:"figure"`
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	From   Duration `toml:"from"` // start of the window
	To     Duration `toml:"to"`   // end of the window; 0: end of the run
}

// figureNames describes the figures that an expect table may name.
var figureNames = map[string]string{
	"goodput":        "value of the responses within the latency objective, as a share of the value requested within quotas",
	"served":         "share of the requests that were served, at any attempt",
	"refused":        "share of the attempts that were rejected",
	"refused_room":   "share of the attempts that were rejected while at least half of the quota was unused",
	"failed":         "share of the attempts that failed",
	"beyond_quota":   "share of the units forwarded to app servers that exceeded quotas",
	"answers":        "number of requests served, attempts rejected and attempts failed",
	"violations":     "number of rule violations",
	"crashes":        "number of node processes that exited unexpectedly",
	"p50_ms":         "median latency of served requests, from when they were due",
	"p99_ms":         "99th percentile of that latency",
	"slack_ms":       "longest time that the machine withheld CPU from the testbed and a node; time limits were extended by it",
	"lateness_ms":    "99th percentile of the delay with which the load generator sent requests",
	"datagrams_lost": "share of the datagrams between nodes that were lost or refused",
	"connections":    "new connections to app servers per attempt",
	"memory_mb":      "peak resident memory of a node",
	"cpu_us":         "CPU time of the nodes per attempt",
	"servers_fell":   "number of app servers overloaded to failure during slow start",
	"worst_second":   "lowest share of requests served in any second with arrivals",
	"restored_nodes": "number of nodes that are ready at the end",
	"lists_right":    "share of the nodes that had received the final list at the end",
	"versions_back":  "number of messages that returned a node's list to an earlier version",
	"list_p50_ms":    "median delay from the change of an entry to its delivery to a node",
	"list_p99_ms":    "99th percentile of that delay",
	"list_max_ms":    "maximum of that delay",
}

// names returns the keys of a map, sorted and joined by commas, for error messages.
func names[K ~string, V any](m map[K]V) string {
	var keys []string
	for k := range m {
		keys = append(keys, string(k))
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}
