package edgenode

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/settings"
)

// Config is what an edge node is told at its start.
type Config struct {
	Name      string
	Listen    netip.AddrPort // where clients connect
	Discovery netip.AddrPort // the discovery agent or list service
	Seed      uint64         // of every random choice
	MemoryMB  int            // memory the node may use, in MiB; 0: no limit given
	Sockets   int            // file descriptors the process may hold

	PeerListen netip.AddrPort   // invalid where edge nodes may not message each other
	Peers      []netip.AddrPort // by node index, this node's own included
	PeersAll   netip.AddrPort   // reaches every edge node of the tier

	CachedList endpointlist.List // the endpoints as this node last knew them
	Settings   balancer.Settings
	Transport  settings.Transport

	reload           func() (*Config, error) // reads the configuration again
	cachedListErrors []error                 // the malformed fields of CachedList
	drainPeriod      time.Duration           // how long the listener stays open in a drain
	listWait         time.Duration           // how long a new process waits for its first list
}

// How long a new process waits for its first list before it accepts clients. An agent answers within
// milliseconds, and one that is down must not keep the node from serving. A list service that is polled
// may have nothing new to report.
const (
	pushedListWait = time.Second
	polledListWait = 250 * time.Millisecond
)

// Descriptor budget: what holds where the configuration gives none, and its bounds.
const (
	defaultSockets = 1024
	minSockets     = 64 // leaves room for clients and app servers
	maxSockets     = 1 << 20
)

// maxMemoryMB is the largest memory limit accepted, in MiB.
const maxMemoryMB = 1 << 20

// Transport defaults, where the settings are silent.
const (
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// LoadConfig reads the file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY, where set,
// override the file. getenv is os.Getenv, except in tests.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	c, err := readConfig(path, getenv)
	if err != nil {
		return nil, err
	}
	c.reload = func() (*Config, error) {
		return readConfig(path, withoutDiscovery(getenv))
	}
	return c, nil
}

// withoutDiscovery hides PROXY_DISCOVERY: the environment is that of the process's start, and would hide the
// address in a file that was replaced since.
func withoutDiscovery(getenv func(string) string) func(string) string {
	return func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}
}

func readConfig(path string, getenv func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return parseConfig(text, getenv)
}

// configFile is the configuration file as it is written.
type configFile struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	PeersAll   string `json:"peers_all"`
	Known      json.RawMessage
	Settings   json.RawMessage
}

// parseConfig parses and validates the configuration; an error names the field at fault.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	file.override(getenv)
	c := &Config{drainPeriod: drainListenPeriod}
	for _, parse := range []func(*Config) error{
		file.parseIdentity, file.parseLimits, file.parseSettings, file.parsePeers, file.parseCachedList,
	} {
		if err := parse(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// override replaces fields by the environment's values, where it has any.
func (file *configFile) override(getenv func(string) string) {
	for _, o := range []struct {
		variable string
		field    *string
	}{
		{"PROXY_NAME", &file.Name},
		{"PROXY_LISTEN", &file.Listen},
		{"PROXY_DISCOVERY", &file.Discovery},
	} {
		if value := getenv(o.variable); value != "" {
			*o.field = value
		}
	}
}

func (file *configFile) parseIdentity(c *Config) (err error) {
	if c.Name = file.Name; c.Name == "" {
		return errors.New("name: is empty")
	}
	if c.Listen, err = address("listen", file.Listen); err != nil {
		return err
	}
	if c.Discovery, err = address("discovery", file.Discovery); err != nil {
		return err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a 64-bit hex number", file.Seed)
	}
	return nil
}

func (file *configFile) parseLimits(c *Config) error {
	memory := file.Limits.MemoryMB
	if memory < 0 || memory > maxMemoryMB || math.IsNaN(memory) {
		return fmt.Errorf("limits.memory_mb: %v is out of range", memory)
	}
	c.MemoryMB = int(memory)
	if c.Sockets = int(file.Limits.Sockets); c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < minSockets || c.Sockets > maxSockets {
		return fmt.Errorf("limits.sockets: %v is out of range", file.Limits.Sockets)
	}
	return nil
}

func (file *configFile) parseSettings(c *Config) (err error) {
	if len(file.Settings) == 0 {
		return errors.New("settings: is missing")
	}
	if c.Settings, c.Transport, err = settings.Parse(file.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.listWait = pushedListWait
	if c.Settings.PollEndpoints {
		c.listWait = polledListWait
	}
	if c.Transport.ConnIdle <= 0 {
		c.Transport.ConnIdle = defaultConnIdle
	}
	if c.Transport.ConnectTimeout <= 0 {
		c.Transport.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

// parsePeers needs the settings.
func (file *configFile) parsePeers(c *Config) (err error) {
	if !c.Settings.Gossip || c.Settings.NodeCount <= 1 {
		return nil
	}
	if c.PeerListen, err = address("peer_listen", file.PeerListen); err != nil {
		return err
	}
	if len(file.Peers) != c.Settings.NodeCount {
		return fmt.Errorf("peers: %d addresses for %d instances", len(file.Peers), c.Settings.NodeCount)
	}
	for i, text := range file.Peers {
		peer, err := address(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return err
		}
		c.Peers = append(c.Peers, peer)
	}
	c.PeersAll, err = address("peers_all", file.PeersAll)
	return err
}

func (file *configFile) parseCachedList(c *Config) (err error) {
	if len(file.Known) == 0 || string(file.Known) == "null" {
		return nil
	}
	if c.CachedList, c.cachedListErrors, err = endpointlist.Parse(file.Known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// address parses an address and port; an error names the field.
func address(field, v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("%s: %w", field, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
