// Package testnet gives tests loopback addresses that can be listened on again after they were free for a while.
//
// A port of 127.0.0.1 that was free a moment ago may be taken: every connection from there and every listener on port
// 0 draws from the same range. The addresses of this package lie on a host of 127.0.0.0/8 that belongs to the test's
// process alone. The kernel gives connections to it the source 127.0.0.1, so that they use none of its ports.
package testnet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// maxAttempts bounds the search for an address that was not returned before.
const maxAttempts = 1000

// given holds the addresses that [FreeAddr] has returned.
var given sync.Map

// Host returns the loopback host of this process.
func Host() string { return hostOf(os.Getpid()) }

// hostOf returns a process's host. Linux has process ids of 22 bits at most, so that the hosts lie between 127.1.0.0
// and 127.64.255.255.
func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// AnyPort returns the address of this process's host with port 0.
func AnyPort() string { return net.JoinHostPort(Host(), "0") }

// FreeAddr returns a TCP address of this process's host on which nothing listens, and which it has not returned
// before. A failure to listen ends the test, as does a range of ports that is used up.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for range maxAttempts {
		listener, err := net.Listen("tcp", AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		addr := listener.Addr().String()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if _, again := given.LoadOrStore(addr, true); !again {
			return addr
		}
	}
	t.Fatalf("no port of %s is left that was not given before", Host())
	return ""
}
