package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of a client.
const (
	clientWait  = 3500 * time.Millisecond // time that a client waits, told in X-Expires-In
	answerGrace = 500 * time.Millisecond  // a later answer counts as none
)

// lastID is the number of the latest request.
var lastID atomic.Uint64

// request is a request of a usual client.
type request struct {
	id    string
	class string
	node  int           // number of the node that it is sent to
	pause time.Duration // pause in the middle of writing it; 0: it is written at once
	wait  time.Duration // time that its client waits; 0: clientWait
}

// newRequest returns a request with an id of its own.
func newRequest(class string, node int) request {
	return request{id: fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)), class: class, node: node}
}

// text returns the request as it is written.
func (r *request) text() string {
	method, length, wait := "GET", "", cmp.Or(r.wait, clientWait)
	if r.class == "quote-issue" {
		method, length = "POST", "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s /%s?customer=00000000b4d65521 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"X-Contract: grand\r\nX-Expires-In: %.3f\r\n%sX-Metering: units=1,spread=1,first=%d\r\n\r\n",
		method, r.class, r.id, r.class, wait.Seconds(), length, r.node)
}

// outcome is what a client has seen of a request.
type outcome struct {
	written bool   // the last byte was written
	status  int    // 0: no answer
	body    string // whole body of the answer
	close   bool   // the answer announces the end of the connection
	err     error  // why there is no whole answer
}

// answered reports whether a whole answer came.
func (o *outcome) answered() bool { return o.err == nil && o.status != 0 }

// text describes the outcome.
func (o *outcome) text() string {
	if !o.answered() {
		return fmt.Sprintf("no answer (last byte written: %v): %v", o.written, o.err)
	}
	return fmt.Sprintf("answered %d", o.status)
}

// clientConn is a connection of a usual client.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// dial opens a connection to a node.
func dial(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// do writes a request and reads its answer, which counts as none once its time is over.
func (c *clientConn) do(r request) outcome {
	return c.doWithin(r, cmp.Or(r.wait, clientWait)+answerGrace)
}

// doWithin writes a request and waits for its answer.
func (c *clientConn) doWithin(r request, wait time.Duration) (o outcome) {
	text := r.text()
	if r.pause > 0 {
		half := len(text) / 2
		if _, o.err = io.WriteString(c, text[:half]); o.err != nil {
			return o
		}
		time.Sleep(r.pause)
		text = text[half:]
	}
	return c.send(text, wait)
}

// send writes the rest of a request and waits for its answer.
func (c *clientConn) send(text string, wait time.Duration) (o outcome) {
	if _, o.err = io.WriteString(c, text); o.err != nil {
		return o
	}
	o.written = true
	if o.err = c.SetReadDeadline(time.Now().Add(wait)); o.err != nil {
		return o
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		o.err = err
		return o
	}
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.close, o.err = resp.StatusCode, string(body), resp.Close, err
	return o
}

// once sends a request on a connection of its own.
func once(addr string, r request) outcome {
	c, err := dial(addr)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }() // not used again
	return c.do(r)
}
