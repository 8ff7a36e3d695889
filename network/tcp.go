package network

import (
	"net"
	"syscall"
)

// TCPConn returns the TCP connection below a connection, directly or through NetConn methods,
// nil if there is none.
func TCPConn(c net.Conn) *net.TCPConn {
	for {
		switch v := c.(type) {
		case *net.TCPConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// IsQuiet reports whether a connection is open and no byte has arrived that was not read. It must have no
// deadline for reads. A connection without a socket counts as quiet.
func IsQuiet(c net.Conn) bool {
	sc := socket(c)
	if sc == nil {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// socket returns the socket below a connection, nil for none.
func socket(c net.Conn) syscall.Conn {
	for {
		switch v := c.(type) {
		case syscall.Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
