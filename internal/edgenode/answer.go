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
	maxResponseBody     = 64 << 10                 // bytes that the body of an answer may hold
	maxResponse         = maxResponseBody + 32<<10 // bytes of a whole answer, with heads, chunk sizes and 1xx answers ahead
	responseRestTimeout = 250 * time.Millisecond   // from an answer's first bytes to its end: servers write it in one piece
)

var errResponseTooLong = errors.New("answer too long")

// reply is an app server's whole answer.
type serverResponse struct {
	body        []byte
	contentType string
	loadReport  *balancer.LoadReport // nil: it carried no report
	units       float64              // that the request counted in the end; 0: not told
	connectedAt time.Time            // when the connection that it came on was made; zero: there was no answer
}

// settledUnits is the true units of a request, 0 where they are not told or are more than any
// request counts, which a spoilt figure is.
func (r *serverResponse) settledUnits(most float64) float64 {
	if most > 0 && r.units > most {
		return 0
	}
	return r.units
}

// responseReader reads what comes in on a connection, bounded for each answer: by bytes against
// heads and bodies without end, and by time against half an answer.
type responseReader struct {
	conn        net.Conn
	ctx         context.Context // of the exchange
	remaining   int             // bytes that the answer may still take
	started     bool            // some of the answer has come
	hasDeadline bool            // the rest has a deadline of its own
	err         error           // how the connection failed
}

// reset prepares for an answer.
func (in *responseReader) reset(ctx context.Context) {
	in.ctx, in.remaining, in.started = ctx, maxResponse, false
}

// Read reads from the connection within the bounds of the answer.
func (in *responseReader) Read(p []byte) (int, error) {
	if in.remaining <= 0 {
		return 0, errResponseTooLong
	}
	if in.started && !in.hasDeadline { // most answers come whole in the first read
		in.hasDeadline = true
		in.conn.SetReadDeadline(time.Now().Add(responseRestTimeout))
		if in.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
			in.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	n, err := in.conn.Read(p[:min(len(p), in.remaining)])
	in.remaining -= n
	in.started = in.started || n > 0
	if err != nil {
		in.err = err
	}
	return n, err
}

// clearDeadline takes the deadline of a rest off.
func (in *responseReader) clearDeadline() {
	if in.hasDeadline {
		in.hasDeadline = false
		in.conn.SetReadDeadline(time.Time{})
	}
}

// readResponse reads the whole answer and tells whether the connection can be used again.
// An answer that came and can't be read is an error: only a connection that broke is
// a reset, which hints at a server that has restarted. Nothing of a spoilt answer is
// read to its end: the connection is closed instead.
func (c *conn) readResponse(req *http.Request) (rep serverResponse, result balancer.Result, reuse bool) {
	failure := func() (serverResponse, balancer.Result, bool) {
		if c.reader.err == nil || c.reader.hasDeadline && errors.Is(c.reader.err, os.ErrDeadlineExceeded) {
			return serverResponse{}, balancer.ErrorResponse, false
		}
		return serverResponse{}, balancer.Reset, false
	}
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearDeadline()
		c.reader.started = c.buffered.Buffered() > 0 // the answer that counts may come later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	if err != nil {
		return failure()
	}
	if resp.ContentLength > maxResponseBody {
		return serverResponse{}, balancer.ErrorResponse, false
	}
	var body []byte
	if resp.ContentLength < 0 { // it ends with its last chunk, or with its connection: a reset is no end
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	} else {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	}
	if err != nil {
		return failure()
	}
	if len(body) > maxResponseBody {
		return serverResponse{}, balancer.ErrorResponse, false
	}
	rep = serverResponse{body: body, contentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		rep.loadReport = parseLoadReport(text)
	}
	if units, ok := parseDecimal(resp.Header.Get("X-Settled")); ok {
		rep.units = units
	}
	c.reader.clearDeadline()
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	reuse = !resp.Close && c.buffered.Buffered() == 0
	switch {
	case resp.StatusCode == http.StatusOK:
		return rep, balancer.OK, reuse
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return rep, balancer.Overloaded, reuse
	}
	return rep, balancer.ErrorResponse, reuse
}
