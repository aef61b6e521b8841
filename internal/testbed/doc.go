// Package testbed runs real processes of this program under load and faults, plays the environment
// around them, and judges what they did.
//
// # The environment
//
// Everything that an edge node meets is emulated from the platform's protocol, in the
// testbed's own process and on loopback addresses: app servers ([model] is what one can do,
// [appServer] its sockets), clients that ask in open loop ([loadGenerator]), the discovery agent on each
// node's machine ([agent]), and the network between nodes and app servers and among nodes
// ([tcpRelay], [udpRelay]). Edge nodes are real processes ([process]).
//
// # What is decided where
//
// A [Scenario] is a TOML file: the fleet, the load, a timeline of faults, and what is
// expected. [Draw] makes a [Schedule] of it: every arrival with its tenant, class, units
// and work, and every choice of a fault, from one seed and nothing else. Two runs of one
// scenario and seed draw the same schedule, which its digest proves. [Run] plays it.
//
// # Judging
//
// The [checker] is told by both sides: by the clients what was asked and answered, by the
// app servers what arrived and ran, by the agent what each node was told. It holds the
// node to the platform's rules; a violation is a fact of the run and never a matter of how
// fast the machine is. Figures such as latency depend on the machine; only a scenario's
// expect lines judge them.
//
// # Time
//
// All times in the package are since the start of the run, on the monotonic clock. Latency
// counts from when a request was due, not from when it could be sent: a generator that
// falls behind does not flatter the nodes (coordinated omission). How late it was is a
// figure of its own, and a run in which it was too late is marked.
package testbed
