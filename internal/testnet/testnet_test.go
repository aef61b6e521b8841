package testnet

import (
	"net"
	"net/netip"
	"testing"
)

// Different process IDs have different hosts in 127.0.0.0/8, none of which is 127.0.0.1.
func TestHostsDiffer(t *testing.T) {
	hosts := map[string]int{}
	for _, pid := range []int{1, 255, 256, 65_535, 65_536, 65_537, 1 << 21, 1<<22 - 1} {
		host := hostOf(pid)
		if other, taken := hosts[host]; taken {
			t.Errorf("processes %d and %d have the same host %s", pid, other, host)
		}
		hosts[host] = pid
		if addr, err := netip.ParseAddr(host); err != nil || !addr.IsLoopback() || host == "127.0.0.1" {
			t.Errorf("process %d has host %s, want a loopback address other than 127.0.0.1: %v", pid, host, err)
		}
	}
}

// A connection to an address of this process's host has the source address 127.0.0.1. It therefore can't take
// a port that FreeAddr has returned.
func TestConnectionsDoNotUsePortsOfHost(t *testing.T) {
	addr := FreeAddr(t)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if from := conn.LocalAddr().(*net.TCPAddr).IP.String(); from != "127.0.0.1" {
		t.Errorf("a connection to %s has the source address %s, want 127.0.0.1", addr, from)
	}
}

// FreeAddr does not return an address twice.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 100 { // out of about ten thousand ports
		addr := FreeAddr(t)
		if seen[addr] {
			t.Fatalf("%s is returned twice", addr)
		}
		seen[addr] = true
	}
}
