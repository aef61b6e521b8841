package testbed

import (
	"fmt"
	"strings"
	"time"
)

// injectFaults applies each fault event of the schedule at its time, until the run ends.
func (env *environment) injectFaults() {
	for _, e := range env.schedule.Faults {
		if d := e.At - env.now(); d > 0 && !env.sleep(d) {
			return
		}
		ft := &env.scenario.Faults[e.Fault]
		env.log.Info("fault injected", "at", e.At.Seconds(), "fault", ft.describe(e))
		// Applying a fault may block: a restart waits for the old process to exit. Later events must not wait
		// for it.
		env.goroutines.Go(func() {
			if err := env.applyFault(ft, e); err != nil {
				select {
				case <-env.done: // the run's end interrupts faults in progress
				default:
					env.fail(fmt.Errorf("fault %s at %v: %w", ft.describe(e), e.At, err))
				}
			}
		})
	}
}

// applyFault begins or ends a fault at the target of an event.
func (env *environment) applyFault(ft *Fault, e FaultEvent) error {
	switch {
	case strings.HasPrefix(string(ft.Kind), "list-"):
		return env.applyListFault(ft, e.End)
	case faultKinds[ft.Kind].needsRelays, ft.Kind == FaultPeerLoss:
		return env.applyNetworkFault(ft, e)
	case faultKinds[ft.Kind].target == targetNodes:
		return env.applyNodeFault(ft, env.nodes[e.Target], e.End)
	case faultKinds[ft.Kind].target == targetServers:
		return applyServerFault(ft, env.servers[e.Target], e.End)
	case ft.Kind == FaultLoseZone:
		return env.loseZone(ft.Zone, e.End)
	}
	return fmt.Errorf("fault kind %q is not implemented", ft.Kind)
}

// applyNodeFault begins or ends a fault at an edge node's process.
func (env *environment) applyNodeFault(ft *Fault, n *edgeNode, end bool) error {
	switch {
	case ft.Kind == FaultStall:
		return env.stall(n, !end)
	case ft.Kind == FaultKill && end:
		return env.startNode(n)
	case ft.Kind == FaultKill:
		return env.kill(n)
	case ft.Kind == FaultRestart && !end:
		return env.restart(n)
	case ft.Kind == FaultReload && !end:
		return env.moveDiscovery(n)
	}
	return nil // FaultRestart and FaultReload complete on their own and have no end to apply
}

// applyServerFault begins or ends a fault at an app server.
func applyServerFault(ft *Fault, s *appServer, end bool) error {
	switch ft.Kind {
	case FaultServerCrash:
		if end {
			return s.restart(false)
		}
		s.crash()
	case FaultDrain:
		if end {
			s.remove()
		} else {
			s.drain()
		}
	case FaultReplace:
		if !end {
			s.remove()
			return s.restart(true)
		}
	default:
		s.changeFaults(func(f *serverFaults, m *model) { f.set(ft, m, end) })
	}
	return nil
}

// set begins or ends a fault that changes how the server handles requests for as long as the fault lasts.
func (f *serverFaults) set(ft *Fault, m *model, end bool) {
	share := ft.Size
	if end {
		share = 0
	}
	switch ft.Kind {
	case FaultSlow:
		if m.slowdown = ft.Size; end {
			m.slowdown = 1
		}
	case FaultHang:
		f.hang = !end
	case FaultError:
		f.errors = share
	case FaultReset:
		f.resets = share
	case FaultMalformed:
		f.malformed = share
	}
}

// loseZone crashes the app servers of a zone, or restarts them when the fault ends.
func (env *environment) loseZone(zone string, end bool) error {
	for _, i := range env.scenario.Fleet.inZone(env.scenario.Fleet.Servers, zone) {
		if !end {
			env.servers[i].crash()
			continue
		}
		if err := env.servers[i].restart(false); err != nil {
			return err
		}
	}
	return nil
}

// applyNetworkFault begins or ends a fault of the TCP relays or of the UDP relay between nodes.
func (env *environment) applyNetworkFault(ft *Fault, e FaultEvent) error {
	switch ft.Kind {
	case FaultCutZone:
		inside := func(i int) bool { return env.scenario.Fleet.zoneOf(i) == ft.Zone }
		return env.setLinksCut(ft.Direction, !e.End, inside, inside)
	case FaultCutNode:
		return env.setLinksCut(ft.Direction, !e.End, func(i int) bool { return i == e.Target }, func(int) bool { return false })
	case FaultLink:
		return env.applyLinkFault(ft, e.End)
	}
	loss := ft.Size
	if e.End {
		loss = env.scenario.Fleet.PeerLoss
	}
	env.udp.setLoss(loss)
	return nil
}

// applyListFault begins or ends a fault of discovery or of the list service.
func (env *environment) applyListFault(ft *Fault, end bool) error {
	switch ft.Kind {
	case FaultListDelay:
		env.list.setExtraDelay(time.Duration(ft.Delay), end)
	case FaultListDown:
		env.list.setDown(!end)
	case FaultListReset, FaultListSilent:
		if !end {
			env.list.breakWatches(ft.Kind == FaultListSilent)
		}
	case FaultListEncoding:
		if env.list.setEncoding(ft.Effect); end {
			env.list.setEncoding("")
		}
	case FaultListKill:
		if end {
			return env.list.service.restartKilled()
		}
		return env.list.service.kill(ft.Share == 1)
	}
	return nil
}

// setLinksCut cuts or restores the links between the nodes and servers inside a group and those outside it.
// The direction is "out" (from inside to outside), "in" (from outside to inside), or both for any other
// value.
func (env *environment) setLinksCut(direction string, cut bool, nodeInside, serverInside func(int) bool) error {
	out, in := direction != "in", direction != "out"
	for k, r := range env.relays {
		if k.from.kind != partyNode || k.to.kind != partyServer {
			continue
		}
		n, s := nodeInside(k.from.number), serverInside(k.to.number)
		if n == s {
			continue
		}
		err := r.set(func(toServer, toNode *LinkState) {
			if n {
				toServer.Cut, toNode.Cut = cut && out, cut && in
			} else {
				toServer.Cut, toNode.Cut = cut && in, cut && out
			}
		})
		if err != nil {
			return err
		}
	}
	for i := range env.nodes {
		for j := range env.nodes {
			if nodeInside(i) && !nodeInside(j) {
				env.udp.set(i, j, func(l *LinkState) { l.Cut = cut && out })
				env.udp.set(j, i, func(l *LinkState) { l.Cut = cut && in })
			}
		}
	}
	return nil
}

// applyLinkFault begins or ends a FaultLink on the links between the parties that its From and To name.
// Silence, loss, delay and rate affect only the data sent from From to To, except that a silent TCP link also
// establishes no new connections. Reset and refuse affect the connections that From opens to To. Links
// between nodes carry datagrams: only silence, loss and delay affect them.
func (env *environment) applyLinkFault(ft *Fault, end bool) error {
	from, err := env.scenario.parties(ft.From)
	if err != nil {
		return err
	}
	to, err := env.scenario.parties(ft.To)
	if err != nil {
		return err
	}
	change := func(l *LinkState) {
		scale := 1.0
		if end {
			scale = 0
		}
		switch ft.Effect {
		case "silence":
			l.Cut = !end
		case "loss":
			l.Loss = scale * ft.Size
		case "delay":
			l.Delay = time.Duration(scale * float64(ft.Delay))
		case "rate":
			l.Rate = scale * ft.Size
		}
	}
	for _, a := range from {
		for _, b := range to {
			if b.kind == partyAgent {
				b.number = a.number
			}
			if a.kind == partyNode && b.kind == partyNode && a != b {
				env.udp.set(a.number, b.number, change)
			}
			forward, reverse := env.relays[route{a, b}], env.relays[route{b, a}]
			var err error
			switch {
			case forward != nil && (ft.Effect == "reset" || ft.Effect == "refuse"):
				forward.setFault(ft.Effect == "refuse" && !end, ft.Effect == "reset" && !end)
			case forward != nil:
				err = forward.set(func(out, _ *LinkState) { change(out) })
			case reverse != nil:
				err = reverse.set(func(_, in *LinkState) { change(in) })
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// describe returns a short label of a fault event for logs and reports: the kind, the target or zone, and
// "ends" if the event ends the fault.
func (ft *Fault) describe(e FaultEvent) string {
	var b strings.Builder
	b.WriteString(string(ft.Kind))
	if e.Target >= 0 {
		fmt.Fprintf(&b, " %d", e.Target)
	} else if ft.Zone != "" {
		b.WriteString(" " + ft.Zone)
	}
	if e.End {
		b.WriteString(" ends")
	}
	return b.String()
}
