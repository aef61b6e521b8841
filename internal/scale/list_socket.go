package scale

import (
	"context"
	"syscall"
)

// limitReceiveBuffer keeps the system from growing a connection's receive buffer to megabytes.
func limitReceiveBuffer(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var err error
	if ctl := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, watchBuffer)
	}); ctl != nil {
		return ctl
	}
	return err
}
