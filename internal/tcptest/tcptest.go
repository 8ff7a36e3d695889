// Package tcptest has TCP servers for tests.
package tcptest

import (
	"net"
	"testing"
)

// Serve accepts connections on loopback until the end of a test, calls serve with each, and closes it
// afterwards. It returns the address.
func Serve(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
