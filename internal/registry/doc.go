// Package registry is the service registry: a replicated, durable and versioned list of app servers, which its
// readers watch with the platform's discovery protocol.
//
// # Structure
//
// The core is pure: it has no clock, no socket, no disk, and nothing that it returns depends on the order of a map.
// [State] applies commands from the replicated log ([Command] in, [Outcome] out). [Leases] is what the leader alone
// tracks: which lease was renewed when, by the leader's monotonic clock, and which ones have expired. It removes
// nothing by itself; an expiry goes through the log as a command like any other.
//
// The host is [Server]: Raft, the HTTP API, the watches and the files of one replica. The client is [Client].
//
// # Versions
//
// Each command that changes the list makes one generation. A generation identifies one state for ever: it is the
// epoch times 2^32 plus the number of changes since the epoch began. A state that is restored from a backup begins a
// new epoch, so that none of its generations can equal one of the list that the backup was taken of. Generations stay
// below 2^53, which every JSON reader represents exactly.
//
// # Incarnations
//
// An entry belongs to one incarnation of its instance, a number that grows with each start of it. A command of an
// older incarnation never affects a newer one; a removed entry leaves a tombstone with its incarnation. Commands are
// idempotent: a client that got no response may send the command again.
package registry
