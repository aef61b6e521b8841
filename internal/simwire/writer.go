package simwire

import (
	"encoding/base64"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"opalhook/balancer"
)

// Reply gathers the lines of one reply. The actions that it takes are those of one node at a time. The zero value is an
// empty reply.
type Reply struct {
	Node int // the simulator's number of the node that acts; to be set before a node gets an event
	buf  []byte
}

var _ balancer.Actions = (*Reply)(nil)

// Take returns the reply with its last line and empties it; the slice is valid until the next action.
func (r *Reply) Take() []byte {
	b := append(r.buf, "FINISHED\n"...)
	r.buf = r.buf[:0]
	return b
}

// begin begins a line with the message's name and the node.
func (r *Reply) begin(name string) {
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

func (r *Reply) end() { r.buf = append(r.buf, '\n') }

// SendAttempt implements [balancer.Actions]. The simulator sends at once: a time to send by has no place in it.
func (r *Reply) SendAttempt(id, server string, timeout, _ time.Duration) {
	r.begin("CALL_OUT")
	r.str(id)
	r.str(server)
	r.dur(timeout)
	r.end()
}

// Reject implements [balancer.Actions].
func (r *Reply) Reject(id string, retryAfter time.Duration) {
	r.begin("TURN_AWAY")
	r.str(id)
	r.dur(retryAfter)
	r.end()
}

// Fail implements [balancer.Actions].
func (r *Reply) Fail(id string) {
	r.begin("SURRENDER")
	r.str(id)
	r.end()
}

// CancelAttempt implements [balancer.Actions].
func (r *Reply) CancelAttempt(id string, attempt int) {
	r.begin("WITHDRAW")
	r.str(id)
	r.int(int64(attempt))
	r.end()
}

// SetTimer implements [balancer.Actions].
func (r *Reply) SetTimer(token uint64, after time.Duration) {
	r.begin("SET_ALARM")
	r.int(int64(token))
	r.dur(after)
	r.end()
}

// HealthCheck implements [balancer.Actions].
func (r *Reply) HealthCheck(server string) {
	r.begin("PROBE")
	r.str(server)
	r.end()
}

// SendPeer implements [balancer.Actions].
func (r *Reply) SendPeer(peer int, message []byte) {
	r.begin("SIGNAL")
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
	r.end()
}

// WatchEndpoints implements [balancer.Actions].
func (r *Reply) WatchEndpoints(on bool) {
	r.begin("STREAM_CHANGES")
	if on {
		r.int(1)
	} else {
		r.int(0)
	}
	r.end()
}

// Log implements [balancer.Actions]. The message and its attributes are one line of text; the simulator knows no levels.
func (r *Reply) Log(_ slog.Level, message string, attributes ...slog.Attr) {
	var text strings.Builder
	text.WriteString(message)
	for _, attribute := range attributes {
		text.WriteString(" " + attribute.String())
	}
	r.begin("PRINT")
	r.str(oneLine(text.String()))
	r.end()
}

// Crash reports that the balancer panicked.
func (r *Reply) Crash(text string) {
	r.begin("BROKEN")
	r.str(oneLine(text))
	r.end()
}

// oneLine is a text with each run of white space as one space.
func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}
