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

// errWrongReplica is the error of a connection whose greeting names another replica.
var errWrongReplica = errors.New("the connection is for another replica")

// streamLayer connects the replicas; it implements raft.StreamLayer. A replica's Raft address includes its
// name, and each connection begins with a greeting: a line with the name of the replica that the connection
// is for. A replica with another name closes the connection. This guards against a replica that lost its
// state and was started again at the same address: it must not be taken for the earlier replica, since it has
// lost the record of its votes and the entries that it acknowledged.
type streamLayer struct {
	net.Listener
	name string            // name of this replica
	via  map[string]string // addresses to dial in place of Raft addresses, by Raft address without name
}

// namedAddr is a network address with the name of the replica.
type namedAddr struct {
	net.Addr
	name string
}

// String implements net.Addr.
func (a namedAddr) String() string { return a.Addr.String() + addressNameSeparator + a.name }

// splitRaftAddress splits a replica's Raft address into its network address and its name.
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
		_ = conn.Close() // the earlier error is returned
		return nil, fmt.Errorf("greeting %s: %w", address, err)
	}
	return conn, nil
}

// greet sends the greeting, the first line of a connection.
func greet(conn net.Conn, name string, timeout time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte(greetingPrefix + name + "\n")); err != nil {
		return err
	}
	return conn.SetWriteDeadline(time.Time{})
}

// Accept implements net.Listener. The first Read of the connection checks the greeting, so that a slow
// dialer does not delay other connections.
func (s streamLayer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &greetedConn{Conn: conn, expectedGreeting: greetingPrefix + s.name + "\n"}, nil
}

// greetedConn is an accepted connection that checks the greeting before it returns any data.
type greetedConn struct {
	net.Conn
	expectedGreeting string // "" once it has been received
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
		return fmt.Errorf("greeting: got %q, must be %q: %w", greeting, c.expectedGreeting, errWrongReplica)
	}
	c.expectedGreeting = ""
	return c.SetReadDeadline(time.Time{})
}
