package daemon

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A connection beyond the limit is accepted once another one is closed.
func TestLimitListener(t *testing.T) {
	below, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newLimitListener(below, 1)
	accepted, ended := make(chan net.Conn), make(chan error)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", below.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	first := <-accepted
	require.Len(t, l.slots, 1, "the second one waits")
	require.NoError(t, first.Close())
	require.Error(t, first.Close(), "closing again frees no slot")
	<-accepted
	require.Len(t, l.slots, 1)
	require.NoError(t, l.Close()) // ends a wait for a slot
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
