package simwire

import (
	"encoding/base64"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"opalhook/balancer"
)

// Reply collects the lines of the reply to one batch. It implements [balancer.Actions] for one node at a
// time. The zero value is an empty reply.
type Reply struct {
	Node int // simulator's number of the acting node; must be set before the node gets an event
	buf  []byte
}

var _ balancer.Actions = (*Reply)(nil)

// Take returns the reply including its final line, and empties it. The slice is valid until the next action.
func (r *Reply) Take() []byte {
	b := append(r.buf, "FINISHED\n"...)
	r.buf = r.buf[:0]
	return b
}

// beginLine begins a line with the message's name and the node.
func (r *Reply) beginLine(name string) {
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendInt(r.buf, int64(r.Node), 10)
}

func (r *Reply) str(s string) {
	r.buf = append(r.buf, ' ')
	r.buf = append(r.buf, s...)
}

func (r *Reply) int(x int64) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendInt(r.buf, x, 10)
}

// dur adds a time in seconds, rounded to microseconds.
func (r *Reply) dur(d time.Duration) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendFloat(r.buf, d.Round(time.Microsecond).Seconds(), 'f', -1, 64)
}

func (r *Reply) endLine() { r.buf = append(r.buf, '\n') }

// SendAttempt implements [balancer.Actions]. It ignores the last parameter, the time by which the request has
// to be written, because the simulator writes requests immediately.
func (r *Reply) SendAttempt(id, endpointID string, timeout, _ time.Duration) {
	r.beginLine("CALL_OUT")
	r.str(id)
	r.str(endpointID)
	r.dur(timeout)
	r.endLine()
}

// Reject implements [balancer.Actions].
func (r *Reply) Reject(id string, retryAfter time.Duration) {
	r.beginLine("TURN_AWAY")
	r.str(id)
	r.dur(retryAfter)
	r.endLine()
}

// Fail implements [balancer.Actions].
func (r *Reply) Fail(id string) {
	r.beginLine("SURRENDER")
	r.str(id)
	r.endLine()
}

// CancelAttempt implements [balancer.Actions].
func (r *Reply) CancelAttempt(id string, attempt int) {
	r.beginLine("WITHDRAW")
	r.str(id)
	r.int(int64(attempt))
	r.endLine()
}

// SetTimer implements [balancer.Actions].
func (r *Reply) SetTimer(token uint64, after time.Duration) {
	r.beginLine("SET_ALARM")
	r.int(int64(token))
	r.dur(after)
	r.endLine()
}

// HealthCheck implements [balancer.Actions].
func (r *Reply) HealthCheck(endpointID string) {
	r.beginLine("PROBE")
	r.str(endpointID)
	r.endLine()
}

// SendPeer implements [balancer.Actions].
func (r *Reply) SendPeer(peer int, message []byte) {
	r.beginLine("SIGNAL")
	if peer < 0 {
		r.str("all")
	} else {
		r.int(int64(peer))
	}
	if len(message) == 0 {
		r.str(absent)
	} else {
		r.buf = append(r.buf, ' ')
		r.buf = base64.StdEncoding.AppendEncode(r.buf, message)
	}
	r.endLine()
}

// WatchEndpoints implements [balancer.Actions].
func (r *Reply) WatchEndpoints(on bool) {
	r.beginLine("STREAM_CHANGES")
	if on {
		r.int(1)
	} else {
		r.int(0)
	}
	r.endLine()
}

// Log implements [balancer.Actions]. It writes the message and its attributes as one line of text. The
// simulator's protocol has no log levels.
func (r *Reply) Log(_ slog.Level, message string, attributes ...slog.Attr) {
	var text strings.Builder
	text.WriteString(message)
	for _, attribute := range attributes {
		text.WriteString(" " + attribute.String())
	}
	r.beginLine("PRINT")
	r.str(oneLine(text.String()))
	r.endLine()
}

// Crash reports a panic of the balancer. The text is the panic's value.
func (r *Reply) Crash(text string) {
	r.beginLine("BROKEN")
	r.str(oneLine(text))
	r.endLine()
}

// oneLine returns a text with each sequence of white space replaced by one space.
func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}
