package testbed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// faultTarget is what a fault is aimed at.
type faultTarget int

const (
	faultsAll     faultTarget = iota // everything of a kind at once
	faultsNodes                      // edge nodes, one by one
	faultsServers                    // app servers, one by one
	faultsZone                       // a zone as a whole
)

// faultKind is what there is to know of a kind of fault.
type faultKind struct {
	target faultTarget
	relays bool // the links must go through relays
	about  string
}

// faultKinds are the kinds of faults by the names that scenarios give them.
var faultKinds = map[string]faultKind{
	"kill":        {faultsNodes, false, "SIGKILL; started again after `for`, under the same name"},
	"restart":     {faultsNodes, false, "SIGTERM one after another, started again when it has ended"},
	"stall":       {faultsNodes, false, "SIGSTOP, SIGCONT after `for`"},
	"hup":         {faultsNodes, false, "a new configuration that moves discovery, then SIGHUP"},
	"slow":        {faultsServers, false, "`size` times slower"},
	"hang":        {faultsServers, false, "takes requests, answers none"},
	"error":       {faultsServers, false, "answers a share `size` with 500"},
	"reset":       {faultsServers, false, "resets a share `size` under the request"},
	"spoil":       {faultsServers, false, "spoils a share `size` of its answers"},
	"dead":        {faultsServers, false, "refuses connections and resets those it has; cold afterwards"},
	"drain":       {faultsServers, false, "drains for `for`, then is gone"},
	"replace":     {faultsServers, false, "gone, and a cold one with a new id at the same address"},
	"cut-zone":    {faultsZone, true, "no packet between the zone and the others"},
	"lose-zone":   {faultsZone, false, "the zone's app servers die and return cold"},
	"cut-node":    {faultsNodes, true, "no packet between a node and servers and peers"},
	"link":        {faultsAll, true, "the link `from` a party `to` another, that way alone: `does` silence, reset, refuse, loss (`size`), delay (`late`) or rate (`size` bytes a second)"},
	"peer-loss":   {faultsAll, false, "a share `size` of the datagrams is lost"},
	"list-late":   {faultsAll, false, "discovery tells `late` later"},
	"list-down":   {faultsAll, false, "agents stay silent and take no watch"},
	"list-reset":  {faultsAll, false, "the open watches are reset"},
	"list-silent": {faultsAll, false, "nothing comes on the open watches any more"},
	"list-words":  {faultsAll, false, "changes are told as `does` says: indent, over many lines; trickle, in small pieces; half, without an end; noise; entry, with a spoilt one beside"},
	"list-kill":   {faultsAll, false, "SIGKILL of the list service's leader, or of all replicas where `share` is 1; started again after `for`"},
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
