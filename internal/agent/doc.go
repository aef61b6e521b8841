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
// The follower leaves a replica whose list is older than the latest list that it has received, so generations
// do not decrease. It accepts an older list only after no replica has confirmed the latest one for
// [Rules.RollbackTolerance]. A list restored from a backup begins a new epoch. The first list of a new epoch
// must be a complete list, and lists of earlier epochs are older.
//
// A list that is empty, or that has lost more than a configured fraction of its endpoints within a window, is
// suspect: it is accepted after a second replica has confirmed it or a timeout has passed. While no replica
// answers, the accepted list stays in use.
//
// An endpoint that is removed without a drain may return immediately. Its removal is delayed, so that a flap
// does not make every node close and reopen its connections.
//
// # Load on the service
//
// Each follower ranks the replicas by rendezvous hashing (Thaler and Ravishankar 1998). This spreads
// followers evenly over the replicas, and the followers of a failed replica evenly over the remaining ones.
// The delay before a repeated call is random, and its range doubles up to a limit. A Retry-After header
// replaces this range. One token bucket limits all calls of a follower except its first one.
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
//     window grows with the number of nodes in the fleet. The next call is made early enough that its
//     response can arrive before the platform counts missed changes as delivered. Retry-After is the minimum
//     delay, but only up to the longest backoff. With pushed lists the window does not grow at all.
//   - Heartbeats: this package has one timeout for a watch, counted from its last complete line. In the edge
//     node the timeout depends on the kind of discovery, on whether the watch has received anything, and on
//     how long a message has been incomplete, because part of a message counts as activity.
//   - Generations: in this package they decrease only after the rollback tolerance. In the edge node a watch
//     may return to an older list, because the platform's agent decides which list is current. Only a fetched
//     list that is older than the list received by the watch in the meantime is dropped.
//   - Calls: this package has one watch, plus a fetch from a second replica to confirm a suspect list. In the
//     edge node a watch and a fetch run concurrently.
package agent
