package edgenode

import (
	"io"
	"net"
	"time"

	"opalhook/internal/edgenode/httphead"
)

// This file rejects requests that were not read, by the node or by net/http.

// noMemoryResponse is the response to a request whose head does not fit into the memory for clients. It is a
// rejection, after which the client may retry.
const noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// rejectForMemory answers a request whose head there is no memory for, and returns an error for which net/http sends no
// response.
func (c *clientConn) rejectForMemory() error {
	c.buffer = httphead.Buffer{}
	c.holdBuffer()
	c.limitRejection()
	_, _ = io.WriteString(c.Conn, noMemoryResponse) // an error means that the client has disconnected
	return c.reject(errNoMemory)
}

// Write writes to the client. A response that is written before the request was passed to the frontend is one of
// net/http itself, which rejects the request: what follows of it is not read any more. net/http would otherwise wait for
// the rest of the body, and keep the parsed head meanwhile.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.inRequest && !c.handled {
		c.stopReading()
		c.limitRejection()
	}
	return c.Conn.Write(p)
}

// stopReading ends the reading of a request that is rejected while the rest of it may still arrive.
func (c *clientConn) stopReading() { _ = c.reject(errRequestRejected) }

// reject makes every later read return an error for which net/http sends no response, and returns that error. The
// connection lingers when it is closed, so that the client receives the response to the request.
func (c *clientConn) reject(cause error) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.rejected = true
	c.err = &net.OpError{Op: "read", Net: "tcp", Err: cause}
	return c.err
}

// limitRejection limits the time for writing a rejection to a client that does not read it. Setting the deadline fails
// only on a closed connection.
func (c *clientConn) limitRejection() { _ = c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) }
