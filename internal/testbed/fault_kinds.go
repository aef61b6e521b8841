package testbed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FaultKind is a kind of fault by the name that scenarios give it.
type FaultKind string

// Kinds of faults.
const (
	FaultKill       FaultKind = "kill"
	FaultRestart    FaultKind = "restart"
	FaultStall      FaultKind = "stall"
	FaultReload     FaultKind = "hup"
	FaultSlow       FaultKind = "slow"
	FaultHang       FaultKind = "hang"
	FaultError      FaultKind = "error"
	FaultReset      FaultKind = "reset"
	FaultSpoil      FaultKind = "spoil"
	FaultDead       FaultKind = "dead"
	FaultDrain      FaultKind = "drain"
	FaultReplace    FaultKind = "replace"
	FaultCutZone    FaultKind = "cut-zone"
	FaultLoseZone   FaultKind = "lose-zone"
	FaultCutNode    FaultKind = "cut-node"
	FaultLink       FaultKind = "link"
	FaultPeerLoss   FaultKind = "peer-loss"
	FaultListLate   FaultKind = "list-late"
	FaultListDown   FaultKind = "list-down"
	FaultListReset  FaultKind = "list-reset"
	FaultListSilent FaultKind = "list-silent"
	FaultListWords  FaultKind = "list-words"
	FaultListKill   FaultKind = "list-kill"
)

// faultTarget is what a fault is aimed at.
type faultTarget int

const (
	faultsAll     faultTarget = iota // everything of a kind at once
	faultsNodes                      // edge nodes, one by one
	faultsServers                    // app servers, one by one
	faultsZone                       // a zone as a whole
)

// faultDescription is what there is to know of a kind of fault.
type faultDescription struct {
	target faultTarget
	relays bool // the links must go through relays
	about  string
}

// faultKinds describes the kinds of faults. A new kind is also carried out in applyFault, checked where scenarios are
// validated and, to occur in sweeps, generated.
var faultKinds = map[FaultKind]faultDescription{
	FaultKill:       {faultsNodes, false, "SIGKILL of a node; started again after `for`, under the same name"},
	FaultRestart:    {faultsNodes, false, "SIGTERM of nodes one after another, each started again when it has ended"},
	FaultStall:      {faultsNodes, false, "SIGSTOP of a node, SIGCONT after `for`"},
	FaultReload:     {faultsNodes, false, "a new configuration that moves a node to another discovery agent, then SIGHUP"},
	FaultSlow:       {faultsServers, false, "an app server is `size` times slower"},
	FaultHang:       {faultsServers, false, "an app server accepts requests and answers none"},
	FaultError:      {faultsServers, false, "an app server answers a share `size` of the requests with 500"},
	FaultReset:      {faultsServers, false, "an app server resets the connection under a share `size` of the requests"},
	FaultSpoil:      {faultsServers, false, "an app server sends a share `size` of its responses malformed"},
	FaultDead:       {faultsServers, false, "an app server refuses connections and resets those it has; in slow start afterwards"},
	FaultDrain:      {faultsServers, false, "an app server drains for `for`, then is removed"},
	FaultReplace:    {faultsServers, false, "an app server is removed, and one in slow start with a new id stands at its address"},
	FaultCutZone:    {faultsZone, true, "no packet between the zone and the others"},
	FaultLoseZone:   {faultsZone, false, "the zone's app servers crash and return in slow start"},
	FaultCutNode:    {faultsNodes, true, "no packet between a node and servers and peers"},
	FaultLink:       {faultsAll, true, "the link `from` a party `to` another, that way alone: `does` silence, reset, refuse, loss (`size`), delay (`late`) or rate (`size` bytes a second)"},
	FaultPeerLoss:   {faultsAll, false, "a share `size` of the datagrams is lost"},
	FaultListLate:   {faultsAll, false, "discovery tells of changes `late` later"},
	FaultListDown:   {faultsAll, false, "agents stay silent and take no watch"},
	FaultListReset:  {faultsAll, false, "the open watches are reset"},
	FaultListSilent: {faultsAll, false, "nothing comes on the open watches any more"},
	FaultListWords:  {faultsAll, false, "changes are told as `does` says: indent, over many lines; trickle, in small pieces; half, without an end; noise; entry, with a spoilt one beside"},
	FaultListKill:   {faultsAll, false, "SIGKILL of the list service's leader, or of all replicas where `share` is 1; started again after `for`"},
}

// FaultKinds lists the kinds of faults, with what each does; words in backquotes are a fault's fields.
func FaultKinds() map[FaultKind]string {
	all := map[FaultKind]string{}
	for kind, description := range faultKinds {
		all[kind] = description.about
	}
	return all
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
