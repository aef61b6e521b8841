package testbed

import (
	"slices"
	"strings"
)

// Scenario is one experiment: what runs, what is asked of it, what goes wrong when, and
// what must come of it.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`
	Duration Duration `toml:"duration"` // arrivals stop then; what is open is still played
	Fleet    Fleet    `toml:"fleet"`
	Load     Load     `toml:"load"`
	Classes  []Class  `toml:"class"` // none: one that is safe to repeat and one that is not
	Plans    []Plan   `toml:"plan"`  // none: the three of the platform's deployment
	Faults   []Fault  `toml:"fault"`
	Expect   []Expect `toml:"expect"`
}

// Class is a class of requests.
type Class struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`  // of the requests
	NonIdempotent  bool    `toml:"unsafe"` // must never run twice
	PriorityWeight float64 `toml:"worth"`
}

// method is the one that the class's clients use.
func (c *Class) method() string {
	if c.NonIdempotent {
		return "POST"
	}
	return "GET"
}

// Plan is a tenant's contract. Rates are units a second.
type Plan struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"` // of the use inside quotas
	Rate           float64 `toml:"rate"`
	Burst          float64 `toml:"burst"`
	HardLimitRate  float64 `toml:"ceiling_rate"` // 0: none
	HardLimitBurst float64 `toml:"ceiling_burst"`
	HardLimitSlack float64 `toml:"slack"`
	WeightFactor   float64 `toml:"price"`
	OverQuotaValue float64 `toml:"over_worth"`
	OverQuotaCost  float64 `toml:"over_cost"`
}

// Fleet is the edge nodes and the app servers behind them.
type Fleet struct {
	Nodes                    int      `toml:"nodes"`
	Servers                  int      `toml:"servers"`
	Zones                    []string `toml:"zones"` // nodes and servers are dealt round these
	Cores                    int      `toml:"cores"` // of an app server
	SlotsPerCore             int      `toml:"slots_per_core"`
	QueuePerCore             int      `toml:"queue_per_core"`
	ContentionLoss           float64  `toml:"thrash"`    // share of efficiency lost for each slot's worth held beyond thrash_at
	ContentionFrom           float64  `toml:"thrash_at"` // requests held per core from which efficiency falls
	SlowStartInitialFraction float64  `toml:"cold_from"` // share of its capacity that a started server has
	SlowStartDuration        Duration `toml:"ramp"`      // time in which it becomes warm
	OverloadFactor           float64  `toml:"fall_multiple"`
	OverloadWindow           Duration `toml:"fall_for"`
	Connections              int      `toml:"connections"`    // that one app server takes
	HandshakeWork            Duration `toml:"handshake_work"` // core time that a new connection costs
	ConnIdle                 Duration `toml:"conn_idle"`
	ReportEvery              Duration `toml:"report_every"`
	ReportDelay              Duration `toml:"report_late"`
	ListDelay                Duration `toml:"list_late"`        // from a change at a server to the agents' telling it
	ListReplicas             int      `toml:"list_replicas"`    // of the project's own list service; 0: the testbed keeps the list
	ListAgents               bool     `toml:"list_agents"`      // the project's own agent stands between its list service and each node
	ListPolled               bool     `toml:"list_asked"`       // lists are asked for, from one service for all nodes; else an agent pushes them
	ListCallsPerS            float64  `toml:"list_calls_per_s"` // that this service answers; 0: any number
	StaleStartList           bool     `toml:"stale_known"`      // a process starts with the list of the run's start
	NoGossip                 bool     `toml:"no_peers"`         // nodes may not message one another
	PeerMessagesPerSecond    float64  `toml:"inbox_per_s"`      // datagrams that a node takes in
	PeerLoss                 float64  `toml:"peer_loss"`
	PeerDelay                Duration `toml:"peer_delay"`
	CrossDelay               Duration `toml:"cross_delay"` // one way between zones; needs the relays
	MemoryMB                 int      `toml:"memory_mb"`
	Sockets                  int      `toml:"sockets"`
}

// Load is what clients ask.
type Load struct {
	Rate               float64  `toml:"rate"`     // requests a second inside the quotas
	WorkMS             float64  `toml:"work_ms"`  // core time of a request, on average
	LatencyObjective   Duration `toml:"aim"`      // an answer is wanted by then
	Deadline           Duration `toml:"deadline"` // a client waits no longer over all its attempts
	Retries            int      `toml:"retries"`
	RetryAfterShare    float64  `toml:"honour"` // share of clients that keep to Retry-After
	MarkRetry          bool     `toml:"mark_retry"`
	NonIdempotentShare float64  `toml:"unsafe"` // share of requests that must never run twice
	Skew               float64  `toml:"skew"`   // how unevenly a tenant's requests spread over its nodes, 0 for evenly
	EntryNodeShare     float64  `toml:"spread"` // share of the nodes that a tenant's requests come through; 0: two to four nodes
	OverQuotaTenants   float64  `toml:"heavy"`  // share of tenants that ask three times their quota
	FailureDetection   Duration `toml:"front_sees"`
	ShiftEvery         Duration `toml:"shift_every"` // how often a tenant's busiest node changes
	Bursts             []Burst  `toml:"burst"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
}

// Fault is one thing that goes wrong, or ends to.
type Fault struct {
	At    Duration  `toml:"at"`
	For   Duration  `toml:"for"` // 0: for the rest of the run
	Kind  FaultKind `toml:"kind"`
	Zone  string    `toml:"zone"`  // of the zone faults, or to choose targets from
	Count int       `toml:"count"` // targets; 0 with no share: one
	Share float64   `toml:"share"` // targets as a share of all
	Size  float64   `toml:"size"`  // times slower, or the share of requests or datagrams hit
	Step  Duration  `toml:"step"`  // from one target to the next
	Delay Duration  `toml:"late"`  // of list-late and delay
	Way   string    `toml:"way"`   // of cuts: both, in, out, seen from the zone or node
	From  string    `toml:"from"`  // of links: clients, node:N, nodes, zone:Z
	To    string    `toml:"to"`    // of links: node:N, nodes, server:N, servers, zone:Z, agent
	Does  string    `toml:"does"`  // of links: silence, reset, refuse, loss, delay, rate; of list-words: indent, trickle, half, noise, entry
}

// Expect is a bound on a figure of the run.
type Expect struct {
	Figure string   `toml:"figure"`
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	From   Duration `toml:"from"` // of the arrivals that count
	To     Duration `toml:"to"`   // 0: to the end
}

// Figures that an expect line may name, and what they are.
var figureNames = map[string]string{
	"goodput":        "value answered within the latency objective, as a share of the value requested inside quotas",
	"served":         "share of the requests whose client got a response, at whichever attempt",
	"refused":        "share of the attempts rejected",
	"refused_room":   "share of the attempts rejected while half of the quota was unused",
	"failed":         "share of the attempts failed",
	"beyond_quota":   "share of the units sent on that were beyond quotas",
	"answers":        "number of answers",
	"violations":     "violations of rules",
	"crashes":        "processes that ended and were not told to",
	"p50_ms":         "median time from due to answer, of what was served",
	"p99_ms":         "99th percentile of the same",
	"slack_ms":       "most that the machine withheld from the testbed and a node, by which time limits were widened",
	"lateness_ms":    "99th percentile of how late the load generator sent",
	"datagrams_lost": "share of the datagrams between nodes that did not arrive",
	"connections":    "new connections to app servers for each attempt",
	"memory_mb":      "largest resident memory of a node",
	"cpu_us":         "CPU time of the nodes for each attempt",
	"servers_fell":   "app servers overloaded to failure during slow start",
	"worst_second":   "lowest share of requests served of any whole second with arrivals",
	"restored_nodes": "nodes that answer at the end",
	"lists_right":    "share of the nodes that were told of the list as it is at the end",
	"versions_back":  "messages that took a node's list back to an earlier version",
	"list_p50_ms":    "median time from a change's being written to a node's being told",
	"list_p99_ms":    "99th percentile of the same",
	"list_max_ms":    "the longest of the same",
}

func names[K ~string, V any](m map[K]V) string {
	var all []string
	for n := range m {
		all = append(all, string(n))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}
