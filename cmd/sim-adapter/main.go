// Command sim-adapter hosts gateways on the simulator's wire: batches of events on
// standard input, one reply each on standard output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"opalhook/balancer"
	"opalhook/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}

// host is the state of the process: its instances and the reply being written.
type host struct {
	gates map[int]*balancer.Balancer
	now   time.Duration
	open  bool // inside a batch
	reply simwire.Reply
}

func run(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{gates: map[int]*balancer.Balancer{}}
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) && h.open {
			return fmt.Errorf("line %d: input ends inside a batch", r.Line())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.handle(ev)
			if err != nil {
				err = fmt.Errorf("line %d: %w", r.Line(), err)
			}
		}
		if err != nil {
			return err
		}
		if _, ok := ev.(simwire.Commit); ok {
			if _, err := w.Write(h.reply.Take()); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
			if err := w.Flush(); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
		}
	}
}

func (h *host) handle(ev any) error {
	switch e := ev.(type) {
	case simwire.Clock:
		if h.open {
			return errors.New("CLOCK inside a batch")
		}
		if e.Now < h.now {
			return errors.New("CLOCK goes backwards")
		}
		h.open, h.now = true, e.Now
		return nil
	}
	if !h.open {
		return errors.New("message outside a batch")
	}
	switch e := ev.(type) {
	case simwire.Commit:
		h.open = false
	case simwire.StartNode:
		g, err := balancer.New(e.Settings, e.Seed)
		if err != nil {
			return err
		}
		h.gates[e.Node] = g
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.Start(h.now, &h.reply) })
	case simwire.StopNode:
		if _, ok := h.gates[e.Node]; !ok {
			return fmt.Errorf("unknown instance %d", e.Node)
		}
		delete(h.gates, e.Node)
	case simwire.EndpointList:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.EndpointsUpdated(h.now, e.Kind, e.Endpoints, &h.reply) })
	case simwire.RequestArrived:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.RequestArrived(h.now, e.Request, &h.reply) })
	case simwire.ResponseStarted:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.ResponseStarted(h.now, e.ID, e.Attempt, &h.reply) })
	case simwire.AttemptFinished:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.AttemptFinished(h.now, e.Outcome, &h.reply) })
	case simwire.ClientGone:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.ClientGone(h.now, e.ID, &h.reply) })
	case simwire.TimerFired:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.TimerFired(h.now, e.Token, &h.reply) })
	case simwire.HealthChecked:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.HealthChecked(h.now, e.EndpointID, e.Result, e.LoadReport, &h.reply) })
	case simwire.PeerMessage:
		return h.deliver(e.Node, func(g *balancer.Balancer) { g.PeerMessage(h.now, e.From, e.Payload, &h.reply) })
	case simwire.CounterRead:
		return h.deliver(e.Node, func(*balancer.Balancer) {})
	}
	return nil
}

// deliver hands one event to an instance; a panic of the module becomes BROKEN.
func (h *host) deliver(inst int, f func(*balancer.Balancer)) error {
	g, ok := h.gates[inst]
	if !ok {
		return fmt.Errorf("unknown instance %d", inst)
	}
	h.reply.Node = inst
	defer func() {
		if p := recover(); p != nil {
			h.reply.Crash(fmt.Sprint(p))
		}
	}()
	f(g)
	return nil
}
