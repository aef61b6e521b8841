package testbed

import (
	"fmt"
	"strings"
	"time"
)

// playFaults carries out the schedule's faults, each when it is due.
func (env *environment) playFaults() {
	for _, e := range env.schedule.Faults {
		if d := e.At - env.now(); d > 0 && !env.sleep(d) {
			return
		}
		ft := &env.scenario.Faults[e.Fault]
		env.log.Info("fault", "at", e.At.Seconds(), "what", ft.describe(e))
		// A restart waits for a process to end: the time line goes on.
		env.work.Go(func() {
			if err := env.applyFault(ft, e); err != nil {
				select {
				case <-env.over: // what is under way as the run ends is ended, too
				default:
					env.fail(fmt.Errorf("fault %s at %v: %w", ft.describe(e), e.At, err))
				}
			}
		})
	}
}

// applyFault begins or ends a fault at one target.
func (env *environment) applyFault(ft *Fault, e FaultEvent) error {
	var n *edgeNode
	var s *appServer
	switch faultKinds[ft.Kind].target {
	case "nodes":
		n = env.nodes[e.Target]
	case "servers":
		s = env.servers[e.Target]
	}
	share := func(set func(*serverFaults, float64)) {
		size := ft.Size
		if e.End {
			size = 0
		}
		s.fault(func(f *serverFaults, _ *model) { set(f, size) })
	}
	switch ft.Kind {
	case "kill":
		if e.End {
			return env.startNode(n)
		}
		return env.kill(n)
	case "restart":
		if e.End {
			return nil
		}
		return env.restart(n)
	case "stall":
		return env.stall(n, !e.End)
	case "hup":
		if e.End {
			return nil
		}
		return env.moveDiscovery(n)
	case "slow":
		s.fault(func(_ *serverFaults, m *model) {
			if m.slow = ft.Size; e.End {
				m.slow = 1
			}
		})
	case "hang":
		s.fault(func(f *serverFaults, _ *model) { f.hang = !e.End })
	case "error":
		share(func(f *serverFaults, x float64) { f.errors = x })
	case "reset":
		share(func(f *serverFaults, x float64) { f.resets = x })
	case "spoil":
		share(func(f *serverFaults, x float64) { f.malformed = x })
	case "dead":
		if e.End {
			return s.restart(false)
		}
		s.crash()
	case "drain":
		if e.End {
			s.remove()
		} else {
			s.drain()
		}
	case "replace":
		if !e.End {
			s.remove()
			return s.restart(true)
		}
	case "lose-zone":
		for _, i := range env.scenario.Fleet.inZone(env.scenario.Fleet.Servers, ft.Zone) {
			if !e.End {
				env.servers[i].crash()
			} else if err := env.servers[i].restart(false); err != nil {
				return err
			}
		}
	case "cut-zone":
		inside := func(i int) bool { return env.scenario.Fleet.zoneOf(i) == ft.Zone }
		return env.cut(ft.Way, !e.End, inside, inside)
	case "cut-node":
		return env.cut(ft.Way, !e.End, func(i int) bool { return i == e.Target }, func(int) bool { return false })
	case "link":
		return env.applyLinkFault(ft, e.End)
	case "peer-loss":
		loss := ft.Size
		if e.End {
			loss = env.scenario.Fleet.PeerLoss
		}
		env.udp.setLoss(loss)
	case "list-late":
		env.list.mu.Lock()
		if env.list.extraDelay = time.Duration(ft.Delay); e.End {
			env.list.extraDelay = 0
		}
		env.list.mu.Unlock()
	case "list-down":
		env.list.setDown(!e.End)
	case "list-reset", "list-silent":
		if !e.End {
			env.list.breakWatches(ft.Kind == "list-silent")
		}
	case "list-words":
		if env.list.setEncoding(ft.Does); e.End {
			env.list.setEncoding("")
		}
	case "list-kill":
		if e.End {
			return env.list.service.restartKilled()
		}
		return env.list.service.kill(ft.Share == 1)
	}
	return nil
}

// cut changes the links between what is inside and what is outside: out is from inside to
// outside, in the other way.
func (env *environment) cut(way string, cut bool, nodeInside, serverInside func(int) bool) error {
	out, in := way != "in", way != "out"
	for k, r := range env.relays {
		if k[0].kind != "node" || k[1].kind != "server" {
			continue
		}
		n, s := nodeInside(k[0].number), serverInside(k[1].number)
		if n == s {
			continue
		}
		err := r.set(func(there, back *LinkState) {
			// A relay's one way is from the node to the server.
			if n {
				there.Cut, back.Cut = cut && out, cut && in
			} else {
				there.Cut, back.Cut = cut && in, cut && out
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

// applyLinkFault begins or ends a fault of links: what goes from one party to the other, and for
// resets and refusals the connections between them.
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
		x := 1.0
		if end {
			x = 0
		}
		switch ft.Does {
		case "silence":
			l.Cut = !end
		case "loss":
			l.Loss = x * ft.Size
		case "delay":
			l.Delay = time.Duration(x * float64(ft.Delay))
		case "rate":
			l.Rate = x * ft.Size
		}
	}
	for _, a := range from {
		for _, b := range to {
			if b.kind == "agent" {
				b.number = a.number
			}
			if a.kind == "node" && b.kind == "node" && a != b {
				env.udp.set(a.number, b.number, change)
			}
			there, back := env.relays[[2]party{a, b}], env.relays[[2]party{b, a}]
			var err error
			switch {
			case there != nil && (ft.Does == "reset" || ft.Does == "refuse"):
				there.setFault(ft.Does == "refuse" && !end, ft.Does == "reset" && !end)
			case there != nil:
				err = there.set(func(out, _ *LinkState) { change(out) })
			case back != nil:
				err = back.set(func(_, in *LinkState) { change(in) })
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// describe names what a fault does, for logs and charts.
func (ft *Fault) describe(e FaultEvent) string {
	var b strings.Builder
	b.WriteString(ft.Kind)
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
