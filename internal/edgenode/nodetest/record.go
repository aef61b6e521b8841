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

// RecordRequests serves connections of one request each until the test ends. It hands on the bytes of each request,
// with HOST in place of the address, and answers with a text.
func RecordRequests(t *testing.T, answer string) (addr netip.AddrPort, heard <-chan string) {
	t.Helper()
	ln := Listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	requests := make(chan string, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if text, ok := readRequest(c); ok {
					requests <- strings.ReplaceAll(text, ln.Addr().String(), "HOST")
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return AddrOf(ln), requests
}

// readRequest reads a request's bytes: its head and, where its length is told, its body.
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
