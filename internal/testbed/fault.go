package testbed

import (
	"fmt"
	"strings"
	"time"
)

// playFaults carries out the schedule's faults, each when it is due.
func (w *world) playFaults() {
	for _, e := range w.d.Faults {
		if d := e.At - w.now(); d > 0 && !w.sleep(d) {
			return
		}
		ft := &w.s.Faults[e.Fault]
		w.log.Info("fault", "at", e.At.Seconds(), "what", ft.describe(e))
		// A restart waits for a process to end: the time line goes on.
		w.work.Go(func() {
			if err := w.applyFault(ft, e); err != nil {
				select {
				case <-w.over: // what is under way as the run ends is ended, too
				default:
					w.fail(fmt.Errorf("fault %s at %v: %w", ft.describe(e), e.At, err))
				}
			}
		})
	}
}

// applyFault begins or ends a fault at one target.
func (w *world) applyFault(ft *Fault, e Event) error {
	var n *nodeState
	var s *appServer
	switch faultKinds[ft.Kind].target {
	case "nodes":
		n = w.nodes[e.Target]
	case "servers":
		s = w.servers[e.Target]
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
			return w.startNode(n)
		}
		return w.kill(n)
	case "restart":
		if e.End {
			return nil
		}
		return w.restart(n)
	case "stall":
		return w.stall(n, !e.End)
	case "hup":
		if e.End {
			return nil
		}
		return w.move(n)
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
		share(func(f *serverFaults, x float64) { f.bad = x })
	case "dead":
		if e.End {
			return s.revive(false)
		}
		s.die()
	case "drain":
		if e.End {
			s.gone()
		} else {
			s.drain()
		}
	case "replace":
		if !e.End {
			s.gone()
			return s.revive(true)
		}
	case "lose-zone":
		for _, i := range w.s.Fleet.inZone(w.s.Fleet.Servers, ft.Zone) {
			if !e.End {
				w.servers[i].die()
			} else if err := w.servers[i].revive(false); err != nil {
				return err
			}
		}
	case "cut-zone":
		inside := func(i int) bool { return w.s.Fleet.zoneOf(i) == ft.Zone }
		return w.cut(ft.Way, !e.End, inside, inside)
	case "cut-node":
		return w.cut(ft.Way, !e.End, func(i int) bool { return i == e.Target }, func(int) bool { return false })
	case "link":
		return w.applyLinkFault(ft, e.End)
	case "peer-loss":
		loss := ft.Size
		if e.End {
			loss = w.s.Fleet.PeerLoss
		}
		w.udp.setLoss(loss)
	case "list-late":
		w.list.mu.Lock()
		if w.list.late = time.Duration(ft.Late); e.End {
			w.list.late = 0
		}
		w.list.mu.Unlock()
	case "list-down":
		w.list.setDown(!e.End)
	case "list-reset", "list-silent":
		if !e.End {
			w.list.disturb(ft.Kind == "list-silent")
		}
	case "list-words":
		if w.list.word(ft.Does); e.End {
			w.list.word("")
		}
	case "list-kill":
		if e.End {
			return w.list.service.revive()
		}
		return w.list.service.kill(ft.Share == 1)
	}
	return nil
}

// cut changes the links between what is inside and what is outside: out is from inside to
// outside, in the other way.
func (w *world) cut(way string, cut bool, nodeInside, serverInside func(int) bool) error {
	out, in := way != "in", way != "out"
	for k, r := range w.relays {
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
	for i := range w.nodes {
		for j := range w.nodes {
			if nodeInside(i) && !nodeInside(j) {
				w.udp.set(i, j, func(l *LinkState) { l.Cut = cut && out })
				w.udp.set(j, i, func(l *LinkState) { l.Cut = cut && in })
			}
		}
	}
	return nil
}

// applyLinkFault begins or ends a fault of links: what goes from one party to the other, and for
// resets and refusals the connections between them.
func (w *world) applyLinkFault(ft *Fault, end bool) error {
	from, err := w.s.parties(ft.From)
	if err != nil {
		return err
	}
	to, err := w.s.parties(ft.To)
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
			l.Delay = time.Duration(x * float64(ft.Late))
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
				w.udp.set(a.number, b.number, change)
			}
			there, back := w.relays[[2]party{a, b}], w.relays[[2]party{b, a}]
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

// describe names what a fault does, for logs and pictures.
func (ft *Fault) describe(e Event) string {
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
