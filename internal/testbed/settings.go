package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// nodeConfig is the file that PROXY_CONFIG names, in the platform's form.
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

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type object = map[string]any

// settings is the object that the platform hands a node.
func (s *Scenario) settings(node int) object {
	f, l := &s.Fleet, &s.Load
	var lanes, tariffs []object
	for _, c := range s.Classes {
		effect := "retryable"
		if c.Unsafe {
			effect = "fragile"
		}
		lanes = append(lanes, object{
			"name": c.Name, "idempotency": effect, "keyScope": "all", "memorySpan": 5.0, "deadline": l.Deadline.s(),
			"onTime": l.Aim.s(), "lateWorth": 0.2, "streamed": false, "worth": c.Worth,
		})
	}
	for _, p := range s.Plans {
		tariffs = append(tariffs, object{
			"name": p.Name, "quotaRate": p.Rate, "peakUnits": p.Burst, "neverOverRate": p.CeilingRate,
			"hardBurst": p.CeilingBurst, "capSlack": p.Slack, "worthFactor": p.Price, "extraWorth": p.OverWorth, "overCost": p.OverCost, "maxOut": 0,
		})
	}
	mode := "automatic"
	if f.ListAsked {
		mode = "subscribe"
	}
	return object{
		"clients": object{"marksRetry": l.MarkRetry}, "domainType": "gate",
		"familyInfo": object{"counter": false, "inboxPerS": f.InboxPerS, "meter": 0.0, "postPaid": true, "unitsTop": mostUnits},
		"feedback":   object{"fields": []string{"outstanding"}, "how": "answers"}, "flavors": []string{"std-4c"},
		"goal":      object{"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1},
		"instances": f.Nodes, "me": node, "lanes": lanes, "localities": f.Zones, "zone": f.zoneOf(node),
		"penalties": object{"crossZone": 0.0091, "lateFail": 0.08, "peer": 0.03, "waste": 0.05, "handshake": 0.01},
		"policyLimits": object{
			"cancel": true, "connIdle": f.ConnIdle.s(), "connectTimeout": 0.25, "cpuUsPerS": 500000, "maxRetryAfter": 0.5,
			"mostTries": 5, "openCap": 20000, "parallelTries": true, "peers": !f.NoPeers, "probes": false, "retryAfter": true, "streamsPerConn": 1,
		},
		"registryMode": mode,
		"rules": object{
			"answerSlack": answerSlack.Seconds(), "askWithin": askWithin.Seconds(), "coldFrom": f.ColdFrom, "drainGrace": drainGrace.Seconds(),
			"fallMultiple": f.FallMultiple, "overloadFor": f.FallFor.s(), "rampTime": f.Ramp.s(),
		},
		"stage": 0, "tariffs": tariffs, "tick": 0.002, "tiers": []string{"devis-pool"}, "weights": "rough",
	}
}

// writeConfig writes a node's configuration and returns its path. A node that reads the file
// sees the old one or the new one, whole.
func (w *world) writeConfig(n *nodeState) (string, error) {
	n.config.Lock()
	defer n.config.Unlock()
	m := w.list.known()
	if w.s.Fleet.StaleKnown && w.now() > 0 {
		m = w.list.first
	}
	c := nodeConfig{
		Name: n.name, Listen: n.listen, Discovery: n.discovery, Seed: fmt.Sprintf("%016x", w.ids.Uint64()),
		Limits: limits{1, w.s.Fleet.MemoryMB, w.s.Fleet.Sockets}, PeerListen: n.peer, Peers: w.udp.peers, PeersAll: w.udp.all,
		Known: w.seenFrom(n.number, m), Settings: w.s.settings(n.number),
	}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	path := filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("configuration of %s: %w", n.name, err)
	}
	w.told(n.number, c.Known)
	if w.s.Fleet.StaleKnown && !w.list.isDown() { // what its agent has counts from a process's first moment
		whole, _ := w.list.since(0, true)
		w.list.nodeHas(n, whole)
	}
	return path, nil
}
