// Package testbed runs real edge node processes under load and faults in an emulated environment,
// and checks their behavior against the platform's rules.
//
// # Environment
//
// The testbed emulates everything that an edge node communicates with, according to the platform's
// protocol. The emulation runs in the testbed's own process and uses loopback addresses:
//
//   - app servers: [model] computes when requests finish, [appServer] handles the sockets,
//   - clients that send open-loop load ([loadGenerator]),
//   - the discovery agent on each node's machine ([agent]),
//   - the network between clients, nodes, app servers and agents ([tcpRelay], [udpRelay]).
//
// Edge nodes are real processes ([process]). A scenario can replace the emulated discovery service
// by replicas of the project's own list service, which are real processes too ([listService]).
//
// # Scenarios and schedules
//
// A [Scenario] is a TOML file that describes the fleet, the load, a timeline of faults and the
// expected results. [Draw] derives a [Schedule] from it: every arrival with its tenant, class, units
// and work, and the targets of every fault. The schedule depends only on the scenario and the seed.
// Two runs of one scenario and seed have the same schedule, which the schedule's digest shows.
// [Run] executes a scenario.
//
// # Checks
//
// The [checker] collects events from all sides: requests and responses from the clients, arrivals
// and executions from the app servers, and delivered lists from the agents. It reports violations of
// the platform's rules. Its time limits are extended by the time in which the machine gave the
// testbed or a node no CPU, so that violations do not depend on the speed of the machine. Figures
// such as latency do depend on it; only the scenario's expect lines put bounds on them.
//
// # Time
//
// The times of a run are relative to its start, on the monotonic clock. Latency counts from the time
// at which a request was due, not from the time at which it was sent. A load generator that falls
// behind therefore does not make the nodes look faster (coordinated omission). The generator's
// lateness is a figure of its own, and a run with too much lateness is marked.
package testbed
