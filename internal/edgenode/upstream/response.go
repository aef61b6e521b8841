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

// Limits on a response.
const (
	maxResponseBody     = 64 << 10                 // bytes; the protocol's limit on a body
	maxResponse         = maxResponseBody + 32<<10 // bytes, with headers, chunk sizes and 1xx responses
	responseRestTimeout = 250 * time.Millisecond   // from first byte to last; servers write them at once
)

var errResponseTooLong = errors.New("response exceeds the size limit")

// Response is a complete response of an app server.
type Response struct {
	Body        []byte
	ContentType string
	LoadReport  *balancer.LoadReport // nil: the response has none
	Units       float64              // actual units of the request; 0: not reported
	ConnectedAt time.Time            // when its connection was opened; zero: no response was received
}

// SettledUnits returns the actual units of a request. It returns 0 if the server did not report them, or
// reported more than maxUnits, the most that any request can use. A maxUnits of 0 means no limit.
func (r *Response) SettledUnits(maxUnits float64) float64 {
	if maxUnits > 0 && r.Units > maxUnits {
		return 0
	}
	return r.Units
}

// responseReader reads from a connection and limits each response: in size, against endless headers and
// bodies, and in time, against incomplete responses.
type responseReader struct {
	conn        net.Conn
	ctx         context.Context // context of the exchange
	remaining   int             // bytes left of the response's size limit
	started     bool            // part of the response was received
	hasDeadline bool            // the deadline for the rest of the response is set
	err         error           // read error of the connection; nil: none
}

// reset prepares the reader for the next response.
func (r *responseReader) reset(ctx context.Context) {
	r.ctx, r.remaining, r.started = ctx, maxResponse, false
}

// Read implements io.Reader. It returns errResponseTooLong once the response has reached its size limit.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errResponseTooLong
	}
	if r.started && !r.hasDeadline { // most responses arrive completely in the first read
		r.setRestDeadline()
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.started = r.started || n > 0
	if err != nil {
		r.err = err
	}
	return n, err
}

// setRestDeadline sets the deadline for the rest of the response. An error is ignored: it means that the
// connection is closed, which the read reports.
func (r *responseReader) setRestDeadline() {
	r.hasDeadline = true
	_ = r.conn.SetReadDeadline(time.Now().Add(responseRestTimeout))
	if r.ctx.Err() != nil { // this deadline may have replaced that of interrupt
		_ = r.conn.SetReadDeadline(expiredDeadline)
	}
}

// clearDeadline removes the deadline for the rest of the response.
func (r *responseReader) clearDeadline() {
	if r.hasDeadline {
		r.hasDeadline = false
		_ = r.conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// failureResult returns the result of an attempt whose response could not be read. A response that is
// malformed, too long or not complete in time is an error response. Only a broken connection is a reset,
// which suggests that the server has restarted.
func (r *responseReader) failureResult() balancer.Result {
	if r.err == nil || r.hasDeadline && errors.Is(r.err, os.ErrDeadlineExceeded) {
		return balancer.ErrorResponse
	}
	return balancer.Reset
}

// readResponse reads a complete response. reuse reports whether the connection can be used again. A malformed
// response is not read to its end, and its connection must be closed.
func (c *conn) readResponse(req *http.Request) (r Response, result balancer.Result, reuse bool) {
	resp, err := c.readHeaders(req)
	if err != nil {
		return Response{}, c.reader.failureResult(), false
	}
	if resp.ContentLength > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	body, err := readResponseBody(resp)
	if err != nil {
		return Response{}, c.reader.failureResult(), false
	}
	if len(body) > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	c.reader.clearDeadline()
	// Data after the response belongs to no request. The next exchange would read it as its response.
	reuse = !resp.Close && c.buffered.Buffered() == 0
	return newResponse(resp, body), resultOf(resp), reuse
}

// readHeaders reads the headers of the final response and skips 1xx responses before it.
func (c *conn) readHeaders(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearDeadline()
		c.reader.started = c.buffered.Buffered() > 0 // the final response may begin much later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	return resp, err
}

// readResponseBody reads a body to its end, which its length, its last chunk or the orderly end of the
// connection marks. A reset is an error.
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

// resultOf returns the result that the protocol assigns to a response's status. A 503 or 504 proves that the
// request did not run only if X-Never-Ran is 1.
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
