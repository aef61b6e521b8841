package nodetest

import (
	"net"
	"syscall"
)

// HookedRawConn is a raw connection that calls hooks around the system calls of a read or write. A read may
// try several times until the socket has something to read. Each hook may be nil.
type HookedRawConn struct {
	syscall.RawConn
	BeforeRead  func() // called before each try to read
	BeforeWrite func() // called before each try to write
	AfterTry    func() // called after each try to read
	AfterRead   func() // called after the last try of a read
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

// HookedConn is a TCP connection whose raw connection calls the hooks in Hook.
type HookedConn struct {
	*net.TCPConn
	Hook HookedRawConn // SyscallConn sets its RawConn
}

// SyscallConn implements syscall.Conn.
func (c HookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	c.Hook.RawConn = raw
	return c.Hook, err
}
