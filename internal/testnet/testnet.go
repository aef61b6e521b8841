// Package testnet provides loopback addresses for tests that close a listener and later listen on the same
// address again.
//
// On 127.0.0.1 another socket may take the port in the meantime: outgoing connections and listeners on port 0
// of all processes get their ports from the same range. The addresses of this package have a host in
// 127.0.0.0/8 that only the test's process uses. Connections to such an address do not take its ports either,
// because the kernel gives them the source address 127.0.0.1.
package testnet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// maxPortTries is the number of ports that [FreeAddr] tries before it ends the test.
const maxPortTries = 1000

// returned contains the addresses that [FreeAddr] has returned, as strings.
var returned sync.Map

// Host returns the loopback IP address of this process.
func Host() string { return hostOf(os.Getpid()) }

// hostOf returns the loopback IP address of a process. Process IDs of Linux have at most 22 bits, so the
// addresses lie between 127.1.0.0 and 127.64.255.255.
func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// AnyPort returns the address of this process's host with port 0, for a listener on any free port.
func AnyPort() string { return net.JoinHostPort(Host(), "0") }

// FreeAddr returns a TCP address of this process's host. Nothing listens on the address, and no earlier call
// has returned it. FreeAddr ends the test if it can't listen on the host or finds no such address.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for range maxPortTries {
		listener, err := net.Listen("tcp", AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		addr := listener.Addr().String()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if _, again := returned.LoadOrStore(addr, true); !again {
			return addr
		}
	}
	t.Fatalf("%s: no unused port found in %d tries", Host(), maxPortTries)
	return ""
}
