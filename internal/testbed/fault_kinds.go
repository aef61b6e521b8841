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

// partyKind is what may be at an end of a link, as scenarios name it.
type partyKind string

// Kinds of parties.
const (
	partyClients partyKind = "clients" // all of them as one
	partyNode    partyKind = "node"
	partyServer  partyKind = "server"
	partyAgent   partyKind = "agent"
)

// party is an end of a link.
type party struct {
	kind   partyKind
	number int
}

// allClients is the party that all clients are together.
var allClients = party{partyClients, 0}

func nodeParty(number int) party   { return party{partyNode, number} }
func serverParty(number int) party { return party{partyServer, number} }

// route is the way from one party to another, which opens the connections.
type route struct{ from, to party }

// parties lists who a name in a scenario stands for. A zone is its nodes and its servers.
func (s *Scenario) parties(name string) ([]party, error) {
	what, arg, _ := strings.Cut(name, ":")
	switch what {
	case "clients":
		return []party{allClients}, nil
	case "agent":
		return []party{{partyAgent, 0}}, nil
	case "nodes":
		return s.partiesIn("", partyNode, s.Fleet.Nodes), nil
	case "servers":
		return s.partiesIn("", partyServer, s.Fleet.Servers), nil
	case "zone":
		if slices.Contains(s.Fleet.Zones, arg) {
			return append(s.partiesIn(arg, partyNode, s.Fleet.Nodes), s.partiesIn(arg, partyServer, s.Fleet.Servers)...), nil
		}
	case "node":
		return oneParty(name, partyNode, arg, s.Fleet.Nodes)
	case "server":
		return oneParty(name, partyServer, arg, s.Fleet.Servers)
	}
	return nil, fmt.Errorf("%q names no party", name)
}

// partiesIn lists the parties of a kind in a zone, of all zones where it is "".
func (s *Scenario) partiesIn(zone string, kind partyKind, count int) (all []party) {
	for _, number := range s.Fleet.inZone(count, zone) {
		all = append(all, party{kind, number})
	}
	return all
}

// oneParty is the party of a kind with a number below count.
func oneParty(name string, kind partyKind, number string, count int) ([]party, error) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= count {
		return nil, fmt.Errorf("%q names no party", name)
	}
	return []party{{kind, n}}, nil
}
