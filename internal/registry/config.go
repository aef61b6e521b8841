package registry

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// Config is the configuration of a replica.
type Config struct {
	Dir                 string            // the data folder; it is made if it does not exist
	Listen              string            // HTTP address, for readers and writers
	Raft                string            // address for the other replicas
	DialVia             map[string]string // where this replica reaches another's Raft address, if not there
	Join                string            // HTTP address of a replica of the service to join; "": the folder's state, or a new service
	WatchOpensPerSecond float64           // 0: 2,000
	ElectionTimeout     time.Duration     // without contact to the leader; 0: 500 ms
	Logger              *slog.Logger      // must not be nil
	WrapStores          WrapStores        // nil: the durable stores as they are
}

// WrapStores returns the stores that Raft is to use around the durable ones.
type WrapStores func(raft.LogStore, raft.StableStore) (raft.LogStore, raft.StableStore)

// Defaults of [Config].
const (
	defaultWatchOpensPerSecond = 2000
	defaultElectionTimeout     = 500 * time.Millisecond
)

// withDefaults returns the configuration with the defaults for what is not set.
func (c Config) withDefaults() Config {
	if c.WatchOpensPerSecond == 0 {
		c.WatchOpensPerSecond = defaultWatchOpensPerSecond
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	return c
}
