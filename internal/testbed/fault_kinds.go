package testbed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FaultKind is the name of a kind of fault in scenario files.
type FaultKind string

// Kinds of faults.
const (
	FaultKill         FaultKind = "kill"
	FaultRestart      FaultKind = "restart"
	FaultStall        FaultKind = "stall"
	FaultReload       FaultKind = "hup"
	FaultSlow         FaultKind = "slow"
	FaultHang         FaultKind = "hang"
	FaultError        FaultKind = "error"
	FaultReset        FaultKind = "reset"
	FaultMalformed    FaultKind = "spoil"
	FaultServerCrash  FaultKind = "dead"
	FaultDrain        FaultKind = "drain"
	FaultReplace      FaultKind = "replace"
	FaultCutZone      FaultKind = "cut-zone"
	FaultLoseZone     FaultKind = "lose-zone"
	FaultCutNode      FaultKind = "cut-node"
	FaultLink         FaultKind = "link"
	FaultPeerLoss     FaultKind = "peer-loss"
	FaultListDelay    FaultKind = "list-late"
	FaultListDown     FaultKind = "list-down"
	FaultListReset    FaultKind = "list-reset"
	FaultListSilent   FaultKind = "list-silent"
	FaultListEncoding FaultKind = "list-words"
	FaultListKill     FaultKind = "list-kill"
)

// faultTarget is the kind of object that a fault affects.
type faultTarget int

const (
	targetOther   faultTarget = iota // no numbered target, such as all watches or the link that a fault names
	targetNodes                      // individual edge nodes
	targetServers                    // individual app servers
	targetZone                       // a whole zone
)

// faultDescription describes a kind of fault.
type faultDescription struct {
	target      faultTarget
	needsRelays bool   // the fault needs the links to go through relays
	about       string // help text; words in backquotes are fields of a fault
}

// faultKinds describes the kinds of faults. A new kind must also be implemented in applyFault and checked in
// validateFault. To occur in sweeps it must be drawn in drawTimeline as well.
var faultKinds = map[FaultKind]faultDescription{
	FaultKill:         {targetNodes, false, "SIGKILL of a node; restarted after `for` under the same name"},
	FaultRestart:      {targetNodes, false, "SIGTERM of nodes, `step` apart; each is restarted when its process has exited"},
	FaultStall:        {targetNodes, false, "SIGSTOP of a node, SIGCONT after `for`"},
	FaultReload:       {targetNodes, false, "a node's configuration file is changed to name another discovery agent, then SIGHUP"},
	FaultSlow:         {targetServers, false, "an app server is `size` times slower"},
	FaultHang:         {targetServers, false, "an app server accepts requests and never responds"},
	FaultError:        {targetServers, false, "an app server responds to a share `size` of the requests with status 500"},
	FaultReset:        {targetServers, false, "an app server resets the connection instead of responding, for a share `size` of the requests"},
	FaultMalformed:    {targetServers, false, "a share `size` of an app server's responses is malformed"},
	FaultServerCrash:  {targetServers, false, "an app server resets its connections and refuses new ones; it returns in slow start"},
	FaultDrain:        {targetServers, false, "an app server drains for `for`, then is removed"},
	FaultReplace:      {targetServers, false, "an app server is removed and replaced at the same address by one with a new id, in slow start"},
	FaultCutZone:      {targetZone, true, "no packets between the zone and the other zones"},
	FaultLoseZone:     {targetZone, false, "the zone's app servers crash and return in slow start"},
	FaultCutNode:      {targetNodes, true, "no packets between a node and app servers or peers"},
	FaultLink:         {targetOther, true, "the link `from` one party `to` another, in that direction only: `does` is silence, reset, refuse, loss (share `size`), delay (`late`) or rate (`size` bytes a second)"},
	FaultPeerLoss:     {targetOther, false, "a share `size` of the datagrams between nodes is lost"},
	FaultListDelay:    {targetOther, false, "discovery sends changes with an additional delay of `late`"},
	FaultListDown:     {targetOther, false, "open watches receive no more data and agents accept no new ones"},
	FaultListReset:    {targetOther, false, "the open watches are reset"},
	FaultListSilent:   {targetOther, false, "open watches stay connected but receive no more data"},
	FaultListEncoding: {targetOther, false, "changes are encoded in an unusual or invalid form: `does` is indent (over many lines), trickle (in small chunks), half (truncated), noise (preceded by invalid bytes) or entry (with one malformed entry)"},
	FaultListKill:     {targetOther, false, "SIGKILL of the list service's leader, or of all replicas if `share` is 1; restarted after `for`"},
}

// FaultKinds returns a description of each kind of fault. Words in backquotes are the names of fields of a
// fault.
func FaultKinds() map[FaultKind]string {
	all := map[FaultKind]string{}
	for kind, description := range faultKinds {
		all[kind] = description.about
	}
	return all
}

// partyKind is the kind of an endpoint of a link, by its name in scenario files.
type partyKind string

// Kinds of parties.
const (
	partyClients partyKind = "clients" // all clients together
	partyNode    partyKind = "node"
	partyServer  partyKind = "server"
	partyAgent   partyKind = "agent"
)

// party is an endpoint of a link.
type party struct {
	kind   partyKind
	number int
}

// allClients is the party that represents all clients together.
var allClients = party{partyClients, 0}

func nodeParty(number int) party   { return party{partyNode, number} }
func serverParty(number int) party { return party{partyServer, number} }

// route identifies a relayed link by its two parties: from opens the connections, to accepts them.
type route struct{ from, to party }

// parties resolves a name in a scenario, such as "nodes" or "zone:a", to parties. A zone resolves to its
// nodes and its app servers. The result of "agent" has number 0, which applyLinkFault replaces by the number
// of the node.
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
	return nil, fmt.Errorf("unknown party %q, must be clients, nodes, node:N, servers, server:N, zone:Z or agent", name)
}

// partiesIn returns the parties of a kind in a zone, or in all zones if zone is "".
func (s *Scenario) partiesIn(zone string, kind partyKind, count int) (all []party) {
	for _, number := range s.Fleet.inZone(count, zone) {
		all = append(all, party{kind, number})
	}
	return all
}

// oneParty returns the party of a kind whose number is given as text. The number must be from 0 to count-1.
func oneParty(name string, kind partyKind, number string, count int) ([]party, error) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= count {
		return nil, fmt.Errorf("party %q: number must be between 0 and %d", name, count-1)
	}
	return []party{{kind, n}}, nil
}
