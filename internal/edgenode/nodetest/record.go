package nodetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
)

// RecordRequests starts a server that accepts one request per connection and answers it with the given
// response. It sends the bytes of each request to the channel, with HOST in place of the server's address.
// The server stops when the test ends.
func RecordRequests(t *testing.T, response string) (addr netip.AddrPort, requests <-chan string) {
	t.Helper()
	ln := Listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	recorded := make(chan string, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if text, ok := readRequest(c); ok {
					recorded <- strings.ReplaceAll(text, ln.Addr().String(), "HOST")
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return AddrOf(ln), recorded
}

// readRequest reads the bytes of one request: its head and, if there is a Content-Length, its body. ok is
// false if the connection ends before.
func readRequest(c net.Conn) (text string, ok bool) {
	in := bufio.NewReader(c)
	var length int
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			return text, false
		}
		text += line
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return text + string(body), err == nil
}
