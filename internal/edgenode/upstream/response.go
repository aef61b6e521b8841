package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/decimal"
	"opalhook/internal/edgenode/httphead"
	"opalhook/internal/edgenode/memorybudget"
)

// Limits on a response.
const (
	maxResponseBody     = 64 << 10                 // bytes; the protocol's limit on a body
	maxResponseHead     = 32 << 10                 // bytes; also of each 1xx response
	maxResponse         = maxResponseBody + 32<<10 // bytes, with headers, chunk sizes and 1xx responses
	uncountedMemory     = 2 << 10                  // bytes; less memory of a response is not counted
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

	memory int                  // bytes of memory that the body occupies
	budget *memorybudget.Budget // budget of which they are a part
}

// Release gives the memory of the response back to the budget of its pool. It must be called once the response
// is not used any more, and only once.
func (r *Response) Release() {
	if r.memory > 0 {
		r.budget.Release(r.memory)
	}
}

// Size returns the memory that the response occupies, in bytes.
func (r *Response) Size() int { return len(r.Body) + len(r.ContentType) }

// SettledUnits returns the actual units of a request. It returns 0 if the server did not report them, or
// reported more than maxUnits, the most that any request can use. A maxUnits of 0 means no limit.
func (r *Response) SettledUnits(maxUnits float64) float64 {
	if maxUnits > 0 && r.Units > maxUnits {
		return 0
	}
	return r.Units
}

// responseReader reads from a connection and limits each response: in size, against endless headers and
// bodies, and in time, against incomplete responses. It holds heads back until they are complete.
type responseReader struct {
	conn        net.Conn
	ctx         context.Context      // context of the exchange
	budget      *memorybudget.Budget // budget of the pool
	held        int                  // bytes of memory acquired from the budget
	buffer      httphead.Buffer      // received bytes that were not passed on yet
	inHead      bool                 // a head is being read
	remaining   int                  // bytes left of the response's size limit
	started     bool                 // part of the response was received
	hasDeadline bool                 // the deadline for the rest of the response is set
	err         error                // read error of the connection; nil: none
}

// reset prepares the reader for the next response.
func (r *responseReader) reset(ctx context.Context) {
	r.ctx, r.remaining, r.started = ctx, maxResponse, false
	r.startHead()
}

// startHead prepares the reader for the head of a response.
func (r *responseReader) startHead() {
	r.inHead = true
	r.release()
	r.buffer.StartHead(maxResponse) // more than maxResponseHead, so that no incomplete head is passed on
}

// endHead prepares the reader for the body of a response.
func (r *responseReader) endHead() {
	r.inHead = false
	r.buffer.EndHead()
}

// Read implements io.Reader. It returns errResponseTooLong once the response or its head has reached its size
// limit.
func (r *responseReader) Read(p []byte) (int, error) {
	for {
		if r.inHead {
			if err := r.holdHead(); err != nil {
				return 0, err
			}
		}
		if n := r.buffer.Next(p); n > 0 {
			return n, nil
		}
		if !r.inHead {
			return r.receive(p)
		}
		if r.buffer.Len() >= maxResponseHead {
			return 0, errResponseTooLong
		}
		n, err := r.receive(p)
		r.buffer.Receive(p[:n])
		if err != nil {
			return 0, err
		}
	}
}

// holdHead acquires memory for a head: as much as it may need while it is incomplete, and as much as its
// parser needs once it is complete.
func (r *responseReader) holdHead() error {
	bytes := r.buffer.ParserMemory()
	if r.buffer.Size()+r.buffer.Passed() > uncountedMemory {
		bytes = max(bytes, maxResponseHead)
	}
	if bytes <= max(r.held, uncountedMemory) {
		return nil
	}
	r.release()
	return r.hold(bytes)
}

// hold acquires memory for a part of the response. The wait for it does not count as time of the server.
func (r *responseReader) hold(bytes int) (err error) {
	r.clearDeadline()
	if r.held, err = r.budget.Acquire(r.ctx, bytes); err != nil {
		r.err = err
	}
	return err
}

// release gives the acquired memory back.
func (r *responseReader) release() {
	if r.held > 0 {
		r.budget.Release(r.held)
		r.held = 0
	}
}

// receive reads from the connection.
func (r *responseReader) receive(p []byte) (int, error) {
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
	defer c.reader.release()
	resp, err := c.readHeaders(req)
	if err != nil {
		return Response{}, c.reader.failureResult(), false
	}
	r, result = newResponse(resp), resultOf(resp)
	resp.Header, resp.Trailer = nil, nil // take far more memory than the text of the head
	c.reader.release()
	if resp.ContentLength > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	if r.Body, err = c.readBody(resp, len(r.ContentType)); err != nil {
		return Response{}, c.reader.failureResult(), false
	}
	if len(r.Body) > maxResponseBody {
		return Response{}, balancer.ErrorResponse, false
	}
	c.reader.clearDeadline()
	following := c.following()
	if result == balancer.OK && following == otherBytes {
		return Response{}, balancer.ErrorResponse, false
	}
	r.memory, r.budget = c.reader.held, c.reader.budget
	c.reader.held = 0
	// Data after the response belongs to no request. The next exchange would read it as its response.
	reuse = !resp.Close && following == nothing
	return r, result, reuse
}

// readBody acquires the memory for a body and for the fields that are kept of the head, and reads the body to its
// end, which its length, its last chunk or the orderly end of the connection marks. A reset is an error.
func (c *conn) readBody(resp *http.Response, fieldMemory int) ([]byte, error) {
	size := int(resp.ContentLength)
	if size < 0 {
		size = maxResponseBody
	}
	if size+fieldMemory > uncountedMemory {
		if err := c.reader.hold(size + fieldMemory); err != nil {
			return nil, err
		}
	}
	if resp.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	}
	body := make([]byte, size)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readHeaders reads the headers of the final response and skips 1xx responses before it.
func (c *conn) readHeaders(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearDeadline()
		c.reader.started = c.hasBuffered() // the final response may begin much later
		c.reader.startHead()
		resp, err = http.ReadResponse(c.buffered, req)
	}
	c.reader.endHead()
	return resp, err
}

// continuation is what has been received behind a response.
type continuation int

const (
	nothing       continuation = iota // no bytes, as it should be
	otherResponse                     // a further response, which begins where the response ends
	otherBytes                        // bytes that may be the rest of the response, whose length does not fit then
)

// responseStart is the text with which a response begins.
const responseStart = "HTTP/1."

// following returns what was received behind the response that was read.
func (c *conn) following() continuation {
	for c.buffered.Buffered() < len(responseStart) && c.reader.buffer.Len() > 0 {
		_, _ = c.buffered.Peek(c.buffered.Buffered() + 1) // moves bytes from one buffer to the other
	}
	text, _ := c.buffered.Peek(min(c.buffered.Buffered(), len(responseStart)))
	var unread [len(responseStart)]byte
	text = append(text[:len(text):len(text)], unread[:c.peekSocket(unread[len(text):])]...)
	switch string(text) {
	case "":
		return nothing
	case responseStart:
		return otherResponse
	}
	return otherBytes
}

// peekSocket copies bytes that the socket has received to p and leaves them there. It does not wait, and returns the
// number of bytes.
func (c *conn) peekSocket(p []byte) (n int) {
	if len(p) == 0 {
		return 0
	}
	err := c.raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil { // the connection is closed
		return 0
	}
	return max(n, 0)
}

// hasBuffered reports whether bytes were received that no response has used.
func (c *conn) hasBuffered() bool { return c.buffered.Buffered() > 0 || c.reader.buffer.Len() > 0 }

// newResponse returns the parts of a response that its head contains.
func newResponse(resp *http.Response) Response {
	r := Response{ContentType: resp.Header.Get("Content-Type")}
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
