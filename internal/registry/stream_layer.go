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

const (
	greetingPrefix       = "opalhook registry for "
	greetingTimeout      = 3 * time.Second
	addressNameSeparator = "#"
)

// errWrongReplica is the error of a connection that is meant for another replica.
var errWrongReplica = errors.New("greeting: meant for another replica")

// streamLayer connects the replicas; it implements raft.StreamLayer. A replica's address for the others includes its
// name, and each connection begins with a line that says which replica it is meant for; any other replica closes it. A
// replica that lost its state and was started again at the same address must not be mistaken for the one that it was,
// since it has forgotten its votes and what it acknowledged.
type streamLayer struct {
	net.Listener
	name string            // of this replica
	via  map[string]string // where to dial an address, if not there
}

// namedAddr is the address of a replica for the others.
type namedAddr struct {
	net.Addr
	name string
}

// String implements net.Addr.
func (a namedAddr) String() string { return a.Addr.String() + addressNameSeparator + a.name }

// splitRaftAddress returns the parts of a replica's address.
func splitRaftAddress(address raft.ServerAddress) (addr, name string) {
	addr, name, _ = strings.Cut(string(address), addressNameSeparator)
	return addr, name
}

// Addr implements net.Listener.
func (s streamLayer) Addr() net.Addr { return namedAddr{s.Listener.Addr(), s.name} }

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, name := splitRaftAddress(address)
	if via, ok := s.via[addr]; ok {
		addr = via
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	if err := greet(conn, name, timeout); err != nil {
		_ = conn.Close() // the first error says more
		return nil, fmt.Errorf("greeting %s: %w", address, err)
	}
	return conn, nil
}

// greet writes the first line of a connection.
func greet(conn net.Conn, name string, timeout time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte(greetingPrefix + name + "\n")); err != nil {
		return err
	}
	return conn.SetWriteDeadline(time.Time{})
}

// Accept implements net.Listener. The greeting is checked by the connection's first Read, so that a slow one delays
// no other connection.
func (s streamLayer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &greetedConn{Conn: conn, expectedGreeting: greetingPrefix + s.name + "\n"}, nil
}

// greetedConn is a connection whose first line is checked before anything else is read.
type greetedConn struct {
	net.Conn
	expectedGreeting string // "" once it was read
}

// Read implements net.Conn.
func (c *greetedConn) Read(b []byte) (int, error) {
	if c.expectedGreeting != "" {
		if err := c.checkGreeting(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

func (c *greetedConn) checkGreeting() error {
	if err := c.SetReadDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	greeting := make([]byte, len(c.expectedGreeting))
	if _, err := io.ReadFull(c.Conn, greeting); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	if string(greeting) != c.expectedGreeting {
		return errWrongReplica
	}
	c.expectedGreeting = ""
	return c.SetReadDeadline(time.Time{})
}
