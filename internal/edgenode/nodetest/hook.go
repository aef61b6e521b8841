package nodetest

import (
	"net"
	"syscall"
)

// HookedRawConn runs functions in the middle of a socket's read or write. Each may be nil.
type HookedRawConn struct {
	syscall.RawConn
	BeforeRead  func()
	BeforeWrite func()
	AfterTry    func() // after each try to read
	AfterRead   func() // after the one that ends the read
}

// Read implements syscall.RawConn.
func (h HookedRawConn) Read(f func(uintptr) bool) error {
	return h.RawConn.Read(func(fd uintptr) bool {
		if h.BeforeRead != nil {
			h.BeforeRead()
		}
		done := f(fd)
		if h.AfterTry != nil {
			h.AfterTry()
		}
		if done && h.AfterRead != nil {
			h.AfterRead()
		}
		return done
	})
}

// Write implements syscall.RawConn.
func (h HookedRawConn) Write(f func(uintptr) bool) error {
	return h.RawConn.Write(func(fd uintptr) bool {
		if h.BeforeWrite != nil {
			h.BeforeWrite()
		}
		return f(fd)
	})
}

// HookedConn is a connection whose raw connection is hooked.
type HookedConn struct {
	*net.TCPConn
	Hook HookedRawConn // RawConn is the connection's own
}

// SyscallConn implements syscall.Conn.
func (c HookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	c.Hook.RawConn = raw
	return c.Hook, err
}
