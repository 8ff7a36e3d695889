package httpstore

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/store"
)

// It has certainly not taken effect, unlike a write whose answer was lost.
func TestWriteThatCouldNotConnectIsNotAmbiguous(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := New("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}})
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
	_, err = c.Put(t.Context(), "kind", "name", []byte("{}"), 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NotErrorIs(t, err, store.ErrAmbiguous)
	_, err = c.Delete(t.Context(), "kind", "name", 1)
	require.ErrorIs(t, err, store.ErrUnavailable)
}
