// Package nodetest has helpers for the tests of the edge node's packages: app servers and clients on loopback
// sockets, and waits with a time limit.
package nodetest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
)

// WaitTimeout is the time limit of every wait in a test. It is far longer than any wait should take, so that
// a busy machine does not fail a test.
const WaitTimeout = 30 * time.Second

// ServeFunc writes the response to one request to c. The body of the request has been read completely. If the
// function returns false, the app server closes the connection.
type ServeFunc func(c net.Conn, r *http.Request, body []byte) bool

// AppServer is an app server on a loopback socket.
type AppServer struct {
	Listener net.Listener
	serve    ServeFunc
	Conns    chan net.Conn // receives each accepted connection

	mu       sync.Mutex
	requests []string // method, target and body of each request
}

// NewAppServer starts an app server, which stops when the test ends.
func NewAppServer(t testing.TB, serve ServeFunc) *AppServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &AppServer{Listener: ln, serve: serve, Conns: make(chan net.Conn, 1000)}
	t.Cleanup(func() {
		_ = ln.Close()
		for len(s.Conns) > 0 {
			_ = (<-s.Conns).Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Conns <- c
			go s.loop(c)
		}
	}()
	return s
}

// ServeConn starts an app server that serves only the connection c, until it ends.
func ServeConn(c net.Conn, serve ServeFunc) *AppServer {
	s := &AppServer{serve: serve}
	go s.loop(c)
	return s
}

// loop serves the requests on one connection.
func (s *AppServer) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		if !s.serve(c, r, body) {
			return
		}
	}
}

// Requests returns method, target and body of each request received so far, separated by spaces.
func (s *AppServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// Endpoint returns the server as an entry of the endpoint list.
func (s *AppServer) Endpoint(id string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: id, Weight: 1, MachineType: "k", Zone: "z"}, Addr: AddrOf(s.Listener)}
}

// AddrOf returns the address of a listener.
func AddrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// Respond returns a ServeFunc that answers with the text and keeps the connection open.
func Respond(text string) ServeFunc {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// OKResponse is a successful response of an app server.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// Listen opens a listener on a loopback port. It is closed when the test ends.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.(*net.TCPListener)
}

// Buffer collects the text written to it. It is safe for concurrent use.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *Buffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns the text written so far.
func (s *Buffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Client is a client with one connection. Its methods fail the test on errors.
type Client struct {
	net.Conn
	Reader *bufio.Reader // reads from the connection
	t      testing.TB
}

// Dial connects a client to addr. The connection is closed when the test ends.
func Dial(t testing.TB, addr string) *Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	SetDeadline(t, c)
	return &Client{Conn: c, Reader: bufio.NewReader(c), t: t}
}

// SetDeadline makes reads and writes on a connection fail after [WaitTimeout].
func SetDeadline(t testing.TB, c net.Conn) {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(WaitTimeout)); err != nil {
		t.Errorf("set deadline of a connection: %v", err)
	}
}

// ResetOnClose makes a later Close of the connection reset it.
func ResetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// ResetConn resets a connection.
func ResetConn(c net.Conn) {
	ResetOnClose(c)
	_ = c.Close()
}

// Response is a response that a client has read.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Close  bool // the server announced that it closes the connection
}

// Send writes a text, usually a request.
func (c *Client) Send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// Receive reads a response.
func (c *Client) Receive() Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		c.t.Fatalf("read response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("read response body: %v", err)
	}
	return Response{resp.StatusCode, resp.Header, string(body), resp.Close}
}

// Do writes a request and reads its response.
func (c *Client) Do(text string) Response {
	c.t.Helper()
	c.Send(text)
	return c.Receive()
}

// Eventually waits until cond returns true. It fails the test after [WaitTimeout]. what names the condition.
func Eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Await receives a value from a channel. It fails the test after [WaitTimeout]. what names the awaited event.
func Await[T any](t testing.TB, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for: %s", what)
	}
	return v
}

// ManualContext is a context that the test ends by [ManualContext.End], with an error of its choice.
type ManualContext struct {
	context.Context
	done chan struct{}
	err  error // result of Err; set before done is closed
}

// NewManualContext returns a context that has not ended.
func NewManualContext() *ManualContext {
	return &ManualContext{Context: context.Background(), done: make(chan struct{})}
}

// Done implements context.Context.
func (c *ManualContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *ManualContext) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// End ends the context. Err returns err from then on. End must be called only once.
func (c *ManualContext) End(err error) {
	c.err = err
	close(c.done)
}

// ReceiveBufferEmpty reports whether the socket of a connection holds no unread bytes.
func ReceiveBufferEmpty(t testing.TB, c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	empty := false
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	}); err != nil {
		t.Fatal(err)
	}
	return empty
}

// ListJSON returns a message of discovery with the servers as entries. snapshot marks the message as the
// complete list.
func ListJSON(generation int, snapshot bool, servers ...endpointlist.Endpoint) string {
	type entry map[string]any
	list := []entry{}
	lifecycles := map[balancer.EndpointState]string{balancer.Up: "up", balancer.Draining: "draining", balancer.Removed: "removed"}
	for _, s := range servers {
		list = append(list, entry{
			"instanceId": s.ID, "hostPort": s.Addr.String(), "zone": s.Zone, "machineType": s.MachineType,
			"cell": s.Cell, "lifecycle": lifecycles[s.State], "weight": s.Weight, "startedAtMs": s.StartedAt.Milliseconds(),
		})
	}
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": snapshot, "instances": list})
	if err != nil {
		panic(fmt.Sprint("marshal test list: ", err))
	}
	return string(b)
}
