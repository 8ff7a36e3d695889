package httpstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/store"
)

// refusingAddress returns an address that refuses connections: it is bound, so that no
// other process gets it, but does not listen.
func refusingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// It has certainly not taken effect, unlike a write whose answer was lost.
func TestWriteThatCouldNotConnectIsNotAmbiguous(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var address atomic.Value
	address.Store(l.Addr().String())
	c := New("http://store", &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address.Load().(string))
	}}})
	closed := make(chan struct{})
	go func() { // takes one connection and closes it without an answer
		defer close(closed)
		if conn, err := l.Accept(); err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		_ = l.Close()
	}()
	_, err = c.Put(t.Context(), "kind", "name", []byte("{}"), 0)
	require.ErrorIs(t, err, store.ErrAmbiguous)
	<-closed
	address.Store(refusingAddress(t))
	_, err = c.Put(t.Context(), "kind", "name", []byte("{}"), 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NotErrorIs(t, err, store.ErrAmbiguous)
	_, err = c.Delete(t.Context(), "kind", "name", 1)
	require.ErrorIs(t, err, store.ErrUnavailable)
}
