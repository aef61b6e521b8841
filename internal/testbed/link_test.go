package testbed

import (
	"errors"
	"net"
	"testing"
	"time"
)

// linkPatience is how long a test waits for what must come.
const linkPatience = 30 * time.Second

// listenTCP opens a listener that accepts nothing by itself: the kernel completes connections to it.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// connection returns both ends of a connection; they stay open to the end of the test.
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

// A connection that the link has accepted and not yet entered as it closes ends with the link, although both of its
// ends stay open: Close waits for it.
func TestLinkClosesWhatItIsAboutToCarry(t *testing.T) {
	for what, relay := range map[string]func(*tcpRelay, net.Conn){
		"carried":    (*tcpRelay).carry,
		"blackholed": func(r *tcpRelay, near net.Conn) { r.blackhole(&relayedConn{client: near}) },
	} {
		t.Run(what, func(t *testing.T) {
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
			case <-time.After(linkPatience):
				t.Fatal("goes on although the link is closed")
			}
			if err := client.SetReadDeadline(time.Now().Add(linkPatience)); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Read(make([]byte, 1)); err == nil || isTimeout(err) {
				t.Errorf("the client's end is not closed: %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
