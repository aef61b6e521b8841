// Package nodetest holds what the tests of the edge node's packages share: app servers and clients on loopback sockets,
// and waits that are bounded.
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

// Patience bounds every wait of a test; none is expected to come near it.
const Patience = 30 * time.Second

// ServeFunc answers one request that has come whole. It returns false to have the connection closed.
type ServeFunc func(c net.Conn, r *http.Request, body []byte) bool

// AppServer is an app server on a loopback socket.
type AppServer struct {
	Listener net.Listener
	serve    ServeFunc
	Conns    chan net.Conn // every connection accepted

	mu   sync.Mutex
	seen []string // the first line and the body of each request
}

// NewAppServer starts an app server, which ends with the test.
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

// ServeConn starts an app server on one connection, until that ends.
func ServeConn(c net.Conn, serve ServeFunc) *AppServer {
	s := &AppServer{serve: serve}
	go s.loop(c)
	return s
}

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
		s.seen = append(s.seen, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		if !s.serve(c, r, body) {
			return
		}
	}
}

// Requests returns the first line and the body of each request so far.
func (s *AppServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// Endpoint returns the server as an endpoint of the list.
func (s *AppServer) Endpoint(id string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Endpoint: balancer.Endpoint{ID: id, Weight: 1, MachineType: "k", Zone: "z"}, Addr: AddrOf(s.Listener)}
}

// AddrOf returns the address of a listener.
func AddrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// Say returns a ServeFunc that writes the text and keeps the connection.
func Say(text string) ServeFunc {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// OKResponse is a good response of an app server.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// Listen opens a port for clients.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.(*net.TCPListener)
}

// Buffer takes what many goroutines write.
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

// String returns what was written so far.
func (s *Buffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	Reader *bufio.Reader
	t      testing.TB
}

// Dial connects a client.
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

// SetDeadline ends all reading and writing on a connection once the test has waited for too long.
func SetDeadline(t testing.TB, c net.Conn) {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(Patience)); err != nil {
		t.Errorf("deadline of a connection: %v", err)
	}
}

// ResetOnClose has the close of a connection reset it.
func ResetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// ResetConn resets a connection.
func ResetConn(c net.Conn) {
	ResetOnClose(c)
	_ = c.Close()
}

// Response is a response as a client reads it.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Close  bool
}

// Send writes a request.
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
		c.t.Fatalf("reading the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("reading the answer's body: %v", err)
	}
	return Response{resp.StatusCode, resp.Header, string(body), resp.Close}
}

// Ask writes a request and reads its response.
func (c *Client) Ask(text string) Response {
	c.t.Helper()
	c.Send(text)
	return c.Receive()
}

// Eventually waits for a condition that other goroutines bring about.
func Eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Await receives what another goroutine sends, or fails the test.
func Await[T any](t testing.TB, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(Patience):
		t.Fatalf("never: %s", what)
	}
	return v
}

// EndingContext is a context that ends when the test says so, for the reason that the test gives.
type EndingContext struct {
	context.Context
	done chan struct{}
	err  error // set before done is closed
}

// NewEndingContext returns a context that has not ended.
func NewEndingContext() *EndingContext {
	return &EndingContext{Context: context.Background(), done: make(chan struct{})}
}

// Done implements context.Context.
func (e *EndingContext) Done() <-chan struct{} { return e.done }

// Err implements context.Context.
func (e *EndingContext) Err() error {
	select {
	case <-e.done:
		return e.err
	default:
		return nil
	}
}

// End ends the context for a reason.
func (e *EndingContext) End(err error) {
	e.err = err
	close(e.done)
}

// Drained tells whether all that has come on a connection was read.
func Drained(t testing.TB, c net.Conn) bool {
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

// ListJSON returns a message of discovery.
func ListJSON(generation int, full bool, servers ...endpointlist.Endpoint) string {
	type entry map[string]any
	list := []entry{}
	words := map[balancer.EndpointState]string{balancer.Up: "up", balancer.Draining: "draining", balancer.Removed: "removed"}
	for _, s := range servers {
		list = append(list, entry{
			"instanceId": s.ID, "hostPort": s.Addr.String(), "zone": s.Zone, "machineType": s.MachineType,
			"cell": s.Cell, "lifecycle": words[s.State], "weight": s.Weight, "startedAtMs": s.StartedAt.Milliseconds(),
		})
	}
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": full, "instances": list})
	if err != nil {
		panic(fmt.Sprint("test list: ", err))
	}
	return string(b)
}
