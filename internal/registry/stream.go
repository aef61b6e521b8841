package registry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// sendBuffer bounds what the kernel holds for a watch that does not read. Left to itself it
// grows to megabytes for each.
const sendBufferSize = 32 << 10

// smallBuffers is a listener whose connections keep their send buffers small.
type smallBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		err = t.SetWriteBuffer(sendBufferSize)
	}
	return c, err
}

// stream is how replicas reach one another. A replica's address for the others carries its name,
// and each connection begins with a line that says whom it is meant for; another one hangs up.
// A replica whose state was lost, and that was started anew at the same address, must not be
// taken for the one that it was: it has forgotten what it voted and what it acknowledged.
type streamLayer struct {
	net.Listener
	name string            // of this replica
	via  map[string]string // other ways to addresses
}

const (
	greeting             = "opalhook registry for "
	greetingTimeout      = 3 * time.Second
	addressNameSeparator = "#" // between an address and the name
)

// named is an address of the other replicas.
type namedAddr struct {
	net.Addr
	name string
}

func (a namedAddr) String() string { return a.Addr.String() + addressNameSeparator + a.name }

// Addr implements net.Listener.
func (s streamLayer) Addr() net.Addr { return namedAddr{s.Listener.Addr(), s.name} }

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, name, _ := strings.Cut(string(address), addressNameSeparator)
	if other, ok := s.via[addr]; ok {
		addr = other
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte(greeting + name + "\n")); err != nil {
		c.Close()
		return nil, fmt.Errorf("greeting %s: %w", address, err)
	}
	return c, c.SetWriteDeadline(time.Time{})
}

// Accept implements net.Listener.
func (s streamLayer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &greetedConn{Conn: c, expectedGreeting: greeting + s.name + "\n"}, nil
}

// greeted is a connection whose first line is not read yet.
type greetedConn struct {
	net.Conn
	expectedGreeting string // "" once it was read
}

// Read implements net.Conn.
func (g *greetedConn) Read(b []byte) (int, error) {
	if g.expectedGreeting != "" {
		got := make([]byte, len(g.expectedGreeting))
		g.SetReadDeadline(time.Now().Add(greetingTimeout))
		if _, err := io.ReadFull(g.Conn, got); err != nil {
			return 0, fmt.Errorf("greeting: %w", err)
		}
		if string(got) != g.expectedGreeting {
			return 0, errors.New("greeting: meant for another replica")
		}
		g.expectedGreeting = ""
		if err := g.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
	return g.Conn.Read(b)
}
