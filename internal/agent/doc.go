// Package agent follows the list service for the edge nodes on its machine and survives the service's failures.
//
// [Follower] is the core, a state machine: what replicas sent goes in, the actions to carry out come out. It has no
// clock, no socket and no source of randomness but what it is given. [Agent] is its host: it opens watches at replicas
// and serves the platform's discovery protocol to nodes on a loopback address.
//
// # What is accepted
//
// Generations never go back within an epoch, whichever replica is followed: a replica that has less than what is held is
// left for another one. A new epoch, that of a restored list, is accepted as a complete list, once. A list that is empty,
// or that has lost more than a fraction of its endpoints within a window, is suspect: it waits until a second replica
// confirms it or a timeout has passed. While no replica answers, what is held stays.
//
// An endpoint that is removed without having drained may be back at once. Its removal is delayed, so that a flap does not
// make every node close and reopen its connections.
//
// # What it costs the service
//
// Replicas are ranked for each follower by rendezvous hashing (Thaler and Ravishankar 1998), so that followers spread
// evenly, also those of a replica that has failed. The time before the next call is random within a backoff window that
// doubles, Retry-After is honored, and all further calls of a process share one token bucket.
//
// The package imports the standard library and this module only, so that the edge node, which is built with no download,
// may use it: the token bucket and the hashing are written here for that reason.
//
// # How it differs from the edge node's follower
//
// The edge node's own follower (internal/edgenode/follower) follows one discovery by the same protocol, but shares no code with
// this one, as the two compute different things:
//
//   - Backoff: here a quarter of the window plus a random part of it; the window starts at a fixed time, doubles when
//     every replica has failed once, and is spread over Retry-After. There the window grows with the number of nodes in
//     the fleet, the next call is bounded by the time after which a change counts as reported, and Retry-After
//     is a lower limit that is itself limited. With pushed lists the window does not grow at all.
//   - Heartbeats: here one timeout for a watch, counted from its last complete line. There the timeout depends on the
//     kind of discovery, on whether the watch has brought anything, and on how long a message has been incomplete, as
//     part of a message counts as activity.
//   - Generations: here they never go back within an epoch, except after the rollback tolerance. There a watch may take
//     the list back, as the platform's agent decides what is current; only a fetch that is older than what the
//     watch has brought meanwhile is dropped.
//   - Calls: here one watch, and a fetch from a second replica to confirm a suspect list. There a watch and a fetch run
//     side by side.
package agent
