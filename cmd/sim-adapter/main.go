// Command sim-adapter runs balancers for the simulator. It reads batches of events from standard input and
// writes one reply for each batch to standard output. The balancers choose all actions in the replies.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"opalhook/balancer"
	"opalhook/internal/settings"
	"opalhook/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}

// replyBuffer is the size of the output buffer, in bytes.
const replyBuffer = 1 << 16

// Errors for messages in the wrong order and for messages to nodes that are not running.
var (
	errClockInBatch   = errors.New("CLOCK inside a batch")
	errClockBackwards = errors.New("CLOCK goes backwards")
	errOutsideBatch   = errors.New("message outside a batch")
	errEndsInBatch    = errors.New("input ends inside a batch")
	errUnknownNode    = errors.New("unknown node")
)

// run replies to each batch of the input. It returns nil if the input ends between two batches.
func run(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := bufio.NewWriterSize(out, replyBuffer)
	h := host{nodes: map[int]*balancer.Balancer{}}
	for {
		event, err := r.Next()
		if errors.Is(err, io.EOF) {
			return h.end(r.Line())
		}
		if err != nil {
			return err
		}
		if err := h.handle(event); err != nil {
			return &simwire.LineError{Line: r.Line(), Err: err}
		}
		if _, ok := event.(simwire.Commit); !ok {
			continue
		}
		if err := writeReply(w, &h.reply); err != nil {
			return err
		}
	}
}

// writeReply writes and flushes the reply to a batch.
func writeReply(w *bufio.Writer, reply *simwire.Reply) error {
	_, _ = w.Write(reply.Take()) // Flush returns its error
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

// host runs the balancers of several nodes.
type host struct {
	nodes   map[int]*balancer.Balancer // by the simulator's number of the node
	now     time.Duration              // time of the current batch, since the simulation's start
	inBatch bool
	reply   simwire.Reply // reply to the current batch
}

// end returns an error if the input ends inside a batch. line is the number of the last line.
func (h *host) end(line int) error {
	if h.inBatch {
		return &simwire.LineError{Line: line, Err: errEndsInBatch}
	}
	return nil
}

// handle processes one event. It returns an error if the event is not allowed at this point of the input.
func (h *host) handle(event simwire.Event) error {
	if e, ok := event.(simwire.Clock); ok {
		return h.begin(e.Now)
	}
	if !h.inBatch {
		return errOutsideBatch
	}
	switch e := event.(type) {
	case simwire.Commit:
		h.inBatch = false
		return nil
	case simwire.StartNode:
		return h.start(e)
	case simwire.StopNode:
		return h.stop(e.Node)
	case simwire.NodeEvent:
		return h.deliver(e)
	}
	return fmt.Errorf("unknown event %T", event)
}

// begin begins a batch, whose time must not be before that of the previous one.
func (h *host) begin(now time.Duration) error {
	if h.inBatch {
		return errClockInBatch
	}
	if now < h.now {
		return fmt.Errorf("%w from %v to %v", errClockBackwards, h.now, now)
	}
	h.inBatch, h.now = true, now
	return nil
}

// start creates and starts the balancer of a node. It replaces an earlier one with the same number.
func (h *host) start(e simwire.StartNode) error {
	b, err := balancer.New(e.Settings, e.Seed)
	if err != nil {
		return settings.PlatformError(err)
	}
	h.nodes[e.Node] = b
	h.guard(e.Node, func() { b.Start(h.now, &h.reply) })
	return nil
}

// stop removes the balancer of a node, which gets no further events.
func (h *host) stop(node int) error {
	if _, ok := h.nodes[node]; !ok {
		return fmt.Errorf("%w %d", errUnknownNode, node)
	}
	delete(h.nodes, node)
	return nil
}

// deliver passes an event to its node.
func (h *host) deliver(e simwire.NodeEvent) error {
	b, ok := h.nodes[e.NodeNumber()]
	if !ok {
		return fmt.Errorf("%w %d", errUnknownNode, e.NodeNumber())
	}
	h.guard(e.NodeNumber(), func() { dispatch(b, h.now, e, &h.reply) })
	return nil
}

// guard calls code, which runs the balancer of a node, and reports a panic in the reply.
func (h *host) guard(node int, code func()) {
	h.reply.Node = node
	defer func() {
		if p := recover(); p != nil {
			h.reply.Crash(fmt.Sprint(p))
		}
	}()
	code()
}

// dispatch calls the balancer's method for an event.
func dispatch(b *balancer.Balancer, now time.Duration, event simwire.NodeEvent, out balancer.Actions) {
	switch e := event.(type) {
	case simwire.EndpointList:
		b.EndpointsUpdated(now, e.Kind, e.Endpoints, out)
	case simwire.RequestArrived:
		b.RequestArrived(now, e.Request, out)
	case simwire.ResponseStarted:
		b.ResponseStarted(now, e.ID, e.Attempt, out)
	case simwire.AttemptFinished:
		b.AttemptFinished(now, e.Outcome, out)
	case simwire.ClientGone:
		b.ClientDisconnected(now, e.ID, out)
	case simwire.TimerFired:
		b.TimerFired(now, e.Token, out)
	case simwire.HealthChecked:
		b.HealthChecked(now, e.EndpointID, e.Result, e.LoadReport, out)
	case simwire.PeerMessage:
		b.PeerMessage(now, e.From, e.Payload, out)
	case simwire.CounterRead: // the balancer does not use the counter
	}
}
