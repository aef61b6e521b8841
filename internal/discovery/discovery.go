// Package discovery has the messages of the platform's discovery protocol, as the list service
// writes them and its clients read them. It imports the standard library alone.
package discovery

// Lifecycles of an entry.
const (
	Up       = "up"       // takes work
	Draining = "draining" // finishes what it has
	Removed  = "removed"  // gone; among changes only
)

// Entry is an app server.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix milliseconds; 0: long ago
}

// Message is the whole list, where Reset is set, or what has changed up to a version.
type Message struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// EpochBits is where the epoch begins in a generation of the project's own list service.
const EpochBits = 32

// Epoch is the life of the list that a generation belongs to.
func Epoch(generation uint64) uint64 { return generation >> EpochBits }
