package edgenode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"opalhook/balancer"
)

// Bounds of an answer.
const (
	maxReply  = 64 << 10               // bytes that the body of an answer may hold
	maxAnswer = maxReply + 32<<10      // bytes of a whole answer, with heads, chunk sizes and 1xx answers ahead
	restLimit = 250 * time.Millisecond // from an answer's first bytes to its end: servers write it in one piece
)

var errTooLong = errors.New("answer too long")

// reply is an app server's whole answer.
type reply struct {
	body        []byte
	contentType string
	load        *balancer.LoadReport // nil: it carried no report
	units       float64              // that the request counted in the end; 0: not told
	since       time.Time            // when the connection that it came on was made; zero: there was no answer
}

// settled is the true units of a request, 0 where they are not told or are more than any
// request counts, which a spoilt figure is.
func (r *reply) settled(most float64) float64 {
	if most > 0 && r.units > most {
		return 0
	}
	return r.units
}

// answerReader reads what comes in on a connection, bounded for each answer: by bytes against
// heads and bodies without end, and by time against half an answer.
type answerReader struct {
	conn        net.Conn
	ctx         context.Context // of the exchange
	left        int             // bytes that the answer may still take
	begun       bool            // some of the answer has come
	hasDeadline bool            // the rest has a deadline of its own
	err         error           // how the connection failed
}

// reset prepares for an answer.
func (in *answerReader) reset(ctx context.Context) {
	in.ctx, in.left, in.begun = ctx, maxAnswer, false
}

// Read reads from the connection within the bounds of the answer.
func (in *answerReader) Read(p []byte) (int, error) {
	if in.left <= 0 {
		return 0, errTooLong
	}
	if in.begun && !in.hasDeadline { // most answers come whole in the first read
		in.hasDeadline = true
		in.conn.SetReadDeadline(time.Now().Add(restLimit))
		if in.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
			in.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	n, err := in.conn.Read(p[:min(len(p), in.left)])
	in.left -= n
	in.begun = in.begun || n > 0
	if err != nil {
		in.err = err
	}
	return n, err
}

// clearDeadline takes the deadline of a rest off.
func (in *answerReader) clearDeadline() {
	if in.hasDeadline {
		in.hasDeadline = false
		in.conn.SetReadDeadline(time.Time{})
	}
}

// read reads the whole answer and tells whether the connection can be used again.
// An answer that came and can't be read is an error: only a connection that broke is
// a reset, which hints at a server that has restarted. Nothing of a spoilt answer is
// read to its end: the connection is closed instead.
func (c *conn) read(req *http.Request) (rep reply, result balancer.Result, reuse bool) {
	failure := func() (reply, balancer.Result, bool) {
		if c.in.err == nil || c.in.hasDeadline && errors.Is(c.in.err, os.ErrDeadlineExceeded) {
			return reply{}, balancer.ErrorResponse, false
		}
		return reply{}, balancer.Reset, false
	}
	resp, err := http.ReadResponse(c.br, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.in.clearDeadline()
		c.in.begun = c.br.Buffered() > 0 // the answer that counts may come later
		resp, err = http.ReadResponse(c.br, req)
	}
	if err != nil {
		return failure()
	}
	if resp.ContentLength > maxReply {
		return reply{}, balancer.ErrorResponse, false
	}
	var body []byte
	if resp.ContentLength < 0 { // it ends with its last chunk, or with its connection: a reset is no end
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	} else {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	}
	if err != nil {
		return failure()
	}
	if len(body) > maxReply {
		return reply{}, balancer.ErrorResponse, false
	}
	rep = reply{body: body, contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		rep.load = parseLoad(text)
	}
	if units, ok := decimal(resp.Header.Get("X-Settled")); ok {
		rep.units = units
	}
	c.in.clearDeadline()
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	reuse = !resp.Close && c.br.Buffered() == 0
	switch {
	case resp.StatusCode == http.StatusOK:
		return rep, balancer.OK, reuse
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return rep, balancer.Overloaded, reuse
	}
	return rep, balancer.ErrorResponse, reuse
}
