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

// Config is the configuration of an edge node. [LoadConfig] returns it.
type Config struct {
	Name      string
	Listen    netip.AddrPort // address on which clients connect
	Discovery netip.AddrPort // address of the discovery agent or list service
	Seed      uint64         // seed of the balancer's and the follower's random choices
	MemoryMB  int            // memory that the node may use, in MiB; 0: no limit
	Sockets   int            // number of file descriptors that the process may open

	PeerListen netip.AddrPort   // UDP address for messages of peers; invalid if edge nodes exchange none
	Peers      []netip.AddrPort // UDP addresses of all edge nodes, including this one, by node index
	PeersAll   netip.AddrPort   // UDP address that reaches every edge node

	CachedList endpointlist.List // endpoint list that the node last received, used until discovery sends one
	Settings   balancer.Settings
	Transport  settings.Transport

	reload           func() (*Config, error) // reads the configuration file again
	cachedListErrors []error                 // errors in single entries of CachedList
	drainPeriod      time.Duration           // time for which the listener stays open in a drain
	listWait         time.Duration           // longest wait for the first list from discovery
}

// Time limits of the wait for the first list from discovery, during which a new process accepts no clients.
// An agent, which pushes lists, answers within milliseconds. The wait is limited, because an agent that is
// down must not keep the node from serving. The wait for a polled list service is shorter, because the
// service may have nothing new to report.
const (
	pushedListWait = time.Second
	polledListWait = 250 * time.Millisecond
)

// Default and bounds of limits.sockets, the number of file descriptors.
const (
	defaultSockets = 1024
	minSockets     = 64 // leaves descriptors for both clients and app servers
	maxSockets     = 1 << 20
)

// maxMemoryMB is the largest value accepted for limits.memory_mb, in MiB.
const maxMemoryMB = 1 << 20

// Transport defaults, used where the settings give no positive value.
const (
	defaultConnIdle       = 30 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// LoadConfig reads the configuration file that the environment variable PROXY_CONFIG names. The variables
// PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY, if set, override fields of the file. getenv is [os.Getenv],
// except in tests.
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

// withoutDiscovery returns getenv without PROXY_DISCOVERY. A reload must not apply that variable: it has kept
// its value since the process started, and would override the address in a file that was replaced since then.
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

// configFile is the JSON form of the configuration file.
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

// parseConfig parses and validates the text of a configuration file. Its errors name the invalid field.
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

// override replaces fields by the values of environment variables that are set.
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

// parseIdentity parses the name, the addresses for clients and of discovery, and the seed.
func (file *configFile) parseIdentity(c *Config) (err error) {
	if c.Name = file.Name; c.Name == "" {
		return errors.New("name: must not be empty")
	}
	if c.Listen, err = parseAddrPort("listen", file.Listen); err != nil {
		return err
	}
	if c.Discovery, err = parseAddrPort("discovery", file.Discovery); err != nil {
		return err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: must be a 64-bit hexadecimal number, got %q", file.Seed)
	}
	return nil
}

func (file *configFile) parseLimits(c *Config) error {
	memory := file.Limits.MemoryMB
	if memory < 0 || memory > maxMemoryMB || math.IsNaN(memory) {
		return fmt.Errorf("limits.memory_mb: must be between 0 and %d, got %v", maxMemoryMB, memory)
	}
	c.MemoryMB = int(memory)
	if c.Sockets = int(file.Limits.Sockets); c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < minSockets || c.Sockets > maxSockets {
		return fmt.Errorf("limits.sockets: must be between %d and %d, got %v",
			minSockets, maxSockets, file.Limits.Sockets)
	}
	return nil
}

func (file *configFile) parseSettings(c *Config) (err error) {
	if len(file.Settings) == 0 {
		return errors.New("settings: must be present")
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

// parsePeers parses the addresses of peers if the settings let edge nodes exchange messages. It runs after
// parseSettings.
func (file *configFile) parsePeers(c *Config) (err error) {
	if !c.Settings.Gossip || c.Settings.NodeCount <= 1 {
		return nil
	}
	if c.PeerListen, err = parseAddrPort("peer_listen", file.PeerListen); err != nil {
		return err
	}
	if len(file.Peers) != c.Settings.NodeCount {
		return fmt.Errorf("peers: must have one address per edge node (%d), got %d",
			c.Settings.NodeCount, len(file.Peers))
	}
	for i, text := range file.Peers {
		peer, err := parseAddrPort(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return err
		}
		c.Peers = append(c.Peers, peer)
	}
	c.PeersAll, err = parseAddrPort("peers_all", file.PeersAll)
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

// parseAddrPort parses an IP address and port. Its errors name the field and contain the value.
func parseAddrPort(field, value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return addr, fmt.Errorf("%s: must be an IP address and port, got %q: %w", field, value, err)
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), nil
}
