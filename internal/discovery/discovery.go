// Package discovery has the messages of the platform's discovery protocol as the list service writes them and its
// clients read them: their form, their framing on a watch, and the checks. It imports the standard library alone.
//
// There are two ways to read a watch, and they differ on purpose:
//
//   - An edge node has one discovery and must act on what it is told, however it is worded. It cuts the stream with a
//     [Splitter], which accepts messages that span lines, and reads them with [ParseLenient], which keeps every entry
//     that is safe to act on and reports the malformed fields.
//   - A client of the list service has other replicas to turn to. It reads with a [LineReader], which accepts one
//     message on each line and none that is malformed. The agent also rejects what fails [Message.Validate]; the
//     registry's own client and the testbed accept any message that decodes.
//
// The bound on a message is the caller's, because the callers differ in the lists that they expect.
package discovery

import "fmt"

// Path is where a server of discovery has the list: GET returns the complete list as one message.
const Path = "/registry/instances"

// SnapshotURL is the URL of the complete list at a server's address, host:port.
func SnapshotURL(addr string) string { return "http://" + addr + Path }

// WatchURL is the URL of a watch at a server's address, host:port. The watch begins with the changes after a
// generation, or with the complete list where the server does not have them; from 0 it is always the complete list.
func WatchURL(addr string, from uint64) string {
	return fmt.Sprintf("%s?watch=1&from=%d", SnapshotURL(addr), from)
}

// Lifecycles of an entry.
const (
	Up       = "up"       // accepts new requests
	Draining = "draining" // completes the requests that it has and accepts no new ones
	Removed  = "removed"  // gone; in messages of changes only
)

// Entry is an app server as it is written.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"` // IP address and port
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds; 0: long ago
}

// Message is the complete list where Reset is set, or else the entries that have changed up to a generation.
type Message struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// EpochBits is the number of a generation's bits below its epoch, in the project's own list service.
const EpochBits = 32

// Epoch returns the epoch of a generation. A list that is restored from a backup begins a new epoch; generations are
// comparable within one epoch only.
func Epoch(generation uint64) uint64 { return generation >> EpochBits }
