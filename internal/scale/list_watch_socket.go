package scale

import (
	"context"
	"syscall"
)

// limitReceiveBuffer sets the receive buffer of a socket to watchReceiveBuffer bytes. Otherwise the kernel
// may grow it to several megabytes per connection.
func limitReceiveBuffer(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var err error
	if ctl := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, watchReceiveBuffer)
	}); ctl != nil {
		return ctl
	}
	return err
}
