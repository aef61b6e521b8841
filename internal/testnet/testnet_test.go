package testnet

import (
	"net"
	"net/netip"
	"testing"
)

// Each process id has a host of its own in 127.0.0.0/8, and none has 127.0.0.1.
func TestHostsDiffer(t *testing.T) {
	hosts := map[string]int{}
	for _, pid := range []int{1, 255, 256, 65_535, 65_536, 65_537, 1 << 21, 1<<22 - 1} {
		host := hostOf(pid)
		if other, taken := hosts[host]; taken {
			t.Errorf("processes %d and %d have %s", pid, other, host)
		}
		hosts[host] = pid
		if addr, err := netip.ParseAddr(host); err != nil || !addr.IsLoopback() || host == "127.0.0.1" {
			t.Errorf("process %d has %s: %v", pid, host, err)
		}
	}
}

// A connection to an address of this process's host comes from 127.0.0.1: it takes no port that such an address may
// have.
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
		t.Errorf("a connection to %s comes from %s", addr, from)
	}
}

// No address is returned twice.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 100 { // of some ten thousand
		addr := FreeAddr(t)
		if seen[addr] {
			t.Fatalf("%s is returned twice", addr)
		}
		seen[addr] = true
	}
}
