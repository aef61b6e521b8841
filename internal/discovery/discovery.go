// Package discovery defines the messages of the platform's discovery protocol, their framing on a watch, and
// their validation. The list service writes these messages and its clients read them. The package imports
// only the standard library.
//
// There are two ways to read a watch, with different tolerance for errors:
//
//   - An edge node has a single discovery server and has to use even a malformed message as far as possible.
//     It splits the stream with a [Splitter], which accepts messages that span lines. It parses each message
//     with [ParseLenient], which keeps every entry that is safe to act on and reports the malformed fields.
//   - A client of the list service can change to another replica. It reads the stream with a [LineReader],
//     which accepts one message per line and fails on a malformed one. The agent also rejects messages that
//     fail [Message.Validate]. The list service's own client and the testbed accept any message that decodes.
//
// A [LineReader] gets its limit on the length of a message from the caller, because callers expect lists of
// different sizes. A [Splitter] has a limit too, by default [MaxStreamMessage].
package discovery

import "fmt"

// Path is the URL path of the list at a discovery server. GET returns the complete list as one message.
const Path = "/registry/instances"

// SnapshotURL returns the URL of the complete list at a server's address, host:port.
func SnapshotURL(addr string) string { return "http://" + addr + Path }

// WatchURL returns the URL of a watch at a server's address, host:port. The watch begins with the changes
// after the generation from. It begins with the complete list if from is 0 or the server no longer has those
// changes.
func WatchURL(addr string, from uint64) string {
	return fmt.Sprintf("%s?watch=1&from=%d", SnapshotURL(addr), from)
}

// Lifecycles of an app server, the values of [Entry.Lifecycle].
const (
	Up       = "up"       // accepts new requests
	Draining = "draining" // completes the requests in flight and accepts no new ones
	Removed  = "removed"  // no longer in the list; used only in messages of changes
)

// Entry describes an app server in a [Message].
type Entry struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"` // IP address and port
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds; 0 means long ago
}

// Message is either the complete list or the changes since an earlier generation.
type Message struct {
	Generation uint64  `json:"generation"` // generation of the list after this message
	Snapshot   bool    `json:"reset"`      // whether Entries is the complete list
	Entries    []Entry `json:"instances"`  // complete list, or the entries that have changed
}

// EpochBits is the number of bits of a generation below its epoch. Only the project's own list service
// divides generations in this way.
const EpochBits = 32

// Epoch returns the epoch of a generation. A list that is restored from a backup begins a new epoch. Changes
// apply only to a list of the same epoch.
func Epoch(generation uint64) uint64 { return generation >> EpochBits }
