package registry

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// Config is the configuration of a replica.
type Config struct {
	Dir     string            // data folder; created if it does not exist
	Listen  string            // HTTP address for clients and watches
	Raft    string            // address for connections from other replicas
	DialVia map[string]string // addresses to dial in place of Raft addresses, by Raft address

	// Join is the HTTP address of a replica of the service that a new replica joins. If it is empty, a new
	// replica starts a new service. A replica that has state in Dir ignores it.
	Join string

	WatchOpensPerSecond float64       // limit on opening watches; 0: 2,000
	ElectionTimeout     time.Duration // time without contact with the leader before an election; 0: 500 ms
	Logger              *slog.Logger  // must not be nil
	WrapStores          WrapStores    // nil: Raft uses the durable stores directly
}

// WrapStores returns the stores that Raft uses in place of the given durable stores, usually wrappers of
// them.
type WrapStores func(raft.LogStore, raft.StableStore) (raft.LogStore, raft.StableStore)

// Defaults of [Config].
const (
	defaultWatchOpensPerSecond = 2000
	defaultElectionTimeout     = 500 * time.Millisecond
)

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.WatchOpensPerSecond == 0 {
		c.WatchOpensPerSecond = defaultWatchOpensPerSecond
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	return c
}
