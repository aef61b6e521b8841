package nodetest

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// UnresponsiveAddr returns the address of a server whose machine does not respond: connections to it are
// never established. It is a listener with a full accept queue, for which the kernel drops further
// connection attempts.
func UnresponsiveAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for range 3 { // fills the accept queue
		if c, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return addr
}
