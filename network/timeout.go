package network

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// TCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const TCPUserTimeout = 18

// UserTimeout returns a net.Dialer.ControlContext that makes the kernel close a connection
// whose sent bytes are not acknowledged within d.
func UserTimeout(d time.Duration) func(ctx context.Context, network, address string, raw syscall.RawConn) error {
	return func(_ context.Context, _, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, d) }
}

// SetUserTimeout makes the kernel close a connection whose sent bytes are not acknowledged
// within d.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(d.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
