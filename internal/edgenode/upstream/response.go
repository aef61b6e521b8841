package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/decimal"
)

// Bounds of a response.
const (
	maxResponseBody     = 64 << 10                 // bytes (protocol: a body holds at most 64 KiB)
	maxResponse         = maxResponseBody + 32<<10 // bytes of a whole response: heads, chunk sizes, 1xx responses before it
	responseRestTimeout = 250 * time.Millisecond   // from a response's first bytes to its end: servers write it in one piece
)

var errResponseTooLong = errors.New("response is too long")

// Response is the whole response of an app server.
type Response struct {
	Body        []byte
	ContentType string
	LoadReport  *balancer.LoadReport // nil: it carried none
	Units       float64              // that the request counted in the end; 0: not given
	ConnectedAt time.Time            // when the connection that it came on was made; zero: there was no response
}

// SettledUnits is the true units of a request, 0 where they are not given or exceed what any request counts.
func (r *Response) SettledUnits(maxUnits float64) float64 {
	if maxUnits > 0 && r.Units > maxUnits {
		return 0
	}
	return r.Units
}

// responseReader reads what comes in on a connection, bounded for each response: in bytes, against heads and bodies
// without end, and in time, against half a response.
type responseReader struct {
	conn        net.Conn
	ctx         context.Context // of the exchange
	remaining   int             // bytes that the response may still take
	started     bool            // some of the response has come
	hasDeadline bool            // the rest of the response has a deadline of its own
	err         error           // how the connection failed
}

// reset prepares for a response.
func (in *responseReader) reset(ctx context.Context) {
	in.ctx, in.remaining, in.started = ctx, maxResponse, false
}

// Read reads from the connection within the bounds of the response.
func (in *responseReader) Read(p []byte) (int, error) {
	if in.remaining <= 0 {
		return 0, errResponseTooLong
	}
	if in.started && !in.hasDeadline { // most responses come whole in the first read
		in.setRestDeadline()
	}
	n, err := in.conn.Read(p[:min(len(p), in.remaining)])
	in.remaining -= n
	in.started = in.started || n > 0
	if err != nil {
		in.err = err
	}
	return n, err
}

// setRestDeadline bounds the time for the rest of the response. That a deadline can't be set means that the
// connection is closed, which the read reports.
func (in *responseReader) setRestDeadline() {
	in.hasDeadline = true
	_ = in.conn.SetReadDeadline(time.Now().Add(responseRestTimeout))
	if in.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
		_ = in.conn.SetReadDeadline(longAgo)
	}
}

// clearDeadline removes the deadline of the rest.
func (in *responseReader) clearDeadline() {
	if in.hasDeadline {
		in.hasDeadline = false
		_ = in.conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
	}
}

// failed tells how the reading of a response failed. One that came and can't be read is an error response: only a
// connection that broke is a reset, which hints at a server that has restarted.
func (in *responseReader) failed() balancer.Result {
	if in.err == nil || in.hasDeadline && errors.Is(in.err, os.ErrDeadlineExceeded) {
		return balancer.ErrorResponse
	}
	return balancer.Reset
}

// readResponse reads a whole response and tells whether the connection can be used again. A malformed response is not
// read to its end: its connection is closed instead.
func (c *conn) readResponse(req *http.Request) (r Response, result balancer.Result, reuse bool) {
	resp, err := c.readHead(req)
	if err != nil {
		return Response{}, c.reader.failed(), false
	}
	if resp.ContentLength > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	body, err := readResponseBody(resp)
	if err != nil {
		return Response{}, c.reader.failed(), false
	}
	if len(body) > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	c.reader.clearDeadline()
	// What follows the response belongs to no request: the next one would take it for its own.
	reuse = !resp.Close && c.buffered.Buffered() == 0
	return newResponse(resp, body), resultOf(resp), reuse
}

// readHead reads the head of the final response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearDeadline()
		c.reader.started = c.buffered.Buffered() > 0 // the final response may come later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	return resp, err
}

// readResponseBody reads a body to its end: its length, its last chunk or the end of its connection. A reset is none.
func readResponseBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

func newResponse(resp *http.Response, body []byte) Response {
	r := Response{Body: body, ContentType: resp.Header.Get("Content-Type")}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		r.LoadReport = parseLoadReport(text)
	}
	if units, ok := decimal.Parse(resp.Header.Get("X-Settled")); ok {
		r.Units = units
	}
	return r
}

// resultOf is the result that a response's status stands for (protocol, "Edge nodes to app servers").
func resultOf(resp *http.Response) balancer.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Never-Ran") == "1" {
			return balancer.Overloaded
		}
	}
	return balancer.ErrorResponse
}
