// Package registry is the service registry: a replicated, durable and versioned list of app servers. Readers
// watch the list with the discovery protocol.
//
// # Structure
//
// The core is deterministic: it uses no clock, network or disk, and its results do not depend on the order of
// map iteration. [State] applies commands from the replicated log: it takes a [Command] and returns an
// [Outcome]. [Leases] runs on the leader only. It records when each lease expires, by the leader's monotonic
// clock, and finds the leases that have expired. It does not remove entries itself: an expiry is a command in
// the log like any other change.
//
// [Server] is one replica. It runs Raft, the HTTP API and the watches, and owns the replica's files. [Client]
// calls the HTTP API.
//
// # Versions
//
// Each command that changes the list creates one generation. A generation identifies one state permanently:
// it is the epoch times 2^32 plus the number of changes since the epoch began. A state that is restored from
// a backup begins a new epoch, so that none of its generations equals one of the list that the backup was
// taken from. Generations stay below 2^53, which every JSON reader represents exactly.
//
// # Incarnations
//
// An entry belongs to one incarnation of its instance. The incarnation is a number that grows with each start
// of the instance. A command for an older incarnation never affects a newer one: a removed entry leaves a
// tombstone with its incarnation. Commands are idempotent: a client that received no response may send the
// command again.
package registry
