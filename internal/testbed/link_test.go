package testbed

import (
	"errors"
	"net"
	"testing"
	"time"
)

// linkTestTimeout is the time after which a test fails if an expected event has not occurred.
const linkTestTimeout = 30 * time.Second

// listenTCP returns a listener that does not accept connections. The kernel establishes them nevertheless.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// connection returns both ends of a connection. They stay open until the end of the test.
func connection(t *testing.T) (client, accepted net.Conn) {
	t.Helper()
	ln := listenTCP(t)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted
}

// Guards against a link whose Close hangs. Close waits for the goroutines of all connections. A connection
// that the link has accepted but not yet registered when it is closed must end by itself, even if both of its
// ends stay open.
func TestLinkEndsConnectionThatIsRegisteredAfterClose(t *testing.T) {
	for name, relay := range map[string]func(*tcpRelay, net.Conn){
		"relayed":    (*tcpRelay).relay,
		"blackholed": func(r *tcpRelay, client net.Conn) { r.blackhole(&relayedConn{client: client}) },
	} {
		t.Run(name, func(t *testing.T) {
			link, err := NewLink(listenTCP(t).Addr().String(), 1)
			if err != nil {
				t.Fatal(err)
			}
			client, accepted := connection(t)
			link.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				relay(link.relay, accepted)
			}()
			select {
			case <-ended:
			case <-time.After(linkTestTimeout):
				t.Fatal("the connection is still relayed after the link was closed")
			}
			if err := client.SetReadDeadline(time.Now().Add(linkTestTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Read(make([]byte, 1)); err == nil || isTimeout(err) {
				t.Errorf("the client's end is not closed: read returned %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
