// Package agent is the per-machine proxy between the list service and the edge nodes on its machine. It keeps
// serving the last accepted list while the service fails.
//
// [Follower] is the core, a state machine: its inputs are the messages of replicas and the time, its outputs
// are actions to carry out. It has no clock or socket of its own, and its random numbers come from a given
// seed. [Agent] is its host: it opens watches at replicas and serves the platform's discovery protocol to
// nodes on a loopback address.
//
// # Accepting lists
//
// Generations never decrease within an epoch, whichever replica is followed. The follower leaves a replica
// whose list is older than the accepted one. A new epoch, which a list restored from a backup begins, is
// accepted once, and only as a complete list. A list that is empty, or that has lost more than a fraction of
// its endpoints within a window, is suspect: it is accepted after a second replica has confirmed it or a
// timeout has passed. While no replica answers, the accepted list stays in use.
//
// An endpoint that is removed without a drain may return immediately. Its removal is delayed, so that a flap
// does not make every node close and reopen its connections.
//
// # Load on the service
//
// Each follower ranks the replicas by rendezvous hashing (Thaler and Ravishankar 1998). This spreads
// followers evenly over the replicas, and the followers of a failed replica evenly over the remaining ones.
// The delay before the next call is random within a backoff window that doubles, Retry-After is honored, and
// all calls of a process except its first one share one token bucket.
//
// The package imports only the standard library and this module, so that the edge node, which is built
// without downloads, may use it. It contains its own token bucket and hashing for that reason.
//
// # Differences from the edge node's follower
//
// The edge node has a follower of its own (internal/edgenode/follower). It speaks the same protocol to a
// single discovery server. The two share no code because their rules differ:
//
//   - Backoff: this package waits for a quarter of the window plus a random time of up to the window. The
//     window starts at a fixed duration and doubles each time every replica has failed once. Retry-After
//     replaces it: the delay is then random between one and two times Retry-After. In the edge node the
//     window grows with the number of nodes in the fleet, and the next call is made before the time at which
//     missed changes count as reported. Retry-After is a lower limit that is itself limited. With pushed
//     lists the window does not grow at all.
//   - Heartbeats: this package has one timeout for a watch, counted from its last complete line. In the edge
//     node the timeout depends on the kind of discovery, on whether the watch has received anything, and on
//     how long a message has been incomplete, because part of a message counts as activity.
//   - Generations: in this package they never decrease within an epoch, except after the rollback tolerance.
//     In the edge node a watch may return to an older list, because the platform's agent decides which list
//     is current. Only a fetched list that is older than the list received by the watch in the meantime is
//     dropped.
//   - Calls: this package has one watch, plus a fetch from a second replica to confirm a suspect list. In the
//     edge node a watch and a fetch run concurrently.
package agent
