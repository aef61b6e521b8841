package testbed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Kinds of faults: what they are aimed at, and whether the links must go through relays.
var faultKinds = map[string]struct {
	target string
	relays bool
	about  string
}{
	"kill":        {"nodes", false, "SIGKILL; started again after `for`, under the same name"},
	"restart":     {"nodes", false, "SIGTERM one after another, started again when it has ended"},
	"stall":       {"nodes", false, "SIGSTOP, SIGCONT after `for`"},
	"hup":         {"nodes", false, "a new configuration that moves discovery, then SIGHUP"},
	"slow":        {"servers", false, "`size` times slower"},
	"hang":        {"servers", false, "takes requests, answers none"},
	"error":       {"servers", false, "answers a share `size` with 500"},
	"reset":       {"servers", false, "resets a share `size` under the request"},
	"spoil":       {"servers", false, "spoils a share `size` of its answers"},
	"dead":        {"servers", false, "refuses connections and resets those it has; cold afterwards"},
	"drain":       {"servers", false, "drains for `for`, then is gone"},
	"replace":     {"servers", false, "gone, and a cold one with a new id at the same address"},
	"cut-zone":    {"zone", true, "no packet between the zone and the others"},
	"lose-zone":   {"zone", false, "the zone's app servers die and return cold"},
	"cut-node":    {"nodes", true, "no packet between a node and servers and peers"},
	"link":        {"all", true, "the link `from` a party `to` another, that way alone: `does` silence, reset, refuse, loss (`size`), delay (`late`) or rate (`size` bytes a second)"},
	"peer-loss":   {"all", false, "a share `size` of the datagrams is lost"},
	"list-late":   {"all", false, "discovery tells `late` later"},
	"list-down":   {"all", false, "agents stay silent and take no watch"},
	"list-reset":  {"all", false, "the open watches are reset"},
	"list-silent": {"all", false, "nothing comes on the open watches any more"},
	"list-words":  {"all", false, "changes are told as `does` says: indent, over many lines; trickle, in small pieces; half, without an end; noise; entry, with a spoilt one beside"},
	"list-kill":   {"all", false, "SIGKILL of the list service's leader, or of all replicas where `share` is 1; started again after `for`"},
}

// party is an end of a link.
type party struct {
	kind   string // clients, node, server, agent
	number int
}

// parties lists who a name in a scenario stands for. A zone is its nodes and its servers.
func (s *Scenario) parties(name string) ([]party, error) {
	kind, arg, _ := strings.Cut(name, ":")
	all := func(kind string, n int, zone string) (ps []party) {
		for _, i := range s.Fleet.inZone(n, zone) {
			ps = append(ps, party{kind, i})
		}
		return ps
	}
	switch kind {
	case "clients", "agent":
		return []party{{kind, 0}}, nil
	case "nodes":
		return all("node", s.Fleet.Nodes, ""), nil
	case "servers":
		return all("server", s.Fleet.Servers, ""), nil
	case "zone":
		if slices.Contains(s.Fleet.Zones, arg) {
			return append(all("node", s.Fleet.Nodes, arg), all("server", s.Fleet.Servers, arg)...), nil
		}
	case "node", "server":
		most := map[string]int{"node": s.Fleet.Nodes, "server": s.Fleet.Servers}[kind]
		if n, err := strconv.Atoi(arg); err == nil && n >= 0 && n < most {
			return []party{{kind, n}}, nil
		}
	}
	return nil, fmt.Errorf("%q names no party", name)
}
