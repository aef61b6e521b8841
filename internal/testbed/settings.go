package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// nodeConfig is the content of the configuration file that PROXY_CONFIG names, in the platform's format.
type nodeConfig struct {
	Name       string      `json:"name"`
	Listen     string      `json:"listen"`
	Discovery  string      `json:"discovery"`
	Seed       string      `json:"seed"`
	Limits     limits      `json:"limits"`
	PeerListen string      `json:"peer_listen"`
	Peers      []string    `json:"peers"`
	PeersAll   string      `json:"peers_all"`
	Known      listMessage `json:"known"`
	Settings   any         `json:"settings"`
}

// limits are the resource limits of a node.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// object is a JSON object.
type object = map[string]any

// settings returns the settings object that the platform passes to a node.
func (s *Scenario) settings(node int) object {
	f, l := &s.Fleet, &s.Load
	var classes, plans []object
	for _, c := range s.Classes {
		idempotency := "retryable"
		if c.NonIdempotent {
			idempotency = "fragile"
		}
		classes = append(classes, object{
			"name": c.Name, "idempotency": idempotency, "keyScope": "all", "memorySpan": 5.0, "deadline": l.Deadline.s(),
			"onTime": l.LatencyObjective.s(), "lateWorth": 0.2, "streamed": false, "worth": c.PriorityWeight,
		})
	}
	for _, p := range s.Plans {
		plans = append(plans, object{
			"name": p.Name, "quotaRate": p.Rate, "peakUnits": p.Burst, "neverOverRate": p.HardLimitRate,
			"hardBurst": p.HardLimitBurst, "capSlack": p.HardLimitSlack, "worthFactor": p.WeightFactor, "extraWorth": p.OverQuotaValue, "overCost": p.OverQuotaCost, "maxOut": 0,
		})
	}
	mode := "automatic"
	if f.ListPolled {
		mode = "subscribe"
	}
	return object{
		"clients": object{"marksRetry": l.MarkRetry}, "domainType": "gate",
		"familyInfo": object{"counter": false, "inboxPerS": f.PeerMessagesPerSecond, "meter": 0.0, "postPaid": true, "unitsTop": maxUnits},
		"feedback":   object{"fields": []string{"outstanding"}, "how": "answers"}, "flavors": []string{"std-4c"},
		"goal":      object{"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1},
		"instances": f.Nodes, "me": node, "lanes": classes, "localities": f.Zones, "zone": f.zoneOf(node),
		"penalties": object{"crossZone": 0.0091, "lateFail": 0.08, "peer": 0.03, "waste": 0.05, "handshake": 0.01},
		"policyLimits": object{
			"cancel": true, "connIdle": f.ConnIdle.s(), "connectTimeout": 0.25, "cpuUsPerS": 500000, "maxRetryAfter": 0.5,
			"mostTries": 5, "openCap": 20000, "parallelTries": true, "peers": !f.NoGossip, "probes": false, "retryAfter": true, "streamsPerConn": 1,
		},
		"registryMode": mode,
		"rules": object{
			"answerSlack": responseSlack.Seconds(), "askWithin": pollInterval.Seconds(), "coldFrom": f.SlowStartInitialFraction, "drainGrace": drainGrace.Seconds(),
			"fallMultiple": f.OverloadFactor, "overloadFor": f.OverloadWindow.s(), "rampTime": f.SlowStartDuration.s(),
		},
		"stage": 0, "tariffs": plans, "tick": 0.002, "tiers": []string{"devis-pool"}, "weights": "rough",
	}
}

// writeConfig writes the configuration file of a node and returns its path. The file is replaced atomically,
// so that the node never reads a partly written one.
func (env *environment) writeConfig(n *edgeNode) (string, error) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	m := env.list.nodeStartList()
	if env.scenario.Fleet.StaleStartList && env.now() > 0 {
		m = env.list.listAtRunStart
	}
	c := nodeConfig{
		Name: n.name, Listen: n.listen, Discovery: n.discovery, Seed: fmt.Sprintf("%016x", env.ids.Uint64()),
		Limits: limits{1, env.scenario.Fleet.MemoryMB, env.scenario.Fleet.Sockets}, PeerListen: n.peer, Peers: env.udp.peerAddrs, PeersAll: env.udp.broadcastAddr,
		Known: env.withNodeAddresses(n.number, m), Settings: env.scenario.settings(n.number),
	}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	path := filepath.Join(env.dir, n.name+".json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	env.recordDelivered(n.number, c.Known)
	if env.scenario.Fleet.StaleStartList && !env.list.isDown() {
		// The agent has the current list. It counts as delivered to the new process after the grace periods.
		snapshot, _ := env.list.changesSince(0, true)
		env.list.markDeliveredTo(n, snapshot)
	}
	return path, nil
}
